//! Decides when an idle client connection is closed, from the process's phase and the client's
//! recent activity.

use std::time::Duration;

use tokio::time::Instant;

use crate::lifecycle::Phase;

/// A connection is not closed for this long after it was accepted or sent part of a command: the
/// client may be about to send the rest.
const QUIET_PERIOD: Duration = Duration::from_millis(250);
/// A lame duck keeps a connection that has not sent any command for this long: the client may be
/// about to send one.
const FIRST_COMMAND_GRACE: Duration = Duration::from_secs(1);
/// Idle connections are closed this long after the successor took over; an earlier close could
/// cross with a request.
const KEEP_ALIVE_AFTER_TAKEOVER: Duration = Duration::from_millis(600);
/// During a drain a client that goes on sending is served for this long. Later commands stay
/// unread, so the client can safely send them elsewhere.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

/// A connection's state at the beginning of a step.
pub struct Snapshot {
    pub phase: Phase,
    /// No reply is pending or being written.
    pub is_idle: bool,
    /// Part of a command has arrived.
    pub is_partial: bool,
    /// Nothing arrived for [`QUIET_PERIOD`], and reading was not held back for memory.
    pub is_quiet: bool,
    pub awaits_memory: bool,
    /// The drain has lasted longer than [`MAX_DRAIN_TIME`], and no value is being read.
    pub drain_overdue: bool,
}

/// A client's recent activity, and the start of the drain.
pub struct Activity {
    pub had_command: bool,
    /// When the client last sent bytes, or else when it was accepted.
    pub last_input_at: Instant,
    /// The last reply was written during a takeover.
    pub replied_in_takeover: bool,
    /// When the drain of clients began.
    pub draining_since: Option<Instant>,
}

impl Activity {
    /// The activity of a connection that has just been accepted.
    pub fn new() -> Activity {
        Activity {
            had_command: false,
            last_input_at: Instant::now(),
            replied_in_takeover: false,
            draining_since: None,
        }
    }

    /// Updates the start of the drain from the process's phase.
    pub fn note_phase(&mut self, phase: Phase) {
        if phase.drains_clients() {
            self.draining_since.get_or_insert_with(Instant::now);
        } else {
            self.draining_since = None;
        }
    }

    /// Whether nothing arrived for [`QUIET_PERIOD`].
    pub fn is_quiet(&self) -> bool {
        Instant::now() >= self.last_input_at + QUIET_PERIOD
    }

    /// Whether the drain has lasted longer than [`MAX_DRAIN_TIME`].
    pub fn drain_is_overdue(&self) -> bool {
        has_passed(self.draining_since, MAX_DRAIN_TIME)
    }

    /// Whether an idle connection is to be closed in this phase.
    pub fn is_due_to_close(&self, snapshot: &Snapshot) -> bool {
        match snapshot.phase {
            Phase::Starting | Phase::Serving => false,
            // A client that has just connected must not be turned away without service.
            Phase::LameDuck => {
                !snapshot.is_partial
                    && (self.had_command || has_passed(Some(self.last_input_at), FIRST_COMMAND_GRACE))
            }
            Phase::Draining => !snapshot.is_partial && (self.had_command || snapshot.is_quiet),
            // New connections go to the successor. A close right after a reply crosses no request.
            Phase::Takeover => {
                !snapshot.is_partial && (self.replied_in_takeover || self.keep_alive_is_over_after_takeover())
            }
            // A partial command that gets no more bytes will not complete, and must not delay the
            // exit and with it the start of the next process.
            Phase::Closing => snapshot.is_quiet || (!snapshot.is_partial && self.had_command),
            Phase::Flushing | Phase::Ended => true,
        }
    }

    fn keep_alive_is_over_after_takeover(&self) -> bool {
        self.had_command && has_passed(self.draining_since, KEEP_ALIVE_AFTER_TAKEOVER)
    }

    /// When the next time limit of an idle connection ends; no other event wakes the connection.
    pub fn next_recheck(&self, snapshot: &Snapshot) -> Option<Instant> {
        let is_timed =
            snapshot.is_idle && (snapshot.is_partial || !self.had_command || self.draining_since.is_some());
        if !is_timed {
            return None;
        }
        let times = [
            Some(self.last_input_at + QUIET_PERIOD),
            Some(self.last_input_at + FIRST_COMMAND_GRACE),
            self.draining_since.map(|since| since + KEEP_ALIVE_AFTER_TAKEOVER),
            self.draining_since.map(|since| since + MAX_DRAIN_TIME),
        ];
        times.into_iter().flatten().filter(|at| *at > Instant::now()).min()
    }
}

/// Whether `since` is set and at least `duration` has passed since.
fn has_passed(since: Option<Instant>, duration: Duration) -> bool {
    since.is_some_and(|since| Instant::now() >= since + duration)
}

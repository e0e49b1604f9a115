//! Serves one client's connection, from its first byte until it is to be closed.

use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::Micros;
use basaltwood_memory_ledger::Purpose;
use basaltwood_wire::resp;
use bytes::Bytes;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep_until, Instant};

use super::closing::{CloseReason, Closed};
use super::command::{earliest_arrival, parse, CommandOrigin, Parsed};
use super::idle_close::{Activity, Snapshot};
use super::input::{Command, Input, InputEvent, ProtocolError};
use super::pending::{AwaitedReply, PendingReplies, PendingReply};
use super::reply::{encode_rejection, OutgoingReply, OutputEvent, ReplyProgress};
use super::write_check::WriteCheck;
use crate::budget::MemoryGrant;
use crate::lifecycle::Phase;
use crate::pauses::Pause;
use crate::presence::PresenceGuard;
use crate::requests;
use crate::shared::Shared;

/// How many commands of one connection may wait for their replies; further ones are left unread.
const MAX_PENDING_REPLIES: usize = 32;
/// The same while a reply is being written: a client that does not read must not fill the memory
/// that all clients share.
const MAX_PENDING_WHILE_WRITING: usize = 4;
/// How often a client that is being written to is checked for receiving its reply: its unacknowledged
/// bytes are recorded, and the next time they must have become fewer. A write itself shows progress only
/// once a third of the system's buffer is free.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(2_500);
/// A command without its value must be complete within this time, the first one counted from the
/// accept; a value must make progress within it. Clients that send nothing or a partial command
/// must not hold descriptors and memory that others need.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The memory of a command that is taken while others wait for their replies: its task, a short value
/// and a short reply.
const COMMAND_BYTES: usize = 6 * 1024;

/// How the input is handled in a step.
struct ReadPlan {
    /// Further commands may be served.
    takes_commands: bool,
    /// Bytes are read: they are wanted, and there is memory for them.
    reads: bool,
    /// The input is polled, if only to notice that the client disconnects.
    watches_client: bool,
}

/// The event that ends a step.
enum Event {
    Input(InputEvent),
    MemoryFreed,
    /// More is known of a reply that requests may wait for.
    ReplyKnown,
    Reply(Option<OutgoingReply>),
    Output(OutputEvent),
    TimedOut,
    ValueOverdue,
    PhaseChanged,
    Recheck,
    ShedRequested,
}

/// A client's connection with its commands and replies.
pub struct Connection<'a> {
    /// The connection's number in the log.
    number: u64,
    shared: &'a Rc<Shared>,
    phase: watch::Receiver<Phase>,
    reader: ReadHalf<'a>,
    writer: WriteHalf<'a>,
    input: Input,
    /// Replies in the order of their commands.
    pending: PendingReplies,
    outgoing: OutgoingReply,
    /// When the reply being written must have made progress, or the command begun must be complete.
    step_deadline: Option<Instant>,
    /// The last check of unacknowledged bytes, while a reply is being written.
    write_check: Option<WriteCheck>,
    /// Since when the client has received nothing of the reply being written.
    reader_pause: Option<Pause>,
    /// Set once no more input is read: the client sent QUIT or violated the protocol.
    closing: Option<CloseReason>,
    activity: Activity,
    shed_wakeup: Rc<Notify>,
    /// Notified when more is known of a reply that is awaited.
    replies_changed: Rc<Notify>,
    /// Whether anything was ever sent to the client.
    has_sent: bool,
    /// Dropped with this connection: no attempt begins for the client afterwards.
    presence: PresenceGuard,
}

impl<'a> Connection<'a> {
    /// Creates the state of a connection that was accepted at `accepted_at`: its first command may have
    /// come then.
    pub fn new(
        number: u64,
        shared: &'a Rc<Shared>,
        stream: &'a mut TcpStream,
        accepted_at: Micros,
        phase: watch::Receiver<Phase>,
    ) -> Connection<'a> {
        let (reader, writer) = stream.split();
        let mut input = Input::new(&shared.budget);
        input.unread.reading_paused(accepted_at);
        Connection {
            number,
            shared,
            phase,
            reader,
            writer,
            input,
            pending: PendingReplies::default(),
            outgoing: OutgoingReply::default(),
            step_deadline: None,
            write_check: None,
            reader_pause: None,
            closing: None,
            activity: Activity::new(),
            shed_wakeup: Rc::default(),
            replies_changed: Rc::default(),
            has_sent: false,
            presence: PresenceGuard::default(),
        }
    }

    /// Serves the connection until it is to be closed.
    pub async fn run(mut self) -> Closed {
        let reason = self.serve().await;
        let unheard = self.pending.answered_requests().chain(self.outgoing.request());
        unheard.for_each(|request| self.shared.answer_unheard(request));
        let being_written = usize::from(!self.outgoing.is_empty());
        Closed {
            number: self.number,
            reason,
            pending_replies: self.pending.len() + being_written,
            has_sent: self.has_sent,
            untold_effects: self.pending.untold_effects(),
        }
    }

    async fn serve(&mut self) -> CloseReason {
        loop {
            self.take_commands().await;
            if *self.phase.borrow() == Phase::Flushing {
                self.refuse_what_has_not_begun();
            }
            self.pending.begin_requests(self.outgoing.as_earlier_reply());
            self.begin_ready_reply();
            let is_idle = self.pending.is_empty() && self.outgoing.is_empty();
            if let Some(reason) = self.closing.filter(|_| is_idle) {
                return reason;
            }
            let snapshot = self.snapshot(is_idle);
            if snapshot.is_idle && (snapshot.drain_overdue || self.activity.is_due_to_close(&snapshot)) {
                if self.confirm_close(&snapshot).await {
                    return CloseReason::Draining;
                }
                continue;
            }
            self.update_step_deadline(&snapshot);
            let event = self.next_event(&snapshot).await;
            if let ControlFlow::Break(reason) = self.handle(event) {
                return reason;
            }
        }
    }

    /// Processes complete commands, up to the limit of pending replies and as far as there is memory
    /// for their short replies. Without it they wait for the replies before them.
    async fn take_commands(&mut self) {
        while self.closing.is_none() && self.pending.len() < self.max_pending() {
            let Some(memory) = self.reply_memory() else { break };
            match self.input.next_command(self.shared) {
                Ok(Some(command)) if command.words.is_empty() => {}
                Ok(Some(command)) => self.take_command(command, memory).await,
                Ok(None) => break,
                Err(cause) => self.refuse(&cause),
            }
        }
    }

    /// The memory for one more command with its short reply; `None` if there is none now. The first
    /// one needs no grant.
    fn reply_memory(&self) -> Option<Option<MemoryGrant>> {
        if self.pending.is_empty() && self.outgoing.is_empty() {
            return Some(None);
        }
        self.shared.budget.memory.try_grant(Purpose::Commands, COMMAND_BYTES, 0).map(Some)
    }

    async fn take_command(&mut self, command: Command, memory: Option<MemoryGrant>) {
        // The runtime assumes that a new connection is readable before it polls the kernel, which
        // also reports a disconnect. If a client sent a command and left while it waited for a
        // descriptor, this must be noticed before an attempt begins.
        if !self.activity.had_command {
            yield_now().await;
        }
        self.activity.had_command = true;
        let phase = *self.phase.borrow();
        let arrived_at = self.input.unread.arrived_at(earliest_arrival(self.shared));
        self.input.unread.wait_for_others();
        let origin =
            CommandOrigin { client: self.presence.presence(), replies_changed: self.replies_changed.clone() };
        match parse(self.shared, command, arrived_at, phase, origin) {
            Parsed::Request(request, new_request) => {
                let (delivery, awaited) = oneshot::channel();
                let active = self.shared.metrics.request_started(new_request.class, request.id.clone());
                log::debug!(client = self.number, client_id:% = String::from_utf8_lossy(&request.id); "command read");
                let reply = AwaitedReply { delivery: awaited, active, request: request.clone() };
                self.pending.push(PendingReply::Awaited(reply));
                let task = requests::serve(self.shared.clone(), request, new_request, delivery, memory);
                spawn_local(task);
            }
            Parsed::Reply(text) => self.reply(text),
            Parsed::ReplyAndQuit(text) => {
                self.reply(text);
                self.closing = Some(CloseReason::ClientQuit);
            }
            Parsed::Malformed(text) => {
                self.shared.counters.malformed.add();
                self.reply(text);
            }
        }
    }

    fn reply(&mut self, text: Bytes) {
        self.pending.push(PendingReply::Ready(text));
    }

    /// Queues the last reply to a client that violates the protocol.
    fn refuse(&mut self, cause: &ProtocolError) {
        log::debug!(client = self.number, cause:%; "client refused");
        self.shared.counters.malformed.add();
        self.reply(resp::encode_error(&format!("Protocol error: {cause}")));
        self.closing = Some(match cause {
            ProtocolError::TimedOut => CloseReason::ClientSilent,
            _ => CloseReason::ProtocolError,
        });
    }

    /// How many commands may wait for their replies now.
    fn max_pending(&self) -> usize {
        if self.outgoing.is_empty() {
            MAX_PENDING_REPLIES
        } else {
            MAX_PENDING_WHILE_WRITING
        }
    }

    /// Rejects a value that waits for memory, and the requests that wait for replies before theirs.
    fn refuse_what_has_not_begun(&mut self) {
        if self.input.waiting_value().is_some() {
            self.reject_value();
        }
        self.pending.refuse_held();
    }

    fn begin_ready_reply(&mut self) {
        self.pending.set_next();
        if !self.outgoing.is_empty() {
            return;
        }
        if let Some(reply) = self.pending.take_ready() {
            self.begin_reply(reply);
        }
    }

    fn begin_reply(&mut self, reply: OutgoingReply) {
        self.outgoing = reply;
        self.step_deadline = None;
    }

    fn snapshot(&mut self, is_idle: bool) -> Snapshot {
        let awaits_memory = self.input.waiting_value().is_some();
        let is_quiet = !awaits_memory && self.activity.is_quiet();
        let phase = *self.phase.borrow_and_update();
        self.activity.note_phase(phase);
        let drain_overdue = !self.input.has_incoming_value() && self.activity.drain_is_overdue();
        let is_partial = self.input.is_partial();
        Snapshot { phase, is_idle, is_partial, is_quiet, awaits_memory, drain_overdue }
    }

    /// Whether an idle connection is to be closed now. Bytes that arrived in the meantime are
    /// served first, so that a close by a timer crosses with as few requests as possible.
    async fn confirm_close(&mut self, snapshot: &Snapshot) -> bool {
        yield_now().await;
        if snapshot.drain_overdue || !self.input.try_read(&mut self.reader) {
            return true;
        }
        self.activity.last_input_at = Instant::now();
        false
    }

    /// Sets the deadline of the client's next step, counted from when the step became due.
    fn update_step_deadline(&mut self, snapshot: &Snapshot) {
        self.step_deadline = match self.step_timeout(snapshot) {
            Some(timeout) => Some(self.step_deadline.unwrap_or_else(|| Instant::now() + timeout)),
            None => None,
        };
    }

    fn step_timeout(&self, snapshot: &Snapshot) -> Option<Duration> {
        if self.outgoing.has_text() {
            return Some(WRITE_CHECK_INTERVAL);
        }
        // The connection waits for a host or for memory, not for the client.
        if !self.outgoing.is_empty() || snapshot.awaits_memory {
            return None;
        }
        let awaits_command = snapshot.is_idle && (snapshot.is_partial || !self.activity.had_command);
        awaits_command.then_some(COMMAND_TIMEOUT)
    }

    fn read_plan(&mut self, snapshot: &Snapshot) -> ReadPlan {
        let may_read = self.closing.is_none() && !snapshot.drain_overdue && snapshot.phase != Phase::Flushing;
        let takes_commands = may_read && self.pending.len() < self.max_pending();
        let awaits_reply = self.pending.awaits_answer();
        let works_for_client = snapshot.awaits_memory || awaits_reply;
        // While a request is in progress, commands past the limit are read into the buffer too: if
        // unread bytes filled the client's window, its disconnect would go unnoticed, and its
        // requests would continue.
        let reads_ahead = may_read && !takes_commands && works_for_client && self.input.can_read_ahead();
        // A full buffer holds commands that wait for memory.
        let reads_commands = takes_commands && self.input.has_space();
        let reads = (reads_commands || reads_ahead) && self.input.reserve_read();
        if !takes_commands {
            self.input.unread.wait_for_others();
        } else if !reads && (snapshot.is_idle || snapshot.awaits_memory) {
            self.input.unread.reading_paused(self.shared.clock.now());
        } else {
            self.input.unread.reading_resumed(self.shared.clock.now());
        }
        // A disconnect is watched for while work for the client is in progress. A complete reply is
        // written even if the client may have stopped reading.
        let watches_client = reads || works_for_client || self.outgoing.is_streaming();
        ReadPlan { takes_commands, reads, watches_client }
    }

    async fn next_event(&mut self, snapshot: &Snapshot) -> Event {
        let plan = self.read_plan(snapshot);
        let recheck_at = self.activity.next_recheck(snapshot);
        let reject_value_at = self.reject_value_at();
        let can_be_shed =
            snapshot.is_idle && (snapshot.is_quiet || (self.activity.had_command && !snapshot.is_partial));
        let awaits_command = snapshot.is_partial || !self.activity.had_command;
        let waits_for_memory = plan.takes_commands && !plan.reads;
        let is_writing = !self.outgoing.is_empty();
        let requests_held = self.pending.has_held();
        let budget = &self.shared.budget;
        let input = self.input.wait(&mut self.reader, plan.reads);
        let output = self.outgoing.advance(&mut self.writer);
        let awaited = self.pending.next_awaited(&self.shared.invariants);
        let shed_requested = budget.shed_requested(awaits_command, &self.shed_wakeup);
        tokio::select! {
            biased;
            event = input, if plan.watches_client => Event::Input(event),
            () = budget.memory.freed.notified(), if waits_for_memory => Event::MemoryFreed,
            () = self.replies_changed.notified(), if requests_held => Event::ReplyKnown,
            reply = awaited, if !is_writing => Event::Reply(reply),
            event = output, if is_writing => Event::Output(event),
            () = sleep_until_some(self.step_deadline) => Event::TimedOut,
            _ = self.phase.changed() => Event::PhaseChanged,
            () = sleep_until_some(reject_value_at) => Event::ValueOverdue,
            () = sleep_until_some(recheck_at) => Event::Recheck,
            () = shed_requested, if can_be_shed => Event::ShedRequested,
        }
    }

    /// When the value that waits for memory has waited as long as its client does.
    fn reject_value_at(&mut self) -> Option<Instant> {
        let wait = self.input.waiting_value()?.client_wait();
        let wait = wait.unwrap_or(COMMAND_TIMEOUT.as_micros() as Micros);
        self.input.unread.reject_at(wait).map(|at| self.shared.clock.at(at))
    }

    /// Rejects the request whose value waits for memory: it was not read, so it never ran.
    fn reject_value(&mut self) {
        let Some(value) = self.input.waiting_value() else { return };
        let class_and_id = value.class_and_id();
        self.input.refuse_incoming_value();
        self.input.unread.wait_for_others();
        self.shared.counters.values_rejected.add();
        let request = class_and_id.and_then(|(class, id)| {
            let class = self.shared.names.borrow().class_id(&class).ok()?;
            log::debug!(client_id:% = String::from_utf8_lossy(&id); "request rejected: no memory for its value");
            Some(self.shared.metrics.request_started(class, id))
        });
        let retry_after = self.shared.router.borrow().retry_after();
        let text = encode_rejection(retry_after);
        self.pending.push(PendingReply::Rejected { text, request });
    }

    fn handle(&mut self, event: Event) -> ControlFlow<CloseReason> {
        match event {
            Event::Input(event) => return self.handle_input(event),
            Event::Output(event) => return self.handle_output(event),
            Event::Reply(Some(reply)) => self.begin_reply(reply),
            Event::TimedOut => return self.handle_timeout(),
            Event::ValueOverdue => self.reject_value(),
            Event::ShedRequested => return self.handle_shed_request(),
            Event::Reply(None)
            | Event::ReplyKnown
            | Event::MemoryFreed
            | Event::PhaseChanged
            | Event::Recheck => {}
        }
        ControlFlow::Continue(())
    }

    fn handle_input(&mut self, event: InputEvent) -> ControlFlow<CloseReason> {
        match event {
            InputEvent::Read(Ok(1..)) => {
                // The time limit of a value applies to its progress.
                if self.input.has_incoming_value() {
                    self.step_deadline = None;
                }
                self.activity.last_input_at = Instant::now();
                ControlFlow::Continue(())
            }
            InputEvent::Read(Ok(0)) => ControlFlow::Break(CloseReason::ClientLeft),
            InputEvent::Read(Err(cause)) => {
                log::debug!(client = self.number, cause:%; "client connection broke");
                ControlFlow::Break(CloseReason::ConnectionBroken)
            }
            InputEvent::Disconnected => {
                let pending = self.pending.len();
                log::debug!("client disconnected while its input was not read; {pending} replies pending");
                ControlFlow::Break(CloseReason::ClientLeft)
            }
        }
    }

    fn handle_output(&mut self, event: OutputEvent) -> ControlFlow<CloseReason> {
        match event {
            OutputEvent::Wrote(Ok(count)) if count > 0 => {
                self.has_sent = true;
                match self.outgoing.written(count, &self.shared.invariants) {
                    ReplyProgress::Complete(Some(request)) => self.shared.answer_written(&request),
                    ReplyProgress::Complete(None) | ReplyProgress::Continues => {}
                    ReplyProgress::LengthWrong => return ControlFlow::Break(CloseReason::ValueTruncated),
                }
                self.activity.replied_in_takeover = *self.phase.borrow() == Phase::Takeover;
                // The time limit applies to progress: a client that keeps receiving bytes, however
                // slowly, gets this reply and those after it.
                self.step_deadline = None;
                self.write_check = None;
                self.reader_pause = None;
                ControlFlow::Continue(())
            }
            OutputEvent::ChunkReady => ControlFlow::Continue(()),
            OutputEvent::Wrote(_) => ControlFlow::Break(CloseReason::ConnectionBroken),
            OutputEvent::StreamBroken => ControlFlow::Break(CloseReason::ValueTruncated),
        }
    }

    /// Handles a client that missed the deadline of its step. After a partial command it is sent an
    /// error.
    fn handle_timeout(&mut self) -> ControlFlow<CloseReason> {
        if !self.outgoing.is_empty() {
            return self.check_reader();
        }
        self.shared.counters.clients_slow.add();
        // A value that was refused has its reply.
        if !self.input.is_partial() || self.input.is_discarding() {
            return ControlFlow::Break(CloseReason::ClientSilent);
        }
        self.input.drop_incoming_value();
        self.refuse(&ProtocolError::TimedOut);
        self.step_deadline = None;
        ControlFlow::Continue(())
    }

    /// Disconnects the client if it has received nothing of its reply for too long: from one check to the
    /// next, but of a long value, which is not held in memory, for as long as nobody needs what it holds.
    fn check_reader(&mut self) -> ControlFlow<CloseReason> {
        let check = WriteCheck::of(&self.reader, &self.shared.sockets);
        let is_stalled = self.write_check.is_some_and(|before| !check.may_show_progress_since(before));
        if !is_stalled {
            // The time of the next check counts: the client may have paused since this one.
            self.reader_pause = None;
        }
        let pause = *self.reader_pause.get_or_insert_with(Pause::begin);
        let may_pause = self.outgoing.is_long_value() && !pause.is_over(&self.shared.budget);
        if is_stalled && !may_pause {
            self.shared.counters.clients_slow.add();
            return ControlFlow::Break(CloseReason::ReaderStalled);
        }
        self.write_check = Some(check);
        self.step_deadline = None;
        ControlFlow::Continue(())
    }

    fn handle_shed_request(&mut self) -> ControlFlow<CloseReason> {
        if self.shared.budget.has_client_descriptor() {
            return ControlFlow::Continue(());
        }
        self.shared.counters.clients_shed.add();
        ControlFlow::Break(CloseReason::Shed)
    }
}

async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

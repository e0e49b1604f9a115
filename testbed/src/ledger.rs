//! The ledger: records everything that crosses the sockets of the emulated world. The audit
//! ([`crate::audit`]) and the figures ([`crate::figures`]) are computed from it.

use std::fmt;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};

use crate::time::{Clock, Micros};

/// The id of a command; a client's retry gets a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl RequestId {
    /// Parses the form that `Display` writes, 16 hexadecimal digits; `None` for anything else.
    pub fn read(text: &[u8]) -> Option<RequestId> {
        let text = std::str::from_utf8(text).ok().filter(|text| text.len() == 16)?;
        u64::from_str_radix(text, 16).ok().map(RequestId)
    }
}

/// The number of a machine of the emulated world, a cache host or the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HostNo(pub u32);

impl HostNo {
    /// The origin.
    pub const ORIGIN: HostNo = HostNo(u32::MAX);
}

impl fmt::Display for HostNo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            HostNo::ORIGIN => write!(f, "origin"),
            HostNo(no) => write!(f, "host {no}"),
        }
    }
}

/// A balancer's final answer to a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A value.
    Served {
        /// Whether the value was made for this request.
        own: bool,
    },
    /// `-BUSY`: rejected without effect.
    Busy,
    /// Any other error.
    Failed,
}

/// The status of a host that discovery announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// In service.
    Active,
    /// Draining.
    Leaving,
    /// Gone.
    Left,
}

impl EndpointStatus {
    /// The word for this status in stored results. `Active` is stored as "Up", its name in older
    /// results.
    fn stored_name(self) -> &'static str {
        match self {
            EndpointStatus::Active => "Up",
            EndpointStatus::Leaving => "Leaving",
            EndpointStatus::Left => "Left",
        }
    }
}

/// One event at a socket of the emulated world, or of its script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The last byte of a command was written to a balancer.
    RequestSent {
        /// The command.
        id: RequestId,
        /// The balancer's index.
        balancer: usize,
        /// The index of the request class in the experiment.
        category: usize,
        /// When the answer is due.
        until: Micros,
    },
    /// The client received a final answer.
    ReplyReceived {
        /// The command.
        id: RequestId,
        /// The answer.
        answer: Reply,
    },
    /// The client closed the connection before it received the answer.
    ClientLeft {
        /// The command.
        id: RequestId,
    },
    /// The client received all replies that precede this command's on its connection. The answer is
    /// not late while it waits for them.
    ReplyIsNext {
        /// The command.
        id: RequestId,
    },
    /// The balancer closed the connection without answering the command.
    ConnectionClosed {
        /// The command.
        id: RequestId,
    },
    /// No answer came by the deadline, nor in the time for which the client waited beyond it.
    Unanswered {
        /// The command.
        id: RequestId,
    },
    /// A balancer sent bytes on a connection with no open request.
    UnsolicitedReply {
        /// The balancer's index.
        balancer: usize,
    },
    /// The last byte of an attempt reached a host.
    AttemptReceived {
        /// The command.
        id: RequestId,
        /// The machine.
        host: HostNo,
        /// The balancer's index.
        balancer: usize,
        /// When the host received the first byte.
        began: Micros,
    },
    /// The host answered that it did not run the command (`-BUSY`, or HTTP `X-Unprocessed`).
    AttemptRejected {
        /// The command.
        id: RequestId,
        /// The machine.
        host: HostNo,
    },
    /// The host did not hold the key: no effect.
    KeyMissing {
        /// The command.
        id: RequestId,
        /// The machine.
        host: HostNo,
    },
    /// The host ran the command.
    Executed {
        /// The command.
        id: RequestId,
        /// The machine.
        host: HostNo,
        /// Whether it was a write that took effect, not a repeat that the host dropped.
        effect: bool,
    },
    /// Discovery wrote the status of a host to a balancer.
    StatusAnnounced {
        /// The balancer's index.
        balancer: usize,
        /// The machine.
        host: HostNo,
        /// The status written.
        status: EndpointStatus,
    },
    /// A balancer counts as informed of a host's status from now on, whether or not it called
    /// discovery.
    AnnouncementDue {
        /// The balancer's index.
        balancer: usize,
        /// The machine.
        host: HostNo,
        /// The status.
        status: EndpointStatus,
    },
    /// A machine went down because of too much load.
    Overloaded {
        /// The machine.
        host: HostNo,
        /// Whether it was still warming up.
        cold: bool,
        /// Whether misses at hosts that were warming up made most of the load (for the origin).
        by_cold_misses: bool,
    },
    /// A balancer process was restarted, or was killed or ended by itself.
    BalancerProcess {
        /// The balancer's index.
        balancer: usize,
        /// Whether it was started.
        up: bool,
    },
    /// A fault begins or ends.
    FaultBoundary {
        /// The fault's title.
        text: String,
        /// Whether it begins.
        begins: bool,
    },
}

/// The form in which results store an observation (`around` of a breach). Its words differ from the
/// names of the variants so that it stays comparable with earlier results.
impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Observation::RequestSent { id, balancer, category, until } => write!(
                f,
                "Asked {{ id: Id({}), balancer: {balancer}, category: {category}, until: {until} }}",
                id.0
            ),
            Observation::ReplyReceived { id, answer } => {
                write!(f, "Answered {{ id: Id({}), answer: {answer:?} }}", id.0)
            }
            Observation::ClientLeft { id } => write!(f, "Left {{ id: Id({}) }}", id.0),
            Observation::ConnectionClosed { id } => write!(f, "Cut {{ id: Id({}) }}", id.0),
            Observation::ReplyIsNext { id } => write!(f, "Next {{ id: Id({}) }}", id.0),
            Observation::Unanswered { id } => write!(f, "Unanswered {{ id: Id({}) }}", id.0),
            Observation::UnsolicitedReply { balancer } => write!(f, "Stray {{ balancer: {balancer} }}"),
            Observation::AttemptReceived { id, host, balancer, began } => write!(
                f,
                "Pushed {{ id: Id({}), host: {host:?}, balancer: {balancer}, began: {began} }}",
                id.0
            ),
            Observation::AttemptRejected { id, host } => {
                write!(f, "Turned {{ id: Id({}), host: {host:?} }}", id.0)
            }
            Observation::KeyMissing { id, host } => {
                write!(f, "Missed {{ id: Id({}), host: {host:?} }}", id.0)
            }
            Observation::Executed { id, host, effect } => {
                write!(f, "Ran {{ id: Id({}), host: {host:?}, effect: {effect} }}", id.0)
            }
            Observation::StatusAnnounced { balancer, host, status } => {
                write_status(f, "Told", *balancer, *host, *status)
            }
            Observation::AnnouncementDue { balancer, host, status } => {
                write_status(f, "Due", *balancer, *host, *status)
            }
            Observation::Overloaded { host, cold, by_cold_misses } => {
                write!(f, "Fell {{ host: {host:?}, cold: {cold}, by_cold_misses: {by_cold_misses} }}")
            }
            Observation::BalancerProcess { balancer, up } => {
                write!(f, "Balancer {{ balancer: {balancer}, up: {up} }}")
            }
            Observation::FaultBoundary { text, begins } => {
                write!(f, "Edge {{ text: {text:?}, begins: {begins} }}")
            }
        }
    }
}

fn write_status(
    f: &mut fmt::Formatter<'_>,
    word: &str,
    balancer: usize,
    host: HostNo,
    status: EndpointStatus,
) -> fmt::Result {
    let status = status.stored_name();
    write!(f, "{word} {{ balancer: {balancer}, host: {host:?}, standing: {status} }}")
}

impl Observation {
    /// The request that the observation concerns, if any.
    pub fn request_id(&self) -> Option<RequestId> {
        match self {
            Observation::RequestSent { id, .. }
            | Observation::ReplyReceived { id, .. }
            | Observation::ClientLeft { id }
            | Observation::ConnectionClosed { id }
            | Observation::Unanswered { id }
            | Observation::ReplyIsNext { id }
            | Observation::AttemptReceived { id, .. }
            | Observation::AttemptRejected { id, .. }
            | Observation::KeyMissing { id, .. }
            | Observation::Executed { id, .. } => Some(*id),
            _ => None,
        }
    }
}

/// An observation with its time.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time in microseconds since the run began.
    pub at: Micros,
    /// What was observed.
    pub observation: Observation,
}

/// The record of a run. Clones share one record.
#[derive(Clone)]
pub struct Ledger {
    /// The run's clock.
    pub clock: Clock,
    // A channel, not a list behind a lock: a thread that is preempted while it records an event
    // must not block other threads.
    sender: Sender<Event>,
    receiver: Arc<Mutex<Receiver<Event>>>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(clock: Clock) -> Ledger {
        let (sender, receiver) = mpsc::channel();
        Ledger { clock, sender, receiver: Arc::new(Mutex::new(receiver)) }
    }

    /// Records an observation with the current time.
    pub fn note(&self, observation: Observation) {
        // Sending can't fail: the receiver lives as long as this sender.
        let _ = self.sender.send(Event { at: self.clock.now(), observation });
    }

    /// Takes all events recorded since the last call, in order of time.
    pub fn take(&self) -> Vec<Event> {
        let mut events: Vec<Event> = {
            let receiver = self.receiver.lock().unwrap_or_else(PoisonError::into_inner);
            receiver.try_iter().collect()
        };
        events.sort_by_key(|event| event.at);
        events
    }
}

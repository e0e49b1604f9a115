//! Everything that crossed the sockets of the emulated world, in the order in which it was
//! recorded. The audit ([`crate::audit`]) and the figures ([`crate::figures`]) are made from it.

use std::fmt;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};

use crate::time::{Clock, Micros};

/// The id of a command: new with every try of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl RequestId {
    /// Reads the form that `Display` writes: 16 hexadecimal digits; `None` for anything else.
    pub fn read(text: &[u8]) -> Option<RequestId> {
        let text = std::str::from_utf8(text).ok().filter(|text| text.len() == 16)?;
        u64::from_str_radix(text, 16).ok().map(RequestId)
    }
}

/// The number of a machine of the emulated world; the origin is one too.
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
        /// Whether it is the value that was made for this request.
        own: bool,
    },
    /// `-BUSY`: rejected, and it did not take effect.
    Busy,
    /// Any other error.
    Failed,
}

/// What discovery announces of a host.
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
    /// The word under which results store it.
    fn stored_name(self) -> &'static str {
        match self {
            EndpointStatus::Active => "Up",
            EndpointStatus::Leaving => "Leaving",
            EndpointStatus::Left => "Left",
        }
    }
}

/// One thing that was seen at a socket of the emulated world.
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
    /// A final answer came.
    ReplyReceived {
        /// The command.
        id: RequestId,
        /// The answer.
        answer: Reply,
    },
    /// The client went away before its answer.
    ClientLeft {
        /// The command.
        id: RequestId,
    },
    /// The replies before this command's on its connection have come: the time until then does not
    /// count.
    ReplyIsNext {
        /// The command.
        id: RequestId,
    },
    /// The balancer ended the connection over the command.
    ConnectionClosed {
        /// The command.
        id: RequestId,
    },
    /// No answer came by the deadline and the client's patience beyond.
    Unanswered {
        /// The command.
        id: RequestId,
    },
    /// Bytes came from a balancer that had no open request on that connection.
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
        /// When the first byte came.
        began: Micros,
    },
    /// The host answered -BUSY (or that it did not process the command): it never ran.
    AttemptRejected {
        /// The command.
        id: RequestId,
        /// The machine.
        host: HostNo,
    },
    /// The host lacked the key: no effect.
    KeyMissing {
        /// The command.
        id: RequestId,
        /// The machine.
        host: HostNo,
    },
    /// The command ran.
    Executed {
        /// The command.
        id: RequestId,
        /// The machine.
        host: HostNo,
        /// Whether it was a write that was no repeat.
        effect: bool,
    },
    /// Discovery wrote the status of a host to a balancer.
    StatusAnnounced {
        /// The balancer's index.
        balancer: usize,
        /// The machine.
        host: HostNo,
        /// The status written.
        standing: EndpointStatus,
    },
    /// From now on a balancer counts as informed of a host's status, whether or not it polled
    /// discovery.
    AnnouncementDue {
        /// The balancer's index.
        balancer: usize,
        /// The machine.
        host: HostNo,
        /// The status.
        standing: EndpointStatus,
    },
    /// A machine stopped under more load than it bears.
    Overloaded {
        /// The machine.
        host: HostNo,
        /// Whether it was still warming up.
        cold: bool,
        /// Whether misses at hosts that were warming up made most of the load (for the origin).
        by_cold_misses: bool,
    },
    /// A balancer was started or killed.
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

/// The form in which results store an observation (`around` of a breach). Its words are older than
/// the names of the variants, and stay so that lines of old and new results can be compared.
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
            Observation::StatusAnnounced { balancer, host, standing } => {
                write_status(f, "Told", *balancer, *host, *standing)
            }
            Observation::AnnouncementDue { balancer, host, standing } => {
                write_status(f, "Due", *balancer, *host, *standing)
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
    /// The request that it is about, where it is about one.
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
    /// Microseconds since the run began.
    pub at: Micros,
    /// What was seen.
    pub observation: Observation,
}

/// The record of a run. Clones share one record.
#[derive(Clone)]
pub struct Ledger {
    /// The run's clock.
    pub clock: Clock,
    // A channel and not a locked list: a thread that loses its core while it records holds up no
    // other thread.
    sender: Sender<Event>,
    receiver: Arc<Mutex<Receiver<Event>>>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(clock: Clock) -> Ledger {
        let (sender, receiver) = mpsc::channel();
        Ledger { clock, sender, receiver: Arc::new(Mutex::new(receiver)) }
    }

    /// Records an observation, at the time of the call.
    pub fn note(&self, observation: Observation) {
        // Sending can't fail: the receiver lives as long as this sender.
        let _ = self.sender.send(Event { at: self.clock.now(), observation });
    }

    /// Takes all that was recorded since the last call, in the order of its times.
    pub fn take(&self) -> Vec<Event> {
        let mut events: Vec<Event> = {
            let receiver = self.receiver.lock().unwrap_or_else(PoisonError::into_inner);
            receiver.try_iter().collect()
        };
        events.sort_by_key(|event| event.at);
        events
    }
}

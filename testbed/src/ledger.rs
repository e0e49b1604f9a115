//! All that crossed the world's sockets, in the order in which it was noted: what the audit and the figures are made from.

use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};

use crate::time::{Clock, Micros};

/// A command's id: new with every try of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Id {
    pub fn read(text: &[u8]) -> Option<Id> {
        let text = std::str::from_utf8(text).ok().filter(|text| text.len() == 16)?;
        u64::from_str_radix(text, 16).ok().map(Id)
    }
}

/// A machine of the world; the origin is one too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HostNo(pub u32);

impl HostNo {
    pub const ORIGIN: HostNo = HostNo(u32::MAX);
}

impl std::fmt::Display for HostNo {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match *self {
            HostNo::ORIGIN => write!(f, "origin"),
            HostNo(no) => write!(f, "host {no}"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    /// With the value that was made for this id, or with another.
    Served {
        own: bool,
    },
    Busy,
    Failed,
}

/// What discovery says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Up,
    Leaving,
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A command's last byte was written to a balancer; an answer is due by `until`.
    Asked {
        id: Id,
        balancer: usize,
        category: usize,
        until: Micros,
    },
    Answered {
        id: Id,
        answer: Answered,
    },
    /// The client went away before its answer.
    Left {
        id: Id,
    },
    /// The balancer ended the connection over it.
    Cut {
        id: Id,
    },
    /// No answer came by the deadline and the client's patience beyond.
    Unanswered {
        id: Id,
    },
    /// Bytes came from a balancer to which nothing was asked.
    Stray {
        balancer: usize,
    },
    /// A push's last byte came; its first came at `began`.
    Pushed {
        id: Id,
        host: HostNo,
        balancer: usize,
        began: Micros,
    },
    /// It was answered -BUSY (or as unprocessed): it never ran.
    Turned {
        id: Id,
        host: HostNo,
    },
    /// The host lacked the key: no effect.
    Missed {
        id: Id,
        host: HostNo,
    },
    /// It ran there; `effect` where it was a write that was no repeat.
    Ran {
        id: Id,
        host: HostNo,
        effect: bool,
    },
    /// Discovery wrote this of a host to a balancer.
    Told {
        balancer: usize,
        host: HostNo,
        standing: Standing,
    },
    /// This of a host counts as told to a balancer, whether or not it asked.
    Due {
        balancer: usize,
        host: HostNo,
        standing: Standing,
    },
    /// A machine was pushed over.
    Fell {
        host: HostNo,
        cold: bool,
        by_cold_misses: bool,
    },
    /// A balancer was started or killed.
    Balancer {
        balancer: usize,
        up: bool,
    },
    /// A fault begins or ends.
    Edge {
        text: String,
        begins: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Micros,
    pub what: What,
}

#[derive(Clone)]
pub struct Ledger {
    pub clock: Clock,
    // A queue without a lock: a thread that is put off its core amid a note holds up no other.
    tell: Sender<Event>,
    told: Arc<Mutex<Receiver<Event>>>,
}

impl Ledger {
    pub fn new(clock: Clock) -> Ledger {
        let (tell, told) = mpsc::channel();
        Ledger { clock, tell, told: Arc::new(Mutex::new(told)) }
    }

    pub fn note(&self, what: What) {
        // The other end lives as long as this one.
        let _ = self.tell.send(Event { at: self.clock.now(), what });
    }

    /// All that was noted since, in the order of its times.
    pub fn take(&self) -> Vec<Event> {
        let mut events: Vec<Event> = {
            let told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
            told.try_iter().collect()
        };
        events.sort_by_key(|event| event.at);
        events
    }
}

//! The interface of `rules`: ids, times, what a balancer hears and orders, and the terms it starts from.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A point in time or a span, in whole microseconds.
pub type Micros = i64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($of:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub $of);
    )*};
}

ids! {
    /// One try of a client; never used again.
    OpId(u32),
    /// A number for a host at one balancer, counted up from 0 in order of first mention.
    HostId(u32),
    /// The push of an op, counted from 0 in the order of its pushes.
    PushNo(u32),
    /// Index into `Terms::categories`.
    CategoryId(u16),
    /// Index into `Terms::customers`.
    CustomerId(u16),
    ZoneId(u32),
    CellId(u32),
    /// A place on the ring, the same for one text at every balancer.
    Place(u64),
}

impl Place {
    /// FNV-1a, then a mixing step so that texts that differ little lie far apart.
    pub fn of(text: &str) -> Place {
        let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
        Place(hash).mixed(0)
    }

    /// Another place drawn from this one by a number (splitmix64).
    pub fn mixed(self, salt: u64) -> Place {
        let mut z = self.0.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(1);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        Place(z ^ (z >> 31))
    }
}

/// A balancer's own chance, all from its seed.
pub struct Chance(ChaCha8Rng);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(ChaCha8Rng::seed_from_u64(seed))
    }

    pub fn draw(&mut self) -> u64 {
        self.0.random()
    }

    /// A number from 0 up to 1.
    pub fn part(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A pause drawn from the upper half of this one, so that those who wait alike do not come back together.
    pub fn upper_half(&mut self, pause: Micros) -> Micros {
        let half = pause / 2;
        half + (self.draw() % half.max(1) as u64) as Micros
    }
}

impl Default for Chance {
    fn default() -> Chance {
        Chance::new(0)
    }
}

/// Which hosts drop a repeat of a deduplicated op.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Group {
    /// Whether two hosts drop each other's repeats.
    pub fn joins(self, one: &Listed, other: &Listed) -> bool {
        match self {
            Group::All => true,
            Group::Zone => one.zone == other.zone,
            Group::Cell => one.cell == other.cell,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Redeliverable,
    /// Repeats are dropped inside the group for the window, from the send of the push that may have run.
    Deduplicated {
        group: Group,
        window: Micros,
    },
    AtMostOnce,
}

#[derive(Clone, Debug)]
pub struct CategoryTerms {
    pub target_latency: Micros,
    pub ttl: Micros,
    pub benefit: f64,
    /// The part of the benefit that an answer past the target latency still earns.
    pub late_benefit: f64,
    pub repeats: Repeats,
}

#[derive(Clone, Debug)]
pub struct CustomerTerms {
    /// Ops a second within its share, over all balancers; 0 for no bound.
    pub quota_per_s: f64,
}

/// A part of the result that a category earns in full only while few of its ops miss the target latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// Its weight in the result.
    pub weight: f64,
    /// The part of the ops that may miss without loss; nothing is left at five times as much.
    pub miss: f64,
}

/// How a host warms up and what makes it fall.
#[derive(Clone, Debug, Default)]
pub struct ColdTerms {
    pub from: f64,
    pub warm_within: Micros,
    pub fall_multiple: f64,
    pub fall_window: Micros,
}

impl ColdTerms {
    /// The least part of its capacity that a host has at an age.
    pub fn surely(&self, age: Micros) -> f64 {
        (self.from + (1.0 - self.from) * age as f64 / self.warm_within.max(1) as f64).clamp(self.from, 1.0)
    }
}

/// What the deployment is like and allows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowed {
    /// A host that lacks a key says so, and the balancer asks the origin.
    pub aside: bool,
    /// The list comes only when asked for.
    pub list_asked: bool,
    pub weights_steady: bool,
    pub max_pushes: u32,
    pub second_copies: bool,
    pub call_off: bool,
    /// Only draining binds: a host that the list drops without that may still be sent to.
    pub dropped_stay: bool,
}

/// What a balancer is told at its start.
#[derive(Clone, Debug)]
pub struct Terms {
    pub seed: u64,
    pub balancers: u32,
    pub allowed: Allowed,
    /// The longest come-back time a client will heed; `None` where nacks carry none.
    pub come_back: Option<Micros>,
    /// Events come in steps of this length.
    pub tick: Micros,
    /// The part of the benefit left for ops past a customer's share.
    pub excess_benefit: f64,
    pub promise: Option<Promise>,
    pub cold: ColdTerms,
    pub categories: Vec<CategoryTerms>,
    pub customers: Vec<CustomerTerms>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    Up,
    Draining,
    Gone,
}

/// A host as the list shows it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub host: HostId,
    /// Hash of the host's name.
    pub place: Place,
    pub origin: bool,
    pub zone: ZoneId,
    pub cell: CellId,
    pub lifecycle: Lifecycle,
    pub weight: f64,
    pub started: Option<Micros>,
}

/// What a process of this balancer has learnt of a host, for the one that replaces it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Learnt {
    pub place: Place,
    /// How much may be in flight there.
    pub room: f64,
}

/// How a push ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Acked,
    /// The host answered with an error; the op may have run.
    Error,
    /// Turned away unseen: full or draining.
    TurnedAway,
    TimedOut,
    Unreachable,
    /// The connection went while the push was out; perhaps its host did.
    Broken,
    /// The same where the fault was the connection's own: the op may have run, and the host is well.
    Severed,
    CalledOff,
    /// Never sent.
    Void,
    /// The host has no value for the key.
    Miss,
}

impl End {
    /// The host said something, whatever it was.
    pub fn answered(self) -> bool {
        matches!(self, End::Acked | End::Error | End::TurnedAway | End::Miss)
    }

    pub fn proves_not_run(self) -> bool {
        matches!(self, End::TurnedAway | End::Unreachable | End::Void | End::Miss)
    }
}

#[derive(Clone, Debug)]
pub enum Heard {
    /// The whole list, or only the entries that changed.
    List {
        whole: bool,
        entries: Vec<Listed>,
    },
    /// What the process that this one replaces had learnt.
    Learnt(Vec<Learnt>),
    /// A call for the list failed or the watch ended.
    ListRefused,
    Op {
        op: OpId,
        category: CategoryId,
        customer: Option<CustomerId>,
        key: Option<Place>,
        write: bool,
        /// The client marked it as a repeat of an earlier try.
        again: bool,
        ttl_at: Micros,
    },
    /// A push goes on a connection that has carried nothing yet: it takes longer than its host does, so that waiting for
    /// it tells nothing of the host.
    First {
        op: OpId,
        push: PushNo,
        host: HostId,
    },
    Ended {
        op: OpId,
        push: PushNo,
        host: HostId,
        took: Micros,
        end: End,
        /// Nothing more is owed for the op.
        over: bool,
    },
    /// Nobody waits for the op any more.
    Dropped {
        op: OpId,
    },
    /// The process ends, and can't wait for the op's pushes any longer.
    Ending {
        op: OpId,
    },
    /// Its push may be lost with its connection: others that went to the host after it were answered.
    Doubt {
        op: OpId,
        push: PushNo,
    },
    /// The host answered on a connection from before its silence: it is there, and was not started anew.
    Alive {
        host: HostId,
    },
    /// This balancer itself stood still for so long: nobody's silence in that time tells anything.
    Stopped(Micros),
    Wake(Wake),
}

/// What a balancer asked to be woken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    Sweep,
    Watch,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Push {
        op: OpId,
        host: HostId,
        timeout: Micros,
    },
    Nack {
        op: OpId,
        come_back: Option<Micros>,
    },
    DeadLetter {
        op: OpId,
    },
    CallOff {
        op: OpId,
        push: PushNo,
    },
    Wake {
        after: Micros,
        wake: Wake,
    },
    /// Ask to be told of changes to the list from now on.
    Watch,
}

//! The troubles from which a soak draws.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::experiment::FaultKind;

/// A fault of the emulated world, as the soak's experiment describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorldFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The hosts that it affects.
    pub hosts: AffectedHosts,
    /// Probability that it applies to an attempt or a piece of a response.
    pub part: f64,
    /// Factor by which work takes longer, for faults that slow hosts down.
    pub factor: f64,
    /// Its schedule if it recurs; otherwise it is on for the whole trouble.
    pub pulse: Option<Pulse>,
}

/// The hosts that a fault of the world affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AffectedHosts {
    /// No cache hosts.
    None,
    /// This many twelfths of the fleet.
    Twelfths(usize),
    /// All hosts of one zone.
    OneZone,
    /// All hosts, as seen by one balancer only.
    AllForOneBalancer,
}

/// The schedule of a recurring fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pulse {
    /// Duration of each occurrence, in seconds.
    pub on_s: f64,
    /// Time from one occurrence's start to the next, in seconds.
    pub every_s: f64,
}

/// What a trouble does to balancer processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessTrouble {
    /// SIGTERM; the process is restarted once it has ended.
    Terminate,
    /// SIGHUP, SIGUSR1, SIGTERM, SIGHUP and SIGTERM, 5 ms apart, before the SIGTERM of
    /// [`ProcessTrouble::Terminate`].
    SignalSeries,
    /// The process runs for a tenth of the time, 2 ms in every 20 ms.
    CoreShare,
    /// SIGHUP, repeatedly.
    Reload,
    /// SIGSTOP, and SIGCONT 0.15 s later, repeatedly.
    Stall,
    /// The wall clock of the process is an hour behind during the trouble.
    ClockBack,
    /// The wall clock of the process is an hour ahead during the trouble.
    ClockAhead,
    /// Half of the calls that open connections fail, for lack of descriptors or local addresses.
    ConnectShortage,
    /// Half of the `accept` calls fail.
    AcceptShortage,
    /// A tenth of the socket reads and writes are interrupted (`EINTR`).
    Interrupted,
    /// Half of the calls that open or write files fail, while the process receives SIGHUP.
    FilesFail,
    /// Connections that send nothing, half a command, or commands whose replies are never read
    /// occupy descriptors of the process.
    Crowd,
}

/// A trouble, with its name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// A fault of the emulated world.
    World(&'static str, WorldFault),
    /// A fault of balancer processes.
    Process(&'static str, ProcessTrouble),
}

const fn on_twelfths(kind: FaultKind, hosts: usize, part: f64) -> WorldFault {
    WorldFault { kind, hosts: AffectedHosts::Twelfths(hosts), part, factor: 8.0, pulse: None }
}

const fn without_hosts(kind: FaultKind) -> WorldFault {
    WorldFault { kind, hosts: AffectedHosts::None, part: 1.0, factor: 8.0, pulse: None }
}

const fn on(kind: FaultKind, hosts: AffectedHosts) -> WorldFault {
    WorldFault { kind, hosts, part: 1.0, factor: 8.0, pulse: None }
}

/// Handshakes begun during an occurrence complete a second later, at the kernel's first SYN
/// retransmission.
const fn late_connects() -> WorldFault {
    let pulse = Pulse { on_s: 0.5, every_s: 0.7 };
    WorldFault { pulse: Some(pulse), ..on_twelfths(FaultKind::LateConnect, 8, 1.0) }
}

/// All troubles that a script may draw.
pub const TROUBLES: [Trouble; 44] = [
    Trouble::World("hang", on_twelfths(FaultKind::Hang, 3, 1.0)),
    Trouble::World("slow", on_twelfths(FaultKind::Slow, 3, 1.0)),
    Trouble::World("silent", on_twelfths(FaultKind::Silent, 3, 1.0)),
    Trouble::World("stale", on_twelfths(FaultKind::Stale, 4, 1.0)),
    Trouble::World("stale-reset", on_twelfths(FaultKind::StaleReset, 4, 1.0)),
    Trouble::World("reset", on_twelfths(FaultKind::Reset, 3, 0.2)),
    Trouble::World("refuse", on_twelfths(FaultKind::Refuse, 3, 1.0)),
    Trouble::World("lost", on_twelfths(FaultKind::Lost, 3, 0.1)),
    Trouble::World("busy", on_twelfths(FaultKind::Busy, 3, 0.5)),
    Trouble::World("error", on_twelfths(FaultKind::Error, 3, 0.3)),
    Trouble::World("spoil", on_twelfths(FaultKind::Spoil, 2, 0.1)),
    Trouble::World("die", on_twelfths(FaultKind::Die, 2, 1.0)),
    Trouble::World("replace", on_twelfths(FaultKind::Replace, 2, 1.0)),
    Trouble::World("drain", on_twelfths(FaultKind::Drain, 3, 1.0)),
    Trouble::World("grow", on_twelfths(FaultKind::Grow, 3, 1.0)),
    Trouble::World("origin-slow", without_hosts(FaultKind::OriginSlow)),
    Trouble::World("origin-down", without_hosts(FaultKind::OriginDown)),
    Trouble::World("discovery-down", without_hosts(FaultKind::DiscoveryDown)),
    Trouble::World("proxy-delay", on_twelfths(FaultKind::ProxyDelay, 6, 0.3)),
    Trouble::World("proxy-drip", on_twelfths(FaultKind::ProxyDrip, 6, 0.3)),
    Trouble::World("proxy-cut", on_twelfths(FaultKind::ProxyCut, 6, 0.1)),
    Trouble::World("proxy-silence", on_twelfths(FaultKind::ProxySilence, 4, 0.05)),
    Trouble::World("proxy-half-close", on_twelfths(FaultKind::ProxyHalfClose, 6, 0.1)),
    Trouble::World("proxy-copy", on_twelfths(FaultKind::ProxyCopy, 6, 0.2)),
    Trouble::World("origin-copy", WorldFault { part: 0.3, ..without_hosts(FaultKind::OriginCopy) }),
    Trouble::World("late-connect", late_connects()),
    Trouble::World("most-hang", on_twelfths(FaultKind::Hang, 10, 1.0)),
    Trouble::World("most-silent", on_twelfths(FaultKind::Silent, 10, 1.0)),
    Trouble::World("all-reset", on_twelfths(FaultKind::Reset, 12, 1.0)),
    Trouble::World("half-replaced", on_twelfths(FaultKind::Replace, 6, 1.0)),
    Trouble::World("zone-dark", on(FaultKind::Silent, AffectedHosts::OneZone)),
    Trouble::World("partition", on(FaultKind::Silent, AffectedHosts::AllForOneBalancer)),
    Trouble::Process("terminate", ProcessTrouble::Terminate),
    Trouble::Process("signal-series", ProcessTrouble::SignalSeries),
    Trouble::Process("core-share", ProcessTrouble::CoreShare),
    Trouble::Process("reload", ProcessTrouble::Reload),
    Trouble::Process("stall", ProcessTrouble::Stall),
    Trouble::Process("clock-back", ProcessTrouble::ClockBack),
    Trouble::Process("clock-ahead", ProcessTrouble::ClockAhead),
    Trouble::Process("connect-shortage", ProcessTrouble::ConnectShortage),
    Trouble::Process("accept-shortage", ProcessTrouble::AcceptShortage),
    Trouble::Process("interrupted", ProcessTrouble::Interrupted),
    Trouble::Process("files-fail", ProcessTrouble::FilesFail),
    Trouble::Process("crowd", ProcessTrouble::Crowd),
];

/// No trouble has this name.
#[derive(Debug, Error)]
#[error("there is no trouble {0:?}; expected one of: {names}", names = names())]
pub struct UnknownTrouble(String);

fn names() -> String {
    let names: Vec<&str> = TROUBLES.iter().map(Trouble::name).collect();
    names.join(", ")
}

impl Trouble {
    /// The name, as `--only` takes it.
    pub fn name(&self) -> &'static str {
        match self {
            Trouble::World(name, _) | Trouble::Process(name, _) => name,
        }
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Trouble {
    type Err = UnknownTrouble;

    fn from_str(name: &str) -> Result<Trouble, UnknownTrouble> {
        let found = TROUBLES.iter().find(|trouble| trouble.name() == name);
        found.copied().ok_or_else(|| UnknownTrouble(name.to_owned()))
    }
}

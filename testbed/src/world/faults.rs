//! The schedule of faults: which faults are active when, and the probability that one applies to an
//! attempt. Does no I/O.

use std::collections::BTreeSet;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::experiment::{Experiment, Fault, FaultKind, HostSelection};
use crate::ledger::HostNo;
use crate::time::{seconds, Micros};

/// A period in which a fault is active.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The machines that it affects.
    pub hosts: BTreeSet<HostNo>,
    /// The only balancer that it affects; `None` for all.
    pub balancer: Option<usize>,
    /// Its start, in microseconds of the run.
    pub from: Micros,
    /// Its end, in microseconds of the run.
    pub to: Micros,
    /// Probability that it applies to an attempt.
    pub probability: f64,
    /// Factor by which work takes longer.
    pub factor: f64,
    /// Number of hosts that [`FaultKind::Grow`] adds.
    pub count: usize,
}

impl FaultWindow {
    fn covers(&self, now: Micros, kind: FaultKind, host: HostNo, balancer: usize) -> bool {
        self.kind == kind
            && (self.from..self.to).contains(&now)
            && self.balancer.is_none_or(|only| only == balancer)
            && self.hosts.contains(&host)
    }

    /// Its kind and what it affects, as reports show it.
    pub fn title(&self) -> String {
        let name = serde_json::to_string(&self.kind).unwrap_or_default();
        let name = name.trim_matches('"');
        let target = match (self.kind, self.balancer) {
            (FaultKind::Grow, _) => format!(" by {}", self.count),
            (FaultKind::BalancerKill, Some(balancer)) => format!(" {balancer}"),
            _ if self.hosts.is_empty() => String::new(),
            _ => {
                let hosts: Vec<String> = self.hosts.iter().map(|host| host.0.to_string()).collect();
                format!(" of {}", hosts.join(","))
            }
        };
        format!("{name}{target}")
    }
}

/// All faults of a run.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    /// All windows, in order of their starts.
    pub windows: Vec<FaultWindow>,
}

impl FaultSchedule {
    /// Makes the schedule of an experiment's faults. If a fault gives only a number of hosts, they
    /// are drawn once for all its windows.
    pub fn new(experiment: &Experiment, rng: &mut ChaCha8Rng) -> FaultSchedule {
        let mut windows = Vec::new();
        for fault in &experiment.faults {
            let hosts = draw_hosts(fault, experiment.fleet.hosts, rng);
            add_windows(fault, &hosts, experiment, &mut windows);
        }
        windows.sort_by_key(|window| window.from);
        FaultSchedule { windows }
    }

    /// Probability that a fault of this kind applies to an attempt now.
    pub fn probability(&self, now: Micros, kind: FaultKind, host: HostNo, balancer: usize) -> f64 {
        let active = self.windows.iter().filter(|window| window.covers(now, kind, host, balancer));
        active.map(|window| window.probability).fold(0.0, f64::max)
    }
}

fn draw_hosts(fault: &Fault, fleet_size: usize, rng: &mut ChaCha8Rng) -> BTreeSet<HostNo> {
    let all = (0..fleet_size as u32).map(HostNo);
    match (&fault.kind, &fault.hosts) {
        (FaultKind::OriginSlow | FaultKind::OriginDown | FaultKind::OriginCopy, _) => [HostNo::ORIGIN].into(),
        (FaultKind::Grow | FaultKind::DiscoveryDown | FaultKind::DiscoveryStale, _) => BTreeSet::new(),
        (FaultKind::BalancerKill | FaultKind::GeneratorStop | FaultKind::GeneratorSlow, _) => BTreeSet::new(),
        (_, HostSelection::Named(_)) => all.collect(),
        (_, HostSelection::These(hosts)) => hosts.iter().map(|&host| HostNo(host as u32)).collect(),
        (_, HostSelection::Count(count)) => all.choose_multiple(rng, *count).into_iter().collect(),
    }
}

/// Adds the windows of one fault: one, or one every `every_s` until the run is over.
fn add_windows(
    fault: &Fault,
    hosts: &BTreeSet<HostNo>,
    experiment: &Experiment,
    windows: &mut Vec<FaultWindow>,
) {
    let duration = seconds(fault.to_s.unwrap_or(experiment.seconds)) - fault.from();
    let mut from = fault.from();
    loop {
        let window = FaultWindow {
            kind: fault.kind,
            hosts: hosts.clone(),
            balancer: fault.balancer,
            from,
            to: from + duration,
            probability: fault.part,
            factor: fault.factor,
            count: if let HostSelection::Count(count) = fault.hosts { count } else { 0 },
        };
        if window.kind == FaultKind::RollOut {
            add_roll_out(&window, windows);
        } else {
            windows.push(window);
        }
        let interval = fault.every_s.map(seconds);
        match interval.filter(|&interval| from + interval < experiment.length()) {
            Some(interval) => from += interval,
            None => break,
        }
    }
}

/// Adds the windows of a roll-out, which takes one host after the other: each drains for a third of
/// its share of the time and is then down for a twentieth.
fn add_roll_out(whole: &FaultWindow, windows: &mut Vec<FaultWindow>) {
    let per_host = (whole.to - whole.from) / whole.hosts.len().max(1) as Micros;
    for (nth, host) in whole.hosts.iter().enumerate() {
        let from = whole.from + per_host * nth as Micros;
        let drained = from + per_host / 3;
        let restarted = drained + per_host / 20;
        let window = |kind, from, to| FaultWindow { kind, hosts: [*host].into(), from, to, ..whole.clone() };
        windows.push(window(FaultKind::RollOut, from, drained));
        windows.push(window(FaultKind::Die, drained, restarted));
    }
}

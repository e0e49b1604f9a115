//! The script of faults, laid out in time: which edges come when, and how likely a fault is for a push. Pure.

use std::collections::BTreeSet;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::experiment::{Experiment, Fault, FaultKind, HostSelection};
use crate::ledger::HostNo;
use crate::time::{seconds, Micros};

/// One time that a fault is on.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    pub kind: FaultKind,
    pub hosts: BTreeSet<HostNo>,
    pub balancer: Option<usize>,
    pub from: Micros,
    pub to: Micros,
    pub part: f64,
    pub factor: f64,
    /// For growth: how many.
    pub count: usize,
}

impl FaultWindow {
    fn covers(&self, now: Micros, kind: FaultKind, host: HostNo, balancer: usize) -> bool {
        self.kind == kind
            && (self.from..self.to).contains(&now)
            && self.balancer.is_none_or(|only| only == balancer)
            && self.hosts.contains(&host)
    }

    pub fn title(&self) -> String {
        let name = serde_json::to_string(&self.kind).unwrap_or_default();
        let name = name.trim_matches('"');
        let of = match (self.kind, self.balancer) {
            (FaultKind::Grow, _) => format!(" by {}", self.count),
            (FaultKind::BalancerKill, Some(balancer)) => format!(" {balancer}"),
            _ if self.hosts.is_empty() => String::new(),
            _ => {
                let hosts: Vec<String> = self.hosts.iter().map(|host| host.0.to_string()).collect();
                format!(" of {}", hosts.join(","))
            }
        };
        format!("{name}{of}")
    }
}

#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub spans: Vec<FaultWindow>,
}

impl Faults {
    /// All times that faults are on, in the order of their beginnings. Which hosts are meant by a number is drawn once.
    pub fn laid_out(experiment: &Experiment, rng: &mut ChaCha8Rng) -> Faults {
        let length = experiment.length();
        let mut spans = Vec::new();
        for fault in &experiment.faults {
            let hosts = hosts(fault, experiment.fleet.hosts, rng);
            let span = seconds(fault.to_s.unwrap_or(experiment.seconds)) - fault.from();
            let mut from = fault.from();
            loop {
                let one = FaultWindow {
                    kind: fault.kind,
                    hosts: hosts.clone(),
                    balancer: fault.balancer,
                    from,
                    to: from + span,
                    part: fault.part,
                    factor: fault.factor,
                    count: if let HostSelection::Count(count) = fault.hosts { count } else { 0 },
                };
                if one.kind == FaultKind::RollOut {
                    rolled(&one, &mut spans);
                } else {
                    spans.push(one);
                }
                match fault.every_s.map(seconds).filter(|&every| from + every < length) {
                    Some(every) => from += every,
                    None => break,
                }
            }
        }
        spans.sort_by_key(|span| span.from);
        Faults { spans }
    }

    /// How likely a push is hit by a fault of this kind now.
    pub fn part(&self, now: Micros, kind: FaultKind, host: HostNo, balancer: usize) -> f64 {
        let on = self.spans.iter().filter(|span| span.covers(now, kind, host, balancer));
        on.map(|span| span.part).fold(0.0, f64::max)
    }
}

fn hosts(fault: &Fault, all: usize, rng: &mut ChaCha8Rng) -> BTreeSet<HostNo> {
    let every = (0..all as u32).map(HostNo);
    match (&fault.kind, &fault.hosts) {
        (FaultKind::OriginSlow | FaultKind::OriginDown, _) => [HostNo::ORIGIN].into(),
        (FaultKind::Grow | FaultKind::DiscoveryDown | FaultKind::DiscoveryStale, _) => BTreeSet::new(),
        (FaultKind::BalancerKill | FaultKind::GeneratorStop | FaultKind::GeneratorSlow, _) => BTreeSet::new(),
        (_, HostSelection::Named(_)) => every.collect(),
        (_, HostSelection::These(hosts)) => hosts.iter().map(|&host| HostNo(host as u32)).collect(),
        (_, HostSelection::Count(count)) => every.choose_multiple(rng, *count).into_iter().collect(),
    }
}

/// A roll-out: each host drains for a third of its time and is away for a twentieth; then the next one's turn comes.
fn rolled(whole: &FaultWindow, spans: &mut Vec<FaultWindow>) {
    let each = (whole.to - whole.from) / whole.hosts.len().max(1) as Micros;
    for (nth, host) in whole.hosts.iter().enumerate() {
        let from = whole.from + each * nth as Micros;
        let one = |kind, from, to| FaultWindow { kind, hosts: [*host].into(), from, to, ..whole.clone() };
        spans.push(one(FaultKind::RollOut, from, from + each / 3));
        spans.push(one(FaultKind::Die, from + each / 3, from + each / 3 + each / 20));
    }
}

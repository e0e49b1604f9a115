//! The figures of a point, from the snapshots around its stretches.

use super::real_balancer::{LoadResult, RealBalancer};
use super::snapshots::{LoadSnapshots, Snapshots};
use crate::figures as testbed_figures;
use crate::scale::experiment::Conditions;
use crate::scale::point::Figures;
use crate::scale::protocol::{merge_histograms, DiscoverySnapshot, FleetSnapshot, SimulatedSnapshot};

/// All figures of the stretches without faults.
pub(super) fn measure(conditions: &Conditions, load: &LoadSnapshots) -> Figures {
    let mut figures = Figures::new();
    let control = Stretch::new(&load.quiet_start, &load.quiet_end, conditions);
    let loaded = Stretch::new(&load.load_start, &load.load_end, conditions);
    insert_control(&mut figures, &control);
    insert_memory(&mut figures, &loaded);
    insert_discovery(&mut figures, &control, f64::from(conditions.all_balancers()));
    insert_requests(&mut figures, &loaded, control.core_per_balancer());
    insert_hosts(&mut figures, &loaded, f64::from(conditions.hosts));
    figures
}

/// A ratio whose divisor is 0 has no figure.
fn insert_finite(figures: &mut Figures, name: &'static str, value: f64) {
    if value.is_finite() {
        figures.insert(name, value);
    }
}

/// The time between two moments.
struct Stretch<'a> {
    start: &'a Snapshots,
    end: &'a Snapshots,
    seconds: f64,
    /// Simulated balancers.
    balancers: f64,
}

impl<'a> Stretch<'a> {
    fn new(start: &'a Snapshots, end: &'a Snapshots, conditions: &Conditions) -> Stretch<'a> {
        let seconds = start.seconds_until(end);
        Stretch { start, end, seconds, balancers: f64::from(conditions.balancers) }
    }

    /// How much a counter of the simulated balancers grew, all together.
    fn growth(&self, read: impl Fn(&SimulatedSnapshot) -> f64) -> f64 {
        growth(self.start, self.end, read)
    }

    /// The same, a second and a balancer.
    fn rate_per_balancer(&self, read: impl Fn(&SimulatedSnapshot) -> f64) -> f64 {
        self.growth(read) / self.seconds / self.balancers
    }

    /// The part of a core that a simulated balancer took.
    fn core_per_balancer(&self) -> f64 {
        self.rate_per_balancer(|snapshot| snapshot.cpu_s)
    }
}

fn sum(snapshots: &[SimulatedSnapshot], read: impl Fn(&SimulatedSnapshot) -> f64) -> f64 {
    snapshots.iter().map(read).sum()
}

/// How much a counter of the simulated balancers grew between two moments, all together.
fn growth(start: &Snapshots, end: &Snapshots, read: impl Fn(&SimulatedSnapshot) -> f64) -> f64 {
    sum(&end.simulated, &read) - sum(&start.simulated, &read)
}

/// What control costs: the stretch without requests, in which the list changes.
fn insert_control(figures: &mut Figures, stretch: &Stretch) {
    let out = stretch.rate_per_balancer(|snapshot| snapshot.discovery_bytes_out as f64);
    let received = stretch.rate_per_balancer(|snapshot| snapshot.discovery_bytes_in as f64);
    insert_finite(figures, "control CPU, % of a core", 100.0 * stretch.core_per_balancer());
    insert_finite(figures, "control bytes/s a balancer, to discovery", out);
    insert_finite(figures, "control bytes/s a balancer, from discovery", received);
    insert_finite(figures, "control bytes/s a balancer, both ways", out + received);
}

fn insert_memory(figures: &mut Figures, stretch: &Stretch) {
    let balancers_kb =
        |snapshot: &SimulatedSnapshot| snapshot.resident_kb as f64 - snapshot.initial_resident_kb as f64;
    let all_kb = sum(&stretch.end.simulated, balancers_kb);
    insert_finite(figures, "memory a balancer, MB", all_kb / 1e3 / stretch.balancers);
}

/// What the balancers cost discovery; `balancers` counts the real one, which calls it as well.
fn insert_discovery(figures: &mut Figures, stretch: &Stretch, balancers: f64) {
    let (start, end) = (&stretch.start.discovery, &stretch.end.discovery);
    let bytes = |snapshot: &DiscoverySnapshot| (snapshot.bytes_in + snapshot.bytes_out) as f64;
    let calls = (end.calls - start.calls) as f64;
    let cpu_s = end.cpu_s - start.cpu_s;
    let seconds = stretch.seconds;
    insert_finite(figures, "discovery: calls/s a balancer", calls / seconds / balancers);
    insert_finite(
        figures,
        "discovery: bytes/s a balancer",
        (bytes(end) - bytes(start)) / seconds / balancers,
    );
    insert_finite(figures, "discovery: CPU, % of a core", 100.0 * cpu_s / seconds);
    insert_finite(figures, "discovery: CPU us/s a balancer", cpu_s * 1e6 / seconds / balancers);
}

/// What became of requests, and what they cost beside control, which takes `control_core` of a core
/// at each balancer.
fn insert_requests(figures: &mut Figures, stretch: &Stretch, control_core: f64) {
    let requests = stretch.growth(|snapshot| snapshot.requests as f64);
    insert_finite(figures, "ops/s", requests / stretch.seconds);
    if requests <= 0.0 {
        return;
    }
    let cpu_s = stretch.growth(|snapshot| snapshot.cpu_s);
    let control_cpu_s = control_core * stretch.balancers * stretch.seconds;
    let attempts = stretch.growth(|snapshot| snapshot.attempts as f64);
    insert_finite(figures, "CPU us an op, beside control", (cpu_s - control_cpu_s) * 1e6 / requests);
    insert_finite(figures, "pushes an op", attempts / requests);
    let ended = stretch.growth(|snapshot| snapshot.ended() as f64);
    let part_of_ended = |read: fn(&SimulatedSnapshot) -> u64| {
        let count = stretch.growth(|snapshot| read(snapshot) as f64);
        count / ended
    };
    insert_finite(figures, "in target, part", part_of_ended(|snapshot| snapshot.in_target));
    insert_finite(figures, "nacked, part", part_of_ended(|snapshot| snapshot.rejected));
    insert_finite(figures, "failed, part", part_of_ended(|snapshot| snapshot.failed));
    let latency = merge_histograms(stretch.end.simulated.iter().map(|snapshot| &snapshot.latency));
    insert_finite(figures, "p50, ms", latency.value_at_quantile(0.5) as f64 / 1e3);
    insert_finite(figures, "p99, ms", latency.value_at_quantile(0.99) as f64 / 1e3);
    let opened = stretch.rate_per_balancer(|snapshot| snapshot.connections_opened as f64);
    let open = sum(&stretch.end.simulated, |snapshot| snapshot.connections_open as f64);
    insert_finite(figures, "new connections/s a balancer", opened);
    insert_finite(figures, "connections of a balancer", open / stretch.balancers);
}

/// A count of each host.
fn by_host(fleets: &[FleetSnapshot], read: fn(&FleetSnapshot) -> &Vec<u64>) -> Vec<f64> {
    fleets.iter().flat_map(read).map(|&count| count as f64).collect()
}

/// What each host gets of the balancers, on the mean and at most.
fn insert_hosts(figures: &mut Figures, stretch: &Stretch, hosts: f64) {
    let mean = |values: &[f64]| values.iter().sum::<f64>() / hosts;
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let rates = |read: fn(&FleetSnapshot) -> &Vec<u64>| {
        let start = by_host(&stretch.start.fleets, read);
        let end = by_host(&stretch.end.fleets, read);
        let rate = |(start, end): (&f64, &f64)| (end - start) / stretch.seconds;
        start.iter().zip(&end).map(rate).collect::<Vec<f64>>()
    };
    let open = by_host(&stretch.end.fleets, |snapshot| &snapshot.open_by_host);
    let requests = rates(|snapshot| &snapshot.requests_by_host);
    let accepted = rates(|snapshot| &snapshot.accepted_by_host);
    insert_finite(figures, "connections at a host, mean", mean(&open));
    insert_finite(figures, "connections at a host, most", max(&open));
    insert_finite(figures, "requests/s at a host, mean", mean(&requests));
    insert_finite(figures, "requests/s at a host, most", max(&requests));
    insert_finite(figures, "new connections/s at a host, mean", mean(&accepted));
    insert_finite(figures, "new connections/s at a host, most", max(&accepted));
}

/// Requests that a hang cost: how many more missed their objective, or had no value, than in as long
/// a time before it.
pub(super) fn cost_of_hang(load: &LoadSnapshots, hang_end: &Snapshots) -> Figures {
    let (start, end) = (&load.load_start, &load.load_end);
    let length_ratio = end.seconds_until(hang_end) / start.seconds_until(end);
    let excess = |read: fn(&SimulatedSnapshot) -> u64| {
        let read = |snapshot: &SimulatedSnapshot| read(snapshot) as f64;
        growth(end, hang_end, read) - length_ratio * growth(start, end, read)
    };
    let without_value = |snapshot: &SimulatedSnapshot| snapshot.rejected + snapshot.failed;
    Figures::from([
        ("hang: ops not in target", excess(SimulatedSnapshot::missed_target)),
        ("hang: ops nacked or failed", excess(without_value)),
        ("hang: ops", growth(end, hang_end, |snapshot| snapshot.requests as f64)),
    ])
}

/// Those of the real balancer and its load.
pub(super) fn insert_real_balancer(figures: &mut Figures, real: &RealBalancer, load: &LoadResult) {
    let usage = real.usage();
    let played = &load.played;
    let of_load = testbed_figures::figures(&real.experiment, &played.records, &[], played.cpu_s);
    let cpu_us = (usage.cpu_s - load.usage_before.cpu_s) * 1e6;
    figures.insert("real: benefit", of_load.benefit);
    figures.insert("real: p50, ms", of_load.latency.p50);
    figures.insert("real: p99, ms", of_load.latency.p99);
    figures.insert("real: CPU us an op", cpu_us / of_load.requests.max(1) as f64);
    figures.insert("real: memory, MB", usage.resident_kb as f64 / 1e3);
    figures.insert("real: descriptors", usage.descriptors as f64);
}

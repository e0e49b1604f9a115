//! Computes the figures of a point from the snapshots around its stages.

use super::real_balancer::{LoadResult, RealBalancer};
use super::snapshots::{LoadSnapshots, Snapshots};
use crate::figures as testbed_figures;
use crate::scale::experiment::Conditions;
use crate::scale::point::Figures;
use crate::scale::protocol::{merge_histograms, DiscoverySnapshot, FleetSnapshot, SimulatedSnapshot};

/// All figures of the stages without faults.
pub(super) fn measure(conditions: &Conditions, load: &LoadSnapshots) -> Figures {
    let mut figures = Figures::new();
    let control = Interval::new(&load.quiet_start, &load.quiet_end, conditions);
    let loaded = Interval::new(&load.load_start, &load.load_end, conditions);
    insert_control(&mut figures, &control);
    insert_memory(&mut figures, &loaded);
    insert_discovery(&mut figures, &control, f64::from(conditions.all_balancers()));
    insert_requests(&mut figures, &loaded, control.core_per_balancer());
    insert_hosts(&mut figures, &loaded, f64::from(conditions.hosts));
    figures
}

/// Inserts a figure, unless it is a ratio whose divisor is 0.
fn insert_finite(figures: &mut Figures, name: &'static str, value: f64) {
    if value.is_finite() {
        figures.insert(name, value);
    }
}

/// The interval between two snapshots.
struct Interval<'a> {
    start: &'a Snapshots,
    end: &'a Snapshots,
    seconds: f64,
    /// The number of simulated balancers.
    balancers: f64,
}

impl<'a> Interval<'a> {
    fn new(start: &'a Snapshots, end: &'a Snapshots, conditions: &Conditions) -> Interval<'a> {
        let seconds = start.seconds_until(end);
        Interval { start, end, seconds, balancers: f64::from(conditions.balancers) }
    }

    /// The growth of a counter, summed over the simulated balancers.
    fn growth(&self, read: impl Fn(&SimulatedSnapshot) -> f64) -> f64 {
        growth(self.start, self.end, read)
    }

    /// The growth of a counter per second and simulated balancer.
    fn rate_per_balancer(&self, read: impl Fn(&SimulatedSnapshot) -> f64) -> f64 {
        self.growth(read) / self.seconds / self.balancers
    }

    /// The CPU time of a simulated balancer, as a fraction of a core.
    fn core_per_balancer(&self) -> f64 {
        self.rate_per_balancer(|snapshot| snapshot.cpu_s)
    }
}

fn sum(snapshots: &[SimulatedSnapshot], read: impl Fn(&SimulatedSnapshot) -> f64) -> f64 {
    snapshots.iter().map(read).sum()
}

/// The growth of a counter between two snapshots, summed over the simulated balancers.
fn growth(start: &Snapshots, end: &Snapshots, read: impl Fn(&SimulatedSnapshot) -> f64) -> f64 {
    sum(&end.simulated, &read) - sum(&start.simulated, &read)
}

/// Inserts the cost of control, from the stage without requests, in which the list changes.
fn insert_control(figures: &mut Figures, interval: &Interval) {
    let out = interval.rate_per_balancer(|snapshot| snapshot.discovery_bytes_out as f64);
    let received = interval.rate_per_balancer(|snapshot| snapshot.discovery_bytes_in as f64);
    insert_finite(figures, "control CPU, % of a core", 100.0 * interval.core_per_balancer());
    insert_finite(figures, "control bytes/s a balancer, to discovery", out);
    insert_finite(figures, "control bytes/s a balancer, from discovery", received);
    insert_finite(figures, "control bytes/s a balancer, both ways", out + received);
}

fn insert_memory(figures: &mut Figures, interval: &Interval) {
    let balancers_kb =
        |snapshot: &SimulatedSnapshot| snapshot.resident_kb as f64 - snapshot.initial_resident_kb as f64;
    let all_kb = sum(&interval.end.simulated, balancers_kb);
    insert_finite(figures, "memory a balancer, MB", all_kb / 1e3 / interval.balancers);
}

/// Inserts the load on discovery. `balancers` includes the real one, which calls discovery as well.
fn insert_discovery(figures: &mut Figures, interval: &Interval, balancers: f64) {
    let (start, end) = (&interval.start.discovery, &interval.end.discovery);
    let bytes = |snapshot: &DiscoverySnapshot| (snapshot.bytes_in + snapshot.bytes_out) as f64;
    let calls = (end.calls - start.calls) as f64;
    let cpu_s = end.cpu_s - start.cpu_s;
    let seconds = interval.seconds;
    insert_finite(figures, "discovery: calls/s a balancer", calls / seconds / balancers);
    insert_finite(
        figures,
        "discovery: bytes/s a balancer",
        (bytes(end) - bytes(start)) / seconds / balancers,
    );
    insert_finite(figures, "discovery: CPU, % of a core", 100.0 * cpu_s / seconds);
    insert_finite(figures, "discovery: CPU us/s a balancer", cpu_s * 1e6 / seconds / balancers);
}

/// Inserts the results of requests, and their CPU cost without control, which takes the fraction
/// `control_core` of a core at each balancer.
fn insert_requests(figures: &mut Figures, interval: &Interval, control_core: f64) {
    let requests = interval.growth(|snapshot| snapshot.requests as f64);
    insert_finite(figures, "ops/s", requests / interval.seconds);
    if requests <= 0.0 {
        return;
    }
    let cpu_s = interval.growth(|snapshot| snapshot.cpu_s);
    let control_cpu_s = control_core * interval.balancers * interval.seconds;
    let attempts = interval.growth(|snapshot| snapshot.attempts as f64);
    insert_finite(figures, "CPU us an op, beside control", (cpu_s - control_cpu_s) * 1e6 / requests);
    insert_finite(figures, "pushes an op", attempts / requests);
    let ended = interval.growth(|snapshot| snapshot.ended() as f64);
    let part_of_ended = |read: fn(&SimulatedSnapshot) -> u64| {
        let count = interval.growth(|snapshot| read(snapshot) as f64);
        count / ended
    };
    insert_finite(figures, "in target, part", part_of_ended(|snapshot| snapshot.in_target));
    insert_finite(figures, "nacked, part", part_of_ended(|snapshot| snapshot.rejected));
    insert_finite(figures, "failed, part", part_of_ended(|snapshot| snapshot.failed));
    let latency = merge_histograms(interval.end.simulated.iter().map(|snapshot| &snapshot.latency));
    insert_finite(figures, "p50, ms", latency.value_at_quantile(0.5) as f64 / 1e3);
    insert_finite(figures, "p99, ms", latency.value_at_quantile(0.99) as f64 / 1e3);
    let opened = interval.rate_per_balancer(|snapshot| snapshot.connections_opened as f64);
    let open = sum(&interval.end.simulated, |snapshot| snapshot.connections_open as f64);
    insert_finite(figures, "new connections/s a balancer", opened);
    insert_finite(figures, "connections of a balancer", open / interval.balancers);
}

/// A counter of each host.
fn by_host(fleets: &[FleetSnapshot], read: fn(&FleetSnapshot) -> &Vec<u64>) -> Vec<f64> {
    fleets.iter().flat_map(read).map(|&count| count as f64).collect()
}

/// Inserts the load on hosts: the mean and the maximum over hosts.
fn insert_hosts(figures: &mut Figures, interval: &Interval, hosts: f64) {
    let mean = |values: &[f64]| values.iter().sum::<f64>() / hosts;
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let rates = |read: fn(&FleetSnapshot) -> &Vec<u64>| {
        let start = by_host(&interval.start.fleets, read);
        let end = by_host(&interval.end.fleets, read);
        let rate = |(start, end): (&f64, &f64)| (end - start) / interval.seconds;
        start.iter().zip(&end).map(rate).collect::<Vec<f64>>()
    };
    let open = by_host(&interval.end.fleets, |snapshot| &snapshot.open_by_host);
    let requests = rates(|snapshot| &snapshot.requests_by_host);
    let accepted = rates(|snapshot| &snapshot.accepted_by_host);
    insert_finite(figures, "connections at a host, mean", mean(&open));
    insert_finite(figures, "connections at a host, most", max(&open));
    insert_finite(figures, "requests/s at a host, mean", mean(&requests));
    insert_finite(figures, "requests/s at a host, most", max(&requests));
    insert_finite(figures, "new connections/s at a host, mean", mean(&accepted));
    insert_finite(figures, "new connections/s at a host, most", max(&accepted));
}

/// The effect of a hang: how many more requests missed their objective, or got no value, than in an
/// equally long time before it.
pub(super) fn hang_figures(load: &LoadSnapshots, hang_end: &Snapshots) -> Figures {
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

/// Inserts the figures of the real balancer and its load.
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

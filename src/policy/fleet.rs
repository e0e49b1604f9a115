//! The sweep over the hosts, the measurements of the fleet, and the ring.

use super::constants::*;
use crate::dispatcher::Dispatcher;
use crate::histogram::median;
use crate::host_tracker::{HostStatus, Mailboxes};
use crate::mailboxes::{FleetMeasures, HostMessage};
use crate::types::{HostId, Micros, PolicyAction, Timer};

impl Dispatcher {
    /// Checks zones, load and fleet, and sends a sweep to each host that is not idle.
    pub fn sweep(&mut self, mailboxes: &mut Mailboxes) {
        let caches = self.host_statuses.iter().filter(|status| status.is_cache());
        let unreachable = self.zones.update(caches.map(|status| (status.zone(), status.activity)));
        self.suspect_zones(&unreachable, mailboxes);
        self.loads.sweep(mailboxes.now);
        let is_evaluation = mailboxes.now - self.fleet.evaluated_at >= EVALUATION_INTERVAL;
        if is_evaluation {
            self.evaluate(mailboxes.now);
        }
        for (host, status) in (0..).map(HostId).zip(&self.host_statuses) {
            if status.is_idle || !(is_evaluation || status.in_flight > 0) {
                continue;
            }
            // Requests of every class go to the origin, so the shortest objective counts there.
            let objective = if status.is_cache() { self.latency_objective } else { self.shortest_objective };
            let fleet = FleetMeasures {
                typical_latency: self.fleet.typical_latency,
                quarter_objective: objective / 4.0,
                send_interval: self.fleet.send_interval,
                is_evaluation,
            };
            mailboxes.send_to_host(host, HostMessage::Sweep(fleet));
        }
        mailboxes.actions.push(PolicyAction::SetTimer { after: SWEEP_INTERVAL, timer: Timer::Sweep });
    }

    /// Updates the limit and the measurements of the fleet, and the share for hosts that warm up.
    fn evaluate(&mut self, now: Micros) {
        self.fleet.evaluated_at = now;
        // The median, since a few hosts that do not answer are no reason to reject requests.
        let current = self.fleet.limit.latencies.quantile(0.5).map(|current| current as f64);
        let caches = || self.host_statuses.iter().filter(|status| status.is_cache());
        let (hosts, quarter) = (caches().count().max(1) as f64, self.latency_objective / 4.0);
        self.fleet.limit.evaluate(current, quarter, quarter, hosts, self.fleet.in_flight);
        let means: Vec<f64> = caches().filter_map(|status| status.limit.latencies.mean()).collect();
        self.fleet.typical_latency = median(means).unwrap_or(self.fleet.typical_latency);
        let span = self.loads.counts.span(now).max(LOAD_HALF_LIFE as f64);
        self.fleet.send_interval = (span / self.loads.counts.mean()) as Micros;
        let window = self.warm_up.slow_start.overload_window;
        self.warm_up.sends_per_window = self.loads.counts.mean_on(&self.ring) * window as f64 / span;
        self.evaluate_warm_up(hosts);
    }

    /// Sets the share of its minimum capacity that a host which is warming up gets: the number of
    /// hosts divided by the capacity of those that are not suspected, since load that the host does
    /// not take congests the warm hosts. It is at most `WARM_UP_MARGIN` of the overload multiple.
    /// At less than one send per host and window the admission check can't bound a single key, so
    /// this bound falls with the sends, down to the share at which a key with `WARM_UP_KEY_SHARE`
    /// of all reads does not overload the host (at most `WARM_UP_MARGIN`).
    fn evaluate_warm_up(&mut self, hosts: f64) {
        let caches = || self.host_statuses.iter().filter(|status| status.is_cache());
        let available_capacity: f64 =
            caches().filter(|status| !status.is_suspected).map(|status| status.capacity).sum();
        let overload = self.warm_up.slow_start.overload_multiple;
        let max_share = WARM_UP_MARGIN * overload;
        let min_share = WARM_UP_MARGIN.min(overload / (WARM_UP_KEY_SHARE * hosts));
        let bound = (max_share * self.warm_up.sends_per_window).max(min_share);
        self.warm_up.share = (hosts / available_capacity.max(1.0)).min(bound).min(max_share);
        let kept = caches().map(|status| status.kept_key_share(self.warm_up.share));
        self.warm_up.mean_key_share = kept.sum::<f64>() / hosts;
    }

    /// Rebuilds the ring from the cache hosts that are up.
    pub fn rebuild_ring(&mut self) {
        self.ring_is_stale = false;
        let is_origin = |status: &HostStatus| status.is_up() && status.is_origin();
        self.origin = self.host_statuses.iter().position(is_origin).map(|at| HostId(at as u32));
        let hosts = self.ring_hosts();
        // A power of two near the mean weight rarely changes when a host is added or removed.
        let mean = hosts.iter().map(|host| host.weight).sum::<f64>() / hosts.len().max(1) as f64;
        let scale = mean.max(1e-9).log2().round().exp2();
        let new = hosts.iter().map(|host| host.host).filter(|host| !self.ring.contains(*host));
        self.loads.counts.add_hosts(self.host_statuses.len(), new);
        let points = |weight: f64| RING_POINTS_PER_HOST * weight / scale;
        self.ring.set(&hosts, |weight| points(weight).clamp(8.0, 8.0 * RING_POINTS_PER_HOST) as u64);
        self.loads.overloaded_since.resize(self.host_statuses.len(), None);
    }
}

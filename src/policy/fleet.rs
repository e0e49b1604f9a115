//! The periodic pass over the hosts, what it measures of the fleet, and the ring.

use super::constants::*;
use crate::dispatcher::Dispatcher;
use crate::host_tracker::Mailboxes;
use crate::mailboxes::{FleetMeasures, HostMessage};
use crate::types::{HostId, Micros, PolicyAction, Timer};

impl Dispatcher {
    /// Looks at all hosts, and at each for itself where there is something to see.
    pub fn sweep(&mut self, mailboxes: &mut Mailboxes) {
        let caches = self.host_statuses.iter().filter(|status| status.is_cache());
        let dark = self.zones.newly_dark(caches.map(|status| (status.zone(), status.activity)));
        self.suspect_zones(&dark, mailboxes);
        self.loads.sweep(mailboxes.now);
        let is_evaluation = mailboxes.now - self.evaluated_at >= EVALUATION_INTERVAL;
        if is_evaluation {
            self.evaluate(mailboxes.now);
        }
        for (host, status) in (0..).map(HostId).zip(&self.host_statuses) {
            if status.is_idle || !(is_evaluation || status.in_flight > 0) {
                continue;
            }
            // Requests of every class go to the origin.
            let objective = if status.is_cache() { self.latency_objective } else { self.shortest_objective };
            let fleet = FleetMeasures {
                typical_latency: self.typical_latency,
                quarter_objective: objective / 4.0,
                send_interval: self.send_interval,
                is_evaluation,
            };
            mailboxes.send_to_host(host, HostMessage::Sweep(fleet));
        }
        mailboxes.actions.push(PolicyAction::SetTimer { after: SWEEP_INTERVAL, timer: Timer::Sweep });
    }

    /// Sets the fleet's limit, its typical latency and the bounds of slow start anew.
    fn evaluate(&mut self, now: Micros) {
        self.evaluated_at = now;
        // The median: a few hosts that answer nothing are no reason to reject requests.
        let present = self.fleet_limit.latencies.quantile(0.5).map(|present| present as f64);
        let caches = || self.host_statuses.iter().filter(|status| status.is_cache());
        let (hosts, quarter) = (caches().count().max(1) as f64, self.latency_objective / 4.0);
        self.fleet_limit.evaluate(present, quarter, quarter, hosts, self.in_flight_total);
        let mut means: Vec<f64> = caches().filter_map(|status| status.limit.latencies.mean()).collect();
        means.sort_unstable_by(f64::total_cmp);
        self.typical_latency = means.get(means.len() / 2).copied().unwrap_or(self.typical_latency);
        let span = self.loads.counts.span(now).max(LOAD_HALF_LIFE as f64);
        self.send_interval = (span / self.loads.counts.mean()) as Micros;
        let (mean_load, window) = (self.loads.counts.mean_on(&self.ring), self.slow_start.overload_window);
        self.sends_per_window = mean_load * window as f64 / span;
        // What a host surely bears as it warms up is used as all hosts' is: else it jams the warm
        // ones. Where the gate bounds no key, the share alone has to, for one with
        // WARM_UP_KEY_SHARE of all reads.
        let able: f64 = caches().filter(|status| !status.is_suspected).map(|status| status.capacity).sum();
        let overload = self.slow_start.overload_multiple;
        let most = WARM_UP_MARGIN * overload;
        let least = WARM_UP_MARGIN.min(overload / (WARM_UP_KEY_SHARE * hosts));
        let bound = (most * self.sends_per_window).max(least);
        self.warm_up_share = (hosts / able.max(1.0)).min(bound).min(most);
        let kept = caches().map(|status| status.kept_key_share(self.warm_up_share));
        self.mean_key_share = kept.sum::<f64>() / hosts;
    }

    /// Builds the ring of the cache hosts that are up.
    pub fn rebuild_ring(&mut self) {
        self.ring_is_stale = false;
        let hosts = self.ring_hosts();
        // A power of two near the mean weight, so that the scale rarely changes when a host comes
        // or goes.
        let mean = hosts.iter().map(|host| host.weight).sum::<f64>() / hosts.len().max(1) as f64;
        let scale = mean.max(1e-9).log2().round().exp2();
        let new = hosts.iter().map(|host| host.host).filter(|host| !self.ring.holds(*host));
        self.loads.counts.add_hosts(self.host_statuses.len(), new);
        let points = |weight: f64| RING_POINTS_PER_HOST * weight / scale;
        self.ring.set(&hosts, |weight| points(weight).clamp(8.0, 8.0 * RING_POINTS_PER_HOST) as u64);
        self.loads.overloaded_since.resize(self.host_statuses.len(), None);
    }
}

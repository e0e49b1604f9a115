//! Selects the host for a request: the key's home, or a holder of a hot key; if that is unusable,
//! the next host on the ring.

use super::concurrency_limit::ConcurrencyLimit;
use super::constants::*;
use crate::dispatcher::Dispatcher;
use crate::host_marks::HostMarks;
use crate::host_tracker::HostStatus;
use crate::open_request::OpenRequest;
use crate::types::{EndReason, HostId, Micros, RequestId, RingPosition};

/// The assessment of a host for a request.
enum Candidate {
    Usable,
    /// The host would be selected, but is at its concurrency limit.
    Full,
    /// Used if no other host is usable; the fallback with the highest preference is selected.
    Fallback(f64),
    Unusable,
}

impl Dispatcher {
    /// Selects the host for the next attempt of a request.
    ///
    /// # Errors
    /// Why no host was selected.
    pub fn select_host(&mut self, id: RequestId, now: Micros) -> Result<HostId, EndReason> {
        let request = &self.requests[&id];
        if self.capabilities.cache_aside && (request.is_write || request.has_missed) {
            return self.select_origin(request, now);
        }
        let fleet = &self.fleet;
        let share = request.limit_share;
        if !fleet.limit.has_capacity(fleet.in_flight, share, fleet.others_share, now) {
            return Err(EndReason::FleetAtLimit);
        }
        if cannot_finish_in_time(request, &fleet.limit, now) {
            return Err(EndReason::TooLittleTime);
        }
        let key = request.key.unwrap_or_else(|| RingPosition(self.rng.draw()));
        let mut marks = std::mem::take(&mut self.host_marks);
        let mut holders = Vec::new();
        if self.loads.hot_keys.contains(&key) && !request.is_write {
            holders = self.hot_key_holders(key, now, &mut marks);
            let in_flight = |host: HostId| self.host_statuses[host.index()].in_flight;
            holders.sort_by_cached_key(|&host| (in_flight(host), self.rng.draw()));
        }
        let selected = self.first_usable_host(id, key, holders, now, &mut marks);
        self.host_marks = marks;
        selected
    }

    /// The first usable host among the holders and then on the ring, from the key on. It considers
    /// at most `MAX_HOSTS_ASSESSED` hosts, and each host once.
    fn first_usable_host(
        &mut self,
        id: RequestId,
        key: RingPosition,
        holders: Vec<HostId>,
        now: Micros,
        seen: &mut HostMarks,
    ) -> Result<HostId, EndReason> {
        let request = &self.requests[&id];
        let max_hosts = self.ring.host_count().min(MAX_HOSTS_ASSESSED);
        seen.clear();
        let mut full = 0;
        let mut fallback: Option<(f64, HostId)> = None;
        for host in holders.into_iter().chain(self.ring.walk(key)) {
            if seen.count() >= max_hosts {
                break;
            }
            self.selection_work.points += 1;
            if !seen.mark(host) {
                continue;
            }
            let is_overflow = full > 0 || !request.tried.is_empty();
            let skips_warming_host = is_overflow && self.host_statuses[host.index()].is_warming_up();
            if skips_warming_host || request.tried.contains(&host) {
                continue;
            }
            self.selection_work.hosts += 1;
            match self.assess(host, request, key, now) {
                Candidate::Usable => return Ok(host),
                Candidate::Full => {
                    full += 1;
                    if full > MAX_SPILLS || !self.retry_budget.is_available() {
                        return Err(EndReason::HostsAtLimit);
                    }
                    self.retry_budget.spend();
                }
                Candidate::Fallback(preference) if fallback.is_none_or(|(best, _)| preference > best) => {
                    fallback = Some((preference, host));
                }
                Candidate::Fallback(_) | Candidate::Unusable => {}
            }
        }
        match fallback {
            _ if full > 0 => Err(EndReason::HostsAtLimit),
            Some((_, host)) => Ok(host),
            None => Err(EndReason::NoUsableHost),
        }
    }

    fn assess(&self, host: HostId, request: &OpenRequest, key: RingPosition, now: Micros) -> Candidate {
        let status = &self.host_statuses[host.index()];
        if !status.is_cache() {
            return Candidate::Unusable;
        }
        // Avoided hosts come last, with one attempt at a time.
        if self.is_avoided(status) {
            let is_free = status.in_flight == 0;
            return if is_free { Candidate::Fallback(0.0) } else { Candidate::Unusable };
        }
        let has_capacity = status.limit.has_capacity(status.in_flight, request.limit_share, 0.0, now);
        match (self.keeps_key(host, key), has_capacity) {
            (true, true) => Candidate::Usable,
            (true, false) => Candidate::Full,
            (false, true) => Candidate::Fallback(status.key_share),
            (false, false) => Candidate::Unusable,
        }
    }

    /// Whether a host that is slow or warming up keeps a key. Each balancer moves different keys
    /// away: a hot key must neither reach such a host from all balancers at once, nor move as a
    /// whole and congest the next host.
    fn keeps_key(&self, host: HostId, key: RingPosition) -> bool {
        let share = self.host_statuses[host.index()].kept_key_share(self.warm_up.share);
        share >= 1.0 || (key.mixed(self.salt ^ u64::from(host.0)).0 as f64) < share * u64::MAX as f64
    }

    /// Whether a host is avoided: it is suspected (by the evidence against the host itself), or its
    /// zone is unreachable. [`PoolSize::ejected`](crate::types::PoolSize::ejected) counts both.
    pub fn is_avoided(&self, status: &HostStatus) -> bool {
        status.is_suspected || self.zones.avoids(status.zone(), status.activity)
    }

    fn select_origin(&self, request: &OpenRequest, now: Micros) -> Result<HostId, EndReason> {
        let origin = self.origin.ok_or(EndReason::NoUsableHost)?;
        let status = &self.host_statuses[origin.index()];
        let share = if request.is_write { ORIGIN_WRITE_SHARE } else { request.limit_share };
        let has_capacity = status.limit.has_capacity(status.in_flight, share, self.fleet.others_share, now);
        if !has_capacity {
            return Err(EndReason::HostsAtLimit);
        }
        if cannot_finish_in_time(request, &status.limit, now) {
            return Err(EndReason::TooLittleTime);
        }
        Ok(origin)
    }

    /// The holders of a hot key, one from each of several equal ranges of the ring that start at
    /// the key's position; the first holder is the home. The holders are marked. All ranges
    /// together visit at most `MAX_POINTS_FOR_HOLDERS` points, independent of the number of hosts.
    fn hot_key_holders(&self, key: RingPosition, now: Micros, marks: &mut HostMarks) -> Vec<HostId> {
        let by_load = (self.loads.counts.share_of(key) * self.ring.host_count() as f64) as u64;
        let count = by_load.clamp(MIN_HOT_KEY_HOLDERS, MAX_HOSTS_ASSESSED as u64);
        let range = u64::MAX / count;
        let max_points = (MAX_POINTS_FOR_HOLDERS / count) as usize;
        marks.clear();
        let mut holders: Vec<HostId> = Vec::new();
        for nth in 0..count {
            let from = RingPosition(key.0.wrapping_add(nth * range));
            let is_usable = |host: &HostId| {
                let status = &self.host_statuses[host.index()];
                status.is_cache() && !status.is_suspected && !marks.is_marked(*host)
            };
            let hosts = || self.ring.walk_range(from, range).take(max_points).filter(is_usable);
            let load = |host: HostId| self.loads.counts.hosts[host.index()];
            let by_load = |a: &HostId, b: &HostId| load(*a).total_cmp(&load(*b)).then(a.cmp(b));
            let first = hosts().find(|&host| nth == 0 || !self.loads.is_overloaded(host, now));
            let holder = first.or_else(|| hosts().min_by(by_load));
            holder.into_iter().for_each(|host| _ = marks.mark(host));
            holders.extend(holder);
        }
        holders
    }
}

/// Whether a request without an attempt in flight has less time left than the minimum latency. Such
/// requests would only congest the host.
fn cannot_finish_in_time(request: &OpenRequest, limit: &ConcurrencyLimit, now: Micros) -> bool {
    request.in_flight.is_empty() && limit.is_below_min_latency(request.expires_at - now)
}

//! Tracks the hosts of the endpoint list and selects those that the policy sees.

use std::collections::{BTreeMap, BTreeSet};

use basaltwood::types::Lifecycle;

use crate::map::{RegionIndex, RegionMap, ZoneNumber};
use crate::update::{ListedHost, RegionCounts, RegionEvent, RingUpdate};

/// The maximum number of zones without a region that are reported and counted: a faulty list with
/// many unknown zones must not fill memory or the log.
const MAX_REPORTED_ZONES: usize = 1_024;

/// The state of a listed host. It has to be small, since many hosts are outside the ring
/// (tests/memory.rs).
struct Host<T> {
    /// The host's zone; `None` if no region has it.
    zone: Option<ZoneNumber>,
    /// The zone in which the policy knows the host. It is kept apart from `zone`, since requests
    /// sent to the host ran in this one and hosts may deduplicate by zone.
    announced_zone: Option<ZoneNumber>,
    lifecycle: Lifecycle,
    origin: bool,
    /// Whether the policy knows the host and the caller has not forgotten it. Such a host is kept
    /// as `Gone` after the list drops it: the policy may go on using it, and then has to see its
    /// drain.
    announced: bool,
    details: T,
}

impl<T: Clone> Host<T> {
    fn region(&self, map: &RegionMap) -> Option<RegionIndex> {
        self.zone.map(|zone| map.region_of(zone))
    }

    /// The host's entry for the policy, with this zone and lifecycle.
    fn entry(
        &self,
        name: &str,
        zone: Option<ZoneNumber>,
        lifecycle: Lifecycle,
        map: &RegionMap,
    ) -> ListedHost<T> {
        ListedHost {
            host: name.into(),
            zone: zone.map(|zone| map.zone_name(zone).into()),
            origin: self.origin,
            lifecycle,
            details: self.details.clone(),
        }
    }

    /// Removes the host from the policy: it is draining first, then gone. With the capability
    /// `keeps_dropped_hosts` the policy would go on sending to a host that is gone without a drain,
    /// as long as the host answers.
    fn withdraw(&mut self, name: &str, map: &RegionMap, update: &mut RingUpdate<T>) {
        self.announced = false;
        update.hosts_removed += usize::from(self.lifecycle == Lifecycle::Up);
        for lifecycle in [Lifecycle::Draining, Lifecycle::Gone] {
            update.entries.push(self.entry(name, self.announced_zone, lifecycle, map));
        }
    }

    /// Adds the host to the policy.
    fn announce(&mut self, name: &str, map: &RegionMap, update: &mut RingUpdate<T>) {
        self.announced = true;
        self.announced_zone = self.zone;
        update.hosts_added += usize::from(self.lifecycle == Lifecycle::Up);
        update.entries.push(self.entry(name, self.zone, self.lifecycle, map));
    }
}

/// The hosts of the endpoint list, and the region that is the ring.
pub struct Regions<T> {
    map: RegionMap,
    hosts: BTreeMap<Box<str>, Host<T>>,
    /// The region whose hosts form the ring.
    ring: RegionIndex,
    /// The zones without a region that were reported so far.
    reported_zones: BTreeSet<Option<Box<str>>>,
}

impl<T: Clone> Regions<T> {
    /// Starts without hosts, with the own region as the ring.
    pub fn new(map: RegionMap) -> Regions<T> {
        let ring = map.own_index();
        Regions { map, hosts: BTreeMap::new(), ring, reported_zones: BTreeSet::new() }
    }

    /// Applies the full list, or only the entries that changed, and returns the update for the
    /// policy. A host that leaves the ring is returned twice: as draining, then as gone.
    pub fn apply(&mut self, full_list: bool, entries: Vec<ListedHost<T>>) -> RingUpdate<T> {
        let mut update = RingUpdate::default();
        if full_list {
            self.drop_unlisted(&entries);
        }
        for entry in &entries {
            self.report_unknown_zone(entry, &mut update.events);
            self.store(entry);
        }
        self.choose_ring(&mut update.events);
        for entry in entries {
            self.forward(entry, &mut update);
        }
        self.reconcile(&mut update);
        update
    }

    /// Forgets a host for which the caller has dropped all state, so that nothing more can be sent
    /// to it. Has no effect unless the host is gone.
    pub fn forget(&mut self, host: &str) {
        if self.hosts.get(host).is_some_and(|host| host.lifecycle == Lifecycle::Gone) {
            self.hosts.remove(host);
        }
    }

    /// The name of the region whose hosts form the ring.
    pub fn ring(&self) -> &str {
        self.map.name_of(self.ring)
    }

    /// The map of zones to regions.
    pub fn map(&self) -> &RegionMap {
        &self.map
    }

    /// Counts the listed hosts by region and the unknown zones.
    pub fn counts(&self) -> RegionCounts {
        let mut counts =
            RegionCounts { unmapped_zones: self.reported_zones.len(), ..RegionCounts::default() };
        let listed = |host: &&Host<T>| host.lifecycle != Lifecycle::Gone && !host.origin;
        for host in self.hosts.values().filter(listed) {
            let region = host.region(&self.map);
            counts.in_ring += usize::from(region == Some(self.ring));
            counts.outside_ring += usize::from(region != Some(self.ring));
            counts.unmapped_hosts += usize::from(region.is_none());
        }
        counts
    }

    /// Marks hosts that the full list leaves out as gone, and removes those that the policy does
    /// not know.
    fn drop_unlisted(&mut self, entries: &[ListedHost<T>]) {
        let listed: BTreeSet<&str> = entries.iter().map(|entry| &*entry.host).collect();
        self.hosts.retain(|name, host| {
            let stays = listed.contains(&**name);
            if !stays {
                host.lifecycle = Lifecycle::Gone;
            }
            stays || host.announced
        });
    }

    fn report_unknown_zone(&mut self, entry: &ListedHost<T>, events: &mut Vec<RegionEvent>) {
        let needs_region = entry.lifecycle == Lifecycle::Up && !entry.origin;
        if needs_region
            && self.zone_of(entry).is_none()
            && self.reported_zones.len() < MAX_REPORTED_ZONES
            && self.reported_zones.insert(entry.zone.clone())
        {
            events.push(RegionEvent::UnknownZone(entry.zone.clone()));
        }
    }

    /// Stores an entry's state. An entry that ends a host's use may have no zone or an unknown one:
    /// the host then keeps its former zone.
    fn store(&mut self, entry: &ListedHost<T>) {
        let is_up = entry.lifecycle == Lifecycle::Up;
        let is_gone = entry.lifecycle == Lifecycle::Gone;
        let zone = self.zone_of(entry);
        match self.hosts.get_mut(&entry.host) {
            Some(host) if is_gone && !host.announced => {
                self.hosts.remove(&entry.host);
            }
            Some(host) => {
                host.zone = zone.or(host.zone.filter(|_| !is_up));
                host.origin = entry.origin || host.origin && !is_up;
                host.lifecycle = entry.lifecycle;
                host.details = entry.details.clone();
            }
            None if is_gone => {}
            None => {
                let host = Host {
                    zone,
                    announced_zone: None,
                    lifecycle: entry.lifecycle,
                    origin: entry.origin,
                    announced: false,
                    details: entry.details.clone(),
                };
                self.hosts.insert(entry.host.clone(), host);
            }
        }
    }

    /// Forwards an entry to the policy if its host is an origin host or in the ring.
    fn forward(&mut self, entry: ListedHost<T>, update: &mut RingUpdate<T>) {
        let zone = self.zone_of(&entry);
        let Some(host) = self.hosts.get_mut(&entry.host) else { return };
        let in_ring = |region: Option<RegionIndex>| region == Some(self.ring);
        let ends_use = entry.lifecycle != Lifecycle::Up;
        // A list may name a host twice, in two zones: the last entry counts.
        let entry_region = zone.map(|zone| self.map.region_of(zone));
        let in_use = in_ring(host.region(&self.map)) && (ends_use || in_ring(entry_region));
        if !host.origin && !in_use {
            return;
        }
        // An entry that ends the host's use does not change its zone.
        let kept_zone = host.announced_zone.filter(|_| host.announced && ends_use);
        update.hosts_added += usize::from(!host.announced && !ends_use && !host.origin);
        host.announced = true;
        host.announced_zone = kept_zone.or(zone);
        let kept_name = kept_zone.map(|zone| self.map.zone_name(zone).into());
        update.entries.push(ListedHost { zone: kept_name.or(entry.zone), ..entry });
    }

    /// Withdraws hosts that left the ring, and announces hosts that entered it without an entry in
    /// this update, because another region became the ring.
    fn reconcile(&mut self, update: &mut RingUpdate<T>) {
        let (map, ring) = (&self.map, Some(self.ring));
        self.hosts.retain(|name, host| {
            let in_ring = host.region(map) == ring;
            if host.announced && !host.origin && !in_ring {
                host.withdraw(name, map, update);
                return host.lifecycle != Lifecycle::Gone;
            }
            if !host.announced && in_ring {
                host.announce(name, map, update);
            }
            true
        });
    }

    /// The zone that an entry names, if a region has it.
    fn zone_of(&self, entry: &ListedHost<T>) -> Option<ZoneNumber> {
        entry.zone.as_deref().and_then(|zone| self.map.zone(zone))
    }

    /// Selects the ring: from the own region on in the file's order, wrapping around, the first
    /// region with its minimum of hosts up, or else the first with any host up. If no region has a
    /// host up, the ring stays: an empty list may be wrong, and the policy may use the hosts it
    /// has.
    fn choose_ring(&mut self, events: &mut Vec<RegionEvent>) {
        let hosts_up = self.hosts_up();
        let count = hosts_up.len() as RegionIndex;
        let own = self.map.own_index();
        let by_preference = || (own..count).chain(0..own);
        let has_minimum = |&region: &RegionIndex| hosts_up[usize::from(region)] >= self.map.min_hosts(region);
        let has_any = |&region: &RegionIndex| hosts_up[usize::from(region)] > 0;
        let chosen = by_preference().find(has_minimum).or_else(|| by_preference().find(has_any));

        let before = self.ring;
        self.ring = chosen.unwrap_or(before);
        if self.ring != before {
            let name = |region: RegionIndex| self.map.name_of(region).to_owned();
            events.push(RegionEvent::RingChanged { before: name(before), now: name(self.ring) });
        }
    }

    /// The number of cache hosts that are up, by region.
    fn hosts_up(&self) -> Vec<u32> {
        let mut hosts_up = vec![0; self.map.names().len()];
        let is_up = |host: &&Host<T>| host.lifecycle == Lifecycle::Up && !host.origin;
        for host in self.hosts.values().filter(is_up) {
            if let Some(region) = host.region(&self.map) {
                hosts_up[usize::from(region)] += 1;
            }
        }
        hosts_up
    }
}

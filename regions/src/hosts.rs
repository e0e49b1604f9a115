//! The hosts of the list, and which of them the policy is to see.

use std::collections::{BTreeMap, BTreeSet};

use basaltwood::types::Lifecycle;

use crate::map::{RegionIndex, RegionMap, ZoneNumber};
use crate::update::{ListedHost, RegionCounts, RegionEvent, RingUpdate};

/// The maximum number of zones without a region that are reported and counted: a list of absurd
/// zones must not fill memory or the log.
const MAX_REPORTED_ZONES: usize = 1_024;

/// What is kept of a host. Its size matters: there are many hosts outside the ring
/// (tests/memory.rs).
struct Host<T> {
    /// None where no region names its zone.
    zone: Option<ZoneNumber>,
    /// The zone under which the policy knows the host. Requests that were sent there ran in that
    /// zone, and hosts may deduplicate by zone.
    announced_zone: Option<ZoneNumber>,
    lifecycle: Lifecycle,
    origin: bool,
    /// The policy knows the host, and the caller has not forgotten it since. One that no list names
    /// any more is `Gone` and stays as long: the policy may go on using it, and then has to see its
    /// drain.
    announced: bool,
    details: T,
}

impl<T: Clone> Host<T> {
    fn region(&self, map: &RegionMap) -> Option<RegionIndex> {
        self.zone.map(|zone| map.region_of(zone))
    }

    /// Its entry for the policy, with this zone and lifecycle.
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

    /// Takes the host out of the policy's use. Where only draining binds, the policy would go on
    /// sending to a host that is just gone, for as long as it answers: so it drains first.
    fn withdraw(&mut self, name: &str, map: &RegionMap, update: &mut RingUpdate<T>) {
        self.announced = false;
        update.hosts_removed += usize::from(self.lifecycle == Lifecycle::Up);
        for lifecycle in [Lifecycle::Draining, Lifecycle::Gone] {
            update.entries.push(self.entry(name, self.announced_zone, lifecycle, map));
        }
    }

    /// Brings the host into the policy's use.
    fn announce(&mut self, name: &str, map: &RegionMap, update: &mut RingUpdate<T>) {
        self.announced = true;
        self.announced_zone = self.zone;
        update.hosts_added += usize::from(self.lifecycle == Lifecycle::Up);
        update.entries.push(self.entry(name, self.zone, self.lifecycle, map));
    }
}

/// The hosts of the list, and the ring that they make.
pub struct Regions<T> {
    map: RegionMap,
    hosts: BTreeMap<Box<str>, Host<T>>,
    /// The region whose hosts are the ring.
    ring: RegionIndex,
    /// The zones without a region that were reported.
    reported_zones: BTreeSet<Option<Box<str>>>,
}

impl<T: Clone> Regions<T> {
    /// No hosts yet; the ring is the own region.
    pub fn new(map: RegionMap) -> Regions<T> {
        let ring = map.own_index();
        Regions { map, hosts: BTreeMap::new(), ring, reported_zones: BTreeSet::new() }
    }

    /// Takes the full list, or only the entries that changed. Returns what the policy is to see.
    ///
    /// A host that leaves the ring is returned as draining and then as gone.
    pub fn apply(&mut self, full_list: bool, entries: Vec<ListedHost<T>>) -> RingUpdate<T> {
        let mut update = RingUpdate::default();
        if full_list {
            self.drop_unlisted(&entries);
        }
        for entry in &entries {
            self.report_unknown_zone(entry, &mut update.events);
            self.record(entry);
        }
        self.choose_ring(&mut update.events);
        for entry in entries {
            self.pass_on(entry, &mut update);
        }
        self.reconcile(&mut update);
        update
    }

    /// The caller has dropped all its state for this host, so that nothing can reach it any more.
    /// Has no effect unless the host is gone.
    pub fn forget(&mut self, host: &str) {
        if self.hosts.get(host).is_some_and(|host| host.lifecycle == Lifecycle::Gone) {
            self.hosts.remove(host);
        }
    }

    /// The name of the region whose hosts are the ring.
    pub fn ring(&self) -> &str {
        self.map.name_of(self.ring)
    }

    /// The map that places the hosts.
    pub fn map(&self) -> &RegionMap {
        &self.map
    }

    /// The number of hosts on the list by where they are.
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

    /// Hosts that the full list leaves out are gone; of those only what the policy knows is kept.
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
        let concerns_us = entry.lifecycle == Lifecycle::Up && !entry.origin;
        let unknown = concerns_us && self.zone_of(entry).is_none();
        if unknown
            && self.reported_zones.len() < MAX_REPORTED_ZONES
            && self.reported_zones.insert(entry.zone.clone())
        {
            events.push(RegionEvent::UnknownZone(entry.zone.clone()));
        }
    }

    /// Keeps what an entry says. One that ends a host's use may leave its zone out, or name an
    /// absurd one: the zone then stays as it was.
    fn record(&mut self, entry: &ListedHost<T>) {
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

    /// Passes an entry on where its host is an origin's or of the ring.
    fn pass_on(&mut self, entry: ListedHost<T>, update: &mut RingUpdate<T>) {
        let zone = self.zone_of(&entry);
        let Some(host) = self.hosts.get_mut(&entry.host) else { return };
        let in_ring = |region: Option<RegionIndex>| region == Some(self.ring);
        let ends_use = entry.lifecycle != Lifecycle::Up;
        // A list may name a host twice, in two zones: it is where the last entry has it.
        let entry_region = zone.map(|zone| self.map.region_of(zone));
        let in_use = in_ring(host.region(&self.map)) && (ends_use || in_ring(entry_region));
        if !host.origin && !in_use {
            return;
        }
        // What ends its use leaves its zone as it was, whatever the entry says.
        let kept_zone = host.announced_zone.filter(|_| host.announced && ends_use);
        update.hosts_added += usize::from(!host.announced && !ends_use && !host.origin);
        host.announced = true;
        host.announced_zone = kept_zone.or(zone);
        let kept_name = kept_zone.map(|zone| self.map.zone_name(zone).into());
        update.entries.push(ListedHost { zone: kept_name.or(entry.zone), ..entry });
    }

    /// Withdraws the hosts that left the ring, and announces those that came into it without an
    /// entry of their own: where the ring is another region's now.
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

    /// The zone that an entry names, where a region has it.
    fn zone_of(&self, entry: &ListedHost<T>) -> Option<ZoneNumber> {
        entry.zone.as_deref().and_then(|zone| self.map.zone(zone))
    }

    /// The ring is the first region with its minimum of hosts up, from the own one on in the file's
    /// order and round; where none has that, the first with any. Where none has any it stays: an
    /// empty list may be wrong, and the policy may go on using what it has.
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

    /// By region, the number of its cache hosts that are up.
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

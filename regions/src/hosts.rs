//! Hosts of the list, and which of them the module is to hear of.

use std::collections::{BTreeMap, BTreeSet};

use basaltwood::types::Lifecycle;

use crate::map::{RegionMap, ZoneNumber};

/// Zones without a region that are said and counted; a list of absurd zones must not fill memory or the log.
const MAX_REPORTED_ZONES: usize = 1_024;

/// A host as a list words it. `rest` is whatever else the shell wants to know of it again.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost<T> {
    pub host: Box<str>,
    pub zone: Option<Box<str>>,
    pub origin: bool,
    pub lifecycle: Lifecycle,
    pub details: T,
}

/// Something that is worth a line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegionEvent {
    /// No region names this zone, or an entry names none; told once.
    UnknownZone(Option<Box<str>>),
    /// The ring is another region's hosts from now on.
    RingChanged { before: String, now: String },
}

/// What the module is to hear, in this order, as whole a list as the one that came.
#[derive(Debug, PartialEq)]
pub struct RingUpdate<T> {
    pub entries: Vec<ListedHost<T>>,
    pub events: Vec<RegionEvent>,
    /// Hosts that are up and came into the ring, those of the first list too.
    pub hosts_added: usize,
    /// Hosts that are up and were taken out of it: they moved, or the ring did.
    pub hosts_removed: usize,
}

/// How many hosts of the list lie where; the origin's are in none of these.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionCounts {
    /// In the ring's region, those that drain too.
    pub in_ring: usize,
    pub outside_ring: usize,
    /// Those outside that no region's zone holds.
    pub unmapped_hosts: usize,
    /// Zones without a region that the list named so far.
    pub unmapped_zones: usize,
}

/// What is kept of a host.
struct Host<T> {
    /// None where no region names its zone.
    zone: Option<ZoneNumber>,
    /// The zone that the module last heard of it: what went there ran there, and repeats are told apart by
    /// zone.
    announced_zone: Option<ZoneNumber>,
    lifecycle: Lifecycle,
    origin: bool,
    /// The module has heard of it, and the shell has not forgotten it since. One that no list names any more
    /// is `Gone` and stays for as long: the module may go on using it, and then has to hear its drain.
    announced: bool,
    details: T,
}

impl<T: Clone> Host<T> {
    fn region(&self, map: &RegionMap) -> Option<u16> {
        self.zone.map(|zone| map.region_of(zone))
    }

    /// As the module is to hear of it, in that zone.
    fn entry(
        &self,
        name: &str,
        zone: Option<ZoneNumber>,
        lifecycle: Lifecycle,
        map: &RegionMap,
    ) -> ListedHost<T> {
        let (zone, details) = (zone.map(|zone| map.zone_name(zone).into()), self.details.clone());
        ListedHost { host: name.into(), zone, origin: self.origin, lifecycle, details }
    }
}

/// The hosts of the list, and the ring that they make.
pub struct Regions<T> {
    map: RegionMap,
    hosts: BTreeMap<Box<str>, Host<T>>,
    /// The region whose hosts are the ring.
    ring: u16,
    reported_zones: BTreeSet<Option<Box<str>>>,
}

impl<T: Clone> Regions<T> {
    pub fn new(map: RegionMap) -> Regions<T> {
        let ring = map.own_index();
        Regions { map, hosts: BTreeMap::new(), ring, reported_zones: BTreeSet::new() }
    }

    /// Takes the whole list, or only the entries that changed; what the module is to hear of it.
    ///
    /// A host that leaves the ring is told as draining and then as gone: where only draining binds, a host
    /// that just goes would be sent to for as long as it answers.
    pub fn apply(&mut self, full_list: bool, entries: Vec<ListedHost<T>>) -> RingUpdate<T> {
        if full_list {
            let named: BTreeSet<&str> = entries.iter().map(|entry| &*entry.host).collect();
            self.hosts.retain(|name, host| {
                let stays = named.contains(&**name);
                if !stays {
                    host.lifecycle = Lifecycle::Gone;
                }
                stays || host.announced
            });
        }
        let mut events = Vec::new();
        entries.iter().for_each(|entry| self.record(entry, &mut events));
        let before = self.ring;
        self.ring = self.ring_by_list();
        if before != self.ring {
            let name = |region: u16| self.map.names()[usize::from(region)].clone();
            events.push(RegionEvent::RingChanged { before: name(before), now: name(self.ring) });
        }
        let (map, ring) = (&self.map, Some(self.ring));
        let mut update = RingUpdate { entries: Vec::new(), events, hosts_added: 0, hosts_removed: 0 };
        for entry in entries {
            let Some(host) = self.hosts.get_mut(&entry.host) else { continue };
            let ends = entry.lifecycle != Lifecycle::Up;
            let zone = entry.zone.as_deref().and_then(|zone| map.zone(zone));
            // A list may name a host twice, in two places: it is where the last entry has it.
            let here = host.region(map) == ring && (ends || zone.map(|zone| map.region_of(zone)) == ring);
            if host.origin || here {
                // What ends its use leaves its place as it was, whatever that says.
                let kept = host.announced_zone.filter(|_| host.announced && ends);
                update.hosts_added += usize::from(!host.announced && !ends && !host.origin);
                (host.announced, host.announced_zone) = (true, kept.or(zone));
                let kept = kept.map(|zone| map.zone_name(zone).into());
                update.entries.push(ListedHost { zone: kept.or(entry.zone), ..entry });
            }
        }
        self.hosts.retain(|name, host| {
            let region = host.region(map);
            if host.announced && !host.origin && region != ring {
                host.announced = false;
                update.hosts_removed += usize::from(host.lifecycle == Lifecycle::Up);
                for lifecycle in [Lifecycle::Draining, Lifecycle::Gone] {
                    update.entries.push(host.entry(name, host.announced_zone, lifecycle, map));
                }
                return host.lifecycle != Lifecycle::Gone;
            }
            if !host.announced && region == ring {
                (host.announced, host.announced_zone) = (true, host.zone);
                update.hosts_added += usize::from(host.lifecycle == Lifecycle::Up);
                update.entries.push(host.entry(name, host.zone, host.lifecycle, map));
            }
            true
        });
        update
    }

    /// The shell knows this host no more: nothing that it does can reach it. Only one that is gone goes so.
    pub fn forget(&mut self, host: &str) {
        if self.hosts.get(host).is_some_and(|host| host.lifecycle == Lifecycle::Gone) {
            self.hosts.remove(host);
        }
    }

    /// The name of the region whose hosts are the ring.
    pub fn ring(&self) -> &str {
        &self.map.names()[usize::from(self.ring)]
    }

    pub fn map(&self) -> &RegionMap {
        &self.map
    }

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

    /// What an entry says, into the books. One that ends a host's use may leave its place out, or name an
    /// absurd one: that is as it was.
    fn record(&mut self, entry: &ListedHost<T>, events: &mut Vec<RegionEvent>) {
        let up = entry.lifecycle == Lifecycle::Up;
        let zone = entry.zone.as_deref().and_then(|zone| self.map.zone(zone));
        let unnamed = up && zone.is_none() && !entry.origin && self.reported_zones.len() < MAX_REPORTED_ZONES;
        if unnamed && self.reported_zones.insert(entry.zone.clone()) {
            events.push(RegionEvent::UnknownZone(entry.zone.clone()));
        }
        match self.hosts.get_mut(&entry.host) {
            Some(host) => {
                host.zone = zone.or(host.zone.filter(|_| !up));
                host.origin = entry.origin || host.origin && !up;
                host.lifecycle = entry.lifecycle;
                host.details = entry.details.clone();
                if !host.announced && entry.lifecycle == Lifecycle::Gone {
                    self.hosts.remove(&entry.host);
                }
            }
            None if entry.lifecycle != Lifecycle::Gone => {
                let ListedHost { origin, lifecycle, ref details, .. } = *entry;
                let host = Host {
                    zone,
                    announced_zone: None,
                    lifecycle,
                    origin,
                    announced: false,
                    details: details.clone(),
                };
                self.hosts.insert(entry.host.clone(), host);
            }
            None => {}
        }
    }

    /// The region that the ring is of: the first with its least number of hosts up, from the own one on in
    /// the file's order and round; where none has that, the first with any. Where none has any it stays: an
    /// empty list may be wrong, and the module may go on using what it has.
    fn ring_by_list(&self) -> u16 {
        let count = self.map.names().len() as u16;
        let mut up = vec![0_u32; usize::from(count)];
        for host in self.hosts.values().filter(|host| host.lifecycle == Lifecycle::Up && !host.origin) {
            if let Some(region) = host.region(&self.map) {
                up[usize::from(region)] += 1;
            }
        }
        let own = self.map.own_index();
        let first = |has: &dyn Fn(u16) -> bool| (own..count).chain(0..own).find(|&region| has(region));
        first(&|region| up[usize::from(region)] >= self.map.min_hosts(region))
            .or_else(|| first(&|region| up[usize::from(region)] > 0))
            .unwrap_or(self.ring)
    }
}

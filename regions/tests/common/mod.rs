//! Shared test support: a short notation for entries and updates, and a stand-in for the policy.
#![allow(dead_code)] // not every test binary uses all of it

use std::collections::BTreeMap;

use basaltwood::types::Lifecycle;
use basaltwood_regions::{ListedHost, RegionEvent, RegionMap, Regions, RingUpdate};

pub const MAP: &str = r#"own = "north"
[[region]]
name = "west"
zones = ["w1"]
[[region]]
name = "north"
zones = ["n1", "n2"]
[[region]]
name = "south"
zones = ["s1", "s2"]
"#;

/// An entry with a number as its details.
pub type Listed = ListedHost<u32>;

pub fn regions() -> Regions<u32> {
    Regions::new(RegionMap::parse("regions.toml", MAP).expect("a valid region file"))
}

/// [`MAP`] with the given minimum numbers of hosts for west, north and south.
pub fn regions_with(min_hosts: [Option<u32>; 3]) -> Regions<u32> {
    let mut map = MAP.to_owned();
    for (zones, minimum) in [r#"["w1"]"#, r#"["n1", "n2"]"#, r#"["s1", "s2"]"#].iter().zip(min_hosts) {
        if let Some(minimum) = minimum {
            map = map.replace(zones, &format!("{zones}\nhosts = {minimum}"));
        }
    }
    Regions::new(RegionMap::parse("regions.toml", &map).expect("a valid region file"))
}

/// Parses `name [zone [leaving|left [details]]]`. The zone `-` is none; a name that begins with
/// `origin` is an origin host.
pub fn entry(words: &str) -> Listed {
    let mut words = words.split(' ');
    let host = words.next().expect("a name");
    let zone = words.next().filter(|zone| *zone != "-");
    let lifecycle = match words.next() {
        Some("leaving") => Lifecycle::Draining,
        Some("left") => Lifecycle::Gone,
        _ => Lifecycle::Up,
    };
    let details = words.next().and_then(|details| details.parse().ok()).unwrap_or(0);
    ListedHost {
        host: host.into(),
        zone: zone.map(Into::into),
        origin: host.starts_with("origin"),
        lifecycle,
        details,
    }
}

pub fn entries(text: &str) -> Vec<Listed> {
    text.split(", ").filter(|words| !words.is_empty()).map(entry).collect()
}

/// Formats an update in lines of up to six events and entries.
pub fn format_update(update: &RingUpdate<u32>) -> String {
    let word = |lifecycle| match lifecycle {
        Lifecycle::Up => "",
        Lifecycle::Draining => " drains",
        Lifecycle::Gone => " gone",
    };
    let entry = |entry: &Listed| {
        let zone = entry.zone.as_deref().unwrap_or("-");
        format!("{} {zone}{}", entry.host, word(entry.lifecycle))
    };
    let event = |event: &RegionEvent| match event {
        RegionEvent::UnknownZone(zone) => format!("[no region for {}]", zone.as_deref().unwrap_or("-")),
        RegionEvent::RingChanged { before, now } => format!("[ring {before} to {now}]"),
    };
    let words = update.events.iter().map(event).chain(update.entries.iter().map(entry)).collect::<Vec<_>>();
    match words.is_empty() {
        true => "nothing".to_owned(),
        false => words.chunks(6).map(|words| words.join(", ")).collect::<Vec<_>>().join(",\n     "),
    }
}

/// The policy's view of the hosts. With `keeps_dropped_hosts`, a host that the list drops without a
/// drain stays in use until it stops answering.
#[derive(Default)]
pub struct StandInPolicy {
    pub keeps_dropped_hosts: bool,
    pub hosts: BTreeMap<Box<str>, KnownHost>,
}

#[derive(Clone, Debug)]
pub struct KnownHost {
    pub entry: Listed,
    pub drained: bool,
    /// The list has dropped the host, which stays in use while it answers.
    pub dropped: bool,
}

impl StandInPolicy {
    pub fn apply(&mut self, full_list: bool, update: &RingUpdate<u32>) {
        let named: Vec<&str> = update.entries.iter().map(|entry| &*entry.host).collect();
        for (name, known) in &mut self.hosts {
            if full_list && !named.contains(&&**name) {
                known.apply(
                    ListedHost { lifecycle: Lifecycle::Gone, ..known.entry.clone() },
                    self.keeps_dropped_hosts,
                );
            }
        }
        for entry in &update.entries {
            let known = self.hosts.entry(entry.host.clone()).or_insert_with(|| KnownHost {
                entry: ListedHost { lifecycle: Lifecycle::Gone, ..entry.clone() },
                drained: false,
                dropped: false,
            });
            known.apply(entry.clone(), self.keeps_dropped_hosts);
        }
    }

    /// The hosts that the policy may send to.
    pub fn up(&self) -> BTreeMap<Box<str>, Listed> {
        let up = self.hosts.values().filter(|known| known.entry.lifecycle == Lifecycle::Up);
        up.map(|known| (known.entry.host.clone(), known.entry.clone())).collect()
    }

    /// Forgets hosts that are gone and returns their names.
    pub fn forget_gone(&mut self) -> Vec<Box<str>> {
        let gone = |known: &&KnownHost| known.entry.lifecycle == Lifecycle::Gone;
        let gone: Vec<Box<str>> =
            self.hosts.values().filter(gone).map(|known| known.entry.host.clone()).collect();
        gone.iter().for_each(|name| drop(self.hosts.remove(name)));
        gone
    }

    /// Lets a host stop answering: if the list has dropped it, it is gone.
    pub fn stop_answering(&mut self, host: &str) {
        if let Some(known) = self.hosts.get_mut(host).filter(|known| known.dropped) {
            known.dropped = false;
            known.entry.lifecycle = Lifecycle::Gone;
        }
    }
}

impl KnownHost {
    fn apply(&mut self, entry: Listed, keeps_dropped_hosts: bool) {
        self.drained |= entry.lifecycle == Lifecycle::Draining;
        let stays = keeps_dropped_hosts && !self.drained && self.entry.lifecycle == Lifecycle::Up;
        self.dropped = entry.lifecycle == Lifecycle::Gone && stays;
        if !self.dropped {
            self.entry = entry;
        }
    }
}

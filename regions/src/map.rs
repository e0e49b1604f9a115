//! The map of zones to regions.

use std::num::NonZeroU16;

use crate::error::RegionMapError;
use crate::file::{RegionEntry, RegionFile};

/// The number of a zone that a region names, from 1, so that an `Option` of it also takes two
/// bytes.
pub(crate) type ZoneNumber = NonZeroU16;

/// The index of a region in the file's order.
pub(crate) type RegionIndex = u16;

/// Assigns zones to regions, which have an order of preference, and names this balancer's own
/// region.
#[derive(Clone, Debug)]
pub struct RegionMap {
    own: RegionIndex,
    names: Vec<String>,
    /// By region, the number of its hosts that must be up for it to be the ring.
    min_hosts: Vec<u32>,
    /// The number of balancers in the own region, if the file gives it.
    balancers: Option<u32>,
    /// Sorted by name, each with its region.
    zones: Vec<(Box<str>, RegionIndex)>,
    version: u32,
}

impl RegionMap {
    /// Parses the text of a region file; errors refer to it as `file`.
    ///
    /// # Errors
    /// The first problem in the file, with its line.
    pub fn parse(file: &str, text: &str) -> Result<RegionMap, RegionMapError> {
        RegionFile::parse(file, text).map(RegionMap::from)
    }

    /// A CRC-32 (IEEE 802.3) of the map without the own region, so that every region's copy of one
    /// map has the same version. It covers the regions in their order with names, zones, numbers of
    /// balancers and minimum numbers of hosts, but not comments, white space or the order of a
    /// region's zones.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// The own region's name.
    pub fn own(&self) -> &str {
        &self.names[usize::from(self.own)]
    }

    /// The regions' names, in the file's order.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The number of balancers in the own region, if the file gives it.
    pub fn balancers(&self) -> Option<u32> {
        self.balancers
    }

    /// The number of hosts of a region that must be up for it to be the ring; 1 by default.
    pub(crate) fn min_hosts(&self, region: RegionIndex) -> u32 {
        self.min_hosts[usize::from(region)]
    }

    pub(crate) fn own_index(&self) -> RegionIndex {
        self.own
    }

    pub(crate) fn name_of(&self, region: RegionIndex) -> &str {
        &self.names[usize::from(region)]
    }

    /// The number of a zone, or `None` if no region names the zone.
    pub(crate) fn zone(&self, name: &str) -> Option<ZoneNumber> {
        let index = self.zones.binary_search_by(|zone| (*zone.0).cmp(name)).ok()?;
        ZoneNumber::new(index as u16 + 1)
    }

    pub(crate) fn zone_name(&self, zone: ZoneNumber) -> &str {
        &self.zones[usize::from(zone.get()) - 1].0
    }

    pub(crate) fn region_of(&self, zone: ZoneNumber) -> RegionIndex {
        self.zones[usize::from(zone.get()) - 1].1
    }
}

impl From<RegionFile> for RegionMap {
    fn from(file: RegionFile) -> RegionMap {
        let version = checksum(&file.regions);
        let zones_of = |(index, region): (usize, &RegionEntry)| {
            let zones = region.zones.iter().map(move |zone| (zone.as_str().into(), index as RegionIndex));
            zones.collect::<Vec<_>>()
        };
        let mut zones: Vec<(Box<str>, RegionIndex)> =
            file.regions.iter().enumerate().flat_map(zones_of).collect();
        zones.sort_unstable();
        RegionMap {
            own: file.own as RegionIndex,
            balancers: file.regions[file.own].balancers,
            min_hosts: file.regions.iter().map(min_hosts).collect(),
            zones,
            names: file.regions.into_iter().map(|region| region.name).collect(),
            version,
        }
    }
}

fn min_hosts(region: &RegionEntry) -> u32 {
    region.min_hosts.unwrap_or(1)
}

/// The version of a map: for each region in the file's order its name, the number of zones, the
/// sorted zones, the number of balancers (0 if not given) and the minimum number of hosts. Numbers
/// are 4 bytes, little-endian; texts are preceded by their length.
fn checksum(regions: &[RegionEntry]) -> u32 {
    let mut sum = MapChecksum(crc32fast::Hasher::new());
    for region in regions {
        let mut zones: Vec<&str> = region.zones.iter().map(String::as_str).collect();
        zones.sort_unstable();
        sum.text(&region.name);
        sum.number(zones.len() as u32);
        for zone in zones {
            sum.text(zone);
        }
        sum.number(region.balancers.unwrap_or(0));
        sum.number(min_hosts(region));
    }
    sum.0.finalize()
}

struct MapChecksum(crc32fast::Hasher);

impl MapChecksum {
    fn number(&mut self, number: u32) {
        self.0.update(&number.to_le_bytes());
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u32);
        self.0.update(text.as_bytes());
    }
}

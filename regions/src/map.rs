//! Zones, the regions that they are in, and the own region.

use std::num::NonZeroU16;

use crate::error::RegionMapError;
use crate::file::{RegionEntry, RegionFile};

/// The number of a zone that a region names, from 1 on: two bytes, also where there may be none.
pub(crate) type ZoneNumber = NonZeroU16;

/// A region's place in the file's order, from 0 on.
pub(crate) type RegionIndex = u16;

/// Zones and the regions that they are in, in the file's order, and which region is this
/// balancer's.
#[derive(Clone, Debug)]
pub struct RegionMap {
    own: RegionIndex,
    names: Vec<String>,
    /// By region, how many of its hosts must be up for a ring of its own.
    min_hosts: Vec<u32>,
    /// Balancers of the own region, where the file says.
    balancers: Option<u32>,
    /// Sorted by name, each with its region.
    zones: Vec<(Box<str>, RegionIndex)>,
    version: u32,
}

impl RegionMap {
    /// Reads the text of a file; errors call it `file`.
    ///
    /// # Errors
    /// One line with the file, the line in it, what is wrong there, and the way out.
    pub fn parse(file: &str, text: &str) -> Result<RegionMap, RegionMapError> {
        RegionFile::parse(file, text).map(RegionMap::from)
    }

    /// The CRC-32 (IEEE 802.3) of all that the file says but for the own region, so that all
    /// regions' copies of one map have the same: regions in their order with names, zones, numbers
    /// of balancers and minimum numbers of hosts. Comments, white space and the order of a region's
    /// zones don't count.
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

    /// How many balancers the own region has, where the file says.
    pub fn balancers(&self) -> Option<u32> {
        self.balancers
    }

    /// How many hosts of a region must be up for a ring of its own; 1 where the file does not say.
    pub(crate) fn min_hosts(&self, region: RegionIndex) -> u32 {
        self.min_hosts[usize::from(region)]
    }

    pub(crate) fn own_index(&self) -> RegionIndex {
        self.own
    }

    pub(crate) fn name_of(&self, region: RegionIndex) -> &str {
        &self.names[usize::from(region)]
    }

    /// The number of a zone, none where no region names it.
    pub(crate) fn zone(&self, name: &str) -> Option<ZoneNumber> {
        let at = self.zones.binary_search_by(|zone| (*zone.0).cmp(name)).ok()?;
        ZoneNumber::new(at as u16 + 1)
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

/// The version of a map: over the regions in the file's order the name, the zones sorted, the
/// balancers (0 where the file does not say), and the minimum number of hosts. Numbers are of four
/// bytes, lowest first; a text follows its length, the zones follow their number.
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

//! The operators' file: zones to regions, and the own region.

use std::collections::BTreeMap;
use std::num::NonZeroU16;
use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;

/// The number of a zone that a region names, in two bytes with the lack of one.
pub(crate) type ZoneNumber = NonZeroU16;

/// The file as it is written; what it says is checked by `RegionMap::parse`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegionFile {
    own: Spanned<String>,
    #[serde(default)]
    region: Vec<RegionTable>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegionTable {
    name: Spanned<String>,
    zones: Spanned<Vec<Spanned<String>>>,
    #[serde(default)]
    balancers: Option<Spanned<i64>>,
    #[serde(default)]
    hosts: Option<Spanned<i64>>,
}

/// A number of the file that may be used: 1 or more.
fn positive(value: &Spanned<i64>) -> Option<u32> {
    u32::try_from(*value.get_ref()).ok().filter(|&number| number > 0)
}

/// Zones and the regions that they are in, in the file's order, and which region is this balancer's.
#[derive(Clone, Debug)]
pub struct RegionMap {
    own: u16,
    names: Vec<String>,
    /// By region, the least number of hosts that are up with which its ring can stand.
    min_hosts: Vec<u32>,
    /// Balancers of the own region, where the file says.
    balancers: Option<u32>,
    /// Sorted, each with its region.
    zones: Vec<(Box<str>, u16)>,
    version: u32,
}

impl RegionMap {
    /// Reads the text of a file; `file` is how a refusal calls it.
    ///
    /// # Errors
    /// One line with the file, the line in it, what is wrong there, and the way out.
    pub fn parse(file: &str, text: &str) -> Result<RegionMap, String> {
        let line =
            |span: Range<usize>| text.bytes().take(span.start).filter(|&byte| byte == b'\n').count() + 1;
        let refusal = |span: Range<usize>, what: String| format!("{file} line {}: {what}", line(span));
        let read: RegionFile = toml::from_str(text).map_err(|cause| {
            let what = cause.message().split_whitespace().collect::<Vec<_>>().join(" ");
            refusal(
                cause.span().unwrap_or(0..0),
                format!("{what}; see deploy/regions.example.toml for the form"),
            )
        })?;
        if read.region.is_empty() {
            return Err(refusal(
                read.own.span(),
                "no region: add a [[region]], or remove the file".to_owned(),
            ));
        }
        let empty = |name: &Spanned<String>, what: &str| match name.get_ref().trim().is_empty() {
            true => Err(refusal(name.span(), format!("{what} is empty: give it a name"))),
            false => Ok(()),
        };
        empty(&read.own, "own")?;
        let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (nth, region) in read.region.iter().enumerate() {
            empty(&region.name, "the name of a region")?;
            let name = region.name.get_ref().as_str();
            if let Some(first) = regions.insert(name, line(region.name.span())) {
                let what = format!("region {name:?} is named on line {first} too: make one of both");
                return Err(refusal(region.name.span(), what));
            }
            if region.zones.get_ref().is_empty() {
                let what = format!("region {name:?} has no zone: give it one, or remove the region");
                return Err(refusal(region.zones.span(), what));
            }
            for zone in region.zones.get_ref() {
                empty(zone, "the name of a zone")?;
                let text = zone.get_ref().as_str();
                let Some((other, first)) = zones.insert(text, (nth, line(zone.span()))) else { continue };
                let what = match other == nth {
                    true => format!("zone {text:?} is in region {name:?} twice: remove one"),
                    false => format!(
                        "zone {text:?} is in region {:?} (line {first}) and in {name:?}: remove it from one",
                        read.region[other].name.get_ref()
                    ),
                };
                return Err(refusal(zone.span(), what));
            }
            for (what, told, way) in [
                ("balancers", &region.balancers, "say how many there are, 1 or more, or leave it out"),
                ("hosts", &region.hosts, "say how many must be up, 1 or more, or leave it out"),
            ] {
                let Some(told) = told.as_ref().filter(|told| positive(told).is_none()) else { continue };
                let what = format!("region {name:?} has {what} = {}: {way}", told.get_ref());
                return Err(refusal(told.span(), what));
            }
        }
        // One number is left for hosts of no zone.
        if zones.len() >= usize::from(u16::MAX) || read.region.len() >= usize::from(u16::MAX) {
            return Err(refusal(read.own.span(), "over 65,534 zones or regions: name fewer".to_owned()));
        }
        let own = read.own.get_ref();
        let Some(at) = read.region.iter().position(|region| region.name.get_ref() == own) else {
            let known = regions.keys().map(|name| format!("{name:?}")).collect::<Vec<_>>().join(", ");
            return Err(refusal(read.own.span(), format!("no region {own:?}: own is to be one of {known}")));
        };
        let min_hosts = |region: &RegionTable| region.hosts.as_ref().and_then(positive).unwrap_or(1);
        let mut map = RegionMap {
            own: at as u16,
            balancers: read.region[at].balancers.as_ref().and_then(positive),
            min_hosts: read.region.iter().map(min_hosts).collect(),
            zones: zones.into_iter().map(|(zone, (region, _))| (zone.into(), region as u16)).collect(),
            names: read.region.iter().map(|region| region.name.get_ref().clone()).collect(),
            version: 0,
        };
        map.version =
            map.checksum(read.region.iter().map(|region| region.balancers.as_ref().and_then(positive)));
        Ok(map)
    }

    /// Over the regions in the file's order: name, zones sorted, balancers (0 where none are said), least.
    /// Numbers are of four bytes, lowest first; a text comes after its length, the zones after their number.
    fn checksum(&self, balancers: impl Iterator<Item = Option<u32>>) -> u32 {
        let mut sum = crc32fast::Hasher::new();
        let number = |sum: &mut crc32fast::Hasher, number: u32| sum.update(&number.to_le_bytes());
        let text = |sum: &mut crc32fast::Hasher, text: &str| {
            number(sum, text.len() as u32);
            sum.update(text.as_bytes());
        };
        let mut zones = vec![Vec::new(); self.names.len()];
        for (zone, region) in &self.zones {
            zones[usize::from(*region)].push(&**zone);
        }
        for (((name, zones), balancers), min_hosts) in
            self.names.iter().zip(zones).zip(balancers).zip(&self.min_hosts)
        {
            text(&mut sum, name);
            number(&mut sum, zones.len() as u32);
            zones.into_iter().for_each(|zone| text(&mut sum, zone));
            number(&mut sum, balancers.unwrap_or(0));
            number(&mut sum, *min_hosts);
        }
        sum.finalize()
    }

    /// The CRC-32 (IEEE 802.3) of all that the file says but for the own region, so that all regions' copies
    /// of one map have the same: regions in their order with names, zones, numbers of balancers and least
    /// numbers of hosts. Comments, white space and the order of a region's zones don't count.
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

    /// The least number of hosts that are up with which a region's ring can stand; 1 where none is said.
    pub(crate) fn min_hosts(&self, region: u16) -> u32 {
        self.min_hosts[usize::from(region)]
    }

    pub(crate) fn own_index(&self) -> u16 {
        self.own
    }

    /// The number of a zone, none where no region names it.
    pub(crate) fn zone(&self, name: &str) -> Option<ZoneNumber> {
        let at = self.zones.binary_search_by(|zone| (*zone.0).cmp(name)).ok()?;
        ZoneNumber::new(at as u16 + 1)
    }

    pub(crate) fn zone_name(&self, zone: ZoneNumber) -> &str {
        &self.zones[usize::from(zone.get()) - 1].0
    }

    pub(crate) fn region_of(&self, zone: ZoneNumber) -> u16 {
        self.zones[usize::from(zone.get()) - 1].1
    }
}

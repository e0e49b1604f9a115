//! Parsing and validation of the operators' region file.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;

use crate::error::{RegionMapError, RegionMapProblem};

/// The file as TOML, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    own: Spanned<String>,
    #[serde(default, rename = "region")]
    regions: Vec<RawRegion>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRegion {
    name: Spanned<String>,
    zones: Spanned<Vec<Spanned<String>>>,
    #[serde(default)]
    balancers: Option<Spanned<i64>>,
    #[serde(default, rename = "hosts")]
    min_hosts: Option<Spanned<i64>>,
}

/// The content of a valid file.
pub(crate) struct RegionFile {
    /// The index of the own region in `regions`.
    pub(crate) own: usize,
    /// The regions in the file's order.
    pub(crate) regions: Vec<RegionEntry>,
}

/// A region as the file describes it.
pub(crate) struct RegionEntry {
    pub(crate) name: String,
    pub(crate) zones: Vec<String>,
    /// The number of its balancers, if the file gives it.
    pub(crate) balancers: Option<u32>,
    /// The number of its hosts that must be up for it to be the ring, if the file gives it.
    pub(crate) min_hosts: Option<u32>,
}

impl RegionFile {
    /// Parses and validates the text of a file; errors refer to it as `file`.
    pub(crate) fn parse(file: &str, text: &str) -> Result<RegionFile, RegionMapError> {
        let source = Source { file, text };
        let raw = source.read()?;
        let own = Validator::new(&source, &raw).validate()?;
        let regions = raw.regions.into_iter().map(RegionEntry::from).collect();
        Ok(RegionFile { own, regions })
    }
}

impl From<RawRegion> for RegionEntry {
    fn from(raw: RawRegion) -> RegionEntry {
        RegionEntry {
            name: raw.name.into_inner(),
            zones: raw.zones.into_inner().into_iter().map(Spanned::into_inner).collect(),
            balancers: raw.balancers.as_ref().and_then(valid_count),
            min_hosts: raw.min_hosts.as_ref().and_then(valid_count),
        }
    }
}

/// The value if it is a valid count: 1 to 4,294,967,295.
fn valid_count(value: &Spanned<i64>) -> Option<u32> {
    u32::try_from(*value.get_ref()).ok().filter(|&count| count > 0)
}

/// A file's text and name, which turn the span of an error into a line number.
struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn read(&self) -> Result<RawFile, RegionMapError> {
        toml::from_str(self.text).map_err(|error| {
            let words: Vec<&str> = error.message().split_whitespace().collect();
            let problem = RegionMapProblem::Form { cause: words.join(" ") };
            self.error(error.span().unwrap_or(0..0), problem)
        })
    }

    fn line(&self, span: &Range<usize>) -> usize {
        let before = self.text.bytes().take(span.start);
        before.filter(|&byte| byte == b'\n').count() + 1
    }

    fn error(&self, span: Range<usize>, problem: RegionMapProblem) -> RegionMapError {
        RegionMapError { file: self.file.to_owned(), line: self.line(&span), problem }
    }
}

/// Where a zone was first listed: the index of the region, and the line.
struct ZoneLocation {
    region: usize,
    line: usize,
}

/// Validates a file region by region and stops at the first problem.
struct Validator<'a> {
    source: &'a Source<'a>,
    raw: &'a RawFile,
    /// The line of each region checked so far, by name.
    regions: BTreeMap<&'a str, usize>,
    zones: BTreeMap<&'a str, ZoneLocation>,
}

impl<'a> Validator<'a> {
    fn new(source: &'a Source<'a>, raw: &'a RawFile) -> Validator<'a> {
        Validator { source, raw, regions: BTreeMap::new(), zones: BTreeMap::new() }
    }

    /// Returns the index of the own region.
    fn validate(mut self) -> Result<usize, RegionMapError> {
        if self.raw.regions.is_empty() {
            return Err(self.error(&self.raw.own, RegionMapProblem::NoRegion));
        }
        self.check_name(&self.raw.own, "own")?;
        for (index, region) in self.raw.regions.iter().enumerate() {
            self.check_region_name(region)?;
            self.check_zones(index, region)?;
            self.check_counts(region)?;
        }
        // Numbers are 16-bit, and one is reserved for hosts without a zone.
        let limit = usize::from(u16::MAX);
        if self.zones.len() >= limit || self.raw.regions.len() >= limit {
            return Err(self.error(&self.raw.own, RegionMapProblem::TooMany));
        }
        self.own_region()
    }

    fn check_name(&self, name: &Spanned<String>, what: &'static str) -> Result<(), RegionMapError> {
        if name.get_ref().trim().is_empty() {
            return Err(self.error(name, RegionMapProblem::EmptyName { what }));
        }
        Ok(())
    }

    fn check_region_name(&mut self, region: &'a RawRegion) -> Result<(), RegionMapError> {
        self.check_name(&region.name, "the name of a region")?;
        let name = region.name.get_ref();
        let line = self.source.line(&region.name.span());
        if let Some(first_line) = self.regions.insert(name, line) {
            let problem = RegionMapProblem::DuplicateRegion { region: name.clone(), first_line };
            return Err(self.error(&region.name, problem));
        }
        Ok(())
    }

    fn check_zones(&mut self, index: usize, region: &'a RawRegion) -> Result<(), RegionMapError> {
        let region_name = region.name.get_ref();
        if region.zones.get_ref().is_empty() {
            let problem = RegionMapProblem::NoZone { region: region_name.clone() };
            return Err(self.error(&region.zones, problem));
        }
        for zone in region.zones.get_ref() {
            self.check_name(zone, "the name of a zone")?;
            let location = ZoneLocation { region: index, line: self.source.line(&zone.span()) };
            let Some(first) = self.zones.insert(zone.get_ref(), location) else { continue };
            let zone_name = zone.get_ref().clone();
            let region = region_name.clone();
            let problem = if first.region == index {
                RegionMapProblem::RepeatedZone { zone: zone_name, region }
            } else {
                RegionMapProblem::SharedZone {
                    zone: zone_name,
                    first_region: self.raw.regions[first.region].name.get_ref().clone(),
                    first_line: first.line,
                    region,
                }
            };
            return Err(self.error(zone, problem));
        }
        Ok(())
    }

    fn check_counts(&self, region: &RawRegion) -> Result<(), RegionMapError> {
        self.check_count(
            region,
            "balancers",
            region.balancers.as_ref(),
            "say how many there are, 1 or more, or leave it out",
        )?;
        self.check_count(
            region,
            "hosts",
            region.min_hosts.as_ref(),
            "say how many must be up, 1 or more, or leave it out",
        )
    }

    fn check_count(
        &self,
        region: &RawRegion,
        field: &'static str,
        value: Option<&Spanned<i64>>,
        remedy: &'static str,
    ) -> Result<(), RegionMapError> {
        let Some(invalid) = value.filter(|value| valid_count(value).is_none()) else { return Ok(()) };
        let region = region.name.get_ref().clone();
        let problem = RegionMapProblem::CountOutOfRange { region, field, value: *invalid.get_ref(), remedy };
        Err(self.error(invalid, problem))
    }

    fn own_region(&self) -> Result<usize, RegionMapError> {
        let own = self.raw.own.get_ref();
        let index = self.raw.regions.iter().position(|region| region.name.get_ref() == own);
        index.ok_or_else(|| {
            let known: Vec<String> = self.regions.keys().map(|name| format!("{name:?}")).collect();
            let problem = RegionMapProblem::UnknownOwnRegion { own: own.clone(), known: known.join(", ") };
            self.error(&self.raw.own, problem)
        })
    }

    fn error<T>(&self, value: &Spanned<T>, problem: RegionMapProblem) -> RegionMapError {
        self.source.error(value.span(), problem)
    }
}

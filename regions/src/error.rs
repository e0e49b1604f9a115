//! Errors in the operators' region file.

/// An invalid region file. The message is one line: file, line number, problem, and how to fix it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file} line {line}: {problem}")]
pub struct RegionMapError {
    /// The file, as the caller of [`RegionMap::parse`](crate::RegionMap::parse) names it.
    pub file: String,
    /// The line number in the file, from 1.
    pub line: usize,
    /// What is wrong on that line.
    pub problem: RegionMapProblem,
}

/// What is wrong with a region file, and how to fix it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegionMapProblem {
    /// The text is not TOML, or does not have the form of a region file.
    #[error("{cause}; see deploy/regions.example.toml for the form")]
    Form {
        /// The error of the TOML parser.
        cause: String,
    },
    /// The file has no `[[region]]`.
    #[error("no region: add a [[region]], or remove the file")]
    NoRegion,
    /// A name is empty or blank.
    #[error("{what} is empty: give it a name")]
    EmptyName {
        /// What the name belongs to.
        what: &'static str,
    },
    /// Two regions have the same name.
    #[error("region {region:?} is already defined on line {first_line}: merge the two")]
    DuplicateRegion {
        /// The name that both have.
        region: String,
        /// The line of the first region's name.
        first_line: usize,
    },
    /// A region has an empty list of zones.
    #[error("region {region:?} has no zone: give it one, or remove the region")]
    NoZone {
        /// The name of the region.
        region: String,
    },
    /// A region lists a zone twice.
    #[error("zone {zone:?} is in region {region:?} twice: remove one")]
    RepeatedZone {
        /// The zone that is listed twice.
        zone: String,
        /// The region that lists it.
        region: String,
    },
    /// Two regions list the same zone.
    #[error(
        "zone {zone:?} is in region {first_region:?} (line {first_line}) and in {region:?}: \
         remove it from one"
    )]
    SharedZone {
        /// The zone that both list.
        zone: String,
        /// The first region that lists it.
        first_region: String,
        /// The line on which the first region lists it.
        first_line: usize,
        /// The second region.
        region: String,
    },
    /// A count is not in the range 1 to 4,294,967,295.
    #[error("region {region:?} has {field} = {value}: {remedy}")]
    CountOutOfRange {
        /// The region with this count.
        region: String,
        /// The name of the count in the file.
        field: &'static str,
        /// The value in the file.
        value: i64,
        /// What to write instead.
        remedy: &'static str,
    },
    /// More zones or regions than 16-bit numbers can identify.
    #[error("more than 65,534 zones or regions: define fewer")]
    TooMany,
    /// `own` is not the name of a region.
    #[error("no region {own:?}: own must be one of {known}")]
    UnknownOwnRegion {
        /// The value in the file.
        own: String,
        /// The names of the regions in the file, sorted and quoted.
        known: String,
    },
}

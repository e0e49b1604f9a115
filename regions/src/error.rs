//! Why the operators' file of regions is refused.

/// A file of regions that can't be used: one line with the file, the line in it, what is wrong
/// there, and the way out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file} line {line}: {problem}")]
pub struct RegionMapError {
    /// The file, as the caller of [`RegionMap::parse`](crate::RegionMap::parse) names it.
    pub file: String,
    /// The line in it, counted from 1.
    pub line: usize,
    /// What is wrong there.
    pub problem: RegionMapProblem,
}

/// What is wrong with a file of regions, and the way out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegionMapProblem {
    /// Not TOML, or not of the form that a file of regions has.
    #[error("{cause}; see deploy/regions.example.toml for the form")]
    Form {
        /// What the TOML reader found.
        cause: String,
    },
    /// The file has no `[[region]]`.
    #[error("no region: add a [[region]], or remove the file")]
    NoRegion,
    /// A name is empty or blank.
    #[error("{what} is empty: give it a name")]
    EmptyName {
        /// Whose name it is.
        what: &'static str,
    },
    /// Two regions have one name.
    #[error("region {region:?} is named on line {first_line} too: make one of both")]
    DuplicateRegion {
        /// The name of both.
        region: String,
        /// The line of the first of them.
        first_line: usize,
    },
    /// A region has an empty list of zones.
    #[error("region {region:?} has no zone: give it one, or remove the region")]
    NoZone {
        /// The region without a zone.
        region: String,
    },
    /// A region names one zone twice.
    #[error("zone {zone:?} is in region {region:?} twice: remove one")]
    RepeatedZone {
        /// The zone that is repeated.
        zone: String,
        /// The region that names it.
        region: String,
    },
    /// Two regions name one zone.
    #[error(
        "zone {zone:?} is in region {first_region:?} (line {first_line}) and in {region:?}: \
         remove it from one"
    )]
    SharedZone {
        /// The zone that both name.
        zone: String,
        /// The first region that names it.
        first_region: String,
        /// The line on which that one names it.
        first_line: usize,
        /// The other region.
        region: String,
    },
    /// A count is not in the range 1 to 4,294,967,295.
    #[error("region {region:?} has {field} = {value}: {way_out}")]
    CountOutOfRange {
        /// The region that has it.
        region: String,
        /// The count's name in the file.
        field: &'static str,
        /// What the file says.
        value: i64,
        /// What to write instead.
        way_out: &'static str,
    },
    /// More zones or regions than there are numbers for.
    #[error("over 65,534 zones or regions: name fewer")]
    TooMany,
    /// `own` is none of the regions.
    #[error("no region {own:?}: own is to be one of {known}")]
    UnknownOwnRegion {
        /// What the file says.
        own: String,
        /// The regions that it has, sorted and quoted.
        known: String,
    },
}

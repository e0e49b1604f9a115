//! Why an experiment can't be played.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// An experiment's file is of no use.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// It can't be read.
    #[error("{}: {cause}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// Its text is of no use.
    #[error("{}:{cause}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with the text.
        cause: Box<ExperimentError>,
    },
    /// An arm's map of regions is missing.
    #[error("{}: arms: regions: there is no file {}", path.display(), regions.display())]
    NoRegionsFile {
        /// The experiment's file.
        path: PathBuf,
        /// The map that it names.
        regions: PathBuf,
    },
    /// It is no TOML, or not that of an experiment.
    #[error("{line}: {message}")]
    Syntax {
        /// The line, from 1; 0 where none is known.
        line: usize,
        /// What is wrong there.
        message: String,
    },
    /// A value, or values together, can't be played. (It follows the file's name and a colon.)
    #[error(" {0}")]
    Invalid(#[from] InvalidExperiment),
}

/// What can't be played, and what to change.
#[derive(Debug, Error)]
pub enum InvalidExperiment {
    /// A number is out of range.
    #[error("{field} = {value} is not between {min} and {max}")]
    OutOfRange {
        /// The field.
        field: String,
        /// Its value.
        value: f64,
        /// The smallest that will do.
        min: f64,
        /// The largest that will do.
        max: f64,
    },
    /// No seed.
    #[error("seeds is empty: name one at least")]
    NoSeeds,
    /// No request class.
    #[error("there are no categories: write one [[categories]] at least")]
    NoCategories,
    /// Two request classes with one name.
    #[error("two categories are named {name}: rename one")]
    DuplicateCategory {
        /// The name.
        name: String,
    },
    /// A request class that is deduplicated for no time.
    #[error("category {name} is deduplicated: give its window_ms")]
    NoDeduplicationWindow {
        /// The request class.
        name: String,
    },
    /// A flood of a tenant that is not there.
    #[error("load.flood: there is no customer {name}")]
    NoSuchTenant {
        /// The name.
        name: String,
    },
    /// A fault begins again before it has ended.
    #[error("{fault}: every_s must be longer than the fault itself, which needs to_s")]
    FaultOverlapsItself {
        /// The fault's number and kind.
        fault: String,
    },
    /// A fault names a balancer that is not there.
    #[error("{fault}: there are balancers 0 to {last} only")]
    NoSuchBalancer {
        /// The fault's number and kind.
        fault: String,
        /// The last balancer.
        last: usize,
    },
    /// A fault that can't be one balancer's alone names one.
    #[error("{fault}: it is the same for every balancer, so leave `balancer` out")]
    SameForEveryBalancer {
        /// The fault's number and kind.
        fault: String,
    },
    /// A fault names a host that is not there.
    #[error("{fault}: there are hosts 0 to {last} only")]
    NoSuchHost {
        /// The fault's number and kind.
        fault: String,
        /// The last host.
        last: usize,
    },
    /// A fault takes more hosts than there are.
    #[error("{fault}: there are {hosts} hosts only")]
    TooFewHosts {
        /// The fault's number and kind.
        fault: String,
        /// How many there are.
        hosts: usize,
    },
    /// The process may not hold so many descriptors.
    #[error(
        "it needs up to {needed} descriptors and {allowed} are allowed: fewer hosts, balancers, \
         load.connections or limits.sockets, or a higher `ulimit -n`"
    )]
    TooFewDescriptors {
        /// How many it may need.
        needed: usize,
        /// How many the system allows.
        allowed: usize,
    },
}

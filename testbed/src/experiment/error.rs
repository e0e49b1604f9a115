//! Why an experiment can't be played.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why an experiment's file can't be used.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file can't be read.
    #[error("{}: {cause}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        cause: io::Error,
    },
    /// The file's text is invalid.
    #[error("{}:{cause}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// The error in the text.
        cause: Box<ExperimentError>,
    },
    /// An arm's map of regions is missing.
    #[error("{}: arms: regions: there is no file {}", path.display(), regions.display())]
    NoRegionsFile {
        /// The experiment's file.
        path: PathBuf,
        /// The missing file.
        regions: PathBuf,
    },
    /// The text is not TOML, or its fields are not those of an experiment.
    #[error("{line}: {message}")]
    Syntax {
        /// The line, counted from 1; 0 if unknown.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// The values can't be played. The message follows the file's name and a colon, hence its
    /// leading space.
    #[error(" {0}")]
    Invalid(#[from] InvalidExperiment),
}

/// Why an experiment can't be played; the message says what to change.
#[derive(Debug, Error)]
pub enum InvalidExperiment {
    /// A number is out of range.
    #[error("{field} = {value} is not between {min} and {max}")]
    OutOfRange {
        /// The field's name in the file.
        field: String,
        /// Its value.
        value: f64,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// The list of seeds is empty.
    #[error("seeds is empty: write at least one")]
    NoSeeds,
    /// There is no request class.
    #[error("there are no categories: write at least one [[categories]]")]
    NoCategories,
    /// Two request classes have the same name.
    #[error("two categories are named {name}: rename one")]
    DuplicateCategory {
        /// The name.
        name: String,
    },
    /// A deduplicated request class has no deduplication window.
    #[error("category {name} is deduplicated: give its window_ms")]
    NoDeduplicationWindow {
        /// The request class.
        name: String,
    },
    /// A flood names a tenant that does not exist.
    #[error("load.flood: there is no customer {name}: add it to [[customers]]")]
    NoSuchTenant {
        /// The name.
        name: String,
    },
    /// A repeated fault starts again before it has ended.
    #[error("{fault}: every_s needs to_s and must be longer than the fault lasts")]
    FaultOverlapsItself {
        /// The fault's number and kind.
        fault: String,
    },
    /// A fault names a balancer that does not exist.
    #[error("{fault}: there are only balancers 0 to {last}")]
    NoSuchBalancer {
        /// The fault's number and kind.
        fault: String,
        /// The last balancer's number.
        last: usize,
    },
    /// A fault names a balancer although its kind can't be limited to one.
    #[error("{fault}: this kind affects all balancers alike: leave `balancer` out")]
    SameForEveryBalancer {
        /// The fault's number and kind.
        fault: String,
    },
    /// A fault names a host that does not exist.
    #[error("{fault}: there are only hosts 0 to {last}")]
    NoSuchHost {
        /// The fault's number and kind.
        fault: String,
        /// The last host's number.
        last: usize,
    },
    /// A fault affects more hosts than there are.
    #[error("{fault}: there are only {hosts} hosts")]
    TooFewHosts {
        /// The fault's number and kind.
        fault: String,
        /// The number of hosts.
        hosts: usize,
    },
    /// The run may need more descriptors than the process may open.
    #[error(
        "the run needs up to {needed} descriptors and {allowed} are allowed: lower hosts, balancers, \
         load.connections or limits.sockets, or raise `ulimit -n`"
    )]
    TooFewDescriptors {
        /// The number that the run may need.
        needed: usize,
        /// The process's limit.
        allowed: usize,
    },
}

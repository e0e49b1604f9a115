//! What can go wrong with a scale run.

use std::io;
use std::path::PathBuf;

use basaltwood_settings::SettingsError;
use thiserror::Error;

use crate::play::INTERRUPTED;

/// A scale experiment that can't be played as it is written, or not on this machine. One line.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file can't be read.
    #[error("{}: {cause}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// An error in a file.
    #[error("{}:{cause}", .path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// What is wrong there.
        cause: Box<ExperimentError>,
    },
    /// No such field, or no value for one.
    #[error("{line}: {message}")]
    Syntax {
        /// Counted from 1; 0 where it is not known.
        line: usize,
        /// What the parser says, in one line.
        message: String,
    },
    /// A field's value is out of its range.
    // The space stands where a syntax error has its line.
    #[error(" {field} = {value} is not between {min} and {max}")]
    OutOfRange {
        /// The field, after the point of the axis where it is a point's.
        field: String,
        /// Its value.
        value: f64,
        /// The least that is taken.
        min: f64,
        /// The greatest that is taken.
        max: f64,
    },
    /// There is nothing to play.
    #[error(" points is empty: name one at least")]
    NoPoints,
}

/// This machine can't carry a point of an experiment. One line with the way out.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// Too many processes.
    #[error(
        "{point}: {processes} processes and {max} at most: fewer processes.hollow (or more processes.each) \
         or processes.fleet"
    )]
    Processes {
        /// The axis and its value.
        point: String,
        /// How many it would be.
        processes: usize,
        /// How many are allowed.
        max: usize,
    },
    /// Too many descriptors in one process.
    #[error(
        "{point}: {process} needs up to {needed} descriptors and {allowed} are allowed: {remedy}, or a \
         higher `ulimit -n`"
    )]
    Descriptors {
        /// The axis and its value.
        point: String,
        /// Which process.
        process: &'static str,
        /// How many it needs at most.
        needed: usize,
        /// How many the system allows.
        allowed: usize,
        /// What to change in the experiment.
        remedy: &'static str,
    },
    /// Too much memory.
    #[error(
        "{point}: it needs up to {needed_mb:.0} MB of memory, more than half of this machine's \
         {machine_mb:.0} MB: fewer balancers, hosts or held.sockets"
    )]
    Memory {
        /// The axis and its value.
        point: String,
        /// How much it needs at most.
        needed_mb: f64,
        /// How much the machine has.
        machine_mb: f64,
    },
}

/// A scale run that did not come to its end. One line.
#[derive(Debug, Error)]
pub enum RunError {
    /// A signal ended the run.
    #[error("{}", INTERRUPTED)]
    Interrupted,
    /// A worker process failed; its role comes first.
    #[error("{role}: {cause}")]
    Worker {
        /// What the worker is.
        role: &'static str,
        /// What went wrong with it.
        cause: WorkerError,
    },
    /// A worker reported this itself.
    #[error("{0}")]
    ReportedByWorker(String),
    /// The real balancer did not start, or has ended.
    #[error("{0}")]
    RealBalancer(String),
    /// The load generator of the real balancer failed.
    #[error("{0}")]
    Load(String),
    /// There is no further thread.
    #[error("a thread: {0}")]
    Thread(io::Error),
    /// The bare thread, which measures the machine, did not start.
    #[error("{0}")]
    BareThread(String),
    /// The experiment for the load and the settings was refused by its own checks.
    #[error("{0}")]
    Experiment(String),
    /// Two histograms don't go together.
    #[error("{0}")]
    Histogram(#[from] hdrhistogram::AdditionError),
}

/// What went wrong with a worker process, as who started it sees it.
#[derive(Debug, Error)]
pub enum WorkerError {
    /// It could not be started or written to.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Its reply is not what its role says.
    #[error("{0}")]
    InvalidReply(#[from] serde_json::Error),
    /// Its input is closed.
    #[error("it has ended")]
    Ended,
    /// It closed its output.
    #[error("it ended by itself")]
    EndedByItself,
    /// No reply in time.
    #[error("it does not answer")]
    TimedOut,
}

/// What went wrong within a worker process. One line: it is written as its reply.
#[derive(Debug, Error)]
pub enum RoleError {
    /// Its input or output.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A message that makes no sense, or can't be written.
    #[error("{0}")]
    Message(#[from] serde_json::Error),
    /// An address can't be listened on.
    #[error("a listener: {0}")]
    Listen(io::Error),
    /// There is no runtime.
    #[error("the runtime: {0}")]
    Runtime(io::Error),
    /// The operators' settings make no sense.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

//! Errors of scale runs. Each message is one line.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use basaltwood_settings::SettingsError;
use thiserror::Error;

use crate::play::INTERRUPTED;

/// A scale experiment that can't be read or has invalid values.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file can't be read.
    #[error("{}: {cause}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// An error in the content of a file.
    #[error("{}:{cause}", .path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// The error, which starts with the line where that is known.
        cause: Box<ExperimentError>,
    },
    /// Invalid TOML, an unknown field, or a missing or mistyped value.
    #[error("{line}: {message}")]
    Syntax {
        /// The line, counted from 1; 0 if unknown.
        line: usize,
        /// The parser's message, in one line.
        message: String,
    },
    /// A field's value is out of its range.
    // The leading space takes the place of the line number of a syntax error.
    #[error(" {field} = {value} is not between {min} and {max}")]
    OutOfRange {
        /// The field; with the point of the axis in front if the value belongs to a point.
        field: String,
        /// The value.
        value: f64,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// The list of points is empty.
    #[error(" points is empty: give at least one value of the axis")]
    NoPoints,
}

/// This machine lacks the resources for a point of an experiment. The message says what to change.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// Too many processes.
    #[error(
        "{point}: needs {processes} processes, at most {max} are allowed: lower processes.hollow (or raise \
         processes.each) or processes.fleet"
    )]
    Processes {
        /// The axis and its value.
        point: String,
        /// How many the point needs.
        processes: usize,
        /// How many are allowed.
        max: usize,
    },
    /// Too many descriptors in one process.
    #[error(
        "{point}: {process} needs up to {needed} descriptors, {allowed} are allowed: {remedy}, or raise \
         `ulimit -n`"
    )]
    Descriptors {
        /// The axis and its value.
        point: String,
        /// Which process.
        process: &'static str,
        /// The upper estimate of what the process needs.
        needed: usize,
        /// How many the system allows a process.
        allowed: usize,
        /// What to change in the experiment.
        remedy: &'static str,
    },
    /// Too much memory.
    #[error(
        "{point}: needs up to {needed_mb:.0} MB of memory, more than half of this machine's \
         {machine_mb:.0} MB: lower the number of balancers or hosts, or held.sockets"
    )]
    Memory {
        /// The axis and its value.
        point: String,
        /// The upper estimate of what the point needs, in MB.
        needed_mb: f64,
        /// All memory of the machine, in MB.
        machine_mb: f64,
    },
}

/// A scale run that did not complete.
#[derive(Debug, Error)]
pub enum RunError {
    /// A signal ended the run.
    #[error("{}", INTERRUPTED)]
    Interrupted,
    /// A worker process failed, as the coordinator sees it.
    #[error("{role}: {cause}")]
    Worker {
        /// The role of the worker.
        role: &'static str,
        /// What failed.
        cause: WorkerError,
    },
    /// An error that a worker process reported itself.
    #[error("{0}")]
    ReportedByWorker(String),
    /// The real balancer did not start, or has exited.
    #[error("{0}")]
    RealBalancer(String),
    /// The load generator of the real balancer failed.
    #[error("{0}")]
    Load(String),
    /// A thread could not be started.
    #[error("starting a thread: {0}")]
    Thread(io::Error),
    /// The reference thread, which measures the machine's own delays, did not start.
    #[error("{0}")]
    ReferenceThread(String),
    /// The derived testbed experiment for the load and the settings is invalid.
    #[error("{0}")]
    Experiment(String),
    /// Two histograms with incompatible ranges were added.
    #[error("{0}")]
    Histogram(#[from] hdrhistogram::AdditionError),
}

/// A failure of a worker process, as the coordinator sees it.
#[derive(Debug, Error)]
pub enum WorkerError {
    /// The process could not be started or written to.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The reply is not the message that the role sends.
    #[error("invalid reply: {0}")]
    InvalidReply(#[from] serde_json::Error),
    /// The input of the process is closed.
    #[error("the worker process was already stopped")]
    InputClosed,
    /// The process closed its output while a reply was expected.
    #[error("the worker process exited unexpectedly")]
    Exited,
    /// The process did not reply in time.
    #[error("the worker process did not reply within {0:?}")]
    TimedOut(Duration),
}

/// A failure inside a worker process, which sends it as its reply.
#[derive(Debug, Error)]
pub enum RoleError {
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A message could not be parsed or encoded.
    #[error("invalid message: {0}")]
    Message(#[from] serde_json::Error),
    /// Binding a listener failed.
    #[error("starting a listener: {0}")]
    Listen(io::Error),
    /// The async runtime could not be started.
    #[error("starting the runtime: {0}")]
    Runtime(io::Error),
    /// The operators' settings are invalid.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

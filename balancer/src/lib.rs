//! The balancer on sockets: clients, cache hosts, origin and discovery around the decisions of
//! `basaltwood`.
//!
//! A program reads its [`Config`] and calls [`run`], which serves until a signal ends it. This
//! crate decides nothing about requests.

mod admin;
mod budget;
mod clock;
mod config;
mod counters;
mod discovery;
mod downstream;
mod invariants;
mod io_errors;
mod lifecycle;
mod listener;
mod metrics;
mod panics;
mod presence;
mod process;
mod request;
mod requests;
mod shared;
mod socket_table;
mod takeover;
mod upstream;

use std::io;

use basaltwood_wire::buffer::Buffer;
use process::Process;
use tokio::io::AsyncRead;

pub use config::{Config, ConfigError, InvalidConfig};
pub use listener::{InheritedError, ListenError};
pub use process::StartError;

/// Why [`run`] ended other than by a signal. Displayed, it is one line.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The runtime could not be built.
    #[error("the runtime: {0}")]
    Runtime(io::Error),
    /// The process could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A background task panicked. Open requests got their final answers before the end.
    #[error("a part of the balancer failed; it ends")]
    TaskFailed,
}

/// Serves until a signal to end (SIGTERM, SIGINT), on a runtime of its own in this thread.
///
/// # Errors
/// [`RunError`] if the process can't start, or if a background task fails.
pub fn run(config: Config) -> Result<(), RunError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(RunError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { Process::start(config)?.run().await })
}

/// Reads once into a connection's buffer; 0 at the end of the stream. It is cancel safe.
async fn read(from: &mut (impl AsyncRead + Unpin), buffer: &mut Buffer) -> io::Result<usize> {
    io_errors::read_buf(from, buffer.unfilled()?).await
}

//! The balancer's I/O: its connections to clients, cache hosts, origin and discovery.
//!
//! A program calls [`run`], which reads its [`Config`] and serves until a signal ends it. All
//! decisions about requests are made by the crate `basaltwood`.

mod admin;
mod answer_turn;
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
pub mod logging;
mod loop_profile;
mod memory_report;
mod metrics;
mod outstanding;
mod panics;
mod pauses;
mod pipeline_slot;
mod presence;
mod process;
mod request;
mod request_journal;
mod requests;
mod shared;
mod socket_io;
mod socket_table;
mod takeover;
mod upstream;
mod value;
mod write_log;

use std::io;

use basaltwood_wire::buffer::Buffer;
use process::{Process, Signals};
use socket_io::TcpSocket;
use tokio::io::AsyncRead;

pub use config::{Config, ConfigError, InvalidConfig};
pub use listener::{InheritedError, ListenError};
pub use process::StartError;

/// Why [`run`] failed. Displayed, it is one line.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The tokio runtime could not be built.
    #[error("the runtime could not be built: {0}")]
    Runtime(io::Error),
    /// The process could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A background task panicked. Open requests got their final answers before the end.
    #[error("a background task failed, so the balancer ends")]
    TaskFailed,
}

/// Reads the configuration and serves until SIGTERM or SIGINT, on a runtime of its own in this
/// thread. Signal handlers are registered first: a signal that arrives while the configuration is
/// read takes effect once the process serves.
///
/// # Errors
/// [`RunError`] if the process can't start, or if a background task fails.
pub fn run() -> Result<(), RunError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(RunError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let signals = Signals::register().map_err(StartError::System)?;
        Process::start(signals).await?.run().await
    })
}

/// Reads once into a connection's buffer; returns 0 at the end of the stream. Cancel safe.
async fn read(from: &mut (impl AsyncRead + TcpSocket + Unpin), buffer: &mut Buffer) -> io::Result<usize> {
    socket_io::read_buf(from, &mut buffer.unfilled()?).await
}

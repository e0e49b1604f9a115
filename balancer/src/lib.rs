//! The balancer on sockets: clients, cache hosts, origin and discovery around basaltwood's decisions. A program reads
//! its [`Config`] and calls [`run`], which serves until a signal ends it. This crate decides nothing about requests.

mod admin;
mod budget;
mod clock;
mod config;
mod counters;
mod discovery;
mod downstream;
mod lifecycle;
mod listener;
mod metrics;
mod process;
mod request;
mod requests;
mod shared;
mod takeover;
mod upstream;

use std::io;

use basaltwood_wire::buffer::Buffer;
use tokio::io::{AsyncRead, AsyncReadExt};

pub use config::{Config, ConfigError, InvalidConfig};

/// Serves until it is told to end (SIGTERM, SIGINT), on a runtime of its own in this thread.
///
/// # Errors
/// One line where it can't listen, or where a part of it failed.
pub fn run(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| format!("the runtime: {cause}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { process::Process::start(config)?.run().await })
}

/// Reads once into a connection's buffer; 0 at the end of the stream. Nothing is lost where this is cancelled.
async fn read(from: &mut (impl AsyncRead + Unpin), buffer: &mut Buffer) -> io::Result<usize> {
    from.read_buf(buffer.room()?).await
}

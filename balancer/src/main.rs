//! basaltwood's balancer: the module's decisions on real sockets. This crate decides nothing about ops.

mod budget;
mod buffer;
mod clients;
mod clock;
mod counters;
mod http;
mod list;
mod ops;
mod origin;
mod phases;
mod resp;
mod servers;
mod told;

use std::process::ExitCode;

use phases::Phases;
use told::Told;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            // Whatever the log's level: the one line that tells why it ends.
            eprintln!("basaltwood-balancer: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let told = Told::read()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| format!("the runtime: {cause}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { Phases::start(told)?.run().await })
}

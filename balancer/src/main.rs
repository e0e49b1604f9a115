//! The balancer as a program: logs, what PROXY_CONFIG tells, and the library.

use std::process::ExitCode;

use basaltwood_balancer::{run, Config};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match Config::read().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            // Whatever the log's level: the one line that tells why it ends.
            eprintln!("basaltwood-balancer: {cause}");
            ExitCode::FAILURE
        }
    }
}

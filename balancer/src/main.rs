//! The balancer as a program: sets up the log and runs the library.

use std::process::ExitCode;

use basaltwood_balancer::run;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            // Printed whatever the log's level: the one line that tells why the program ends.
            eprintln!("basaltwood-balancer: {cause}");
            ExitCode::FAILURE
        }
    }
}

//! The balancer as a program: sets up the log and runs the library.

use std::process::ExitCode;

use basaltwood_balancer::{logging, run};

fn main() -> ExitCode {
    logging::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            // Printed whatever the log's level: the one line that tells why the program ends.
            eprintln!("basaltwood-balancer: {cause}");
            ExitCode::FAILURE
        }
    }
}

//! The balancer program: sets up the log and runs the library.

use std::process::ExitCode;

use basaltwood_balancer::{logging, run};

fn main() -> ExitCode {
    logging::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            // Printed at any log level, as the one line that says why the program ends.
            eprintln!("basaltwood-balancer: {cause}");
            ExitCode::FAILURE
        }
    }
}

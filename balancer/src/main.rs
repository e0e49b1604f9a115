//! The balancer as a program: sets up the log, reads the configuration, and runs the library.

use std::error::Error;
use std::process::ExitCode;

use basaltwood_balancer::{run, Config};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            // Printed whatever the log's level: the one line that tells why the program ends.
            eprintln!("basaltwood-balancer: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), Box<dyn Error>> {
    run(Config::read()?)?;
    Ok(())
}

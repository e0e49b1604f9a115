//! The testbed's program, `basaltwood-testbed COMMAND`. [`cli::ExitStatus`] lists the exit codes.

mod cli;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let arguments = cli::Arguments::parse();
    if arguments.command.ends_on_signals() {
        cli::stop_on_signals();
    }
    match cli::execute(arguments.command) {
        Ok(status) => status.into(),
        Err(cause) => {
            eprintln!("basaltwood-testbed: {cause}");
            cause.exit_status().into()
        }
    }
}

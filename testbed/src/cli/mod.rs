//! The program's commands, one file each, and its exit codes.

mod arguments;
mod compare;
mod error;
mod load;
mod measure;
mod output;
mod run;
mod scale;
mod signals;
mod soak;
mod trace;
mod up;

use std::process::ExitCode;

use basaltwood_testbed::figures::Run;
use basaltwood_testbed::{measure as measurement, router, scale as scale_runs};

pub(crate) use self::arguments::Arguments;
use self::arguments::Command;
use self::error::{failed, CommandError};
pub(crate) use self::signals::stop_on_signals;

/// The program's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed.
    Failed = 1,
    /// A file or an option is invalid.
    BadInput = 2,
    /// A run that is not void broke a rule.
    RuleBroken = 3,
    /// A run was void.
    Void = 4,
    /// The command was interrupted.
    Interrupted = 130,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

impl ExitStatus {
    /// The exit code of a set of runs. Breaches in void runs are ignored, and a breach in a valid
    /// run takes precedence over void runs.
    fn of_runs(runs: &[Run]) -> ExitStatus {
        if runs.iter().any(|run| run.in_breach() && run.void.is_none()) {
            ExitStatus::RuleBroken
        } else if runs.iter().any(|run| run.void.is_some()) {
            ExitStatus::Void
        } else {
            ExitStatus::Success
        }
    }
}

impl Command {
    /// Whether the command handles Ctrl-C and SIGTERM. Processes that a run starts do not: the run
    /// ends them.
    pub(crate) fn ends_on_signals(&self) -> bool {
        !matches!(self, Command::Router { .. } | Command::ScalePart)
    }
}

/// Executes a command.
///
/// # Errors
/// The message is one line.
pub(crate) fn execute(command: Command) -> Result<ExitStatus, CommandError> {
    match command {
        Command::Demo { out } => run::demo(&out),
        Command::Run { file, arm, program, seeds, out, json, keep_trace } => {
            let selection = run::Selection { arms: arm, programs: program, seeds };
            run::run_file(&file, selection, &run::Output { folder: out, json, keep_trace })
        }
        Command::Up { file, seed, out, seconds } => up::up(&file, seed, &out, seconds),
        Command::Load { file, to, seed, json } => load::load(&file, &to, seed, json),
        Command::Compare { a, b, json } => compare::compare(&a, &b, json),
        Command::Scale { file, quick, out, json } => scale::scale(&file, quick, &out, json),
        Command::Soak { seed, seeds, seconds, balancers, hosts, only, program, keep_whole, out } => {
            let reduces = !keep_whole;
            let selection =
                soak::Selection { seed, seeds, seconds, balancers, hosts, only, program, reduces, out };
            soak::soak(&selection)
        }
        Command::Report { folder } => compare::report(&folder),
        Command::Trace { command } => trace::trace(command),
        Command::Measure { program, json } => measure::measure(program, json),
        Command::ScalePart => to_success(scale_runs::worker::serve()),
        Command::StandIn => to_success(measurement::stand_in()),
        Command::Router { kind, injected_fault } => to_success(router::serve(kind, injected_fault)),
    }
}

fn to_success<E: std::fmt::Display>(served: Result<(), E>) -> Result<ExitStatus, CommandError> {
    served.map(|()| ExitStatus::Success).map_err(failed)
}

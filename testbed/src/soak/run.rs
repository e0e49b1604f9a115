//! Plays one script, and collects what the audit and the balancers' invariants found.

use std::path::Path;

use serde::Serialize;
use thiserror::Error;

use super::disturbance::{audit_slack, run_disturbances, DisturbanceReport};
use super::script::{Script, ScriptedTrouble};
use crate::audit::Breach;
use crate::balancers::Program;
use crate::experiment::ExperimentError;
use crate::figures::Run;
use crate::play::{play_disturbed, PlayError};

/// Text by which a balancer's log lines about violated invariants are found.
const VIOLATION: &str = "invariant ";
/// The audit's text for a connection that was closed with a request unanswered.
const CLOSED_UNANSWERED: &str = "ended the connection over op";
/// The ledger's stored word for an attempt that a machine received.
const ATTEMPT_RECEIVED: &str = "Pushed";

/// Why a script could not be played.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The options give no valid experiment.
    #[error(transparent)]
    Options(#[from] ExperimentError),
    /// The emulated world or a balancer did not start.
    #[error(transparent)]
    Play(#[from] PlayError),
}

/// The result of a script.
#[derive(Debug, Serialize)]
pub struct Verdict {
    /// The seed of the script.
    pub seed: u64,
    /// The troubles of the script.
    pub troubles: Vec<ScriptedTrouble>,
    /// Number of requests made.
    pub requests: u64,
    /// Number of requests served.
    pub served: u64,
    /// Breaches that the audit found, without those counted in `crossed`.
    pub breaches: Vec<Breach>,
    /// Log lines of balancers about violated invariants.
    pub violations: Vec<String>,
    /// Processes that did not end as expected, and troubles that could not be carried out.
    pub failures: Vec<String>,
    /// Requests whose connection a terminating balancer closed, apparently before it had read them;
    /// clients retry such requests.
    pub crossed: usize,
}

impl Verdict {
    /// Whether no rule, invariant or process failed.
    pub fn holds(&self) -> bool {
        self.breaches.is_empty() && self.violations.is_empty() && self.failures.is_empty()
    }
}

/// Plays a script against the program; its files and logs are kept in the folder.
///
/// # Errors
/// [`SoakError`] if the script could not be played.
pub fn run(script: &Script, program: &Program, folder: &Path) -> Result<Verdict, SoakError> {
    let experiment = script.experiment()?;
    let troubles = script.process_troubles();
    let slack = audit_slack(&troubles);
    let seed = script.options.seed;
    let (run, (report, violations)) =
        play_disturbed(&experiment, program, seed, folder, slack, move |balancers, ledger| {
            let report = run_disturbances(&troubles, &balancers, &ledger);
            (report, balancers)
        })
        .map(|(run, (report, balancers))| {
            let violations = balancers.log_lines_with(VIOLATION).into_iter().flatten().collect();
            (run, (report, violations))
        })?;
    Ok(verdict(script, run, report, violations))
}

fn verdict(script: &Script, run: Run, report: DisturbanceReport, violations: Vec<String>) -> Verdict {
    let (crossed, breaches): (Vec<Breach>, Vec<Breach>) =
        run.breaches.into_iter().partition(|breach| is_closed_in_transit(breach, &report));
    Verdict {
        seed: script.options.seed,
        troubles: script.troubles.clone(),
        requests: run.figures.requests,
        served: run.figures.served,
        breaches,
        violations,
        failures: report.failures,
        crossed: crossed.len(),
    }
}

/// Whether a terminating balancer closed a connection with a request for which no machine received
/// an attempt: the request may have been in transit, and clients retry it. A request that the
/// balancer had read must be answered; the balancer's own invariants check that.
fn is_closed_in_transit(breach: &Breach, report: &DisturbanceReport) -> bool {
    let was_attempted = breach.around.iter().any(|line| line.contains(ATTEMPT_RECEIVED));
    let in_termination = report.terminations.iter().any(|termination| {
        let balancer = format!("balancer {} ", termination.balancer);
        breach.what.starts_with(&balancer) && (termination.from..=termination.to).contains(&breach.at_us)
    });
    breach.what.contains(CLOSED_UNANSWERED) && !was_attempted && in_termination
}

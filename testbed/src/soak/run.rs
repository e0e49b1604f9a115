//! One soak: a script played, and judged from outside and from inside.

use std::path::Path;

use serde::Serialize;
use thiserror::Error;

use super::disturbance::{disturb, slack_of, Disturbed};
use super::script::{Script, ScriptedTrouble};
use crate::audit::Breach;
use crate::balancers::Program;
use crate::experiment::ExperimentError;
use crate::figures::Run;
use crate::play::{play_disturbed, PlayError};

/// What balancers write to their log where an invariant is broken.
const VIOLATION: &str = "invariant ";
/// How the audit says that a connection ended over a request, and what follows a request that reached
/// a machine.
const ENDED_OVER: &str = "ended the connection over op";
const REACHED_MACHINE: &str = "Pushed";

/// Why a script could not be played.
#[derive(Debug, Error)]
pub enum SoakError {
    /// Its options make no sense.
    #[error(transparent)]
    Options(#[from] ExperimentError),
    /// The world, or a balancer, did not come up.
    #[error(transparent)]
    Play(#[from] PlayError),
}

/// What came of a script.
#[derive(Debug, Serialize)]
pub struct Verdict {
    /// What it was drawn from.
    pub seed: u64,
    /// The troubles.
    pub troubles: Vec<ScriptedTrouble>,
    /// Requests that were made.
    pub requests: u64,
    /// Those that were served.
    pub served: u64,
    /// Breaches that the audit saw.
    pub breaches: Vec<Breach>,
    /// Invariants that balancers saw broken.
    pub violations: Vec<String>,
    /// Processes that ended other than they should.
    pub failures: Vec<String>,
    /// Requests whose connection a balancer that was ending closed before it had read them, as far
    /// as can be seen from outside: their clients send them again.
    pub crossed: usize,
}

impl Verdict {
    /// Whether everything held.
    pub fn holds(&self) -> bool {
        self.breaches.is_empty() && self.violations.is_empty() && self.failures.is_empty()
    }
}

/// Plays a script against the program, and leaves files and logs in the folder.
///
/// # Errors
/// [`SoakError`] where it could not be played.
pub fn run(script: &Script, program: &Program, folder: &Path) -> Result<Verdict, SoakError> {
    let experiment = script.experiment()?;
    let troubles = script.process_troubles();
    let slack = slack_of(&troubles);
    let seed = script.options.seed;
    let (run, (disturbed, violations)) =
        play_disturbed(&experiment, program, seed, folder, slack, move |balancers, ledger| {
            let disturbed = disturb(&troubles, &balancers, &ledger);
            (disturbed, balancers)
        })
        .map(|(run, (disturbed, balancers))| {
            let violations = balancers.log_lines_with(VIOLATION).into_iter().flatten().collect();
            (run, (disturbed, violations))
        })?;
    Ok(judge(script, run, disturbed, violations))
}

fn judge(script: &Script, run: Run, disturbed: Disturbed, violations: Vec<String>) -> Verdict {
    let (crossed, breaches): (Vec<Breach>, Vec<Breach>) =
        run.breaches.into_iter().partition(|breach| is_crossing(breach, &disturbed));
    Verdict {
        seed: script.options.seed,
        troubles: script.troubles.clone(),
        requests: run.figures.requests,
        served: run.figures.served,
        breaches,
        violations,
        failures: disturbed.failures,
        crossed: crossed.len(),
    }
}

/// Whether a balancer that was told to end closed a connection over a request that went nowhere: it
/// may have been on its way, and a client sends such a one again. One that had been read is owed its
/// answer, which the balancer's own invariants see.
fn is_crossing(breach: &Breach, disturbed: &Disturbed) -> bool {
    let reached = breach.around.iter().any(|line| line.contains(REACHED_MACHINE));
    let in_termination = disturbed.terminations.iter().any(|termination| {
        let balancer = format!("balancer {} ", termination.balancer);
        breach.what.starts_with(&balancer) && (termination.from..=termination.to).contains(&breach.at_us)
    });
    breach.what.contains(ENDED_OVER) && !reached && in_termination
}

//! `measure`: measures the load generator's highest rate and a balancer's costs.

use std::path::PathBuf;

use basaltwood_testbed::balancers::Program;
use basaltwood_testbed::experiment::Arm;
use basaltwood_testbed::measure as measurement;

use super::error::{bad_input, failed, CommandError};
use super::ExitStatus;

const SEED: u64 = 1;

pub(super) fn measure(program: Option<PathBuf>, json: bool) -> Result<ExitStatus, CommandError> {
    let arm = Arm { name: "balancer".to_owned(), program, baseline: None, regions: None };
    let program = Program::for_arm(&arm).map_err(bad_input)?;
    let folder = tempfile::tempdir().map_err(failed)?;
    let mut print = |line: &str, value: serde_json::Value| {
        if json {
            println!("{value}");
        } else {
            println!("{line}");
        }
    };
    measurement::measure(&program, folder.path(), SEED, &mut print).map_err(failed)?;
    Ok(ExitStatus::Success)
}

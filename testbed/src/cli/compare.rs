//! `compare` and `report`: commands on results that have been written.

use std::path::Path;

use basaltwood_testbed::figures::Run;
use basaltwood_testbed::{compare as comparison, report as pages};

use super::error::{bad_input, CommandError};
use super::output::write;
use super::ExitStatus;

pub(super) fn compare(a: &str, b: &str, json: bool) -> Result<ExitStatus, CommandError> {
    let (runs_a, runs_b) = (read_arm(a)?, read_arm(b)?);
    let (pairs, rows) =
        comparison::compare(&by_reference(&runs_a), &by_reference(&runs_b)).map_err(bad_input)?;
    if json {
        println!("{}", serde_json::json!({"pairs": pairs, "rows": rows}));
    } else {
        print!("{}", comparison::format_table(&rows, pairs));
    }
    Ok(ExitStatus::Success)
}

/// Writes the page of a result again.
pub(super) fn report(folder: &Path) -> Result<ExitStatus, CommandError> {
    let runs = comparison::read(folder).map_err(bad_input)?;
    let name = runs.first().map_or("nothing", |run| &run.experiment).to_owned();
    let page = folder.join("report.html");
    write(&page, &pages::html(&name, "", &runs))?;
    println!("{}", page.display());
    Ok(ExitStatus::Success)
}

fn by_reference(runs: &[Run]) -> Vec<&Run> {
    runs.iter().collect()
}

/// The runs of one arm, from FOLDER or FOLDER:ARM.
fn read_arm(text: &str) -> Result<Vec<Run>, CommandError> {
    let (folder, arm) = match text.rsplit_once(':') {
        Some((folder, arm)) if !Path::new(text).exists() => (folder, Some(arm)),
        _ => (text, None),
    };
    let mut runs = comparison::read(Path::new(folder)).map_err(bad_input)?;
    let names: Vec<String> = pages::by_arm(&runs).iter().map(|arm| arm.0.to_owned()).collect();
    let listed = names.join(", ");
    match arm {
        Some(arm) if !names.iter().any(|name| name == arm) => {
            return Err(bad_input(format!("{folder}: no arm {arm}: the result holds {listed}")));
        }
        Some(arm) => runs.retain(|run| run.arm == arm),
        None if names.len() > 1 => {
            return Err(bad_input(format!("{folder} holds {listed}: name one as {folder}:ARM")));
        }
        None => {}
    }
    Ok(runs)
}

//! `scale`: plays the points of a scale experiment.

use std::path::{Path, PathBuf};

use basaltwood_testbed::scale;
use basaltwood_testbed::scale::experiment::ScaleExperiment;
use basaltwood_testbed::scale::point::MeasuredPoint;
use basaltwood_testbed::scale::system::MachineLimits;

use super::error::{bad_file, bad_input, failed, CommandError};
use super::output::{create_folder, new_result_folder, to_json, write, JsonLines};
use super::ExitStatus;

/// Plays the points of a scale experiment, and writes the points, the fitted lines and their plots.
pub(super) fn scale(file: &Path, quick: bool, out: &Path, json: bool) -> Result<ExitStatus, CommandError> {
    let experiment = ScaleExperiment::read(file, quick).map_err(bad_input)?;
    experiment.fits(MachineLimits::this()).map_err(|cause| bad_file(file, cause))?;
    let mut result = ResultFolder::create(file, &experiment, out, json)?;
    let count = experiment.points.len() * experiment.repeats;
    let length_s = experiment.length_s();
    result.print(&format!("{}\n{count} points, at least {length_s:.0} s", experiment.about));
    for repeat in 0..experiment.repeats {
        for &at in &experiment.points {
            result.play(at, 1 + repeat as u64)?;
        }
    }
    result.write_lines()?;
    let is_void = result.points.iter().any(|point| point.void.is_some());
    Ok(if is_void { ExitStatus::Void } else { ExitStatus::Success })
}

/// A result folder that is being filled.
struct ResultFolder<'a> {
    experiment: &'a ScaleExperiment,
    folder: PathBuf,
    lines: JsonLines,
    json: bool,
    points: Vec<MeasuredPoint>,
}

impl<'a> ResultFolder<'a> {
    fn create(
        file: &Path,
        experiment: &'a ScaleExperiment,
        out: &Path,
        json: bool,
    ) -> Result<ResultFolder<'a>, CommandError> {
        let folder = new_result_folder(out, &experiment.name)?;
        let text = std::fs::read_to_string(file).unwrap_or_default();
        write(&folder.join("experiment.toml"), &text)?;
        let lines = JsonLines::create(&folder, "points.jsonl")?;
        Ok(ResultFolder { experiment, folder, lines, json, points: Vec::new() })
    }

    /// Prints a line of text; with --json, standard output holds JSON lines only.
    fn print(&self, line: &str) {
        if self.json {
            eprintln!("{line}");
        } else {
            println!("{line}");
        }
    }

    /// Plays the point at one value of the axis with one seed.
    fn play(&mut self, at: f64, seed: u64) -> Result<(), CommandError> {
        let experiment = self.experiment;
        let count = experiment.points.len() * experiment.repeats;
        let axis = experiment.axis.name();
        let title = format!("[{}/{count}] {axis} = {at} seed {seed}", self.points.len() + 1);
        let logs = self.folder.join("logs").join(format!("{at}-{seed}"));
        create_folder(&logs)?;
        let mut current_stage = String::new();
        let mut on_progress = |stage: &str, seconds: f64| {
            if !stage.is_empty() {
                stage.clone_into(&mut current_stage);
            }
            self.print(&format!("{title}  {current_stage} {seconds:.0} s"));
        };
        let point = scale::run::run_point(experiment, at, seed, &logs, &mut on_progress).map_err(failed)?;
        let line = self.lines.append(&point)?;
        if self.json {
            println!("{line}");
        }
        let void = point.void.as_ref().map_or(String::new(), |void| format!(", VOID: {void}"));
        self.print(&format!("{title}: played{void}"));
        self.points.push(point);
        Ok(())
    }

    /// Writes the lines fitted to the points, their plots and the table.
    fn write_lines(&self) -> Result<(), CommandError> {
        let axis = self.experiment.axis.name();
        let fitted = scale::fit::fit_figures(self.experiment, &self.points);
        let text = serde_json::to_string_pretty(&fitted).map_err(failed)?;
        write(&self.folder.join("lines.json"), &text)?;
        for figure in &fitted {
            let svg = scale::report::svg(axis, figure).map_err(failed)?;
            write(&self.folder.join(scale::report::file_name(figure.figure)), &svg)?;
            if self.json {
                println!("{}", to_json(figure)?);
            }
        }
        let table = scale::report::table(axis, &self.points, &fitted);
        write(&self.folder.join("table.txt"), &table)?;
        if !self.json {
            println!("\n{table}\nresult: {}", self.folder.display());
        }
        Ok(())
    }
}

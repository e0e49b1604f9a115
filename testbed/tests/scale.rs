//! Tests of scale runs: line fits, refused experiments, a small run beside a real balancer, and
//! that no process outlives a run.

mod common;

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use basaltwood_testbed::experiment::Experiment;
use basaltwood_testbed::scale::experiment::ScaleExperiment;
use basaltwood_testbed::scale::regression::fit_line;
use basaltwood_testbed::scale::report::file_name;
use basaltwood_testbed::scale::system::MachineLimits;
use serde_json::Value;

const TESTBED: &str = env!("CARGO_BIN_EXE_basaltwood-testbed");

const SMALL: &str = r#"
name = "small"
axis = "hosts"
points = [6, 12]
repeats = 1
settle_s = 0.5
quiet_s = 1.5
seconds = 1.5
[faults]
hang_s = 1.0
discovery_down_s = 1.0
[held]
balancers = 8
rate = 10
changes_per_s = 4
sockets = 32
real_rate = 50
real_sockets = 128
"#;

/// A machine with enough resources for every experiment.
const LARGE_MACHINE: MachineLimits = MachineLimits { descriptors: Some(20_000), memory_kb: 16e6 };

fn parse(text: &str) -> ScaleExperiment {
    ScaleExperiment::parse(text, false).expect("an experiment")
}

fn parse_quick(text: &str) -> ScaleExperiment {
    ScaleExperiment::parse(text, true).expect("an experiment")
}

#[test]
fn line_fit_matches_values_computed_by_hand() {
    let exact = fit_line(&[(0.0, 2.0), (1.0, 5.0), (2.0, 8.0)], 100.0).expect("a line");
    // The points lie on y = 2 + 3 x.
    assert!((exact.slope - 3.0).abs() < 1e-9 && (exact.prediction - 302.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.slope_half_width.expect("three points") < 1e-6, "{exact:?}");

    let scattered = fit_line(&[(0.0, 2.0), (1.0, 5.5), (2.0, 7.5), (3.0, 11.5)], 10.0).expect("a line");
    assert!(
        (scattered.slope - 3.05).abs() < 1e-9 && (scattered.intercept - 2.05).abs() < 1e-9,
        "{scattered:?}"
    );
    // Residuals: -0.05, 0.4, -0.65, 0.3; sum of squares: 0.675; s = 0.580948; t(0.975, 2) =
    // 4.302653. The half-width of the slope's interval is t * s / sqrt(5).
    assert!((scattered.slope_half_width.expect("four points") - 1.117868).abs() < 1e-4, "{scattered:?}");
    // The half-width of the prediction's interval at 10 is t * s * sqrt(1 / 4 + 8.5^2 / 5).
    assert!((scattered.prediction_half_width.expect("four points") - 9.584339).abs() < 1e-2, "{scattered:?}");
}

#[test]
fn line_fit_of_two_points_has_no_interval_and_of_a_single_x_is_none() {
    assert_eq!(fit_line(&[(1.0, 2.0), (1.0, 3.0)], 5.0), None);
    assert_eq!(fit_line(&[(1.0, 2.0)], 5.0), None);

    let two = fit_line(&[(1.0, 2.0), (2.0, 3.0)], 5.0).expect("a line");
    assert_eq!((two.slope_half_width, two.prediction_half_width), (None, None));
}

#[test]
fn experiment_too_large_for_machine_is_refused_with_remedy_in_one_line() {
    let refusal = |text: &str, machine: MachineLimits| {
        let line = parse(text).fits(machine).expect_err("too large for the machine").to_string();
        assert!(!line.contains('\n'), "{line}");
        line
    };
    parse(SMALL).fits(LARGE_MACHINE).expect("the machine is large enough");

    let line = refusal(SMALL, MachineLimits { descriptors: Some(200), ..LARGE_MACHINE });
    assert!(line.contains("descriptors, 200 are allowed: raise processes.fleet"), "{line}");

    let line = refusal(&SMALL.replace("sockets = 32", "sockets = 6000"), LARGE_MACHINE);
    assert!(
        line.starts_with("hosts = 6: a process of simulated balancers needs up to 24068 descriptors"),
        "{line}"
    );

    let line = refusal(SMALL, MachineLimits { memory_kb: 100e3, ..LARGE_MACHINE });
    assert!(line.contains("of memory, more than half of this machine's 100 MB"), "{line}");

    let line = refusal(&format!("{SMALL}[processes]\nhollow = 32\nfleet = 20\n"), LARGE_MACHINE);
    assert!(line.contains("needs 54 processes, at most 40 are allowed"), "{line}");
}

#[test]
fn number_of_balancers_per_process_sets_number_of_processes() {
    let experiment = parse(&format!("{SMALL}[processes]\neach = 2\n"));

    assert_eq!(experiment.simulated_processes(&experiment.conditions_at(6.0)), 4);
}

#[test]
fn invalid_experiment_is_refused_in_one_line() {
    let refusal =
        |text: &str| ScaleExperiment::parse(text, false).expect_err("an invalid experiment").to_string();

    let line = refusal(&SMALL.replace("rate = 10", "rite = 10"));
    assert!(line.starts_with("14: unknown field `rite`") && !line.contains('\n'), "{line}");

    let line = refusal(&SMALL.replace("[6, 12]", "[]"));
    assert_eq!(line, " points is empty: give at least one value of the axis");
}

#[test]
fn quick_run_uses_quick_section_or_first_two_points() {
    let without_quick = parse_quick(&SMALL.replace("[6, 12]", "[6, 12, 40]"));
    assert_eq!((without_quick.points.as_slice(), without_quick.repeats), (&[6.0, 12.0][..], 1));
    assert!(without_quick.length_s() < 60.0, "{}", without_quick.length_s());

    let with_quick = format!("{SMALL}[quick]\npoints = [9]\nseconds = 1.0\n");
    assert_eq!(parse_quick(&with_quick).points, [9.0]);
    assert_eq!(parse(&with_quick).points, [6.0, 12.0]);
}

#[test]
fn every_shipped_experiment_is_valid_and_quick_run_takes_under_a_minute() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scale");
    let files = std::fs::read_dir(folder).expect("a folder").map(|file| file.expect("a file").path());
    let mut scale_experiments = 0;
    for file in files.filter(|file| !file.to_string_lossy().contains("/map-")) {
        if file.to_string_lossy().contains("/pairs-") {
            Experiment::read(&file).expect("an experiment");
            continue;
        }
        scale_experiments += 1;
        for quick in [false, true] {
            let experiment = ScaleExperiment::read(&file, quick).expect("an experiment");
            experiment.fits(LARGE_MACHINE).expect("the machine is large enough");
            let length_s = experiment.length_s();
            assert!(!quick || length_s < 60.0, "{}: {length_s} s", file.display());
        }
    }
    assert!(scale_experiments >= 4, "{scale_experiments}");
}

fn folder_with(text: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("x.toml"), text).expect("a file");
    folder
}

#[test]
fn small_run_measures_every_part_and_writes_points_fits_and_charts() {
    common::balancer();
    let folder = folder_with(SMALL);

    let arguments = ["scale", "x.toml", "--quick", "--json"];
    let run = Command::new(TESTBED)
        .args(arguments)
        .current_dir(folder.path())
        .output()
        .expect("the testbed starts");
    let Output { status, stdout, stderr } = run;
    let (out, err) = (String::from_utf8_lossy(&stdout), String::from_utf8_lossy(&stderr));

    // Exit code 4 means that the machine was late. The bounds below hold even then.
    assert!(matches!(status.code(), Some(0 | 4)), "{out}{err}");
    let lines: Vec<Value> = out.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    let points: Vec<&Value> = lines.iter().filter(|line| line["figures"].is_object()).collect();
    assert_eq!(points.len(), 2, "{out}");
    for point in points {
        let figure =
            |name: &str| point["figures"][name].as_f64().unwrap_or_else(|| panic!("{name}: {point}"));
        let at = point["at"].as_f64().expect("a point");
        assert!((40.0..160.0).contains(&figure("ops/s")), "{point}");
        assert!(figure("in target, part") > 0.9 && figure("real: benefit") > 0.9, "{point}");
        assert!(figure("changes seen") >= 2.0 && figure("changes not told to all") == 0.0, "{point}");
        let (half, all) = (figure("told to 50%, ms"), figure("told to all, ms"));
        assert!(half <= all && all < 3_000.0, "{point}");
        let at_balancers = figure("connections of a balancer") * 8.0;
        let (at_real, at_hosts) = (figure("real: descriptors"), figure("connections at a host, mean") * at);
        assert!(at_hosts >= at_balancers * 0.8 && at_hosts <= at_balancers + at_real + 8.0, "{point}");
        // One host hangs for a second, which delays some requests. Discovery is silent for a
        // second, which delays all list changes of that second.
        assert!(figure("hang: ops") > 100.0 && figure("hang: ops not in target") < 80.0, "{point}");
        assert!(figure("discovery back: changes not told to all") == 0.0, "{point}");
        assert!(figure("discovery back: to all, ms") < 4_000.0, "{point}");
        // Discovery holds a call for 3 s, or until the list changes.
        assert!((0.2..20.0).contains(&figure("discovery: calls/s a balancer")), "{point}");
        assert!(figure("control bytes/s a balancer, from discovery") > 100.0, "{point}");
        assert!(figure("control CPU, % of a core") > 0.0 && figure("memory a balancer, MB") > 0.0, "{point}");
    }
    let result = folder.path().join("lab-results/small");
    for file in ["points.jsonl", "lines.json", "table.txt", &file_name("control CPU, % of a core")] {
        let text = std::fs::read_to_string(result.join(file)).expect(file);
        assert!(!text.is_empty() && (!file.ends_with(".svg") || text.contains("<circle")), "{file}: {text}");
    }
}

#[test]
fn run_too_large_for_machine_starts_nothing() {
    let folder = folder_with(&SMALL.replace("sockets = 32", "sockets = 20000").replace("= 8", "= 5000"));

    let run = Command::new(TESTBED).args(["scale", "x.toml"]).current_dir(folder.path()).output();

    let Output { status, stdout, stderr } = run.expect("the testbed starts");
    let err = String::from_utf8(stderr).expect("text");
    assert_eq!((status.code(), stdout.len(), err.lines().count()), (Some(2), 0, 1), "{err}");
    assert!(
        err.starts_with(
            "basaltwood-testbed: x.toml: hosts = 6: a process of simulated balancers needs up to"
        ),
        "{err}"
    );
    assert!(!folder.path().join("lab-results").exists(), "nothing is written");
}

/// Starts a run, waits for its stage with requests, and returns the run and its child processes.
fn start_until_loaded(folder: &Path) -> (Child, Vec<u32>) {
    let mut command = Command::new(TESTBED);
    command.args(["scale", "x.toml"]).current_dir(folder).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut run = command.spawn().expect("the testbed starts");
    let lines = BufReader::new(run.stdout.take().expect("piped output")).lines().map_while(Result::ok);
    let (sender, receiver) = std::sync::mpsc::channel();
    // The thread reads all output, so that the run does not block on a full pipe.
    std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
    let next_line = || {
        receiver
            .recv_timeout(Duration::from_secs(60))
            .expect("a line of progress before the stage with requests")
    };
    while !next_line().contains("loaded") {}
    let list = std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", run.id())).expect("children");
    let children: Vec<u32> = list.split_whitespace().map(|id| id.parse().expect("a number")).collect();
    // Two fleets, discovery, two of simulated balancers, the real balancer and its guard.
    assert_eq!(children.len(), 7, "{list}");
    (run, children)
}

fn wait_until_gone(children: &[u32]) {
    let started_at = Instant::now();
    // A zombie process counts as ended.
    let is_running = |id: &u32| {
        std::fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(|stat| !stat.contains(") Z "))
    };
    while children.iter().any(is_running) {
        assert!(started_at.elapsed() < Duration::from_secs(10), "a child process still runs after 10 s");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn run_ended_by_sigint_or_sigkill_leaves_no_process() {
    common::balancer();
    for (signal, code) in [("-INT", Some(130)), ("-KILL", None)] {
        let folder = folder_with(&SMALL.replace("seconds = 1.5", "seconds = 60.0"));
        let (mut run, children) = start_until_loaded(folder.path());

        let sent = Command::new("kill").args([signal, &run.id().to_string()]).status().expect("kill runs");
        assert!(sent.success());

        assert_eq!(run.wait().expect("the run exits").code(), code);
        wait_until_gone(&children);
    }
}

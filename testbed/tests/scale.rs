//! The scale run: its lines, what it refuses, a small run with a real balancer beside, and that nothing outlives
//! it.

mod common;

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use basaltwood_testbed::scale::experiment::{MachineLimits, ScaleExperiment};
use basaltwood_testbed::scale::regression::fit_line;
use basaltwood_testbed::scale::report::file_name;
use basaltwood_testbed::script::Experiment;
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

/// A machine on which all fits.
const ROOMY: MachineLimits = MachineLimits { descriptors: Some(20_000), memory_kb: 16e6 };

#[test]
fn a_line_is_that_of_the_textbook() {
    // y = 2 + 3 x, and the same a little off: slope 3.1, its half interval by hand t(0.975, 2) * s / sqrt(5).
    let exact = fit_line(&[(0.0, 2.0), (1.0, 5.0), (2.0, 8.0)], 100.0).expect("a line");
    assert!((exact.slope - 3.0).abs() < 1e-9 && (exact.there - 302.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.slope_half.expect("three points") < 1e-6, "{exact:?}");
    let off = fit_line(&[(0.0, 2.0), (1.0, 5.5), (2.0, 7.5), (3.0, 11.5)], 10.0).expect("a line");
    assert!((off.slope - 3.05).abs() < 1e-9 && (off.intercept - 2.05).abs() < 1e-9, "{off:?}");
    // Left over: -0.05, 0.4, -0.65, 0.3, squares 0.675; s = 0.580948; t = 4.302653.
    assert!((off.slope_half.expect("four points") - 1.117868).abs() < 1e-4, "{off:?}");
    // At 10: s * sqrt(1 / 4 + 8.5^2 / 5) * t.
    assert!((off.there_half.expect("four points") - 9.584339).abs() < 1e-2, "{off:?}");
    assert_eq!(fit_line(&[(1.0, 2.0), (1.0, 3.0)], 5.0), None);
    assert_eq!(fit_line(&[(1.0, 2.0)], 5.0), None);
    let two = fit_line(&[(1.0, 2.0), (2.0, 3.0)], 5.0).expect("a line");
    assert_eq!((two.slope_half, two.there_half), (None, None));
}

#[test]
fn what_this_machine_cannot_carry_is_refused_in_one_line_with_the_way_out() {
    let refused = |text: String, machine: MachineLimits| {
        let line = ScaleExperiment::parse(&text, false)
            .expect("a script")
            .fits(machine)
            .expect_err("it does not fit");
        assert!(!line.contains('\n'), "{line}");
        line
    };
    ScaleExperiment::parse(SMALL, false).expect("a script").fits(ROOMY).expect("it fits");
    let small = MachineLimits { descriptors: Some(200), ..ROOMY };
    let line = refused(SMALL.to_owned(), small);
    assert!(line.contains("descriptors and 200 are allowed: more processes.fleet"), "{line}");
    let line = refused(SMALL.replace("sockets = 32", "sockets = 6000"), ROOMY);
    assert!(line.starts_with("hosts = 6: a hollow process needs up to 24068 descriptors"), "{line}");
    let line = refused(SMALL.to_owned(), MachineLimits { memory_kb: 100e3, ..ROOMY });
    assert!(line.contains("of memory, more than half of this machine's 100 MB"), "{line}");
    let many = format!("{SMALL}[processes]\nhollow = 32\nfleet = 20\n");
    assert!(refused(many, ROOMY).contains("54 processes and 40 at most"));
    let each = format!("{SMALL}[processes]\neach = 2\n");
    let script = ScaleExperiment::parse(&each, false).expect("a script");
    assert_eq!(script.hollow_processes(&script.at(6.0)), 4);
    let fault =
        ScaleExperiment::parse(&SMALL.replace("rate = 10", "rite = 10"), false).expect_err("no such field");
    assert!(fault.starts_with("14: unknown field `rite`") && !fault.contains('\n'), "{fault}");
    let fault = ScaleExperiment::parse(&SMALL.replace("[6, 12]", "[]"), false).expect_err("no point");
    assert_eq!(fault, " points is empty: name one at least");
}

#[test]
fn quick_is_what_the_file_says_or_its_first_two_points() {
    let quick = ScaleExperiment::parse(&SMALL.replace("[6, 12]", "[6, 12, 40]"), true).expect("a script");
    assert_eq!((quick.points.as_slice(), quick.repeats), (&[6.0, 12.0][..], 1));
    assert!(quick.length_s() < 60.0, "{}", quick.length_s());
    let told = format!("{SMALL}[quick]\npoints = [9]\nseconds = 1.0\n");
    assert_eq!(ScaleExperiment::parse(&told, true).expect("a script").points, [9.0]);
    assert_eq!(ScaleExperiment::parse(&told, false).expect("a script").points, [6.0, 12.0]);
}

#[test]
fn every_experiment_of_the_folder_can_be_read_and_is_quick_in_time() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scale");
    let files = std::fs::read_dir(folder).expect("a folder").map(|file| file.expect("a file").path());
    let mut seen = 0;
    for file in files.filter(|file| !file.to_string_lossy().contains("/map-")) {
        if file.to_string_lossy().contains("/pairs-") {
            Experiment::read(&file).expect("an experiment");
            continue;
        }
        seen += 1;
        for quick in [false, true] {
            let script = ScaleExperiment::read(&file, quick).expect("a script");
            script.fits(ROOMY).expect("it fits");
            assert!(!quick || script.length_s() < 60.0, "{}: {} s", file.display(), script.length_s());
        }
    }
    assert!(seen >= 4, "{seen}");
}

fn folder_with(text: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("x.toml"), text).expect("a file");
    folder
}

#[test]
fn a_small_run_measures_every_part_and_keeps_points_lines_and_drawings() {
    common::balancer();
    let folder = folder_with(SMALL);
    let arguments = ["scale", "x.toml", "--quick", "--json"];
    let run = Command::new(TESTBED).args(arguments).current_dir(folder.path()).output().expect("it starts");
    let Output { status, stdout, stderr } = run;
    let (out, err) = (String::from_utf8_lossy(&stdout), String::from_utf8_lossy(&stderr));
    // Four is a machine that was late: the figures below hold all the same.
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
        let held = figure("connections of a balancer") * 8.0;
        let (real, hosts) = (figure("real: descriptors"), figure("connections at a host, mean") * at);
        assert!(hosts >= held * 0.8 && hosts <= held + real + 8.0, "{point}");
        // A host that hangs for a second holds up some ops, and a silent discovery all changes of its second.
        assert!(figure("hang: ops") > 100.0 && figure("hang: ops not in target") < 80.0, "{point}");
        assert!(figure("discovery back: changes not told to all") == 0.0, "{point}");
        assert!(figure("discovery back: to all, ms") < 4_000.0, "{point}");
        // A call at discovery is held for 3 s, or until there is news.
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
fn a_run_that_does_not_fit_starts_nothing() {
    let folder = folder_with(&SMALL.replace("sockets = 32", "sockets = 20000").replace("= 8", "= 5000"));
    let run = Command::new(TESTBED).args(["scale", "x.toml"]).current_dir(folder.path()).output();
    let Output { status, stdout, stderr } = run.expect("it starts");
    let err = String::from_utf8(stderr).expect("text");
    assert_eq!((status.code(), stdout.len(), err.lines().count()), (Some(2), 0, 1), "{err}");
    assert!(err.starts_with("basaltwood-testbed: x.toml: hosts = 6: a hollow process needs up to"), "{err}");
    assert!(!folder.path().join("lab-results").exists(), "nothing is written");
}

/// A run that has come to ops, and all processes that it started.
fn under_way(folder: &Path) -> (Child, Vec<u32>) {
    let mut command = Command::new(TESTBED);
    command.args(["scale", "x.toml"]).current_dir(folder).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut run = command.spawn().expect("it starts");
    let lines = BufReader::new(run.stdout.take().expect("its words")).lines().map_while(Result::ok);
    let (tell, told) = std::sync::mpsc::channel();
    // Read to the end, so that nobody waits for a reader.
    std::thread::spawn(move || lines.for_each(|line| drop(tell.send(line))));
    let wanted = |line: &String| line.contains("loaded");
    while !wanted(&told.recv_timeout(Duration::from_secs(60)).expect("it comes to ops")) {}
    let list = std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", run.id())).expect("children");
    let children: Vec<u32> = list.split_whitespace().map(|id| id.parse().expect("a number")).collect();
    // Two fleets, discovery, two of hollow balancers, the real one and its guard.
    assert_eq!(children.len(), 7, "{list}");
    (run, children)
}

fn gone(children: &[u32]) {
    let began = Instant::now();
    // One that has ended and that nobody has asked about any more is gone as well.
    let runs = |id: &u32| {
        std::fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(|stat| !stat.contains(") Z "))
    };
    while children.iter().any(runs) {
        assert!(began.elapsed() < Duration::from_secs(10), "a child still runs");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn ctrl_c_and_a_crash_leave_no_process_behind() {
    common::balancer();
    for (signal, code) in [("-INT", Some(130)), ("-KILL", None)] {
        let folder = folder_with(&SMALL.replace("seconds = 1.5", "seconds = 60.0"));
        let (mut run, children) = under_way(folder.path());
        let sent = Command::new("kill").args([signal, &run.id().to_string()]).status().expect("kill");
        assert!(sent.success());
        assert_eq!(run.wait().expect("it ends").code(), code);
        gone(&children);
    }
}

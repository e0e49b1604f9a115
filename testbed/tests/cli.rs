//! The program from its command line: exit codes, result files, and the end of all started
//! processes at Ctrl-C.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const TESTBED: &str = env!("CARGO_BIN_EXE_basaltwood-testbed");

/// A short experiment for tests of files, exit codes and messages. `late_ms` is large so that late
/// timers of the machine do not void the run.
const SHORT: &str = r#"
name = "short"
seconds = 1.0
[[categories]]
name = "read"
target_ms = 800
ttl_ms = 2000
repeats = "redeliverable"
[fleet]
hosts = 2
[load]
rate = 100
late_ms = 150
[[arms]]
name = "random"
baseline = "random"
"#;

fn run_testbed(folder: &Path, arguments: &[&str]) -> (i32, String, String) {
    let Output { status, stdout, stderr } =
        Command::new(TESTBED).args(arguments).current_dir(folder).output().expect("the testbed starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code().expect("an exit code"), text(stdout), text(stderr))
}

fn folder_with(name: &str, text: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join(name), text).expect("a file");
    folder
}

#[test]
fn exit_codes_of_bad_input_broken_rules_and_void_runs_differ() {
    let run = |text: &str| {
        let folder = folder_with("x.toml", text);
        let (code, out, err) = run_testbed(folder.path(), &["run", "x.toml"]);
        (code, out, err)
    };
    let (code, out, err) = run(&SHORT.replace("rate = 100", "rite = 100"));
    assert_eq!((code, out.as_str()), (2, ""));
    assert!(
        err.starts_with("basaltwood-testbed: x.toml:12: unknown field `rite`") && err.lines().count() == 1,
        "{err}"
    );
    let overload_while_cold =
        "[cold]\nfrom = 0.05\nmultiple = 0.01\nwindow_ms = 300\n[[faults]]\nkind = \"grow\"\nfrom_s = 0.2\n";
    // A busy machine may void a run, which says nothing about the breach.
    let attempts = (0..8).map(|_| run(&format!("{SHORT}\n{overload_while_cold}")));
    let (code, out, _) =
        attempts.into_iter().find(|(code, ..)| *code != 4).expect("eight runs in a row were void");
    assert_eq!(code, 3, "{out}");
    assert!(out.contains("BREACH: random seed 1: rule 4 at"), "{out}");
    let stop = "[[faults]]\nkind = \"generator-stop\"\nfrom_s = 0.5\nto_s = 0.8\n";
    let (code, out, _) = run(&format!("{SHORT}\n{stop}"));
    assert_eq!(code, 4, "{out}");
    assert!(out.contains("VOID: random seed 1: the generator was late"), "{out}");
}

/// Repeats a run, each time in a new folder, until it is not void: a run that is void because of a
/// busy machine says nothing about the program.
fn run_until_not_void(arguments: &[&str]) -> (tempfile::TempDir, i32, String) {
    for _ in 0..8 {
        let folder = folder_with("x.toml", SHORT);
        let (code, out, _) = run_testbed(folder.path(), arguments);
        if code != 4 {
            return (folder, code, out);
        }
    }
    panic!("eight runs in a row were void");
}

#[test]
fn result_folder_is_not_overwritten_and_can_be_compared() {
    let arguments = [
        "run",
        "x.toml",
        "--arm",
        "random",
        "--arm",
        "plain-ring",
        "--seeds",
        "1,2",
        "--keep-trace",
        "--json",
    ];
    let (folder, code, out) = run_until_not_void(&arguments);
    assert_eq!((code, out.lines().count()), (0, 4), "{out}");
    let result = folder.path().join("lab-results/short");
    let page = std::fs::read_to_string(result.join("report.html")).expect("a page");
    assert!(
        page.matches("<svg").count() >= 4 && !page.contains("http-equiv") && !page.contains("<script"),
        "{page}"
    );
    let (code, out, _) = run_testbed(
        folder.path(),
        &["trace", "check", "lab-results/short/trace-2.jsonl", "--experiment", "x.toml"],
    );
    assert!(code == 0 && out.contains("requests, "), "{out}");
    let (code, out, _) =
        run_testbed(folder.path(), &["compare", "lab-results/short:random", "lab-results/short:plain-ring"]);
    assert!(code == 0 && out.starts_with("2 pairs of seeds") && out.contains("benefit"), "{out}");
    let (code, _, err) =
        run_testbed(folder.path(), &["compare", "lab-results/short", "lab-results/short:random"]);
    assert!(code == 2 && err.contains("name one as lab-results/short:ARM"), "{err}");
    run_testbed(folder.path(), &["run", "x.toml"]);
    assert!(folder.path().join("lab-results/short-2/runs.jsonl").is_file());
}

#[test]
fn demo_succeeds_on_a_busy_machine() {
    let folder = tempfile::tempdir().expect("a folder");
    let (code, out, err) = run_testbed(folder.path(), &["demo"]);
    assert_eq!(code, 0, "{out}{err}");
    assert!(out.contains("report: lab-results/demo/report.html"), "{out}");
    assert!(out.contains("VOID") == out.contains("WARNING: these figures are invalid"), "{out}");
}

#[test]
fn region_map_reaches_the_balancer_and_a_missing_one_is_refused() {
    let arm = "name = \"random\"\nbaseline = \"random\"";
    let folder = folder_with("x.toml", &SHORT.replace(arm, &format!("{arm}\nregions = \"r.toml\"")));
    let (code, _, err) = run_testbed(folder.path(), &["run", "x.toml"]);
    assert!(code == 2 && err.contains("regions: there is no file r.toml"), "{code} {err}");
    // Stands in for a balancer: prints the variable to its log and ends.
    let error_of_run = |regions: bool| {
        let script = "#!/bin/sh\necho \"regions ${BASALTWOOD_REGIONS-unset}\" >&2\n";
        std::fs::write(folder.path().join("script"), script).expect("a file");
        std::fs::write(folder.path().join("r.toml"), "").expect("a file");
        let run = Command::new("chmod").arg("+x").arg(folder.path().join("script")).status();
        assert!(run.expect("chmod").success());
        let path = folder.path().join("script");
        let line = format!("program = \"{}\"", path.display());
        let line = if regions { format!("{line}\nregions = \"r.toml\"") } else { line };
        let text = SHORT.replace(arm, &format!("name = \"random\"\n{line}"));
        std::fs::write(folder.path().join("x.toml"), text).expect("a file");
        run_testbed(folder.path(), &["run", "x.toml"]).2
    };
    let err = error_of_run(true);
    assert!(err.contains("regions ") && err.contains("r.toml"), "{err}");
    let err = error_of_run(false);
    assert!(err.contains("regions unset"), "{err}");
}

#[test]
fn ctrl_c_during_a_run_ends_all_processes_that_it_started() {
    let folder = folder_with("x.toml", &SHORT.replace("seconds = 1.0", "seconds = 60.0"));
    let mut command = Command::new(TESTBED);
    command.args(["run", "x.toml"]).current_dir(folder.path()).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut run = command.spawn().expect("the testbed starts");
    let mut lines = BufReader::new(run.stdout.take().expect("piped output")).lines();
    assert!(lines.next().expect("a line").expect("text").contains("1/60 s"));
    let children =
        std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", run.id())).expect("children");
    let children: Vec<&str> = children.split_whitespace().collect();
    assert_eq!(children.len(), 2, "two balancers");
    let kill = Command::new("kill").args(["-INT", &run.id().to_string()]).status().expect("kill");
    assert!(kill.success());
    assert_eq!(run.wait().expect("the testbed ends").code(), Some(130));
    let began = Instant::now();
    while children.iter().any(|child| Path::new(&format!("/proc/{child}")).exists()) {
        assert!(began.elapsed() < Duration::from_secs(10), "a child still runs");
        std::thread::sleep(Duration::from_millis(5));
    }
}

//! The preload library in unmodified programs: `date` and `cat`.

use std::process::{Command, Output};

use basaltwood_fault_control::{library_beside_test, Call, FaultControl, ALWAYS};
use tempfile::TempDir;

fn control() -> (TempDir, FaultControl) {
    let folder = tempfile::tempdir().expect("a folder");
    let library = library_beside_test().expect("the preload library");
    let control = FaultControl::create(&folder.path().join("faults"), &library).expect("a file");
    (folder, control)
}

fn run(control: &FaultControl, program: &str, argument: &str) -> Output {
    Command::new(program).arg(argument).envs(control.environment()).output().expect("the program starts")
}

fn unix_seconds(control: &FaultControl) -> i64 {
    let output = run(control, "date", "+%s");
    String::from_utf8_lossy(&output.stdout).trim().parse().expect("a number")
}

#[test]
fn stepped_wall_clock_is_seen_by_the_program() {
    let (_folder, control) = control();
    let before = unix_seconds(&control);
    control.step_wall_clock(-3_600_000).expect("a file");
    let stepped = unix_seconds(&control) - before;
    assert!((-3_600..-3_500).contains(&stepped), "stepped by {stepped} s");
}

#[test]
fn failing_open_fails_until_it_is_restored() {
    let (_folder, control) = control();
    control.fail(Call::Open, libc::EMFILE, ALWAYS).expect("a file");
    let failed = run(&control, "cat", "/dev/null");
    assert!(!failed.status.success());
    assert!(String::from_utf8_lossy(&failed.stderr).contains("Too many open files"), "{failed:?}");
    control.restore(Call::Open).expect("a file");
    assert!(run(&control, "cat", "/dev/null").status.success());
}

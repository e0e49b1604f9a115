//! Helpers for tests with short runs: experiments from a few lines, and the programs to play.
#![allow(dead_code)] // no test file uses all helpers

use std::path::Path;

use basaltwood_testbed::balancers::Program;
use basaltwood_testbed::experiment::Experiment;
use basaltwood_testbed::figures::Run;
use basaltwood_testbed::play::play;

/// A fast fleet: two hosts and an origin that answer within milliseconds, and one request class of
/// each retry safety.
const BASE: &str = r#"
name = "test"
balancers = 1
[[categories]]
name = "read"
share = 8
target_ms = 800
ttl_ms = 4000
repeats = "redeliverable"
[[categories]]
name = "once"
write = true
target_ms = 800
ttl_ms = 4000
repeats = "at-most-once"
[[categories]]
name = "put"
write = true
target_ms = 800
ttl_ms = 4000
repeats = "deduplicated"
window_ms = 5000
[fleet]
hosts = 2
cores = 16
queue = 4000
connections = 4000
service = { kind = "constant", mean_ms = 2 }
[origin]
cores = 16
queue = 4000
connections = 4000
service = { kind = "constant", mean_ms = 4 }
[discovery]
lag_ms = 20
spread_ms = 20
grace_ms = 200
"#;

/// The base experiment with top-level lines before it and tables after it.
pub fn experiment(top: &str, tables: &str) -> Experiment {
    Experiment::parse(&format!("{top}\n{BASE}\n{tables}")).expect("an experiment")
}

/// Like [`experiment`], with two balancers and six hosts.
pub fn larger(top: &str, tables: &str) -> Experiment {
    let base = BASE.replace("balancers = 1", "balancers = 2").replace("hosts = 2", "hosts = 6");
    Experiment::parse(&format!("{top}\n{base}\n{tables}")).expect("an experiment")
}

pub fn router(kind: &str, injected_fault: Option<&str>) -> Program {
    let option = injected_fault.map(|fault| format!("--misdeed={fault}"));
    let arguments = ["router".to_owned(), kind.to_owned()].into_iter().chain(option).collect();
    Program {
        path: env!("CARGO_BIN_EXE_basaltwood-testbed").into(),
        arguments,
        regions: None,
        fault_library: None,
    }
}

/// The balancer that the workspace has built beside the testbed.
pub fn balancer() -> Program {
    let path = Path::new(env!("CARGO_BIN_EXE_basaltwood-testbed")).with_file_name("basaltwood-balancer");
    assert!(path.is_file(), "{} is missing: run `cargo test --workspace`", path.display());
    Program { path, arguments: Vec::new(), regions: None, fault_library: None }
}

pub fn played(experiment: &Experiment, program: &Program) -> Run {
    let folder = tempfile::tempdir().expect("a folder");
    play(experiment, "test", program, 7, folder.path(), &mut |_| {}).expect("the run is played")
}

/// Descriptions of all breaches, for assertion messages.
pub fn breaches(run: &Run) -> Vec<String> {
    run.breaches.iter().map(|breach| format!("{breach} {:#?}", breach.around)).collect()
}

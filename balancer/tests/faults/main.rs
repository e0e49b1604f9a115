//! Faults of the hunt before production: rare events that meet, forced over sockets. System calls
//! fail and the wall clock is stepped by the preload library of `basaltwood-fault-shim`.

#[path = "../../../tests/common/mod.rs"]
mod common;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod copies;
mod keyed_windows;
mod last_reply;
mod shortages;
mod socket_calls;
mod starts;
mod wall_clock;

use std::net::SocketAddr;

use basaltwood_fault_control::{library_beside_test, FaultControl};
use common::Program;
use tempfile::TempDir;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// A program under the preload library, and its faults.
struct FaultyProgram {
    program: Program,
    faults: FaultControl,
    _folder: TempDir,
}

impl FaultyProgram {
    fn start(discovery: SocketAddr, known: &[String], settings: &str) -> FaultyProgram {
        let faulty = FaultyProgram::starting(discovery, known, settings, |_| {});
        FaultyProgram { program: faulty.program.serving(), ..faulty }
    }

    /// The same under faults from the first moment on, before it serves.
    fn starting(
        discovery: SocketAddr,
        known: &[String],
        settings: &str,
        inject: impl FnOnce(&FaultControl),
    ) -> FaultyProgram {
        let folder = tempfile::tempdir().expect("a folder");
        let library = library_beside_test().expect("the preload library");
        let faults = FaultControl::create(&folder.path().join("faults"), &library).expect("a file");
        inject(&faults);
        let environment = faults.environment();
        let program = Program::spawn_with_env(BINARY, discovery, known, [192, 1024], settings, &environment);
        FaultyProgram { program, faults, _folder: folder }
    }
}

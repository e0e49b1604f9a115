//! Rare events that coincide, forced over sockets. The preload library of `basaltwood-fault-shim`
//! makes system calls fail and steps the wall clock.

#[path = "../../../tests/common/mod.rs"]
mod common;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod copies;
mod given_up;
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

/// A balancer under the preload library, and the control of its faults.
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

    /// Starts a balancer with faults injected before it starts; does not wait until it serves.
    fn starting(
        discovery: SocketAddr,
        known: &[String],
        settings: &str,
        inject: impl FnOnce(&FaultControl),
    ) -> FaultyProgram {
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let library = library_beside_test().expect("find the preload library");
        let faults =
            FaultControl::create(&folder.path().join("faults"), &library).expect("create the fault file");
        inject(&faults);
        let environment = faults.environment();
        let program = Program::spawn_with_env(BINARY, discovery, known, [192, 1024], settings, &environment);
        FaultyProgram { program, faults, _folder: folder }
    }
}

//! Signals and shortages while a process starts.

use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::process::Command;
use std::thread;
use std::time::Duration;

use basaltwood_fault_control::{Call, ALWAYS};

use crate::common::*;
use crate::{FaultyProgram, BINARY};

/// SIGHUP while the configuration is being read takes effect once the process serves, and does not
/// end the process.
#[test]
fn reload_signal_during_the_start_is_handled_after_it() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let path = folder.path().join("config.json");
    let host = Peer::host(|_| hit("v"));
    let discovery = Discovery::start();
    let text =
        config_text(discovery.peer.address, &[entry("a", host.address, "active")], [192, 1024], SETTINGS);
    assert!(Command::new("mkfifo").arg(&path).status().expect("run mkfifo").success());

    let program = Program::with_config_file(BINARY, &path);
    // Opening blocks until the program opens the other end for reading.
    let mut config_pipe = OpenOptions::new().write(true).open(&path).expect("open the pipe");
    program.signal("HUP");
    let next = folder.path().join("next.json");
    fs::write(&next, &text).expect("write the file");
    fs::rename(&next, &path).expect("replace the pipe");
    config_pipe.write_all(text.as_bytes()).expect("write the configuration");
    drop(config_pipe);

    let program = program.serving();
    program.wait_for_log("configuration reloaded");
    assert_eq!(program.client().command(&["CACHE.GET", "k", "id", "c=read,d=1900"]), "v");
}

/// If files or sockets are unavailable for a moment at the start, the process waits for them and
/// then serves.
#[test]
fn start_waits_for_descriptors_that_are_missing_for_a_moment() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    for (call, errno) in
        [(Call::Open, libc::EMFILE), (Call::Socket, libc::ENFILE), (Call::Open, libc::ENFILE)]
    {
        let faulty = FaultyProgram::starting(unreachable_address(), &known, SETTINGS, |faults| {
            faults.fail(call, errno, ALWAYS).expect("write the fault file");
        });
        thread::sleep(Duration::from_millis(400));
        faulty.faults.restore(call).expect("write the fault file");
        let program = faulty.program.serving();
        assert_eq!(program.client().command(&["CACHE.GET", "k", "id", "c=read,d=1900"]), "v");
    }
}

//! Signals that come while a process starts.

use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::process::Command;
use std::thread;
use std::time::Duration;

use basaltwood_fault_control::{Call, ALWAYS};

use crate::common::*;
use crate::{FaultyProgram, BINARY};

/// SIGHUP while the configuration is being read: it counts once the process serves, and ends
/// nothing.
#[test]
fn reload_signal_during_the_start_is_taken_up_after_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    let host = Peer::host(|_| hit("v"));
    let discovery = Discovery::start();
    let text =
        config_text(discovery.peer.address, &[entry("a", host.address, "active")], [192, 1024], SETTINGS);
    assert!(Command::new("mkfifo").arg(&path).status().expect("it runs").success());

    let program = Program::with_config_file(BINARY, &path);
    // It can be opened once the program reads the other end.
    let mut reading = OpenOptions::new().write(true).open(&path).expect("a pipe");
    program.signal("HUP");
    let next = folder.path().join("next.json");
    fs::write(&next, &text).expect("a file");
    fs::rename(&next, &path).expect("a file");
    reading.write_all(text.as_bytes()).expect("it reads");
    drop(reading);

    let program = program.serving();
    program.wait_for_log("configuration reloaded");
    assert_eq!(program.client().command(&["CACHE.GET", "k", "id", "c=read,d=1900"]), "v");
}

/// No file and no socket can be had for a moment as the process starts: it waits for them, and
/// serves.
#[test]
fn start_without_descriptors_for_a_moment_is_no_refusal() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    for (call, errno) in
        [(Call::Open, libc::EMFILE), (Call::Socket, libc::ENFILE), (Call::Open, libc::ENFILE)]
    {
        let faulty = FaultyProgram::starting(nowhere(), &known, SETTINGS, |faults| {
            faults.fail(call, errno, ALWAYS).expect("a file");
        });
        thread::sleep(Duration::from_millis(400));
        faulty.faults.restore(call).expect("a file");
        let program = faulty.program.serving();
        assert_eq!(program.client().command(&["CACHE.GET", "k", "id", "c=read,d=1900"]), "v");
    }
}

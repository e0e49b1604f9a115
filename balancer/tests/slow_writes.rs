//! Servers that take seconds to read a long value: the final answer comes in its client's time.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use std::io::Read as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use common::*;
use socket2::SockRef;
use stand_ins::StalledListener;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const VALUE: usize = 2 * 1024 * 1024;
const CLIENT_WAIT: Duration = Duration::from_millis(900);
/// A process may be late by this much. Source: the operators' requirements.
const MAX_LATENESS: Duration = Duration::from_millis(250);
/// A server that reads this much at a time, with this pause, takes 8 s for the value.
const READ_SIZE: usize = 16 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(60);

/// A server that reads slowly and never answers.
fn slow_reader() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    SockRef::from(&listener).set_recv_buffer_size(READ_SIZE).expect("a socket");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || read_slowly(stream));
        }
    });
    address
}

fn read_slowly(mut stream: TcpStream) {
    let mut bytes = vec![0; READ_SIZE];
    while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
        sleep(READ_PAUSE);
    }
}

/// Where a write goes.
#[derive(Clone, Copy, Debug)]
enum Mode {
    Origin,
    CacheHost,
}

impl Mode {
    /// The configuration of a program whose writes go to the server at this address.
    fn config(self, server: SocketAddr) -> String {
        let host = Peer::host(|_| miss()).address;
        match self {
            Mode::Origin => {
                managed_config(&[entry("a", host, "active"), entry("origin", server, "active")], [192, 192])
            }
            Mode::CacheHost => {
                managed_config(&[entry("a", server, "active")], [192, 192]).replace("aside", "through")
            }
        }
    }
}

/// Sends a write of a long value; returns its answer and when it came.
fn write(program: &Program, class: &str, disturb: impl FnOnce()) -> (String, Duration) {
    let mut client = program.client();
    let began = Instant::now();
    let facts = format!("c={class},d={}", CLIENT_WAIT.as_millis());
    client.begin_write("id", &facts, VALUE);
    let mut writing = client.writing.try_clone().expect("a second handle");
    let sent = spawn(move || {
        let _ = std::io::Write::write_all(&mut writing, &[&vec![b'v'; VALUE][..], b"\r\n"].concat());
    });
    sleep(CLIENT_WAIT / 4);
    disturb();
    let answer = client.answer();
    let elapsed = began.elapsed();
    sent.join().expect("the writer ends");
    (answer, elapsed)
}

fn check(context: &str, (answer, elapsed): (String, Duration)) {
    println!("{context}: {answer} after {elapsed:?}");
    assert!(answer.starts_with('-'), "{context}: {answer}");
    assert!(elapsed < CLIENT_WAIT + MAX_LATENESS, "{context}: {answer} after {elapsed:?}");
}

/// Guards against a final answer that comes once a slow server has read the value, also while the process ends.
#[test]
fn write_to_a_server_that_reads_slowly_is_answered_in_time() {
    for mode in [Mode::Origin, Mode::CacheHost] {
        for class in ["once", "put"] {
            for signal in [None, Some("TERM"), Some("HUP")] {
                let text = mode.config(slow_reader());
                let mut program = Program::with_config(BINARY, &text);
                program.wait_for_admin();
                let mut program = program.serving();
                let answer =
                    write(&program, class, || signal.into_iter().for_each(|name| program.signal(name)));
                check(&format!("{mode:?} {class} {signal:?}"), answer);
                if signal == Some("TERM") {
                    assert_eq!(program.wait_for_exit().code(), Some(0));
                }
            }
        }
    }
}

/// Guards against the same in an upgrade.
#[test]
fn write_to_a_server_that_reads_slowly_is_answered_in_time_in_a_takeover() {
    for mode in [Mode::Origin, Mode::CacheHost] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let text = mode.config(slow_reader());
        let text = text.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{address}""#));
        let folder = tempfile::tempdir().expect("a folder");
        let start = || {
            let mut program = Program::inheriting(BINARY, &text, &listener, folder.path());
            program.wait_for_admin();
            program.address = address.clone();
            program.wait_for_log("Serving");
            program
        };
        let mut old = start();
        let answer = write(&old, "once", || {
            let new = start();
            old.signal("TERM");
            new.wait_for_log("Half");
        });
        check(&format!("{mode:?} takeover"), answer);
        assert_eq!(old.wait_for_exit().code(), Some(0));
    }
}

/// Guards against the same where the connection to the server comes up late.
#[test]
fn write_to_a_server_that_is_reached_late_is_answered_in_time() {
    for mode in [Mode::Origin, Mode::CacheHost] {
        let server = StalledListener::start();
        let mut program = Program::with_config(BINARY, &mode.config(server.address));
        program.wait_for_admin();
        let program = program.serving();
        check(&format!("{mode:?} late handshake"), write(&program, "once", || drop(server.accept_all())));
    }
}

//! Peers that pause for seconds in the middle of a long value.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use std::io::Read as _;
use std::net::TcpStream;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use common::*;
use stand_ins::scripted::{scripted_host, Answer};

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const VALUE: usize = 1024 * 1024;
/// More than the value's part that the systems between host and client hold.
const LONG_VALUE: usize = 4 * VALUE;
const TRAILER: &str = "\r\n$-1\r\n$-1\r\n";
/// Longer than a pause that is granted whatever others need.
const PAUSE: Duration = Duration::from_millis(5_600);

fn value(length: usize) -> Vec<u8> {
    vec![b'v'; length]
}

/// An answer that pauses half way.
fn pausing(key: &'static str) -> Answer {
    let half = VALUE / 2;
    Answer::stating(key, VALUE, &value(half))
        .then(PAUSE, &[&value(VALUE - half)[..], TRAILER.as_bytes()].concat())
}

fn get(program: &Program, key: &str) -> TcpStream {
    let mut client = program.client();
    client.get(key, &format!("id-{key}"), "c=once,d=1900");
    client.writing
}

/// The bytes of a reply of this length that come before the connection ends.
fn read_reply(mut stream: TcpStream, length: usize) -> usize {
    let whole = format!("${length}\r\n").len() + length + 2;
    let mut bytes = Vec::new();
    let _ = stream.by_ref().take(whole as u64).read_to_end(&mut bytes);
    whole - bytes.len()
}

/// Guards against a long value being cut off by the clock, while its host pauses and nobody needs what it holds.
#[test]
fn value_whose_host_pauses_is_passed_on_whole() {
    let (host, _keys) = scripted_host(&[pausing("k")]);
    let program = Program::managed(BINARY, &[entry("a", host, "active")], [48, 192]);
    assert_eq!(read_reply(get(&program, "k"), VALUE), 0, "bytes are missing");
    program.metrics("edge_proxy_ok{kind=\"once\"} 1");
}

/// Guards against the same where the client pauses.
#[test]
fn value_whose_client_pauses_is_passed_on_whole() {
    let long = Answer::stating("k", LONG_VALUE, &[&value(LONG_VALUE)[..], TRAILER.as_bytes()].concat());
    let (host, _keys) = scripted_host(&[long]);
    let program = Program::managed(BINARY, &[entry("a", host, "active")], [48, 192]);
    let client = get(&program, "k");
    sleep(2 * PAUSE);
    assert_eq!(read_reply(client, LONG_VALUE), 0, "bytes are missing");
    program.metrics("edge_proxy_ok{kind=\"once\"} 1");
}

/// Guards against values that pause keeping others from what they hold.
#[test]
fn values_whose_hosts_pause_are_given_up_once_descriptors_are_needed() {
    let (host, _keys) = scripted_host(&[Answer::stating("k", VALUE, &value(VALUE / 2))]);
    let program = Program::managed(BINARY, &[entry("a", host, "active")], [48, 64]);
    let mut pausing = get(&program, "k");
    let mut beginning = [0; 64];
    pausing.read_exact(&mut beginning).expect("the value begins");
    // Idle clients hold most of what clients may.
    let began = Instant::now();
    let mut idle: Vec<Client> = (0..20).map(|_| program.client()).collect();
    idle.iter_mut().for_each(|client| assert_eq!(client.command(&["PING"]), "+PONG"));
    let rest = spawn(move || read_reply(pausing, VALUE));
    assert!(rest.join().expect("the reader ends") > 0, "the value was not given up");
    assert!(began.elapsed() < PAUSE + PAUSE, "given up after {:?}", began.elapsed());
    program.wait_for_counter("values_truncated", 1);
    drop(idle);
}

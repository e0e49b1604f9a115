//! Requests that a client sends behind others on one connection, where a reply before theirs breaks off,
//! comes late or is long.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use std::io::Read as _;
use std::time::{Duration, Instant};

use common::*;
use stand_ins::long_deadline_settings;
use stand_ins::scripted::{scripted_host, Answer, Ending};

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const VALUE: usize = 200_000;
const HEAD: &str = "*3\r\n$200000\r\n";
const TRAILER: &str = "\r\n$-1\r\n$-1\r\n";
const PAUSE: Duration = Duration::from_millis(300);
/// The time in the requests' facts.
const CLIENT_WAIT: Duration = Duration::from_millis(1_900);
/// A process may be late by this much. Source: the operators' requirements.
const MAX_LATENESS: Duration = Duration::from_millis(250);
/// Longer than clients wait.
const SILENCE: Duration = Duration::from_secs(3);

fn value() -> Vec<u8> {
    vec![b's'; VALUE]
}

fn short(key: &'static str) -> Answer {
    Answer::stating(key, 5, format!("short{TRAILER}").as_bytes())
}

fn long(key: &'static str) -> Answer {
    Answer::stating(key, VALUE, &[&value()[..], TRAILER.as_bytes()].concat())
}

/// The first bytes of a long answer, after which the host ends the connection.
fn broken(key: &'static str, count: usize, ending: Ending) -> Answer {
    Answer::stating(key, VALUE, &value()[..count]).ending(PAUSE, ending)
}

/// A host whose value for `long` takes longer than clients wait.
fn host_with_a_slow_long_value() -> std::net::SocketAddr {
    let half = VALUE / 2;
    let head = Answer::of("long", HEAD.into()).after(PAUSE);
    let value = head.then(PAUSE, &value()[..half]).then(SILENCE, &value()[half..]);
    let (host, _keys) = scripted_host(&[value.then(PAUSE, TRAILER.as_bytes()), short("short")]);
    host
}

fn origin() -> Peer {
    Peer::http(|_| http_answer(200, "receipt"))
}

fn program(host: std::net::SocketAddr, origin: &Peer) -> Program {
    Program::managed(
        BINARY,
        &[entry("a", host, "active"), entry("origin", origin.address, "active")],
        [64, 512],
    )
}

/// Reads of these keys and behind them a write, as one text.
fn reads_and_a_write(reads: &[&str], write_facts: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut add = |words: &[&str]| {
        bytes.extend(format!("*{}\r\n", words.len()).into_bytes());
        words.iter().for_each(|word| bytes.extend(format!("${}\r\n{word}\r\n", word.len()).into_bytes()));
    };
    for key in reads {
        add(&["CACHE.GET", key, &format!("id-{key}"), "c=once,d=1900"]);
    }
    add(&["CACHE.SET", "credit", "id-write", write_facts, "amount=5"]);
    bytes
}

/// The text of a short read.
fn short_read() -> &'static [u8] {
    b"*4\r\n$9\r\nCACHE.GET\r\n$5\r\nshort\r\n$8\r\nid-short\r\n$13\r\nc=read,d=1900\r\n"
}

/// Everything that comes until the connection ends.
fn read_to_end(client: &mut Client) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = client.writing.read_to_end(&mut bytes);
    bytes
}

/// Ways in which a long value breaks off: the reads that are sent, and their answers.
fn broken_values() -> [(&'static str, &'static [&'static str], Vec<Answer>); 6] {
    let half = Answer::stating("long", VALUE, &value()[..VALUE / 2]);
    let late = half.clone().after(PAUSE).ending(PAUSE, Ending::Resets);
    [
        ("reset", &["long"], vec![broken("long", VALUE / 2, Ending::Resets)]),
        ("closed", &["long"], vec![broken("long", VALUE / 2, Ending::Closes)]),
        ("last bytes", &["long"], vec![broken("long", VALUE - 3, Ending::Resets)]),
        ("late head", &["long"], vec![late]),
        ("second long value", &["whole", "long"], vec![long("whole"), broken("long", 9, Ending::Resets)]),
        ("silent", &["long"], vec![half.ending(SILENCE, Ending::Resets)]),
    ]
}

/// Guards against a write being run that nobody can be told of, because a long value before it breaks off.
#[test]
fn write_behind_a_long_value_that_breaks_off_is_never_begun() {
    for (form, reads, answers) in broken_values() {
        for write_facts in ["c=once,d=1900", "c=put,d=1900,k=5c0f"] {
            let (host, _keys) = scripted_host(&answers);
            let origin = origin();
            let program = program(host, &origin);
            let mut client = program.client();
            client.raw(&reads_and_a_write(reads, write_facts));
            let received = read_to_end(&mut client);
            assert!(!received.ends_with(b"receipt\r\n"), "{form}: the connection ends in the value");
            assert!(origin.received_nothing(), "{form}: the write was begun");
        }
    }
}

/// Guards against a write or a read going unanswered that was begun behind a long value that breaks off: it
/// is not begun, or the value is held back so that an answer can follow.
#[test]
fn requests_begun_behind_a_long_value_that_breaks_off_are_answered() {
    for (form, reads, mut answers) in broken_values() {
        answers.push(short("short"));
        let (host, _keys) = scripted_host(&answers);
        let origin = origin();
        let program = program(host, &origin);
        let mut client = program.client();
        client.raw(&[&reads_and_a_write(reads, "c=once,d=1900"), short_read()].concat());
        for key in reads {
            let expected = if *key == "whole" { value() } else { b"-ERR dead-lettered".to_vec() };
            assert!(client.answer().as_bytes() == expected, "{form}: the answer to {key}");
        }
        assert_eq!([client.answer(), client.answer()], ["receipt", "short"], "{form}");
    }
}

/// Guards against requests behind reads going unanswered or out of order although every value is whole.
#[test]
fn requests_behind_whole_values_are_answered_in_order() {
    let answers = [long("whole"), short("brief").after(PAUSE), short("short")];
    let (host, _keys) = scripted_host(&answers);
    let origin = origin();
    let program = program(host, &origin);
    let mut client = program.client();
    client.raw(&[&reads_and_a_write(&["whole", "brief"], "c=once,d=1900"), short_read()].concat());
    let expected =
        [String::from_utf8(value()).expect("text"), "short".into(), "receipt".into(), "short".into()];
    for answer in expected {
        assert!(client.answer() == answer);
    }
    let line = program.wait_for_counter("requests_held", 2);
    assert!(line.contains(" requests_held_rejected=0 "), "{line}");
}

/// Guards against a held request outliving its client's patience: it is rejected in time, and never sent.
#[test]
fn write_that_waits_too_long_for_a_read_is_rejected_in_time() {
    let (host, _keys) = scripted_host(&[Answer::of("hung", Vec::new()), short("short")]);
    let origin = origin();
    let program = program(host, &origin);
    let mut client = program.client();
    client.get("hung", "id-hung", "c=once,d=1900");
    let sent_at = Instant::now();
    client.send(&["CACHE.SET", "credit", "id-write", "c=once,d=400", "amount=5"]);
    program.wait_for_counter("requests_held_rejected", 1);
    assert!(sent_at.elapsed() < Duration::from_millis(900), "rejected after {:?}", sent_at.elapsed());
    assert_eq!(client.answer(), "-ERR dead-lettered");
    assert!(client.answer().starts_with("-BUSY"));
    assert!(origin.received_nothing(), "the write was begun");
}

/// Guards against reads that have begun going unanswered because a long value before them breaks off.
#[test]
fn reads_begun_before_a_long_value_broke_off_are_answered() {
    for ending in [Ending::Resets, Ending::Closes] {
        let late_and_broken =
            Answer::stating("long", VALUE, &value()[..VALUE / 2]).after(PAUSE).ending(PAUSE, ending);
        let (host, keys) = scripted_host(&[late_and_broken, short("short")]);
        let origin = origin();
        let program = program(host, &origin);
        let mut client = program.client();
        client.get("long", "id-long", "c=once,d=1900");
        client.get("short", "id-short", "c=read,d=1900");
        assert_eq!(client.answer(), "-ERR dead-lettered", "the long value has failed");
        assert_eq!(client.answer(), "short", "the read behind it is answered");
        assert_eq!(keys.iter().take(2).count(), 2, "both reads were begun");
    }
}

/// Guards against reads that have begun behind a slow long value being answered after their time, or not at all:
/// it fails in its own time, as a short value does, and they are answered.
#[test]
fn reads_begun_behind_a_long_value_that_takes_too_long_are_answered_in_time() {
    let origin = origin();
    let program = program(host_with_a_slow_long_value(), &origin);
    let mut client = program.client();
    client.get("long", "id-long", "c=once,d=1900");
    client.get("short", "id-short", "c=read,d=1900");
    let sent_at = Instant::now();
    assert_eq!([client.answer(), client.answer()], ["-ERR dead-lettered", "short"]);
    assert!(sent_at.elapsed() < CLIENT_WAIT + MAX_LATENESS, "answered after {:?}", sent_at.elapsed());
    assert_eq!(client.command(&["PING"]), "+PONG");
}

/// Guards against a long value being cut off, or held back, because it takes longer than its client's time, where
/// nothing has begun behind it.
#[test]
fn slow_long_value_is_passed_on_where_nothing_has_begun_behind_it() {
    let origin = origin();
    let program = program(host_with_a_slow_long_value(), &origin);
    let mut client = program.client();
    client.get("long", "id-long", "c=once,d=1900");
    let sent_at = Instant::now();
    let mut first = [0];
    client.writing.read_exact(&mut first).expect("the first byte");
    assert!(sent_at.elapsed() < CLIENT_WAIT, "held back for {:?}", sent_at.elapsed());
    client.get("short", "id-short", "c=read,d=9000");
    let rest = format!("{VALUE}\r\n").len() + VALUE + 2 + "$5\r\nshort\r\n".len();
    let mut bytes = vec![0; rest];
    client.writing.read_exact(&mut bytes).expect("the value and the answer behind it");
    assert!(bytes.ends_with(b"s\r\n$5\r\nshort\r\n"));
}

/// Guards against a held request being forgotten when the process ends.
#[test]
fn held_write_is_rejected_when_the_process_ends() {
    let (host, _keys) = scripted_host(&[Answer::of("hung", Vec::new()), short("short")]);
    let origin = origin();
    let known = [entry("a", host, "active"), entry("origin", origin.address, "active")];
    let settings = long_deadline_settings();
    let mut program = Program::start_with(BINARY, unreachable_address(), &known, [64, 512], &settings);
    let mut client = program.client();
    client.get("hung", "id-hung", "c=once,d=9000");
    client.send(&["CACHE.SET", "credit", "id-write", "c=once,d=9000", "amount=5"]);
    program.wait_for_counter("requests_held", 1);
    program.signal("TERM");
    assert_eq!(client.answer(), "-ERR dead-lettered");
    assert!(client.answer().starts_with("-BUSY"));
    client.disconnect();
    assert!(program.wait_for_exit().success());
    assert!(origin.received_nothing(), "the write was begun");
}

/// Guards against reads being begun behind a value that is already being passed on: if it breaks off, they get no
/// answer.
#[test]
fn read_behind_a_value_that_is_being_passed_on_is_not_begun() {
    let (host, keys) = scripted_host(&[broken("long", VALUE / 2, Ending::Resets), short("short")]);
    let origin = origin();
    let program = program(host, &origin);
    let mut client = program.client();
    client.get("long", "id-long", "c=read,d=1900");
    client.writing.read_exact(&mut [0; 64]).expect("the value begins");
    client.get("short", "id-short", "c=read,d=1900");
    program.wait_for_counter("requests_held", 1);
    read_to_end(&mut client);
    assert_eq!(keys.try_iter().collect::<Vec<_>>(), ["long"], "the short read was begun");
}

/// Guards against a write behind another one that has a long receipt, which breaks off: receipts are read whole.
#[test]
fn write_behind_a_long_receipt_that_breaks_off_is_answered() {
    let receipt = format!("HTTP/1.1 200 OK\r\nContent-Length: {VALUE}\r\n\r\n{}", "r".repeat(VALUE / 2));
    let origin = Peer::http(move |request| match request.contains("/first") {
        true => Reply::ThenClose(receipt.clone()),
        false => http_answer(200, "receipt"),
    });
    let (host, _keys) = scripted_host(&[short("short")]);
    let program = program(host, &origin);
    let mut client = program.client();
    client.send(&["CACHE.SET", "first", "id-first", "c=once,d=1900", "amount=5"]);
    client.send(&["CACHE.SET", "second", "id-second", "c=once,d=1900", "amount=5"]);
    assert_eq!([client.answer(), client.answer()], ["-ERR dead-lettered", "receipt"]);
}

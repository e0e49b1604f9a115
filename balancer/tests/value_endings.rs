//! The end of a streamed value: it is passed on only where the bytes behind it show that it is the end.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use std::io::Read;
use std::net::TcpStream;
use std::thread::scope;
use std::time::Duration;

use common::*;
use stand_ins::scripted::{scripted_host, Answer};

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const VALUE: usize = 80_000;
/// Requests that one host is sent at once without being rejected.
const AT_ONCE: usize = 3;
/// What a host sends behind a value.
const TRAILER: &str = "\r\n$3\r\nhit\r\n$-1\r\n";

fn value() -> Vec<u8> {
    (0..VALUE).map(|at| b'a' + (at % 23) as u8).collect()
}

fn value_and(trailer: &str) -> Vec<u8> {
    [&value()[..], trailer.as_bytes()].concat()
}

/// Reads a bulk string to its end; `None` if the connection ends before.
fn read_whole(mut stream: TcpStream) -> Option<Vec<u8>> {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    let head = format!("${VALUE}\r\n").len();
    let mut bytes = vec![0; head];
    stream.read_exact(&mut bytes).expect("the head of a value");
    let length: usize = String::from_utf8_lossy(&bytes[1..head - 2]).parse().expect("a length");
    let mut bytes = vec![0; length + 2];
    stream.read_exact(&mut bytes).ok()?;
    bytes.truncate(length);
    Some(bytes)
}

/// The value that each answer leads to at its client.
fn values_of(program: &Program, answers: &[Answer]) -> Vec<(&'static str, Option<Vec<u8>>)> {
    answers.chunks(AT_ONCE).flat_map(|answers| values_at_once(program, answers)).collect()
}

fn values_at_once(program: &Program, answers: &[Answer]) -> Vec<(&'static str, Option<Vec<u8>>)> {
    scope(|clients| {
        let start = |answer: &Answer| {
            let name = answer.key;
            let mut client = program.client();
            client.get(name, &format!("id-{name}"), "c=once,d=1500");
            clients.spawn(move || (name, read_whole(client.writing)))
        };
        let clients: Vec<_> = answers.iter().map(start).collect();
        clients.into_iter().map(|client| client.join().expect("the client ends")).collect()
    })
}

/// Guards against a value being served as whole although the length in its head is wrong.
#[test]
fn value_with_a_wrong_length_is_never_served_as_whole() {
    let (whole, short) = (value_and(TRAILER), 70_000);
    let answers = [
        Answer::stating("shorter", short, &whole),
        Answer::stating("shorter-by-one", VALUE - 1, &whole),
        Answer::stating("rest-later", short, &value()[..short])
            .then(Duration::from_millis(250), &whole[short..]),
        Answer::stating("one-byte-more", short, &value()[..=short]),
        Answer::stating("noise", VALUE, &value_and("#!noise\r\n$3\r\nhit\r\n$-1\r\n")),
        Answer::stating("noise-for-status", VALUE, &value_and("\r\nnoise\r\n$-1\r\n")),
        Answer::stating("longer", VALUE + 1, &whole),
        Answer::stating("longer-by-the-status", VALUE + "\r\n$3\r\nhit".len(), &whole),
        Answer::stating("longer-by-the-trailer", VALUE + TRAILER.len(), &whole),
    ];
    let program = Program::managed(BINARY, &[entry("a", scripted_host(&answers).0, "active")], [48, 192]);

    for (name, value) in values_of(&program, &answers) {
        assert!(value.is_none(), "{name}: {} bytes were served as whole", value.unwrap_or_default().len());
    }

    // Each is a failed attempt that has run: none is sent again.
    let page = program.metrics(&format!("edge_proxy_errors{{kind=\"once\"}} {}", answers.len()));
    assert!(page.contains(&format!("tries {}", answers.len())), "{page}");
    program.wait_for_counter("values_length_wrong", 7);
    program.wait_for_counter("values_truncated", 2);
}

/// Guards against a sound value being cut off because what follows it comes late or can't be read.
#[test]
fn sound_value_is_served_whole_however_its_trailer_comes() {
    let answers = [
        Answer::stating("at-once", VALUE, &value_and(TRAILER)),
        Answer::stating("pause-before-trailer", VALUE, &value())
            .then(Duration::from_millis(2_500), TRAILER.as_bytes()),
        Answer::stating("pause-in-trailer", VALUE, &value_and("\r\n$3"))
            .then(Duration::from_millis(300), b"\r\nhit\r")
            .then(Duration::from_millis(300), b"\n$-1\r\n"),
        Answer::stating("load-report-of-noise", VALUE, &value_and("\r\n$3\r\nhit\r\nnoise")),
        Answer::stating("load-report-without-end", VALUE, &value_and("\r\n$-1\r\n$99\r\nload")),
        Answer::stating("two-answers", VALUE, &[value_and(TRAILER), value_and(TRAILER)].concat()),
    ];
    let program = Program::managed(BINARY, &[entry("a", scripted_host(&answers).0, "active")], [48, 192]);

    for (name, served) in values_of(&program, &answers) {
        assert!(served.as_ref() == Some(&value()), "{name}: the value was not served");
    }
    program.metrics(&format!("edge_proxy_ok{{kind=\"once\"}} {}", answers.len()));
}

//! Hosts that answer twice: each request gets its own response, and requests to other hosts are not
//! affected.

use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::common::*;
use crate::BINARY;

const READS: usize = 800;
/// Interval between reads; all reads fall into the time in which duplicates are suspected.
const READ_INTERVAL: Duration = Duration::from_millis(2);

/// All three hosts return equal values, as is common for flags and empty values. One host sends one
/// response twice.
#[test]
fn one_duplicate_response_fails_no_other_request() {
    let has_duplicated = Arc::new(AtomicBool::new(false));
    let duplicated = has_duplicated.clone();
    let duplicating_host = Peer::host(move |request| match hit("v") {
        Reply::Text(text) if request.contains("copied") && !duplicated.swap(true, Ordering::Relaxed) => {
            Reply::Text(text.repeat(2))
        }
        reply => reply,
    });
    let others: Vec<Peer> = (0..2).map(|_| Peer::host(|_| hit("v"))).collect();
    let known = [
        entry("a", duplicating_host.address, "active"),
        entry("b", others[0].address, "active"),
        entry("c", others[1].address, "active"),
    ];
    let program = Program::start(BINARY, unreachable_address(), &known, 1024);
    let mut client = program.client();
    for nth in 0.. {
        assert_eq!(
            client.command(&["CACHE.GET", &format!("copied{nth}"), &format!("c{nth}"), "c=read,d=1900"]),
            "v"
        );
        if has_duplicated.load(Ordering::Relaxed) {
            break;
        }
    }

    let mut failed = 0;
    for nth in 0..READS {
        let answer = client.command(&["CACHE.GET", &format!("k{nth}"), &format!("id{nth}"), "c=read,d=1900"]);
        failed += usize::from(answer != "v");
        thread::sleep(READ_INTERVAL);
    }
    assert_eq!(failed, 0, "{failed} of {READS} reads failed after one duplicate response");
}

/// How much later than its original a copy comes.
const COPY_LATENESS: Duration = Duration::from_millis(20);
/// How long the host works on the request after the one whose response is copied.
const SECOND_RESPONSE_TIME: Duration = Duration::from_millis(60);

/// Responses that may be copied; each but the last says of the next request that it never ran, that
/// the host lacks its key, or what its value is.
const COPIED_RESPONSES: [&str; 4] =
    ["*3\r\n$3\r\nold\r\n$-1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "-BUSY\r\n", "-ERR failed\r\n"];

/// Guards against a copy that is taken for the next response on its connection, with no sign of
/// copies before it: a wrong value, or a retry or rejection of a request that runs.
#[test]
fn first_copy_of_each_kind_of_response_answers_no_other_request() {
    for response in COPIED_RESPONSES {
        for category in ["read", "once"] {
            let (a, b) = (copying_host(response), Peer::host(|_| hit("from b")));
            let known = [entry("a", a, "active"), entry("b", b.address, "active")];
            let program = Program::start(BINARY, unreachable_address(), &known, 1024);
            let mut client = program.client();
            let facts = format!("c={category},d=1500");
            client.command(&["CACHE.GET", HOME_A, "id1", &facts]);
            let second = client.command(&["CACHE.GET", HOME_A, "id2", &facts]);

            let at_b: Vec<String> = std::iter::from_fn(|| b.try_next()).collect();
            assert_eq!(second, "own", "{category} after {response:?}; at the other host: {at_b:?}");
            assert!(!at_b.iter().any(|request| request.contains("id2")), "{category} after {response:?}");
        }
    }
}

/// Guards against a copy that comes in one piece with the next response on its connection, however
/// late: either of the two may be the request's own.
#[test]
fn copy_in_one_piece_with_the_next_response_answers_no_request() {
    for response in COPIED_RESPONSES {
        for (category, expected) in [("read", "own"), ("once", "-ERR dead-lettered")] {
            let is_merged = AtomicBool::new(false);
            let host = Peer::host(move |request| {
                let own = "*3\r\n$3\r\nown\r\n$-1\r\n$-1\r\n";
                match request.contains(" id1 ") {
                    true => Reply::Text(response.to_owned()),
                    false if is_merged.swap(true, Ordering::Relaxed) => Reply::Text(own.to_owned()),
                    false => Reply::Text(format!("{response}{own}")),
                }
            });
            let program =
                Program::start(BINARY, unreachable_address(), &[entry("a", host.address, "active")], 1024);
            let mut client = program.client();
            let facts = format!("c={category},d=1500");
            client.command(&["CACHE.GET", "k", "id1", &facts]);
            let_connections_rest();
            let second = client.command(&["CACHE.GET", "k", "id2", &facts]);

            assert_eq!(second, expected, "{category} after {response:?}");
        }
    }
}

/// A host that sends its response to the request `id1` again after [`COPY_LATENESS`].
fn copying_host(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_with_copies(stream, response));
        }
    });
    address
}

fn serve_with_copies(stream: TcpStream, response: &'static str) {
    let mut writing = stream.try_clone().expect("the socket handle can be duplicated");
    let mut reading = BufReader::new(stream);
    while let Ok(request) = read_command(&mut reading) {
        if !request.contains(" id1 ") {
            thread::sleep(SECOND_RESPONSE_TIME);
            let _ = writing.write_all(b"*3\r\n$3\r\nown\r\n$-1\r\n$-1\r\n");
            continue;
        }
        let mut copies_to = writing.try_clone().expect("the socket handle can be duplicated");
        let _ = writing.write_all(response.as_bytes());
        thread::spawn(move || {
            thread::sleep(COPY_LATENESS);
            let _ = copies_to.write_all(response.as_bytes());
        });
    }
}

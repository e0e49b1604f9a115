//! Rule 1 at the end of a process: a reply counts once its client has it, not once it is written.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::common::*;
use crate::BINARY;

/// Longer than what fits into the slow reader's window.
const VALUE_BYTES: usize = 60_000;
/// So little the reader's system holds for it.
const WINDOW_BYTES: usize = 4_096;
/// When the reader sends something, and when it begins to read, after SIGTERM: while clients are
/// still accepted, and after that, when nothing but this connection is left.
const SEND_AND_READ_AFTER: [(u64, u64); 2] = [(325, 650), (850, 1_200)];

fn slow_reader(address: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(WINDOW_BYTES).expect("a size");
    let address: SocketAddr = address.parse().expect("an address");
    socket.connect(&address.into()).expect("it listens");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    stream
}

/// What the reader gets where it sends these bytes between SIGTERM and its first read, so many
/// milliseconds after the signal each.
fn reply_to_reader_that_sends(meanwhile: &[u8], send_after: u64, read_after: u64) -> usize {
    let host = Peer::host(|_| hit(&"x".repeat(VALUE_BYTES)));
    let known = [entry("a", host.address, "active")];
    let mut program = Program::start(BINARY, nowhere(), &known, 1024);
    let mut reader = slow_reader(&program.address);
    let command = "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$13\r\nc=read,d=1900\r\n";
    reader.write_all(command.as_bytes()).expect("it is taken");
    program.wait_for_counter("succeeded", 1);

    program.signal("TERM");
    thread::sleep(Duration::from_millis(send_after));
    // It may be refused where the connection is closed already.
    let _ = reader.write_all(meanwhile);
    thread::sleep(Duration::from_millis(read_after - send_after));
    let mut reply = Vec::new();
    // A reset ends it early, and what came until then is what counts.
    let _ = reader.read_to_end(&mut reply);
    drop(reader);
    assert!(program.ended().success());
    reply.len()
}

#[test]
fn last_reply_at_shutdown_is_whole_whatever_its_slow_reader_sends() {
    let head_and_end = "$60000\r\n".len() + "\r\n".len();
    let whole = VALUE_BYTES + head_and_end;
    let half_command: &[u8] = b"*4\r\n$9\r\nCACHE.G";
    let command: &[u8] = b"*1\r\n$4\r\nPING\r\n";
    for meanwhile in [b"" as &[u8], half_command, command] {
        for (send_after, read_after) in SEND_AND_READ_AFTER {
            let got = reply_to_reader_that_sends(meanwhile, send_after, read_after);
            let sent = String::from_utf8_lossy(meanwhile);
            assert!(got >= whole, "{got} of {whole} bytes came to the reader that sent {sent:?}");
        }
    }
}

/// A reader takes a long value slowly and all the time. The system's own buffer is so large that
/// nothing can be written for longer than a client may take nothing; it is not cut off.
#[test]
fn slow_reader_that_goes_on_taking_bytes_is_not_cut_off() {
    const LONG_VALUE_BYTES: usize = 4_000_000;
    const BYTES_AT_A_TIME: usize = 1_024;
    const INTERVAL: Duration = Duration::from_millis(10);
    const READ_FOR: Duration = Duration::from_secs(13);
    let host = Peer::host(|_| hit(&"x".repeat(LONG_VALUE_BYTES)));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, nowhere(), &known, 1024);
    let mut reader = slow_reader(&program.address);
    let command = "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$13\r\nc=read,d=1900\r\n";
    reader.write_all(command.as_bytes()).expect("it is taken");

    let began = Instant::now();
    let mut bytes = [0; BYTES_AT_A_TIME];
    while began.elapsed() < READ_FOR {
        assert!(reader.read(&mut bytes).is_ok_and(|count| count > 0), "cut off after {:?}", began.elapsed());
        thread::sleep(INTERVAL);
    }
    let line = program.wait_for_counter("succeeded", 1);
    assert!(line.contains(" clients_slow=0 "), "{line}");
}

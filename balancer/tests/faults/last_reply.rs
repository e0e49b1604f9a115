//! Rule 1 at shutdown: a reply counts once its client has received it, not once it is written.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::common::*;
use crate::BINARY;

/// More than fits into the slow reader's receive window.
const VALUE_BYTES: usize = 60_000;
/// Receive buffer of the slow reader.
const WINDOW_BYTES: usize = 4_096;
/// Milliseconds from SIGTERM until the reader sends something and until it begins to read: once
/// while clients are still accepted, and once when only this connection is left.
const SEND_AND_READ_AFTER: [(u64, u64); 2] = [(325, 650), (850, 1_200)];

fn slow_reader(address: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.set_recv_buffer_size(WINDOW_BYTES).expect("set the receive buffer size");
    let address: SocketAddr = address.parse().expect("a socket address");
    socket.connect(&address.into()).expect("connect to the balancer");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    stream
}

/// Returns the number of bytes that the reader gets if it sends `meanwhile` between SIGTERM and its
/// first read. Both times are in milliseconds after the signal.
fn reply_to_reader_that_sends(meanwhile: &[u8], send_after: u64, read_after: u64) -> usize {
    let host = Peer::host(|_| hit(&"x".repeat(VALUE_BYTES)));
    let known = [entry("a", host.address, "active")];
    let mut program = Program::start(BINARY, unreachable_address(), &known, 1024);
    let mut reader = slow_reader(&program.address);
    let command = "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$13\r\nc=read,d=1900\r\n";
    reader.write_all(command.as_bytes()).expect("write the command");
    program.wait_for_counter("succeeded", 1);

    program.signal("TERM");
    thread::sleep(Duration::from_millis(send_after));
    // This write may fail if the connection is closed already.
    let _ = reader.write_all(meanwhile);
    thread::sleep(Duration::from_millis(read_after - send_after));
    let mut reply = Vec::new();
    // A reset may end the read early; the bytes read until then count.
    let _ = reader.read_to_end(&mut reply);
    drop(reader);
    assert!(program.wait_for_exit().success());
    reply.len()
}

#[test]
fn last_reply_at_shutdown_is_complete_whatever_its_slow_reader_sends() {
    let head_and_end = "$60000\r\n".len() + "\r\n".len();
    let whole = VALUE_BYTES + head_and_end;
    let half_command: &[u8] = b"*4\r\n$9\r\nCACHE.G";
    let command: &[u8] = b"*1\r\n$4\r\nPING\r\n";
    for meanwhile in [b"" as &[u8], half_command, command] {
        for (send_after, read_after) in SEND_AND_READ_AFTER {
            let got = reply_to_reader_that_sends(meanwhile, send_after, read_after);
            let sent = String::from_utf8_lossy(meanwhile);
            assert!(got >= whole, "the reader that sent {sent:?} got {got} of {whole} bytes");
        }
    }
}

/// A reader reads a long value slowly but without pause. The kernel's send buffer is so large that
/// the balancer can write nothing for longer than a stalled client is tolerated; the reader must
/// not be cut off.
#[test]
fn slow_reader_that_keeps_reading_is_not_cut_off() {
    const LONG_VALUE_BYTES: usize = 4_000_000;
    const BYTES_AT_A_TIME: usize = 1_024;
    const INTERVAL: Duration = Duration::from_millis(10);
    const READ_FOR: Duration = Duration::from_secs(13);
    let host = Peer::host(|_| hit(&"x".repeat(LONG_VALUE_BYTES)));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 1024);
    let mut reader = slow_reader(&program.address);
    let command = "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$13\r\nc=read,d=1900\r\n";
    reader.write_all(command.as_bytes()).expect("write the command");

    let began = Instant::now();
    let mut bytes = [0; BYTES_AT_A_TIME];
    while began.elapsed() < READ_FOR {
        assert!(reader.read(&mut bytes).is_ok_and(|count| count > 0), "cut off after {:?}", began.elapsed());
        thread::sleep(INTERVAL);
    }
    let line = program.wait_for_counter("succeeded", 1);
    assert!(line.contains(" clients_slow=0 "), "{line}");
}

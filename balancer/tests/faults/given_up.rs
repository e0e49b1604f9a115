//! Requests that were given up: nothing of them is delivered later.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::common::*;
use crate::BINARY;

/// More than fits into the host's receive buffer; the rest waits in the balancer's system.
const VALUE_BYTES: usize = 60_000;
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Guards against a request whose bytes are still unsent in the balancer's own system when it is
/// given up: a close in good order would deliver them once the host reads again, and it would run.
#[test]
fn request_given_up_before_its_host_reads_it_is_not_delivered_later() {
    let (origin, reads, read) = late_reader();
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active"), entry("origin", origin, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 1024);
    let value = "x".repeat(VALUE_BYTES);

    let answer = program.client().command(&["CACHE.SET", "k", "id1", "c=once,d=400", &value]);
    assert_eq!(answer, "-ERR dead-lettered");
    program.wait_for_counter("attempts_timed_out", 1);
    reads.send(()).expect("the host waits");

    let delivered = read.recv_timeout(TEST_TIMEOUT).expect("the connection ends");
    assert!(delivered < VALUE_BYTES, "{delivered} bytes were delivered after the request was given up");
}

/// Guards against a keyed request whose bytes the balancer's system delivers while the process is
/// stopped, after the window in which hosts know its key.
#[test]
fn keyed_request_of_a_stopped_process_is_not_delivered_after_its_window() {
    let (origin, reads, read) = late_reader();
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active"), entry("origin", origin, "active")];
    let settings = SETTINGS.replace("\"windowMs\":5000.0", "\"windowMs\":600.0");
    let program = Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], &settings);
    let value = "x".repeat(VALUE_BYTES);
    let mut client = program.client();

    client.send(&["CACHE.SET", "k", "id1", "c=put,d=400,k=5c0f6e1a", &value]);
    program.wait_for_counter("attempts", 1);
    program.signal("STOP");
    // The client's own repeat may run at 0.4 s, and hosts know the key for 0.6 s from then on.
    thread::sleep(Duration::from_millis(1_500));
    reads.send(()).expect("the host waits");

    let delivered = read.recv_timeout(TEST_TIMEOUT).expect("the connection ends");
    program.signal("CONT");
    assert!(delivered < VALUE_BYTES, "{delivered} bytes were delivered while the process was stopped");
}

/// A host that reads nothing until it is told to. Returns its address, what tells it, and how many
/// bytes it then read until the connection ended.
fn late_reader() -> (SocketAddr, Sender<()>, Receiver<usize>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer size");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(16).expect("a listening socket");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let (reads, wait) = channel();
    let (report, read) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = wait.recv();
        let mut delivered = Vec::new();
        // A reset ends the reading with an error; the bytes before it are counted.
        let _ = stream.read_to_end(&mut delivered);
        let _ = report.send(delivered.len());
    });
    (address, reads, read)
}

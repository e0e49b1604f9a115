//! The memory limit, and the figures that show what is held.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use common::*;
use socket2::{Domain, Socket, Type};

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const VALUE: usize = 64_000;
const LONG_VALUE: usize = 4 * 1024 * 1024;
/// Responses to requests that are sent at once come at once.
const HOST_DELAY: Duration = Duration::from_millis(50);
/// How long clients take until they read.
const SLOWNESS: Duration = Duration::from_secs(2);

fn program(hosts: &[Peer], limits: [u32; 2]) -> Program {
    let entry = |(number, host): (usize, &Peer)| entry(&format!("h{number}"), host.address, "active");
    let known: Vec<String> = hosts.iter().enumerate().map(entry).collect();
    Program::managed(BINARY, &known, limits)
}

/// A client whose system takes little that it has not read.
fn client_with_small_buffer(program: &Program) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a buffer size");
    let address: SocketAddr = program.address.parse().expect("an address");
    socket.connect(&address.into()).expect("the program accepts connections");
    Client::over(socket.into())
}

/// A write of a value of which all but the last bytes are sent.
fn begin_long_write(program: &Program, number: usize) -> Client {
    let mut client = program.client();
    let head = format!("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nw{number}\r\n");
    client.raw(format!("{head}$17\r\nc=put,d=1900,k=w1\r\n${LONG_VALUE}\r\n").as_bytes());
    client.raw(&vec![b'w'; LONG_VALUE - 10]);
    client
}

/// A host with values of 64,000 bytes, and of 4 MiB for keys that begin with `long`.
fn host() -> Peer {
    let (value, long) = ("v".repeat(VALUE), "l".repeat(LONG_VALUE));
    Peer::host(move |request| {
        sleep(HOST_DELAY);
        if request.contains(" long") {
            hit(&long)
        } else {
            hit(&value)
        }
    })
}

fn pipelined_reads(client: &mut Client, number: usize, reads: usize) {
    for nth in 0..reads {
        client.get(&format!("k{number}-{nth}"), &format!("id{number}-{nth}"), "c=read,d=1900");
    }
}

/// Guards against answers that are held without being granted: clients that took seconds to read
/// took the balancer over its memory limit, since each response was buffered, copied and encoded
/// before anything asked for room.
#[test]
fn clients_slow_to_read_many_answers_do_not_exceed_the_memory_limit() {
    const READERS: usize = 30;
    const READS: usize = 8;
    // Enough for all reads at once: each takes a few while it is new.
    let hosts: Vec<Peer> = (0..40).map(|_| host()).collect();
    let program = program(&hosts, [32, 384]);

    let _writers: Vec<Client> = (0..2).map(|number| begin_long_write(&program, number)).collect();
    let mut long_readers: Vec<Client> = (0..24).map(|_| client_with_small_buffer(&program)).collect();
    for (number, client) in long_readers.iter_mut().enumerate() {
        client.get(&format!("long{number}"), &format!("long{number}"), "c=read,d=1900");
    }
    sleep(SLOWNESS / 4);
    let mut readers: Vec<Client> = (0..READERS).map(|_| client_with_small_buffer(&program)).collect();
    for (number, client) in readers.iter_mut().enumerate() {
        pipelined_reads(client, number, READS);
    }
    sleep(SLOWNESS);

    // Every request has an answer.
    let mut values = 0;
    for client in &mut readers {
        for _ in 0..READS {
            let answer = client.answer();
            assert_ne!(answer, "closed");
            values += usize::from(answer.len() == VALUE);
        }
    }
    assert!(values > 0, "no value was served");
    assert!(program.memory() < 32, "{} MB of memory in use", program.memory());
}

/// Guards against answers that wait for the ones before them and hold the memory that these need.
#[test]
fn answers_that_wait_for_others_leave_memory_to_them() {
    let hosts: Vec<Peer> = (0..4).map(|_| host()).collect();
    let program = program(&hosts, [8, 192]);
    let mut unread: Vec<Client> = (0..4).map(|_| client_with_small_buffer(&program)).collect();
    for (number, client) in unread.iter_mut().enumerate() {
        pipelined_reads(client, number, 8);
    }
    sleep(Duration::from_millis(500));

    let answer = program.client().command(&["CACHE.GET", "k", "other", "c=read,d=1900"]);
    assert_eq!(answer.len(), VALUE, "{answer:.60}");
}

#[test]
fn metrics_show_the_memory_held_by_purpose() {
    let program = program(&[host()], [48, 192]);
    let figure = |name: &str| {
        let (_, page) = program.call("GET /_vars HTTP/1.1\r\n\r\n");
        let line = page.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_else(|| panic!("{page}"));
        line.trim().parse::<usize>().expect("a number")
    };
    assert_eq!(figure("edge_proxy_memory_held_bytes{purpose=\"request_values\"}"), 0);

    let mut writer = program.client();
    writer.raw(b"*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$3\r\nid1\r\n$12\r\nc=put,d=1900\r\n$300000\r\n");
    writer.raw(&[b'v'; 200_000]);
    while figure("edge_proxy_memory_held_bytes{purpose=\"request_values\"}") < 200_000 {
        sleep(Duration::from_millis(5));
    }
    let sum = figure("edge_proxy_memory_held_sum_bytes");
    assert!(sum > 200_000 + figure("edge_proxy_memory_held_bytes{purpose=\"process\"}"), "{sum}");
    assert!(figure("edge_proxy_memory_resident_bytes") > 0);
    assert_eq!(figure("edge_proxy_memory_limit_bytes"), 48 << 20);
    assert!(program.wait_for_counter("clients", 1).contains(" limit=50331648"));
}

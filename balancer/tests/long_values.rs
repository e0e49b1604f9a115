//! Values that are too long to be held in memory as a whole, in responses and in writes.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::{sleep, spawn};
use std::time::Duration;

use common::*;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const LONG: usize = 4 * 1024 * 1024;

/// Starts a host that passes each command and its connection to the test, which writes the answer.
fn manual_host() -> (SocketAddr, Receiver<(String, TcpStream)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, requests) = channel();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            spawn(move || {
                let writing = stream.try_clone().expect("a second handle");
                let mut reading = BufReader::new(stream);
                while let Ok(command) = read_command(&mut reading) {
                    let _ = sender.send((command, writing.try_clone().expect("a third handle")));
                }
            });
        }
    });
    (address, requests)
}

fn program_at(hosts: &[(&str, SocketAddr)], limits: [u32; 2]) -> Program {
    let known: Vec<String> = hosts.iter().map(|(name, at)| entry(name, *at, "active")).collect();
    Program::managed(BINARY, &known, limits)
}

fn head(length: usize) -> String {
    format!("*3\r\n${length}\r\n")
}

/// Reads exactly `count` bytes.
fn read_bytes(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).expect("enough bytes");
    bytes
}

fn get(program: &Program, key: &str, facts: &str) -> TcpStream {
    let mut client = program.client();
    client.get(key, &format!("id-{key}"), facts);
    client.writing
}

#[test]
fn long_response_is_streamed_and_its_connection_is_reused() {
    let (address, requests) = manual_host();
    let program = program_at(&[("a", address)], [48, 192]);
    let mut client = get(&program, "k", "c=once,d=900");
    let (_, mut host) = requests.recv().expect("a request");
    host.write_all(format!("{}begin", head(LONG)).as_bytes()).expect("the balancer reads");

    // The client gets the first bytes before the host has sent the rest.
    let first = format!("${LONG}\r\nbegin");
    assert_eq!(read_bytes(&mut client, first.len()), first.as_bytes());
    assert!(program.metrics("edge_proxy_active 1").contains("ok{kind=\"once\"} 0"));

    // The rest may come after the deadline, which applies to the first bytes only.
    let rest: Vec<u8> = (0..LONG - 5).map(|at| at as u8).collect();
    let reader = spawn(move || {
        let all = read_bytes(&mut client, LONG - 5 + 2);
        (all, client)
    });
    for part in rest.chunks(300_001) {
        host.write_all(part).expect("the balancer reads");
    }
    // The end of the response arrives byte by byte.
    for byte in b"\r\n$3\r\nhit\r\n$-1\r\n" {
        host.write_all(&[*byte]).expect("the balancer reads");
    }

    let (all, mut client) = reader.join().expect("the reader ends");
    assert!(all[..LONG - 5] == rest[..] && all.ends_with(b"\r\n"), "the value arrives unchanged");
    assert!(program.metrics("edge_proxy_active 0").contains("ok{kind=\"once\"} 1"));
    program.wait_for_counter("attempts_succeeded", 1);
    let_connections_rest();
    client
        .write_all(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\nid2\r\n$12\r\nc=once,d=900\r\n")
        .expect("an open connection");
    let (_, mut host) = requests.recv().expect("a request");
    host.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n").expect("the balancer reads");
    assert_eq!(read_bytes(&mut client, 7), b"$1\r\nv\r\n");
    assert!(program.wait_for_counter("succeeded", 2).contains("connections_opened=1 connections_reused=1"));
}

#[test]
fn truncated_value_closes_the_client_connection_without_a_retry() {
    let (address, requests) = manual_host();
    let other = Peer::host(|_| hit("from b"));
    for category in ["read", "once"] {
        let program = program_at(&[("a", address), ("b", other.address)], [48, 192]);
        // The home of this key is host a.
        let mut client = get(&program, "k2", &format!("c={category},d=900"));
        let (_, mut host) = requests.recv().expect("a request");
        host.write_all(format!("{}half", head(100_000)).as_bytes()).expect("the balancer reads");
        assert_eq!(read_bytes(&mut client, 13), b"$100000\r\nhalf");

        host.shutdown(std::net::Shutdown::Both).expect("an open connection");
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        assert!(rest.is_empty(), "the value is not padded to its length");

        let page = program.metrics(&format!("edge_proxy_errors{{kind=\"{category}\"}} 1"));
        assert!(page.contains("tries 1") && page.contains("active 0"), "{page}");
        program.wait_for_counter("values_truncated", 1);
    }
    assert!(other.received_nothing(), "host b gets no request");
}

#[test]
fn clients_that_do_not_read_hold_one_window_each() {
    let value = "v".repeat(LONG);
    let host = Peer::host(move |_| hit(&value));
    let program = program_at(&[("a", host.address)], [32, 192]);
    let beginning = format!("${LONG}\r\nv").len();
    let mut clients: Vec<TcpStream> = Vec::new();
    for nth in 0..40 {
        let mut client = get(&program, &format!("k{nth}"), "c=read,d=1900");
        read_bytes(&mut client, beginning);
        clients.push(client);
    }

    // 160 MiB are being streamed. A client that leaves frees its window, the others get their whole
    // values.
    drop(clients.pop());
    for mut client in clients {
        assert!(read_bytes(&mut client, LONG - 1).iter().all(|&byte| byte == b'v'));
        assert_eq!(read_bytes(&mut client, 2), b"\r\n");
    }
    assert!(program.memory() < 32, "{} MB of memory in use", program.memory());
}

/// Sends the head of a write of `length` bytes, without the value.
fn begin_write(program: &Program, id: &str, length: usize) -> Client {
    begin_write_for(program, id, length, "c=put,d=1900,k=5c0f")
}

fn begin_write_for(program: &Program, id: &str, length: usize, facts: &str) -> Client {
    let mut client = program.client();
    client.begin_write(id, facts, length);
    client
}

#[test]
fn long_writes_begun_at_once_do_not_deadlock() {
    let origin = Peer::http(|request| {
        let body = request.rsplit(" | ").next().unwrap_or("");
        http_answer(200, &format!("{} of {}", body.len(), &body[..2]))
    });
    let host = Peer::host(|_| miss());
    let program = program_at(&[("a", host.address), ("origin", origin.address)], [32, 192]);
    // Together the values exceed the memory, and each writer has sent a part before any value is
    // complete.
    let mut writers: Vec<(String, Client)> = (0..12)
        .map(|nth| {
            // Long enough that a busy machine ends no wait for memory.
            let facts = "c=put,d=60000,k=5c0f";
            let mut client = begin_write_for(&program, &format!("id{nth}"), LONG, facts);
            let value = format!("{nth:02}").repeat(LONG / 2);
            client.raw(&value.as_bytes()[..10_000]);
            (value, client)
        })
        .collect();

    // Short values have memory of their own.
    let mut short = begin_write(&program, "short", 3);
    short.raw(b"abc\r\n");
    assert_eq!(short.answer(), "3 of ab");

    // Two writers send a quarter and then no more: the others are served beside them.
    let mut stalled: Vec<(String, Client)> = writers.drain(..2).collect();
    for (value, client) in &mut stalled {
        client.raw(&value.as_bytes()[10_000..LONG / 4]);
    }
    let threads: Vec<_> = writers
        .into_iter()
        .map(|(value, mut client)| {
            spawn(move || {
                client.raw(&value.as_bytes()[10_000..]);
                client.raw(b"\r\n");
                (client.answer(), format!("{LONG} of {}", &value[..2]))
            })
        })
        .collect();

    for thread in threads {
        let (answer, expected) = thread.join().expect("the writer ends");
        assert_eq!(answer, expected);
    }
    // The memory of the two is freed by the time limit.
    for (_, client) in &mut stalled {
        assert_eq!(client.answer(), "-ERR Protocol error: no whole command in time");
    }
    program.wait_for_counter("clients_slow", 2);
    assert!(program.wait_for_counter("requests", 11).contains(" request_values=0 "));
    assert!(program.memory() < 32, "{} MB of memory in use", program.memory());
}

#[test]
fn short_writes_in_parts_do_not_deadlock() {
    let origin =
        Peer::http(|request| http_answer(200, &request.rsplit(" | ").next().unwrap_or("").len().to_string()));
    let host = Peer::host(|_| miss());
    let program = program_at(&[("a", host.address), ("origin", origin.address)], [8, 192]);
    let mut writers: Vec<Client> = (0..60)
        .map(|nth| {
            let mut client = begin_write(&program, &format!("id{nth}"), 60_000);
            client.raw(&[b'x'; 1_000]);
            client
        })
        .collect();

    // All 60 writes are in progress, more than the memory for short values holds; they are served
    // in order.
    for client in &mut writers {
        client.raw(&[b'x'; 59_000]);
        client.raw(b"\r\n");
    }

    // Every writer gets an answer. How many the origin serves at once depends on the policy's
    // limit.
    let answers: Vec<String> = writers.iter_mut().map(Client::answer).collect();
    assert!(answers.iter().all(|answer| answer == "60000" || answer.starts_with("-BUSY")), "{answers:?}");
    assert!(answers.iter().filter(|answer| *answer == "60000").count() > 20, "{answers:?}");
}

#[test]
fn value_beyond_the_memory_limit_is_refused_at_its_head() {
    let host = Peer::host(|_| miss());
    let program = program_at(&[("a", host.address)], [8, 192]);
    for length in [LONG, LONG + 1, 60_000_000] {
        let answer = begin_write(&program, "id", length).answer();
        assert!(answer.starts_with("-ERR Protocol error: too long a"), "{length}: {answer}");
    }
    let mut client = begin_write(&program, "id", 70_000);
    client.raw(&vec![b'x'; 70_000]);
    client.raw(b"xx");
    assert_eq!(client.answer(), "-ERR Protocol error: a bulk string without its end");
}

/// Starts a host that reads 100 bytes of each connection and then passes the stream to the test.
fn stalled_host() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, connections) = channel();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            read_bytes(&mut stream, 100);
            let _ = sender.send(stream);
        }
    });
    (address, connections)
}

/// A write is stopped before its last byte because its deadline passes or its client leaves. The
/// host must not see a complete write, and there is no retry.
#[test]
fn interrupted_write_is_incomplete_at_its_host_and_not_retried() {
    for (client_leaves, counter) in [(false, "attempts_unreachable"), (true, "attempts_cancelled")] {
        let (address, connections) = stalled_host();
        let program = program_at(&[("origin", address)], [64, 192]);
        let mut client = begin_write(&program, "id", LONG);
        client.raw(&vec![b'v'; LONG]);
        client.raw(b"\r\n");
        let mut host = connections.recv().expect("a connection to the host");
        if client_leaves {
            client.disconnect();
        } else {
            assert_eq!(client.answer(), "-ERR dead-lettered");
        }

        let line = program.wait_for_counter(counter, 1);
        assert!(line.contains(" attempts=1 ") && line.contains(" attempts_timed_out=0 "), "{line}");
        let mut rest = Vec::new();
        // The connection may be closed or reset, as long as the value is incomplete.
        let _ = host.read_to_end(&mut rest);
        assert!(rest.len() < LONG, "{counter}: the host got {} bytes", rest.len());
        assert!(connections.try_recv().is_err(), "the host gets no other attempt");
    }
}

/// Guards against an answer whose length only its end tells being passed on as its head alone, when all of
/// it is read at one go.
#[test]
fn chunked_answer_that_is_read_at_one_go_is_passed_on_whole() {
    let value = "v".repeat(48_000);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{value}\r\n0\r\n\r\n",
        value.len()
    );
    let (release, wait) = gate();
    let origin = Peer::http(move |request| {
        wait(request);
        Reply::Text(chunked.clone())
    });
    let host = Peer::host(|_| miss());
    let program = program_at(&[("a", host.address), ("origin", origin.address)], [48, 192]);
    let mut client = program.client();
    for nth in 0..5 {
        client.get("slow", &format!("id{nth}"), "c=read,d=1900");
        while !origin.next().contains("slow") {}
        // While the process is stopped the whole answer arrives; the signal that continues it also ends
        // the runtime's wait before the runtime has seen any of it.
        program.signal("STOP");
        release.send(()).expect("the origin waits");
        sleep(Duration::from_millis(100));
        program.signal("CONT");
        assert!(client.answer() == value, "answer {nth} is not the value");
    }
    let page = program.metrics("edge_proxy_ok{kind=\"read\"} 5");
    assert!(page.contains("invariant_violations{name=\"reply_length_wrong\"} 0"), "{page}");
}

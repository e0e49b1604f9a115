//! Values past what is held whole, either way, over sockets.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::spawn;

use common::*;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const LONG: usize = 4 * 1024 * 1024;

/// A host that gives each connection that brought a command to the test, which then writes the
/// answer by hand.
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

/// Reads so many bytes of a raw answer.
fn read_bytes(client: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    client.read_exact(&mut bytes).expect("they come");
    bytes
}

fn get(program: &Program, key: &str, facts: &str) -> TcpStream {
    let mut client = program.client();
    client.get(key, &format!("id-{key}"), facts);
    client.writing
}

#[test]
fn long_response_is_passed_on_as_it_comes_and_its_connection_is_reused() {
    let (address, requests) = manual_host();
    let program = program_at(&[("a", address)], [48, 192]);
    let mut client = get(&program, "k", "c=once,d=900");
    let (_, mut host) = requests.recv().expect("a request");
    host.write_all(format!("{}begin", head(LONG)).as_bytes()).expect("it is read");

    // The first bytes are there while the host still has nearly all.
    let first = format!("${LONG}\r\nbegin");
    assert_eq!(read_bytes(&mut client, first.len()), first.as_bytes());
    assert!(program.metrics("edge_proxy_active 1").contains("ok{kind=\"once\"} 0"));

    // Past its deadline too: only the first bytes are timed.
    let rest: Vec<u8> = (0..LONG - 5).map(|at| at as u8).collect();
    let taken = spawn(move || {
        let all = read_bytes(&mut client, LONG - 5 + 2);
        (all, client)
    });
    for part in rest.chunks(300_001) {
        host.write_all(part).expect("it is read");
    }
    // What follows the value comes in pieces too.
    for byte in b"\r\n$3\r\nhit\r\n$-1\r\n" {
        host.write_all(&[*byte]).expect("it is read");
    }

    let (all, mut client) = taken.join().expect("it ends");
    assert!(all[..LONG - 5] == rest[..] && all.ends_with(b"\r\n"), "the value came as it was");
    assert!(program.metrics("edge_proxy_active 0").contains("ok{kind=\"once\"} 1"));
    program.wait_for_counter("attempts_succeeded", 1);
    client
        .write_all(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\nid2\r\n$12\r\nc=once,d=900\r\n")
        .expect("open");
    let (_, mut host) = requests.recv().expect("a request");
    host.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n").expect("it is read");
    assert_eq!(read_bytes(&mut client, 7), b"$1\r\nv\r\n");
    assert!(program.wait_for_counter("succeeded", 2).contains("connections_opened=1 connections_reused=1"));
}

#[test]
fn host_that_breaks_off_midway_ends_the_client_connection_without_a_retry() {
    let (address, requests) = manual_host();
    let other = Peer::host(|_| hit("from b"));
    for category in ["read", "once"] {
        let program = program_at(&[("a", address), ("b", other.address)], [48, 192]);
        // A key whose home is the first.
        let mut client = get(&program, "k2", &format!("c={category},d=900"));
        let (_, mut host) = requests.recv().expect("a request");
        host.write_all(format!("{}half", head(100_000)).as_bytes()).expect("it is read");
        assert_eq!(read_bytes(&mut client, 13), b"$100000\r\nhalf");

        host.shutdown(std::net::Shutdown::Both).expect("open");
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        assert!(rest.is_empty(), "it is never filled up");

        let page = program.metrics(&format!("edge_proxy_errors{{kind=\"{category}\"}} 1"));
        assert!(page.contains("tries 1") && page.contains("active 0"), "{page}");
        program.wait_for_counter("values_truncated", 1);
    }
    assert!(other.received_nothing());
}

#[test]
fn clients_that_read_nothing_hold_one_window_each() {
    let value = "v".repeat(LONG);
    let host = Peer::host(move |_| hit(&value));
    let program = program_at(&[("a", host.address)], [32, 192]);
    let begun = format!("${LONG}\r\nv").len();
    let mut clients: Vec<TcpStream> = Vec::new();
    for nth in 0..40 {
        let mut client = get(&program, &format!("k{nth}"), "c=read,d=1900");
        read_bytes(&mut client, begun);
        clients.push(client);
    }

    // 160 MiB are on their way. One that leaves then frees its window, the others get all of
    // theirs.
    drop(clients.pop());
    for mut client in clients {
        assert!(read_bytes(&mut client, LONG - 1).iter().all(|&byte| byte == b'v'));
        assert_eq!(read_bytes(&mut client, 2), b"\r\n");
    }
    assert!(program.memory() < 32, "{} MB", program.memory());
}

/// Begins a write of so many bytes, of which only the head is sent.
fn begin_write(program: &Program, id: &str, length: usize) -> Client {
    let mut client = program.client();
    let facts = "c=put,d=1900,k=5c0f";
    let (of_id, of_facts) = (id.len(), facts.len());
    client.raw(
        format!(
            "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n${of_id}\r\n{id}\r\n${of_facts}\r\n{facts}\r\n${length}\r\n"
        )
        .as_bytes(),
    );
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
    // More than memory holds, and each has sent a part before any is whole.
    let mut writers: Vec<(String, Client)> = (0..12)
        .map(|nth| {
            let mut client = begin_write(&program, &format!("id{nth}"), LONG);
            let value = format!("{nth:02}").repeat(LONG / 2);
            client.raw(&value.as_bytes()[..10_000]);
            (value, client)
        })
        .collect();

    // Short ones have a part of their own.
    let mut short = begin_write(&program, "short", 3);
    short.raw(b"abc\r\n");
    assert_eq!(short.answer(), "3 of ab");

    // Some never go on: their memory is given back.
    writers.drain(..2).for_each(|(_, mut client)| {
        assert_eq!(client.answer(), "-ERR Protocol error: no whole command in time");
    });
    let ends: Vec<_> = writers
        .into_iter()
        .map(|(value, mut client)| {
            spawn(move || {
                client.raw(&value.as_bytes()[10_000..]);
                client.raw(b"\r\n");
                (client.answer(), format!("{LONG} of {}", &value[..2]))
            })
        })
        .collect();

    for end in ends {
        let (got, wanted) = end.join().expect("it ends");
        assert_eq!(got, wanted);
    }
    assert!(program.memory() < 32, "{} MB", program.memory());
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

    // All 60 are under way, more than a part for them holds; each is served in order.
    for client in &mut writers {
        client.raw(&[b'x'; 59_000]);
        client.raw(b"\r\n");
    }

    // An answer each; how many the origin bears at once is for the policy to say.
    let answers: Vec<String> = writers.iter_mut().map(Client::answer).collect();
    assert!(answers.iter().all(|got| got == "60000" || got.starts_with("-BUSY")), "{answers:?}");
    assert!(answers.iter().filter(|got| *got == "60000").count() > 20, "{answers:?}");
}

#[test]
fn value_that_can_never_fit_is_refused_at_its_head() {
    let host = Peer::host(|_| miss());
    let program = program_at(&[("a", host.address)], [8, 192]);
    for length in [LONG, LONG + 1, 60_000_000] {
        let got = begin_write(&program, "id", length).answer();
        assert!(got.starts_with("-ERR Protocol error: too long a"), "{length}: {got}");
    }
    let mut end = begin_write(&program, "id", 70_000);
    end.raw(&vec![b'x'; 70_000]);
    end.raw(b"xx");
    assert_eq!(end.answer(), "-ERR Protocol error: a bulk string without its end");
}

/// A host that takes a connection and its first bytes, and no more until the test reads on.
fn stuck_host() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, begun) = channel();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            read_bytes(&mut stream, 100);
            let _ = sender.send(stream);
        }
    });
    (address, begun)
}

/// A write that is cut before its last byte never ran: its deadline has passed, or its client has
/// left. The host sees the end of its connection before the whole, and nothing is tried again.
#[test]
fn write_cut_midway_is_seen_as_incomplete_by_its_host() {
    for (client_leaves, ended) in [(false, "attempts_unreachable"), (true, "attempts_cancelled")] {
        let (address, begun) = stuck_host();
        let program = program_at(&[("origin", address)], [64, 192]);
        let mut client = begin_write(&program, "id", LONG);
        client.raw(&vec![b'v'; LONG]);
        client.raw(b"\r\n");
        let mut host = begun.recv().expect("it comes");
        if client_leaves {
            client.disconnect();
        } else {
            assert_eq!(client.answer(), "-ERR dead-lettered");
        }

        let line = program.wait_for_counter(ended, 1);
        assert!(line.contains(" attempts=1 ") && line.contains(" attempts_timed_out=0 "), "{line}");
        let mut rest = Vec::new();
        // It may end as a reset: what it is not is whole.
        let _ = host.read_to_end(&mut rest);
        assert!(rest.len() < LONG, "{ended}: {} bytes came", rest.len());
        assert!(begun.try_recv().is_err(), "and no other attempt");
    }
}

//! Clients that send a request and leave before they are served. The test has a file of its own: a
//! program that a parallel test starts briefly holds copies of the client's descriptors, which
//! would delay the end of its connection.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use std::thread::sleep;
use std::time::Duration;

use common::*;
use stand_ins::{four_gated_hosts, Departure, EACH_DEPARTURE};

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// Other clients hold all descriptors. A client that is accepted, or waits in the kernel's backlog,
/// sends a request and leaves. Once a descriptor is free, no attempt may begin for it.
#[test]
fn client_that_leaves_before_a_descriptor_is_free_gets_no_attempt() {
    EACH_DEPARTURE.into_iter().for_each(client_leaves_before_a_descriptor_is_free);
}

fn client_leaves_before_a_descriptor_is_free(departure: Departure) {
    let (hosts, known) = four_gated_hosts();
    let program = Program::start_with(BINARY, unreachable_address(), &known, [192, 32], SETTINGS);
    let mut served: Vec<Client> = (0..8).map(|_| program.client()).collect();
    for (nth, client) in served.iter_mut().enumerate() {
        client.get(&format!("slow{nth}"), &format!("in{nth}"), "c=once,d=1900");
    }
    program.wait_for_counter("attempts", 8);

    // One client is accepted and waits for a descriptor, and two wait in the backlog.
    for nth in 0..3 {
        let mut client = program.client();
        client.get(&format!("gone{nth}"), &format!("out{nth}"), "c=once,d=1900");
        departure.apply(client);
    }

    // Each host holds back at most 8 responses.
    for (release, _) in &hosts {
        (0..8).for_each(|_| {
            let _ = release.send(());
        });
    }
    served.iter_mut().for_each(|client| assert_eq!(client.answer(), "v"));
    drop(served);
    program.wait_for_counter("clients", 11);

    // A later client is served.
    assert_eq!(program.client().command(&["CACHE.GET", "after", "after", "c=once,d=1900"]), "v");
    let line = program.wait_for_counter("succeeded", 9);
    assert!(line.contains(" attempts=9 "), "{departure:?}: {line}");
    for (_, host) in &hosts {
        while let Some(line) = host.try_next() {
            assert!(!line.contains("gone"), "{departure:?}: {line}");
        }
    }
}

/// Guards against attempts beginning for a client that sent more commands than wait at a time and left: the end of
/// its connection shows only behind all that it sent.
#[test]
fn client_that_sends_much_at_once_and_leaves_gets_no_further_attempt() {
    const COMMANDS: usize = 380;
    for departure in EACH_DEPARTURE {
        let (release, wait) = gate();
        let host = Peer::host(move |request| {
            wait(request);
            miss()
        });
        let origin = Peer::http(|_| http_answer(200, "v"));
        let known = [entry("a", host.address, "active"), entry("origin", origin.address, "active")];
        let program = Program::start(BINARY, unreachable_address(), &known, 256);
        let mut client = program.client();
        let facts = format!("c=read,p={},d=1900", "x".repeat(1_200));
        let commands: String = (0..COMMANDS)
            .map(|nth| {
                let (key, id) = (format!("slow{nth:04}"), format!("id{nth:06}"));
                let words =
                    ["CACHE.GET", &key, &id, &facts].map(|word| format!("${}\r\n{word}\r\n", word.len()));
                format!("*4\r\n{}", words.concat())
            })
            .collect();
        client.raw(commands.as_bytes());
        while !host.next().contains("slow") {}
        departure.apply(client);

        // The client's end is noticed while its first requests are at the host.
        sleep(Duration::from_millis(100));
        drop(release);
        program.wait_for_counter("abandoned", 1);
        sleep(Duration::from_millis(100));
        assert!(origin.received_nothing(), "{departure:?}: an attempt began after the client had left");
        assert_eq!(program.client().command(&["PING"]), "+PONG");
    }
}

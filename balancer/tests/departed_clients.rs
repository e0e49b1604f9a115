//! Clients that send a request and leave before they are served. A file of its own: a program that
//! another test starts beside holds copies of a client's descriptors for a moment, and its end
//! would come late.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use common::*;
use stand_ins::{four_gated_hosts, Departure, EACH_DEPARTURE};

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// Others hold all descriptors: the client is accepted, or waits in the kernel, sends a request and
/// leaves. When a descriptor is free it is served, and nothing is begun for it.
#[test]
fn client_that_leaves_before_a_descriptor_is_free_has_nothing_begun() {
    EACH_DEPARTURE.into_iter().for_each(leaves_before_a_descriptor_is_free);
}

fn leaves_before_a_descriptor_is_free(departure: Departure) {
    let (hosts, known) = four_gated_hosts();
    let program = Program::start_with(BINARY, unreachable_address(), &known, [192, 32], SETTINGS);
    let mut inside: Vec<Client> = (0..8).map(|_| program.client()).collect();
    for (nth, client) in inside.iter_mut().enumerate() {
        client.get(&format!("slow{nth}"), &format!("in{nth}"), "c=once,d=1900");
    }
    program.wait_for_counter("attempts", 8);

    // One that is accepted and waits for a descriptor, and two behind it.
    for nth in 0..3 {
        let mut client = program.client();
        client.get(&format!("gone{nth}"), &format!("out{nth}"), "c=once,d=1900");
        departure.apply(client);
    }

    // Each host holds at most so many requests back; there may be fewer.
    for (release, _) in &hosts {
        (0..8).for_each(|_| {
            let _ = release.send(());
        });
    }
    inside.iter_mut().for_each(|client| assert_eq!(client.answer(), "v"));
    drop(inside);
    program.wait_for_counter("clients", 11);

    // A client that comes after them is served.
    assert_eq!(program.client().command(&["CACHE.GET", "after", "after", "c=once,d=1900"]), "v");
    let line = program.wait_for_counter("succeeded", 9);
    assert!(line.contains(" attempts=9 "), "{departure:?}: {line}");
    for (_, host) in &hosts {
        while let Some(line) = host.try_next() {
            assert!(!line.contains("gone"), "{departure:?}: {line}");
        }
    }
}

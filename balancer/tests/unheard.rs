//! Clients that ask and go before they are heard. A file of its own: a program that another test starts beside holds copies of
//! a client's descriptors for a moment, and its end would come late.

mod closed;
#[path = "../../tests/common/mod.rs"]
mod common;

use closed::{four_gated_hosts, Goes, BOTH_WAYS};
use common::*;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// Others hold all descriptors: it is accepted, or waits in the kernel, asks and goes. When there is room it is heard, and
/// nothing is begun for it.
#[test]
fn one_that_asks_and_goes_before_there_is_room_for_it_has_nothing_begun() {
    BOTH_WAYS.into_iter().for_each(gone_before_there_is_room);
}

fn gone_before_there_is_room(goes: Goes) {
    let (hosts, known) = four_gated_hosts();
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 32], SETTINGS);
    let mut inside: Vec<Client> = (0..8).map(|_| program.client()).collect();
    for (nth, client) in inside.iter_mut().enumerate() {
        client.get(&format!("slow{nth}"), &format!("in{nth}"), "c=once,d=1900");
    }
    program.counts("attempts", 8);
    // One that is accepted and waits for room, and two behind it.
    for nth in 0..3 {
        let mut client = program.client();
        client.get(&format!("gone{nth}"), &format!("out{nth}"), "c=once,d=1900");
        goes.away(client);
    }
    // A host holds as many as there are at most; there may be fewer.
    for (release, _) in &hosts {
        (0..8).for_each(|_| {
            let _ = release.send(());
        });
    }
    inside.iter_mut().for_each(|client| assert_eq!(client.answer(), "v"));
    drop(inside);
    program.counts("clients", 11);
    // One that comes after them is served after them.
    assert_eq!(program.client().asks(&["CACHE.GET", "after", "after", "c=once,d=1900"]), "v");
    let line = program.counts("succeeded", 9);
    assert!(line.contains(" attempts=9 "), "{goes:?}: {line}");
    for (_, host) in &hosts {
        while let Some(line) = host.seen() {
            assert!(!line.contains("gone"), "{goes:?}: {line}");
        }
    }
}

//! The program over sockets, by concern: it is started with stand-ins for what it connects to, and
//! observed from their side.

mod commands;
#[path = "../../../tests/common/mod.rs"]
mod common;
mod config;
mod discovery;
mod hosts;
mod limits;
mod origin;
mod shutdown;

use common::*;

pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// The program with an initial endpoint list and a discovery that is never reachable.
pub(crate) fn program(known: &[(&str, &Peer)]) -> Program {
    let known: Vec<String> = known.iter().map(|(name, peer)| entry(name, peer.address, "active")).collect();
    Program::start(BINARY, unreachable_address(), &known, 1024)
}

/// The counters with these names from a line of all counters.
pub(crate) fn selected_counters(line: &str, names: &[&str]) -> String {
    let of = |name: &&str| line.split(' ').find(|word| word.starts_with(&format!("{name}=")));
    names.iter().filter_map(of).collect::<Vec<_>>().join(" ")
}

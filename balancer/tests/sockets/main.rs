//! Runs the balancer with stand-ins for the services it connects to, and checks what they and its
//! clients see on their sockets. One module per concern.

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

/// Starts the balancer with an initial endpoint list and an unreachable discovery.
pub(crate) fn program(known: &[(&str, &Peer)]) -> Program {
    let known: Vec<String> = known.iter().map(|(name, peer)| entry(name, peer.address, "active")).collect();
    Program::start(BINARY, unreachable_address(), &known, 1024)
}

/// Selects the counters with these names from a log line of all counters.
pub(crate) fn selected_counters(line: &str, names: &[&str]) -> String {
    let counter = |name: &&str| line.split(' ').find(|word| word.starts_with(&format!("{name}=")));
    names.iter().filter_map(counter).collect::<Vec<_>>().join(" ")
}

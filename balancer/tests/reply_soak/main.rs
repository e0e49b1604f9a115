//! A soak of replies: values of random lengths, whole, spoilt, broken off, in chunks and with pauses, read and
//! written by clients that pipeline, while the process is stopped now and then. Drawn from a seed.
//!
//! In CI two seeds play for some seconds each; `REPLY_SOAK_SEED` and `REPLY_SOAK_SECONDS` play another one for
//! longer.

#[path = "../../../tests/common/mod.rs"]
mod common;

mod audit;
mod client;
mod plan;
mod servers;

use std::env;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use audit::Audit;
use common::*;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const HOSTS: usize = 4;
const CLIENTS: u64 = 6;
/// The seeds that are played in CI.
const SEEDS: [u64; 2] = [68, 69];
const SECONDS: u64 = 15;
/// How long the process is stopped at a time, and how often.
const STOP: Duration = Duration::from_millis(120);
const STOP_INTERVAL: Duration = Duration::from_millis(600);

/// A number from the environment.
fn number(name: &str) -> Option<u64> {
    env::var(name).ok().map(|text| text.parse().expect("a number"))
}

/// Stops the process again and again until the time is over.
fn stop_repeatedly(program: &Program, until: Instant) {
    while Instant::now() < until {
        thread::sleep(STOP_INTERVAL - STOP);
        program.signal("STOP");
        thread::sleep(STOP);
        program.signal("CONT");
    }
}

fn play(seed: u64, seconds: u64) {
    let audit = Arc::new(Audit::default());
    let mut known: Vec<String> = (0..HOSTS)
        .map(|number| entry(&format!("h{number}"), servers::cache_host(&audit), "active"))
        .collect();
    known.push(entry("origin", servers::origin(&audit), "active"));
    let program = Program::managed(BINARY, &known, [64, 512]);
    let until = Instant::now() + Duration::from_secs(seconds);
    thread::scope(|threads| {
        for number in 0..CLIENTS {
            let (audit, address) = (&audit, &program.address);
            threads.spawn(move || client::play(seed, number, address, audit, until));
        }
        stop_repeatedly(&program, until);
    });

    let (_, page) = program.call("GET /_vars HTTP/1.1\r\n\r\n");
    let violated = |line: &&str| line.contains("invariant_violations{") && !line.ends_with(" 0");
    audit.extend(page.lines().filter(violated).map(|line| format!("the balancer says {line}")));
    let (violations, counts) = (audit.violations(), audit.counts());
    println!("seed {seed}, {seconds} s: {counts}");
    assert!(violations.is_empty(), "seed {seed}, {seconds} s: {counts}\n{}", violations.join("\n"));
    assert!(audit.was_exercised(), "seed {seed}: something was never seen: {counts}");
}

/// Guards against replies that are cut short, served whole although they are spoilt, or never come, and against
/// requests that run without an answer: the faults that two reviews found.
#[test]
fn random_replies_keep_their_promises() {
    let seconds = number("REPLY_SOAK_SECONDS").unwrap_or(SECONDS);
    match number("REPLY_SOAK_SEED") {
        Some(seed) => play(seed, seconds),
        None => SEEDS.into_iter().for_each(|seed| play(seed, seconds)),
    }
}

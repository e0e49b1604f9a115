//! Tests of the emulated fleet's faults through its sockets, as a balancer sees them.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use basaltwood_testbed::ledger::Ledger;
use basaltwood_testbed::time::{to_duration, Clock, Micros, MS};
use basaltwood_testbed::world::World;
use common::*;
use expect_test::expect;

/// A world with one fault on host 0, from 300 ms to 1.6 s after the start.
struct FaultedWorld {
    clock: Clock,
    address: SocketAddr,
    last_request: u64,
    _world: World,
}

const FAULT_BEGINS: Micros = 300 * MS;
const FAULT_ENDS: Micros = 1_600 * MS;

impl FaultedWorld {
    fn new(kind: &str) -> FaultedWorld {
        let fault =
            format!("[load]\nrate = 1\n[[faults]]\nkind = \"{kind}\"\nhosts = [0]\nfrom_s = 0.3\nto_s = 1.6");
        let experiment = experiment("seconds = 60.0", &fault);
        let ledger = Ledger::new(Clock::start());
        let mut world = World::start(&experiment, 1, &ledger).expect("the world starts");
        let clock = ledger.clock.clone();
        clock.start_run_in(0);
        world.run_script(None);
        let known = world.bootstraps[0].known["instances"].as_array().expect("a list").clone();
        let is_host_0 =
            |instance: &&serde_json::Value| instance["cell"] == 0 && instance["machineType"] == "host";
        let address = known.iter().find(is_host_0).expect("host 0")["hostPort"].as_str().expect("an address");
        FaultedWorld { clock, address: address.parse().expect("an address"), last_request: 0, _world: world }
    }

    /// Waits until 150 ms after a boundary of the fault, when it has taken effect.
    fn wait_until_after(&self, boundary: Micros) {
        std::thread::sleep(to_duration(boundary + 150 * MS - self.clock.now()));
    }

    fn connect(&self) -> Result<TcpStream, &'static str> {
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(400));
        let stream = stream.map_err(|cause| match cause.kind() {
            ErrorKind::ConnectionRefused => "refused",
            ErrorKind::TimedOut => "does not come up",
            _ => "fails",
        })?;
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
        Ok(stream)
    }

    /// Reads a key on a connection, and returns the result in a word or two.
    fn request(&mut self, stream: &mut TcpStream) -> &'static str {
        self.last_request += 1;
        let id = format!("{:016x}", self.last_request);
        let command = format!("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$16\r\n{id}\r\n$14\r\nc=read,d=30000\r\n");
        if stream.write_all(command.as_bytes()).is_err() {
            return "broken";
        }
        let mut bytes = [0; 256];
        match stream.read(&mut bytes) {
            Ok(0) => "closed",
            Ok(count) if bytes[..count].windows(16).any(|part| part == id.as_bytes()) => "own value",
            Ok(count) if bytes[..count].starts_with(b"*3\r\n$-1") => "miss",
            Ok(count) if bytes[..count].starts_with(b"-BUSY") => "busy",
            Ok(count) if bytes[..count].starts_with(b"-ERR") => "error",
            Ok(_) => "noise",
            Err(cause) if cause.kind() == ErrorKind::ConnectionReset => "reset",
            Err(_) => "silence",
        }
    }

    /// Reads a key on a new connection, and returns the result in a word or two.
    fn request_on_new(&mut self) -> &'static str {
        match self.connect() {
            Ok(mut stream) => self.request(&mut stream),
            Err(cause) => cause,
        }
    }
}

/// Results of reads before, during and after a fault, on a connection from before it and on new
/// ones.
fn play(kind: &str) -> String {
    let mut world = FaultedWorld::new(kind);
    let mut old = world.connect().expect("host 0 accepts");
    let before = world.request(&mut old);

    world.wait_until_after(FAULT_BEGINS);
    let during_on_old = world.request(&mut old);
    let during_on_new = world.request_on_new();

    world.wait_until_after(FAULT_ENDS);
    let mut new = world.connect();
    let after_on_old = world.request(&mut old);
    let after_on_new = new.as_mut().map_or_else(|cause| *cause, |stream| world.request(stream));
    let during = format!("kept {during_on_old}, new {during_on_new}");
    let after = format!("kept {after_on_old}, new {after_on_new}");
    format!("{kind}: {before} | {during} | {after}")
}

#[test]
fn each_kind_of_fault_has_its_effect_on_kept_and_new_connections() {
    let kinds = [
        "hang",
        "silent",
        "stale",
        "stale-reset",
        "reset",
        "refuse",
        "lost",
        "busy",
        "error",
        "spoil",
        "die",
        "replace",
        "drain",
    ];

    let threads: Vec<_> = kinds.iter().map(|&kind| std::thread::spawn(move || play(kind))).collect();
    let trace: Vec<String> =
        threads.into_iter().map(|thread| thread.join().expect("the thread does not panic")).collect();

    // Before | during | after.
    expect![[r#"
        hang: own value | kept silence, new silence | kept noise, new own value
        silent: own value | kept silence, new does not come up | kept broken, new own value
        stale: own value | kept silence, new own value | kept silence, new own value
        stale-reset: own value | kept reset, new own value | kept broken, new own value
        reset: own value | kept broken, new reset | kept broken, new own value
        refuse: own value | kept broken, new refused | kept broken, new own value
        lost: own value | kept silence, new silence | kept silence, new own value
        busy: own value | kept busy, new busy | kept own value, new own value
        error: own value | kept error, new error | kept own value, new own value
        spoil: own value | kept noise, new noise | kept silence, new own value
        die: own value | kept broken, new refused | kept broken, new miss
        replace: own value | kept broken, new refused | kept broken, new miss
        drain: own value | kept own value, new own value | kept broken, new refused"#]]
    .assert_eq(&trace.join("\n"));
}

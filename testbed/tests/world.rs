//! The emulated fleet on its sockets, used as by a balancer: each fault does what its name says.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use basaltwood_testbed::ledger::Ledger;
use basaltwood_testbed::time::{to_duration, Clock, Micros, MS};
use basaltwood_testbed::world::World;
use common::*;
use expect_test::expect;

/// A world whose fault on host 0 begins 300 ms after the start and ends 1.6 s after it.
struct Stage {
    clock: Clock,
    address: SocketAddr,
    last_request: u64,
    _world: World,
}

const FAULT_BEGINS: Micros = 300 * MS;
const FAULT_ENDS: Micros = 1_600 * MS;

impl Stage {
    fn new(kind: &str) -> Stage {
        let fault =
            format!("[load]\nrate = 1\n[[faults]]\nkind = \"{kind}\"\nhosts = [0]\nfrom_s = 0.3\nto_s = 1.6");
        let experiment = experiment("seconds = 60.0", &fault);
        let ledger = Ledger::new(Clock::start());
        let mut world = World::start(&experiment, 1, &ledger).expect("a world");
        let clock = ledger.clock.clone();
        clock.start_run_in(0);
        world.run_script(None);
        let known = world.bootstraps[0].known["instances"].as_array().expect("a list").clone();
        let cell = |instance: &&serde_json::Value| instance["cell"] == 0 && instance["machineType"] == "host";
        let address = known.iter().find(cell).expect("host 0")["hostPort"].as_str().expect("an address");
        Stage { clock, address: address.parse().expect("an address"), last_request: 0, _world: world }
    }

    /// Waits until a boundary of the fault has surely taken effect.
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

    /// Reads a key on a connection; the result in a word.
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

    /// Reads a key on a new connection; the result in a word.
    fn request_on_new(&mut self) -> &'static str {
        match self.connect() {
            Ok(mut stream) => self.request(&mut stream),
            Err(cause) => cause,
        }
    }
}

/// Before, during and after a fault: results on a connection from before it, and on a new one.
fn play(kind: &str) -> String {
    let mut stage = Stage::new(kind);
    let mut old = stage.connect().expect("it is there");
    let before = stage.request(&mut old);

    stage.wait_until_after(FAULT_BEGINS);
    let during_on_old = stage.request(&mut old);
    let during_on_new = stage.request_on_new();

    stage.wait_until_after(FAULT_ENDS);
    let mut new = stage.connect();
    let after_on_old = stage.request(&mut old);
    let after_on_new = new.as_mut().map_or_else(|cause| *cause, |stream| stage.request(stream));
    let during = format!("kept {during_on_old}, new {during_on_new}");
    let after = format!("kept {after_on_old}, new {after_on_new}");
    format!("{kind}: {before} | {during} | {after}")
}

#[test]
fn fault_of_each_kind_does_what_its_name_says() {
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

    let playing: Vec<_> = kinds.iter().map(|&kind| std::thread::spawn(move || play(kind))).collect();
    let trace: Vec<String> = playing.into_iter().map(|stage| stage.join().expect("it is played")).collect();

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

//! The lab measures itself and the balancer's own cost: how much the generator can play, what a balancer can carry on one
//! core and how much time it adds, what memory connections take. Against trivial stand-ins in processes of their own, so
//! that nothing but the measured program is busy; every figure stands beside the direct path's in the same run.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp;
use bytes::{BufMut, BytesMut};
use serde::Serialize;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream as Stream};

use crate::balancers::{Balancers, Program, ResourceUsage};
use crate::experiment::{zone_name, Experiment};
use crate::figures::{figures, late, Figures};
use crate::lateness::{judge, LatenessHistograms, ReferenceThread, Verdict};
use crate::ledger::Ledger;
use crate::load::plan::Plan;
use crate::load::player;
use crate::play::{INTERRUPTED, STOP};
use crate::settings::BalancerBootstrap;
use crate::time::{Clock, MS};

const HOSTS: usize = 4;
const AHEAD: crate::time::Micros = 100 * MS;

/// What a measurement plays: reads of 128 bytes, evenly spread, with a target far above what is to be seen.
const PLAYED: &str = r#"
name = "measure"
seconds = 3.0
seeds = [1]
balancers = 1
[limits]
memory_mb = 512
sockets = 8192
[[categories]]
name = "read"
target_ms = 500
ttl_ms = 1000
repeats = "redeliverable"
[fleet]
hosts = 4
[load]
rate = 1000
"#;

/// A stand-in host that answers every read at once with a value made for it. Prints its address and serves until it is
/// ended.
///
/// # Errors
/// One line where no address is free.
pub fn stand_in() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| format!("the runtime: {cause}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|cause| cause.to_string())?;
        println!("{}", listener.local_addr().map_err(|cause| cause.to_string())?);
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(attend(stream));
            }
        }
    })
}

async fn attend(mut stream: Stream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE + 64 * 1024);
    let mut out = BytesMut::new();
    loop {
        loop {
            match resp::parse_complete_command(buffer.bytes()) {
                Ok(Some(resp::CompleteCommand { words, consumed: used })) => {
                    buffer.consume(used);
                    if words.len() < 4 {
                        out.put_slice(b"+PONG\r\n");
                        continue;
                    }
                    let mut value = words[2].to_vec();
                    value.resize(128, b'.');
                    out.put_slice(&resp::encode_reply(Some(&value), None));
                }
                Ok(None) => break,
                Err(_) => return,
            }
        }
        if !out.is_empty() && stream.write_all(&out.split()).await.is_err() {
            return;
        }
        let Ok(room) = buffer.unfilled() else { return };
        if !matches!(stream.read_buf(room).await, Ok(1..)) {
            return;
        }
    }
}

/// A stand-in process, ended when dropped.
struct StandIn {
    child: Child,
    address: SocketAddr,
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl StandIn {
    fn start() -> Result<StandIn, String> {
        let own = std::env::current_exe().map_err(|cause| cause.to_string())?;
        let mut command = Command::new(own);
        let child = command.arg("stand-in").stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let mut child = child.map_err(|cause| format!("a stand-in: {cause}"))?;
        let mut line = String::new();
        let told = child.stdout.take().map(BufReader::new).map(|mut told| told.read_line(&mut line));
        match line.trim().parse() {
            Ok(address) => Ok(StandIn { child, address }),
            Err(_) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(format!("a stand-in did not come up: {told:?}"))
            }
        }
    }
}

/// One point of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    pub path: &'static str,
    pub rate: f64,
    pub served: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub most_ms: f64,
    pub late_p99_ms: f64,
    pub generator_us: f64,
    pub balancer_us: f64,
    /// The part of one core that the balancer used.
    pub balancer_core: f64,
    pub void: bool,
}

#[derive(Clone, Debug, Serialize)]
pub struct Memory {
    pub connections: usize,
    pub resident_kb: u64,
    pub descriptors: usize,
}

struct Bench {
    experiment: Experiment,
    hosts: Vec<StandIn>,
    seed: u64,
}

impl Bench {
    /// Plays so many ops a second for the experiment's length against these addresses.
    fn plays(
        &self,
        rate: f64,
        pipeline: usize,
        connections: usize,
        to: &[SocketAddr],
    ) -> Result<(Figures, bool), String> {
        if STOP.load(Ordering::Relaxed) {
            return Err(INTERRUPTED.to_owned());
        }
        let mut experiment = self.experiment.clone();
        experiment.load.rate = rate;
        (experiment.load.pipeline, experiment.load.connections) = (pipeline, connections);
        let plan = Arc::new(Plan::generate(&experiment, self.seed));
        let ledger = Ledger::new(Clock::start());
        ledger.clock.start_run_in(AHEAD);
        let (progress, beat) = (Arc::default(), Arc::default());
        let bare = ReferenceThread::start().map_err(|cause| cause.to_string())?;
        let played = player::play(&experiment, plan, self.seed, to, &ledger, Vec::new(), progress, beat)
            .map_err(|error| error.to_string())?;
        let (ops, bare) = (late(&played.records), bare.stop());
        let figures = figures(&experiment, &played.records, &ledger.take(), played.cpu_s);
        let verdict = judge(experiment.bounds(figures.benefit), &ops, &LatenessHistograms::default(), &bare);
        Ok((figures, matches!(verdict, Verdict::Void(..))))
    }

    fn point(
        &self,
        path: &'static str,
        rate: f64,
        (pipeline, connections): (usize, usize),
        to: &[SocketAddr],
        balancer: Option<&Balancers>,
    ) -> Result<Point, String> {
        let cpu =
            || balancer.map_or(0.0, |balancer| balancer.sample_usage().iter().map(|used| used.cpu_s).sum());
        let before = cpu();
        let (figures, void) = self.plays(rate, pipeline, connections, to)?;
        let used: f64 = cpu() - before;
        Ok(Point {
            path,
            rate,
            served: figures.served as f64 / figures.requests.max(1) as f64,
            p50_ms: figures.latency.p50,
            p99_ms: figures.latency.p99,
            p999_ms: figures.latency.p999,
            most_ms: figures.latency.max,
            late_p99_ms: figures.late_p99_ms,
            generator_us: figures.generator_us_per_request,
            balancer_us: used * 1e6 / figures.requests.max(1) as f64,
            balancer_core: used / self.experiment.seconds,
            void,
        })
    }

    fn balancer(&self, program: &Program, folder: &Path) -> Result<Balancers, String> {
        let instance = |(nth, host): (usize, &StandIn)| {
            json!({"instanceId": format!("h{nth}"), "hostPort": host.address.to_string(), "zone": zone_name(0),
                   "machineType": "host", "cell": nth, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0})
        };
        let instances: Vec<serde_json::Value> = self.hosts.iter().enumerate().map(instance).collect();
        // Nothing listens at discovery: what is known serves.
        let known = json!({"generation": 1, "reset": true, "instances": instances});
        let seat = BalancerBootstrap { discovery: SocketAddr::from(([127, 0, 0, 1], 1)), known };
        let ledger = Ledger::new(Clock::start());
        Balancers::start(program.clone(), &self.experiment, &[seat], self.seed, &ledger, folder)
            .map_err(|error| error.to_string())
    }
}

/// Measures all of it and tells each line as it comes.
///
/// # Errors
/// One line where a program does not come up, or where it was interrupted.
pub fn measure(
    program: &Program,
    folder: &Path,
    seed: u64,
    tell: &mut dyn FnMut(&str, serde_json::Value),
) -> Result<(), String> {
    let hosts = (0..HOSTS).map(|_| StandIn::start()).collect::<Result<Vec<_>, _>>()?;
    let bench =
        Bench { experiment: Experiment::parse(PLAYED).map_err(|cause| cause.to_string())?, hosts, seed };
    let direct: Vec<SocketAddr> = bench.hosts.iter().map(|host| host.address).collect();
    let mut say = |what: &str, point: &Point| {
        let line = format!(
            "{what:<22}{:>8.0} ops/s  served {:>7.3}%  p50 {:>7.3}  p99 {:>8.3}  p99.9 {:>8.3} ms  late p99 {:>6.3} ms  \
             generator {:>5.1} us/op  balancer {:>5.1} us/op, {:>4.0}% of a core{}",
            point.rate,
            100.0 * point.served,
            point.p50_ms,
            point.p99_ms,
            point.p999_ms,
            point.late_p99_ms,
            point.generator_us,
            point.balancer_us,
            100.0 * point.balancer_core,
            if point.void { "  VOID" } else { "" }
        );
        tell(&line, serde_json::to_value(point).unwrap_or_default());
    };
    for rate in [10_000.0, 20_000.0, 35_000.0, 50_000.0, 70_000.0, 100_000.0] {
        let point = bench.point("generator", rate, (32, 8), &direct, None)?;
        say("generator alone", &point);
        if point.void {
            break;
        }
    }
    // As clients do: one command at a time on a connection.
    const ONE: (usize, usize) = (1, 512);
    let balancer = bench.balancer(program, folder)?;
    let through = balancer.addresses();
    let mut ceiling = 1_000.0;
    let mut rate: f64 = 2_000.0;
    while rate < 60_000.0 {
        let point = bench.point("ceiling", rate, ONE, &through, Some(&balancer))?;
        say("through the balancer", &point);
        // Carried: nothing is refused, and nearly all comes back without standing in a queue.
        if point.void || point.served < 0.999 || point.p99_ms > 20.0 {
            break;
        }
        ceiling = rate;
        rate *= 1.25;
    }
    for part in [0.1, 0.5, 0.9] {
        let rate = (ceiling * part).round();
        say("direct", &bench.point("direct", rate, ONE, &direct, None)?);
        say("through the balancer", &bench.point("through", rate, ONE, &through, Some(&balancer))?);
    }
    drop(balancer);
    for connections in [10, 1_000, 10_000] {
        let memory = bench.memory(program, folder, connections)?;
        let line = format!(
            "{connections:>6} idle connections: {} kB resident, {} descriptors",
            memory.resident_kb, memory.descriptors
        );
        tell(&line, serde_json::to_value(&memory).unwrap_or_default());
    }
    Ok(())
}

impl Bench {
    /// A balancer that so many clients have spoken to once and keep their connections to.
    fn memory(&self, program: &Program, folder: &Path, connections: usize) -> Result<Memory, String> {
        let mut wide = Bench { experiment: self.experiment.clone(), hosts: Vec::new(), seed: self.seed };
        // Clients hold half of a balancer's descriptors at the most.
        wide.experiment.limits.sockets = 2 * connections + 1_024;
        let balancer = wide.balancer(program, folder)?;
        let address = balancer.addresses()[0];
        let mut clients = Vec::with_capacity(connections);
        for nth in 0..connections {
            let failed = |cause: std::io::Error| format!("client {nth} of {connections}: {cause}");
            let mut client = TcpStream::connect_timeout(&address, Duration::from_secs(2)).map_err(failed)?;
            client.write_all(b"PING\r\n").map_err(failed)?;
            client.set_read_timeout(Some(Duration::from_secs(2))).map_err(failed)?;
            client.read_exact(&mut [0; 7]).map_err(failed)?;
            clients.push(client);
        }
        let used: ResourceUsage = balancer.sample_usage().first().copied().unwrap_or_default();
        Ok(Memory { connections, resident_kb: used.resident_kb, descriptors: used.descriptors })
    }
}

//! The testbed measures itself and the balancer's own cost: how much the generator can play, what a
//! balancer can carry on one core and how much time it adds, what memory connections take. Against
//! trivial stand-ins in processes of their own, so that nothing but the measured program is busy;
//! every figure stands beside the direct path's in the same run.

use std::io::{self, BufRead, BufReader, Read, Write};
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
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream as Stream};

use crate::balancers::{BalancerError, Balancers, Program, ResourceUsage};
use crate::experiment::{zone_name, Experiment, ExperimentError};
use crate::figures::{figures, request_lateness, Figures};
use crate::lateness::{judge, LatenessHistograms, ReferenceThread, ThreadError, Verdict};
use crate::ledger::Ledger;
use crate::load::plan::Plan;
use crate::load::player::{self, LoadError};
use crate::play::{INTERRUPTED, STOP};
use crate::settings::BalancerBootstrap;
use crate::time::{Clock, Micros, MS};

/// How many stand-ins serve as hosts.
const HOSTS: usize = 4;
/// From the start of the generator to the first request.
const START_DELAY: Micros = 100 * MS;
/// The rates at which the generator plays alone, in requests a second.
const GENERATOR_RATES: [f64; 6] = [10_000.0, 20_000.0, 35_000.0, 50_000.0, 70_000.0, 100_000.0];
/// The connections of the generator alone.
const GENERATOR_LOAD: Connections = Connections { pipeline: 32, count: 8 };
/// As clients do: one command at a time on a connection.
const CLIENT_LOAD: Connections = Connections { pipeline: 1, count: 512 };
/// The search for the ceiling starts here and goes up by a quarter each time, in requests a second.
const FIRST_CEILING_RATE: f64 = 2_000.0;
/// The search ends here at the latest.
const LAST_CEILING_RATE: f64 = 60_000.0;
/// The ceiling where not even the first rate is carried.
const SMALLEST_CEILING: f64 = 1_000.0;
/// A rate is carried where nothing is refused,
const CARRIED_SERVED: f64 = 0.999;
/// and nearly all is answered without standing in a queue.
const CARRIED_P99_MS: f64 = 20.0;
/// At these parts of the ceiling the balancer is compared with the direct path.
const COMPARED_PARTS: [f64; 3] = [0.1, 0.5, 0.9];
/// Memory is measured with so many idle connections.
const IDLE_CONNECTIONS: [usize; 3] = [10, 1_000, 10_000];
/// How long a client of those waits for its connection and for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// What a measurement plays: reads of 128 bytes, evenly spread, with a target far above what is to
/// be seen.
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

/// Nothing could be measured.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// The user wanted it to end.
    #[error("{INTERRUPTED}")]
    Interrupted,
    /// No runtime could be had.
    #[error("the runtime: {0}")]
    Runtime(io::Error),
    /// A stand-in can't listen, or this program can't be found.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A stand-in can't be started.
    #[error("a stand-in: {0}")]
    StandIn(io::Error),
    /// A stand-in printed no address.
    #[error("a stand-in did not come up: {0:?}")]
    StandInSilent(Option<io::Result<usize>>),
    /// What is to be played is of no use.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// There is no further thread.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// The load can't be played.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The balancer did not come up.
    #[error(transparent)]
    Balancer(#[from] BalancerError),
    /// A client of the balancer has no connection or no answer.
    #[error("client {nth} of {count}: {cause}")]
    Client {
        /// Which client, from 0.
        nth: usize,
        /// How many there are.
        count: usize,
        /// What went wrong.
        cause: io::Error,
    },
}

/// A stand-in host that answers every read at once with a value made for it. Prints its address and
/// serves until it is ended.
///
/// # Errors
/// One line where no address is free.
pub fn stand_in() -> Result<(), MeasureError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(MeasureError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
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
    fn start() -> Result<StandIn, MeasureError> {
        let own = std::env::current_exe()?;
        let mut command = Command::new(own);
        let child = command.arg("stand-in").stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let mut child = child.map_err(MeasureError::StandIn)?;
        let mut line = String::new();
        let stdout = child.stdout.take().map(BufReader::new);
        let read = stdout.map(|mut stdout| stdout.read_line(&mut line));
        match line.trim().parse() {
            Ok(address) => Ok(StandIn { child, address }),
            Err(_) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(MeasureError::StandInSilent(read))
            }
        }
    }
}

/// One point of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// What was measured: `generator`, `ceiling`, `direct` or `through`.
    pub path: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// The part of them that was served.
    pub served: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// Its 99th percentile.
    pub p99_ms: f64,
    /// Its 99.9th percentile.
    pub p999_ms: f64,
    /// The longest.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
    /// By how much requests left late.
    pub late_p99_ms: f64,
    /// CPU of the generator, microseconds a request.
    pub generator_us: f64,
    /// CPU of the balancer, microseconds a request.
    pub balancer_us: f64,
    /// The part of one core that the balancer used.
    pub balancer_core: f64,
    /// Whether it counts for nothing: generator or machine were late.
    pub void: bool,
}

impl Point {
    fn is_carried(&self) -> bool {
        !self.void && self.served >= CARRIED_SERVED && self.p99_ms <= CARRIED_P99_MS
    }

    /// A line for a terminal.
    fn line(&self, what: &str) -> String {
        format!(
            "{what:<22}{:>8.0} ops/s  served {:>7.3}%  p50 {:>7.3}  p99 {:>8.3}  p99.9 {:>8.3} ms  \
             late p99 {:>6.3} ms  generator {:>5.1} us/op  balancer {:>5.1} us/op, {:>4.0}% of a core{}",
            self.rate,
            100.0 * self.served,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.late_p99_ms,
            self.generator_us,
            self.balancer_us,
            100.0 * self.balancer_core,
            if self.void { "  VOID" } else { "" }
        )
    }
}

/// What a balancer takes for idle connections.
#[derive(Clone, Debug, Serialize)]
pub struct Memory {
    /// How many.
    pub connections: usize,
    /// Resident memory.
    pub resident_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// How the generator uses its connections.
#[derive(Clone, Copy)]
struct Connections {
    /// Commands in flight on one at a time.
    pipeline: usize,
    /// How many to each address.
    count: usize,
}

struct Bench {
    experiment: Experiment,
    hosts: Vec<StandIn>,
    seed: u64,
}

impl Bench {
    /// Plays so many requests a second for the experiment's length against these addresses: the
    /// figures, and whether they are void.
    fn play(
        &self,
        rate: f64,
        connections: Connections,
        to: &[SocketAddr],
    ) -> Result<(Figures, bool), MeasureError> {
        if STOP.load(Ordering::Relaxed) {
            return Err(MeasureError::Interrupted);
        }
        let mut experiment = self.experiment.clone();
        experiment.load.rate = rate;
        experiment.load.pipeline = connections.pipeline;
        experiment.load.connections = connections.count;
        let plan = Arc::new(Plan::generate(&experiment, self.seed));
        let ledger = Ledger::new(Clock::start());
        ledger.clock.start_run_in(START_DELAY);
        let (progress, lateness) = (Arc::default(), Arc::default());
        let reference = ReferenceThread::start()?;
        let played = player::play(&experiment, plan, self.seed, to, &ledger, Vec::new(), progress, lateness)?;
        let (requests, reference) = (request_lateness(&played.records), reference.stop());
        let figures = figures(&experiment, &played.records, &ledger.take(), played.cpu_s);
        let bounds = experiment.bounds(figures.benefit);
        let verdict = judge(bounds, &requests, &LatenessHistograms::default(), &reference);
        Ok((figures, matches!(verdict, Verdict::Void(..))))
    }

    fn point(
        &self,
        path: &'static str,
        rate: f64,
        connections: Connections,
        to: &[SocketAddr],
        balancer: Option<&Balancers>,
    ) -> Result<Point, MeasureError> {
        let cpu_before = cpu_seconds(balancer);
        let (figures, void) = self.play(rate, connections, to)?;
        let cpu_s = cpu_seconds(balancer) - cpu_before;
        let requests = figures.requests.max(1) as f64;
        Ok(Point {
            path,
            rate,
            served: figures.served as f64 / requests,
            p50_ms: figures.latency.p50,
            p99_ms: figures.latency.p99,
            p999_ms: figures.latency.p999,
            max_ms: figures.latency.max,
            late_p99_ms: figures.late_p99_ms,
            generator_us: figures.generator_us_per_request,
            balancer_us: cpu_s * 1e6 / requests,
            balancer_core: cpu_s / self.experiment.seconds,
            void,
        })
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.address).collect()
    }

    fn start_balancer(&self, program: &Program, folder: &Path) -> Result<Balancers, MeasureError> {
        let instance = |(nth, host): (usize, &StandIn)| {
            json!({
                "instanceId": format!("h{nth}"),
                "hostPort": host.address.to_string(),
                "zone": zone_name(0),
                "machineType": "host",
                "cell": nth,
                "lifecycle": "active",
                "weight": 1.0,
                "startedAtMs": 0,
            })
        };
        let instances: Vec<serde_json::Value> = self.hosts.iter().enumerate().map(instance).collect();
        // Nothing listens at discovery: what is known serves.
        let known = json!({"generation": 1, "reset": true, "instances": instances});
        let discovery = SocketAddr::from(([127, 0, 0, 1], 1));
        let bootstrap = BalancerBootstrap { discovery, known };
        let ledger = Ledger::new(Clock::start());
        let started =
            Balancers::start(program.clone(), &self.experiment, &[bootstrap], self.seed, &ledger, folder)?;
        Ok(started)
    }

    /// The generator alone, as fast as it goes.
    fn measure_generator(&self, print: &mut PrintPoint) -> Result<(), MeasureError> {
        for rate in GENERATOR_RATES {
            let point = self.point("generator", rate, GENERATOR_LOAD, &self.addresses(), None)?;
            print("generator alone", &point);
            if point.void {
                break;
            }
        }
        Ok(())
    }

    /// The highest rate that a balancer carries, in requests a second.
    fn measure_ceiling(&self, balancer: &Balancers, print: &mut PrintPoint) -> Result<f64, MeasureError> {
        let through = balancer.addresses();
        let mut ceiling = SMALLEST_CEILING;
        let mut rate = FIRST_CEILING_RATE;
        while rate < LAST_CEILING_RATE {
            let point = self.point("ceiling", rate, CLIENT_LOAD, &through, Some(balancer))?;
            print("through the balancer", &point);
            if !point.is_carried() {
                break;
            }
            ceiling = rate;
            rate *= 1.25;
        }
        Ok(ceiling)
    }

    /// The balancer beside the direct path.
    fn compare_with_direct(
        &self,
        balancer: &Balancers,
        ceiling: f64,
        print: &mut PrintPoint,
    ) -> Result<(), MeasureError> {
        for part in COMPARED_PARTS {
            let rate = (ceiling * part).round();
            let direct = self.point("direct", rate, CLIENT_LOAD, &self.addresses(), None)?;
            print("direct", &direct);
            let addresses = balancer.addresses();
            let through = self.point("through", rate, CLIENT_LOAD, &addresses, Some(balancer))?;
            print("through the balancer", &through);
        }
        Ok(())
    }

    /// A balancer that so many clients have spoken to once and keep their connections to.
    fn measure_memory(
        &self,
        program: &Program,
        folder: &Path,
        connections: usize,
    ) -> Result<Memory, MeasureError> {
        let mut wide = Bench { experiment: self.experiment.clone(), hosts: Vec::new(), seed: self.seed };
        // Clients hold half of a balancer's descriptors at the most.
        wide.experiment.limits.sockets = 2 * connections + 1_024;
        let balancer = wide.start_balancer(program, folder)?;
        let address = balancer.addresses()[0];
        let mut clients = Vec::with_capacity(connections);
        for nth in 0..connections {
            let client =
                ping(address).map_err(|cause| MeasureError::Client { nth, count: connections, cause })?;
            clients.push(client);
        }
        let used: ResourceUsage = balancer.sample_usage().first().copied().unwrap_or_default();
        Ok(Memory { connections, resident_kb: used.resident_kb, descriptors: used.descriptors })
    }
}

type PrintPoint<'a> = dyn FnMut(&str, &Point) + 'a;

fn cpu_seconds(balancer: Option<&Balancers>) -> f64 {
    let usage = balancer.map(Balancers::sample_usage).unwrap_or_default();
    usage.iter().map(|used| used.cpu_s).sum()
}

/// A connection on which one command was answered.
fn ping(address: SocketAddr) -> io::Result<TcpStream> {
    let mut client = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT)?;
    client.write_all(b"PING\r\n")?;
    client.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    client.read_exact(&mut [0; 7])?;
    Ok(client)
}

/// Measures all of it, and passes each line as it comes, for people and as JSON.
///
/// # Errors
/// Where a program does not come up, or where it was interrupted.
pub fn measure(
    program: &Program,
    folder: &Path,
    seed: u64,
    print: &mut dyn FnMut(&str, serde_json::Value),
) -> Result<(), MeasureError> {
    let hosts = (0..HOSTS).map(|_| StandIn::start()).collect::<Result<Vec<_>, _>>()?;
    let bench = Bench { experiment: Experiment::parse(PLAYED)?, hosts, seed };
    let mut print_point = |what: &str, point: &Point| {
        print(&point.line(what), serde_json::to_value(point).unwrap_or_default());
    };
    bench.measure_generator(&mut print_point)?;
    let balancer = bench.start_balancer(program, folder)?;
    let ceiling = bench.measure_ceiling(&balancer, &mut print_point)?;
    bench.compare_with_direct(&balancer, ceiling, &mut print_point)?;
    drop(balancer);
    for connections in IDLE_CONNECTIONS {
        let memory = bench.measure_memory(program, folder, connections)?;
        let line = format!(
            "{connections:>6} idle connections: {} kB resident, {} descriptors",
            memory.resident_kb, memory.descriptors
        );
        print(&line, serde_json::to_value(&memory).unwrap_or_default());
    }
    Ok(())
}

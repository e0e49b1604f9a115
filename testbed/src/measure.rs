//! Measures the load generator's highest rate and a balancer's costs: the rate it carries on one
//! core, the latency it adds, and the memory that idle connections take. Trivial stand-ins in
//! separate processes serve as hosts, so that only the measured program is busy. The balancer's
//! figures are compared with those of the direct path in the same run.

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

/// The number of stand-ins that serve as hosts.
const HOSTS: usize = 4;
/// The time from the start of the generator to the start of the run.
const START_DELAY: Micros = 100 * MS;
/// The rates of the generator without a balancer, in requests per second.
const GENERATOR_RATES: [f64; 6] = [10_000.0, 20_000.0, 35_000.0, 50_000.0, 70_000.0, 100_000.0];
/// The connections of the generator without a balancer.
const GENERATOR_LOAD: Connections = Connections { pipeline: 32, count: 8 };
/// The connections of usual clients: one command at a time on each.
const CLIENT_LOAD: Connections = Connections { pipeline: 1, count: 512 };
/// The first rate of the search for the ceiling, in requests per second; each next rate is a
/// quarter higher.
const FIRST_CEILING_RATE: f64 = 2_000.0;
/// The upper bound of the search for the ceiling, in requests per second.
const LAST_CEILING_RATE: f64 = 60_000.0;
/// The ceiling if not even the first rate is carried, in requests per second.
const SMALLEST_CEILING: f64 = 1_000.0;
/// The fraction of the requests that must be served for a rate to count as carried.
const CARRIED_SERVED: f64 = 0.999;
/// The highest 99th percentile of a carried rate: nearly all requests are served without queueing.
const CARRIED_P99_MS: f64 = 20.0;
/// The fractions of the ceiling at which the balancer is compared with the direct path.
const COMPARED_FRACTIONS: [f64; 3] = [0.1, 0.5, 0.9];
/// The numbers of idle connections at which memory is measured.
const IDLE_CONNECTIONS: [usize; 3] = [10, 1_000, 10_000];
/// How long a client with an idle connection waits for the connection and for its one reply.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// The experiment that measurements play: reads of 128 bytes with Poisson arrivals and a latency
/// objective far above the latencies expected. `redeliverable` becomes `retryable` in the
/// balancer's settings.
const EXPERIMENT: &str = r#"
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

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// The user interrupted the measurement.
    #[error("{INTERRUPTED}")]
    Interrupted,
    /// The async runtime could not be built.
    #[error("cannot build the async runtime: {0}")]
    Runtime(io::Error),
    /// A stand-in can't listen, or the path of this program can't be found.
    #[error("cannot listen as a stand-in host, or find the path of this program: {0}")]
    System(#[from] io::Error),
    /// A stand-in can't be started.
    #[error("cannot start a stand-in host: {0}")]
    StandIn(io::Error),
    /// A stand-in printed no address.
    #[error("expected a stand-in host to print its address, but {}", describe_output(.0))]
    StandInSilent(Option<io::Result<usize>>),
    /// The experiment that measurements play is invalid.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A thread could not be started.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// The load can't be played.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The balancer could not be started.
    #[error(transparent)]
    Balancer(#[from] BalancerError),
    /// A client got no connection to the balancer or no reply.
    #[error("client {nth} of {count}: {cause}")]
    Client {
        /// The client's number, from 0.
        nth: usize,
        /// The number of clients.
        count: usize,
        /// The I/O error.
        cause: io::Error,
    },
}

/// Describes the output that a stand-in printed instead of an address.
fn describe_output(read: &Option<io::Result<usize>>) -> String {
    match read {
        None => "its output is not captured".to_owned(),
        Some(Err(cause)) => format!("its output could not be read: {cause}"),
        Some(Ok(0)) => "it ended without output".to_owned(),
        Some(Ok(bytes)) => format!("its first line, of {bytes} bytes, is not an address"),
    }
}

/// Serves as a stand-in host that answers every read at once with a value made for it. Prints its
/// address and serves until the process is ended.
///
/// # Errors
/// Fails if no address is free.
pub fn stand_in() -> Result<(), MeasureError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(MeasureError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve_connection(stream));
            }
        }
    })
}

async fn serve_connection(mut stream: Stream) {
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
        let Ok(mut unfilled) = buffer.unfilled() else { return };
        if !matches!(stream.read_buf(&mut unfilled).await, Ok(1..)) {
            return;
        }
    }
}

/// A stand-in process; it is killed on drop.
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
    /// The measured path: `generator`, `ceiling`, `direct` or `through`.
    pub path: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// The fraction of the requests that were served.
    pub served: f64,
    /// The median latency.
    pub p50_ms: f64,
    /// The 99th percentile of the latency.
    pub p99_ms: f64,
    /// The 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// The longest latency.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
    /// The 99th percentile of the requests' lateness when sent.
    pub late_p99_ms: f64,
    /// CPU time of the generator, in microseconds per request.
    pub generator_us: f64,
    /// CPU time of the balancer, in microseconds per request.
    pub balancer_us: f64,
    /// The fraction of one core that the balancer used.
    pub balancer_core: f64,
    /// Whether the point is invalid because the generator or the machine was late.
    pub void: bool,
}

impl Point {
    fn is_carried(&self) -> bool {
        !self.void && self.served >= CARRIED_SERVED && self.p99_ms <= CARRIED_P99_MS
    }

    /// The point as a line for a terminal.
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

/// The resources that a balancer uses for idle connections.
#[derive(Clone, Debug, Serialize)]
pub struct Memory {
    /// The number of connections.
    pub connections: usize,
    /// Resident memory.
    pub resident_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// How the generator uses its connections.
#[derive(Clone, Copy)]
struct Connections {
    /// The largest number of commands in flight on one connection.
    pipeline: usize,
    /// The largest number of connections to each address.
    count: usize,
}

/// The setting of the measurements: the experiment, the stand-ins and the seed.
struct Bench {
    experiment: Experiment,
    hosts: Vec<StandIn>,
    seed: u64,
}

impl Bench {
    /// Plays this rate, in requests per second, for the experiment's length against these
    /// addresses. Returns the figures and whether they are void.
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
        // Nothing listens at the discovery address: the balancer keeps its configured list.
        let known = json!({"generation": 1, "reset": true, "instances": instances});
        let discovery = SocketAddr::from(([127, 0, 0, 1], 1));
        let bootstrap = BalancerBootstrap { discovery, known };
        let ledger = Ledger::new(Clock::start());
        let started =
            Balancers::start(program.clone(), &self.experiment, &[bootstrap], self.seed, &ledger, folder)?;
        Ok(started)
    }

    /// Measures the generator without a balancer, at rising rates until it is too late.
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

    /// The highest rate that a balancer carries, in requests per second.
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

    /// Measures the direct path and the balancer at the same rates.
    fn compare_with_direct(
        &self,
        balancer: &Balancers,
        ceiling: f64,
        print: &mut PrintPoint,
    ) -> Result<(), MeasureError> {
        for fraction in COMPARED_FRACTIONS {
            let rate = (ceiling * fraction).round();
            let direct = self.point("direct", rate, CLIENT_LOAD, &self.addresses(), None)?;
            print("direct", &direct);
            let addresses = balancer.addresses();
            let through = self.point("through", rate, CLIENT_LOAD, &addresses, Some(balancer))?;
            print("through the balancer", &through);
        }
        Ok(())
    }

    /// Measures a balancer with this many connections that carried one command and are now idle.
    fn measure_memory(
        &self,
        program: &Program,
        folder: &Path,
        connections: usize,
    ) -> Result<Memory, MeasureError> {
        let mut wide = Bench { experiment: self.experiment.clone(), hosts: Vec::new(), seed: self.seed };
        // A balancer uses at most half of its descriptors for clients.
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

/// Opens a connection and exchanges one command on it.
fn ping(address: SocketAddr) -> io::Result<TcpStream> {
    let mut client = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT)?;
    client.write_all(b"PING\r\n")?;
    client.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    client.read_exact(&mut [0; 7])?;
    Ok(client)
}

/// Runs all measurements and calls `print` for each result, with a line of text and its JSON.
///
/// # Errors
/// Fails if a program can't be started or the measurement is interrupted.
pub fn measure(
    program: &Program,
    folder: &Path,
    seed: u64,
    print: &mut dyn FnMut(&str, serde_json::Value),
) -> Result<(), MeasureError> {
    let hosts = (0..HOSTS).map(|_| StandIn::start()).collect::<Result<Vec<_>, _>>()?;
    let bench = Bench { experiment: Experiment::parse(EXPERIMENT)?, hosts, seed };
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

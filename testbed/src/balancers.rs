//! The balancers of a run: started as programs with a file of their own, watched through /proc, killed and started again
//! by the script. Only what was started here is ever ended, by its process id.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ledger::{Ledger, What};
use crate::script::{Arm, Experiment};
use crate::settings::{self, BalancerBootstrap};
use crate::time::Micros;

/// Where a balancer looks for the path of its map of zones to regions.
const REGIONS: &str = "BASALTWOOD_REGIONS";
const READY: Duration = Duration::from_secs(20);

/// What an arm starts: the program and its arguments.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub arguments: Vec<String>,
    /// An operators' map of zones to regions, if it is given one.
    pub regions: Option<PathBuf>,
}

impl Program {
    /// # Errors
    /// Where there is no such program; the line says what to build.
    pub fn for_arm(arm: &Arm) -> Result<Program, String> {
        let own = || std::env::current_exe().map_err(|cause| format!("where this program lies: {cause}"));
        let regions = arm.regions.clone();
        let program = match (&arm.program, arm.baseline) {
            (Some(_), Some(_)) => {
                return Err(format!("arm {}: a program or a baseline, not both", arm.name));
            }
            (Some(path), None) => Program { path: path.clone(), arguments: Vec::new(), regions },
            (None, Some(baseline)) => {
                let arguments = vec!["router".to_owned(), baseline.name().to_owned()];
                Program { path: own()?, arguments, regions }
            }
            (None, None) => {
                let path = own()?.with_file_name("basaltwood-balancer");
                Program { path, arguments: Vec::new(), regions }
            }
        };
        if program.path.is_file() {
            Ok(program)
        } else {
            let path = program.path.display();
            Err(format!(
                "arm {}: there is no program {path}: build it with `cargo build --release`",
                arm.name
            ))
        }
    }
}

/// What a process has used, read from /proc.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ResourceUsage {
    pub cpu_s: f64,
    /// Resident, in kB; and the most so far.
    pub resident_kb: u64,
    pub peak_kb: u64,
    pub descriptors: usize,
}

struct Running {
    child: Child,
    /// CPU of earlier processes in this place.
    before: ResourceUsage,
    most: ResourceUsage,
}

struct Place {
    listen: SocketAddr,
    running: Option<Running>,
    last: ResourceUsage,
    /// It ended by itself: with what.
    died: Option<String>,
}

struct Inner {
    program: Program,
    folder: PathBuf,
    experiment: Experiment,
    seats: Vec<BalancerBootstrap>,
    seed: u64,
    ledger: Ledger,
    places: Vec<Place>,
}

/// All balancers of a run; clones are the same. What still runs when the last is dropped is ended.
#[derive(Clone)]
pub struct Balancers(Arc<Mutex<Inner>>);

impl Drop for Inner {
    fn drop(&mut self) {
        for place in &mut self.places {
            if let Some(mut running) = place.running.take() {
                let _ = running.child.kill();
                let _ = running.child.wait();
            }
        }
    }
}

impl Balancers {
    /// Starts one for each seat, and waits until all serve. Their files and logs go to `folder`.
    ///
    /// # Errors
    /// One line: which did not come up, with the last line of its log.
    pub fn start(
        program: Program,
        experiment: &Experiment,
        seats: &[BalancerBootstrap],
        seed: u64,
        ledger: &Ledger,
        folder: &Path,
    ) -> Result<Balancers, String> {
        let mut places = Vec::new();
        for nth in 0..seats.len() {
            // Free now, and taken over at once: the address stays the same when it starts again.
            let any = SocketAddr::from((Ipv4Addr::new(127, 30, 0, nth as u8 + 1), 0));
            let free = TcpListener::bind(any).and_then(|listener| listener.local_addr());
            let listen = free.map_err(|cause| format!("an address for balancer {nth}: {cause}"))?;
            places.push(Place { listen, running: None, last: ResourceUsage::default(), died: None });
        }
        let inner = Inner {
            program,
            folder: folder.to_owned(),
            experiment: experiment.clone(),
            seats: seats.to_vec(),
            seed,
            ledger: ledger.clone(),
            places,
        };
        let balancers = Balancers(Arc::new(Mutex::new(inner)));
        for (nth, seat) in seats.iter().enumerate() {
            balancers.inner().spawn(nth, &seat.known)?;
        }
        for nth in 0..seats.len() {
            balancers.ready(nth)?;
        }
        Ok(balancers)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.inner().places.iter().map(|place| place.listen).collect()
    }

    /// The processes that run now.
    pub fn process_ids(&self) -> Vec<u32> {
        let inner = self.inner();
        let running = inner.places.iter().filter_map(|place| place.running.as_ref());
        running.map(|running| running.child.id()).collect()
    }

    fn ready(&self, nth: usize) -> Result<(), String> {
        let began = Instant::now();
        let address = self.addresses()[nth];
        while began.elapsed() < READY {
            if pings(address) {
                return Ok(());
            }
            let mut inner = self.inner();
            let running = inner.places[nth].running.as_mut();
            if let Some(Ok(Some(status))) = running.map(|running| running.child.try_wait()) {
                return Err(format!("balancer {nth} ended with {status}: {}", inner.last_line(nth)));
            }
            drop(inner);
            std::thread::sleep(Duration::from_millis(2));
        }
        Err(format!("balancer {nth} does not answer PING: {}", self.inner().last_line(nth)))
    }

    /// Kills one outright.
    pub fn kill(&self, nth: usize) {
        let mut inner = self.inner();
        inner.sample_usage();
        inner.ledger.note(What::Balancer { balancer: nth, up: false });
        if let Some(mut running) = inner.places[nth].running.take() {
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
    }

    /// Starts one again at its address, with the list as it stands now.
    pub fn restart(&self, nth: usize, known: &Value) {
        let mut inner = self.inner();
        match inner.spawn(nth, known) {
            Ok(()) => inner.ledger.note(What::Balancer { balancer: nth, up: true }),
            Err(cause) => log::warn!("{cause}"),
        }
    }

    /// What each has used so far; also finds those that have ended by themselves.
    pub fn sample_usage(&self) -> Vec<ResourceUsage> {
        self.inner().sample_usage()
    }

    /// What each says it has counted, by name: it is asked by SIGUSR1 and answers with a line of `name=number` in its log.
    /// For the end of a run: a program that does not know the signal ends by it.
    pub fn counters(&self) -> Vec<BTreeMap<String, u64>> {
        let logs = |inner: &Inner| -> Vec<Vec<String>> {
            (0..inner.places.len()).map(|nth| inner.lines_with(nth, "counters: ")).collect()
        };
        let before: Vec<usize> = {
            let inner = self.inner();
            let running = inner.places.iter().filter_map(|place| place.running.as_ref());
            let ids: Vec<String> = running.map(|running| running.child.id().to_string()).collect();
            let before = logs(&inner).iter().map(Vec::len).collect();
            let _ = Command::new("kill").arg("-USR1").args(&ids).stderr(Stdio::null()).status();
            before
        };
        let began = Instant::now();
        loop {
            let lines = logs(&self.inner());
            let all = lines.iter().zip(&before).all(|(lines, before)| lines.len() > *before);
            if all || began.elapsed() > Duration::from_millis(500) {
                return lines
                    .iter()
                    .map(|lines| lines.last().map_or_else(BTreeMap::new, |line| counted(line)))
                    .collect();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Those that ended by themselves, and how.
    pub fn unexpected_exits(&self) -> Vec<String> {
        let inner = self.inner();
        let died = inner.places.iter().enumerate();
        died.filter_map(|(nth, place)| Some(format!("balancer {nth}: {}", place.died.as_ref()?))).collect()
    }
}

impl Inner {
    fn spawn(&mut self, nth: usize, known: &Value) -> Result<(), String> {
        let failed = |cause: std::io::Error| format!("balancer {nth}: {cause}");
        let place = &mut self.places[nth];
        let seat = BalancerBootstrap { known: known.clone(), ..self.seats[nth].clone() };
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(nth as u64);
        let told = settings::balancer_config(&self.experiment, &format!("n{nth}"), place.listen, &seat, seed);
        let file = self.folder.join(format!("balancer-{nth}.json"));
        std::fs::write(&file, told.to_string()).map_err(failed)?;
        let log = File::options().create(true).append(true).open(self.folder.join(log_name(nth)));
        let mut command = Command::new(&self.program.path);
        command.args(&self.program.arguments).env("PROXY_CONFIG", &file).stdin(Stdio::null());
        command.env_remove(REGIONS);
        if let Some(regions) = &self.program.regions {
            command.env(REGIONS, regions);
        }
        command.stdout(Stdio::null()).stderr(log.map_err(failed)?);
        let child = command.spawn().map_err(failed)?;
        let before = ResourceUsage { descriptors: 0, ..place.last };
        place.running = Some(Running { child, before, most: before });
        Ok(())
    }

    fn sample_usage(&mut self) -> Vec<ResourceUsage> {
        let mut died = Vec::new();
        for (nth, place) in self.places.iter_mut().enumerate() {
            let Some(running) = &mut place.running else { continue };
            if let Ok(Some(status)) = running.child.try_wait() {
                died.push((nth, status));
                place.running = None;
                continue;
            }
            if let Some(now) = used(running.child.id()) {
                running.most = ResourceUsage {
                    cpu_s: running.before.cpu_s + now.cpu_s,
                    resident_kb: now.resident_kb,
                    peak_kb: running.before.peak_kb.max(now.peak_kb),
                    descriptors: running.most.descriptors.max(now.descriptors),
                };
                place.last = running.most;
            }
        }
        for (nth, status) in died {
            let line = self.last_line(nth);
            self.places[nth].died = Some(format!("ended by itself with {status}: {line}"));
            self.ledger.note(What::Balancer { balancer: nth, up: false });
        }
        self.places.iter().map(|place| place.last).collect()
    }

    fn lines_with(&self, nth: usize, what: &str) -> Vec<String> {
        let Ok(file) = File::open(self.folder.join(log_name(nth))) else { return Vec::new() };
        BufReader::new(file).lines().map_while(Result::ok).filter(|line| line.contains(what)).collect()
    }

    fn last_line(&self, nth: usize) -> String {
        let Ok(file) = File::open(self.folder.join(log_name(nth))) else { return String::new() };
        BufReader::new(file).lines().map_while(Result::ok).last().unwrap_or_default()
    }
}

fn counted(line: &str) -> BTreeMap<String, u64> {
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    pairs.filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?))).collect()
}

fn log_name(nth: usize) -> String {
    format!("balancer-{nth}.log")
}

fn pings(address: SocketAddr) -> bool {
    let asked = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"PING\r\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line)
    };
    asked().is_ok_and(|line| line.trim_end() == "+PONG")
}

/// Read from /proc; `None` once the process is gone.
fn used(id: u32) -> Option<ResourceUsage> {
    let folder = PathBuf::from(format!("/proc/{id}"));
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let kb = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().trim_end_matches(" kB").parse::<u64>().ok()
    };
    // Time on a core in nanoseconds: finer than the ticks of `stat`.
    let time = std::fs::read_to_string(folder.join("schedstat")).ok()?;
    let time = time.split(' ').next()?.trim().parse::<f64>().ok()?;
    Some(ResourceUsage {
        cpu_s: time / 1e9,
        resident_kb: kb("VmRSS:").unwrap_or(0),
        peak_kb: kb("VmHWM:").unwrap_or(0),
        descriptors: std::fs::read_dir(folder.join("fd")).map_or(0, |entries| entries.count()),
    })
}

/// The time by which a balancer that was killed has surely let go of its connections, as its clients see it.
pub const RELEASED_AFTER_KILL: Micros = 500_000;

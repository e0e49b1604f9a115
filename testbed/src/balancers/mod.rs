//! The balancer processes of a run: each is started with its own settings file, observed through
//! /proc, and killed and restarted by the script. Signals go only to processes started here.

mod program;
mod usage;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use basaltwood_fault_control::FaultControl;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use thiserror::Error;

use crate::experiment::Experiment;
use crate::ledger::{Ledger, Observation};
use crate::settings::{self, BalancerBootstrap};
use crate::time::Micros;
pub use program::{Program, ProgramError};
pub use usage::ResourceUsage;

/// Environment variable with the path of a balancer's map of zones to regions.
const REGIONS_VARIABLE: &str = "BASALTWOOD_REGIONS";
/// Time within which a started balancer must answer PING.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time that balancers are given to write their counters to their logs.
const COUNTERS_TIMEOUT: Duration = Duration::from_millis(500);
const COUNTERS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time after a kill by which clients have seen all the balancer's connections close, in
/// microseconds.
pub const RELEASED_AFTER_KILL: Micros = 500_000;

/// Why balancers could not be started.
#[derive(Debug, Error)]
pub enum BalancerError {
    /// No free address was found.
    #[error("cannot find a free loopback address for balancer {balancer}: {cause}")]
    Address {
        /// The balancer's index.
        balancer: usize,
        /// The system's error.
        cause: std::io::Error,
    },
    /// Its files could not be written, or its process could not be started.
    #[error("cannot start balancer {balancer}: {cause}")]
    Start {
        /// The balancer's index.
        balancer: usize,
        /// The system's error.
        cause: std::io::Error,
    },
    /// Its process ended before it answered PING.
    #[error("balancer {balancer} ended with {status} before it was ready; last log line: {last_line}")]
    Ended {
        /// The balancer's index.
        balancer: usize,
        /// The exit status.
        status: ExitStatus,
        /// The last line of its log.
        last_line: String,
    },
    /// It did not answer PING within `START_TIMEOUT`.
    #[error(
        "balancer {balancer} does not answer PING after {} s; last log line: {last_line}",
        START_TIMEOUT.as_secs()
    )]
    NotReady {
        /// The balancer's index.
        balancer: usize,
        /// The last line of its log.
        last_line: String,
    },
}

/// A running process.
struct Process {
    child: Child,
    /// Usage of the balancer's earlier processes.
    earlier_usage: ResourceUsage,
    /// The most descriptors seen open.
    peak_descriptors: usize,
}

/// One balancer, whether or not its process runs.
struct Balancer {
    listen: SocketAddr,
    process: Option<Process>,
    /// The usage sampled last, summed over all its processes.
    usage: ResourceUsage,
    /// Exit status and last log line, if it ended by itself.
    unexpected_exit: Option<String>,
}

impl Balancer {
    /// Kills the process with SIGKILL, if it runs.
    fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// Samples the usage of the process; returns its exit status if it has ended by itself.
    fn sample_usage(&mut self) -> Option<ExitStatus> {
        let process = self.process.as_mut()?;
        if let Ok(Some(status)) = process.child.try_wait() {
            self.process = None;
            return Some(status);
        }
        if let Some(usage) = ResourceUsage::of_process(process.child.id()) {
            self.usage = usage.added_to(process.earlier_usage, process.peak_descriptors);
            process.peak_descriptors = self.usage.descriptors;
        }
        None
    }
}

struct Inner {
    program: Program,
    folder: PathBuf,
    experiment: Experiment,
    bootstraps: Vec<BalancerBootstrap>,
    seed: u64,
    ledger: Ledger,
    balancers: Vec<Balancer>,
}

/// All balancers of a run. Clones share them; processes that still run when the last clone is
/// dropped are killed.
#[derive(Clone)]
pub struct Balancers(Arc<Mutex<Inner>>);

impl Drop for Inner {
    fn drop(&mut self) {
        self.balancers.iter_mut().for_each(Balancer::kill);
    }
}

impl Balancers {
    /// Starts a balancer for each bootstrap, and waits until all answer PING. Settings files and
    /// logs go to `folder`.
    ///
    /// # Errors
    /// The first balancer that did not start, with the last line of its log.
    pub fn start(
        program: Program,
        experiment: &Experiment,
        bootstraps: &[BalancerBootstrap],
        seed: u64,
        ledger: &Ledger,
        folder: &Path,
    ) -> Result<Balancers, BalancerError> {
        let mut stopped = Vec::new();
        for nth in 0..bootstraps.len() {
            let listen = free_address(nth)?;
            let usage = ResourceUsage::default();
            stopped.push(Balancer { listen, process: None, usage, unexpected_exit: None });
        }
        let inner = Inner {
            program,
            folder: folder.to_owned(),
            experiment: experiment.clone(),
            bootstraps: bootstraps.to_vec(),
            seed,
            ledger: ledger.clone(),
            balancers: stopped,
        };
        let balancers = Balancers(Arc::new(Mutex::new(inner)));
        for (nth, bootstrap) in bootstraps.iter().enumerate() {
            balancers.inner().spawn(nth, &bootstrap.known)?;
        }
        for nth in 0..bootstraps.len() {
            balancers.wait_until_ready(nth)?;
        }
        Ok(balancers)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The address of each balancer.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.inner().balancers.iter().map(|balancer| balancer.listen).collect()
    }

    /// The ids of the processes that run now.
    pub fn process_ids(&self) -> Vec<u32> {
        let inner = self.inner();
        inner.process_ids()
    }

    fn wait_until_ready(&self, nth: usize) -> Result<(), BalancerError> {
        let began = Instant::now();
        let address = self.addresses()[nth];
        while began.elapsed() < START_TIMEOUT {
            if answers_ping(address) {
                return Ok(());
            }
            let mut inner = self.inner();
            let process = inner.balancers[nth].process.as_mut();
            if let Some(Ok(Some(status))) = process.map(|process| process.child.try_wait()) {
                let last_line = inner.last_log_line(nth);
                return Err(BalancerError::Ended { balancer: nth, status, last_line });
            }
            drop(inner);
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        Err(BalancerError::NotReady { balancer: nth, last_line: self.inner().last_log_line(nth) })
    }

    /// Kills a balancer with SIGKILL.
    pub fn kill(&self, nth: usize) {
        let mut inner = self.inner();
        inner.sample_usage();
        inner.ledger.note(Observation::BalancerProcess { balancer: nth, up: false });
        inner.balancers[nth].kill();
    }

    /// Starts a balancer again at its address, with the endpoint list `known`.
    pub fn restart(&self, nth: usize, known: &Value) {
        let mut inner = self.inner();
        match inner.spawn(nth, known) {
            Ok(()) => inner.ledger.note(Observation::BalancerProcess { balancer: nth, up: true }),
            Err(cause) => log::warn!("restart failed: {cause}"),
        }
    }

    /// Sends a signal to a balancer, if it runs.
    pub fn signal(&self, nth: usize, signal: Signal) {
        let inner = self.inner();
        if let Some(process) = inner.balancers[nth].process.as_ref() {
            send_signal(process.child.id(), signal);
        }
    }

    /// Ends a balancer as operators do: by SIGTERM, then by SIGKILL if it still runs after
    /// `timeout`.
    ///
    /// # Errors
    /// How it ended, if it ended on SIGTERM with another status than success.
    pub fn terminate(&self, nth: usize, timeout: Duration) -> Result<(), String> {
        self.signal(nth, Signal::TERM);
        let Some(mut process) = self.inner().balancers[nth].process.take() else { return Ok(()) };
        // Another trouble may have stopped the process, and can't resume it once it is taken from
        // here.
        send_signal(process.child.id(), Signal::CONT);
        let began = Instant::now();
        loop {
            match process.child.try_wait() {
                Ok(Some(status)) if status.success() => return Ok(()),
                Ok(Some(status)) => {
                    let last_line = self.inner().last_log_line(nth);
                    return Err(format!(
                        "balancer {nth} ended after SIGTERM with {status}; last log line: {last_line}"
                    ));
                }
                Ok(None) if began.elapsed() < timeout => std::thread::sleep(READY_POLL_INTERVAL),
                _ => break,
            }
        }
        let _ = process.child.kill();
        let _ = process.child.wait();
        Ok(())
    }

    /// Starts a balancer again at its address, with the endpoint list of its first start.
    pub fn restart_with_initial_list(&self, nth: usize) {
        let known = self.inner().bootstraps[nth].known.clone();
        self.restart(nth, &known);
    }

    /// Control of a balancer's system call faults; `None` if it runs without the preload library.
    ///
    /// # Errors
    /// The system's error if the control file can't be opened.
    pub fn fault_control(&self, nth: usize) -> std::io::Result<Option<FaultControl>> {
        let inner = self.inner();
        let library = inner.program.fault_library.as_ref();
        library.map(|library| FaultControl::open(&inner.faults_path(nth), library)).transpose()
    }

    /// The lines of each log that contain this text, by balancer.
    pub fn log_lines_with(&self, text: &str) -> Vec<Vec<String>> {
        let inner = self.inner();
        (0..inner.balancers.len()).map(|nth| inner.log_lines_with(nth, text)).collect()
    }

    /// Samples what each balancer has used so far, and notices those that have ended by themselves.
    pub fn sample_usage(&self) -> Vec<ResourceUsage> {
        self.inner().sample_usage()
    }

    /// The counters of each balancer, by name: SIGUSR1 makes a balancer log a line of `name=number`
    /// words. Only for the end of a run: the signal ends a program that does not handle it.
    pub fn counters(&self) -> Vec<BTreeMap<String, u64>> {
        let before: Vec<usize> = {
            let inner = self.inner();
            let ids: Vec<String> = inner.process_ids().iter().map(u32::to_string).collect();
            let before = inner.counter_lines().iter().map(Vec::len).collect();
            let _ = Command::new("kill").arg("-USR1").args(&ids).stderr(Stdio::null()).status();
            before
        };
        let began = Instant::now();
        loop {
            let lines = self.inner().counter_lines();
            let all_written = lines.iter().zip(&before).all(|(lines, before)| lines.len() > *before);
            if all_written || began.elapsed() > COUNTERS_TIMEOUT {
                return lines.iter().map(|lines| parse_counters(lines.last())).collect();
            }
            std::thread::sleep(COUNTERS_POLL_INTERVAL);
        }
    }

    /// The balancers that ended by themselves, and how.
    pub fn unexpected_exits(&self) -> Vec<String> {
        let inner = self.inner();
        let mut exits = Vec::new();
        for (nth, balancer) in inner.balancers.iter().enumerate() {
            if let Some(exit) = &balancer.unexpected_exit {
                exits.push(format!("balancer {nth}: {exit}"));
            }
        }
        exits
    }
}

impl Inner {
    fn process_ids(&self) -> Vec<u32> {
        let processes = self.balancers.iter().filter_map(|balancer| balancer.process.as_ref());
        processes.map(|process| process.child.id()).collect()
    }

    /// Starts the process of a balancer that has none, with the endpoint list `known`.
    fn spawn(&mut self, nth: usize, known: &Value) -> Result<(), BalancerError> {
        let child = self.spawn_process(nth, known);
        let child = child.map_err(|cause| BalancerError::Start { balancer: nth, cause })?;
        let balancer = &mut self.balancers[nth];
        let earlier_usage = ResourceUsage { descriptors: 0, ..balancer.usage };
        balancer.process = Some(Process { child, earlier_usage, peak_descriptors: 0 });
        Ok(())
    }

    fn spawn_process(&self, nth: usize, known: &Value) -> std::io::Result<Child> {
        let bootstrap = BalancerBootstrap { known: known.clone(), ..self.bootstraps[nth].clone() };
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(nth as u64);
        let listen = self.balancers[nth].listen;
        let config =
            settings::balancer_config(&self.experiment, &format!("n{nth}"), listen, &bootstrap, seed);
        let config_path = self.folder.join(format!("balancer-{nth}.json"));
        std::fs::write(&config_path, config.to_string())?;
        let log = File::options().create(true).append(true).open(self.folder.join(log_name(nth)))?;
        let mut command = Command::new(&self.program.path);
        command.args(&self.program.arguments).env("PROXY_CONFIG", &config_path).stdin(Stdio::null());
        command.env_remove(REGIONS_VARIABLE);
        if let Some(regions) = &self.program.regions {
            command.env(REGIONS_VARIABLE, regions);
        }
        if let Some(library) = &self.program.fault_library {
            command.envs(FaultControl::open(&self.faults_path(nth), library)?.environment());
        }
        command.stdout(Stdio::null()).stderr(log).spawn()
    }

    fn faults_path(&self, nth: usize) -> PathBuf {
        self.folder.join(format!("balancer-{nth}.faults"))
    }

    fn sample_usage(&mut self) -> Vec<ResourceUsage> {
        for nth in 0..self.balancers.len() {
            if let Some(status) = self.balancers[nth].sample_usage() {
                let last_line = self.last_log_line(nth);
                self.balancers[nth].unexpected_exit =
                    Some(format!("ended by itself with {status}; last log line: {last_line}"));
                self.ledger.note(Observation::BalancerProcess { balancer: nth, up: false });
            }
        }
        self.balancers.iter().map(|balancer| balancer.usage).collect()
    }

    /// The lines with counters of each log, by balancer.
    fn counter_lines(&self) -> Vec<Vec<String>> {
        let log_lines = |nth| self.log_lines_with(nth, "counters: ");
        (0..self.balancers.len()).map(log_lines).collect()
    }

    fn log_lines_with(&self, nth: usize, text: &str) -> Vec<String> {
        let Ok(file) = File::open(self.folder.join(log_name(nth))) else { return Vec::new() };
        BufReader::new(file).lines().map_while(Result::ok).filter(|line| line.contains(text)).collect()
    }

    fn last_log_line(&self, nth: usize) -> String {
        let Ok(file) = File::open(self.folder.join(log_name(nth))) else { return String::new() };
        BufReader::new(file).lines().map_while(Result::ok).last().unwrap_or_default()
    }
}

/// Sends a signal to a process that this module started.
fn send_signal(process: u32, signal: Signal) {
    let sent = Pid::from_raw(process as i32).map(|pid| kill_process(pid, signal));
    if let Some(Err(cause)) = sent {
        log::warn!("sending {signal:?} to process {process} failed: {cause}");
    }
}

fn parse_counters(line: Option<&String>) -> BTreeMap<String, u64> {
    let Some(line) = line else { return BTreeMap::new() };
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    pairs.filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?))).collect()
}

/// Finds an address with a free port, which the balancer keeps over restarts. The port is not
/// reserved until the balancer binds it.
fn free_address(nth: usize) -> Result<SocketAddr, BalancerError> {
    let any_port = SocketAddr::from((Ipv4Addr::new(127, 30, 0, nth as u8 + 1), 0));
    let free = TcpListener::bind(any_port).and_then(|listener| listener.local_addr());
    free.map_err(|cause| BalancerError::Address { balancer: nth, cause })
}

fn log_name(nth: usize) -> String {
    format!("balancer-{nth}.log")
}

fn answers_ping(address: SocketAddr) -> bool {
    ping(address).is_ok_and(|line| line.trim_end() == "+PONG")
}

fn ping(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"PING\r\n")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line)
}

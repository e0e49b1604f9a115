//! A process of a scale run: it is told what to be by the first line on its standard input, and answers each
//! further line by one on its standard output. It ends when its input does, so that none outlives who started
//! it, however that ended.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::discovery::{Discovery, DiscoverySpec};
use super::fleet::{Fleet, FleetSpec};
use super::simulated::{SimulatedBalancers, SimulatedSpec};
use crate::lateness;
use crate::play::{INTERRUPTED, STOP};

/// What a process is to be.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum WorkerSpec {
    Fleet(FleetSpec),
    Discovery(DiscoverySpec),
    #[serde(rename = "hollow")]
    Simulated(SimulatedSpec),
    /// Ends this process when its input ends, if it still runs: one that knows nothing of inputs.
    Guard {
        pid: u32,
    },
}

/// What it is asked for while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerCommand {
    /// Its counters now, and what came since it was last asked.
    #[serde(rename = "mark")]
    Snapshot,
    /// Begin with what takes time: ops, changes.
    #[serde(rename = "begin")]
    Start,
    /// No more of it.
    #[serde(rename = "rest")]
    Stop,
    /// Say nothing more, and speak again.
    #[serde(rename = "silent")]
    StopResponding,
    #[serde(rename = "speak")]
    ResumeResponding,
}

/// A histogram's values and how often each was seen.
pub type ValueCounts = Vec<(u64, u64)>;

pub fn counts(seen: &Histogram<u64>) -> ValueCounts {
    seen.iter_recorded().map(|step| (step.value_iterated_to(), step.count_at_value())).collect()
}

/// All of these in one histogram.
pub fn merged<'a>(all: impl Iterator<Item = &'a ValueCounts>) -> Histogram<u64> {
    let mut merged = lateness::histogram();
    for &(value, count) in all.flatten() {
        merged.saturating_record_n(value, count);
    }
    merged
}

/// Longer than any process needs to come up or to answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// A process that was started here. Dropping it ends it.
pub struct WorkerProcess {
    child: Child,
    input: Option<ChildStdin>,
    lines: mpsc::Receiver<String>,
    what: &'static str,
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        // The end of its input is its own end; by its id where it should hang over something.
        drop(self.input.take());
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(500) {
            if matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl WorkerProcess {
    /// Starts one; what it says once it is up.
    ///
    /// # Errors
    /// One line where it does not come up.
    pub fn start<T: DeserializeOwned>(spec: &WorkerSpec) -> Result<(WorkerProcess, T), String> {
        let what = match spec {
            WorkerSpec::Fleet(_) => "a fleet",
            WorkerSpec::Discovery(_) => "discovery",
            WorkerSpec::Simulated(_) => "hollow balancers",
            WorkerSpec::Guard { .. } => "a guard",
        };
        let failed = |cause: std::io::Error| format!("{what}: {cause}");
        let own = std::env::current_exe().map_err(failed)?;
        let mut command = Command::new(own);
        command.arg("scale-part").stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(failed)?;
        let input = child.stdin.take();
        let (tell, lines) = mpsc::channel();
        if let Some(output) = child.stdout.take() {
            let read = move || {
                let lines = BufReader::new(output).lines().map_while(Result::ok);
                lines.map_while(|line| tell.send(line).ok()).for_each(drop);
            };
            thread::Builder::new().name("part".to_owned()).spawn(read).map_err(failed)?;
        }
        let mut part = WorkerProcess { child, input, lines, what };
        let up = part.asks(spec)?;
        Ok((part, up))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// # Errors
    /// One line where it does not answer.
    pub fn ask<T: DeserializeOwned>(&mut self, asked: WorkerCommand) -> Result<T, String> {
        self.asks(&asked)
    }

    fn asks<T: DeserializeOwned>(&mut self, asked: &impl Serialize) -> Result<T, String> {
        let what = self.what;
        let mut line = serde_json::to_string(asked).map_err(|cause| cause.to_string())?;
        line.push('\n');
        let input = self.input.as_mut().ok_or_else(|| format!("{what}: it has ended"))?;
        input.write_all(line.as_bytes()).map_err(|cause| format!("{what}: {cause}"))?;
        let began = Instant::now();
        loop {
            match self.lines.recv_timeout(Duration::from_millis(50)) {
                Ok(line) => {
                    let said = serde_json::from_str::<Result<T, String>>(&line);
                    return said.map_err(|cause| format!("{what}: {cause}"))?;
                }
                Err(RecvTimeoutError::Disconnected) => return Err(format!("{what}: it ended by itself")),
                Err(RecvTimeoutError::Timeout) if STOP.load(Ordering::Relaxed) => {
                    return Err(INTERRUPTED.to_owned());
                }
                Err(RecvTimeoutError::Timeout) if began.elapsed() > REPLY_TIMEOUT => {
                    return Err(format!("{what}: it does not answer"));
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }
}

fn say(said: &Result<impl Serialize, String>) -> Result<(), String> {
    let line = serde_json::to_string(said).map_err(|cause| cause.to_string())?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).map_err(|cause| cause.to_string())
}

/// A role's answer, in JSON.
pub type WorkerReply = Result<serde_json::Value, String>;

pub fn in_json(what: &impl Serialize) -> WorkerReply {
    serde_json::to_value(what).map_err(|cause| cause.to_string())
}

/// What each role can be asked.
pub trait Worker {
    fn up(&self) -> WorkerReply;
    fn asked(self: Rc<Self>, asked: WorkerCommand) -> WorkerReply;
}

async fn answers(role: Rc<impl Worker>, mut asked: tokio::sync::mpsc::UnboundedReceiver<String>) {
    if say(&role.up()).is_err() {
        return;
    }
    while let Some(line) = asked.recv().await {
        let said = serde_json::from_str(&line).map_err(|cause| cause.to_string());
        if say(&said.and_then(|asked| role.clone().asked(asked))).is_err() {
            return;
        }
    }
}

/// The process itself: `basaltwood-testbed scale-part`.
///
/// # Errors
/// One line where its first line makes no sense.
pub fn serve() -> Result<(), String> {
    let mut first = String::new();
    std::io::stdin().read_line(&mut first).map_err(|cause| cause.to_string())?;
    let spec: WorkerSpec = serde_json::from_str(&first).map_err(|cause| cause.to_string())?;
    let (tell, asked) = tokio::sync::mpsc::unbounded_channel();
    let guarded = match spec {
        WorkerSpec::Guard { pid } => began(pid).map(|at| (pid, at)),
        _ => None,
    };
    let read = move || {
        let lines = std::io::stdin().lines().map_while(Result::ok);
        lines.map_while(|line| tell.send(line).ok()).for_each(drop);
        if let Some((pid, _)) = guarded.filter(|(pid, at)| began(*pid).as_ref() == Some(at)) {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        // Whoever started this has ended: nothing here is to go on.
        std::process::exit(0);
    };
    thread::Builder::new().spawn(read).map_err(|cause| cause.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| format!("the runtime: {cause}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        match spec {
            WorkerSpec::Fleet(spec) => match Fleet::start(spec) {
                Ok(fleet) => answers(fleet, asked).await,
                Err(cause) => say(&Err::<(), _>(format!("a listener: {cause}")))?,
            },
            WorkerSpec::Discovery(spec) => match Discovery::start(spec) {
                Ok(discovery) => answers(discovery, asked).await,
                Err(cause) => say(&Err::<(), _>(format!("a listener: {cause}")))?,
            },
            WorkerSpec::Simulated(spec) => match SimulatedBalancers::start(spec) {
                Ok(hollows) => answers(hollows, asked).await,
                Err(cause) => say(&Err::<(), _>(cause))?,
            },
            WorkerSpec::Guard { .. } => answers(Rc::new(Guard), asked).await,
        }
        Ok(())
    })
}

struct Guard;

impl Worker for Guard {
    fn up(&self) -> WorkerReply {
        Ok(serde_json::Value::Null)
    }

    fn asked(self: Rc<Self>, _: WorkerCommand) -> WorkerReply {
        Ok(serde_json::Value::Null)
    }
}

/// When a process began, as the system counts it: another one of the same number began at another time.
fn began(pid: u32) -> Option<String> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in brackets may hold spaces; the 22nd field of all is the 20th after it.
    let (_, fields) = stat.rsplit_once(')')?;
    fields.split_whitespace().nth(19).map(str::to_owned)
}

/// The resident memory of this process in kB.
pub fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

//! The main loop of a worker process. The first line of its standard input sets its role, each
//! further line is a command. It exits when its input ends, so that no worker outlives the
//! coordinator, even one that was killed.

use std::io::{Stdin, Write};
use std::process::Command;
use std::rc::Rc;
use std::thread;

use serde::Serialize;
use serde_json::Value;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

use super::discovery::Discovery;
use super::error::RoleError;
use super::fleet::Fleet;
use super::protocol::WorkerSpec;
use super::role::{Reply, Role};
use super::simulated::SimulatedBalancers;
use crate::scale::protocol::WorkerCommand;

/// Serves one role until standard input ends: `basaltwood-testbed scale-part`.
///
/// # Errors
/// The first line is invalid, or the process can't read, write or start a thread.
pub fn serve() -> Result<(), RoleError> {
    let mut first_line = String::new();
    std::io::stdin().read_line(&mut first_line)?;
    let spec: WorkerSpec = serde_json::from_str(&first_line)?;
    let guarded = match spec {
        WorkerSpec::Guard { pid } => GuardedProcess::find(pid),
        _ => None,
    };
    let (sender, lines) = unbounded_channel();
    let read = move || read_until_end(std::io::stdin(), &sender, guarded);
    thread::Builder::new().spawn(read)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RoleError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, run_role(spec, lines))
}

/// Forwards the commands; exits the process at the end of its input.
fn read_until_end(input: Stdin, sender: &UnboundedSender<String>, guarded: Option<GuardedProcess>) {
    for line in input.lines() {
        let Ok(line) = line else { break };
        if sender.send(line).is_err() {
            break;
        }
    }
    if let Some(guarded) = guarded {
        guarded.kill();
    }
    // The coordinator has ended or dropped this worker: there is nothing left to do.
    std::process::exit(0);
}

async fn run_role(spec: WorkerSpec, lines: UnboundedReceiver<String>) -> Result<(), RoleError> {
    match spec {
        WorkerSpec::Fleet(spec) => {
            let fleet = Fleet::start(spec).map_err(RoleError::Listen);
            serve_or_report(fleet, lines).await
        }
        WorkerSpec::Discovery(spec) => {
            let discovery = Discovery::start(spec).map_err(RoleError::Listen);
            serve_or_report(discovery, lines).await
        }
        WorkerSpec::Simulated(spec) => serve_or_report(SimulatedBalancers::start(spec), lines).await,
        WorkerSpec::Guard { .. } => serve_or_report(Ok(Rc::new(Guard)), lines).await,
    }
}

/// Replies to commands, or replies with the error that kept the role from starting.
async fn serve_or_report(
    role: Result<Rc<impl Role>, RoleError>,
    lines: UnboundedReceiver<String>,
) -> Result<(), RoleError> {
    match role {
        Ok(role) => {
            reply_to_commands(role, lines).await;
            Ok(())
        }
        Err(cause) => write_reply::<()>(Err(cause)),
    }
}

async fn reply_to_commands(role: Rc<impl Role>, mut lines: UnboundedReceiver<String>) {
    if write_reply(role.ready()).is_err() {
        return;
    }
    while let Some(line) = lines.recv().await {
        let command = serde_json::from_str(&line).map_err(RoleError::from);
        let reply = command.and_then(|command| role.handle(command));
        if write_reply(reply).is_err() {
            return;
        }
    }
}

fn write_reply<T: Serialize>(reply: Result<T, RoleError>) -> Result<(), RoleError> {
    let line = serde_json::to_string(&reply.map_err(|cause| cause.to_string()))?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")?;
    Ok(output.flush()?)
}

/// The role of a guard, which has no state: `read_until_end` kills the guarded process.
struct Guard;

impl Role for Guard {
    fn ready(&self) -> Reply {
        Ok(Value::Null)
    }

    fn handle(&self, _: WorkerCommand) -> Reply {
        Ok(Value::Null)
    }
}

/// A process that is killed when the input of this worker ends.
struct GuardedProcess {
    pid: u32,
    started: String,
}

impl GuardedProcess {
    fn find(pid: u32) -> Option<GuardedProcess> {
        Some(GuardedProcess { pid, started: start_time(pid)? })
    }

    /// Kills the process, unless it has exited and its id now belongs to another process.
    fn kill(&self) {
        if start_time(self.pid).as_ref() == Some(&self.started) {
            let _ = Command::new("kill").args(["-KILL", &self.pid.to_string()]).status();
        }
    }
}

/// The start time of a process, in the system's clock ticks. It tells a process from a later one
/// with the same id.
fn start_time(pid: u32) -> Option<String> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The 2nd field, the name in brackets, may contain spaces. The start time is the 22nd field,
    // the 20th after the name.
    let (_, fields) = stat.rsplit_once(')')?;
    fields.split_whitespace().nth(19).map(str::to_owned)
}

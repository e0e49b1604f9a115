//! Starts, commands and ends a worker process, on the side of a run's coordinator.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::Serialize;

use super::error::{RunError, WorkerError};
use super::protocol::{WorkerCommand, WorkerSpec};
use crate::play::STOP;

/// The longest wait for a process to start or to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// How often a wait for a reply checks whether the run was interrupted.
const INTERRUPT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a process may take to exit after its input is closed, before it is killed.
const EXIT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a wait for the exit of a process checks.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A worker process. Dropping this ends the process.
pub struct WorkerProcess {
    child: Child,
    input: Option<ChildStdin>,
    lines: mpsc::Receiver<String>,
    /// The name of the role in error messages.
    role: &'static str,
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        // A worker exits when its input is closed; it is killed only if it hangs.
        drop(self.input.take());
        let closed_at = Instant::now();
        while closed_at.elapsed() < EXIT_TIMEOUT {
            if matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                return;
            }
            thread::sleep(EXIT_CHECK_INTERVAL);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl WorkerProcess {
    /// Starts a worker and waits for its role's `...Ready` message.
    ///
    /// # Errors
    /// The worker does not start, or the run was interrupted.
    pub fn start<Ready: DeserializeOwned>(spec: &WorkerSpec) -> Result<(WorkerProcess, Ready), RunError> {
        let role = role_name(spec);
        let mut worker =
            WorkerProcess::spawn(role).map_err(|cause| RunError::Worker { role, cause: cause.into() })?;
        let ready = worker.request(spec)?;
        Ok((worker, ready))
    }

    fn spawn(role: &'static str) -> std::io::Result<WorkerProcess> {
        let program = std::env::current_exe()?;
        let mut command = Command::new(program);
        command.arg("scale-part").stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let input = child.stdin.take();
        let (sender, lines) = mpsc::channel();
        if let Some(output) = child.stdout.take() {
            let read = move || forward_lines(output, &sender);
            thread::Builder::new().name("worker output".to_owned()).spawn(read)?;
        }
        Ok(WorkerProcess { child, input, lines, role })
    }

    /// Sends a command and waits for the snapshot in reply.
    ///
    /// # Errors
    /// The worker does not reply in time, has exited, or reports an error; or the run was
    /// interrupted.
    pub fn command<Snapshot: DeserializeOwned>(
        &mut self,
        command: WorkerCommand,
    ) -> Result<Snapshot, RunError> {
        self.request(&command)
    }

    fn request<Reply: DeserializeOwned>(&mut self, message: &impl Serialize) -> Result<Reply, RunError> {
        let role = self.role;
        let failed = |cause| RunError::Worker { role, cause };
        self.send(message).map_err(failed)?;
        let line = self.receive()?;
        let reply = serde_json::from_str::<Result<Reply, String>>(&line);
        reply.map_err(|cause| failed(cause.into()))?.map_err(RunError::ReportedByWorker)
    }

    fn send(&mut self, message: &impl Serialize) -> Result<(), WorkerError> {
        let mut line = serde_json::to_string(message)?;
        line.push('\n');
        let input = self.input.as_mut().ok_or(WorkerError::InputClosed)?;
        Ok(input.write_all(line.as_bytes())?)
    }

    fn receive(&self) -> Result<String, RunError> {
        let failed = |cause| Err(RunError::Worker { role: self.role, cause });
        let sent_at = Instant::now();
        loop {
            match self.lines.recv_timeout(INTERRUPT_CHECK_INTERVAL) {
                Ok(line) => return Ok(line),
                Err(RecvTimeoutError::Disconnected) => return failed(WorkerError::Exited),
                Err(RecvTimeoutError::Timeout) if STOP.load(Ordering::Relaxed) => {
                    return Err(RunError::Interrupted);
                }
                Err(RecvTimeoutError::Timeout) if sent_at.elapsed() > REPLY_TIMEOUT => {
                    return failed(WorkerError::TimedOut(REPLY_TIMEOUT));
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }
}

fn role_name(spec: &WorkerSpec) -> &'static str {
    match spec {
        WorkerSpec::Fleet(_) => "fleet worker",
        WorkerSpec::Discovery(_) => "discovery worker",
        WorkerSpec::Simulated(_) => "worker of simulated balancers",
        WorkerSpec::Guard { .. } => "guard of the real balancer",
    }
}

/// Forwards a worker's output line by line until it ends or the receiver is dropped.
fn forward_lines(output: ChildStdout, sender: &mpsc::Sender<String>) {
    for line in BufReader::new(output).lines() {
        let Ok(line) = line else { return };
        if sender.send(line).is_err() {
            return;
        }
    }
}

//! Carries out a script's process troubles on balancer processes, one thread for each trouble.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use basaltwood_fault_control::{Call, FaultControl};
use rustix::process::Signal;

use super::script::{ScriptedTrouble, LONGEST_DEADLINE};
use super::trouble::ProcessTrouble;
use crate::balancers::Balancers;
use crate::ledger::Ledger;
use crate::time::{seconds, Micros, MS};

/// Time between SIGSTOP and SIGCONT: as long a stop as the operators' terms for real days allow.
const STALL: Duration = Duration::from_millis(150);
/// Pause between two steps of a repeated trouble.
const REPEAT_INTERVAL: Duration = Duration::from_millis(450);
/// Time from SIGTERM to SIGKILL: the shortest that operators use, the longest deadline plus 0.7 s.
const TERMINATE_TIMEOUT: Duration = LONGEST_DEADLINE.saturating_add(Duration::from_millis(700));
/// Period of a process that is limited to a share of a core.
const SHARE_PERIOD: Duration = Duration::from_millis(20);
/// Time in each [`SHARE_PERIOD`] for which the process runs.
const SHARE_RUN_TIME: Duration = Duration::from_millis(2);
/// Pause after each signal of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(5);
/// Signals sent before the final SIGTERM.
const SERIES: [Signal; 5] = [Signal::HUP, Signal::USR1, Signal::TERM, Signal::HUP, Signal::TERM];
/// Size of a step of the wall clock, in milliseconds.
const CLOCK_STEP_MS: i64 = 3_600_000;
/// Calls in a thousand that fail during a shortage.
const SHORTAGE_RATE: u32 = 500;
/// Calls in a thousand that are interrupted.
const INTERRUPTION_RATE: u32 = 100;
/// Each trouble affects one in this many balancers.
const BALANCERS_PER_AFFECTED: usize = 2;
/// Connections opened to each affected balancer by [`ProcessTrouble::Crowd`].
const CROWD_CONNECTIONS: usize = 60;

/// Results of carrying out process troubles.
#[derive(Clone, Debug, Default)]
pub struct DisturbanceReport {
    /// Processes that did not end as expected, and how they ended.
    pub failures: Vec<String>,
    /// Balancers that were told to end by SIGTERM.
    pub terminations: Vec<Termination>,
}

/// The termination of one balancer process. Times are in microseconds of the run.
#[derive(Clone, Copy, Debug)]
pub struct Termination {
    /// The balancer's index.
    pub balancer: usize,
    /// Time of the first signal.
    pub from: Micros,
    /// When the process had ended and its successor was started.
    pub to: Micros,
}

/// One trouble and the balancers that it affects.
struct Disturbance {
    balancers: Balancers,
    ledger: Ledger,
    affected: Vec<usize>,
    scripted: ScriptedTrouble,
}

/// Carries out all troubles concurrently, and returns when the last one is over.
pub fn run_disturbances(
    troubles: &[(ProcessTrouble, ScriptedTrouble)],
    balancers: &Balancers,
    ledger: &Ledger,
) -> DisturbanceReport {
    let count = balancers.addresses().len();
    let mut all = DisturbanceReport::default();
    thread::scope(|scope| {
        let threads: Vec<_> = troubles
            .iter()
            .enumerate()
            .map(|(nth, &(trouble, scripted))| {
                // Successive pairs of troubles affect balancers of even and odd index in turn.
                let affected = (0..count)
                    .filter(|balancer| (balancer + nth / 2) % BALANCERS_PER_AFFECTED == 0)
                    .collect();
                let (balancers, ledger) = (balancers.clone(), ledger.clone());
                let disturbance = Disturbance { balancers, ledger, affected, scripted };
                scope.spawn(move || disturbance.run(trouble))
            })
            .collect();
        for thread in threads {
            match thread.join() {
                Ok(Ok(report)) => {
                    all.failures.extend(report.failures);
                    all.terminations.extend(report.terminations);
                }
                Ok(Err(cause)) => {
                    all.failures.push(format!("the soak could not carry out a trouble: {cause}"))
                }
                Err(_) => {
                    all.failures.push("a thread of the soak that carries out a trouble panicked".to_owned())
                }
            }
        }
    });
    all
}

impl Disturbance {
    fn run(self, trouble: ProcessTrouble) -> std::io::Result<DisturbanceReport> {
        self.sleep_until(self.scripted.from_s);
        match trouble {
            ProcessTrouble::Terminate => return Ok(self.terminate_each(&[])),
            ProcessTrouble::SignalSeries => return Ok(self.terminate_each(&SERIES)),
            ProcessTrouble::CoreShare => self.limit_core_share(),
            ProcessTrouble::Reload => self.repeatedly(|balancers, nth| balancers.signal(nth, Signal::HUP)),
            ProcessTrouble::Stall => self.repeatedly(|balancers, nth| {
                balancers.signal(nth, Signal::STOP);
                thread::sleep(STALL);
                balancers.signal(nth, Signal::CONT);
            }),
            ProcessTrouble::ClockBack => self.step_clocks(-CLOCK_STEP_MS)?,
            ProcessTrouble::ClockAhead => self.step_clocks(CLOCK_STEP_MS)?,
            ProcessTrouble::ConnectShortage => self.with_faults(&[
                (Call::Socket, libc::EMFILE, SHORTAGE_RATE),
                (Call::Connect, libc::EADDRNOTAVAIL, SHORTAGE_RATE),
            ])?,
            ProcessTrouble::AcceptShortage => {
                self.with_faults(&[(Call::Accept, libc::ECONNABORTED, SHORTAGE_RATE)])?;
            }
            ProcessTrouble::Interrupted => self.with_faults(&[
                (Call::Receive, libc::EINTR, INTERRUPTION_RATE),
                (Call::Send, libc::EINTR, INTERRUPTION_RATE),
            ])?,
            ProcessTrouble::FilesFail => {
                self.set_faults(&[
                    (Call::Open, libc::EMFILE, SHORTAGE_RATE),
                    (Call::WriteFile, libc::ENOSPC, SHORTAGE_RATE),
                ])?;
                self.repeatedly(|balancers, nth| balancers.signal(nth, Signal::HUP));
                self.restore(&[Call::Open, Call::WriteFile])?;
            }
            ProcessTrouble::Crowd => self.open_crowds(),
        }
        Ok(DisturbanceReport::default())
    }

    fn sleep_until(&self, at_s: f64) {
        let left = seconds(at_s) - self.ledger.clock.now();
        thread::sleep(Duration::from_micros(left.max(0) as u64));
    }

    fn is_over(&self) -> bool {
        self.ledger.clock.now() >= seconds(self.scripted.to_s)
    }

    fn repeatedly(&self, step: impl Fn(&Balancers, usize)) {
        while !self.is_over() {
            self.affected.iter().for_each(|&nth| step(&self.balancers, nth));
            thread::sleep(REPEAT_INTERVAL);
        }
    }

    /// Lets affected processes run for [`SHARE_RUN_TIME`] in each [`SHARE_PERIOD`].
    fn limit_core_share(&self) {
        while !self.is_over() {
            self.affected.iter().for_each(|&nth| self.balancers.signal(nth, Signal::STOP));
            thread::sleep(SHARE_PERIOD - SHARE_RUN_TIME);
            self.affected.iter().for_each(|&nth| self.balancers.signal(nth, Signal::CONT));
            thread::sleep(SHARE_RUN_TIME);
        }
    }

    /// Ends affected balancers one after the other, each by the series and a SIGTERM, and restarts
    /// each once it has ended. Stops early when the trouble's time is over.
    fn terminate_each(&self, series: &[Signal]) -> DisturbanceReport {
        let mut report = DisturbanceReport::default();
        for &balancer in &self.affected {
            if self.is_over() {
                break;
            }
            let from = self.ledger.clock.now();
            for &signal in series {
                self.balancers.signal(balancer, signal);
                thread::sleep(SERIES_INTERVAL);
            }
            if let Err(failure) = self.balancers.terminate(balancer, TERMINATE_TIMEOUT) {
                report.failures.push(failure);
            }
            self.balancers.restart_with_initial_list(balancer);
            report.terminations.push(Termination { balancer, from, to: self.ledger.clock.now() });
        }
        report
    }

    fn controls(&self) -> std::io::Result<Vec<FaultControl>> {
        let controls = self.affected.iter().map(|&nth| self.balancers.fault_control(nth));
        controls.filter_map(Result::transpose).collect()
    }

    fn step_clocks(&self, milliseconds: i64) -> std::io::Result<()> {
        let controls = self.controls()?;
        controls.iter().try_for_each(|control| control.step_wall_clock(milliseconds))?;
        self.sleep_until(self.scripted.to_s);
        controls.iter().try_for_each(|control| control.step_wall_clock(0))
    }

    fn with_faults(&self, faults: &[(Call, i32, u32)]) -> std::io::Result<()> {
        self.set_faults(faults)?;
        self.sleep_until(self.scripted.to_s);
        self.restore(&faults.iter().map(|fault| fault.0).collect::<Vec<Call>>())
    }

    fn set_faults(&self, faults: &[(Call, i32, u32)]) -> std::io::Result<()> {
        for control in self.controls()? {
            for &(call, errno, rate) in faults {
                control.fail(call, errno, rate)?;
            }
        }
        Ok(())
    }

    fn restore(&self, calls: &[Call]) -> std::io::Result<()> {
        for control in self.controls()? {
            calls.iter().try_for_each(|&call| control.restore(call))?;
        }
        Ok(())
    }

    fn open_crowds(&self) {
        let addresses = self.balancers.addresses();
        let mut held: Vec<TcpStream> = Vec::new();
        while !self.is_over() {
            held.clear();
            for &nth in &self.affected {
                held.extend(
                    (0..CROWD_CONNECTIONS)
                        .filter_map(|number| open_unfinished_connection(addresses[nth], number)),
                );
            }
            thread::sleep(REPEAT_INTERVAL * 2);
        }
    }
}

/// Opens a connection and sends nothing, half a command, or commands whose replies are never read.
fn open_unfinished_connection(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok()?;
    let bytes: &[u8] = match number % 3 {
        0 => b"",
        1 => b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\n",
        _ => b"PING\r\nPING\r\n",
    };
    stream.write_all(bytes).ok()?;
    Some(stream)
}

/// Slack that the audit allows for these troubles: a stopped process answers later by the length of
/// its stop; 50 ms more are allowed.
pub fn audit_slack(troubles: &[(ProcessTrouble, ScriptedTrouble)]) -> Micros {
    let stops_process = |trouble| matches!(trouble, ProcessTrouble::Stall | ProcessTrouble::CoreShare);
    let stalls = troubles.iter().any(|(trouble, _)| stops_process(*trouble));
    if stalls {
        STALL.as_micros() as Micros + 50 * MS
    } else {
        0
    }
}

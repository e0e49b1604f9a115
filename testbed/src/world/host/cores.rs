//! Runs a host's commands as jobs of its [`Machine`](crate::world::machine::Machine); one task ends
//! each job at its completion time.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, Instant};

use super::Host;
use crate::ledger::{HostNo, Observation};
use crate::time::{to_duration, Micros};
use crate::world::machine::{Admission, Job};

/// How a job ended.
pub(super) enum JobOutcome {
    Completed,
    /// The job never ran: the queue was full, or no core was free in time.
    Rejected,
    /// The machine went down before the job ended.
    HostDown,
}

impl Host {
    /// Runs a job of this much work, started by `start_by` at the latest, and waits for its end.
    pub(super) async fn run_job(&self, work: Micros, start_by: Micros) -> JobOutcome {
        let id = self.next_job.get();
        self.next_job.set(id + 1);
        let (completed, completion) = oneshot::channel();
        let now = self.now();
        let admission = self.machine.borrow_mut().submit(now, Job { id, work, start_by });
        match admission {
            Admission::Accepted => {}
            Admission::QueueFull => return JobOutcome::Rejected,
            Admission::Overloaded => {
                self.go_down_overloaded(now);
                return JobOutcome::HostDown;
            }
        }
        self.jobs.borrow_mut().insert(id, completed);
        self.machine_changed.notify_one();
        match completion.await {
            Ok(true) => JobOutcome::Completed,
            Ok(false) => JobOutcome::Rejected,
            Err(_) => JobOutcome::HostDown,
        }
    }

    fn go_down_overloaded(&self, now: Micros) {
        self.shared.ledger.note(Observation::Overloaded {
            host: self.settings.no,
            cold: self.machine.borrow().is_warming_up(now),
            by_cold_misses: self.settings.no == HostNo::ORIGIN && self.mostly_misses_of_warming_hosts(now),
        });
        log::info!("{} is overloaded and goes down", self.settings.name);
        self.down.set(true);
        self.refuse(None);
        self.jobs.borrow_mut().clear();
        self.machine_changed.notify_one();
    }

    /// Whether more than half of the misses within the overload window came from hosts that were
    /// warming up.
    fn mostly_misses_of_warming_hosts(&self, now: Micros) -> bool {
        let window_start = now - self.settings.machine.overload_window;
        let misses = self.misses.borrow();
        let recent = misses.iter().filter(|miss| miss.at > window_start);
        let (mut of_warming_hosts, mut all) = (0_usize, 0_usize);
        for miss in recent {
            of_warming_hosts += usize::from(miss.host_warming_up);
            all += 1;
        }
        of_warming_hosts * 2 > all
    }

    /// Ends jobs at their completion times, and restarts the machine after an overload if its
    /// settings say so. Never returns.
    pub(super) async fn complete_jobs(self: Rc<Host>) {
        loop {
            self.next_change().await;
            self.end_completed_jobs();
            let restart_after = self.settings.restart_after.filter(|_| self.down.get());
            if let Some(restart_after) = restart_after {
                sleep(to_duration(restart_after)).await;
                self.down.set(false);
                self.machine.borrow_mut().restart(self.now());
                self.open(None);
            }
        }
    }

    /// Waits until a job completes, or until the machine changes and with it the next completion
    /// time.
    async fn next_change(&self) {
        let next_completion = self.machine.borrow().next_completion_at();
        match next_completion {
            Some(at) => {
                let at: Instant = self.shared.ledger.clock.tokio_instant(at);
                tokio::select! {
                    () = self.machine_changed.notified() => {}
                    () = sleep_until(at) => {}
                }
            }
            None => self.machine_changed.notified().await,
        }
    }

    fn end_completed_jobs(&self) {
        let completed = self.machine.borrow_mut().take_completed(self.now());
        for job in completed {
            if let Some(waiter) = self.jobs.borrow_mut().remove(&job.id) {
                // Sending fails if the job's connection has ended meanwhile; the job ran all the
                // same.
                let _ = waiter.send(job.ran);
            }
        }
    }
}

//! The cores, the queue and the warm-up of an emulated machine: what it accepts, when work is done
//! and when it is overloaded. Pure: time comes in with every call, and the caller draws how much
//! work a command is.

use std::collections::VecDeque;

use crate::time::Micros;

/// How a machine is built.
#[derive(Clone, Copy, Debug)]
pub struct MachineSettings {
    /// Commands that it works on at the same time.
    pub cores: usize,
    /// 1 finishes a command in the time that was drawn for it.
    pub speed: f64,
    /// Commands that may wait for a core; more are rejected.
    pub max_queue: usize,
    /// The share of its capacity that a machine has when it starts.
    pub initial_capacity: f64,
    /// How long after its start a machine has its whole capacity.
    pub warm_up: Micros,
    /// More work than this many times its present capacity over the window overloads it; 0 for
    /// never.
    pub overload_multiple: f64,
    /// The time over which arriving work is added up.
    pub overload_window: Micros,
    /// Whether only a machine that is warming up can be overloaded.
    pub overloads_only_while_warming: bool,
}

/// One command as a machine sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Chosen by the caller, who finds the job by it again.
    pub id: u64,
    /// Time that it takes at full speed.
    pub work: Micros,
    /// It is dropped if no core is free for it by this time.
    pub start_by: Micros,
}

/// What becomes of a job on its arrival.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a core or waits for one.
    Accepted,
    /// As many jobs wait as may.
    QueueFull,
    /// This was too much work: the machine is down from now on.
    Overloaded,
}

/// A job that needs its core no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedJob {
    /// The job's id.
    pub id: u64,
    /// Whether it ran; otherwise it was dropped because no core was free in time.
    pub ran: bool,
}

/// The state of a machine.
#[derive(Debug)]
pub struct Machine {
    settings: MachineSettings,
    /// The job that each core works on, and when it will be done.
    cores: Vec<Option<(Micros, Job)>>,
    queue: VecDeque<Job>,
    /// When it last started; `None` for long ago.
    started_at: Option<Micros>,
    frozen_at: Option<Micros>,
    /// Jobs take this many times as long.
    slowdown: f64,
    /// Work that arrived within the window, whether or not it was accepted, by its time.
    arrivals: VecDeque<(Micros, Micros)>,
    /// The sum of `arrivals`.
    work_in_window: Micros,
    completed: Vec<CompletedJob>,
}

impl Machine {
    /// A machine that started at a time, or long ago (`None`).
    pub fn new(settings: MachineSettings, started_at: Option<Micros>) -> Machine {
        Machine {
            cores: vec![None; settings.cores],
            settings,
            queue: VecDeque::new(),
            started_at,
            frozen_at: None,
            slowdown: 1.0,
            arrivals: VecDeque::new(),
            work_in_window: 0,
            completed: Vec::new(),
        }
    }

    /// The share of its capacity that it has, from `initial_capacity` to 1.
    pub fn capacity_share(&self, now: Micros) -> f64 {
        match self.started_at {
            Some(started) if self.settings.warm_up > 0 => {
                let age = ((now - started) as f64 / self.settings.warm_up as f64).clamp(0.0, 1.0);
                self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * age
            }
            _ => 1.0,
        }
    }

    /// Whether its capacity still grows.
    pub fn is_warming_up(&self, now: Micros) -> bool {
        self.started_at.is_some_and(|started| now - started < self.settings.warm_up)
    }

    /// Jobs on a core or waiting for one.
    pub fn in_flight(&self) -> usize {
        self.queue.len() + self.cores.iter().flatten().count()
    }

    /// Work that arrived within the last window, as a multiple of what the machine can do in that
    /// time.
    pub fn load(&self, now: Micros) -> f64 {
        let capacity = self.settings.cores as f64 * self.settings.speed * self.capacity_share(now);
        self.work_in_window as f64 / (capacity * self.settings.overload_window.max(1) as f64)
    }

    /// A job arrives.
    pub fn submit(&mut self, now: Micros, job: Job) -> Admission {
        self.advance(now);
        if self.is_overloaded_by(now, job.work) {
            return Admission::Overloaded;
        }
        if self.queue.len() >= self.settings.max_queue && self.cores.iter().all(Option::is_some) {
            return Admission::QueueFull;
        }
        self.queue.push_back(job);
        self.start_queued(now);
        Admission::Accepted
    }

    /// Adds work to the window; whether that is more than the machine bears.
    fn is_overloaded_by(&mut self, now: Micros, work: Micros) -> bool {
        if self.settings.overload_multiple <= 0.0 {
            return false;
        }
        self.arrivals.push_back((now, work));
        self.work_in_window += work;
        let window_start = now - self.settings.overload_window;
        while self.arrivals.front().is_some_and(|&(at, _)| at <= window_start) {
            self.work_in_window -= self.arrivals.pop_front().map_or(0, |(_, work)| work);
        }
        let can_overload = !self.settings.overloads_only_while_warming || self.is_warming_up(now);
        can_overload && self.load(now) > self.settings.overload_multiple
    }

    /// When the next job will be done, by what is known now.
    pub fn next_completion_at(&self) -> Option<Micros> {
        if self.frozen_at.is_some() {
            return None;
        }
        self.cores.iter().flatten().map(|(end, _)| *end).min()
    }

    /// The jobs that were done by now, each given once.
    pub fn take_completed(&mut self, now: Micros) -> Vec<CompletedJob> {
        self.advance(now);
        std::mem::take(&mut self.completed)
    }

    /// Stops all work until `thaw`.
    pub fn freeze(&mut self, now: Micros) {
        self.advance(now);
        self.frozen_at.get_or_insert(now);
    }

    /// Work goes on; what was begun is done later by the length of the pause.
    pub fn thaw(&mut self, now: Micros) {
        if let Some(since) = self.frozen_at.take() {
            for (end, _) in self.cores.iter_mut().flatten() {
                *end += now - since;
            }
            self.start_queued(now);
        }
    }

    /// Jobs that start from now on take `slowdown` times as long.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// It starts anew: its warm-up begins, and its jobs are lost.
    pub fn restart(&mut self, now: Micros) {
        *self = Machine::new(self.settings, Some(now));
    }

    fn advance(&mut self, now: Micros) {
        if self.frozen_at.is_some() {
            return;
        }
        // In the order of time: which job a core starts next depends on when it was free.
        while let Some(end) = self.next_completion_at().filter(|&end| end <= now) {
            for core in &mut self.cores {
                if let Some((_, job)) = core.take_if(|(at, _)| *at <= end) {
                    self.completed.push(CompletedJob { id: job.id, ran: true });
                }
            }
            self.start_queued(end);
        }
    }

    fn start_queued(&mut self, now: Micros) {
        if self.frozen_at.is_some() {
            return;
        }
        let rate = self.settings.speed * self.capacity_share(now) / self.slowdown;
        for core in self.cores.iter_mut().filter(|core| core.is_none()) {
            while let Some(job) = self.queue.pop_front() {
                if job.start_by < now {
                    self.completed.push(CompletedJob { id: job.id, ran: false });
                    continue;
                }
                *core = Some((now + (job.work as f64 / rate) as Micros, job));
                break;
            }
        }
    }
}

#[cfg(test)]
mod tests;

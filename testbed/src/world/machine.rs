//! A model of a machine's cores, queue and warm-up: which jobs it accepts, when they complete, and
//! when it is overloaded. Does no I/O: callers pass the time and the work of each job.

use std::collections::VecDeque;

use crate::time::Micros;

/// The settings of a machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineSettings {
    /// Number of jobs that it runs at the same time.
    pub cores: usize,
    /// Work done per unit of time on each core; at 1 a job takes as long as its work says.
    pub speed: f64,
    /// Number of jobs that may wait for a core; more are rejected.
    pub max_queue: usize,
    /// The share of its capacity that a machine has when it starts.
    pub initial_capacity: f64,
    /// Time after its start at which a machine has its whole capacity.
    pub warm_up: Micros,
    /// The machine is overloaded by more work in a window than this multiple of what it can do in
    /// that time at present; 0 for never.
    pub overload_multiple: f64,
    /// The window over which arriving work is summed.
    pub overload_window: Micros,
    /// Whether only a machine that is warming up can be overloaded.
    pub overloads_only_while_warming: bool,
}

/// One command, as a machine runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Chosen by the caller to identify the job.
    pub id: u64,
    /// Time that it takes at speed 1 and whole capacity.
    pub work: Micros,
    /// The job is dropped if no core is free by this time.
    pub start_by: Micros,
}

/// The outcome of submitting a job.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job runs on a core or waits for one.
    Accepted,
    /// The queue is full; the job was rejected.
    QueueFull,
    /// The job's work overloaded the machine, which the caller is to take down.
    Overloaded,
}

/// A job that ran, or was dropped from the queue.
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
    /// When it last started; `None` if it has been up for longer than its warm-up.
    started_at: Option<Micros>,
    frozen_at: Option<Micros>,
    /// Factor by which jobs take longer.
    slowdown: f64,
    /// Arrival times and work of the jobs in the window, whether or not they were accepted.
    arrivals: VecDeque<(Micros, Micros)>,
    /// The sum of `arrivals`.
    work_in_window: Micros,
    completed: Vec<CompletedJob>,
}

impl Machine {
    /// A machine that started at a time, or is warm already (`None`).
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

    /// The share of its whole capacity that it has now, from `initial_capacity` to 1.
    pub fn capacity_share(&self, now: Micros) -> f64 {
        match self.started_at {
            Some(started) if self.settings.warm_up > 0 => {
                let age = ((now - started) as f64 / self.settings.warm_up as f64).clamp(0.0, 1.0);
                self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * age
            }
            _ => 1.0,
        }
    }

    /// Whether its warm-up is still going on.
    pub fn is_warming_up(&self, now: Micros) -> bool {
        self.started_at.is_some_and(|started| now - started < self.settings.warm_up)
    }

    /// Number of jobs on a core or waiting for one.
    pub fn in_flight(&self) -> usize {
        self.queue.len() + self.cores.iter().flatten().count()
    }

    /// Work that arrived within the window, as a multiple of what the machine can do in that time.
    pub fn load(&self, now: Micros) -> f64 {
        let capacity = self.settings.cores as f64 * self.settings.speed * self.capacity_share(now);
        self.work_in_window as f64 / (capacity * self.settings.overload_window.max(1) as f64)
    }

    /// Submits a job.
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

    /// Adds work to the window, and returns whether the machine is overloaded by it.
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

    /// The time at which the next running job completes; `None` if none runs or work is stopped.
    pub fn next_completion_at(&self) -> Option<Micros> {
        if self.frozen_at.is_some() {
            return None;
        }
        self.cores.iter().flatten().map(|(end, _)| *end).min()
    }

    /// Takes the jobs that have completed or were dropped by now.
    pub fn take_completed(&mut self, now: Micros) -> Vec<CompletedJob> {
        self.advance(now);
        std::mem::take(&mut self.completed)
    }

    /// Stops all work until `thaw`.
    pub fn freeze(&mut self, now: Micros) {
        self.advance(now);
        self.frozen_at.get_or_insert(now);
    }

    /// Resumes work; jobs that were running complete later by the length of the pause.
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

    /// Restarts the machine: its warm-up begins, and its jobs are lost.
    pub fn restart(&mut self, now: Micros) {
        *self = Machine::new(self.settings, Some(now));
    }

    fn advance(&mut self, now: Micros) {
        if self.frozen_at.is_some() {
            return;
        }
        // One completion at a time: when a core becomes free decides which queued job it starts.
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

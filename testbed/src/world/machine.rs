//! A machine's cores, its queue and its cold start: what comes in, when it is done, when it falls over. Pure: time comes in
//! with every call, and the work of a command is drawn by whoever brings it.

use std::collections::VecDeque;

use crate::time::Micros;

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub cores: usize,
    /// 1 works through a command in the time that was drawn for it.
    pub speed: f64,
    /// Commands that wait for a core; more are turned away.
    pub queue: usize,
    /// The part of its capacity that a machine has when it starts, and when it has all.
    pub cold_from: f64,
    pub warm_after: Micros,
    /// Asked for more than so many times its present capacity over the window it falls over; 0 for never.
    pub fall_multiple: f64,
    pub fall_window: Micros,
    /// Whether it can fall only while it is cold.
    pub falls_cold_only: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    pub no: u64,
    /// Work at full speed.
    pub need: Micros,
    /// Not begun any more after this.
    pub until: Micros,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    Taken,
    /// The queue is full.
    Full,
    /// This was too much: it is down from now on.
    Fell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    pub no: u64,
    /// Or its time was over before it began.
    pub ran: bool,
}

#[derive(Debug)]
pub struct Machine {
    terms: Terms,
    /// What each core works on, and by when it will have done so.
    cores: Vec<Option<(Micros, Job)>>,
    queue: VecDeque<Job>,
    /// When it last started; `None` for long ago.
    started: Option<Micros>,
    frozen: Option<Micros>,
    /// Takes so many times as long.
    factor: f64,
    /// Work that came within the window, taken or not.
    came: VecDeque<(Micros, Micros)>,
    pressure: Micros,
    over: Vec<Done>,
}

impl Machine {
    pub fn new(terms: Terms, started: Option<Micros>) -> Machine {
        Machine {
            cores: vec![None; terms.cores],
            terms,
            queue: VecDeque::new(),
            started,
            frozen: None,
            factor: 1.0,
            came: VecDeque::new(),
            pressure: 0,
            over: Vec::new(),
        }
    }

    /// The part of its capacity that it has.
    pub fn part(&self, now: Micros) -> f64 {
        match self.started {
            Some(started) if self.terms.warm_after > 0 => {
                let age = ((now - started) as f64 / self.terms.warm_after as f64).clamp(0.0, 1.0);
                self.terms.cold_from + (1.0 - self.terms.cold_from) * age
            }
            _ => 1.0,
        }
    }

    pub fn cold(&self, now: Micros) -> bool {
        self.started.is_some_and(|started| now - started < self.terms.warm_after)
    }

    pub fn held(&self) -> usize {
        self.queue.len() + self.cores.iter().flatten().count()
    }

    /// Work that came within the last window, as a multiple of what it could have done in that time.
    pub fn pressure(&self, now: Micros) -> f64 {
        let capacity = self.terms.cores as f64 * self.terms.speed * self.part(now);
        self.pressure as f64 / (capacity * self.terms.fall_window.max(1) as f64)
    }

    pub fn arrive(&mut self, now: Micros, job: Job) -> Verdict {
        self.advance(now);
        if self.terms.fall_multiple > 0.0 {
            self.came.push_back((now, job.need));
            self.pressure += job.need;
            while self.came.front().is_some_and(|&(at, _)| at <= now - self.terms.fall_window) {
                self.pressure -= self.came.pop_front().map_or(0, |(_, need)| need);
            }
            let may = !self.terms.falls_cold_only || self.cold(now);
            if may && self.pressure(now) > self.terms.fall_multiple {
                return Verdict::Fell;
            }
        }
        if self.queue.len() >= self.terms.queue && self.cores.iter().all(Option::is_some) {
            return Verdict::Full;
        }
        self.queue.push_back(job);
        self.begin(now);
        Verdict::Taken
    }

    /// When something will be done next, by what is known now.
    pub fn due(&self) -> Option<Micros> {
        if self.frozen.is_some() {
            return None;
        }
        self.cores.iter().flatten().map(|(end, _)| *end).min()
    }

    /// What was done by now.
    pub fn done(&mut self, now: Micros) -> Vec<Done> {
        self.advance(now);
        std::mem::take(&mut self.over)
    }

    /// Nothing goes on until it is thawed.
    pub fn freeze(&mut self, now: Micros) {
        self.advance(now);
        self.frozen.get_or_insert(now);
    }

    pub fn thaw(&mut self, now: Micros) {
        if let Some(since) = self.frozen.take() {
            for (end, _) in self.cores.iter_mut().flatten() {
                *end += now - since;
            }
            self.begin(now);
        }
    }

    /// What begins from now on takes so many times as long.
    pub fn slow(&mut self, factor: f64) {
        self.factor = factor;
    }

    /// It starts anew: cold, with nothing held.
    pub fn restart(&mut self, now: Micros) {
        *self = Machine::new(self.terms, Some(now));
    }

    fn advance(&mut self, now: Micros) {
        if self.frozen.is_some() {
            return;
        }
        // In the order of time: what a core begins next depends on when it was free.
        while let Some(end) = self.due().filter(|&end| end <= now) {
            for core in &mut self.cores {
                if let Some((_, job)) = core.take_if(|(at, _)| *at <= end) {
                    self.over.push(Done { no: job.no, ran: true });
                }
            }
            self.begin(end);
        }
    }

    fn begin(&mut self, now: Micros) {
        if self.frozen.is_some() {
            return;
        }
        let rate = self.terms.speed * self.part(now) / self.factor;
        for core in self.cores.iter_mut().filter(|core| core.is_none()) {
            while let Some(job) = self.queue.pop_front() {
                if job.until < now {
                    self.over.push(Done { no: job.no, ran: false });
                    continue;
                }
                *core = Some((now + (job.need as f64 / rate) as Micros, job));
                break;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::time::{MS, SECOND};

    const TERMS: Terms = Terms {
        cores: 1,
        speed: 1.0,
        queue: 2,
        cold_from: 0.25,
        warm_after: 10 * SECOND,
        fall_multiple: 2.0,
        fall_window: SECOND,
        falls_cold_only: true,
    };

    fn job(no: u64) -> Job {
        Job { no, need: 100 * MS, until: 5 * SECOND }
    }

    #[test]
    fn a_pause_delays_what_is_held_by_its_length_and_ends_what_is_over() {
        let mut machine = Machine::new(TERMS, None);
        for no in 0..3 {
            assert_eq!(machine.arrive(0, Job { until: 250 * MS, ..job(no) }), Verdict::Taken);
        }
        assert_eq!(machine.arrive(0, job(3)), Verdict::Full);
        machine.freeze(50 * MS);
        assert_eq!(machine.due(), None);
        assert_eq!(machine.done(2 * SECOND), []);
        machine.thaw(2_050 * MS);
        let done = machine.done(2_100 * MS);
        assert_eq!(done[0], Done { no: 0, ran: true });
        assert!(done[1..].iter().all(|done| !done.ran) && done.len() == 3, "{done:?}");
    }

    #[test]
    fn a_cold_machine_works_slower_and_falls_where_a_warm_one_does_not() {
        let mut cold = Machine::new(TERMS, Some(0));
        cold.arrive(0, job(0));
        assert_eq!(cold.due(), Some(400 * MS));
        let fell = (1..20).position(|no| cold.arrive(no as Micros, job(no)) == Verdict::Fell);
        // Twice a quarter of a second's work within a second: the sixth command is too much.
        assert_eq!(fell, Some(4));
        let mut warm = Machine::new(TERMS, None);
        assert!((0..20).all(|no| warm.arrive(no as Micros, job(no)) != Verdict::Fell));
    }
}

//! One attempt of a balancer at a machine: from its last byte to the response, with its effects on
//! stores and the faults that apply to it.

use std::rc::Rc;

use basaltwood_wire::facts::fact;
use basaltwood_wire::resp;
use bytes::Bytes;
use rand::Rng;

use super::connection::Response;
use super::cores::JobOutcome;
use super::protocol::{Command, Reply};
use super::{Host, RecentMiss};
use crate::experiment::{CacheMode, DeduplicationScope, FaultKind, RetrySafety};
use crate::ledger::Observation;
use crate::time::{millis, Micros, SECOND};

/// The longest time that a command may wait for a core, in milliseconds.
const MAX_WAIT_MS: f64 = 3.6e6;
/// A miss costs a host the work of a hit divided by this, since only the lookup is done.
const MISS_WORK_DIVISOR: Micros = 4;
/// How long the origin remembers misses; must exceed every overload window.
const MISSES_KEPT: Micros = 10 * SECOND;
/// Length of a garbled reply, in bytes.
const GARBLED_REPLY_BYTES: usize = 24;
/// First number of the deduplication scopes of cells, above those of zones.
const FIRST_CELL_SCOPE: u32 = 1_000_000;

/// A command that a machine works on.
struct Attempt {
    command: Command,
    balancer: usize,
    received_at: Micros,
    /// The attempt is rejected if no core has started it by this time.
    start_by: Micros,
    /// The index of its request class, if it has one.
    class: Option<usize>,
    service_time: Micros,
    /// Whether the machine needs no value from the origin: for a write, for a read of a key that it
    /// holds, and at the origin itself.
    is_hit: bool,
}

impl Host {
    /// Works on an attempt. `first_byte_at` is when its first byte came; now if it is `None`.
    /// `connection_cost` is additional work.
    pub(super) async fn handle_attempt(
        self: &Rc<Host>,
        balancer: usize,
        command: Command,
        first_byte_at: Option<Micros>,
        connection_cost: Micros,
    ) -> Response {
        let received_at = self.now();
        let began = first_byte_at.unwrap_or(received_at);
        let (id, host) = (command.id, self.settings.no);
        self.shared.ledger.note(Observation::AttemptReceived { id, host, balancer, began });
        if self.fault_applies(FaultKind::Busy, received_at, balancer) {
            return self.reject(&command);
        }
        let attempt = self.prepare(balancer, command, received_at);
        let does_full_work = attempt.is_hit || self.shared.mode == CacheMode::Through;
        let work =
            if does_full_work { attempt.service_time } else { attempt.service_time / MISS_WORK_DIVISOR };
        match self.run_job(work + connection_cost, attempt.start_by).await {
            JobOutcome::Completed => {}
            JobOutcome::Rejected => return self.reject(&attempt.command),
            JobOutcome::HostDown => return Response::Reset,
        }
        if let Some(response) = self.complete_elsewhere(&attempt).await {
            return response;
        }
        self.record_execution(&attempt);
        self.respond(&attempt)
    }

    fn prepare(&self, balancer: usize, command: Command, received_at: Micros) -> Attempt {
        let service_times = &self.shared.service_times;
        let timeout_ms = fact(&command.facts, "d").and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(0.0);
        let class = fact(&command.facts, "c").and_then(|name| service_times.class_index(name));
        let service_time = {
            let mut rng = self.shared.rng.borrow_mut();
            service_times.draw(&mut *rng, class, self.is_origin())
        };
        let is_hit = command.write || self.is_origin() || self.holds(&command.key);
        let start_by = received_at + millis(timeout_ms.clamp(0.0, MAX_WAIT_MS));
        Attempt { command, balancer, received_at, start_by, class, service_time, is_hit }
    }

    fn holds(&self, key: &Bytes) -> bool {
        self.store.borrow().holds(key, self.shared.last_write_to(key))
    }

    /// Whether a fault of this kind that was active when the attempt came applies to it.
    fn fault_applies(&self, kind: FaultKind, received_at: Micros, balancer: usize) -> bool {
        let probability = self.shared.faults.probability(received_at, kind, self.settings.no, balancer);
        self.shared.draw(probability)
    }

    /// Reports a miss to the balancer, or calls the origin if this host passes commands on. Returns
    /// a response if that ends the attempt.
    async fn complete_elsewhere(self: &Rc<Host>, attempt: &Attempt) -> Option<Response> {
        let passes_on = self.shared.mode == CacheMode::Through;
        if !attempt.is_hit && !passes_on {
            return Some(self.report_miss(&attempt.command));
        }
        let is_write_through = attempt.command.write && !self.is_origin() && passes_on;
        if attempt.is_hit && !is_write_through {
            return None;
        }
        match self.call_origin(attempt).await {
            JobOutcome::Completed if attempt.is_hit => None,
            JobOutcome::Completed => {
                self.store_key(attempt.command.key.clone());
                None
            }
            JobOutcome::Rejected => Some(self.reject(&attempt.command)),
            JobOutcome::HostDown => Some(self.reply(&Reply::Failed)),
        }
    }

    fn report_miss(self: &Rc<Host>, command: &Command) -> Response {
        let id = command.id;
        self.shared.ledger.note(Observation::KeyMissing { id, host: self.settings.no });
        self.shared.record_miss(id, self.clone(), command.key.clone());
        self.report_miss_to_origin();
        self.reply(&Reply::Miss)
    }

    /// The origin's part of a read or write that this host passes on.
    async fn call_origin(&self, attempt: &Attempt) -> JobOutcome {
        self.report_miss_to_origin();
        let origin = self.shared.origin.borrow().clone();
        let Some(origin) = origin.filter(|origin| !origin.is_down()) else { return JobOutcome::HostDown };
        let service_times = &self.shared.service_times;
        let at_origin = {
            let mut rng = self.shared.rng.borrow_mut();
            service_times.draw(&mut *rng, attempt.class, true)
        };
        origin.run_job(at_origin.max(attempt.service_time), attempt.start_by).await
    }

    /// Reports a miss to the origin, which records the hosts that cause its load in case of
    /// overload.
    fn report_miss_to_origin(&self) {
        let now = self.now();
        let host_warming_up = self.machine.borrow().is_warming_up(now);
        if let Some(origin) = &*self.shared.origin.borrow() {
            let mut misses = origin.misses.borrow_mut();
            misses.push_back(RecentMiss { at: now, host_warming_up });
            while misses.front().is_some_and(|miss| miss.at < now - MISSES_KEPT) {
                misses.pop_front();
            }
        }
    }

    /// Applies an executed command to the stores, and records it and whether it took effect.
    fn record_execution(&self, attempt: &Attempt) {
        let command = &attempt.command;
        let mut effect = command.write;
        if command.write {
            effect = self.takes_effect(attempt);
            self.shared.record_write(&command.key);
        } else if self.is_origin() {
            self.shared.fill_missed(command.id);
        }
        let (id, host) = (command.id, self.settings.no);
        self.shared.ledger.note(Observation::Executed { id, host, effect });
    }

    /// Whether a write takes effect, or is a repeat that its deduplication scope drops.
    fn takes_effect(&self, attempt: &Attempt) -> bool {
        let Some(idempotency_key) = fact(&attempt.command.facts, "k") else { return true };
        let Some(class) = attempt.class else { return true };
        let class = self.shared.service_times.class(class);
        if class.retry_safety != RetrySafety::Deduplicated {
            return true;
        }
        let scope = match class.deduplication_scope {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => 1 + self.settings.zone,
            DeduplicationScope::Cell => FIRST_CELL_SCOPE + self.settings.no.0,
        };
        let now = self.now();
        let first_run = self.shared.first_run(idempotency_key, scope, now);
        first_run == now || now - first_run > millis(class.window_ms)
    }

    /// The response to an executed command, after the faults that apply to it.
    fn respond(&self, attempt: &Attempt) -> Response {
        let fault_applies = |kind| self.fault_applies(kind, attempt.received_at, attempt.balancer);
        if fault_applies(FaultKind::Error) {
            return self.reply(&Reply::Failed);
        }
        if fault_applies(FaultKind::Lost) {
            return Response::Mute;
        }
        if fault_applies(FaultKind::Reset) {
            return Response::Reset;
        }
        if fault_applies(FaultKind::Spoil) {
            let garbled: [u8; GARBLED_REPLY_BYTES] = self.shared.rng.borrow_mut().random();
            return Response::LastReply(Bytes::copy_from_slice(&garbled));
        }
        self.reply(&Reply::Value(&self.value_for(&attempt.command)))
    }

    /// The value made for this request. It begins with the request's id, by which the client checks
    /// that it is its own.
    fn value_for(&self, command: &Command) -> Vec<u8> {
        let mut value = format!("{}:{}:", command.id, self.settings.name).into_bytes();
        let size = fact(&command.facts, "size").and_then(|size| size.parse::<usize>().ok()).unwrap_or(0);
        let length = value.len().max(size.min(resp::MAX_BUFFERED_VALUE));
        value.resize(length, b'.');
        value
    }

    fn reject(&self, command: &Command) -> Response {
        let (id, host) = (command.id, self.settings.no);
        self.shared.ledger.note(Observation::AttemptRejected { id, host });
        self.reply(&Reply::Rejected)
    }

    fn reply(&self, reply: &Reply<'_>) -> Response {
        let carries_report = matches!(reply, Reply::Value(_) | Reply::Miss);
        let sends_reports = !self.is_origin() && self.settings.report_interval > 0;
        let load_report = (carries_report && sends_reports).then(|| self.load_report());
        Response::Reply(self.protocol().encode(reply, load_report.as_deref()))
    }
}

//! THE module: every decision and every tuned constant of a balancer.
//!
//! `Policy::hear(now, heard, &mut orders)` is told each event in turn and adds what is to be done, purely:
//! no clock, no I/O, no global. The interface is in `types.rs`.
//! Each host is an actor with an inbox (`HostTracker`), and so is the desk that holds the ops (`Dispatcher`): the loop in
//! `hear` empties them. `Dispatcher::push` and `Dispatcher::close` are the gate, and there the four rules are kept.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::histogram::{Bucket, Histogram, LoadCounts, SendWindows};
use crate::ring::Ring;
use crate::types::*;
use zones::{HostActivity, ZoneOutageDetector};

mod views;
mod zones;

// The ordinary path: ring and hot keys.
const RING_POINTS_PER_HOST: f64 = 64.0; // per host of mean weight: arcs within about an eighth of their mean
const OVERLOAD_RATIO: f64 = 1.5; // overloaded: above so many times the mean load of the hosts used
const HOT_KEY_LOAD_SHARE: f64 = 0.1; // hot: at least this share of its overloaded home's load
const OVERLOADED_AFTER: Micros = 2_000_000;
const LOAD_HALF_LIFE: Micros = 1_400_000; // of the load counts: what is left of a send after 2 s is about a third
const MIN_SENDS_PER_HALF_LIFE: f64 = 2.0; // sends a host that the counts last for: a quiet balancer meets a key seldom
const MIN_HOT_KEY_SENDS: f64 = 2.0; // a key with fewer counted sends is never hot: chance repeats at a quiet balancer
const MAX_TRACKED_KEYS: usize = 2_048; // the hot-key table's size
const MIN_HOT_KEY_HOLDERS: u64 = 3; // at least; more where three would each read more of the key than the mean load

// Departures.
const SWEEP_INTERVAL: Micros = 50_000;
const SUSPECT_EVIDENCE: f64 = 5.0; // evidence, in typical answer times, that a host is not answering
const FAILURE_EVIDENCE: f64 = 3.0; // evidence in one lost connection or unanswered push
const MAX_OVERDUE_ATTEMPTS: usize = 3; // the pushes out that count as evidence: one slow op must not stand for many
const MIN_EJECTION_TIME: Micros = 2_000_000; // a silent host is left out so long at least, and may be new by then
const LATENCY_TOLERANCE: f64 = 1.3; // a limit bears answer times to this over the shortest, or a quarter of the target
const FULL_SHARE_LATENCY_RATIO: f64 = 1.2; // answer time over the fleet's median up to which a host keeps all its keys
const KEY_SHARE_GAIN: f64 = 0.06; // step of the share towards its target: faster, and the load rolls from host to host
const MIN_KEY_SHARE: f64 = 0.05; // of its own keys that a slow host keeps, to see it recover
const MAX_SPILLS: usize = 1; // hosts past the first that an op may try for room
const MAX_SELECTIONS: usize = 3; // hosts that are looked at when the gate lets none through
const ORIGIN_LATENCY_FACTOR: f64 = 3.0; // such quarters, of the shortest target: a slow origin still serves
const EVALUATION_INTERVAL: Micros = 250_000; // how often a host's limit and share are set anew
const MIN_SAMPLES: f64 = 4.0; // answers that make a measure
const MAX_SAMPLE_WEIGHT: f64 = 8.0; // answers that one stands for at most, after a long gap
const TIMEOUT_DECREASE: f64 = 0.85; // of the limit, kept at each push that timed out
const LIMIT_GROWTH: f64 = 2.0; // of a limit, a step that brought answers, over all balancers together
const MIN_LIMIT: f64 = 0.3;
const INITIAL_LIMIT: f64 = 6.0;
const MAX_LIMIT: f64 = 256.0;
const WARMING_MARGIN: f64 = 0.6; // of what pushes a cold host over that it gets at most: homes are not alike
const WARMING_DEVIATION_PART: f64 = 0.5; // of what a cold host may get by rng, used: what comes varies by itself too
const MIN_SENDS_PER_WINDOW: f64 = 0.05; // sends to a host in a window: a balancer with fewer does not know how few they are
const WARMING_KEY_SHARE: f64 = 0.1; // of all reads: one key with so much must not push over a cold host
const RETRIES_PER_SUCCESS: f64 = 0.2; // further pushes or spills earned by an acked op
const READ_THROUGH_RETRIES_PER_SUCCESS: f64 = 0.02; // the same in through mode, where each of them may be one more fetch
const MAX_RETRY_BUDGET: f64 = 20.0;

enum HostMessage {
    Endpoint(Endpoint),
    AttemptStarted(RequestId, AttemptNumber),
    OnNewConnection(RequestId, AttemptNumber), // that push goes on a new connection
    AttemptEnded(RequestId, AttemptNumber, AttemptOutcome, Micros),
    Alive, // it answered on a connection from before its silence
    ProcessStalled(Micros),
    LearnedLimit(f64), // how much could be in flight there at the process that this one replaces
    /// The fleet's typical answer time, the longest for the shortest, the time between pushes; if to judge.
    Sweep(f64, f64, Micros, bool),
}

enum DispatcherMessage {
    Event(PolicyEvent),
    HostStatus(HostId, Box<HostStatus>),
    HostSuspected(RequestId), // its host does not answer: an op that is out there may go elsewhere
}

/// The inboxes, the orders made, and the time of the event in hand.
#[derive(Default)]
struct Mailboxes {
    now: Micros,
    dispatcher: VecDeque<DispatcherMessage>,
    hosts: Vec<VecDeque<HostMessage>>,
    ready_hosts: VecDeque<HostId>,
    actions: Vec<PolicyAction>,
}

impl Mailboxes {
    fn host(&mut self, host: HostId, message: HostMessage) {
        self.hosts[host.0 as usize].push_back(message);
        self.ready_hosts.push_back(host);
    }
}

pub struct Policy {
    mailboxes: Mailboxes,
    dispatcher: Dispatcher,
    hosts: Vec<HostTracker>,
}

impl Policy {
    pub fn new(terms: &PolicyConfig) -> Policy {
        Policy { mailboxes: Mailboxes::default(), dispatcher: Dispatcher::new(terms), hosts: Vec::new() }
    }

    /// Takes one event and adds what is to be done to `orders`.
    pub fn handle(&mut self, now: Micros, event: PolicyEvent, actions: &mut Vec<PolicyAction>) {
        self.mailboxes.now = now;
        if let PolicyEvent::Endpoints { endpoints, .. } = &event {
            let known = endpoints.iter().map(|entry| entry.host.0 as usize + 1).max().unwrap_or(0);
            for id in (self.hosts.len() as u32..known as u32).map(HostId) {
                let (cold, capabilities) = (self.dispatcher.slow_start.clone(), self.dispatcher.capabilities);
                self.hosts.push(HostTracker::new(
                    id,
                    cold,
                    self.dispatcher.fleet_limit.growth,
                    capabilities.keeps_dropped_hosts,
                ));
                self.mailboxes.hosts.push(VecDeque::new());
                self.dispatcher.host_statuses.push(HostStatus::default());
            }
        }
        self.mailboxes.dispatcher.push_back(DispatcherMessage::Event(event));
        loop {
            if let Some(host) = self.mailboxes.ready_hosts.pop_front() {
                let host = host.0 as usize;
                let message = self.mailboxes.hosts[host].pop_front().expect("a ready host has a message");
                self.hosts[host].handle(message, &mut self.mailboxes);
            } else if let Some(message) = self.mailboxes.dispatcher.pop_front() {
                self.dispatcher.handle(message, &mut self.mailboxes);
            } else {
                break;
            }
        }
        actions.append(&mut self.mailboxes.actions);
    }
}

/// What a host shows the desk.
#[derive(Clone, Default)]
struct HostStatus {
    endpoint: Option<Endpoint>,
    suspected: bool,
    capacity: f64,  // the part of its capacity that it surely has since its start; 1 when warm
    key_share: f64, // the part of its own keys that it keeps
    limit: ConcurrencyLimit,
    in_flight: usize,
    activity: HostActivity,
    /// Nothing to judge and nothing under way: a sweep may pass it by. Fleets are large, ops at one host few.
    idle: bool,
}

impl HostStatus {
    fn is_up(&self) -> bool {
        self.endpoint.as_ref().is_some_and(|endpoint| endpoint.lifecycle == Lifecycle::Up)
    }

    /// The part of its keys that it keeps.
    fn kept_key_share(&self, warming_share: f64) -> f64 {
        self.key_share * if self.capacity < 1.0 { (warming_share * self.capacity).min(1.0) } else { 1.0 }
    }

    fn is_cache(&self) -> bool {
        self.is_up() && !self.is_origin()
    }

    fn is_origin(&self) -> bool {
        self.endpoint.as_ref().is_some_and(|endpoint| endpoint.origin)
    }
}

/// How much may be in flight at a host, or at all cache hosts together.
#[derive(Clone, Default)]
struct ConcurrencyLimit {
    limit: f64,
    growth: f64,
    next_start_at: Micros, // below one the next push waits, so that on the whole no more than that is out
    latencies: Histogram,
    min_latency: f64,
    peak_in_flight: usize,
    has_new_samples: bool, // answered since last judged: an old answer must not cut the limit again and again
}

impl ConcurrencyLimit {
    fn new(limit: f64, growth: f64) -> ConcurrencyLimit {
        ConcurrencyLimit { limit, growth, min_latency: f64::MAX, ..ConcurrencyLimit::default() }
    }

    /// What is out beside the one that always may be varies by its root, which evens out over many balancers.
    fn has_capacity(
        &self,
        in_flight: usize,
        limit_share: f64,
        other_balancers_part: f64,
        now: Micros,
    ) -> bool {
        let limit = self.limit * limit_share;
        (in_flight as f64) < (limit + ((limit - 1.0).max(0.0) * other_balancers_part).sqrt()).max(1.0)
            && now >= self.next_start_at
    }

    /// Whether no typical answer is there in this time.
    fn is_too_short(&self, span: Micros) -> bool {
        self.min_latency < f64::MAX && (span as f64) < self.min_latency
    }

    /// The least is for all balancers together too: a jam fed by hundreds of them would never end.
    fn decrease(&mut self, factor: f64) {
        // From where it is used: one that stands far above what is out would be cut for seconds to no effect.
        let used = if factor < 1.0 { INITIAL_LIMIT + 2.0 * self.peak_in_flight as f64 } else { MAX_LIMIT };
        self.limit = (self.limit.min(used) * factor).max(MIN_LIMIT * self.growth);
    }

    fn record(&mut self, elapsed: Micros, weight: f64, now: Micros) {
        self.latencies.add(elapsed, weight);
        self.has_new_samples = true;
        self.next_start_at = now + (elapsed as f64 * (1.0 / self.limit.min(1.0) - 1.0)) as Micros;
    }

    /// Follows the shortest answer time over the present one, from a time that is bearable anyway.
    fn evaluate(&mut self, present: Option<f64>, quarter: f64, bearable: f64, parts: f64, in_flight: usize) {
        let step = (self.growth * parts).min(parts.max(1.0));
        if let Some(present) =
            present.filter(|_| self.has_new_samples && self.latencies.total() >= MIN_SAMPLES)
        {
            // A host that was in a jam when first met must not pass its jam for its shortest answer time.
            self.min_latency = (self.min_latency * 1.005).min(present).min(quarter);
            self.decrease(((LATENCY_TOLERANCE * self.min_latency).max(bearable) / present).min(1.0));
            self.limit = (self.limit + step).min(MAX_LIMIT);
        } else if self.limit < 1.0 {
            self.limit = (self.limit + step).min(1.0);
        }
        self.latencies.halve_at(2.0 * MIN_SAMPLES);
        (self.has_new_samples, self.peak_in_flight) = (false, in_flight);
    }
}

/// One host as this balancer sees it: its life, health, answer times and room.
#[derive(Default)]
struct HostTracker {
    id: HostId,
    slow_start: SlowStart,
    status: HostStatus,
    in_flight: BTreeMap<(RequestId, AttemptNumber), (Micros, bool)>, // when each was sent, and whether on a new connection
    warming_since: Option<Micros>,
    suspected_since: Option<Micros>,
    failure_evidence: f64,
    last_served_sent_at: Micros, // when the last push of those that have a value or a miss was sent
    sampled_at: Micros,          // when the last answer time came
    sample_gap: Micros,          // and how long after the one before
    was_drained: bool,           // the list said so: that binds, whatever it says later
    is_dropped: bool,            // the list names it no more, and its own answers are what keeps it
    keeps_dropped_hosts: bool,
}

impl HostTracker {
    fn new(id: HostId, slow_start: SlowStart, growth: f64, keeps_dropped_hosts: bool) -> HostTracker {
        let status = HostStatus {
            key_share: 1.0,
            limit: ConcurrencyLimit::new(INITIAL_LIMIT, growth),
            ..HostStatus::default()
        };
        HostTracker { id, slow_start, status, keeps_dropped_hosts, ..HostTracker::default() }
    }

    fn handle(&mut self, message: HostMessage, mailboxes: &mut Mailboxes) {
        match message {
            HostMessage::Endpoint(endpoint) => {
                // A number that was free stands for another host now.
                if self.status.endpoint.as_ref().is_some_and(|old| old.position != endpoint.position) {
                    let growth = self.status.limit.growth;
                    *self =
                        HostTracker::new(self.id, self.slow_start.clone(), growth, self.keeps_dropped_hosts);
                }
                self.was_drained |= endpoint.lifecycle == Lifecycle::Draining;
                // A list may be wrong: one that shrinks must not empty the ring of hosts that answer.
                let gone = endpoint.lifecycle == Lifecycle::Gone;
                self.is_dropped =
                    gone && self.keeps_dropped_hosts && !self.was_drained && self.has_own_evidence();
                if self.is_dropped {
                    return;
                }
                let before = self.status.endpoint.as_ref().and_then(|old| old.started_at);
                if endpoint.started_at.is_some() && endpoint.started_at != before {
                    self.warming_since = self.warming_since.max(endpoint.started_at);
                    self.mark_healthy();
                }
                self.status.endpoint = Some(endpoint);
            }
            HostMessage::AttemptStarted(request, attempt) => {
                self.in_flight.insert((request, attempt), (mailboxes.now, false));
                self.status.limit.peak_in_flight = self.status.limit.peak_in_flight.max(self.in_flight.len());
            }
            HostMessage::OnNewConnection(request, attempt) => {
                if let Some(out) = self.in_flight.get_mut(&(request, attempt)) {
                    out.1 = true;
                }
            }
            HostMessage::AttemptEnded(request, attempt, outcome, elapsed) => {
                self.ended(request, attempt, outcome, elapsed, mailboxes.now)
            }
            HostMessage::Alive => self.restore(mailboxes.now),
            HostMessage::ProcessStalled(span) => self.in_flight.values_mut().for_each(|out| out.0 += span),
            // Both are one balancer: its clients bring no more now than a moment ago.
            HostMessage::LearnedLimit(room) => self.status.limit.limit = room.clamp(MIN_LIMIT, MAX_LIMIT),
            HostMessage::Sweep(typical, quarter, apart, judge) => {
                self.sweep(typical, quarter, apart, judge, mailboxes)
            }
        }
        if self.is_dropped && !self.has_own_evidence() {
            self.is_dropped = false;
            self.status.endpoint.as_mut().expect("it was listed").lifecycle = Lifecycle::Gone;
        }
        let status = &mut self.status;
        status.capacity =
            self.warming_since.map_or(1.0, |since| self.slow_start.minimum_capacity(mailboxes.now - since));
        (status.suspected, status.in_flight) = (self.suspected_since.is_some(), self.in_flight.len());
        let settled = self.failure_evidence < 0.1 && status.key_share > 0.98 && status.limit.limit >= 1.0;
        let quiet = self.in_flight.is_empty() && status.limit.peak_in_flight == 0;
        status.idle = settled && quiet && !status.suspected && status.capacity >= 1.0;
        mailboxes.dispatcher.push_back(DispatcherMessage::HostStatus(self.id, Box::new(status.clone())));
    }

    /// By what it showed this balancer itself.
    fn has_own_evidence(&self) -> bool {
        self.suspected_since.is_none() && self.status.is_up() && self.status.activity.answered_at > 0
    }

    fn mark_healthy(&mut self) {
        self.suspected_since = None;
        self.failure_evidence = 0.0;
    }

    /// What its silence let assume, that it may be cold, does not hold; what the list says of it does.
    fn restore(&mut self, now: Micros) {
        self.warming_since = self.status.endpoint.as_ref().and_then(|endpoint| endpoint.started_at);
        self.status.activity.answered_at = now;
        self.mark_healthy();
    }

    fn ended(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        elapsed: Micros,
        now: Micros,
    ) {
        let Some((sent, new_connection)) = self.in_flight.remove(&(request, attempt)) else { return };
        // One that was overtaken by far is lost by itself: those that went after it have their latencies.
        if outcome == AttemptOutcome::TimedOut && self.last_served_sent_at - sent >= elapsed / 2 {
            return;
        }
        self.status.activity.record(outcome, sent, now);
        // Of a connection's first push most is the connection's: it counts where no better is known. A client
        // that gives up before any answer can be there tells of itself.
        let short = outcome == AttemptOutcome::TimedOut && self.status.limit.is_too_short(elapsed);
        let tells = !short
            && (!new_connection
                || (now - self.sampled_at) as f64 >= MAX_SAMPLE_WEIGHT * EVALUATION_INTERVAL as f64);
        match outcome {
            AttemptOutcome::Succeeded | AttemptOutcome::Miss => {
                self.last_served_sent_at = self.last_served_sent_at.max(sent);
                self.mark_healthy();
                // Nothing that is cold has a value sooner than it used to.
                if outcome == AttemptOutcome::Succeeded && self.status.limit.is_too_short(elapsed) {
                    self.restore(now);
                }
            }
            AttemptOutcome::Error => self.failure_evidence += FAILURE_EVIDENCE / 2.0,
            // One that does nothing else drains or is ending, whatever the list says.
            AttemptOutcome::Rejected => {
                self.status.limit.decrease(0.5);
                self.failure_evidence += FAILURE_EVIDENCE / 3.0;
            }
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost => {
                self.failure_evidence += FAILURE_EVIDENCE
            }
            // Too much is in flight; and silence, unless other answers came meanwhile.
            AttemptOutcome::TimedOut => {
                self.status.limit.decrease(if tells { TIMEOUT_DECREASE } else { 1.0 });
                // Where pushes are seldom no other is a witness: the host would lose it op after op.
                if self.status.activity.answered_at < sent {
                    self.failure_evidence +=
                        if self.in_flight.is_empty() { 2.0 * FAILURE_EVIDENCE } else { FAILURE_EVIDENCE };
                }
            }
            AttemptOutcome::ConnectionFault | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        if matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::TimedOut) && tells {
            self.sample_gap = now - self.sampled_at;
            self.sampled_at = now;
            // At a quiet balancer one answer stands for all that the host gave others meanwhile.
            self.status.limit.record(
                elapsed,
                (self.sample_gap as f64 / EVALUATION_INTERVAL as f64).clamp(1.0, MAX_SAMPLE_WEIGHT),
                now,
            );
        }
    }

    fn sweep(&mut self, typical: f64, quarter: f64, apart: Micros, judge: bool, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        // Time-outs count as answer times: they must not make silence look like slowness.
        let own = self.status.limit.latencies.mean().unwrap_or(typical).max(typical).min(quarter);
        let waits = self
            .in_flight
            .values()
            .filter(|&&(sent, new_connection)| sent >= self.last_served_sent_at && !new_connection);
        let missed = waits.map(|&(sent, _)| (now - sent.max(self.status.activity.answered_at)) as f64 / own);
        let evidence = self.failure_evidence + missed.take(MAX_OVERDUE_ATTEMPTS).sum::<f64>();
        if evidence > SUSPECT_EVIDENCE && self.suspected_since.is_none() && !self.status.is_origin() {
            self.suspected_since = Some(now);
            mailboxes
                .dispatcher
                .extend(self.in_flight.keys().map(|&(request, _)| DispatcherMessage::HostSuspected(request)));
        }
        // Long enough to be started anew, so cold. A jam that quiet balancers each feel for would never end.
        if self
            .suspected_since
            .is_some_and(|since| now - since >= self.sample_gap.min(apart).max(MIN_EJECTION_TIME))
        {
            self.warming_since = Some(now);
            self.mark_healthy();
        }
        if !judge {
            return;
        }
        let (bearable, parts) =
            if self.status.is_origin() { (ORIGIN_LATENCY_FACTOR, 2.0) } else { (1.0, 1.0) };
        let (mean, total) = (self.status.limit.latencies.mean(), self.status.limit.latencies.total());
        self.status.limit.evaluate(mean, quarter, bearable * quarter, parts, self.in_flight.len());
        // One time-out may be all that a quiet balancer hears; the fleet's typical time counts as one answer.
        let present = (mean.unwrap_or(0.0) * total + typical) / (total + 1.0);
        let target = (FULL_SHARE_LATENCY_RATIO * typical / present).clamp(MIN_KEY_SHARE, 1.0);
        self.status.key_share += (target - self.status.key_share)
            * (KEY_SHARE_GAIN * self.sample_gap.max(EVALUATION_INTERVAL) as f64 / EVALUATION_INTERVAL as f64)
                .min(1.0);
    }
}

/// The hosts found overloaded and the keys found hot by own sends.
#[derive(Default)]
struct LoadStatistics {
    counts: LoadCounts,
    overloaded_since: Vec<Option<Micros>>,
    hot_keys: BTreeSet<RingPosition>,
}

impl LoadStatistics {
    fn overloaded(&self, host: HostId, now: Micros) -> bool {
        self.overloaded_since[host.0 as usize].is_some_and(|since| now - since >= OVERLOADED_AFTER)
    }

    fn sweep(&mut self, now: Micros) {
        let mean = self.counts.mean();
        for (load, since) in self.counts.hosts.iter().zip(&mut self.overloaded_since) {
            *since = (*load > OVERLOAD_RATIO * mean).then(|| since.unwrap_or(now));
        }
        let stays = |key: &RingPosition, count: f64| {
            self.hot_keys.contains(key) && count >= HOT_KEY_LOAD_SHARE * mean
        };
        let comes = |count: f64, home: HostId| {
            let part = HOT_KEY_LOAD_SHARE * self.counts.hosts[home.0 as usize];
            // A key that alone is past the bound needs no time to be told from rng.
            count >= MIN_HOT_KEY_SENDS.max(part)
                && (count > OVERLOAD_RATIO * mean || self.overloaded(home, now))
        };
        let hot = self.counts.keys.iter().filter(|(key, &(n, home))| stays(key, n) || comes(n, home));
        self.hot_keys = hot.map(|(&key, _)| key).collect();
        self.counts.halve(now, LOAD_HALF_LIFE, MIN_SENDS_PER_HALF_LIFE);
    }
}

/// What the desk keeps of a category's terms.
struct ClassParameters {
    latency_objective: Micros, // less two ticks
    late_is_useful: bool,      // whether an answer past it is of use
    limit_share: f64,          // the part of a host's room that it may fill
    max_retries: u32,          // further pushes that an op may have
    retry_safety: RetrySafety,
}

#[derive(Default)]
struct OpenRequest {
    class: usize,
    key: Option<RingPosition>,
    is_write: bool,
    expires_at: Micros,
    limit_share: f64,
    attempts_started: u32,
    retries_left: u32,
    in_flight: Vec<(AttemptNumber, HostId, Micros)>, // pushes out: where, and when each was sent
    tried: Vec<HostId>,
    may_have_run: Option<(HostId, Micros)>, // where and when the first such push went
    missed: bool,
    last_error_host: Option<HostId>, // where its last error came from
}

#[derive(Default)]
struct Dispatcher {
    rng: SeededRng,
    salt: u64, // of its own, so that balancers leave different keys of a slow host
    slow_start: SlowStart,
    warming_share: f64,            // of what a cold host surely bears, kept there
    mean_kept_key_share: f64,      // the part of a host's keys that it keeps, over all hosts
    send_interval: Micros,         // own sends to a host of mean load, one from the next
    mean_sends_per_window: f64, // own sends to a host of mean load in the window in which a cold one may fall
    fleet_limit: ConcurrencyLimit, // of all cache hosts together
    other_balancers_part: f64,  // the part of all balancers that the others are
    in_flight_total: usize,
    evaluated_at: Micros,
    capabilities: Capabilities,
    retry_after: Option<Micros>,
    over_quota_limit_share: f64,
    classes: Vec<ClassParameters>,
    tenant_quotas: Vec<Bucket>, // ops a second of each within its share at this balancer
    typical_latency: f64,
    latency_objective: f64, // the target latency of late, over the ops taken
    shortest_objective: f64,
    host_statuses: Vec<HostStatus>,
    warming_sends: SendWindows,
    ring: Ring,
    ring_is_stale: bool,
    loads: LoadStatistics,
    failing_keys: BTreeSet<RingPosition>, // keys whose ops got errors from two hosts, and no value since
    zones: ZoneOutageDetector,
    requests: BTreeMap<RequestId, OpenRequest>,
    retry_budget: f64,
    connection_retry_budget: f64, // the same for what was lost with a connection alone
    retries_per_success: f64,     // further pushes, by an acked op
    failed_watches: u32,
    started: bool,
}

impl Dispatcher {
    fn new(terms: &PolicyConfig) -> Dispatcher {
        let top = terms.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
        let classes = terms.classes.iter().map(|class| ClassParameters {
            latency_objective: (class.latency_objective - 2 * terms.tick).max(terms.tick),
            late_is_useful: class.late_weight > 0.0,
            limit_share: 0.6 + 0.4 * class.priority_weight / top.max(1e-9),
            max_retries: 1 + (2.0 * class.priority_weight / top.max(1e-9)) as u32,
            retry_safety: class.retry_safety,
        });
        let shortest = terms.classes.iter().map(|class| class.latency_objective).min().unwrap_or(0);
        let part = 1.0 / f64::from(terms.balancers);
        let mut rng = SeededRng::new(terms.seed);
        Dispatcher {
            salt: rng.draw(),
            rng,
            slow_start: terms.slow_start.clone(),
            fleet_limit: ConcurrencyLimit::new(MAX_LIMIT, (LIMIT_GROWTH * part).min(1.0)),
            other_balancers_part: 1.0 - part,
            capabilities: terms.capabilities,
            retry_after: terms.max_retry_after.map(|longest| longest.min(shortest / 2)),
            over_quota_limit_share: 0.5 + 0.5 * terms.over_quota_weight.clamp(0.0, 1.0),
            classes: classes.collect(),
            tenant_quotas: terms.tenants.iter().map(|of| Bucket::new(of.quota_per_s * part)).collect(),
            typical_latency: shortest as f64 / 4.0,
            latency_objective: shortest as f64,
            shortest_objective: shortest as f64,
            retry_budget: MAX_RETRY_BUDGET,
            connection_retry_budget: MAX_RETRY_BUDGET,
            retries_per_success: if terms.capabilities.cache_aside {
                RETRIES_PER_SUCCESS
            } else {
                READ_THROUGH_RETRIES_PER_SUCCESS
            },
            ..Dispatcher::default()
        }
    }

    fn handle(&mut self, message: DispatcherMessage, mailboxes: &mut Mailboxes) {
        // Once for all hosts that came or went together, before anything looks at the ring.
        if self.ring_is_stale && !matches!(message, DispatcherMessage::HostStatus(..)) {
            self.rebuild_ring();
        }
        match message {
            DispatcherMessage::HostStatus(host, status) => {
                self.ring_is_stale |= self.host_statuses[host.0 as usize].is_up() != status.is_up();
                self.host_statuses[host.0 as usize] = *status;
            }
            DispatcherMessage::HostSuspected(request) => self.retry(request, mailboxes),
            DispatcherMessage::Event(event) => self.handle_event(event, mailboxes),
        }
    }

    fn handle_event(&mut self, event: PolicyEvent, mailboxes: &mut Mailboxes) {
        match event {
            PolicyEvent::Endpoints { complete, endpoints } => {
                let named: BTreeSet<HostId> = endpoints.iter().map(|entry| entry.host).collect();
                let unnamed = self.host_statuses.iter().filter_map(|status| status.endpoint.as_ref());
                for endpoint in unnamed.filter(|endpoint| complete && !named.contains(&endpoint.host)) {
                    let gone = Endpoint { lifecycle: Lifecycle::Gone, ..endpoint.clone() };
                    mailboxes.host(endpoint.host, HostMessage::Endpoint(gone));
                }
                endpoints
                    .into_iter()
                    .for_each(|entry| mailboxes.host(entry.host, HostMessage::Endpoint(entry)));
                self.failed_watches = 0;
                if !self.started {
                    self.started = true;
                    mailboxes
                        .actions
                        .push(PolicyAction::SetTimer { after: SWEEP_INTERVAL, timer: Timer::Sweep });
                    if self.capabilities.polls_discovery {
                        mailboxes.actions.push(PolicyAction::WatchDiscovery);
                    }
                }
            }
            PolicyEvent::DiscoveryFailed => {
                self.failed_watches += 1;
                let after = self.rng.jittered(200_000 << self.failed_watches.min(4));
                mailboxes.actions.push(PolicyAction::SetTimer { after, timer: Timer::Watch });
            }
            PolicyEvent::TimerFired(Timer::Watch) => mailboxes.actions.push(PolicyAction::WatchDiscovery),
            PolicyEvent::TimerFired(Timer::Sweep) => self.sweep(mailboxes),
            PolicyEvent::Request { request, class, tenant, key, is_write, is_retry, deadline } => {
                let within =
                    tenant.is_none_or(|who| self.tenant_quotas[who.0 as usize].within(mailboxes.now));
                let terms = &self.classes[class.0 as usize];
                self.latency_objective += (terms.latency_objective as f64 - self.latency_objective) / 64.0;
                let held = OpenRequest {
                    class: class.0 as usize,
                    key,
                    is_write,
                    expires_at: if terms.late_is_useful {
                        deadline
                    } else {
                        deadline.min(mailboxes.now + terms.latency_objective)
                    },
                    limit_share: terms.limit_share
                        * if within && !is_retry { 1.0 } else { self.over_quota_limit_share },
                    retries_left: terms.max_retries,
                    ..OpenRequest::default()
                };
                self.requests.insert(request, held);
                self.route(request, mailboxes);
            }
            PolicyEvent::LimitsLearned(learned_limits) => {
                let position = |host: &HostStatus| host.endpoint.as_ref().map(|endpoint| endpoint.position);
                for LearnedLimit { position: at, limit } in learned_limits {
                    if let Some(host) = self.host_statuses.iter().position(|host| position(host) == Some(at))
                    {
                        mailboxes.host(HostId(host as u32), HostMessage::LearnedLimit(limit));
                    }
                }
            }
            PolicyEvent::ClientGone { request } => self.forget(request, mailboxes),
            PolicyEvent::ShuttingDown { request } => self.close(request, true, mailboxes),
            PolicyEvent::AttemptInDoubt { request, attempt } => {
                let Some(held) = self.requests.get_mut(&request) else { return };
                let Some(&(_, host, _)) = held.in_flight.iter().find(|out| out.0 == attempt) else { return };
                // Its connection is in doubt, not its host: that one may have it again, paid for apart.
                if self.connection_retry_budget >= 1.0 {
                    held.tried.retain(|tried| *tried != host);
                    (held.retries_left, self.retry_budget) = (held.retries_left + 1, self.retry_budget + 1.0);
                    self.connection_retry_budget -= 1.0;
                    self.retry(request, mailboxes);
                }
            }
            PolicyEvent::HostAlive { host } => mailboxes.host(host, HostMessage::Alive),
            PolicyEvent::ProcessStalled(span) => {
                (0..self.host_statuses.len())
                    .for_each(|at| mailboxes.host(HostId(at as u32), HostMessage::ProcessStalled(span)));
            }
            PolicyEvent::NewConnection { request, attempt, host } => {
                mailboxes.host(host, HostMessage::OnNewConnection(request, attempt))
            }
            PolicyEvent::AttemptEnded { request, attempt, host, elapsed, outcome, finished } => {
                if !self.host_statuses[host.0 as usize].is_origin() {
                    self.in_flight_total = self.in_flight_total.saturating_sub(1);
                    // An error that took long waited for an origin in a jam, and its host with it.
                    let long =
                        outcome == AttemptOutcome::Error && elapsed as f64 > self.latency_objective / 4.0;
                    if long
                        || matches!(
                            outcome,
                            AttemptOutcome::Succeeded | AttemptOutcome::Miss | AttemptOutcome::TimedOut
                        )
                    {
                        self.fleet_limit.record(elapsed, 1.0, mailboxes.now);
                    }
                }
                // What fails wherever it goes tells of itself, and no host is blamed for it.
                let own = outcome == AttemptOutcome::Error && self.record_error(request, host);
                mailboxes.host(
                    host,
                    HostMessage::AttemptEnded(
                        request,
                        attempt,
                        if own { AttemptOutcome::NotSent } else { outcome },
                        elapsed,
                    ),
                );
                self.ended(request, attempt, outcome, finished, mailboxes);
            }
        }
    }

    fn rebuild_ring(&mut self) {
        self.ring_is_stale = false;
        let up = (0..).map(HostId).zip(&self.host_statuses).filter(|(_, status)| status.is_cache());
        let hosts = up.filter_map(|(host, status)| {
            let endpoint = status.endpoint.as_ref()?;
            let weight =
                if self.capabilities.steady_weights && endpoint.weight > 0.0 { endpoint.weight } else { 1.0 };
            Some((endpoint.position, host, weight))
        });
        let hosts: Vec<_> = hosts.collect();
        // A power of two near the mean weight, so that the scale rarely changes when a host comes or goes.
        let mean = hosts.iter().map(|host| host.2).sum::<f64>() / hosts.len().max(1) as f64;
        let scale = mean.max(1e-9).log2().round().exp2();
        let came = hosts.iter().map(|host| host.1).filter(|host| !self.ring.holds(*host));
        self.loads.counts.meet(self.host_statuses.len(), came);
        self.ring.set(&hosts, |weight| {
            (RING_POINTS_PER_HOST * weight / scale).clamp(8.0, 8.0 * RING_POINTS_PER_HOST) as u64
        });
        self.loads.overloaded_since.resize(self.host_statuses.len(), None);
    }

    fn is_avoided(&self, host: &HostStatus) -> bool {
        host.suspected
            || host.endpoint.as_ref().is_some_and(|endpoint| self.zones.is_dark(endpoint.zone, host.activity))
    }

    fn sweep(&mut self, mailboxes: &mut Mailboxes) {
        let zone = |host: &HostStatus| host.endpoint.as_ref().map_or(ZoneId(0), |endpoint| endpoint.zone);
        let caches = self.host_statuses.iter().filter(|host| host.is_cache());
        let dark = self.zones.newly_dark(caches.map(|host| (zone(host), host.activity)));
        let lost = |out: &(_, HostId, _)| dark.contains(&zone(&self.host_statuses[out.1 .0 as usize]));
        let requests = self.requests.iter().filter(|(_, request)| request.in_flight.iter().any(lost));
        mailboxes.dispatcher.extend(requests.map(|(&request, _)| DispatcherMessage::HostSuspected(request)));
        self.loads.sweep(mailboxes.now);
        let judged = mailboxes.now - self.evaluated_at >= EVALUATION_INTERVAL;
        if judged {
            self.evaluated_at = mailboxes.now;
            // The median: a few hosts that answer nothing are no reason to turn ops away.
            let present = self.fleet_limit.latencies.quantile(0.5).map(|present| present as f64);
            let caches = || self.host_statuses.iter().filter(|status| status.is_cache());
            let (hosts, quarter) = (caches().count().max(1) as f64, self.latency_objective / 4.0);
            self.fleet_limit.evaluate(present, quarter, quarter, hosts, self.in_flight_total);
            let mut means: Vec<f64> = caches().filter_map(|host| host.limit.latencies.mean()).collect();
            means.sort_unstable_by(f64::total_cmp);
            self.typical_latency = means.get(means.len() / 2).copied().unwrap_or(self.typical_latency);
            // What a cold host surely bears is used as all hosts' is: else it jams the warm ones. Where
            // the gate bounds no key, the part alone has to, for one with WARMING_KEY_SHARE of all reads.
            let span = self.loads.counts.span(mailboxes.now).max(LOAD_HALF_LIFE as f64);
            self.send_interval = (span / self.loads.counts.mean()) as Micros;
            self.mean_sends_per_window =
                self.loads.counts.mean_on(&self.ring) * self.slow_start.overload_window as f64 / span;
            let able: f64 = caches().filter(|host| !host.suspected).map(|host| host.capacity).sum();
            let most = WARMING_MARGIN * self.slow_start.overload_multiple;
            let least = WARMING_MARGIN.min(self.slow_start.overload_multiple / (WARMING_KEY_SHARE * hosts));
            self.warming_share =
                (hosts / able.max(1.0)).min((most * self.mean_sends_per_window).max(least)).min(most);
            self.mean_kept_key_share =
                caches().map(|host| host.kept_key_share(self.warming_share)).sum::<f64>() / hosts;
        }
        let due = |status: &HostStatus| !status.idle && (judged || status.in_flight > 0);
        for (host, status) in (0..).map(HostId).zip(&self.host_statuses).filter(|(_, status)| due(status)) {
            let target = if status.is_cache() { self.latency_objective } else { self.shortest_objective }; // all go to the origin
            mailboxes.host(
                host,
                HostMessage::Sweep(self.typical_latency, target / 4.0, self.send_interval, judged),
            );
        }
        mailboxes.actions.push(PolicyAction::SetTimer { after: SWEEP_INTERVAL, timer: Timer::Sweep });
    }

    fn ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        finished: bool,
        mailboxes: &mut Mailboxes,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let sent =
            request.in_flight.iter().position(|out| out.0 == attempt).map(|at| request.in_flight.remove(at));
        let failing = request.key.is_some_and(|key| self.failing_keys.contains(&key));
        if outcome == AttemptOutcome::Succeeded {
            request.key.map(|key| self.failing_keys.remove(&key));
            self.retry_budget = (self.retry_budget + self.retries_per_success).min(MAX_RETRY_BUDGET);
            self.connection_retry_budget =
                (self.connection_retry_budget + self.retries_per_success).min(MAX_RETRY_BUDGET);
        }
        if finished {
            return self.forget(id, mailboxes);
        }
        if outcome == AttemptOutcome::Miss && self.capabilities.cache_aside && !request.is_write {
            request.missed = true;
            // A miss at a host left for silent says nothing while the op is out elsewhere.
            if request.in_flight.is_empty() {
                self.route(id, mailboxes);
            }
            return;
        }
        if let Some((_, host, at)) = sent.filter(|_| !outcome.proves_not_run()) {
            request.may_have_run =
                request.may_have_run.filter(|earlier| earlier.1 <= at).or(Some((host, at)));
        }
        if failing && outcome == AttemptOutcome::Error && request.in_flight.is_empty() {
            return self.close(id, false, mailboxes);
        }
        // What reached no host isn't paid for; a connection's fault is, from its own store: its host is good.
        let severed = outcome == AttemptOutcome::ConnectionFault && self.connection_retry_budget >= 1.0;
        if let Some((_, host, _)) = sent.filter(|_| severed) {
            self.connection_retry_budget -= 1.0;
            request.tried.retain(|tried| *tried != host);
        }
        let unpaid = severed || matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::NotSent);
        (request.retries_left, self.retry_budget) =
            (request.retries_left + u32::from(unpaid), self.retry_budget + f64::from(unpaid));
        self.retry(id, mailboxes);
    }

    /// An op got an error at a host; whether its key is known to get one wherever it goes.
    fn record_error(&mut self, id: RequestId, host: HostId) -> bool {
        let Some((key, request)) =
            self.requests.get_mut(&id).and_then(|request| Some((request.key?, request)))
        else {
            return false;
        };
        if request.last_error_host.replace(host).is_some_and(|before| before != host) {
            if self.failing_keys.len() >= MAX_TRACKED_KEYS {
                self.failing_keys.pop_first();
            }
            self.failing_keys.insert(key);
        }
        self.failing_keys.contains(&key)
    }

    /// A push came to nothing: another one, if the op may have it and can still use it, or the end.
    fn retry(&mut self, id: RequestId, mailboxes: &mut Mailboxes) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let room = request.expires_at - mailboxes.now > (self.typical_latency / 4.0) as Micros;
        let free = request.in_flight.is_empty() || self.capabilities.hedging;
        if free && room && request.retries_left > 0 && self.retry_budget >= 1.0 {
            request.retries_left -= 1;
            self.retry_budget -= 1.0;
            self.route(id, mailboxes);
        } else if request.in_flight.is_empty() {
            self.close(id, false, mailboxes);
        }
    }

    fn route(&mut self, id: RequestId, mailboxes: &mut Mailboxes) {
        let mut attempted = false;
        // A host that may not have the op, mostly a cold one whose part is spent, is passed by.
        for _ in 0..MAX_SELECTIONS {
            let request = &self.requests[&id];
            let asks_origin = self.capabilities.cache_aside && (request.is_write || request.missed);
            let chosen = if asks_origin {
                self.select_origin(id, mailboxes.now)
            } else {
                self.select_host(id, mailboxes.now)
            };
            let Some(host) = chosen else { break };
            attempted = self.start_attempt(id, host, mailboxes);
            if attempted || asks_origin {
                break;
            }
            self.requests.get_mut(&id).expect("it is open").tried.push(host);
        }
        if !attempted && self.requests[&id].in_flight.is_empty() {
            self.close(id, true, mailboxes);
        }
    }

    /// What can't wait for the shortest typical answer loads no host: many such would jam it for nobody.
    fn cannot_finish_in_time(request: &OpenRequest, limit: &ConcurrencyLimit, now: Micros) -> bool {
        request.in_flight.is_empty() && limit.is_too_short(request.expires_at - now)
    }

    fn select_origin(&self, id: RequestId, now: Micros) -> Option<HostId> {
        let request = &self.requests[&id];
        let at = self.host_statuses.iter().position(|status| status.is_up() && status.is_origin())?;
        let (host, limit_share) =
            (&self.host_statuses[at], if request.is_write { 2.0 } else { request.limit_share });
        let room = host.limit.has_capacity(host.in_flight, limit_share, self.other_balancers_part, now);
        (room && !Self::cannot_finish_in_time(request, &host.limit, now)).then_some(HostId(at as u32))
    }

    /// Whether a cold or slow host keeps a key. Each balancer leaves other keys: a hot key must neither come
    /// to a cold host from all at once, nor move as a whole and jam the next host.
    fn keeps_key(&self, host: HostId, key: RingPosition) -> bool {
        let status = &self.host_statuses[host.0 as usize];
        let part = status.kept_key_share(self.warming_share);
        part >= 1.0 || (key.mixed(self.salt ^ u64::from(host.0)).0 as f64) < part * u64::MAX as f64
    }

    /// The ordinary path: the home, a hot key's least busy holder; past one that can't be used the next.
    fn select_host(&mut self, id: RequestId, now: Micros) -> Option<HostId> {
        let request = &self.requests[&id];
        if !self.fleet_limit.has_capacity(
            self.in_flight_total,
            request.limit_share,
            self.other_balancers_part,
            now,
        ) || Self::cannot_finish_in_time(request, &self.fleet_limit, now)
        {
            return None;
        }
        let key = request.key.unwrap_or_else(|| RingPosition(self.rng.draw()));
        let mut holders = Vec::new();
        if self.loads.hot_keys.contains(&key) && !request.is_write {
            holders = self.hot_key_holders(key, now);
            holders
                .sort_by_cached_key(|&host| (self.host_statuses[host.0 as usize].in_flight, self.rng.draw()));
        }
        let (mut seen, mut full) = (Vec::new(), 0);
        let action = holders.into_iter().chain(self.ring.walk(key).map(|point| point.1));
        let mut second: Option<(f64, HostId)> = None;
        for host in action {
            let status = &self.host_statuses[host.0 as usize];
            let room = status.limit.has_capacity(status.in_flight, request.limit_share, 0.0, now);
            let overflow = full > 0 || !request.tried.is_empty();
            let already_seen = seen.contains(&host) || request.tried.contains(&host);
            if !status.is_cache() || already_seen || (status.capacity < 1.0 && overflow) {
                continue;
            }
            seen.push(host);
            let silent = self.is_avoided(status);
            if silent || !self.keeps_key(host, key) {
                // With no better host left: the one with most to give, suspects last and one push at a time.
                let worth = if silent { 0.0 } else { status.key_share };
                let able = if silent { status.in_flight == 0 } else { room };
                if able && second.is_none_or(|(best, _)| worth > best) {
                    second = Some((worth, host));
                }
            } else if room {
                return Some(host);
            } else {
                full += 1;
                if full > MAX_SPILLS || self.retry_budget < 1.0 {
                    return None;
                }
                self.retry_budget -= 1.0;
            }
        }
        second.filter(|_| full == 0).map(|(_, host)| host)
    }

    /// The holders, one per equal range of the ring from the key's place; the home is the first.
    fn hot_key_holders(&self, key: RingPosition, now: Micros) -> Vec<HostId> {
        let count =
            ((self.loads.counts.part(key) * self.ring.hosts() as f64) as u64).max(MIN_HOT_KEY_HOLDERS);
        let range = u64::MAX / count;
        let mut holders: Vec<HostId> = Vec::new();
        for nth in 0..count {
            let from = RingPosition(key.0.wrapping_add(nth * range));
            let within = |point: &(u64, HostId)| point.0.wrapping_sub(from.0) < range;
            let usable = |host: &HostId| {
                let status = &self.host_statuses[host.0 as usize];
                status.is_cache() && !status.suspected && !holders.contains(host)
            };
            let hosts = || self.ring.walk(from).take_while(within).map(|point| point.1).filter(usable);
            let light = |host: HostId| self.loads.counts.hosts[host.0 as usize];
            let found = hosts()
                .find(|&host| nth == 0 || !self.loads.overloaded(host, now))
                .or_else(|| hosts().min_by(|&a, &b| light(a).total_cmp(&light(b)).then(a.cmp(&b))));
            holders.extend(found);
        }
        holders
    }

    /// The gate for pushes: each rule is kept here, whatever was decided before.
    fn start_attempt(&mut self, id: RequestId, host: HostId, mailboxes: &mut Mailboxes) -> bool {
        let now = mailboxes.now;
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let status = &self.host_statuses[host.0 as usize];
        // Rule 1: nothing for an op that is over, out of time or out of pushes.
        // Rule 3: nothing new to a host that drains or is gone; the grace is not used.
        if now >= request.expires_at
            || request.attempts_started >= self.capabilities.max_attempts
            || !status.is_up()
        {
            return false;
        }
        // Rule 2: nothing that could take effect twice, and two pushes at a time only where that is allowed.
        let out = request.in_flight.iter().map(|out| (out.1, out.2));
        let first = out.chain(request.may_have_run).min_by_key(|earlier| earlier.1);
        if let (Some((earlier, at)), Some(there)) = (first, status.endpoint.as_ref()) {
            let before = self.host_statuses[earlier.0 as usize].endpoint.as_ref();
            let permitted = match self.classes[request.class].retry_safety {
                RetrySafety::Idempotent => true,
                RetrySafety::AtMostOnce => false,
                RetrySafety::IdempotencyKey { scope, window } => {
                    now - at < window - SWEEP_INTERVAL
                        && before.is_some_and(|before| scope.joins(before, there))
                }
            };
            if !permitted || !(request.in_flight.is_empty() || self.capabilities.hedging) {
                return false;
            }
        }
        let status = &mut self.host_statuses[host.0 as usize];
        // Rule 4: to a cold host no more in a window than this balancer's part of what it can bear. A warm
        // host bears the mean load at least; own sends are already this balancer's part of it.
        if status.capacity < 1.0 && status.is_cache() {
            // What other hosts turned away or lost comes from every balancer at once.
            if !request.tried.is_empty() {
                return false;
            }
            // All that goes there: its part of the sum's mean and rng, by how likely it is asked; one key.
            let (part, falls, normal) = (
                1.0 - self.other_balancers_part,
                self.slow_start.overload_multiple,
                self.mean_sends_per_window.max(MIN_SENDS_PER_WINDOW),
            );
            let (bears, kept) = (
                status.capacity * normal,
                status.kept_key_share(self.warming_share) / self.mean_kept_key_share,
            );
            let asked = 1.0 - (-normal * kept.min(1.0)).exp();
            let luck = WARMING_DEVIATION_PART * ((falls * bears * part).sqrt() + part.min(normal));
            let all = (WARMING_MARGIN * falls * bears + luck) / asked;
            let key = request.key.map(|key| (key, (WARMING_MARGIN * falls - self.warming_share) * bears));
            if !self.warming_sends.take(now, self.slow_start.overload_window, host, all, key, &mut self.rng) {
                return false;
            }
        }
        let attempt = AttemptNumber(request.attempts_started);
        request.attempts_started += 1;
        request.in_flight.push((attempt, host, now));
        request.tried.push(host);
        if status.is_cache() {
            self.in_flight_total += 1;
            self.fleet_limit.peak_in_flight = self.fleet_limit.peak_in_flight.max(self.in_flight_total);
            let home = request.key.and_then(|key| self.ring.walk(key).next()).map_or(host, |point| point.1);
            self.loads.counts.count(host, request.key, home, MAX_TRACKED_KEYS);
        }
        status.in_flight += 1;
        mailboxes.host(host, HostMessage::AttemptStarted(id, attempt));
        mailboxes.actions.push(PolicyAction::StartAttempt {
            request: id,
            host,
            timeout: request.expires_at - now,
        });
        true
    }

    /// The gate for final answers: one for each op, and a nack only where trying again is harmless.
    fn close(&mut self, id: RequestId, shed: bool, mailboxes: &mut Mailboxes) {
        let Some(request) = self.requests.get(&id) else { return };
        let retry_safety = self.classes[request.class].retry_safety;
        let harmless = matches!(
            retry_safety,
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey { scope: DeduplicationScope::All, .. }
        ) || (request.may_have_run.is_none() && request.in_flight.is_empty());
        let nack = PolicyAction::Reject { request: id, retry_after: self.retry_after };
        mailboxes.actions.push(if shed && harmless { nack } else { PolicyAction::Fail { request: id } });
        self.forget(id, mailboxes);
    }

    fn forget(&mut self, id: RequestId, mailboxes: &mut Mailboxes) {
        let Some(request) = self.requests.remove(&id) else { return };
        let out = request.in_flight.iter().filter(|_| self.capabilities.cancellation);
        mailboxes.actions.extend(out.map(|out| PolicyAction::CancelAttempt { request: id, attempt: out.0 }));
    }
}

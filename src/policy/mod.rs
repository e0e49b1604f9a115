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
const POINTS: f64 = 64.0; // per host of mean weight: arcs within about an eighth of their mean
const ALPHA: f64 = 1.5; // overloaded: above so many times the mean load of the hosts used
const BETA: f64 = 0.1; // hot: at least this share of its overloaded home's load
const OVERLOADED_FOR: Micros = 2_000_000;
const HALVING: Micros = 1_400_000; // of the load counts: what is left of a send after 2 s is about a third
const LASTING: f64 = 2.0; // sends a host that the counts last for: a quiet balancer meets a key seldom
const REPEATS: f64 = 2.0; // a key with fewer counted sends is never hot: chance repeats at a quiet balancer
const KEYS: usize = 2_048; // the hot-key table's size
const HOLDERS: u64 = 3; // at least; more where three would each read more of the key than the mean load

// Departures.
const SWEEP: Micros = 50_000;
const SILENT: f64 = 5.0; // evidence, in typical answer times, that a host is not answering
const STRIKE: f64 = 3.0; // evidence in one lost connection or unanswered push
const WITNESSES: usize = 3; // the pushes out that count as evidence: one slow op must not stand for many
const AWAY: Micros = 2_000_000; // a silent host is left out so long at least, and may be new by then
const SLOWER: f64 = 1.3; // a limit bears answer times to this over the shortest, or a quarter of the target
const EVEN: f64 = 1.2; // answer time over the fleet's median up to which a host keeps all its keys
const GAIN: f64 = 0.06; // step of the share towards its target: faster, and the load rolls from host to host
const LEAST_SHARE: f64 = 0.05; // of its own keys that a slow host keeps, to see it recover
const SPILL: usize = 1; // hosts past the first that an op may try for room
const PASSED: usize = 3; // hosts that are looked at when the gate lets none through
const ORIGIN_BEARABLE: f64 = 3.0; // such quarters, of the shortest target: a slow origin still serves
const JUDGE: Micros = 250_000; // how often a host's limit and share are set anew
const SAMPLES: f64 = 4.0; // answers that make a measure
const STANDS_FOR: f64 = 8.0; // answers that one stands for at most, after a long gap
const BACK_OFF: f64 = 0.85; // of the limit, kept at each push that timed out
const GROWTH: f64 = 2.0; // of a limit, a step that brought answers, over all balancers together
const LEAST_LIMIT: f64 = 0.3;
const FIRST_LIMIT: f64 = 6.0;
const MOST_LIMIT: f64 = 256.0;
const COLD_MARGIN: f64 = 0.6; // of what pushes a cold host over that it gets at most: homes are not alike
const CHANCE: f64 = 0.5; // of what a cold host may get by chance, used: what comes varies by itself too
const SELDOM: f64 = 0.05; // sends to a host in a window: a balancer with fewer does not know how few they are
const COLD_KEY: f64 = 0.1; // of all reads: one key with so much must not push over a cold host
const RETRY_RATE: f64 = 0.2; // further pushes or spills earned by an acked op
const FETCH_RATE: f64 = 0.02; // the same in through mode, where each of them may be one more fetch
const RETRY_STORE: f64 = 20.0;

enum HostMessage {
    Endpoint(Endpoint),
    Sent(RequestId, AttemptNumber),
    First(RequestId, AttemptNumber), // that push goes on a new connection
    Ended(RequestId, AttemptNumber, AttemptOutcome, Micros),
    Alive, // it answered on a connection from before its silence
    Stopped(Micros),
    LearnedLimit(f64), // how much could be in flight there at the process that this one replaces
    /// The fleet's typical answer time, the longest for the shortest, the time between pushes; if to judge.
    Sweep(f64, f64, Micros, bool),
}

enum DispatcherMessage {
    Event(PolicyEvent),
    HostStatus(HostId, Box<HostStatus>),
    Lost(RequestId), // its host does not answer: an op that is out there may go elsewhere
}

/// The inboxes, the orders made, and the time of the event in hand.
#[derive(Default)]
struct Mailboxes {
    now: Micros,
    desk: VecDeque<DispatcherMessage>,
    hosts: Vec<VecDeque<HostMessage>>,
    turns: VecDeque<HostId>,
    actions: Vec<PolicyAction>,
}

impl Mailboxes {
    fn host(&mut self, host: HostId, note: HostMessage) {
        self.hosts[host.0 as usize].push_back(note);
        self.turns.push_back(host);
    }
}

pub struct Policy {
    post: Mailboxes,
    desk: Dispatcher,
    hosts: Vec<HostTracker>,
}

impl Policy {
    pub fn new(terms: &PolicyConfig) -> Policy {
        Policy { post: Mailboxes::default(), desk: Dispatcher::new(terms), hosts: Vec::new() }
    }

    /// Takes one event and adds what is to be done to `orders`.
    pub fn handle(&mut self, now: Micros, event: PolicyEvent, actions: &mut Vec<PolicyAction>) {
        self.post.now = now;
        if let PolicyEvent::Endpoints { endpoints, .. } = &event {
            let known = endpoints.iter().map(|entry| entry.host.0 as usize + 1).max().unwrap_or(0);
            for id in (self.hosts.len() as u32..known as u32).map(HostId) {
                let (cold, capabilities) = (self.desk.cold.clone(), self.desk.capabilities);
                self.hosts.push(HostTracker::new(
                    id,
                    cold,
                    self.desk.fleet.growth,
                    capabilities.keeps_dropped_hosts,
                ));
                self.post.hosts.push(VecDeque::new());
                self.desk.board.push(HostStatus::default());
            }
        }
        self.post.desk.push_back(DispatcherMessage::Event(event));
        loop {
            if let Some(host) = self.post.turns.pop_front() {
                let host = host.0 as usize;
                let note = self.post.hosts[host].pop_front().expect("a turn stands for a note");
                self.hosts[host].take(note, &mut self.post);
            } else if let Some(note) = self.post.desk.pop_front() {
                self.desk.take(note, &mut self.post);
            } else {
                break;
            }
        }
        actions.append(&mut self.post.actions);
    }
}

/// What a host shows the desk.
#[derive(Clone, Default)]
struct HostStatus {
    endpoint: Option<Endpoint>,
    suspect: bool,
    warm: f64,  // the part of its capacity that it surely has since its start; 1 when warm
    share: f64, // the part of its own keys that it keeps
    limit: ConcurrencyLimit,
    in_flight: usize,
    pulse: HostActivity,
    /// Nothing to judge and nothing under way: a sweep may pass it by. Fleets are large, ops at one host few.
    rests: bool,
}

impl HostStatus {
    fn up(&self) -> bool {
        self.endpoint.as_ref().is_some_and(|endpoint| endpoint.lifecycle == Lifecycle::Up)
    }

    /// The part of its keys that it keeps.
    fn keeps(&self, cold_part: f64) -> f64 {
        self.share * if self.warm < 1.0 { (cold_part * self.warm).min(1.0) } else { 1.0 }
    }

    fn cache(&self) -> bool {
        self.up() && !self.origin()
    }

    fn origin(&self) -> bool {
        self.endpoint.as_ref().is_some_and(|endpoint| endpoint.origin)
    }
}

/// How much may be in flight at a host, or at all cache hosts together.
#[derive(Clone, Default)]
struct ConcurrencyLimit {
    most: f64,
    growth: f64,
    free_at: Micros, // below one the next push waits, so that on the whole no more than that is out
    answers: Histogram,
    shortest: f64,
    peak: usize,
    fresh: bool, // answered since last judged: an old answer must not cut the limit again and again
}

impl ConcurrencyLimit {
    fn new(most: f64, growth: f64) -> ConcurrencyLimit {
        ConcurrencyLimit { most, growth, shortest: f64::MAX, ..ConcurrencyLimit::default() }
    }

    /// What is out beside the one that always may be varies by its root, which evens out over many balancers.
    fn room(&self, in_flight: usize, claim: f64, even: f64, now: Micros) -> bool {
        let most = self.most * claim;
        (in_flight as f64) < (most + ((most - 1.0).max(0.0) * even).sqrt()).max(1.0) && now >= self.free_at
    }

    /// Whether no typical answer is there in this time.
    fn too_short(&self, span: Micros) -> bool {
        self.shortest < f64::MAX && (span as f64) < self.shortest
    }

    /// The least is for all balancers together too: a jam fed by hundreds of them would never end.
    fn cut(&mut self, to: f64) {
        // From where it is used: one that stands far above what is out would be cut for seconds to no effect.
        let used = if to < 1.0 { FIRST_LIMIT + 2.0 * self.peak as f64 } else { MOST_LIMIT };
        self.most = (self.most.min(used) * to).max(LEAST_LIMIT * self.growth);
    }

    fn answered(&mut self, elapsed: Micros, weight: f64, now: Micros) {
        self.answers.add(elapsed, weight);
        self.fresh = true;
        self.free_at = now + (elapsed as f64 * (1.0 / self.most.min(1.0) - 1.0)) as Micros;
    }

    /// Follows the shortest answer time over the present one, from a time that is bearable anyway.
    fn judge(&mut self, present: Option<f64>, quarter: f64, bearable: f64, parts: f64, in_flight: usize) {
        let step = (self.growth * parts).min(parts.max(1.0));
        if let Some(present) = present.filter(|_| self.fresh && self.answers.total() >= SAMPLES) {
            // A host that was in a jam when first met must not pass its jam for its shortest answer time.
            self.shortest = (self.shortest * 1.005).min(present).min(quarter);
            self.cut(((SLOWER * self.shortest).max(bearable) / present).min(1.0));
            self.most = (self.most + step).min(MOST_LIMIT);
        } else if self.most < 1.0 {
            self.most = (self.most + step).min(1.0);
        }
        self.answers.halve_at(2.0 * SAMPLES);
        (self.fresh, self.peak) = (false, in_flight);
    }
}

/// One host as this balancer sees it: its life, health, answer times and room.
#[derive(Default)]
struct HostTracker {
    id: HostId,
    cold: SlowStart,
    standing: HostStatus,
    out: BTreeMap<(RequestId, AttemptNumber), (Micros, bool)>, // when each was sent, and whether on a new connection
    cold_since: Option<Micros>,
    suspect_since: Option<Micros>,
    strikes: f64,
    overtook: Micros,    // when the last push of those that have a value or a miss was sent
    measured_at: Micros, // when the last answer time came
    gap: Micros,         // and how long after the one before
    drained: bool,       // the list said so: that binds, whatever it says later
    dropped: bool,       // the list names it no more, and its own answers are what keeps it
    keeps_dropped_hosts: bool,
}

impl HostTracker {
    fn new(id: HostId, cold: SlowStart, growth: f64, keeps_dropped_hosts: bool) -> HostTracker {
        let standing = HostStatus {
            share: 1.0,
            limit: ConcurrencyLimit::new(FIRST_LIMIT, growth),
            ..HostStatus::default()
        };
        HostTracker { id, cold, standing, keeps_dropped_hosts, ..HostTracker::default() }
    }

    fn take(&mut self, note: HostMessage, post: &mut Mailboxes) {
        match note {
            HostMessage::Endpoint(endpoint) => {
                // A number that was free stands for another host now.
                if self.standing.endpoint.as_ref().is_some_and(|old| old.position != endpoint.position) {
                    let growth = self.standing.limit.growth;
                    *self = HostTracker::new(self.id, self.cold.clone(), growth, self.keeps_dropped_hosts);
                }
                self.drained |= endpoint.lifecycle == Lifecycle::Draining;
                // A list may be wrong: one that shrinks must not empty the ring of hosts that answer.
                let gone = endpoint.lifecycle == Lifecycle::Gone;
                self.dropped = gone && self.keeps_dropped_hosts && !self.drained && self.alive();
                if self.dropped {
                    return;
                }
                let before = self.standing.endpoint.as_ref().and_then(|old| old.started_at);
                if endpoint.started_at.is_some() && endpoint.started_at != before {
                    self.cold_since = self.cold_since.max(endpoint.started_at);
                    self.well();
                }
                self.standing.endpoint = Some(endpoint);
            }
            HostMessage::Sent(request, attempt) => {
                self.out.insert((request, attempt), (post.now, false));
                self.standing.limit.peak = self.standing.limit.peak.max(self.out.len());
            }
            HostMessage::First(request, attempt) => {
                if let Some(out) = self.out.get_mut(&(request, attempt)) {
                    out.1 = true;
                }
            }
            HostMessage::Ended(request, attempt, outcome, elapsed) => {
                self.ended(request, attempt, outcome, elapsed, post.now)
            }
            HostMessage::Alive => self.as_it_was(post.now),
            HostMessage::Stopped(span) => self.out.values_mut().for_each(|out| out.0 += span),
            // Both are one balancer: its clients bring no more now than a moment ago.
            HostMessage::LearnedLimit(room) => self.standing.limit.most = room.clamp(LEAST_LIMIT, MOST_LIMIT),
            HostMessage::Sweep(typical, quarter, apart, judge) => {
                self.sweep(typical, quarter, apart, judge, post)
            }
        }
        if self.dropped && !self.alive() {
            self.dropped = false;
            self.standing.endpoint.as_mut().expect("it was listed").lifecycle = Lifecycle::Gone;
        }
        let standing = &mut self.standing;
        standing.warm = self.cold_since.map_or(1.0, |since| self.cold.minimum_capacity(post.now - since));
        (standing.suspect, standing.in_flight) = (self.suspect_since.is_some(), self.out.len());
        let settled = self.strikes < 0.1 && standing.share > 0.98 && standing.limit.most >= 1.0;
        let quiet = self.out.is_empty() && standing.limit.peak == 0;
        standing.rests = settled && quiet && !standing.suspect && standing.warm >= 1.0;
        post.desk.push_back(DispatcherMessage::HostStatus(self.id, Box::new(standing.clone())));
    }

    /// By what it showed this balancer itself.
    fn alive(&self) -> bool {
        self.suspect_since.is_none() && self.standing.up() && self.standing.pulse.answered_at > 0
    }

    fn well(&mut self) {
        self.suspect_since = None;
        self.strikes = 0.0;
    }

    /// What its silence let assume, that it may be cold, does not hold; what the list says of it does.
    fn as_it_was(&mut self, now: Micros) {
        self.cold_since = self.standing.endpoint.as_ref().and_then(|endpoint| endpoint.started_at);
        self.standing.pulse.answered_at = now;
        self.well();
    }

    fn ended(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        elapsed: Micros,
        now: Micros,
    ) {
        let Some((sent, first)) = self.out.remove(&(request, attempt)) else { return };
        // One that was overtaken by far is lost by itself: those that went after it have their answers.
        if outcome == AttemptOutcome::TimedOut && self.overtook - sent >= elapsed / 2 {
            return;
        }
        self.standing.pulse.event(outcome, sent, now);
        // Of a connection's first push most is the connection's: it counts where no better is known. A client
        // that gives up before any answer can be there tells of itself.
        let short = outcome == AttemptOutcome::TimedOut && self.standing.limit.too_short(elapsed);
        let tells = !short && (!first || (now - self.measured_at) as f64 >= STANDS_FOR * JUDGE as f64);
        match outcome {
            AttemptOutcome::Succeeded | AttemptOutcome::Miss => {
                self.overtook = self.overtook.max(sent);
                self.well();
                // Nothing that is cold has a value sooner than it used to.
                if outcome == AttemptOutcome::Succeeded && self.standing.limit.too_short(elapsed) {
                    self.as_it_was(now);
                }
            }
            AttemptOutcome::Error => self.strikes += STRIKE / 2.0,
            // One that does nothing else drains or is ending, whatever the list says.
            AttemptOutcome::Rejected => {
                self.standing.limit.cut(0.5);
                self.strikes += STRIKE / 3.0;
            }
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost => self.strikes += STRIKE,
            // Too much is in flight; and silence, unless other answers came meanwhile.
            AttemptOutcome::TimedOut => {
                self.standing.limit.cut(if tells { BACK_OFF } else { 1.0 });
                // Where pushes are seldom no other is a witness: the host would lose it op after op.
                if self.standing.pulse.answered_at < sent {
                    self.strikes += if self.out.is_empty() { 2.0 * STRIKE } else { STRIKE };
                }
            }
            AttemptOutcome::ConnectionFault | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        if matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::TimedOut) && tells {
            self.gap = now - self.measured_at;
            self.measured_at = now;
            // At a quiet balancer one answer stands for all that the host gave others meanwhile.
            self.standing.limit.answered(
                elapsed,
                (self.gap as f64 / JUDGE as f64).clamp(1.0, STANDS_FOR),
                now,
            );
        }
    }

    fn sweep(&mut self, typical: f64, quarter: f64, apart: Micros, judge: bool, post: &mut Mailboxes) {
        let now = post.now;
        // Time-outs count as answer times: they must not make silence look like slowness.
        let own = self.standing.limit.answers.mean().unwrap_or(typical).max(typical).min(quarter);
        let waits = self.out.values().filter(|&&(sent, first)| sent >= self.overtook && !first);
        let missed = waits.map(|&(sent, _)| (now - sent.max(self.standing.pulse.answered_at)) as f64 / own);
        let evidence = self.strikes + missed.take(WITNESSES).sum::<f64>();
        if evidence > SILENT && self.suspect_since.is_none() && !self.standing.origin() {
            self.suspect_since = Some(now);
            post.desk.extend(self.out.keys().map(|&(request, _)| DispatcherMessage::Lost(request)));
        }
        // Long enough to be started anew, so cold. A jam that quiet balancers each feel for would never end.
        if self.suspect_since.is_some_and(|since| now - since >= self.gap.min(apart).max(AWAY)) {
            self.cold_since = Some(now);
            self.well();
        }
        if !judge {
            return;
        }
        let (bearable, parts) = if self.standing.origin() { (ORIGIN_BEARABLE, 2.0) } else { (1.0, 1.0) };
        let (mean, total) = (self.standing.limit.answers.mean(), self.standing.limit.answers.total());
        self.standing.limit.judge(mean, quarter, bearable * quarter, parts, self.out.len());
        // One time-out may be all that a quiet balancer hears; the fleet's typical time counts as one answer.
        let present = (mean.unwrap_or(0.0) * total + typical) / (total + 1.0);
        let target = (EVEN * typical / present).clamp(LEAST_SHARE, 1.0);
        self.standing.share +=
            (target - self.standing.share) * (GAIN * self.gap.max(JUDGE) as f64 / JUDGE as f64).min(1.0);
    }
}

/// The hosts found overloaded and the keys found hot by own sends.
#[derive(Default)]
struct LoadStatistics {
    counts: LoadCounts,
    over_since: Vec<Option<Micros>>,
    hot: BTreeSet<RingPosition>,
}

impl LoadStatistics {
    fn overloaded(&self, host: HostId, now: Micros) -> bool {
        self.over_since[host.0 as usize].is_some_and(|since| now - since >= OVERLOADED_FOR)
    }

    fn sweep(&mut self, now: Micros) {
        let mean = self.counts.mean();
        for (load, since) in self.counts.hosts.iter().zip(&mut self.over_since) {
            *since = (*load > ALPHA * mean).then(|| since.unwrap_or(now));
        }
        let stays = |key: &RingPosition, count: f64| self.hot.contains(key) && count >= BETA * mean;
        let comes = |count: f64, home: HostId| {
            let part = BETA * self.counts.hosts[home.0 as usize];
            // A key that alone is past the bound needs no time to be told from chance.
            count >= REPEATS.max(part) && (count > ALPHA * mean || self.overloaded(home, now))
        };
        let hot = self.counts.keys.iter().filter(|(key, &(n, home))| stays(key, n) || comes(n, home));
        self.hot = hot.map(|(&key, _)| key).collect();
        self.counts.halve(now, HALVING, LASTING);
    }
}

/// What the desk keeps of a category's terms.
struct ClassParameters {
    target: Micros, // less two ticks
    late: bool,     // whether an answer past it is of use
    claim: f64,     // the part of a host's room that it may fill
    spare: u32,     // further pushes that an op may have
    retry_safety: RetrySafety,
}

#[derive(Default)]
struct OpenRequest {
    class: usize,
    key: Option<RingPosition>,
    is_write: bool,
    give_up: Micros,
    claim: f64,
    attempts: u32,
    spare: u32,
    out: Vec<(AttemptNumber, HostId, Micros)>, // pushes out: where, and when each was sent
    tried: Vec<HostId>,
    may_have_run: Option<(HostId, Micros)>, // where and when the first such push went
    missed: bool,
    failed_at: Option<HostId>, // where its last error came from
}

#[derive(Default)]
struct Dispatcher {
    chance: SeededRng,
    salt: u64, // of its own, so that balancers leave different keys of a slow host
    cold: SlowStart,
    cold_part: f64,          // of what a cold host surely bears, kept there
    kept: f64,               // the part of a host's keys that it keeps, over all hosts
    apart: Micros,           // own sends to a host of mean load, one from the next
    normal: f64,             // own sends to a host of mean load in the window in which a cold one may fall
    fleet: ConcurrencyLimit, // of all cache hosts together
    even: f64,               // the part of all balancers that the others are
    abroad: usize,
    judged_at: Micros,
    capabilities: Capabilities,
    retry_after: Option<Micros>,
    excess_claim: f64,
    classes: Vec<ClassParameters>,
    tenants: Vec<Bucket>, // ops a second of each within its share at this balancer
    typical: f64,
    target: f64, // the target latency of late, over the ops taken
    shortest: f64,
    board: Vec<HostStatus>,
    cold_sends: SendWindows,
    ring: Ring,
    stale: bool,
    loads: LoadStatistics,
    failing: BTreeSet<RingPosition>, // keys whose ops got errors from two hosts, and no value since
    zones: ZoneOutageDetector,
    requests: BTreeMap<RequestId, OpenRequest>,
    retries: f64,
    mends: f64,  // the same for what was lost with a connection alone
    earned: f64, // further pushes, by an acked op
    watches: u32,
    started: bool,
}

impl Dispatcher {
    fn new(terms: &PolicyConfig) -> Dispatcher {
        let top = terms.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
        let classes = terms.classes.iter().map(|class| ClassParameters {
            target: (class.latency_objective - 2 * terms.tick).max(terms.tick),
            late: class.late_weight > 0.0,
            claim: 0.6 + 0.4 * class.priority_weight / top.max(1e-9),
            spare: 1 + (2.0 * class.priority_weight / top.max(1e-9)) as u32,
            retry_safety: class.retry_safety,
        });
        let shortest = terms.classes.iter().map(|class| class.latency_objective).min().unwrap_or(0);
        let part = 1.0 / f64::from(terms.balancers);
        let mut chance = SeededRng::new(terms.seed);
        Dispatcher {
            salt: chance.draw(),
            chance,
            cold: terms.slow_start.clone(),
            fleet: ConcurrencyLimit::new(MOST_LIMIT, (GROWTH * part).min(1.0)),
            even: 1.0 - part,
            capabilities: terms.capabilities,
            retry_after: terms.max_retry_after.map(|longest| longest.min(shortest / 2)),
            excess_claim: 0.5 + 0.5 * terms.over_quota_weight.clamp(0.0, 1.0),
            classes: classes.collect(),
            tenants: terms.tenants.iter().map(|of| Bucket::new(of.quota_per_s * part)).collect(),
            typical: shortest as f64 / 4.0,
            target: shortest as f64,
            shortest: shortest as f64,
            retries: RETRY_STORE,
            mends: RETRY_STORE,
            earned: if terms.capabilities.cache_aside { RETRY_RATE } else { FETCH_RATE },
            ..Dispatcher::default()
        }
    }

    fn take(&mut self, note: DispatcherMessage, post: &mut Mailboxes) {
        // Once for all hosts that came or went together, before anything looks at the ring.
        if self.stale && !matches!(note, DispatcherMessage::HostStatus(..)) {
            self.relist();
        }
        match note {
            DispatcherMessage::HostStatus(host, standing) => {
                self.stale |= self.board[host.0 as usize].up() != standing.up();
                self.board[host.0 as usize] = *standing;
            }
            DispatcherMessage::Lost(request) => self.retry(request, post),
            DispatcherMessage::Event(event) => self.event(event, post),
        }
    }

    fn event(&mut self, event: PolicyEvent, post: &mut Mailboxes) {
        match event {
            PolicyEvent::Endpoints { complete, endpoints } => {
                let named: BTreeSet<HostId> = endpoints.iter().map(|entry| entry.host).collect();
                let unnamed = self.board.iter().filter_map(|standing| standing.endpoint.as_ref());
                for endpoint in unnamed.filter(|endpoint| complete && !named.contains(&endpoint.host)) {
                    let gone = Endpoint { lifecycle: Lifecycle::Gone, ..endpoint.clone() };
                    post.host(endpoint.host, HostMessage::Endpoint(gone));
                }
                endpoints.into_iter().for_each(|entry| post.host(entry.host, HostMessage::Endpoint(entry)));
                self.watches = 0;
                if !self.started {
                    self.started = true;
                    post.actions.push(PolicyAction::SetTimer { after: SWEEP, timer: Timer::Sweep });
                    if self.capabilities.polls_discovery {
                        post.actions.push(PolicyAction::WatchDiscovery);
                    }
                }
            }
            PolicyEvent::DiscoveryFailed => {
                self.watches += 1;
                let after = self.chance.jittered(200_000 << self.watches.min(4));
                post.actions.push(PolicyAction::SetTimer { after, timer: Timer::Watch });
            }
            PolicyEvent::TimerFired(Timer::Watch) => post.actions.push(PolicyAction::WatchDiscovery),
            PolicyEvent::TimerFired(Timer::Sweep) => self.sweep(post),
            PolicyEvent::Request { request, class, tenant, key, is_write, is_retry, deadline } => {
                let within = tenant.is_none_or(|who| self.tenants[who.0 as usize].within(post.now));
                let terms = &self.classes[class.0 as usize];
                self.target += (terms.target as f64 - self.target) / 64.0;
                let held = OpenRequest {
                    class: class.0 as usize,
                    key,
                    is_write,
                    give_up: if terms.late { deadline } else { deadline.min(post.now + terms.target) },
                    claim: terms.claim * if within && !is_retry { 1.0 } else { self.excess_claim },
                    spare: terms.spare,
                    ..OpenRequest::default()
                };
                self.requests.insert(request, held);
                self.route(request, post);
            }
            PolicyEvent::LimitsLearned(learned_limits) => {
                let position = |host: &HostStatus| host.endpoint.as_ref().map(|endpoint| endpoint.position);
                for LearnedLimit { position: at, limit } in learned_limits {
                    if let Some(host) = self.board.iter().position(|host| position(host) == Some(at)) {
                        post.host(HostId(host as u32), HostMessage::LearnedLimit(limit));
                    }
                }
            }
            PolicyEvent::ClientGone { request } => self.forget(request, post),
            PolicyEvent::ShuttingDown { request } => self.close(request, true, post),
            PolicyEvent::AttemptInDoubt { request, attempt } => {
                let Some(held) = self.requests.get_mut(&request) else { return };
                let Some(&(_, host, _)) = held.out.iter().find(|out| out.0 == attempt) else { return };
                // Its connection is in doubt, not its host: that one may have it again, paid for apart.
                if self.mends >= 1.0 {
                    held.tried.retain(|tried| *tried != host);
                    (held.spare, self.retries) = (held.spare + 1, self.retries + 1.0);
                    self.mends -= 1.0;
                    self.retry(request, post);
                }
            }
            PolicyEvent::HostAlive { host } => post.host(host, HostMessage::Alive),
            PolicyEvent::ProcessStalled(span) => {
                (0..self.board.len()).for_each(|at| post.host(HostId(at as u32), HostMessage::Stopped(span)));
            }
            PolicyEvent::NewConnection { request, attempt, host } => {
                post.host(host, HostMessage::First(request, attempt))
            }
            PolicyEvent::AttemptEnded { request, attempt, host, elapsed, outcome, finished } => {
                if !self.board[host.0 as usize].origin() {
                    self.abroad = self.abroad.saturating_sub(1);
                    // An error that took long waited for an origin in a jam, and its host with it.
                    let long = outcome == AttemptOutcome::Error && elapsed as f64 > self.target / 4.0;
                    if long
                        || matches!(
                            outcome,
                            AttemptOutcome::Succeeded | AttemptOutcome::Miss | AttemptOutcome::TimedOut
                        )
                    {
                        self.fleet.answered(elapsed, 1.0, post.now);
                    }
                }
                // What fails wherever it goes tells of itself, and no host is blamed for it.
                let own = outcome == AttemptOutcome::Error && self.judge_op(request, host);
                post.host(
                    host,
                    HostMessage::Ended(
                        request,
                        attempt,
                        if own { AttemptOutcome::NotSent } else { outcome },
                        elapsed,
                    ),
                );
                self.ended(request, attempt, outcome, finished, post);
            }
        }
    }

    fn relist(&mut self) {
        self.stale = false;
        let up = (0..).map(HostId).zip(&self.board).filter(|(_, standing)| standing.cache());
        let hosts = up.filter_map(|(host, standing)| {
            let endpoint = standing.endpoint.as_ref()?;
            let weight =
                if self.capabilities.steady_weights && endpoint.weight > 0.0 { endpoint.weight } else { 1.0 };
            Some((endpoint.position, host, weight))
        });
        let hosts: Vec<_> = hosts.collect();
        // A power of two near the mean weight, so that the scale rarely changes when a host comes or goes.
        let mean = hosts.iter().map(|host| host.2).sum::<f64>() / hosts.len().max(1) as f64;
        let scale = mean.max(1e-9).log2().round().exp2();
        let came = hosts.iter().map(|host| host.1).filter(|host| !self.ring.holds(*host));
        self.loads.counts.meet(self.board.len(), came);
        self.ring.set(&hosts, |weight| (POINTS * weight / scale).clamp(8.0, 8.0 * POINTS) as u64);
        self.loads.over_since.resize(self.board.len(), None);
    }

    fn avoids(&self, host: &HostStatus) -> bool {
        host.suspect
            || host.endpoint.as_ref().is_some_and(|endpoint| self.zones.dark(endpoint.zone, host.pulse))
    }

    fn sweep(&mut self, post: &mut Mailboxes) {
        let zone = |host: &HostStatus| host.endpoint.as_ref().map_or(ZoneId(0), |endpoint| endpoint.zone);
        let caches = self.board.iter().filter(|host| host.cache());
        let dark = self.zones.look(caches.map(|host| (zone(host), host.pulse)));
        let lost = |out: &(_, HostId, _)| dark.contains(&zone(&self.board[out.1 .0 as usize]));
        let requests = self.requests.iter().filter(|(_, request)| request.out.iter().any(lost));
        post.desk.extend(requests.map(|(&request, _)| DispatcherMessage::Lost(request)));
        self.loads.sweep(post.now);
        let judged = post.now - self.judged_at >= JUDGE;
        if judged {
            self.judged_at = post.now;
            // The median: a few hosts that answer nothing are no reason to turn ops away.
            let present = self.fleet.answers.quantile(0.5).map(|present| present as f64);
            let caches = || self.board.iter().filter(|standing| standing.cache());
            let (hosts, quarter) = (caches().count().max(1) as f64, self.target / 4.0);
            self.fleet.judge(present, quarter, quarter, hosts, self.abroad);
            let mut means: Vec<f64> = caches().filter_map(|host| host.limit.answers.mean()).collect();
            means.sort_unstable_by(f64::total_cmp);
            self.typical = means.get(means.len() / 2).copied().unwrap_or(self.typical);
            // What a cold host surely bears is used as all hosts' is: else it jams the warm ones. Where
            // the gate bounds no key, the part alone has to, for one with COLD_KEY of all reads.
            let span = self.loads.counts.span(post.now).max(HALVING as f64);
            self.apart = (span / self.loads.counts.mean()) as Micros;
            self.normal = self.loads.counts.mean_on(&self.ring) * self.cold.overload_window as f64 / span;
            let able: f64 = caches().filter(|host| !host.suspect).map(|host| host.warm).sum();
            let most = COLD_MARGIN * self.cold.overload_multiple;
            let least = COLD_MARGIN.min(self.cold.overload_multiple / (COLD_KEY * hosts));
            self.cold_part = (hosts / able.max(1.0)).min((most * self.normal).max(least)).min(most);
            self.kept = caches().map(|host| host.keeps(self.cold_part)).sum::<f64>() / hosts;
        }
        let due = |standing: &HostStatus| !standing.rests && (judged || standing.in_flight > 0);
        for (host, standing) in (0..).map(HostId).zip(&self.board).filter(|(_, standing)| due(standing)) {
            let target = if standing.cache() { self.target } else { self.shortest }; // all go to the origin
            post.host(host, HostMessage::Sweep(self.typical, target / 4.0, self.apart, judged));
        }
        post.actions.push(PolicyAction::SetTimer { after: SWEEP, timer: Timer::Sweep });
    }

    fn ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        finished: bool,
        post: &mut Mailboxes,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let sent = request.out.iter().position(|out| out.0 == attempt).map(|at| request.out.remove(at));
        let failing = request.key.is_some_and(|key| self.failing.contains(&key));
        if outcome == AttemptOutcome::Succeeded {
            request.key.map(|key| self.failing.remove(&key));
            self.retries = (self.retries + self.earned).min(RETRY_STORE);
            self.mends = (self.mends + self.earned).min(RETRY_STORE);
        }
        if finished {
            return self.forget(id, post);
        }
        if outcome == AttemptOutcome::Miss && self.capabilities.cache_aside && !request.is_write {
            request.missed = true;
            // A miss at a host left for silent says nothing while the op is out elsewhere.
            if request.out.is_empty() {
                self.route(id, post);
            }
            return;
        }
        if let Some((_, host, at)) = sent.filter(|_| !outcome.proves_not_run()) {
            request.may_have_run =
                request.may_have_run.filter(|earlier| earlier.1 <= at).or(Some((host, at)));
        }
        if failing && outcome == AttemptOutcome::Error && request.out.is_empty() {
            return self.close(id, false, post);
        }
        // What reached no host isn't paid for; a connection's fault is, from its own store: its host is good.
        let severed = outcome == AttemptOutcome::ConnectionFault && self.mends >= 1.0;
        if let Some((_, host, _)) = sent.filter(|_| severed) {
            self.mends -= 1.0;
            request.tried.retain(|tried| *tried != host);
        }
        let unpaid = severed || matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::NotSent);
        (request.spare, self.retries) = (request.spare + u32::from(unpaid), self.retries + f64::from(unpaid));
        self.retry(id, post);
    }

    /// An op got an error at a host; whether its key is known to get one wherever it goes.
    fn judge_op(&mut self, id: RequestId, host: HostId) -> bool {
        let Some((key, request)) =
            self.requests.get_mut(&id).and_then(|request| Some((request.key?, request)))
        else {
            return false;
        };
        if request.failed_at.replace(host).is_some_and(|before| before != host) {
            if self.failing.len() >= KEYS {
                self.failing.pop_first();
            }
            self.failing.insert(key);
        }
        self.failing.contains(&key)
    }

    /// A push came to nothing: another one, if the op may have it and can still use it, or the end.
    fn retry(&mut self, id: RequestId, post: &mut Mailboxes) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let room = request.give_up - post.now > (self.typical / 4.0) as Micros;
        let free = request.out.is_empty() || self.capabilities.hedging;
        if free && room && request.spare > 0 && self.retries >= 1.0 {
            request.spare -= 1;
            self.retries -= 1.0;
            self.route(id, post);
        } else if request.out.is_empty() {
            self.close(id, false, post);
        }
    }

    fn route(&mut self, id: RequestId, post: &mut Mailboxes) {
        let mut attempted = false;
        // A host that may not have the op, mostly a cold one whose part is spent, is passed by.
        for _ in 0..PASSED {
            let request = &self.requests[&id];
            let asks_origin = self.capabilities.cache_aside && (request.is_write || request.missed);
            let chosen = if asks_origin { self.origin(id, post.now) } else { self.choose(id, post.now) };
            let Some(host) = chosen else { break };
            attempted = self.start_attempt(id, host, post);
            if attempted || asks_origin {
                break;
            }
            self.requests.get_mut(&id).expect("it is open").tried.push(host);
        }
        if !attempted && self.requests[&id].out.is_empty() {
            self.close(id, true, post);
        }
    }

    /// What can't wait for the shortest typical answer loads no host: many such would jam it for nobody.
    fn hopeless(request: &OpenRequest, limit: &ConcurrencyLimit, now: Micros) -> bool {
        request.out.is_empty() && limit.too_short(request.give_up - now)
    }

    fn origin(&self, id: RequestId, now: Micros) -> Option<HostId> {
        let request = &self.requests[&id];
        let at = self.board.iter().position(|standing| standing.up() && standing.origin())?;
        let (host, claim) = (&self.board[at], if request.is_write { 2.0 } else { request.claim });
        let room = host.limit.room(host.in_flight, claim, self.even, now);
        (room && !Self::hopeless(request, &host.limit, now)).then_some(HostId(at as u32))
    }

    /// Whether a cold or slow host keeps a key. Each balancer leaves other keys: a hot key must neither come
    /// to a cold host from all at once, nor move as a whole and jam the next host.
    fn keeps(&self, host: HostId, key: RingPosition) -> bool {
        let standing = &self.board[host.0 as usize];
        let part = standing.keeps(self.cold_part);
        part >= 1.0 || (key.mixed(self.salt ^ u64::from(host.0)).0 as f64) < part * u64::MAX as f64
    }

    /// The ordinary path: the home, a hot key's least busy holder; past one that can't be used the next.
    fn choose(&mut self, id: RequestId, now: Micros) -> Option<HostId> {
        let request = &self.requests[&id];
        if !self.fleet.room(self.abroad, request.claim, self.even, now)
            || Self::hopeless(request, &self.fleet, now)
        {
            return None;
        }
        let key = request.key.unwrap_or_else(|| RingPosition(self.chance.draw()));
        let mut holders = Vec::new();
        if self.loads.hot.contains(&key) && !request.is_write {
            holders = self.holders(key, now);
            holders.sort_by_cached_key(|&host| (self.board[host.0 as usize].in_flight, self.chance.draw()));
        }
        let (mut seen, mut full) = (Vec::new(), 0);
        let action = holders.into_iter().chain(self.ring.walk(key).map(|point| point.1));
        let mut second: Option<(f64, HostId)> = None;
        for host in action {
            let standing = &self.board[host.0 as usize];
            let room = standing.limit.room(standing.in_flight, request.claim, 0.0, now);
            let overflow = full > 0 || !request.tried.is_empty();
            let already_seen = seen.contains(&host) || request.tried.contains(&host);
            if !standing.cache() || already_seen || (standing.warm < 1.0 && overflow) {
                continue;
            }
            seen.push(host);
            let silent = self.avoids(standing);
            if silent || !self.keeps(host, key) {
                // With no better host left: the one with most to give, suspects last and one push at a time.
                let worth = if silent { 0.0 } else { standing.share };
                let able = if silent { standing.in_flight == 0 } else { room };
                if able && second.is_none_or(|(best, _)| worth > best) {
                    second = Some((worth, host));
                }
            } else if room {
                return Some(host);
            } else {
                full += 1;
                if full > SPILL || self.retries < 1.0 {
                    return None;
                }
                self.retries -= 1.0;
            }
        }
        second.filter(|_| full == 0).map(|(_, host)| host)
    }

    /// The holders, one per equal range of the ring from the key's place; the home is the first.
    fn holders(&self, key: RingPosition, now: Micros) -> Vec<HostId> {
        let count = ((self.loads.counts.part(key) * self.ring.hosts() as f64) as u64).max(HOLDERS);
        let range = u64::MAX / count;
        let mut holders: Vec<HostId> = Vec::new();
        for nth in 0..count {
            let from = RingPosition(key.0.wrapping_add(nth * range));
            let within = |point: &(u64, HostId)| point.0.wrapping_sub(from.0) < range;
            let usable = |host: &HostId| {
                let standing = &self.board[host.0 as usize];
                standing.cache() && !standing.suspect && !holders.contains(host)
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
    fn start_attempt(&mut self, id: RequestId, host: HostId, post: &mut Mailboxes) -> bool {
        let now = post.now;
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let standing = &self.board[host.0 as usize];
        // Rule 1: nothing for an op that is over, out of time or out of pushes.
        // Rule 3: nothing new to a host that drains or is gone; the grace is not used.
        if now >= request.give_up || request.attempts >= self.capabilities.max_attempts || !standing.up() {
            return false;
        }
        // Rule 2: nothing that could take effect twice, and two pushes at a time only where that is allowed.
        let out = request.out.iter().map(|out| (out.1, out.2));
        let first = out.chain(request.may_have_run).min_by_key(|earlier| earlier.1);
        if let (Some((earlier, at)), Some(there)) = (first, standing.endpoint.as_ref()) {
            let before = self.board[earlier.0 as usize].endpoint.as_ref();
            let permitted = match self.classes[request.class].retry_safety {
                RetrySafety::Idempotent => true,
                RetrySafety::AtMostOnce => false,
                RetrySafety::IdempotencyKey { scope, window } => {
                    now - at < window - SWEEP && before.is_some_and(|before| scope.joins(before, there))
                }
            };
            if !permitted || !(request.out.is_empty() || self.capabilities.hedging) {
                return false;
            }
        }
        let standing = &mut self.board[host.0 as usize];
        // Rule 4: to a cold host no more in a window than this balancer's part of what it can bear. A warm
        // host bears the mean load at least; own sends are already this balancer's part of it.
        if standing.warm < 1.0 && standing.cache() {
            // What other hosts turned away or lost comes from every balancer at once.
            if !request.tried.is_empty() {
                return false;
            }
            // All that goes there: its part of the sum's mean and chance, by how likely it is asked; one key.
            let (part, falls, normal) =
                (1.0 - self.even, self.cold.overload_multiple, self.normal.max(SELDOM));
            let (bears, kept) = (standing.warm * normal, standing.keeps(self.cold_part) / self.kept);
            let asked = 1.0 - (-normal * kept.min(1.0)).exp();
            let luck = CHANCE * ((falls * bears * part).sqrt() + part.min(normal));
            let all = (COLD_MARGIN * falls * bears + luck) / asked;
            let key = request.key.map(|key| (key, (COLD_MARGIN * falls - self.cold_part) * bears));
            if !self.cold_sends.take(now, self.cold.overload_window, host, all, key, &mut self.chance) {
                return false;
            }
        }
        let attempt = AttemptNumber(request.attempts);
        request.attempts += 1;
        request.out.push((attempt, host, now));
        request.tried.push(host);
        if standing.cache() {
            self.abroad += 1;
            self.fleet.peak = self.fleet.peak.max(self.abroad);
            let home = request.key.and_then(|key| self.ring.walk(key).next()).map_or(host, |point| point.1);
            self.loads.counts.count(host, request.key, home, KEYS);
        }
        standing.in_flight += 1;
        post.host(host, HostMessage::Sent(id, attempt));
        post.actions.push(PolicyAction::StartAttempt { request: id, host, timeout: request.give_up - now });
        true
    }

    /// The gate for final answers: one for each op, and a nack only where trying again is harmless.
    fn close(&mut self, id: RequestId, shed: bool, post: &mut Mailboxes) {
        let Some(request) = self.requests.get(&id) else { return };
        let retry_safety = self.classes[request.class].retry_safety;
        let harmless = matches!(
            retry_safety,
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey { scope: DeduplicationScope::All, .. }
        ) || (request.may_have_run.is_none() && request.out.is_empty());
        let nack = PolicyAction::Reject { request: id, retry_after: self.retry_after };
        post.actions.push(if shed && harmless { nack } else { PolicyAction::Fail { request: id } });
        self.forget(id, post);
    }

    fn forget(&mut self, id: RequestId, post: &mut Mailboxes) {
        let Some(request) = self.requests.remove(&id) else { return };
        let out = request.out.iter().filter(|_| self.capabilities.cancellation);
        post.actions.extend(out.map(|out| PolicyAction::CancelAttempt { request: id, attempt: out.0 }));
    }
}

//! THE module: every decision and every tuned constant of a balancer.
//!
//! `Balancer::hear(now, heard, &mut orders)` is told each event in turn and adds what is to be done, purely:
//! no clock, no I/O, no global. The interface is in `types.rs`.
//! Each host is an actor with an inbox (`Host`), and so is the desk that holds the ops (`Desk`): the loop in
//! `hear` empties them. `Desk::push` and `Desk::close` are the gate, and there the four rules are kept.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::histogram::{Bucket, Counts, Histogram, Windows};
use crate::ring::Ring;
use crate::types::*;
use zones::{Pulse, Zones};

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

enum ToHost {
    Listed(Listed),
    Sent(OpId, PushNo),
    First(OpId, PushNo), // that push goes on a new connection
    Ended(OpId, PushNo, End, Micros),
    Alive, // it answered on a connection from before its silence
    Stopped(Micros),
    Learnt(f64), // how much could be in flight there at the process that this one replaces
    /// The fleet's typical answer time, the longest for the shortest, the time between pushes; if to judge.
    Sweep(f64, f64, Micros, bool),
}

enum ToDesk {
    Heard(Heard),
    Standing(HostId, Box<Standing>),
    Lost(OpId), // its host does not answer: an op that is out there may go elsewhere
}

/// The inboxes, the orders made, and the time of the event in hand.
#[derive(Default)]
struct Post {
    now: Micros,
    desk: VecDeque<ToDesk>,
    hosts: Vec<VecDeque<ToHost>>,
    turns: VecDeque<HostId>,
    orders: Vec<Order>,
}

impl Post {
    fn host(&mut self, host: HostId, note: ToHost) {
        self.hosts[host.0 as usize].push_back(note);
        self.turns.push_back(host);
    }
}

pub struct Balancer {
    post: Post,
    desk: Desk,
    hosts: Vec<Host>,
}

impl Balancer {
    pub fn new(terms: &Terms) -> Balancer {
        Balancer { post: Post::default(), desk: Desk::new(terms), hosts: Vec::new() }
    }

    /// Takes one event and adds what is to be done to `orders`.
    pub fn hear(&mut self, now: Micros, heard: Heard, orders: &mut Vec<Order>) {
        self.post.now = now;
        if let Heard::List { entries, .. } = &heard {
            let known = entries.iter().map(|entry| entry.host.0 as usize + 1).max().unwrap_or(0);
            for id in (self.hosts.len() as u32..known as u32).map(HostId) {
                let (cold, allowed) = (self.desk.cold.clone(), self.desk.allowed);
                self.hosts.push(Host::new(id, cold, self.desk.fleet.growth, allowed.dropped_stay));
                self.post.hosts.push(VecDeque::new());
                self.desk.board.push(Standing::default());
            }
        }
        self.post.desk.push_back(ToDesk::Heard(heard));
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
        orders.append(&mut self.post.orders);
    }
}

/// What a host shows the desk.
#[derive(Clone, Default)]
struct Standing {
    listed: Option<Listed>,
    suspect: bool,
    warm: f64,  // the part of its capacity that it surely has since its start; 1 when warm
    share: f64, // the part of its own keys that it keeps
    limit: Limit,
    in_flight: usize,
    pulse: Pulse,
    /// Nothing to judge and nothing under way: a sweep may pass it by. Fleets are large, ops at one host few.
    rests: bool,
}

impl Standing {
    fn up(&self) -> bool {
        self.listed.as_ref().is_some_and(|listed| listed.lifecycle == Lifecycle::Up)
    }

    /// The part of its keys that it keeps.
    fn keeps(&self, cold_part: f64) -> f64 {
        self.share * if self.warm < 1.0 { (cold_part * self.warm).min(1.0) } else { 1.0 }
    }

    fn cache(&self) -> bool {
        self.up() && !self.origin()
    }

    fn origin(&self) -> bool {
        self.listed.as_ref().is_some_and(|listed| listed.origin)
    }
}

/// How much may be in flight at a host, or at all cache hosts together.
#[derive(Clone, Default)]
struct Limit {
    most: f64,
    growth: f64,
    free_at: Micros, // below one the next push waits, so that on the whole no more than that is out
    answers: Histogram,
    shortest: f64,
    peak: usize,
    fresh: bool, // answered since last judged: an old answer must not cut the limit again and again
}

impl Limit {
    fn new(most: f64, growth: f64) -> Limit {
        Limit { most, growth, shortest: f64::MAX, ..Limit::default() }
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

    fn answered(&mut self, took: Micros, weight: f64, now: Micros) {
        self.answers.add(took, weight);
        self.fresh = true;
        self.free_at = now + (took as f64 * (1.0 / self.most.min(1.0) - 1.0)) as Micros;
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
struct Host {
    id: HostId,
    cold: ColdTerms,
    standing: Standing,
    out: BTreeMap<(OpId, PushNo), (Micros, bool)>, // when each was sent, and whether on a new connection
    cold_since: Option<Micros>,
    suspect_since: Option<Micros>,
    strikes: f64,
    overtook: Micros,    // when the last push of those that have a value or a miss was sent
    measured_at: Micros, // when the last answer time came
    gap: Micros,         // and how long after the one before
    drained: bool,       // the list said so: that binds, whatever it says later
    dropped: bool,       // the list names it no more, and its own answers are what keeps it
    dropped_stay: bool,
}

impl Host {
    fn new(id: HostId, cold: ColdTerms, growth: f64, dropped_stay: bool) -> Host {
        let standing = Standing { share: 1.0, limit: Limit::new(FIRST_LIMIT, growth), ..Standing::default() };
        Host { id, cold, standing, dropped_stay, ..Host::default() }
    }

    fn take(&mut self, note: ToHost, post: &mut Post) {
        match note {
            ToHost::Listed(listed) => {
                // A number that was free stands for another host now.
                if self.standing.listed.as_ref().is_some_and(|old| old.place != listed.place) {
                    let growth = self.standing.limit.growth;
                    *self = Host::new(self.id, self.cold.clone(), growth, self.dropped_stay);
                }
                self.drained |= listed.lifecycle == Lifecycle::Draining;
                // A list may be wrong: one that shrinks must not empty the ring of hosts that answer.
                let gone = listed.lifecycle == Lifecycle::Gone;
                self.dropped = gone && self.dropped_stay && !self.drained && self.alive();
                if self.dropped {
                    return;
                }
                let before = self.standing.listed.as_ref().and_then(|old| old.started);
                if listed.started.is_some() && listed.started != before {
                    self.cold_since = self.cold_since.max(listed.started);
                    self.well();
                }
                self.standing.listed = Some(listed);
            }
            ToHost::Sent(op, push) => {
                self.out.insert((op, push), (post.now, false));
                self.standing.limit.peak = self.standing.limit.peak.max(self.out.len());
            }
            ToHost::First(op, push) => drop(self.out.entry((op, push)).and_modify(|out| out.1 = true)),
            ToHost::Ended(op, push, end, took) => self.ended(op, push, end, took, post.now),
            ToHost::Alive => self.as_it_was(post.now),
            ToHost::Stopped(span) => self.out.values_mut().for_each(|out| out.0 += span),
            // Both are one balancer: its clients bring no more now than a moment ago.
            ToHost::Learnt(room) => self.standing.limit.most = room.clamp(LEAST_LIMIT, MOST_LIMIT),
            ToHost::Sweep(typical, quarter, apart, judge) => self.sweep(typical, quarter, apart, judge, post),
        }
        if self.dropped && !self.alive() {
            self.dropped = false;
            self.standing.listed.as_mut().expect("it was listed").lifecycle = Lifecycle::Gone;
        }
        let standing = &mut self.standing;
        standing.warm = self.cold_since.map_or(1.0, |since| self.cold.surely(post.now - since));
        (standing.suspect, standing.in_flight) = (self.suspect_since.is_some(), self.out.len());
        let settled = self.strikes < 0.1 && standing.share > 0.98 && standing.limit.most >= 1.0;
        let quiet = self.out.is_empty() && standing.limit.peak == 0;
        standing.rests = settled && quiet && !standing.suspect && standing.warm >= 1.0;
        post.desk.push_back(ToDesk::Standing(self.id, Box::new(standing.clone())));
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
        self.cold_since = self.standing.listed.as_ref().and_then(|listed| listed.started);
        self.standing.pulse.answered_at = now;
        self.well();
    }

    fn ended(&mut self, op: OpId, push: PushNo, end: End, took: Micros, now: Micros) {
        let Some((sent, first)) = self.out.remove(&(op, push)) else { return };
        // One that was overtaken by far is lost by itself: those that went after it have their answers.
        if end == End::TimedOut && self.overtook - sent >= took / 2 {
            return;
        }
        self.standing.pulse.heard(end, sent, now);
        // Of a connection's first push most is the connection's: it counts where no better is known. A client
        // that gives up before any answer can be there tells of itself.
        let short = end == End::TimedOut && self.standing.limit.too_short(took);
        let tells = !short && (!first || (now - self.measured_at) as f64 >= STANDS_FOR * JUDGE as f64);
        match end {
            End::Acked | End::Miss => {
                self.overtook = self.overtook.max(sent);
                self.well();
                // Nothing that is cold has a value sooner than it used to.
                if end == End::Acked && self.standing.limit.too_short(took) {
                    self.as_it_was(now);
                }
            }
            End::Error => self.strikes += STRIKE / 2.0,
            // One that does nothing else drains or is ending, whatever the list says.
            End::TurnedAway => {
                self.standing.limit.cut(0.5);
                self.strikes += STRIKE / 3.0;
            }
            End::Unreachable | End::Broken => self.strikes += STRIKE,
            // Too much is in flight; and silence, unless other answers came meanwhile.
            End::TimedOut => {
                self.standing.limit.cut(if tells { BACK_OFF } else { 1.0 });
                // Where pushes are seldom no other is a witness: the host would lose it op after op.
                if self.standing.pulse.answered_at < sent {
                    self.strikes += if self.out.is_empty() { 2.0 * STRIKE } else { STRIKE };
                }
            }
            End::Severed | End::CalledOff | End::Void => {}
        }
        if matches!(end, End::Acked | End::TimedOut) && tells {
            self.gap = now - self.measured_at;
            self.measured_at = now;
            // At a quiet balancer one answer stands for all that the host gave others meanwhile.
            self.standing.limit.answered(took, (self.gap as f64 / JUDGE as f64).clamp(1.0, STANDS_FOR), now);
        }
    }

    fn sweep(&mut self, typical: f64, quarter: f64, apart: Micros, judge: bool, post: &mut Post) {
        let now = post.now;
        // Time-outs count as answer times: they must not make silence look like slowness.
        let own = self.standing.limit.answers.mean().unwrap_or(typical).max(typical).min(quarter);
        let waits = self.out.values().filter(|&&(sent, first)| sent >= self.overtook && !first);
        let missed = waits.map(|&(sent, _)| (now - sent.max(self.standing.pulse.answered_at)) as f64 / own);
        let evidence = self.strikes + missed.take(WITNESSES).sum::<f64>();
        if evidence > SILENT && self.suspect_since.is_none() && !self.standing.origin() {
            self.suspect_since = Some(now);
            post.desk.extend(self.out.keys().map(|&(op, _)| ToDesk::Lost(op)));
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
struct Loads {
    counts: Counts,
    over_since: Vec<Option<Micros>>,
    hot: BTreeSet<Place>,
}

impl Loads {
    fn overloaded(&self, host: HostId, now: Micros) -> bool {
        self.over_since[host.0 as usize].is_some_and(|since| now - since >= OVERLOADED_FOR)
    }

    fn sweep(&mut self, now: Micros) {
        let mean = self.counts.mean();
        for (load, since) in self.counts.hosts.iter().zip(&mut self.over_since) {
            *since = (*load > ALPHA * mean).then(|| since.unwrap_or(now));
        }
        let stays = |key: &Place, count: f64| self.hot.contains(key) && count >= BETA * mean;
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
struct Category {
    target: Micros, // less two ticks
    late: bool,     // whether an answer past it is of use
    claim: f64,     // the part of a host's room that it may fill
    spare: u32,     // further pushes that an op may have
    repeats: Repeats,
}

#[derive(Default)]
struct Op {
    category: usize,
    key: Option<Place>,
    write: bool,
    give_up: Micros,
    claim: f64,
    pushes: u32,
    spare: u32,
    out: Vec<(PushNo, HostId, Micros)>, // pushes out: where, and when each was sent
    tried: Vec<HostId>,
    may_have_run: Option<(HostId, Micros)>, // where and when the first such push went
    missed: bool,
    failed_at: Option<HostId>, // where its last error came from
}

#[derive(Default)]
struct Desk {
    chance: Chance,
    salt: u64, // of its own, so that balancers leave different keys of a slow host
    cold: ColdTerms,
    cold_part: f64, // of what a cold host surely bears, kept there
    kept: f64,      // the part of a host's keys that it keeps, over all hosts
    apart: Micros,  // own sends to a host of mean load, one from the next
    normal: f64,    // own sends to a host of mean load in the window in which a cold one may fall
    fleet: Limit,   // of all cache hosts together
    even: f64,      // the part of all balancers that the others are
    abroad: usize,
    judged_at: Micros,
    allowed: Allowed,
    come_back: Option<Micros>,
    excess_claim: f64,
    categories: Vec<Category>,
    customers: Vec<Bucket>, // ops a second of each within its share at this balancer
    typical: f64,
    target: f64, // the target latency of late, over the ops taken
    shortest: f64,
    board: Vec<Standing>,
    cold_sends: Windows,
    ring: Ring,
    stale: bool,
    loads: Loads,
    failing: BTreeSet<Place>, // keys whose ops got errors from two hosts, and no value since
    zones: Zones,
    ops: BTreeMap<OpId, Op>,
    retries: f64,
    mends: f64,  // the same for what was lost with a connection alone
    earned: f64, // further pushes, by an acked op
    watches: u32,
    started: bool,
}

impl Desk {
    fn new(terms: &Terms) -> Desk {
        let top = terms.categories.iter().map(|category| category.benefit).fold(0.0, f64::max);
        let categories = terms.categories.iter().map(|category| Category {
            target: (category.target_latency - 2 * terms.tick).max(terms.tick),
            late: category.late_benefit > 0.0,
            claim: 0.6 + 0.4 * category.benefit / top.max(1e-9),
            spare: 1 + (2.0 * category.benefit / top.max(1e-9)) as u32,
            repeats: category.repeats,
        });
        let shortest = terms.categories.iter().map(|category| category.target_latency).min().unwrap_or(0);
        let part = 1.0 / f64::from(terms.balancers);
        let mut chance = Chance::new(terms.seed);
        Desk {
            salt: chance.draw(),
            chance,
            cold: terms.cold.clone(),
            fleet: Limit::new(MOST_LIMIT, (GROWTH * part).min(1.0)),
            even: 1.0 - part,
            allowed: terms.allowed,
            come_back: terms.come_back.map(|longest| longest.min(shortest / 2)),
            excess_claim: 0.5 + 0.5 * terms.excess_benefit.clamp(0.0, 1.0),
            categories: categories.collect(),
            customers: terms.customers.iter().map(|of| Bucket::new(of.quota_per_s * part)).collect(),
            typical: shortest as f64 / 4.0,
            target: shortest as f64,
            shortest: shortest as f64,
            retries: RETRY_STORE,
            mends: RETRY_STORE,
            earned: if terms.allowed.aside { RETRY_RATE } else { FETCH_RATE },
            ..Desk::default()
        }
    }

    fn take(&mut self, note: ToDesk, post: &mut Post) {
        // Once for all hosts that came or went together, before anything looks at the ring.
        if self.stale && !matches!(note, ToDesk::Standing(..)) {
            self.relist();
        }
        match note {
            ToDesk::Standing(host, standing) => {
                self.stale |= self.board[host.0 as usize].up() != standing.up();
                self.board[host.0 as usize] = *standing;
            }
            ToDesk::Lost(op) => self.again(op, post),
            ToDesk::Heard(heard) => self.heard(heard, post),
        }
    }

    fn heard(&mut self, heard: Heard, post: &mut Post) {
        match heard {
            Heard::List { whole, entries } => {
                let named: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
                let unnamed = self.board.iter().filter_map(|standing| standing.listed.as_ref());
                for listed in unnamed.filter(|listed| whole && !named.contains(&listed.host)) {
                    let gone = Listed { lifecycle: Lifecycle::Gone, ..listed.clone() };
                    post.host(listed.host, ToHost::Listed(gone));
                }
                entries.into_iter().for_each(|entry| post.host(entry.host, ToHost::Listed(entry)));
                self.watches = 0;
                if !self.started {
                    self.started = true;
                    post.orders.push(Order::Wake { after: SWEEP, wake: Wake::Sweep });
                    if self.allowed.list_asked {
                        post.orders.push(Order::Watch);
                    }
                }
            }
            Heard::ListRefused => {
                self.watches += 1;
                let after = self.chance.upper_half(200_000 << self.watches.min(4));
                post.orders.push(Order::Wake { after, wake: Wake::Watch });
            }
            Heard::Wake(Wake::Watch) => post.orders.push(Order::Watch),
            Heard::Wake(Wake::Sweep) => self.sweep(post),
            Heard::Op { op, category, customer, key, write, again, ttl_at } => {
                let within = customer.is_none_or(|who| self.customers[who.0 as usize].within(post.now));
                let terms = &self.categories[category.0 as usize];
                self.target += (terms.target as f64 - self.target) / 64.0;
                let held = Op {
                    category: category.0 as usize,
                    key,
                    write,
                    give_up: if terms.late { ttl_at } else { ttl_at.min(post.now + terms.target) },
                    claim: terms.claim * if within && !again { 1.0 } else { self.excess_claim },
                    spare: terms.spare,
                    ..Op::default()
                };
                self.ops.insert(op, held);
                self.route(op, post);
            }
            Heard::Learnt(learnt) => {
                let place = |host: &Standing| host.listed.as_ref().map(|listed| listed.place);
                for Learnt { place: at, room } in learnt {
                    if let Some(host) = self.board.iter().position(|host| place(host) == Some(at)) {
                        post.host(HostId(host as u32), ToHost::Learnt(room));
                    }
                }
            }
            Heard::Dropped { op } => self.forget(op, post),
            Heard::Ending { op } => self.close(op, true, post),
            Heard::Doubt { op, push } => {
                let Some(held) = self.ops.get_mut(&op) else { return };
                let Some(&(_, host, _)) = held.out.iter().find(|out| out.0 == push) else { return };
                // Its connection is in doubt, not its host: that one may have it again, paid for apart.
                if self.mends >= 1.0 {
                    held.tried.retain(|tried| *tried != host);
                    (held.spare, self.retries) = (held.spare + 1, self.retries + 1.0);
                    self.mends -= 1.0;
                    self.again(op, post);
                }
            }
            Heard::Alive { host } => post.host(host, ToHost::Alive),
            Heard::Stopped(span) => {
                (0..self.board.len()).for_each(|at| post.host(HostId(at as u32), ToHost::Stopped(span)));
            }
            Heard::First { op, push, host } => post.host(host, ToHost::First(op, push)),
            Heard::Ended { op, push, host, took, end, over } => {
                if !self.board[host.0 as usize].origin() {
                    self.abroad = self.abroad.saturating_sub(1);
                    // An error that took long waited for an origin in a jam, and its host with it.
                    let long = end == End::Error && took as f64 > self.target / 4.0;
                    if long || matches!(end, End::Acked | End::Miss | End::TimedOut) {
                        self.fleet.answered(took, 1.0, post.now);
                    }
                }
                // What fails wherever it goes tells of itself, and no host is blamed for it.
                let own = end == End::Error && self.judge_op(op, host);
                post.host(host, ToHost::Ended(op, push, if own { End::Void } else { end }, took));
                self.ended(op, push, end, over, post);
            }
        }
    }

    fn relist(&mut self) {
        self.stale = false;
        let up = (0..).map(HostId).zip(&self.board).filter(|(_, standing)| standing.cache());
        let hosts = up.filter_map(|(host, standing)| {
            let listed = standing.listed.as_ref()?;
            let weight = if self.allowed.weights_steady && listed.weight > 0.0 { listed.weight } else { 1.0 };
            Some((listed.place, host, weight))
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

    fn avoids(&self, host: &Standing) -> bool {
        host.suspect || host.listed.as_ref().is_some_and(|listed| self.zones.dark(listed.zone, host.pulse))
    }

    fn sweep(&mut self, post: &mut Post) {
        let zone = |host: &Standing| host.listed.as_ref().map_or(ZoneId(0), |listed| listed.zone);
        let caches = self.board.iter().filter(|host| host.cache());
        let dark = self.zones.look(caches.map(|host| (zone(host), host.pulse)));
        let lost = |out: &(_, HostId, _)| dark.contains(&zone(&self.board[out.1 .0 as usize]));
        let ops = self.ops.iter().filter(|(_, op)| op.out.iter().any(lost));
        post.desk.extend(ops.map(|(&op, _)| ToDesk::Lost(op)));
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
            self.normal = self.loads.counts.mean_on(&self.ring) * self.cold.fall_window as f64 / span;
            let able: f64 = caches().filter(|host| !host.suspect).map(|host| host.warm).sum();
            let most = COLD_MARGIN * self.cold.fall_multiple;
            let least = COLD_MARGIN.min(self.cold.fall_multiple / (COLD_KEY * hosts));
            self.cold_part = (hosts / able.max(1.0)).min((most * self.normal).max(least)).min(most);
            self.kept = caches().map(|host| host.keeps(self.cold_part)).sum::<f64>() / hosts;
        }
        let due = |standing: &Standing| !standing.rests && (judged || standing.in_flight > 0);
        for (host, standing) in (0..).map(HostId).zip(&self.board).filter(|(_, standing)| due(standing)) {
            let target = if standing.cache() { self.target } else { self.shortest }; // all go to the origin
            post.host(host, ToHost::Sweep(self.typical, target / 4.0, self.apart, judged));
        }
        post.orders.push(Order::Wake { after: SWEEP, wake: Wake::Sweep });
    }

    fn ended(&mut self, id: OpId, push: PushNo, end: End, over: bool, post: &mut Post) {
        let Some(op) = self.ops.get_mut(&id) else { return };
        let sent = op.out.iter().position(|out| out.0 == push).map(|at| op.out.remove(at));
        let failing = op.key.is_some_and(|key| self.failing.contains(&key));
        if end == End::Acked {
            op.key.map(|key| self.failing.remove(&key));
            self.retries = (self.retries + self.earned).min(RETRY_STORE);
            self.mends = (self.mends + self.earned).min(RETRY_STORE);
        }
        if over {
            return self.forget(id, post);
        }
        if end == End::Miss && self.allowed.aside && !op.write {
            op.missed = true;
            // A miss at a host left for silent says nothing while the op is out elsewhere.
            if op.out.is_empty() {
                self.route(id, post);
            }
            return;
        }
        if let Some((_, host, at)) = sent.filter(|_| !end.proves_not_run()) {
            op.may_have_run = op.may_have_run.filter(|earlier| earlier.1 <= at).or(Some((host, at)));
        }
        if failing && end == End::Error && op.out.is_empty() {
            return self.close(id, false, post);
        }
        // What reached no host isn't paid for; a connection's fault is, from its own store: its host is good.
        let severed = end == End::Severed && self.mends >= 1.0;
        if let Some((_, host, _)) = sent.filter(|_| severed) {
            self.mends -= 1.0;
            op.tried.retain(|tried| *tried != host);
        }
        let unpaid = severed || matches!(end, End::Unreachable | End::Void);
        (op.spare, self.retries) = (op.spare + u32::from(unpaid), self.retries + f64::from(unpaid));
        self.again(id, post);
    }

    /// An op got an error at a host; whether its key is known to get one wherever it goes.
    fn judge_op(&mut self, id: OpId, host: HostId) -> bool {
        let Some((key, op)) = self.ops.get_mut(&id).and_then(|op| Some((op.key?, op))) else { return false };
        if op.failed_at.replace(host).is_some_and(|before| before != host) {
            if self.failing.len() >= KEYS {
                self.failing.pop_first();
            }
            self.failing.insert(key);
        }
        self.failing.contains(&key)
    }

    /// A push came to nothing: another one, if the op may have it and can still use it, or the end.
    fn again(&mut self, id: OpId, post: &mut Post) {
        let Some(op) = self.ops.get_mut(&id) else { return };
        let room = op.give_up - post.now > (self.typical / 4.0) as Micros;
        let free = op.out.is_empty() || self.allowed.second_copies;
        if free && room && op.spare > 0 && self.retries >= 1.0 {
            op.spare -= 1;
            self.retries -= 1.0;
            self.route(id, post);
        } else if op.out.is_empty() {
            self.close(id, false, post);
        }
    }

    fn route(&mut self, id: OpId, post: &mut Post) {
        let mut pushed = false;
        // A host that may not have the op, mostly a cold one whose part is spent, is passed by.
        for _ in 0..PASSED {
            let op = &self.ops[&id];
            let asks_origin = self.allowed.aside && (op.write || op.missed);
            let chosen = if asks_origin { self.origin(id, post.now) } else { self.choose(id, post.now) };
            let Some(host) = chosen else { break };
            pushed = self.push(id, host, post);
            if pushed || asks_origin {
                break;
            }
            self.ops.get_mut(&id).expect("it is open").tried.push(host);
        }
        if !pushed && self.ops[&id].out.is_empty() {
            self.close(id, true, post);
        }
    }

    /// What can't wait for the shortest typical answer loads no host: many such would jam it for nobody.
    fn hopeless(op: &Op, limit: &Limit, now: Micros) -> bool {
        op.out.is_empty() && limit.too_short(op.give_up - now)
    }

    fn origin(&self, id: OpId, now: Micros) -> Option<HostId> {
        let op = &self.ops[&id];
        let at = self.board.iter().position(|standing| standing.up() && standing.origin())?;
        let (host, claim) = (&self.board[at], if op.write { 2.0 } else { op.claim });
        let room = host.limit.room(host.in_flight, claim, self.even, now);
        (room && !Self::hopeless(op, &host.limit, now)).then_some(HostId(at as u32))
    }

    /// Whether a cold or slow host keeps a key. Each balancer leaves other keys: a hot key must neither come
    /// to a cold host from all at once, nor move as a whole and jam the next host.
    fn keeps(&self, host: HostId, key: Place) -> bool {
        let standing = &self.board[host.0 as usize];
        let part = standing.keeps(self.cold_part);
        part >= 1.0 || (key.mixed(self.salt ^ u64::from(host.0)).0 as f64) < part * u64::MAX as f64
    }

    /// The ordinary path: the home, a hot key's least busy holder; past one that can't be used the next.
    fn choose(&mut self, id: OpId, now: Micros) -> Option<HostId> {
        let op = &self.ops[&id];
        if !self.fleet.room(self.abroad, op.claim, self.even, now) || Self::hopeless(op, &self.fleet, now) {
            return None;
        }
        let key = op.key.unwrap_or_else(|| Place(self.chance.draw()));
        let mut holders = Vec::new();
        if self.loads.hot.contains(&key) && !op.write {
            holders = self.holders(key, now);
            holders.sort_by_cached_key(|&host| (self.board[host.0 as usize].in_flight, self.chance.draw()));
        }
        let (mut seen, mut full) = (Vec::new(), 0);
        let order = holders.into_iter().chain(self.ring.walk(key).map(|point| point.1));
        let mut second: Option<(f64, HostId)> = None;
        for host in order {
            let standing = &self.board[host.0 as usize];
            let room = standing.limit.room(standing.in_flight, op.claim, 0.0, now);
            let overflow = full > 0 || !op.tried.is_empty();
            let again = seen.contains(&host) || op.tried.contains(&host);
            if !standing.cache() || again || (standing.warm < 1.0 && overflow) {
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
    fn holders(&self, key: Place, now: Micros) -> Vec<HostId> {
        let count = ((self.loads.counts.part(key) * self.ring.hosts() as f64) as u64).max(HOLDERS);
        let range = u64::MAX / count;
        let mut holders: Vec<HostId> = Vec::new();
        for nth in 0..count {
            let from = Place(key.0.wrapping_add(nth * range));
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
    fn push(&mut self, id: OpId, host: HostId, post: &mut Post) -> bool {
        let now = post.now;
        let Some(op) = self.ops.get_mut(&id) else { return false };
        let standing = &self.board[host.0 as usize];
        // Rule 1: nothing for an op that is over, out of time or out of pushes.
        // Rule 3: nothing new to a host that drains or is gone; the grace is not used.
        if now >= op.give_up || op.pushes >= self.allowed.max_pushes || !standing.up() {
            return false;
        }
        // Rule 2: nothing that could take effect twice, and two pushes at a time only where that is allowed.
        let out = op.out.iter().map(|out| (out.1, out.2));
        let first = out.chain(op.may_have_run).min_by_key(|earlier| earlier.1);
        if let (Some((earlier, at)), Some(there)) = (first, standing.listed.as_ref()) {
            let before = self.board[earlier.0 as usize].listed.as_ref();
            let allowed = match self.categories[op.category].repeats {
                Repeats::Redeliverable => true,
                Repeats::AtMostOnce => false,
                Repeats::Deduplicated { group, window } => {
                    now - at < window - SWEEP && before.is_some_and(|before| group.joins(before, there))
                }
            };
            if !allowed || !(op.out.is_empty() || self.allowed.second_copies) {
                return false;
            }
        }
        let standing = &mut self.board[host.0 as usize];
        // Rule 4: to a cold host no more in a window than this balancer's part of what it can bear. A warm
        // host bears the mean load at least; own sends are already this balancer's part of it.
        if standing.warm < 1.0 && standing.cache() {
            // What other hosts turned away or lost comes from every balancer at once.
            if !op.tried.is_empty() {
                return false;
            }
            // All that goes there: its part of the sum's mean and chance, by how likely it is asked; one key.
            let (part, falls, normal) = (1.0 - self.even, self.cold.fall_multiple, self.normal.max(SELDOM));
            let (bears, kept) = (standing.warm * normal, standing.keeps(self.cold_part) / self.kept);
            let asked = 1.0 - (-normal * kept.min(1.0)).exp();
            let luck = CHANCE * ((falls * bears * part).sqrt() + part.min(normal));
            let all = (COLD_MARGIN * falls * bears + luck) / asked;
            let key = op.key.map(|key| (key, (COLD_MARGIN * falls - self.cold_part) * bears));
            if !self.cold_sends.take(now, self.cold.fall_window, host, all, key, &mut self.chance) {
                return false;
            }
        }
        let push = PushNo(op.pushes);
        op.pushes += 1;
        op.out.push((push, host, now));
        op.tried.push(host);
        if standing.cache() {
            self.abroad += 1;
            self.fleet.peak = self.fleet.peak.max(self.abroad);
            let home = op.key.and_then(|key| self.ring.walk(key).next()).map_or(host, |point| point.1);
            self.loads.counts.count(host, op.key, home, KEYS);
        }
        standing.in_flight += 1;
        post.host(host, ToHost::Sent(id, push));
        post.orders.push(Order::Push { op: id, host, timeout: op.give_up - now });
        true
    }

    /// The gate for final answers: one for each op, and a nack only where trying again is harmless.
    fn close(&mut self, id: OpId, shed: bool, post: &mut Post) {
        let Some(op) = self.ops.get(&id) else { return };
        let repeats = self.categories[op.category].repeats;
        let harmless =
            matches!(repeats, Repeats::Redeliverable | Repeats::Deduplicated { group: Group::All, .. })
                || (op.may_have_run.is_none() && op.out.is_empty());
        let nack = Order::Nack { op: id, come_back: self.come_back };
        post.orders.push(if shed && harmless { nack } else { Order::DeadLetter { op: id } });
        self.forget(id, post);
    }

    fn forget(&mut self, id: OpId, post: &mut Post) {
        let Some(op) = self.ops.remove(&id) else { return };
        let out = op.out.iter().filter(|_| self.allowed.call_off);
        post.orders.extend(out.map(|out| Order::CallOff { op: id, push: out.0 }));
    }
}

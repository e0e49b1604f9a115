//! A move under way: balancers configured for the old shape of deployment and of the new one,
//! before the same hosts, in simulated time: one host drains, one starts anew, one hangs. Hosts
//! have one core and a queue; they are models, not measurements.

mod common;

use std::collections::BTreeMap;

use basaltwood::types::*;
use common::*;
use expect_test::expect;

const HOSTS: u32 = 8;
const EACH: u32 = 6; // balancers of each kind
const WORK: Micros = 30 * MS;
const QUEUE: usize = 24;
const DRAINED: u32 = 3;
const STARTED: u32 = 5;
const DRAIN_AT: Micros = 6_000 * MS;
const START_AT: Micros = 9_000 * MS;
const HUNG: u32 = 6;
const HANGS: std::ops::Range<Micros> = 12_000 * MS..16_000 * MS; // it takes requests and answers none
const END: Micros = 20_000 * MS;
const ANSWERED_WITHIN: Micros = 2_000 * MS; // every request's TTL

/// As before the move: two attempts at a time, late answers worth nothing.
fn old_shape() -> PolicyConfig {
    let mut config = PolicyConfig { balancers: 2 * EACH, ..policy_config() };
    for class in &mut config.classes {
        if let RetrySafety::IdempotencyKey { scope, .. } = &mut class.retry_safety {
            *scope = DeduplicationScope::All;
        }
    }
    config
}

/// As after it: one attempt at a time, late answers still earn.
fn new_shape() -> PolicyConfig {
    let mut config = old_shape();
    config.capabilities.hedging = false;
    config.classes.iter_mut().for_each(|class| class.late_weight = 0.4);
    config
}

/// A request: its balancer's kind, the balancer among those, and its number there.
type RequestKey = (usize, usize, RequestId);

/// What reaches a host: whose it is, and when it is done.
struct InFlight {
    key: RequestKey,
    attempt: u32,
    host: HostId,
    sent: Micros,
    ends: Micros,
    outcome: AttemptOutcome,
}

#[derive(Default)]
struct Taken {
    class: u16,
    at: Micros,
    answers: u32,
    attempts: u32,
    /// When it was begun at hosts.
    runs: Vec<Micros>,
}

struct Move {
    kinds: [Vec<TestBalancer>; 2],
    free_at: Vec<Micros>,
    in_flight: Vec<InFlight>,
    requests: BTreeMap<RequestKey, Taken>,
    /// By kind: reads taken, and answered within the target latency.
    served: [(u32, u32); 2],
    to_started: Vec<Micros>,
    broken: Vec<String>,
}

impl Move {
    fn listed_at(host: u32, now: Micros) -> Endpoint {
        Endpoint {
            lifecycle: if host == DRAINED && now >= DRAIN_AT { Lifecycle::Draining } else { Lifecycle::Up },
            started_at: (host == STARTED && now >= START_AT).then_some(START_AT),
            ..endpoint(host)
        }
    }

    fn new(shapes: [PolicyConfig; 2]) -> Move {
        let hosts: Vec<Endpoint> = (0..HOSTS).map(endpoint).collect();
        let balancer = |config: &PolicyConfig, seed: u32| {
            TestBalancer::new(&PolicyConfig { seed: u64::from(seed), ..config.clone() }, hosts.clone())
        };
        let kind =
            |nth: usize| (0..EACH).map(|seed| balancer(&shapes[nth], 10 * nth as u32 + seed)).collect();
        Move {
            kinds: [kind(0), kind(1)],
            free_at: vec![0; HOSTS as usize],
            in_flight: Vec::new(),
            requests: BTreeMap::new(),
            served: [(0, 0); 2],
            to_started: Vec::new(),
            broken: Vec::new(),
        }
    }

    fn carry_out(&mut self, kind: usize, nth: usize, now: Micros, actions: Vec<PolicyAction>) {
        for action in actions {
            match action {
                PolicyAction::StartAttempt { request, host, timeout } => {
                    self.check_start((kind, nth, request), host, now);
                    self.start_attempt((kind, nth, request), host, timeout, now);
                }
                PolicyAction::CancelAttempt { request, attempt } => {
                    self.cancel((kind, nth, request), attempt, now);
                }
                PolicyAction::Reject { request, .. } => self.answer((kind, nth, request), true),
                PolicyAction::Fail { request, .. } => self.answer((kind, nth, request), false),
                PolicyAction::SetTimer { .. } | PolicyAction::WatchDiscovery => {}
            }
        }
    }

    fn taken(&mut self, key: RequestKey) -> &mut Taken {
        self.requests.get_mut(&key).expect("the request was submitted")
    }

    /// Whether an attempt that starts keeps the rules.
    fn check_start(&mut self, key: RequestKey, host: HostId, now: Micros) {
        let has_others = self.in_flight.iter().any(|out| out.key == key);
        if self.taken(key).answers > 0 {
            self.broken.push("an attempt after the final answer".to_owned());
        }
        if key.0 == 1 && has_others {
            self.broken.push("two attempts of a request in flight".to_owned());
        }
        if host == HostId(DRAINED) && now >= DRAIN_AT {
            self.broken.push("an attempt to a host that drains".to_owned());
        }
    }

    /// Has the host work on it: when it will end there, and how.
    fn start_attempt(&mut self, key: RequestKey, host: HostId, timeout: Micros, now: Micros) {
        if host == HostId(STARTED) && now >= START_AT {
            self.to_started.push(now);
        }
        let free_at = self.free_at[host.0 as usize];
        let taken = self.taken(key);
        let attempt = taken.attempts;
        taken.attempts += 1;
        let (ends, outcome) = if free_at - now > QUEUE as Micros * WORK {
            (now + MS, AttemptOutcome::Rejected)
        } else if host == HostId(HUNG) && HANGS.contains(&now) {
            taken.runs.push(now);
            (now + timeout, AttemptOutcome::TimedOut)
        } else {
            let begins = free_at.max(now);
            taken.runs.push(begins);
            self.free_at[host.0 as usize] = begins + WORK;
            if begins + WORK > now + timeout {
                (now + timeout, AttemptOutcome::TimedOut)
            } else {
                (begins + WORK, AttemptOutcome::Succeeded)
            }
        };
        self.in_flight.push(InFlight { key, attempt, host, sent: now, ends, outcome });
    }

    /// What waits or runs goes on: cancelling proves nothing.
    fn cancel(&mut self, key: RequestKey, attempt: AttemptNumber, now: Micros) {
        let named = |out: &&mut InFlight| out.key == key && out.attempt == attempt.0;
        if let Some(out) = self.in_flight.iter_mut().find(named) {
            (out.ends, out.outcome) = (now + MS, AttemptOutcome::Cancelled);
        }
    }

    /// A final answer that no host brought.
    fn answer(&mut self, key: RequestKey, is_rejection: bool) {
        let taken = self.taken(key);
        taken.answers += 1;
        if is_rejection && taken.class == ONCE.0 && !taken.runs.is_empty() {
            self.broken.push("a rejection of an at-most-once request that may have run".to_owned());
        }
    }

    fn tick(&mut self, now: Micros, rng: &mut SeededRng) {
        let due = |out: &InFlight| out.ends <= now;
        while let Some(at) = self.in_flight.iter().position(due) {
            let InFlight { key, attempt, host, sent, outcome, .. } = self.in_flight.remove(at);
            let (kind, nth, request) = key;
            let taken = self.taken(key);
            let finished = taken.answers > 0;
            if outcome == AttemptOutcome::Succeeded && !finished {
                taken.answers += 1;
                let in_time = taken.class == READ.0 && now - taken.at <= 800 * MS;
                self.served[kind].1 += u32::from(in_time);
            }
            let balancer = &mut self.kinds[kind][nth];
            balancer.now = now;
            let finished = finished || outcome == AttemptOutcome::Succeeded;
            let event = PolicyEvent::AttemptEnded {
                request,
                attempt: AttemptNumber(attempt),
                host,
                elapsed: now - sent,
                outcome,
                finished,
            };
            let actions = balancer.handle(event);
            self.carry_out(kind, nth, now, actions);
        }
        for kind in 0..2 {
            for nth in 0..EACH as usize {
                let balancer = &mut self.kinds[kind][nth];
                balancer.now = now;
                let mut actions = Vec::new();
                if now == DRAIN_AT || now == START_AT {
                    let endpoints = (0..HOSTS).map(|host| Move::listed_at(host, now)).collect();
                    actions.extend(balancer.handle(PolicyEvent::Endpoints { complete: true, endpoints }));
                }
                if (now / MS + 7 * nth as i64) % 50 == 0 {
                    actions.extend(balancer.handle(PolicyEvent::TimerFired(Timer::Sweep)));
                }
                self.carry_out(kind, nth, now, actions);
            }
        }
        // Like traffic for both kinds: a third more than all hosts bear.
        if now >= END || rng.draw() % 1_000 >= 355 {
            return;
        }
        let (kind, nth) = (rng.draw() as usize % 2, rng.draw() as usize % EACH as usize);
        let class = match rng.draw() % 20 {
            0 => KEYED,
            1 => ONCE,
            _ => READ,
        };
        let key = format!("key-{}", rng.draw() % 3_000);
        self.served[kind].0 += u32::from(class == READ);
        let (request, actions) = self.kinds[kind][nth].request(class, &key);
        let taken = Taken { class: class.0, at: now, ..Taken::default() };
        assert!(
            self.requests.insert((kind, nth, request), taken).is_none(),
            "each request has a number of its own"
        );
        self.carry_out(kind, nth, now, actions);
    }

    /// Plays the move; each kind's share of reads served in time, and what was broken.
    fn play(shapes: [PolicyConfig; 2]) -> ([f64; 2], Vec<String>) {
        let cold = shapes[0].slow_start.clone();
        let mut world = Move::new(shapes);
        let mut rng = SeededRng::new(11);
        for tick in 0..(END + ANSWERED_WITHIN + 100 * MS) / MS {
            world.tick(tick * MS, &mut rng);
        }
        for taken in world.requests.values() {
            if taken.answers != 1 {
                world.broken.push(format!("{} final answers", taken.answers));
            }
            let first = taken.runs.first().copied().unwrap_or(0);
            let twice = match taken.class {
                1 => taken.runs.iter().any(|run| run - first >= 1_000 * MS),
                2 => taken.runs.len() > 1,
                _ => false,
            };
            if twice {
                world.broken.push("an effect twice".to_owned());
            }
        }
        // What the host surely bears in the middle of a window, and its full capacity of one
        // request for each WORK.
        for from in (START_AT..END).step_by(250 * MS as usize) {
            let got =
                world.to_started.iter().filter(|at| (from..from + cold.overload_window).contains(at)).count();
            let minimum_capacity = cold.minimum_capacity(from + cold.overload_window / 2 - START_AT);
            if got as f64 > cold.overload_multiple * minimum_capacity * (cold.overload_window / WORK) as f64 {
                world.broken.push("a cold host pushed over".to_owned());
            }
        }
        (world.served.map(|(taken, served)| f64::from(served) / f64::from(taken.max(1))), world.broken)
    }
}

/// The bound: of like traffic neither kind may be served less than four fifths of what the other is.
fn starves(shares: [f64; 2]) -> bool {
    shares[0].min(shares[1]) < 0.8 * shares[0].max(shares[1])
}

#[test]
fn mixed_deployments_keep_the_rules_and_neither_starves_the_other() {
    let (shares, broken) = Move::play([old_shape(), new_shape()]);

    assert_eq!(broken, Vec::<String>::new());
    assert!(!starves(shares), "{shares:?}");
    expect!["old 0.60, new 0.64"].assert_eq(&format!("old {:.2}, new {:.2}", shares[0], shares[1]));
}

/// The bound can fail: a kind that no jam holds back takes the hosts from the other.
#[test]
fn greedy_deployment_is_seen_to_starve_the_other() {
    let mut greedy = new_shape();
    for class in &mut greedy.classes {
        class.latency_objective = 200_000 * MS;
        class.priority_weight = 10.0;
    }
    greedy.balancers = 1;
    let (shares, _) = Move::play([old_shape(), greedy]);

    assert!(starves(shares), "{shares:?}");
    expect!["old 0.32, greedy 0.98"].assert_eq(&format!("old {:.2}, greedy {:.2}", shares[0], shares[1]));
}

//! A migration in simulated time: balancers with the configurations of the old and of the new
//! deployment share the same hosts, of which one drains, one restarts and one hangs. The hosts are
//! models with one core and a queue.

mod common;

use std::collections::BTreeMap;

use basaltwood::types::*;
use common::*;
use expect_test::expect;

const HOSTS: u32 = 8;
const BALANCERS_PER_KIND: u32 = 6;
const SERVICE_TIME: Micros = 30 * MS;
const QUEUE_LENGTH: usize = 24;
const DRAINED: u32 = 3;
const RESTARTED: u32 = 5;
const DRAIN_AT: Micros = 6_000 * MS;
const RESTART_AT: Micros = 9_000 * MS;
const HUNG: u32 = 6;
/// When the hung host accepts requests and answers none.
const HUNG_DURING: std::ops::Range<Micros> = 12_000 * MS..16_000 * MS;
const END: Micros = 20_000 * MS;
const REQUEST_TTL: Micros = 2_000 * MS;

/// The old deployment: two attempts at a time, and late answers earn nothing.
fn hedging_config() -> PolicyConfig {
    let mut config = PolicyConfig { balancers: 2 * BALANCERS_PER_KIND, ..policy_config() };
    for class in &mut config.classes {
        if let RetrySafety::IdempotencyKey { scope, .. } = &mut class.retry_safety {
            *scope = DeduplicationScope::All;
        }
    }
    config
}

/// The new deployment: one attempt at a time, and late answers still earn something.
fn single_attempt_config() -> PolicyConfig {
    let mut config = hedging_config();
    config.capabilities.hedging = false;
    config.classes.iter_mut().for_each(|class| class.late_weight = 0.4);
    config
}

/// A request: the kind of its balancer, the balancer's index in that kind, and its number there.
type RequestKey = (usize, usize, RequestId);

/// An attempt in flight, with its end as the host model determines it.
struct InFlight {
    key: RequestKey,
    attempt: u32,
    host: HostId,
    sent: Micros,
    ends: Micros,
    outcome: AttemptOutcome,
}

#[derive(Default)]
struct RequestRecord {
    class: u16,
    at: Micros,
    answers: u32,
    attempts: u32,
    /// When hosts began to execute the request.
    runs: Vec<Micros>,
}

struct Simulation {
    kinds: [Vec<TestBalancer>; 2],
    free_at: Vec<Micros>,
    in_flight: Vec<InFlight>,
    requests: BTreeMap<RequestKey, RequestRecord>,
    /// For each kind, the number of reads and of those answered within the target latency.
    served: [(u32, u32); 2],
    sends_to_restarted: Vec<Micros>,
    violations: Vec<String>,
}

impl Simulation {
    fn endpoint_at(host: u32, now: Micros) -> Endpoint {
        Endpoint {
            lifecycle: if host == DRAINED && now >= DRAIN_AT { Lifecycle::Draining } else { Lifecycle::Up },
            started_at: (host == RESTARTED && now >= RESTART_AT).then_some(RESTART_AT),
            ..endpoint(host)
        }
    }

    fn new(configs: [PolicyConfig; 2]) -> Simulation {
        let hosts: Vec<Endpoint> = (0..HOSTS).map(endpoint).collect();
        let balancer = |config: &PolicyConfig, seed: u32| {
            TestBalancer::new(&PolicyConfig { seed: u64::from(seed), ..config.clone() }, hosts.clone())
        };
        let kind = |nth: usize| {
            (0..BALANCERS_PER_KIND).map(|seed| balancer(&configs[nth], 10 * nth as u32 + seed)).collect()
        };
        Simulation {
            kinds: [kind(0), kind(1)],
            free_at: vec![0; HOSTS as usize],
            in_flight: Vec::new(),
            requests: BTreeMap::new(),
            served: [(0, 0); 2],
            sends_to_restarted: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn perform(&mut self, kind: usize, nth: usize, now: Micros, actions: Vec<PolicyAction>) {
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

    fn record(&mut self, key: RequestKey) -> &mut RequestRecord {
        self.requests.get_mut(&key).expect("the request was submitted")
    }

    /// Records a violation if an attempt that starts breaks a rule.
    fn check_start(&mut self, key: RequestKey, host: HostId, now: Micros) {
        let has_others = self.in_flight.iter().any(|out| out.key == key);
        if self.record(key).answers > 0 {
            self.violations.push("an attempt after the final answer".to_owned());
        }
        if key.0 == 1 && has_others {
            self.violations.push("two attempts of a request in flight".to_owned());
        }
        if host == HostId(DRAINED) && now >= DRAIN_AT {
            self.violations.push("an attempt at a draining host".to_owned());
        }
    }

    /// Starts an attempt at its host, and determines when and how it will end.
    fn start_attempt(&mut self, key: RequestKey, host: HostId, timeout: Micros, now: Micros) {
        if host == HostId(RESTARTED) && now >= RESTART_AT {
            self.sends_to_restarted.push(now);
        }
        let free_at = self.free_at[host.0 as usize];
        let record = self.record(key);
        let attempt = record.attempts;
        record.attempts += 1;
        let (ends, outcome) = if free_at - now > QUEUE_LENGTH as Micros * SERVICE_TIME {
            (now + MS, AttemptOutcome::Rejected)
        } else if host == HostId(HUNG) && HUNG_DURING.contains(&now) {
            record.runs.push(now);
            (now + timeout, AttemptOutcome::TimedOut)
        } else {
            let begins = free_at.max(now);
            record.runs.push(begins);
            self.free_at[host.0 as usize] = begins + SERVICE_TIME;
            if begins + SERVICE_TIME > now + timeout {
                (now + timeout, AttemptOutcome::TimedOut)
            } else {
                (begins + SERVICE_TIME, AttemptOutcome::Succeeded)
            }
        };
        self.in_flight.push(InFlight { key, attempt, host, sent: now, ends, outcome });
    }

    /// Cancels an attempt; the host still executes it, since cancelling does not prevent that.
    fn cancel(&mut self, key: RequestKey, attempt: AttemptNumber, now: Micros) {
        let named = |out: &&mut InFlight| out.key == key && out.attempt == attempt.0;
        if let Some(out) = self.in_flight.iter_mut().find(named) {
            (out.ends, out.outcome) = (now + MS, AttemptOutcome::Cancelled);
        }
    }

    /// Records a final answer that the balancer gave itself.
    fn answer(&mut self, key: RequestKey, is_rejection: bool) {
        let record = self.record(key);
        record.answers += 1;
        if is_rejection && record.class == ONCE.0 && !record.runs.is_empty() {
            self.violations.push("a rejection of an at-most-once request that may have run".to_owned());
        }
    }

    fn tick(&mut self, now: Micros, rng: &mut SeededRng) {
        let due = |out: &InFlight| out.ends <= now;
        while let Some(at) = self.in_flight.iter().position(due) {
            let InFlight { key, attempt, host, sent, outcome, .. } = self.in_flight.remove(at);
            let (kind, nth, request) = key;
            let record = self.record(key);
            let finished = record.answers > 0;
            if outcome == AttemptOutcome::Succeeded && !finished {
                record.answers += 1;
                let in_time = record.class == READ.0 && now - record.at <= 800 * MS;
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
            self.perform(kind, nth, now, actions);
        }
        for kind in 0..2 {
            for nth in 0..BALANCERS_PER_KIND as usize {
                let balancer = &mut self.kinds[kind][nth];
                balancer.now = now;
                let mut actions = Vec::new();
                if now == DRAIN_AT || now == RESTART_AT {
                    let endpoints = (0..HOSTS).map(|host| Simulation::endpoint_at(host, now)).collect();
                    actions.extend(balancer.handle(PolicyEvent::Endpoints { complete: true, endpoints }));
                }
                if (now / MS + 7 * nth as i64) % 50 == 0 {
                    actions.extend(balancer.handle(PolicyEvent::TimerFired(Timer::Sweep)));
                }
                self.perform(kind, nth, now, actions);
            }
        }
        // The same traffic for both kinds, together a third more than the hosts' capacity.
        if now >= END || rng.draw() % 1_000 >= 355 {
            return;
        }
        let (kind, nth) = (rng.draw() as usize % 2, rng.draw() as usize % BALANCERS_PER_KIND as usize);
        let class = match rng.draw() % 20 {
            0 => KEYED,
            1 => ONCE,
            _ => READ,
        };
        let key = format!("key-{}", rng.draw() % 3_000);
        self.served[kind].0 += u32::from(class == READ);
        let (request, actions) = self.kinds[kind][nth].request(class, &key);
        let record = RequestRecord { class: class.0, at: now, ..RequestRecord::default() };
        assert!(
            self.requests.insert((kind, nth, request), record).is_none(),
            "each request has its own number"
        );
        self.perform(kind, nth, now, actions);
    }

    /// Runs the simulation; returns each kind's share of reads served in time, and the violations.
    fn run(configs: [PolicyConfig; 2]) -> ([f64; 2], Vec<String>) {
        let slow_start = configs[0].slow_start.clone();
        let mut simulation = Simulation::new(configs);
        let mut rng = SeededRng::new(11);
        for tick in 0..(END + REQUEST_TTL + 100 * MS) / MS {
            simulation.tick(tick * MS, &mut rng);
        }
        for record in simulation.requests.values() {
            if record.answers != 1 {
                simulation.violations.push(format!("{} final answers", record.answers));
            }
            let first = record.runs.first().copied().unwrap_or(0);
            let twice = match record.class {
                1 => record.runs.iter().any(|run| run - first >= 1_000 * MS),
                2 => record.runs.len() > 1,
                _ => false,
            };
            if twice {
                simulation.violations.push("a request took effect twice".to_owned());
            }
        }
        // The bound is the minimum capacity in the middle of a window; full capacity is one request
        // per SERVICE_TIME.
        for from in (RESTART_AT..END).step_by(250 * MS as usize) {
            let got = simulation
                .sends_to_restarted
                .iter()
                .filter(|at| (from..from + slow_start.overload_window).contains(at))
                .count();
            let minimum_capacity =
                slow_start.minimum_capacity(from + slow_start.overload_window / 2 - RESTART_AT);
            if got as f64
                > slow_start.overload_multiple
                    * minimum_capacity
                    * (slow_start.overload_window / SERVICE_TIME) as f64
            {
                simulation.violations.push("a cold host was overloaded".to_owned());
            }
        }
        (
            simulation.served.map(|(reads, served)| f64::from(served) / f64::from(reads.max(1))),
            simulation.violations,
        )
    }
}

/// Whether one kind is served less than four fifths of what the other is served, at equal traffic.
fn is_one_starved(shares: [f64; 2]) -> bool {
    shares[0].min(shares[1]) < 0.8 * shares[0].max(shares[1])
}

#[test]
fn mixed_deployments_keep_the_rules_and_neither_starves_the_other() {
    let (shares, violations) = Simulation::run([hedging_config(), single_attempt_config()]);

    assert_eq!(violations, Vec::<String>::new());
    assert!(!is_one_starved(shares), "{shares:?}");
    expect!["old 0.60, new 0.64"].assert_eq(&format!("old {:.2}, new {:.2}", shares[0], shares[1]));
}

/// Shows that the bound of [`is_one_starved`] can fail: a kind that congestion does not slow down
/// takes the capacity from the other.
#[test]
fn greedy_deployment_starves_the_other() {
    let mut greedy = single_attempt_config();
    for class in &mut greedy.classes {
        class.latency_objective = 200_000 * MS;
        class.priority_weight = 10.0;
    }
    greedy.balancers = 1;
    let (shares, _) = Simulation::run([hedging_config(), greedy]);

    assert!(is_one_starved(shares), "{shares:?}");
    expect!["old 0.32, greedy 0.98"].assert_eq(&format!("old {:.2}, greedy {:.2}", shares[0], shares[1]));
}

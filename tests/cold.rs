//! The load on cold hosts from all balancers together, in simulation. A host must get less in a
//! window than the bound in the operators' requirements, N + 2 * sqrt(N) + 2, where N is what the
//! settings allow the host at that time.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::thread;

use basaltwood::types::*;
use common::*;
use expect_test::expect;

const HOSTS: u32 = 12;
/// When the hosts are restarted.
const RESTART_AT: Micros = 6_000 * MS;
/// The time after the restart for which their load is measured.
const OBSERVED_FOR: Micros = 9_000 * MS;

/// The parameters of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    balancers: u32,
    /// Requests per second over all balancers, which is also the capacity of all warm hosts.
    requests_per_s: u32,
    /// Whether one balancer in eight has five times the traffic of each other one.
    unequal_traffic: bool,
    /// Whether a tenth of all reads goes to a single key of a cold host from the restart on.
    with_hot_key: bool,
    /// Whether all hosts are restarted, rather than one in four.
    restart_all: bool,
    /// Whether all balancers are restarted with the hosts.
    restart_balancers: bool,
}

struct Outcome {
    /// The highest load of a cold host in a window, as a fraction of its bound.
    max_load: f64,
    /// The mean over all windows of the fraction that cold hosts got of what the settings allow.
    mean_use: f64,
    /// The fraction of the requests that were not sent.
    unsent: f64,
}

/// The state of a simulation.
struct Simulation {
    scenario: Scenario,
    config: PolicyConfig,
    /// The balancers by number; each is created at its first request, as nothing changes it before.
    instances: BTreeMap<u32, TestBalancer>,
    hot_key: String,
    rng: SeededRng,
    in_flight: VecDeque<InFlight>,
    /// The send time and the host of each attempt.
    attempts: Vec<(Micros, HostId)>,
    unsent: u32,
    next_request_at: Micros,
}

struct InFlight {
    ends_at: Micros,
    balancer: u32,
    request: RequestId,
    host: HostId,
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let mut simulation = Simulation {
            scenario,
            config: PolicyConfig { balancers: scenario.balancers, ..policy_config() },
            instances: BTreeMap::new(),
            hot_key: String::new(),
            rng: SeededRng::new(11),
            in_flight: VecDeque::new(),
            attempts: Vec::new(),
            unsent: 0,
            next_request_at: 0,
        };
        let is_at_cold_host = |key: &String| simulation.start(0, false).serve(key)[0] == HostId(4);
        let hot_key = keys(500).into_iter().find(is_at_cold_host);
        simulation.hot_key = hot_key.expect("a key has the cold host as its home");
        simulation
    }

    fn is_restarted(&self, host: u32) -> bool {
        self.scenario.restart_all || host.is_multiple_of(4)
    }

    /// The endpoint list before the restart, or after it if `cold`.
    fn endpoints(&self, cold: bool) -> Vec<Endpoint> {
        let started_at = |host: u32| Some(RESTART_AT).filter(|_| cold && self.is_restarted(host));
        (0..HOSTS).map(|host| Endpoint { started_at: started_at(host), ..endpoint(host) }).collect()
    }

    fn start(&self, balancer: u32, cold: bool) -> TestBalancer {
        let config = PolicyConfig { seed: u64::from(balancer) + 1, ..self.config.clone() };
        TestBalancer::new(&config, self.endpoints(cold))
    }

    fn tick(&mut self, tick: i64) {
        let now = tick * MS;
        if now == RESTART_AT {
            self.restart_hosts(now);
        }
        self.end_attempts(now);
        // With thousands of balancers, each sweeps only as often as it evaluates.
        let sweep = if self.scenario.balancers > 1_000 { 250 } else { 50 };
        for (_, instance) in
            self.instances.iter_mut().filter(|instance| (tick + i64::from(*instance.0)) % sweep == 0)
        {
            instance.now = now;
            instance.handle(PolicyEvent::TimerFired(Timer::Sweep));
        }
        let mean_gap = 1_000_000 / Micros::from(self.scenario.requests_per_s);
        while self.next_request_at <= now {
            // Poisson arrivals: the gaps are exponentially distributed.
            let drawn = self.rng.fraction();
            self.next_request_at += ((1.0 - drawn).ln() * -(mean_gap as f64)) as Micros;
            self.request(now);
        }
    }

    fn restart_hosts(&mut self, now: Micros) {
        if self.scenario.restart_balancers {
            self.instances.clear();
            self.in_flight.clear();
        }
        let endpoints = self.endpoints(true);
        for instance in self.instances.values_mut() {
            instance.now = now;
            instance.handle(PolicyEvent::Endpoints { complete: true, endpoints: endpoints.clone() });
        }
    }

    fn end_attempts(&mut self, now: Micros) {
        while self.in_flight.front().is_some_and(|next| next.ends_at <= now) {
            let InFlight { balancer, request, host, .. } =
                self.in_flight.pop_front().expect("an attempt is due");
            let instance = self.instances.get_mut(&balancer).expect("the balancer has a request in flight");
            instance.now = now;
            instance.attempt_ended(request, 0, host, AttemptOutcome::Succeeded, 60 * MS);
        }
    }

    fn request(&mut self, now: Micros) {
        let Scenario { balancers, unequal_traffic, with_hot_key, .. } = self.scenario;
        let mut balancer = (self.rng.draw() % u64::from(balancers)) as u32;
        if unequal_traffic && balancers >= 8 && self.rng.draw() % 12 < 5 {
            balancer -= balancer % 8;
        }
        let reads_hot_key = with_hot_key && now >= RESTART_AT && self.rng.draw().is_multiple_of(10);
        let drawn_key = format!("key-{}", self.rng.draw() % 20_000);
        let key = if reads_hot_key { &self.hot_key } else { &drawn_key };
        if !self.instances.contains_key(&balancer) {
            self.instances.insert(balancer, self.start(balancer, now >= RESTART_AT));
        }
        let instance = self.instances.get_mut(&balancer).expect("the balancer was started");
        instance.now = now;
        let (request, actions) = instance.request(READ, key);
        match attempted(&actions).first() {
            Some(&host) => {
                self.in_flight.push_back(InFlight { ends_at: now + 60 * MS, balancer, request, host });
                self.attempts.push((now, host));
            }
            None => self.unsent += u32::from(now >= RESTART_AT),
        }
    }

    /// Compares the load of the cold hosts in each window with the bound.
    fn outcome(&self) -> Outcome {
        let cold = &self.config.slow_start;
        let requests_per_s = f64::from(self.scenario.requests_per_s);
        let normal = requests_per_s * cold.overload_window as f64 / 1e6 / f64::from(HOSTS);
        let (mut max_load, mut mean_use, mut windows) = (0.0_f64, 0.0, 0.0);
        for host in (0..HOSTS).filter(|&host| self.is_restarted(host)) {
            let there = self.attempts.iter().filter(|sent| sent.1 == HostId(host) && sent.0 >= RESTART_AT);
            let times: Vec<Micros> = there.map(|sent| sent.0).collect();
            let mut from = RESTART_AT;
            while from + cold.overload_window <= RESTART_AT + OBSERVED_FOR {
                let window = from..from + cold.overload_window;
                let got = times.iter().filter(|&at| window.contains(at)).count() as f64;
                let capacity = cold.minimum_capacity(from + cold.overload_window / 2 - RESTART_AT);
                let allowed = cold.overload_multiple * capacity * normal;
                max_load = max_load.max(got / (allowed + 2.0 * allowed.sqrt() + 2.0));
                (mean_use, windows) = (mean_use + got / allowed, windows + 1.0);
                from += 100 * MS;
            }
        }
        let requests = requests_per_s * OBSERVED_FOR as f64 / 1e6;
        Outcome { max_load, mean_use: mean_use / windows, unsent: f64::from(self.unsent) / requests }
    }
}

fn simulate(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    (0..(RESTART_AT + OBSERVED_FOR) / MS).for_each(|tick| simulation.tick(tick));
    simulation.outcome()
}

/// The variants of a scenario: with a hot key, with all hosts restarted, with balancers restarted.
const VARIANTS: [(bool, bool, bool); 6] = [
    (false, false, false),
    (true, false, false),
    (false, true, false),
    (true, true, false),
    (false, false, true),
    (true, true, true),
];

/// A table with a line for each number of balancers; asserts that each load is below the bound.
fn table(requests_per_s: u32, balancers: &[u32], unequal_traffic: bool) -> String {
    let lines = thread::scope(|scope| {
        let line = |&balancers: &u32| {
            scope.spawn(move || {
                let outcome_of = |&(with_hot_key, restart_all, restart_balancers): &(bool, bool, bool)| {
                    let outcome = simulate(Scenario {
                        balancers,
                        requests_per_s,
                        unequal_traffic,
                        with_hot_key,
                        restart_all,
                        restart_balancers,
                    });
                    assert!(
                        outcome.max_load < 0.85,
                        "{balancers}, {requests_per_s}, {unequal_traffic}, {with_hot_key}, {restart_all}, {restart_balancers}: {}",
                        outcome.max_load
                    );
                    outcome
                };
                let all: Vec<Outcome> = VARIANTS.iter().map(outcome_of).collect();
                let max_load: Vec<String> = all.iter().map(|one| format!("{:.2}", one.max_load)).collect();
                let means = format!("{:.2}  {:.2}", all[0].mean_use, all[2].mean_use);
                let unsent = format!("{:.2}  {:.2}", all[0].unsent, all[2].unsent);
                format!("{balancers:<9}  {}   {means}  {unsent}\n", max_load.join("  "))
            })
        };
        let lines: Vec<_> = balancers.iter().map(line).collect();
        lines
            .into_iter()
            .map(|line| line.join().expect("the simulation thread does not panic"))
            .collect::<String>()
    });
    let how = if unequal_traffic { "unequal" } else { "equal" };
    let title = format!("{requests_per_s} requests/s, {how} traffic");
    let columns = "balancers  some  hot   all   hot   fresh both   mean  all   none  all";
    format!("{title}\n{columns}\n{lines}")
}

/// Loads are fractions of the bound in the operators' requirements. Columns: the highest load with
/// one host in four restarted, without and with a hot key; with all hosts restarted, without and
/// with a hot key; with all balancers restarted as well, for some hosts and for all with a hot key.
/// Then the mean use of what the settings allow and the fraction of unsent requests, each for some
/// hosts and for all.
#[test]
fn slow_start_load_of_all_balancers_stays_below_bound_of_host() {
    let equal = table(40, &[1, 2, 20, 30, 300, 14_000], false);
    let unequal_traffic = table(40, &[20, 30, 300, 14_000], true);
    let busy = table(300, &[30, 300, 14_000], false);

    expect![[r#"
        40 requests/s, equal traffic
        balancers  some  hot   all   hot   fresh both   mean  all   none  all
        1          0.43  0.52  0.68  0.67  0.37  0.36   0.38  0.51  0.00  0.08
        2          0.48  0.52  0.60  0.55  0.46  0.33   0.46  0.47  0.00  0.13
        20         0.37  0.67  0.67  0.68  0.29  0.66   0.37  0.50  0.00  0.12
        30         0.34  0.42  0.63  0.67  0.30  0.72   0.28  0.51  0.00  0.10
        300        0.28  0.38  0.67  0.78  0.23  0.71   0.18  0.51  0.00  0.12
        14000      0.03  0.03  0.49  0.62  0.03  0.67   0.00  0.27  0.00  0.54
        40 requests/s, unequal traffic
        balancers  some  hot   all   hot   fresh both   mean  all   none  all
        20         0.35  0.44  0.58  0.61  0.35  0.62   0.31  0.45  0.00  0.21
        30         0.37  0.42  0.64  0.56  0.34  0.62   0.31  0.48  0.00  0.18
        300        0.28  0.39  0.67  0.68  0.28  0.62   0.21  0.53  0.00  0.14
        14000      0.03  0.06  0.46  0.54  0.00  0.54   0.01  0.28  0.00  0.52
        300 requests/s, equal traffic
        balancers  some  hot   all   hot   fresh both   mean  all   none  all
        30         0.39  0.46  0.53  0.50  0.36  0.33   0.35  0.39  0.00  0.29
        300        0.27  0.48  0.65  0.74  0.25  0.71   0.23  0.50  0.00  0.15
        14000      0.06  0.13  0.50  0.79  0.04  0.80   0.04  0.33  0.00  0.43
    "#]]
    .assert_eq(&(equal + &unequal_traffic + &busy));
}

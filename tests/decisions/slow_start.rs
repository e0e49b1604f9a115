//! The load on hosts that are warming up: it grows, and all balancers together overload no host.

use std::collections::VecDeque;

use basaltwood::types::*;
use expect_test::expect;

use crate::common::*;

#[test]
fn slow_start_host_gets_growing_share_within_budget() {
    let mut hosts: Vec<_> = (0..4).map(endpoint).collect();
    let mut balancer = TestBalancer::new(&policy_config(), hosts.clone());
    let warm = homes(&mut balancer, 100).iter().filter(|&&home| home == HostId(3)).count();
    hosts[3].started_at = Some(balancer.now);
    balancer.handle(PolicyEvent::Endpoints { complete: true, endpoints: hosts });
    let mut line = format!("warm {warm}");
    for _ in 0..3 {
        balancer.handle(PolicyEvent::TimerFired(Timer::Sweep));
        let cold = homes(&mut balancer, 100).iter().filter(|&&home| home == HostId(3)).count();
        line += &format!(", then {cold}");
    }

    expect!["warm 28, then 21, then 28, then 28"].assert_eq(&line);

    // If all hosts are cold, requests beyond their budgets are rejected, whatever their keys.
    let cold = (0..2).map(|host| Endpoint { started_at: Some(0), ..endpoint(host) }).collect();
    let mut balancer = TestBalancer::new(&policy_config(), cold);
    let sent: usize = keys(50).iter().map(|key| attempted(&balancer.request(READ, key).1).len()).sum();

    expect!["sent 4 of 50 at once"].assert_eq(&format!("sent {sent} of 50 at once"));
}

/// When the hosts are restarted.
const RESTART_AT: Micros = 8_000 * MS;

const HOSTS: u32 = 25;

/// A simulation of 1,000 requests per second over all balancers, which load 25 hosts to their
/// capacity. Six of the hosts are restarted at `RESTART_AT`.
struct Simulation {
    config: PolicyConfig,
    /// Whether a tenth of all reads goes to a single key of a cold host from the restart on.
    with_hot_key: bool,
    /// Whether a successor process takes over from the first balancer while the hosts warm up.
    takeover: bool,
    hot_key: String,
    instances: Vec<TestBalancer>,
    rng: SeededRng,
    in_flight: VecDeque<InFlight>,
    /// The send time and the host of each attempt.
    attempts: Vec<(Micros, HostId)>,
    /// The fraction of the requests that were not sent.
    unsent: f64,
}

struct InFlight {
    ends_at: Micros,
    balancer: usize,
    request: RequestId,
    host: HostId,
}

fn is_restarted(host: u32) -> bool {
    host.is_multiple_of(4) && host > 0
}

impl Simulation {
    fn new(cold: &SlowStart, balancers: u32, with_hot_key: bool, takeover: bool) -> Simulation {
        let config = PolicyConfig { balancers, slow_start: cold.clone(), ..policy_config() };
        let hosts: Vec<_> = (0..HOSTS).map(endpoint).collect();
        let start = |seed: u64| TestBalancer::new(&PolicyConfig { seed, ..config.clone() }, hosts.clone());
        let mut instances: Vec<TestBalancer> = (0..u64::from(balancers)).map(start).collect();
        let mut is_at_cold_host = |key: &String| instances[0].serve(key)[0] == HostId(4);
        let hot_key =
            keys(500).into_iter().find(&mut is_at_cold_host).expect("a key has the cold host as its home");
        instances[0] = start(900);
        Simulation {
            config,
            with_hot_key,
            takeover,
            hot_key,
            instances,
            rng: SeededRng::new(5),
            in_flight: VecDeque::new(),
            attempts: Vec::new(),
            unsent: 0.0,
        }
    }

    /// The endpoint list after the restart.
    fn endpoints() -> Vec<Endpoint> {
        let started_at = |host: u32| Some(RESTART_AT).filter(|_| is_restarted(host));
        (0..HOSTS).map(|host| Endpoint { started_at: started_at(host), ..endpoint(host) }).collect()
    }

    fn tick(&mut self, tick: i64) {
        let now = tick * MS;
        if self.takeover && now == RESTART_AT + 900 * MS {
            self.replace_first_process(now);
        }
        while self.in_flight.front().is_some_and(|next| next.ends_at <= now) {
            let InFlight { balancer, request, host, .. } =
                self.in_flight.pop_front().expect("an attempt is due");
            self.instances[balancer].now = now;
            self.instances[balancer].attempt_ended(request, 0, host, AttemptOutcome::Succeeded, 60 * MS);
        }
        let due = |nth: usize| (tick + nth as i64) % 50 == 0;
        for (_, instance) in self.instances.iter_mut().enumerate().filter(|(nth, _)| due(*nth)) {
            instance.now = now;
            if now / (50 * MS) == RESTART_AT / (50 * MS) {
                let endpoints = Simulation::endpoints();
                instance.handle(PolicyEvent::Endpoints { complete: true, endpoints });
            }
            instance.handle(PolicyEvent::TimerFired(Timer::Sweep));
        }
        self.request(now);
    }

    /// The successor gets the current endpoint list and the limits that its predecessor learned;
    /// the predecessor finishes its requests in flight.
    fn replace_first_process(&mut self, now: Micros) {
        let config = PolicyConfig { seed: 901, ..self.config.clone() };
        let mut new = TestBalancer::new(&config, Simulation::endpoints());
        new.now = now;
        new.handle(PolicyEvent::LimitsLearned(self.instances[0].learned_limits()));
        let old = std::mem::replace(&mut self.instances[0], new);
        self.instances.push(old);
        let last = self.instances.len() - 1;
        let of_old = self.in_flight.iter_mut().filter(|attempt| attempt.balancer == 0);
        of_old.for_each(|attempt| attempt.balancer = last);
    }

    fn request(&mut self, now: Micros) {
        let balancer = (self.rng.draw() % u64::from(self.config.balancers)) as usize;
        let drawn_key = format!("key-{}", self.rng.draw() % 20_000);
        let reads_hot_key = self.with_hot_key && now >= RESTART_AT && self.rng.draw().is_multiple_of(10);
        let key = if reads_hot_key { &self.hot_key } else { &drawn_key };
        self.instances[balancer].now = now;
        let (request, actions) = self.instances[balancer].request(READ, key);
        match attempted(&actions).first() {
            Some(&host) => {
                self.in_flight.push_back(InFlight { ends_at: now + 60 * MS, balancer, request, host });
                self.attempts.push((now, host));
            }
            None if now >= RESTART_AT => self.unsent += 1.0 / 6_000.0,
            None => {}
        }
    }

    /// The load of a host in a window, as a fraction of the load that overloads it. The capacity is
    /// the minimum in the middle of the window.
    fn load_in(&self, host: u32, from: Micros) -> f64 {
        let cold = &self.config.slow_start;
        let window = from..from + cold.overload_window;
        let full_load = (cold.overload_window / MS) as f64 / f64::from(HOSTS);
        let there = |sent: &&(Micros, HostId)| sent.1 == HostId(host) && window.contains(&sent.0);
        let got = self.attempts.iter().filter(there).count() as f64;
        let capacity = cold.minimum_capacity(from + cold.overload_window / 2 - RESTART_AT);
        got / (cold.overload_multiple * capacity * full_load)
    }
}

/// The load of the cold hosts in their worst windows, as fractions of what overloads them: the
/// maximum and the mean; and the fraction of unsent requests.
fn simulate(cold: &SlowStart, balancers: u32, with_hot_key: bool, takeover: bool) -> (f64, f64, f64) {
    let mut simulation = Simulation::new(cold, balancers, with_hot_key, takeover);
    (0..14_000).for_each(|tick| simulation.tick(tick));
    let worst = |host: u32| {
        let windows = (0..6).map(|nth| simulation.load_in(host, RESTART_AT + nth * 500 * MS));
        windows.fold(0.0, f64::max)
    };
    let worst: Vec<f64> = (0..HOSTS).filter(|&host| is_restarted(host)).map(worst).collect();
    let max_load = worst.iter().copied().fold(0.0, f64::max);
    (max_load, worst.iter().sum::<f64>() / worst.len() as f64, simulation.unsent)
}

/// A table with the outcomes for each number of balancers; asserts that each load is below `bound`.
fn table(cold: &SlowStart, balancers: &[u32], takeover: bool, bound: f64) -> String {
    let mut table = "balancers  hot key  most of what overloads    mean  requests given up\n".to_owned();
    for &balancers in balancers {
        for with_hot_key in [false, true] {
            let (max_load, mean, unsent) = simulate(cold, balancers, with_hot_key, takeover);
            assert!(max_load < bound, "{balancers} balancers, hot key {with_hot_key}: {max_load}");
            table +=
                &format!("{balancers:<9}  {with_hot_key:<7}  {max_load:<24.2}  {mean:.2}  {unsent:.3}\n");
        }
    }
    table
}

#[test]
fn slow_start_process_takeover_overloads_no_host() {
    let table = table(&policy_config().slow_start, &[1, 2, 20], true, 1.0);

    expect![[r#"
        balancers  hot key  most of what overloads    mean  requests given up
        1          false    0.47                      0.44  0.000
        1          true     0.51                      0.38  0.000
        2          false    0.52                      0.45  0.000
        2          true     0.66                      0.43  0.000
        20         false    0.54                      0.43  0.000
        20         true     0.65                      0.43  0.000
    "#]]
    .assert_eq(&table);
}

#[test]
fn slow_start_all_balancers_together_overload_no_host() {
    let table = table(&policy_config().slow_start, &[1, 2, 20, 100, 900], false, 0.9);

    expect![[r#"
        balancers  hot key  most of what overloads    mean  requests given up
        1          false    0.56                      0.47  0.000
        1          true     0.72                      0.46  0.000
        2          false    0.57                      0.48  0.000
        2          true     0.77                      0.47  0.000
        20         false    0.56                      0.44  0.000
        20         true     0.67                      0.43  0.000
        100        false    0.48                      0.42  0.000
        100        true     0.80                      0.46  0.000
        900        false    0.28                      0.24  0.000
        900        true     0.69                      0.30  0.000
    "#]]
    .assert_eq(&table);
}

/// The slow-start settings are those of the two deployments that adopt the balancer.
#[test]
fn slow_start_quick_and_slow_warm_up_keep_the_bound() {
    let cold = |from, warm_up_time| SlowStart {
        initial_capacity: from,
        warm_up_time,
        overload_multiple: 3.0,
        overload_window: 1_000 * MS,
    };
    let slow = table(&cold(0.12, 24_000 * MS), &[13, 117], false, 1.1);
    let quick = table(&cold(0.3, 8_900 * MS), &[62, 420], false, 1.1);

    expect![[r#"
        balancers  hot key  most of what overloads    mean  requests given up
        13         false    0.90                      0.61  0.000
        13         true     0.81                      0.53  0.000
        117        false    0.52                      0.37  0.000
        117        true     0.79                      0.45  0.000
        balancers  hot key  most of what overloads    mean  requests given up
        62         false    0.64                      0.47  0.000
        62         true     0.97                      0.53  0.000
        420        false    0.44                      0.34  0.000
        420        true     0.86                      0.34  0.000
    "#]]
    .assert_eq(&(slow + &quick));
}

#[test]
fn slow_start_host_gets_no_overflow() {
    let mut hosts: Vec<_> = (0..4).map(endpoint).collect();
    hosts[2].started_at = Some(0);
    let mut balancer = TestBalancer::new(&policy_config(), hosts);
    balancer.advance(300 * MS);
    let requests: Vec<_> = (0..60).map(|key| balancer.request(READ, &format!("k{key}"))).collect();
    let mut counts = [0; 2];
    for (request, actions) in requests {
        let Some(&host) = attempted(&actions).first() else { continue };
        counts[0] += usize::from(host == HostId(2));
        let retries = balancer.attempt_ended(request, 0, host, AttemptOutcome::Rejected, 5 * MS);
        counts[1] += attempted(&retries).iter().filter(|&&host| host == HostId(2)).count();
    }

    expect!["to the cold host at first 1, as overflow 0"]
        .assert_eq(&format!("to the cold host at first {}, as overflow {}", counts[0], counts[1]));
}

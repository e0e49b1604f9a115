//! Cold hosts under the sum of what all balancers send: what a host was given in a window against
//! what it bears by the operators' page, N + 2 x root of N + 2, N being what the settings allow it
//! then.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::thread;

use basaltwood::types::*;
use common::*;
use expect_test::expect;

const HOSTS: u32 = 12;
/// When hosts are started anew, and for how long it is looked at what they get.
const AT: Micros = 6_000 * MS;
const FOR: Micros = 9_000 * MS;

/// So many requests a second over all balancers, and all hosts together bear just as many when they
/// are warm.
#[derive(Clone, Copy)]
struct Play {
    balancers: u32,
    requests_per_s: u32,
    /// One balancer of eight has five times the traffic of each other.
    unequal: bool,
    /// A tenth of all reads turns to one key of a cold host in the instant of the start.
    hot: bool,
    /// All hosts are started anew, and not one in four.
    all: bool,
    /// All balancers are started anew in that instant too.
    fresh: bool,
}

struct Outcome {
    /// The most that a cold host got in a window, over what it bears then.
    most: f64,
    /// What cold hosts got of what they may get by the settings, over all windows.
    mean: f64,
    /// The part of the requests that went nowhere.
    nowhere: f64,
}

/// A play under way: its balancers, what is in flight, and what the hosts got.
struct Simulation {
    play: Play,
    config: PolicyConfig,
    /// One that has had no request yet is as it was at its start: it is made with its first.
    instances: BTreeMap<u32, TestBalancer>,
    hot_key: String,
    rng: SeededRng,
    in_flight: VecDeque<InFlight>,
    /// When and where each attempt was sent.
    attempts: Vec<(Micros, HostId)>,
    nowhere: u32,
    next_request_at: Micros,
}

struct InFlight {
    ends_at: Micros,
    balancer: u32,
    request: RequestId,
    host: HostId,
}

impl Simulation {
    fn new(play: Play) -> Simulation {
        let mut simulation = Simulation {
            play,
            config: PolicyConfig { balancers: play.balancers, ..policy_config() },
            instances: BTreeMap::new(),
            hot_key: String::new(),
            rng: SeededRng::new(11),
            in_flight: VecDeque::new(),
            attempts: Vec::new(),
            nowhere: 0,
            next_request_at: 0,
        };
        let is_at_cold_host = |key: &String| simulation.start(0, false).serve(key)[0] == HostId(4);
        let hot_key = keys(500).into_iter().find(is_at_cold_host);
        simulation.hot_key = hot_key.expect("a key has the cold host as its home");
        simulation
    }

    fn is_started_anew(&self, host: u32) -> bool {
        self.play.all || host.is_multiple_of(4)
    }

    /// The endpoint list before or after the start.
    fn list(&self, cold: bool) -> Vec<Endpoint> {
        let started_at = |host: u32| Some(AT).filter(|_| cold && self.is_started_anew(host));
        (0..HOSTS).map(|host| Endpoint { started_at: started_at(host), ..endpoint(host) }).collect()
    }

    fn start(&self, balancer: u32, cold: bool) -> TestBalancer {
        let config = PolicyConfig { seed: u64::from(balancer) + 1, ..self.config.clone() };
        TestBalancer::new(&config, self.list(cold))
    }

    fn tick(&mut self, tick: i64) {
        let now = tick * MS;
        if now == AT {
            self.start_hosts_anew(now);
        }
        self.end_attempts(now);
        // Of thousands each is swept seldomer, as often as it evaluates.
        let sweep = if self.play.balancers > 1_000 { 250 } else { 50 };
        for (_, instance) in
            self.instances.iter_mut().filter(|instance| (tick + i64::from(*instance.0)) % sweep == 0)
        {
            instance.now = now;
            instance.handle(PolicyEvent::TimerFired(Timer::Sweep));
        }
        let mean_gap = 1_000_000 / Micros::from(self.play.requests_per_s);
        while self.next_request_at <= now {
            // As they come by chance: the gaps are drawn, with this mean.
            let drawn = self.rng.fraction();
            self.next_request_at += ((1.0 - drawn).ln() * -(mean_gap as f64)) as Micros;
            self.request(now);
        }
    }

    fn start_hosts_anew(&mut self, now: Micros) {
        if self.play.fresh {
            self.instances.clear();
            self.in_flight.clear();
        }
        let endpoints = self.list(true);
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
        let Play { balancers, unequal, hot, .. } = self.play;
        let mut balancer = (self.rng.draw() % u64::from(balancers)) as u32;
        if unequal && balancers >= 8 && self.rng.draw() % 12 < 5 {
            balancer -= balancer % 8;
        }
        let reads_hot_key = hot && now >= AT && self.rng.draw().is_multiple_of(10);
        let drawn_key = format!("key-{}", self.rng.draw() % 20_000);
        let key = if reads_hot_key { &self.hot_key } else { &drawn_key };
        if !self.instances.contains_key(&balancer) {
            self.instances.insert(balancer, self.start(balancer, now >= AT));
        }
        let instance = self.instances.get_mut(&balancer).expect("the balancer was started");
        instance.now = now;
        let (request, actions) = instance.request(READ, key);
        match attempted(&actions).first() {
            Some(&host) => {
                self.in_flight.push_back(InFlight { ends_at: now + 60 * MS, balancer, request, host });
                self.attempts.push((now, host));
            }
            None => self.nowhere += u32::from(now >= AT),
        }
    }

    /// What the cold hosts got in each window, against what they bear.
    fn outcome(&self) -> Outcome {
        let cold = &self.config.slow_start;
        let requests_per_s = f64::from(self.play.requests_per_s);
        let normal = requests_per_s * cold.overload_window as f64 / 1e6 / f64::from(HOSTS);
        let (mut most, mut mean, mut windows) = (0.0_f64, 0.0, 0.0);
        for host in (0..HOSTS).filter(|&host| self.is_started_anew(host)) {
            let there = self.attempts.iter().filter(|sent| sent.1 == HostId(host) && sent.0 >= AT);
            let times: Vec<Micros> = there.map(|sent| sent.0).collect();
            let mut from = AT;
            while from + cold.overload_window <= AT + FOR {
                let window = from..from + cold.overload_window;
                let got = times.iter().filter(|&at| window.contains(at)).count() as f64;
                let capacity = cold.minimum_capacity(from + cold.overload_window / 2 - AT);
                let allowed = cold.overload_multiple * capacity * normal;
                most = most.max(got / (allowed + 2.0 * allowed.sqrt() + 2.0));
                (mean, windows) = (mean + got / allowed, windows + 1.0);
                from += 100 * MS;
            }
        }
        let came = requests_per_s * FOR as f64 / 1e6;
        Outcome { most, mean: mean / windows, nowhere: f64::from(self.nowhere) / came }
    }
}

fn played(play: Play) -> Outcome {
    let mut simulation = Simulation::new(play);
    (0..(AT + FOR) / MS).for_each(|tick| simulation.tick(tick));
    simulation.outcome()
}

/// Whether there is a hot key, whether all hosts are started anew, and all balancers too.
const KINDS: [(bool, bool, bool); 6] = [
    (false, false, false),
    (true, false, false),
    (false, true, false),
    (true, true, false),
    (false, false, true),
    (true, true, true),
];

/// A line for each number of balancers, each outcome under what a host bears.
fn table(requests_per_s: u32, balancers: &[u32], unequal: bool) -> String {
    let lines = thread::scope(|scope| {
        let line = |&balancers: &u32| {
            scope.spawn(move || {
                let of = |&(hot, all, fresh): &(bool, bool, bool)| {
                    let outcome = played(Play { balancers, requests_per_s, unequal, hot, all, fresh });
                    assert!(
                        outcome.most < 0.85,
                        "{balancers}, {requests_per_s}, {unequal}, {hot}, {all}, {fresh}: {}",
                        outcome.most
                    );
                    outcome
                };
                let all: Vec<Outcome> = KINDS.iter().map(of).collect();
                let most: Vec<String> = all.iter().map(|one| format!("{:.2}", one.most)).collect();
                let means = format!("{:.2}  {:.2}", all[0].mean, all[2].mean);
                let nowhere = format!("{:.2}  {:.2}", all[0].nowhere, all[2].nowhere);
                format!("{balancers:<9}  {}   {means}  {nowhere}\n", most.join("  "))
            })
        };
        let lines: Vec<_> = balancers.iter().map(line).collect();
        lines
            .into_iter()
            .map(|line| line.join().expect("the simulation thread does not panic"))
            .collect::<String>()
    });
    let how = if unequal { "unequal" } else { "equal" };
    let title = format!("{requests_per_s} requests/s, {how} traffic");
    let columns = "balancers  some  hot   all   hot   fresh both   mean  all   none  all";
    format!("{title}\n{columns}\n{lines}")
}

/// The bound of the operators' page is 1. Columns: the most where one host in four is started anew,
/// with a hot key, where all are, with a hot key, and where all balancers are started with them;
/// the mean of what the settings allow, and the part of the requests that went nowhere, each for
/// some and for all.
#[test]
fn slow_start_sum_of_all_balancers_stays_under_what_a_host_bears() {
    let equal = table(40, &[1, 2, 20, 30, 300, 14_000], false);
    let unequal = table(40, &[20, 30, 300, 14_000], true);
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
    .assert_eq(&(equal + &unequal + &busy));
}

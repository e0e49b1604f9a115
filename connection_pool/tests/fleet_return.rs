//! How fast a fleet of balancers opens connections when many hosts return in one instant.

use basaltwood::types::{HostId, Micros};
use basaltwood_connection_pool::{Checkout, ConnectFailure, ConnectionPools, PoolConfig};
use expect_test::expect;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const HOSTS: u32 = 40;
/// Connections that each balancer wants to each host.
const WANTED: usize = 8;
/// When all hosts return; until then no connection comes up.
const RETURN_AT: Micros = 2 * SECOND;
const PLAYED_FOR: Micros = 60 * SECOND;
const STEP: Micros = 20 * MS;
const TICK: Micros = 100 * MS;

/// One balancer that wants all its connections at once.
struct Balancer {
    pools: ConnectionPools,
    /// Connections that are up, by host.
    up: Vec<usize>,
}

impl Balancer {
    fn new(seed: u64, balancers: u32) -> Balancer {
        let config = PoolConfig { seed, balancers, idle_timeout: 15 * SECOND, max_connections: 1_000 };
        Balancer { pools: ConnectionPools::new(config), up: vec![0; HOSTS as usize] }
    }

    /// Opens what the pools allow now; how many connections came up.
    fn step(&mut self, now: Micros) -> u64 {
        if now % TICK == 0 {
            self.pools.tick(now);
            self.pools.take_actions();
        }
        (0..HOSTS).map(|host| self.open_to(now, host)).sum()
    }

    fn open_to(&mut self, now: Micros, host: u32) -> u64 {
        let mut opened = 0;
        while self.up[host as usize] < WANTED {
            let Checkout::Open(connection) = self.pools.checkout(now, HostId(host)) else { break };
            if now < RETURN_AT {
                self.pools.connect_failed(now, connection, ConnectFailure::Host);
                continue;
            }
            self.pools.connected(connection);
            self.pools.request_sent(now, connection);
            self.up[host as usize] += 1;
            opened += 1;
        }
        opened
    }

    fn has_all(&self) -> bool {
        self.up.iter().all(|&up| up == WANTED)
    }
}

/// What the whole fleet opened.
struct FleetReturn {
    max_per_second: u64,
    max_per_tenth: u64,
    balancers_with_all: u64,
}

fn play(balancers: u32) -> FleetReturn {
    // Balancers are alike but for their seed: a part of them stands for all.
    let played = balancers.min(4);
    let mut opened_by_tenth = vec![0_u64; (PLAYED_FOR / TICK) as usize];
    let mut with_all = 0;
    for seed in 0..u64::from(played) {
        let mut balancer = Balancer::new(seed, balancers);
        for step in 0..PLAYED_FOR / STEP {
            let now = step * STEP;
            opened_by_tenth[(now / TICK) as usize] += balancer.step(now);
        }
        with_all += u64::from(balancer.has_all());
    }
    let scale = u64::from(balancers / played);
    let seconds = opened_by_tenth.windows(10).map(|window| window.iter().sum::<u64>());
    FleetReturn {
        max_per_second: seconds.max().unwrap_or(0) * scale,
        max_per_tenth: opened_by_tenth.iter().max().copied().unwrap_or(0) * scale,
        balancers_with_all: with_all * scale,
    }
}

#[test]
fn fleet_that_returns_at_once_meets_no_connection_stampede() {
    let mut trace = String::new();
    for balancers in [2, 20, 200] {
        let FleetReturn { max_per_second, max_per_tenth, balancers_with_all } = play(balancers);
        let wanted = u64::from(balancers) * u64::from(HOSTS) * WANTED as u64;
        trace += &format!(
            "{balancers} balancers: {wanted} connections wanted, at most {max_per_second} opened in a \
             second and {max_per_tenth} in a tenth of one;\n  \
             {balancers_with_all} have all of theirs after a minute\n"
        );
    }
    expect![[r#"
        2 balancers: 640 connections wanted, at most 632 opened in a second and 120 in a tenth of one;
          2 have all of theirs after a minute
        20 balancers: 6400 connections wanted, at most 5915 opened in a second and 870 in a tenth of one;
          20 have all of theirs after a minute
        200 balancers: 64000 connections wanted, at most 6400 opened in a second and 800 in a tenth of one;
          200 have all of theirs after a minute
    "#]]
    .assert_eq(&trace);
}

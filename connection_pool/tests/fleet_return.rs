//! How fast a fleet of balancers opens connections when many hosts return at the same moment.

use basaltwood::types::{HostId, Micros};
use basaltwood_connection_pool::{
    Checkout, ConnectFailure, ConnectionPools, PoolConfig, REST_AFTER_RESPONSE,
};
use expect_test::expect;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const HOSTS: u32 = 40;
/// Number of connections that each balancer wants to each host.
const CONNECTIONS_PER_HOST: usize = 8;
/// When all hosts return; until then every connect fails.
const RETURN_AT: Micros = 2 * SECOND;
const SIMULATED_TIME: Micros = 60 * SECOND;
const STEP: Micros = 20 * MS;
const TICK: Micros = 100 * MS;

/// One balancer that wants all its connections at once.
struct Balancer {
    pools: ConnectionPools,
    /// Number of established connections, by host.
    established: Vec<usize>,
}

impl Balancer {
    fn new(seed: u64, balancers: u32) -> Balancer {
        let config = PoolConfig {
            seed,
            balancers,
            idle_timeout: 15 * SECOND,
            rest_after_response: REST_AFTER_RESPONSE,
            max_connections: 1_000,
        };
        Balancer { pools: ConnectionPools::new(config), established: vec![0; HOSTS as usize] }
    }

    /// Opens all connections that the pools allow now; returns how many were established.
    fn step(&mut self, now: Micros) -> u64 {
        if now % TICK == 0 {
            self.pools.tick(now);
            self.pools.take_actions();
        }
        (0..HOSTS).map(|host| self.open_to(now, host)).sum()
    }

    fn open_to(&mut self, now: Micros, host: u32) -> u64 {
        let mut opened = 0;
        while self.established[host as usize] < CONNECTIONS_PER_HOST {
            let Checkout::Open(connection) = self.pools.checkout(now, HostId(host)) else { break };
            if now < RETURN_AT {
                self.pools.connect_failed(now, connection, ConnectFailure::Host);
                continue;
            }
            self.pools.connected(connection);
            self.pools.request_sent(now, connection);
            self.established[host as usize] += 1;
            opened += 1;
        }
        opened
    }

    fn is_fully_connected(&self) -> bool {
        self.established.iter().all(|&established| established == CONNECTIONS_PER_HOST)
    }
}

/// Connections opened by the whole fleet.
struct FleetReturn {
    max_per_second: u64,
    max_per_100_ms: u64,
    balancers_fully_connected: u64,
}

fn simulate(balancers: u32) -> FleetReturn {
    // Balancers differ only in their seed: a few are simulated, and their counts are scaled up.
    let simulated = balancers.min(4);
    let mut opened_by_100_ms = vec![0_u64; (SIMULATED_TIME / TICK) as usize];
    let mut fully_connected = 0;
    for seed in 0..u64::from(simulated) {
        let mut balancer = Balancer::new(seed, balancers);
        for step in 0..SIMULATED_TIME / STEP {
            let now = step * STEP;
            opened_by_100_ms[(now / TICK) as usize] += balancer.step(now);
        }
        fully_connected += u64::from(balancer.is_fully_connected());
    }
    let scale = u64::from(balancers / simulated);
    let seconds = opened_by_100_ms.windows(10).map(|window| window.iter().sum::<u64>());
    FleetReturn {
        max_per_second: seconds.max().unwrap_or(0) * scale,
        max_per_100_ms: opened_by_100_ms.iter().max().copied().unwrap_or(0) * scale,
        balancers_fully_connected: fully_connected * scale,
    }
}

#[test]
fn hosts_that_return_at_once_get_connects_at_a_bounded_rate() {
    let mut trace = String::new();
    for balancers in [2, 20, 200] {
        let FleetReturn { max_per_second, max_per_100_ms, balancers_fully_connected } = simulate(balancers);
        let wanted = u64::from(balancers) * u64::from(HOSTS) * CONNECTIONS_PER_HOST as u64;
        trace += &format!(
            "{balancers} balancers: {wanted} connections wanted, at most {max_per_second} opened in a \
             second and {max_per_100_ms} in a tenth of one;\n  \
             {balancers_fully_connected} have all of theirs after a minute\n"
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

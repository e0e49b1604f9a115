//! The hosts of a key: its home on the ring, and the holders of hot keys.

use basaltwood::types::*;
use expect_test::expect;

use crate::common::*;

#[test]
fn only_the_keys_of_a_host_move_when_it_leaves_or_returns() {
    let mut balancer = balancer(6);
    let before = homes(&mut balancer, 120);
    let gone = Endpoint { lifecycle: Lifecycle::Draining, ..endpoint(2) };
    balancer.handle(PolicyEvent::Endpoints { complete: false, endpoints: vec![gone] });
    let without = homes(&mut balancer, 120);
    balancer.handle(PolicyEvent::Endpoints { complete: false, endpoints: vec![endpoint(2)] });
    let after = homes(&mut balancer, 120);
    let own = before.iter().filter(|&&home| home == HostId(2)).count();
    let moved = before.iter().zip(&without).filter(|(a, b)| a != b).count();

    expect!["its keys 22, moved 22, sent to it 0, back as before true"].assert_eq(&format!(
        "its keys {own}, moved {moved}, sent to it {}, back as before {}",
        without.iter().filter(|&&home| home == HostId(2)).count(),
        before == after
    ));
}

#[test]
fn ring_host_of_double_weight_gets_more_keys() {
    let mut hosts: Vec<_> = (0..4).map(endpoint).collect();
    hosts[1].weight = 2.0;
    let homes = homes(&mut TestBalancer::new(&policy_config(), hosts), 400);
    let counts: Vec<_> =
        (0..4).map(|host| homes.iter().filter(|&&home| home == HostId(host)).count()).collect();

    expect!["[79, 172, 84, 65]"].assert_eq(&format!("{counts:?}"));
}

#[test]
fn hot_key_read_repeatedly_is_spread_over_three_holders() {
    let mut busy = balancer(9);
    let spread = |balancer: &mut TestBalancer, rounds: u32, hot: u32| {
        let mut hosts: Vec<HostId> = Vec::new();
        for round in 0..rounds {
            // The requests overlap, so that the least busy holder changes.
            let requests: Vec<_> = (0..hot).map(|_| balancer.request(READ, "hot")).collect();
            balancer.now += 50 * MS;
            for (request, actions) in requests {
                let host = attempted(&actions)[0];
                hosts.push(host);
                balancer.attempt_ended(request, 0, host, AttemptOutcome::Succeeded, 50 * MS);
            }
            for key in 0..10 {
                balancer.serve(&format!("cold-{}", round * 10 + key));
                balancer.handle(PolicyEvent::TimerFired(Timer::Sweep));
            }
        }
        hosts.sort_unstable();
        hosts.dedup();
        hosts.len()
    };
    let at_first = spread(&mut busy, 1, 4);
    let later = spread(&mut busy, 8, 4);
    let twice = spread(&mut balancer(9), 1, 2);
    let quiet = spread(&mut balancer(9), 8, 1);

    expect!["at first 1, later 3, at a quiet balancer after two reads 1, after eight 3"].assert_eq(&format!(
        "at first {at_first}, later {later}, at a quiet balancer after two reads {twice}, after eight {quiet}"
    ));
}

#[test]
fn hot_key_in_large_fleet_gets_more_than_three_holders() {
    let mut line = String::new();
    for hosts in [10, 100] {
        let mut balancer = one_of_many(2, hosts);
        for round in 0..200 {
            balancer.serve("hot");
            for key in 0..3 {
                balancer.serve(&format!("cold-{}", 3 * round + key));
            }
            balancer.handle(PolicyEvent::TimerFired(Timer::Sweep));
        }
        let mut read: Vec<_> = (0..300).flat_map(|_| balancer.serve("hot")).collect();
        read.sort_unstable();
        read.dedup();
        line += &format!("{hosts} hosts: {} holders; ", read.len());
    }

    expect!["10 hosts: 10 holders; 100 hosts: 81 holders; "].assert_eq(&line);
}

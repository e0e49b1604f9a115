//! The limits of hosts, of the fleet and of tenants, and the rejections that they cause.

use basaltwood::types::*;
use expect_test::expect;

use crate::common::*;

/// The effect on a home of 40 pairs of requests that time out after `wait`, with a served request
/// after each pair. With `on_new_connection`, each attempt is the first one on its connection.
fn effect_of_timeouts(wait: Micros, on_new_connection: bool) -> String {
    let mut balancer = balancer(4);
    let home = HostId(2);
    let own: Vec<String> = keys(400).into_iter().filter(|key| balancer.serve(key)[0] == home).collect();
    balancer.advance(2_000 * MS);
    let (mut elsewhere, mut rejected) = (0, 0);
    for round in 0..40 {
        let requests: Vec<(RequestId, Vec<PolicyAction>)> =
            own.iter().cycle().skip(round * 2).take(2).map(|key| balancer.request(READ, key)).collect();
        elsewhere += requests
            .iter()
            .filter(|(_, actions)| attempted(actions).iter().any(|host| *host != home))
            .count();
        rejected += requests.iter().filter(|(_, actions)| attempted(actions).is_empty()).count();
        let (sent, attempt) = (balancer.now, AttemptNumber(0));
        for &(request, _) in requests.iter().filter(|_| on_new_connection) {
            balancer.handle(PolicyEvent::NewConnection { request, attempt, host: home });
        }
        elsewhere += attempted(&balancer.advance(wait)).len();
        let elapsed = balancer.now - sent;
        for (request, actions) in requests {
            let ended = PolicyEvent::AttemptEnded {
                request,
                attempt,
                host: home,
                elapsed,
                outcome: AttemptOutcome::TimedOut,
                finished: true,
            };
            if attempted(&actions) == [home] {
                balancer.handle(ended);
            }
        }
        balancer.serve(&own[round % own.len()]);
    }
    let limit = balancer
        .learned_limits()
        .into_iter()
        .find(|learned_limits| learned_limits.position == endpoint(home.0).position);
    format!(
        "elsewhere {elsewhere}, rejected {rejected}, limit {:.1}",
        limit.expect("the home host is up").limit
    )
}

#[test]
fn concurrency_limit_is_not_decreased_by_attempts_cut_short() {
    let mut lines = String::new();
    for (what, wait, on_new_connection) in [
        ("clients that give up after 40 ms", 40 * MS, false),
        ("first attempts that wait 300 ms", 300 * MS, true),
        ("attempts that wait 300 ms", 300 * MS, false),
    ] {
        lines += &format!("{what}: {}\n", effect_of_timeouts(wait, on_new_connection));
    }

    expect![[r#"
        clients that give up after 40 ms: elsewhere 0, rejected 0, limit 6.5
        first attempts that wait 300 ms: elsewhere 3, rejected 0, limit 23.5
        attempts that wait 300 ms: elsewhere 10, rejected 57, limit 2.4
    "#]]
    .assert_eq(&lines);
}

#[test]
fn congestion_at_start_does_not_count_as_minimum_latency() {
    let mut balancer = balancer(1);
    let mut admitted = Vec::new();
    for round in 0..6 {
        let mut out = Vec::new();
        for nth in 0..20 {
            let (request, actions) = balancer.request(READ, &format!("{round}-{nth}"));
            out.extend(attempted(&actions).iter().map(|_| request));
        }
        balancer.advance(750 * MS);
        for &request in &out {
            balancer.attempt_ended(request, 0, HostId(0), AttemptOutcome::Succeeded, 750 * MS);
        }
        balancer.advance(250 * MS);
        admitted.push(out.len());
    }

    expect!["admitted of 20 by round: [5, 3, 2, 1, 1, 1]"]
        .assert_eq(&format!("admitted of 20 by round: {admitted:?}"));
}

#[test]
fn home_full_spills_to_one_host_then_rejects() {
    let mut balancer = balancer(4);
    let mut lines = String::new();
    for nth in 0..14 {
        lines += &format!("{nth}: {}\n", trace(&balancer.request(READ, "k").1));
    }

    expect![[r#"
        0: attempt h3 for 798
        1: attempt h3 for 798
        2: attempt h3 for 798
        3: attempt h3 for 798
        4: attempt h3 for 798
        5: attempt h2 for 798
        6: attempt h2 for 798
        7: attempt h2 for 798
        8: attempt h2 for 798
        9: attempt h2 for 798
        10: reject, retry after 400
        11: reject, retry after 400
        12: reject, retry after 400
        13: reject, retry after 400
    "#]]
    .assert_eq(&lines);
}

#[test]
fn tenant_over_quota_leaves_capacity_for_others() {
    let mut balancer = balancer(1);
    let mut count = |tenant, requests| -> usize {
        (0..requests)
            .map(|nth| {
                attempted(&balancer.request_of_tenant(READ, &format!("{nth}"), Some(TenantId(tenant))).1)
                    .len()
            })
            .sum()
    };
    let (flood, other) = (count(0, 30), count(1, 30));

    expect!["flood admitted 3, then others 2"]
        .assert_eq(&format!("flood admitted {flood}, then others {other}"));
}

#[test]
fn congested_fleet_or_origin_gets_little_from_many_balancers() {
    let mut lines = String::new();
    for balancers in [2, 900] {
        for write in [false, true] {
            let mut config = PolicyConfig { balancers, ..policy_config() };
            config.capabilities.cache_aside = true;
            let mut hosts: Vec<_> = (0..100).map(endpoint).collect();
            hosts.push(Endpoint { origin: true, ..endpoint(100) });
            let mut balancer = TestBalancer::new(&config, hosts);
            let mut sent = Vec::new();
            for round in 0..10 {
                let class = if write { ONCE } else { READ };
                let requests: Vec<_> =
                    (0..4).map(|nth| balancer.request(class, &format!("{round}-{nth}"))).collect();
                balancer.advance(800 * MS);
                let out = requests.iter().flat_map(|(request, actions)| {
                    attempted(actions).into_iter().map(|host| (*request, host))
                });
                let out: Vec<_> = out.collect();
                for &(request, host) in &out {
                    balancer.attempt_ended(request, 0, host, AttemptOutcome::TimedOut, 798 * MS);
                }
                sent.push(out.len());
            }
            lines +=
                &format!("{balancers} balancers, {}: {sent:?}\n", if write { "origin" } else { "fleet" });
        }
    }

    expect![[r#"
        2 balancers, fleet: [4, 4, 4, 4, 4, 4, 4, 4, 4, 4]
        2 balancers, origin: [4, 4, 4, 4, 4, 4, 4, 4, 4, 4]
        900 balancers, fleet: [4, 4, 4, 3, 1, 1, 1, 1, 1, 1]
        900 balancers, origin: [4, 4, 4, 0, 0, 1, 0, 0, 1, 0]
    "#]]
    .assert_eq(&lines);
}

/// One of many balancers whose share of the fleet's limit is about four attempts in flight, while
/// its requests need two on average. Reports the mean number in flight, and the rejections per
/// thousand requests.
fn at_mean_load(balancers: u32) -> String {
    let mut balancer = one_of_many(balancers, (balancers * 3 / 10).max(1));
    let mut rng = SeededRng::new(3);
    let mut out: Vec<(Micros, RequestId, HostId)> = Vec::new();
    let (mut submitted, mut rejected, mut in_flight_total) = (0, 0, 0);
    for step in 0..6_000 {
        // The answers are slow, so that the limit finds its level.
        for (_, request, host) in
            out.extract_if(.., |sent| balancer.now - sent.0 >= 300 * MS).collect::<Vec<_>>()
        {
            balancer.attempt_ended(request, 0, host, AttemptOutcome::Succeeded, 300 * MS);
        }
        if rng.draw() % 1_000 < 65 {
            let (request, actions) = balancer.request(READ, &format!("{step}"));
            let sent = attempted(&actions);
            out.extend(sent.iter().map(|&host| (balancer.now, request, host)));
            // The first 20 s are left out, in which the limit finds its level.
            let counts = usize::from(step >= 2_000);
            (submitted, rejected) = (submitted + counts, rejected + counts * usize::from(sent.is_empty()));
        }
        in_flight_total += out.len();
        balancer.now += 10 * MS;
        if step % 5 == 0 {
            balancer.handle(PolicyEvent::TimerFired(Timer::Sweep));
        }
    }
    let (in_flight, rejected) = (in_flight_total as f64 / 6_000.0, rejected * 1_000 / submitted);
    format!("{balancers}: {in_flight:.1} out, {rejected} rejected")
}

#[test]
fn fleet_limit_bursts_of_many_balancers_even_out() {
    let lines: Vec<String> = [1, 2, 20, 100, 300, 900].into_iter().map(at_mean_load).collect();

    expect![[r#"
        1: 1.6 out, 200 rejected
        2: 1.8 out, 67 rejected
        20: 1.5 out, 249 rejected
        100: 1.6 out, 200 rejected
        300: 1.6 out, 200 rejected
        900: 1.6 out, 200 rejected"#]]
    .assert_eq(&lines.join("\n"));
}

/// If clients give up early and try again at once, every host of a large fleet would do work that
/// no client waits for.
#[test]
fn request_that_cannot_wait_for_minimum_latency_is_rejected_unsent() {
    let cache_aside = PolicyConfig {
        capabilities: Capabilities { cache_aside: true, ..policy_config().capabilities },
        ..policy_config()
    };
    let origin = Endpoint { origin: true, ..endpoint(9) };
    let mut balancer = TestBalancer::new(&cache_aside, vec![endpoint(0), endpoint(1), origin]);
    let mut lines = Vec::new();
    let ask = |balancer: &mut TestBalancer, lines: &mut Vec<String>, class, wait| {
        let (request, actions) = balancer.request_within(class, "key", None, wait * MS);
        lines.push(format!("waits {wait} ms: {}", trace(&actions)));
        attempted(&actions).first().map(|&host| (request, host))
    };
    // The minimum latency is unknown before the first answers.
    if let Some((request, host)) = ask(&mut balancer, &mut lines, READ, 30) {
        balancer.attempt_ended(request, 0, host, AttemptOutcome::Succeeded, 30 * MS);
    }
    // Hits take 100 ms, requests to the origin 60 ms.
    for round in 0..60 {
        balancer.serve(&format!("key-{round}"));
        let (request, _) = balancer.request(ONCE, "written");
        balancer.now += 60 * MS;
        balancer.attempt_ended(request, 0, HostId(9), AttemptOutcome::Succeeded, 60 * MS);
        balancer.advance(100 * MS);
    }
    for wait in [30, 90, 120] {
        ask(&mut balancer, &mut lines, READ, wait);
    }
    ask(&mut balancer, &mut lines, ONCE, 40);
    ask(&mut balancer, &mut lines, ONCE, 80);
    // After a miss, nothing is fetched if the remaining time is too short for that.
    for (wait, elapsed) in [(150, 100), (200, 100)] {
        if let Some((request, host)) = ask(&mut balancer, &mut lines, READ, wait) {
            balancer.now += elapsed * MS;
            let actions = balancer.attempt_ended(request, 0, host, AttemptOutcome::Miss, elapsed * MS);
            lines.push(format!("  a miss after {elapsed} ms: {}", trace(&actions)));
        }
    }

    expect![[r#"
        waits 30 ms: attempt h0 for 30
        waits 30 ms: reject, retry after 400
        waits 90 ms: reject, retry after 400
        waits 120 ms: attempt h0 for 120
        waits 40 ms: reject, retry after 400
        waits 80 ms: attempt h9 for 80
        waits 150 ms: attempt h0 for 150
          a miss after 100 ms: reject, retry after 400
        waits 200 ms: attempt h0 for 200
          a miss after 100 ms: attempt h9 for 100"#]]
    .assert_eq(&lines.join("\n"));
}

/// One of a hundred balancers without cache-aside, while the origin behind the hosts is congested:
/// every answer is an error after `elapsed`. Returns how many attempts may be in flight after 40 of
/// these requests.
fn admitted_after_errors(elapsed: Micros) -> usize {
    let mut balancer = one_of_many(100, 20);
    let keys = keys(20);
    for round in 0..40 {
        let (request, actions) = balancer.request(READ, &keys[round % 20]);
        balancer.advance(elapsed.max(50 * MS));
        for (attempt, host) in attempted(&actions).into_iter().enumerate() {
            balancer.attempt_ended(request, attempt as u32, host, AttemptOutcome::Error, elapsed);
        }
        balancer.advance(50 * MS);
    }
    (0..20).filter(|&nth| !attempted(&balancer.request(READ, &format!("other-{nth}")).1).is_empty()).count()
}

#[test]
fn fleet_limit_is_decreased_by_slow_errors_but_not_by_quick_ones() {
    let line = format!(
        "after quick errors {}, after slow ones {}",
        admitted_after_errors(20 * MS),
        admitted_after_errors(600 * MS)
    );

    expect!["after quick errors 6, after slow ones 0"].assert_eq(&line);
}

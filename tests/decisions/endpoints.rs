//! Effects of the endpoint list: hosts that drain, are gone or are dropped; failed discovery calls.

use basaltwood::types::*;
use expect_test::expect;

use crate::common::*;

#[test]
fn host_draining_or_gone_gets_no_attempt() {
    let mut lines = String::new();
    for way in ["draining", "gone", "missing from the complete list", "origin gone"] {
        let mut config = policy_config();
        config.capabilities.cache_aside = way.starts_with("origin");
        let origin = Endpoint { origin: true, ..endpoint(1) };
        let hosts = if config.capabilities.cache_aside {
            vec![endpoint(0), origin.clone()]
        } else {
            vec![endpoint(0)]
        };
        let mut balancer = TestBalancer::new(&config, hosts);
        let event = match way {
            "draining" => PolicyEvent::Endpoints {
                complete: false,
                endpoints: vec![Endpoint { lifecycle: Lifecycle::Draining, ..endpoint(0) }],
            },
            "gone" => PolicyEvent::Endpoints {
                complete: false,
                endpoints: vec![Endpoint { lifecycle: Lifecycle::Gone, ..endpoint(0) }],
            },
            "origin gone" => PolicyEvent::Endpoints {
                complete: false,
                endpoints: vec![Endpoint { lifecycle: Lifecycle::Gone, ..origin }],
            },
            _ => PolicyEvent::Endpoints { complete: true, endpoints: Vec::new() },
        };
        balancer.handle(event);
        let class = if config.capabilities.cache_aside { ONCE } else { READ };
        lines += &format!("{way}: {}\n", trace(&balancer.request(class, "k").1));
    }

    expect![[r#"
        draining: reject, retry after 400
        gone: reject, retry after 400
        missing from the complete list: reject, retry after 400
        origin gone: reject, retry after 400
    "#]]
    .assert_eq(&lines);
}

#[test]
fn host_dropped_from_list_stays_while_it_answers() {
    let mut lines = Vec::new();
    for keeps_dropped_hosts in [false, true] {
        let config = PolicyConfig {
            capabilities: Capabilities { keeps_dropped_hosts, ..policy_config().capabilities },
            ..policy_config()
        };
        let mut balancer = TestBalancer::new(&config, (0..4).map(endpoint).collect());
        let homes_of = |balancer: &mut TestBalancer| {
            let mut homes: Vec<u32> =
                keys(60).iter().flat_map(|key| balancer.serve(key)).map(|host| host.0).collect();
            homes.sort();
            homes.dedup();
            format!("{homes:?}")
        };
        let mut line = homes_of(&mut balancer);
        let drains = Endpoint { lifecycle: Lifecycle::Draining, ..endpoint(3) };
        balancer.handle(PolicyEvent::Endpoints { complete: false, endpoints: vec![drains] });
        balancer.handle(PolicyEvent::Endpoints { complete: true, endpoints: Vec::new() });
        line += &format!(", emptied {}", homes_of(&mut balancer));
        // A host that is really gone loses its attempts, and is not used until it is listed again.
        let mut lost = 0;
        for key in keys(300) {
            let (request, actions) = balancer.request(READ, &key);
            for (attempt, &host) in attempted(&actions).iter().enumerate() {
                let outcome =
                    if host == HostId(1) { AttemptOutcome::Unreachable } else { AttemptOutcome::Succeeded };
                lost += usize::from(host == HostId(1));
                balancer.attempt_ended(request, attempt as u32, host, outcome, MS);
            }
            balancer.advance(50 * MS);
        }
        line += &format!(", one gone {} after {lost} attempts", homes_of(&mut balancer));
        balancer.handle(PolicyEvent::Endpoints { complete: true, endpoints: (0..3).map(endpoint).collect() });
        line += &format!(", listed again {}", homes_of(&mut balancer));
        lines.push(line);
    }

    expect![[r#"
        [0, 1, 2, 3], emptied [], one gone [] after 0 attempts, listed again [0, 1, 2]
        [0, 1, 2, 3], emptied [0, 1, 2], one gone [0, 2] after 2 attempts, listed again [0, 1, 2]"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn discovery_failure_restarts_watch_and_same_events_give_same_actions() {
    let run = || {
        let mut balancer = TestBalancer::new(
            &PolicyConfig {
                capabilities: Capabilities { polls_discovery: true, ..policy_config().capabilities },
                ..policy_config()
            },
            Vec::new(),
        );
        let mut lines = String::new();
        for event in [
            PolicyEvent::DiscoveryFailed,
            PolicyEvent::TimerFired(Timer::Watch),
            PolicyEvent::DiscoveryFailed,
        ] {
            let actions = balancer.handle(event);
            lines += &format!("{}\n", trace(&actions));
        }
        balancer.handle(PolicyEvent::Endpoints { complete: true, endpoints: (0..5).map(endpoint).collect() });
        let homes: Vec<u32> = homes(&mut balancer, 12).iter().map(|home| home.0).collect();
        lines + &format!("homes {homes:?}")
    };

    assert_eq!(run(), run());
    expect![[r#"
        timer Watch
        watch
        timer Watch
        homes [0, 2, 4, 3, 2, 2, 3, 2, 4, 1, 4, 0]"#]]
    .assert_eq(&run());
}

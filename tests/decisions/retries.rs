//! The outcomes that lead to another attempt, and how a request ends.

use basaltwood::types::*;
use expect_test::expect;

use crate::common::*;

#[test]
fn attempt_of_each_outcome_is_retried_as_its_class_allows() {
    let outcomes = [
        AttemptOutcome::Succeeded,
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Unreachable,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent,
    ];
    let mut lines = String::new();
    for (name, class) in [("idempotent", READ), ("idempotency-key", KEYED), ("at-most-once", ONCE)] {
        for outcome in outcomes {
            let mut balancer = balancer(4);
            let (request, actions) = balancer.request(class, "k");
            balancer.now += 50 * MS;
            let next = balancer.attempt_ended(request, 0, attempted(&actions)[0], outcome, 50 * MS);
            lines += &format!("{name} {outcome:?}: {}\n", trace(&next));
        }
    }

    expect![[r#"
        idempotent Succeeded: nothing
        idempotent Error: attempt h2 for 748
        idempotent Rejected: attempt h2 for 748
        idempotent TimedOut: attempt h2 for 748
        idempotent Unreachable: attempt h2 for 748
        idempotent ConnectionLost: attempt h2 for 748
        idempotent Cancelled: attempt h2 for 748
        idempotent NotSent: attempt h2 for 748
        idempotency-key Succeeded: nothing
        idempotency-key Error: attempt h1 for 748
        idempotency-key Rejected: attempt h2 for 748
        idempotency-key TimedOut: attempt h1 for 748
        idempotency-key Unreachable: attempt h2 for 748
        idempotency-key ConnectionLost: attempt h1 for 748
        idempotency-key Cancelled: attempt h1 for 748
        idempotency-key NotSent: attempt h2 for 748
        at-most-once Succeeded: nothing
        at-most-once Error: fail
        at-most-once Rejected: attempt h2 for 748
        at-most-once TimedOut: fail
        at-most-once Unreachable: attempt h2 for 748
        at-most-once ConnectionLost: fail
        at-most-once Cancelled: fail
        at-most-once NotSent: attempt h2 for 748
    "#]]
    .assert_eq(&lines);
}

#[test]
fn request_attempts_exhausted_fails_once() {
    let mut balancer = balancer(6);
    let (request, mut actions) = balancer.request(READ, "k");
    let mut lines = String::new();
    for attempt in 0..4 {
        let Some(&host) = attempted(&actions).first() else { break };
        balancer.now += 10 * MS;
        actions = balancer.attempt_ended(request, attempt, host, AttemptOutcome::Error, 10 * MS);
        lines += &format!("{}\n", trace(&actions));
    }
    lines += &format!(
        "late: {}",
        trace(&balancer.attempt_ended(request, 0, HostId(0), AttemptOutcome::TimedOut, 0))
    );

    expect![[r#"
        attempt h3 for 788
        fail
        late: nothing"#]]
    .assert_eq(&lines);
}

#[test]
fn idempotency_key_outside_scope_or_window_is_not_retried() {
    let mut lines = String::new();
    for after in [100, 990] {
        let mut balancer = balancer(6);
        let (request, actions) = balancer.request(KEYED, "k");
        let first = attempted(&actions)[0];
        balancer.now += after * MS;
        let next = balancer.attempt_ended(request, 0, first, AttemptOutcome::ConnectionLost, after * MS);
        lines += &format!("first {first:?}, after {after} ms: {}\n", trace(&next));
    }

    expect![[r#"
        first HostId(5), after 100 ms: attempt h3 for 698
        first HostId(5), after 990 ms: fail
    "#]]
    .assert_eq(&lines);
}

#[test]
fn key_failing_at_every_host_gets_one_attempt_and_no_host_is_blamed() {
    let mut balancer = balancer(4);
    let mut lines = Vec::new();
    // Every attempt of the request gets an error; returns the number of attempts and the end.
    let fails = |balancer: &mut TestBalancer, key: &str| {
        let (request, mut actions) = balancer.request(READ, key);
        let (mut attempts, mut last) = (0, Vec::new());
        while let Some(&host) = attempted(&actions).first() {
            actions = balancer.attempt_ended(request, attempts, host, AttemptOutcome::Error, MS);
            attempts += 1;
            last = actions.clone();
        }
        format!("{attempts} attempts, {}", trace(&last))
    };
    for nth in 0..8 {
        let line = fails(&mut balancer, "bad");
        balancer.advance(100 * MS);
        lines.push(format!("bad {nth}: {line}, good requests at {} hosts", {
            let mut homes = homes(&mut balancer, 60);
            homes.sort();
            homes.dedup();
            homes.len()
        }));
    }
    // After a value, the key is no longer a failing one.
    balancer.serve("bad");
    lines.push(format!("after a value: {}", fails(&mut balancer, "bad")));

    expect![[r#"
        bad 0: 2 attempts, fail, good requests at 4 hosts
        bad 1: 1 attempts, fail, good requests at 4 hosts
        bad 2: 1 attempts, fail, good requests at 4 hosts
        bad 3: 1 attempts, fail, good requests at 4 hosts
        bad 4: 1 attempts, fail, good requests at 4 hosts
        bad 5: 1 attempts, fail, good requests at 4 hosts
        bad 6: 1 attempts, fail, good requests at 4 hosts
        bad 7: 1 attempts, fail, good requests at 4 hosts
        after a value: 2 attempts, fail"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn host_failing_all_requests_is_avoided_among_requests_that_fail_everywhere() {
    let mut balancer = balancer(4);
    let faulty = HostId(2);
    let mut lines = Vec::new();
    for round in 0..4 {
        let (mut bad_attempts, mut at_faulty, mut unserved) = (0, 0, 0);
        for nth in 0..120 {
            // Every third request gets an error at every host; its key is used once.
            let bad = nth % 3 == 0;
            let (request, mut actions) = balancer.request(READ, &format!("{round}-{nth}"));
            let (mut attempt, mut served) = (0, false);
            while let Some(&host) = attempted(&actions).first() {
                balancer.advance(50 * MS);
                let fails = bad || host == faulty;
                at_faulty += usize::from(!bad && host == faulty);
                actions = balancer.attempt_ended(
                    request,
                    attempt,
                    host,
                    if fails { AttemptOutcome::Error } else { AttemptOutcome::Succeeded },
                    50 * MS,
                );
                (attempt, served) = (attempt + 1, !fails);
            }
            bad_attempts += if bad { attempt } else { 0 };
            unserved += usize::from(!bad && !served);
        }
        let bad = format!("{bad_attempts} attempts of 40 bad requests");
        let good = format!("of 80 good ones {at_faulty} at the faulty host, {unserved} unserved");
        lines.push(format!("{bad}; {good}"));
    }

    expect![[r#"
        56 attempts of 40 bad requests; of 80 good ones 5 at the faulty host, 2 unserved
        42 attempts of 40 bad requests; of 80 good ones 5 at the faulty host, 5 unserved
        41 attempts of 40 bad requests; of 80 good ones 6 at the faulty host, 6 unserved
        41 attempts of 40 bad requests; of 80 good ones 5 at the faulty host, 4 unserved"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn host_rejecting_all_requests_is_ejected_and_unreached_attempts_are_refunded() {
    let mut busy = balancer(3);
    let draining = HostId(1);
    // The host is draining but not listed as such, and gets more requests than the retry budget
    // covers.
    let (mut selected, mut given_up) = (0, 0);
    for key in keys(400) {
        let (request, actions) = busy.request(READ, &key);
        let Some(&home) = attempted(&actions).first() else { continue };
        let (mut host, mut attempt) = (home, 0);
        selected += usize::from(host == draining);
        while host == draining {
            let actions = busy.attempt_ended(request, attempt, host, AttemptOutcome::Rejected, MS);
            attempt += 1;
            let Some(&next) = attempted(&actions).first() else { break };
            host = next;
        }
        given_up += usize::from(host == draining);
        busy.advance(50 * MS);
        if host != draining {
            busy.attempt_ended(request, attempt, host, AttemptOutcome::Succeeded, 50 * MS);
        }
    }
    let mut lines = format!("selected {selected} times in 20 s, {given_up} requests given up\n");
    let mut refused = balancer(9);
    let (request, mut actions) = refused.request(READ, "k");
    let mut attempts = 0;
    while let Some(&host) = attempted(&actions).first() {
        actions = refused.attempt_ended(request, attempts, host, AttemptOutcome::Unreachable, 0);
        attempts += 1;
    }
    lines += &format!("unreachable everywhere: {attempts} attempts, {}\n", trace(&actions));

    expect![[r#"
        selected 33 times in 20 s, 6 requests given up
        unreachable everywhere: 4 attempts, reject, retry after 400
    "#]]
    .assert_eq(&lines);
}

#[test]
fn request_without_host_or_origin_is_answered_at_once() {
    let mut lines = format!("no host: {}\n", trace(&balancer(0).request(READ, "k").1));
    let cache_aside = PolicyConfig {
        capabilities: Capabilities { cache_aside: true, ..policy_config().capabilities },
        ..policy_config()
    };
    let mut balancer = TestBalancer::new(&cache_aside, vec![endpoint(0)]);
    let (request, _) = balancer.request(READ, "k");
    lines += &format!(
        "miss, no origin: {}\n",
        trace(&balancer.attempt_ended(request, 0, HostId(0), AttemptOutcome::Miss, MS))
    );
    lines += &format!("write, no origin: {}\n", trace(&balancer.request(ONCE, "k").1));
    balancer.handle(PolicyEvent::Endpoints {
        complete: false,
        endpoints: vec![Endpoint { origin: true, ..endpoint(1) }],
    });
    let (request, _) = balancer.request(READ, "k");
    lines += &format!(
        "miss: {}\n",
        trace(&balancer.attempt_ended(request, 0, HostId(0), AttemptOutcome::Miss, MS))
    );
    lines += &format!("write: {}", trace(&balancer.request(ONCE, "k").1));

    expect![[r#"
        no host: reject, retry after 400
        miss, no origin: reject, retry after 400
        write, no origin: reject, retry after 400
        miss: attempt h1 for 798
        write: attempt h1 for 798"#]]
    .assert_eq(&lines);
}

/// Without hedging, the suspicion of a silent host starts no further attempt and uses no retry.
/// When the attempt has ended, the request still has the retries that its class allows.
#[test]
fn request_without_hedging_at_silent_host_keeps_its_retries() {
    let one = PolicyConfig {
        capabilities: Capabilities { hedging: false, ..policy_config().capabilities },
        ..policy_config()
    };
    let mut lines = String::new();
    for (name, class) in [("idempotent", READ), ("idempotency-key", KEYED), ("at-most-once", ONCE)] {
        let mut balancer = TestBalancer::new(&one, (0..4).map(endpoint).collect());
        let key = keys(200)
            .into_iter()
            .find(|key| balancer.serve(key) == [HostId(2)])
            .expect("a key has host 2 as its home");
        let (request, _) = balancer.request(class, &key);
        let silence = trace(&balancer.advance(600 * MS));
        lines += &format!("{name}: {} ejected, {silence}", balancer.ejected());
        let mut actions = balancer.attempt_ended(request, 0, HostId(2), AttemptOutcome::TimedOut, 600 * MS);
        let mut attempt = 0;
        while let Some(&host) = attempted(&actions).first() {
            lines += &format!("; {}", trace(&actions));
            attempt += 1;
            balancer.now += 50 * MS;
            actions = balancer.attempt_ended(request, attempt, host, AttemptOutcome::TimedOut, 50 * MS);
        }
        lines += &format!("; {}\n", trace(&actions));
    }

    expect![[r#"
        idempotent: 1 ejected, nothing; attempt h0 for 198; attempt h3 for 148; fail
        idempotency-key: 1 ejected, nothing; attempt h0 for 198; fail
        at-most-once: 1 ejected, nothing; fail
    "#]]
    .assert_eq(&lines);
}

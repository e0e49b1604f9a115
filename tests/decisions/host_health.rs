//! When a host or a zone is ejected, and how it returns into use.

use std::collections::VecDeque;

use basaltwood::types::*;
use expect_test::expect;

use crate::common::*;

#[test]
fn host_silent_is_ejected_and_returns_warming_up() {
    let mut balancer = balancer(4);
    let silent = HostId(2);
    let homes = homes(&mut balancer, 60);
    let own: Vec<String> =
        keys(60).into_iter().zip(homes).filter(|(_, home)| *home == silent).map(|(key, _)| key).collect();
    let mut lines = format!("{} keys\n", own.len());
    let (request, actions) = balancer.request(READ, &own[0]);
    let (_, more) = balancer.request(READ, &own[1]);
    lines += &format!("two of them: {}; {}\n", trace(&actions), trace(&more));
    lines += &format!("within 750 ms: {}\n", trace(&balancer.advance(750 * MS)));
    lines += &format!("then: {}\n", trace(&balancer.request(READ, &own[0]).1));
    balancer.attempt_ended(request, 0, silent, AttemptOutcome::TimedOut, 798 * MS);
    balancer.advance(3_000 * MS);
    for span in [0, 5_000, 5_000] {
        balancer.advance(span * MS);
        let kept = own.iter().filter(|key| balancer.serve(key).first() == Some(&silent)).count();
        lines += &format!("then: {kept} of its keys\n");
    }

    expect![[r#"
        18 keys
        two of them: attempt h2 for 798; attempt h2 for 798
        within 750 ms: attempt h0 for 498; attempt h3 for 498
        then: attempt h0 for 798
        then: 0 of its keys
        then: 0 of its keys
        then: 0 of its keys
    "#]]
    .assert_eq(&lines);
}

#[test]
fn host_losing_single_answers_keeps_keys_and_limit() {
    let mut balancer = balancer(4);
    let home = HostId(2);
    let (mut lost, mut elsewhere, mut requests) = (VecDeque::new(), 0, 0);
    let own: Vec<String> = keys(400).into_iter().filter(|key| balancer.serve(key)[0] == home).collect();
    balancer.advance(2_000 * MS);
    for round in 0..100 {
        let mut out: Vec<RequestId> = Vec::new();
        for key in own.iter().cycle().skip(round * 6).take(6) {
            let (request, actions) = balancer.request(READ, key);
            requests += 1;
            elsewhere += usize::from(attempted(&actions) != [home]);
            out.push(request);
        }
        let sent = balancer.now;
        // In every fifth round one answer is lost; its request is in flight until it times out.
        if round % 5 == 0 {
            lost.push_back((out.remove(round % 6), sent));
        }
        elsewhere += attempted(&balancer.advance(50 * MS)).len();
        out.iter().for_each(|&request| {
            drop(balancer.attempt_ended(request, 0, home, AttemptOutcome::Succeeded, 50 * MS))
        });
        while lost.front().is_some_and(|&(_, sent)| balancer.now - sent >= 798 * MS) {
            let (request, sent) = lost.pop_front().expect("a lost attempt is due");
            let elapsed = balancer.now - sent;
            balancer.attempt_ended(request, 0, home, AttemptOutcome::TimedOut, elapsed);
        }
    }

    expect!["600 requests, sent elsewhere 47"]
        .assert_eq(&format!("{requests} requests, sent elsewhere {elsewhere}"));
}

#[test]
fn hosts_mostly_hung_load_moves_to_the_answering_host() {
    let mut balancer = balancer(5);
    let hung = |host: HostId| host.0 < 4;
    let mut sent = Vec::new();
    for round in 0..12 {
        let mut out = Vec::new();
        for key in keys(10) {
            let (request, actions) = balancer.request(READ, &format!("{key}-{round}"));
            out.extend(
                attempted(&actions)
                    .into_iter()
                    .enumerate()
                    .map(|(attempt, host)| (request, attempt as u32, host)),
            );
        }
        for &(request, attempt, host) in out.iter().filter(|attempt| !hung(attempt.2)) {
            balancer.attempt_ended(request, attempt, host, AttemptOutcome::Succeeded, 60 * MS);
        }
        let retries: Vec<_> = balancer
            .advance(750 * MS)
            .iter()
            .filter_map(|action| match action {
                PolicyAction::StartAttempt { request, host, .. } => Some((*request, 1, *host)),
                _ => None,
            })
            .collect();
        out.extend(retries);
        for &(request, attempt, host) in &out {
            let outcome = if hung(host) { AttemptOutcome::TimedOut } else { AttemptOutcome::Succeeded };
            balancer.attempt_ended(request, attempt, host, outcome, 750 * MS);
        }
        let to_hung = out.iter().filter(|attempt| hung(attempt.2)).count();
        sent.push((to_hung, out.len() - to_hung));
    }

    expect![[r#"
        attempts to hung hosts and to the other, by round:
        [(12, 6), (0, 5), (0, 4), (4, 5), (4, 3), (0, 5), (0, 6), (2, 6), (1, 5), (0, 7), (0, 7), (1, 7)]"#]]
    .assert_eq(&format!("attempts to hung hosts and to the other, by round:\n{sent:?}"));
}

#[test]
fn host_with_one_timeout_at_quiet_balancer_keeps_fewer_keys() {
    let mut balancer = one_of_many(900, 100);
    let homes = homes(&mut balancer, 2_000);
    let congested = HostId(7);
    let own: Vec<_> = keys(2_000).into_iter().zip(homes).filter(|(_, home)| *home == congested).collect();
    let (request, _) = balancer.request(READ, &own[0].0);
    balancer.advance(800 * MS);
    balancer.attempt_ended(request, 0, congested, AttemptOutcome::TimedOut, 798 * MS);
    balancer.advance(10_000 * MS);
    let kept = own.iter().filter(|(key, _)| balancer.serve(key)[0] == congested).count();

    expect!["keeps 11 of 26 keys"].assert_eq(&format!("keeps {kept} of {} keys", own.len()));
}

/// If a balancer sends to a host less often than its attempts time out, it would lose request after
/// request before there is a second sign of the failure.
#[test]
fn host_losing_its_only_attempt_is_ejected_at_any_number_of_balancers() {
    let mut lines = String::new();
    for balancers in [1, 2, 20, 100, 900] {
        for others in [0, 1] {
            let mut balancer = one_of_many(balancers, 8);
            let home = balancer.serve("k")[0];
            balancer.advance(300 * MS);
            let (request, _) = balancer.request(READ, "k");
            // Another attempt in flight, sent later, may still show that the host answers.
            balancer.now += 600 * MS;
            let more: Vec<_> = (0..others).map(|_| balancer.request(READ, "k")).collect();
            balancer.now += 198 * MS;
            balancer.attempt_ended(request, 0, home, AttemptOutcome::TimedOut, 798 * MS);
            balancer.handle(PolicyEvent::TimerFired(Timer::Sweep));
            let next = balancer.request(READ, "k").1;
            let is_selected = attempted(&next).first() == Some(&home);
            lines += &format!(
                "{balancers} balancers, {} more in flight: selected again {is_selected}\n",
                more.len()
            );
        }
    }

    expect![[r#"
        1 balancers, 0 more in flight: selected again false
        1 balancers, 1 more in flight: selected again true
        2 balancers, 0 more in flight: selected again false
        2 balancers, 1 more in flight: selected again true
        20 balancers, 0 more in flight: selected again false
        20 balancers, 1 more in flight: selected again true
        100 balancers, 0 more in flight: selected again false
        100 balancers, 1 more in flight: selected again true
        900 balancers, 0 more in flight: selected again false
        900 balancers, 1 more in flight: selected again true
    "#]]
    .assert_eq(&lines);
}

/// In one of two zones of ten hosts, all hosts fall silent, or three hang while the others answer.
#[test]
fn zone_is_avoided_if_all_its_hosts_are_silent_but_not_if_few_are() {
    let mut lines = String::new();
    for balancers in [2, 20, 100, 900] {
        for (what, hung) in [("a zone", 20), ("three hosts of it", 6)] {
            let mut balancer = one_of_many(balancers, 20);
            let zone = |host: HostId| host.0 % 2 == 1;
            let (mut lost, mut to_other_hosts, mut after_return) = (0, 0, 0);
            // One request every 80 ms: each host gets one every second or two.
            let mut out: VecDeque<(Micros, RequestId, HostId, AttemptOutcome)> = VecDeque::new();
            for round in 0..200 {
                balancer.advance(80 * MS);
                let silent = |host: HostId| zone(host) && host.0 < hung && (50..150).contains(&round);
                let due = out.iter().filter(|next| next.0 <= balancer.now).copied().collect::<Vec<_>>();
                out.retain(|next| next.0 > balancer.now);
                for (at, request, host, outcome) in due {
                    let elapsed = if outcome == AttemptOutcome::Succeeded { 60 * MS } else { 798 * MS };
                    balancer.now = balancer.now.max(at);
                    balancer.attempt_ended(request, 0, host, outcome, elapsed);
                }
                let (request, actions) = balancer.request(READ, &format!("key-{}", round * 7 % 61));
                let Some(&host) = attempted(&actions).first() else { continue };
                let outcome = if silent(host) { AttemptOutcome::TimedOut } else { AttemptOutcome::Succeeded };
                out.push_back((
                    balancer.now + if silent(host) { 798 * MS } else { 60 * MS },
                    request,
                    host,
                    outcome,
                ));
                lost += u32::from(silent(host));
                let other = zone(host) && host.0 >= 6;
                to_other_hosts += u32::from(other && (80..150).contains(&round));
                after_return += u32::from(zone(host) && round >= 180);
            }
            lines += &format!("{balancers} balancers, {what}: {lost} attempts lost, ");
            lines += &format!("{to_other_hosts} to its other hosts meanwhile, {after_return} to it after\n");
        }
    }

    expect![[r#"
        2 balancers, a zone: 8 attempts lost, 2 to its other hosts meanwhile, 6 to it after
        2 balancers, three hosts of it: 5 attempts lost, 21 to its other hosts meanwhile, 7 to it after
        20 balancers, a zone: 8 attempts lost, 2 to its other hosts meanwhile, 6 to it after
        20 balancers, three hosts of it: 5 attempts lost, 21 to its other hosts meanwhile, 7 to it after
        100 balancers, a zone: 8 attempts lost, 2 to its other hosts meanwhile, 6 to it after
        100 balancers, three hosts of it: 5 attempts lost, 21 to its other hosts meanwhile, 7 to it after
        900 balancers, a zone: 8 attempts lost, 2 to its other hosts meanwhile, 6 to it after
        900 balancers, three hosts of it: 5 attempts lost, 21 to its other hosts meanwhile, 7 to it after
    "#]]
    .assert_eq(&lines);
}

/// If hundreds of quiet balancers took a congested host back after a fixed time, each of them would
/// lose its next request there.
#[test]
fn host_silent_stays_ejected_for_the_send_interval() {
    let mut lines = Vec::new();
    for apart in [200, 2_000, 12_000] {
        let mut balancer = balancer(4);
        let key = keys(200)
            .into_iter()
            .find(|key| balancer.serve(key) == [HostId(2)])
            .expect("a key has host 2 as its home");
        let others: Vec<String> =
            keys(40).into_iter().filter(|key| balancer.serve(key) != [HostId(2)]).take(3).collect();
        // Each host gets one request per round.
        let round = |balancer: &mut TestBalancer| {
            others.iter().for_each(|other| drop(balancer.serve(other)));
            balancer.advance(apart * MS - 400 * MS * i64::from(apart > 400));
        };
        for _ in 0..60_000 / apart {
            balancer.serve(&key);
            round(&mut balancer);
        }
        let (request, _) = balancer.request(READ, &key);
        // Meanwhile the request is also sent to another host, which answers.
        for (nth, host) in (1..).zip(attempted(&balancer.advance(800 * MS))) {
            balancer.attempt_ended(request, nth, host, AttemptOutcome::Succeeded, 100 * MS);
        }
        balancer.attempt_ended(request, 0, HostId(2), AttemptOutcome::TimedOut, 800 * MS);
        let silent = balancer.now;
        while balancer.ejected() > 0 && balancer.now - silent < 40_000 * MS {
            balancer.advance(250 * MS);
        }
        lines.push(format!("a send each {apart} ms: ejected for {} ms more", (balancer.now - silent) / MS));
    }

    expect![[r#"
        a send each 200 ms: ejected for 2000 ms more
        a send each 2000 ms: ejected for 2250 ms more
        a send each 12000 ms: ejected for 12750 ms more"#]]
    .assert_eq(&lines.join("\n"));
}

/// A host is ejected for one time-out and returns as a cold host. Returns how many of its 100 keys
/// it gets after it has answered three reads with this latency.
fn keys_kept_after(latency: Micros) -> usize {
    let mut balancer = balancer(4);
    let keys = keys(800);
    let homes: Vec<HostId> = keys.iter().map(|key| balancer.serve(key)[0]).collect();
    let at_home = keys.iter().zip(&homes).filter(|(_, home)| **home == HostId(2));
    let own: Vec<&String> = at_home.map(|(key, _)| key).take(100).collect();
    let (request, actions) = balancer.request(READ, own[0]);
    assert_eq!(attempted(&actions), [HostId(2)]);
    balancer.advance(700 * MS);
    balancer.attempt_ended(request, 0, HostId(2), AttemptOutcome::TimedOut, 700 * MS);
    balancer.advance(2_300 * MS);
    let mut answered = 0;
    for key in &own {
        let (request, actions) = balancer.request(READ, key);
        let Some(&host) = attempted(&actions).first() else { continue };
        let elapsed = if host == HostId(2) { latency } else { 100 * MS };
        balancer.now += elapsed;
        balancer.attempt_ended(request, 0, host, AttemptOutcome::Succeeded, elapsed);
        answered += u32::from(host == HostId(2));
        if answered == 3 {
            break;
        }
    }
    // The requests are abandoned, so that the host's state does not change.
    let mut goes_there = |key: &&&String| {
        let (request, actions) = balancer.request(READ, key);
        balancer.handle(PolicyEvent::ClientGone { request });
        let host = attempted(&actions).first().copied();
        host.map(|host| balancer.attempt_ended(request, 0, host, AttemptOutcome::Cancelled, 0));
        host == Some(HostId(2))
    };
    own.iter().filter(|key| goes_there(key)).count()
}

#[test]
fn host_warming_up_that_answers_quickly_is_restored() {
    let (slow, quick) = (keys_kept_after(400 * MS), keys_kept_after(50 * MS));

    expect!["of 100 keys 3 after slow values, 90 after quick ones"]
        .assert_eq(&format!("of 100 keys {slow} after slow values, {quick} after quick ones"));
}

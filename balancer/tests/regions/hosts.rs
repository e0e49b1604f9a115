//! Hosts that move between regions, drain, change one by one, or are unreachable.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::common::*;
use crate::fleet::*;
use crate::stand_ins::{breaking_host, long_deadline_settings, one_attempt_in_flight};

#[test]
fn hosts_outside_the_own_region_get_no_connections() {
    let (a, b) =
        (host_named("a"), Peer::host(|command| if command.contains("lacked") { miss() } else { hit("b") }));
    let outside = [UntouchedListener::start(), UntouchedListener::start(), UntouchedListener::start()];
    let origin = Peer::http(|_| http_answer(200, "fetched"));
    let discovery = Discovery::start();
    let known = [
        zoned_entry("a", "n1", a.address, "active"),
        zoned_entry("b", "n2", b.address, "active"),
        zoned_entry("c", "s1", outside[0].address, "active"),
        zoned_entry("d", "x1", outside[1].address, "active"),
        zoned_entry("e", "x1", outside[2].address, "active"),
        zoned_entry("origin", "s1", origin.address, "active"),
    ];
    let program = start(discovery.peer.address, &known, SETTINGS);
    let mut trace = vec![answering_hosts(&program, &["a", "b"])];
    discovery.publish(&known);
    wait_until_read(&discovery.peer, 2);
    trace.push(answering_hosts(&program, &["a", "b"]));
    // A key with home b that misses there: its value comes from the origin, which is in the south.
    let missing = (0..60).map(|nth| format!("lacked{nth}"));
    let mut client = program.client();
    let fetched = missing.enumerate().any(|(nth, key)| {
        client.command(&["CACHE.GET", &key, &format!("id{nth}"), "c=read,d=900"]) == "fetched"
    });
    trace.push(format!("fetched: {fetched}"));
    let metrics = program.metrics("edge_proxy_regions_hosts_ring 2");
    trace.extend(metrics.lines().filter(|line| line.contains("regions_")).map(str::to_owned));
    let line = program.wait_for_counter("endpoint_lists", 2);
    trace.extend(line.split(' ').filter(|word| word.starts_with("regions_")).map(str::to_owned));
    assert!(
        outside.iter().all(UntouchedListener::is_untouched),
        "a connection was opened to a host outside the ring"
    );
    expect![[r#"
        a b
        a b
        fetched: true
        regions_map{version="6289afb4"} 1
        regions_ring{region="north"} 1
        regions_ring{region="south"} 0
        regions_hosts_ring 2
        regions_hosts_outside 3
        regions_hosts_unnamed 2
        regions_zones_unnamed 1
        regions_rings=0
        regions_hosts_in=2
        regions_hosts_out=0
        regions_zones_unnamed=1"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn drain_of_a_ring_host_is_honoured_with_any_zone_in_its_entry() {
    for invalid in [
        r#"{"instanceId":"a","lifecycle":"leaving"}"#,
        r#"{"instanceId":"a","zone":"unknown","hostPort":"::","lifecycle":"left"}"#,
        r#"{"instanceId":"a","zone":"s1","lifecycle":"leaving"}"#,
        r#"{"instanceId":"a","zone":[],"hostPort":7,"lifecycle":"leaving"}"#,
    ] {
        let (a, b) = (host_named("a"), host_named("b"));
        let discovery = Discovery::start();
        let known =
            [zoned_entry("a", "n1", a.address, "active"), zoned_entry("b", "n2", b.address, "active")];
        let program = start(discovery.peer.address, &known, SETTINGS);
        assert_eq!(answering_hosts(&program, &["a", "b"]), "a b");
        discovery.publish(&[invalid.to_owned(), known[1].clone()]);
        wait_until_read(&discovery.peer, 2);
        let line = program.wait_for_counter("endpoint_lists", 2);
        assert!(line.contains(" endpoints_refused=0 "), "{line}");
        assert_eq!(answering_hosts(&program, &["b"]), "b", "{invalid}");
    }
}

/// One attempt is in flight at `a`, and others wait for a connection to it, when the list moves `a`
/// to another region.
#[test]
fn host_moved_out_of_the_ring_gets_no_further_attempts() {
    let (release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    let discovery = Discovery::start();
    let known = [zoned_entry("a", "n1", a.address, "active")];
    let program = start(discovery.peer.address, &known, &long_deadline_settings());
    let (mut slow, mut trace) = one_attempt_in_flight(&program, &a);
    let (mut read, mut once) = (program.client(), program.client());
    read.get("k", "id2", "c=read,d=9000");
    once.get("l", "id3", "c=once,d=9000");
    program.wait_for_counter("requests", 4);
    let b_up = zoned_entry("b", "n2", b.address, "active");
    discovery.publish(&[zoned_entry("a", "s1", a.address, "active"), b_up.clone()]);
    trace.extend([read.answer(), once.answer()]);
    release.send(()).expect("the host waits");
    trace.extend([slow.answer(), a.next()]);
    let line = program.wait_for_counter("attempts_not_sent", 2);
    assert!(line.contains(" attempts_not_sent=2 ") && line.contains(" regions_hosts_out=1 "), "{line}");
    trace.push(answering_hosts(&program, &["from b"]));
    assert!(a.received_nothing(), "no attempt was sent after the host was moved out");
    expect![[r#"
        CACHE.GET break id0 c=read,d=..
        closed
        -BUSY 2000
        CACHE.GET slow id1 c=read,d=..
        from b
        from b
        from a
        closed
        from b"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn host_moved_into_the_ring_is_used_unless_it_drained_outside() {
    let (a, b, c) = (host_named("a"), host_named("b"), host_named("c"));
    let discovery = Discovery::start();
    let list = |zone_of_a: &str, lifecycle_of_a: &str, zone_of_c: &str| {
        let (a, b) = (
            zoned_entry("a", zone_of_a, a.address, lifecycle_of_a),
            zoned_entry("b", "n2", b.address, "active"),
        );
        [a, b, zoned_entry("c", zone_of_c, c.address, "active")]
    };
    let program = start(discovery.peer.address, &list("n1", "active", "s1"), SETTINGS);
    let mut trace = vec![answering_hosts(&program, &["a", "b"])];
    for (round, (list, awaited)) in [
        (list("s1", "active", "n2"), ["b", "c"]),
        (list("s1", "leaving", "n2"), ["b", "c"]),
        (list("n1", "leaving", "n2"), ["b", "c"]),
        (list("n1", "active", "s1"), ["a", "b"]),
    ]
    .iter()
    .enumerate()
    {
        discovery.publish(list);
        wait_until_read(&discovery.peer, round + 2);
        trace.push(answering_hosts(&program, awaited));
    }
    expect![[r#"
        a b
        b c
        b c
        b c
        a b"#]]
    .assert_eq(&trace.join("\n"));
}

/// Each change names one host. The other hosts have to be known when the ring changes to their
/// region.
#[test]
fn list_changes_of_single_hosts_have_the_same_effect_as_whole_lists() {
    let (a, b) = (host_named("a"), host_named("b"));
    let state = Arc::new((Mutex::new(Vec::<String>::new()), Condvar::new()));
    let shared = state.clone();
    let discovery = Peer::http(move |request| {
        let from = request.split_once("from=").and_then(|found| found.1.split('&').next()?.parse().ok());
        let (from, hold) = (from.unwrap_or(1), Duration::from_secs(3));
        let changes = shared.0.lock().expect("a lock");
        let changes = shared.1.wait_timeout_while(changes, hold, |changes| changes.len() < from);
        let changes = changes.expect("a lock").0;
        let (version, change) = changes.get(from - 1).map_or((from, ""), |change| (from + 1, change));
        http_answer(200, &format!(r#"{{"generation":{version},"reset":false,"instances":[{change}]}}"#))
    });
    let known = [zoned_entry("a", "n1", a.address, "active"), zoned_entry("b", "s1", b.address, "active")];
    let program = start(discovery.address, &known, SETTINGS);
    let mut trace = vec![answering_hosts(&program, &["a"])];
    for (round, (change, awaited)) in [
        (r#"{"instanceId":"a","lifecycle":"leaving"}"#.to_owned(), "b"),
        (zoned_entry("a", "n2", a.address, "active"), "a"),
        (zoned_entry("a", "unknown", a.address, "left"), "b"),
        (zoned_entry("c", "n1", a.address, "active"), "a"),
        (zoned_entry("d", "n1", a.address, "active"), "a"),
        (zoned_entry("d", "n1", a.address, "left"), "a"),
        // A drain of a host that was forgotten has no effect.
        (r#"{"instanceId":"d","lifecycle":"leaving"}"#.to_owned(), "a"),
        (r#"{"instanceId":"d","lifecycle":"left"}"#.to_owned(), "a"),
        (zoned_entry("c", "", a.address, "leaving"), "b"),
    ]
    .iter()
    .enumerate()
    {
        state.0.lock().expect("a lock").push(change.clone());
        state.1.notify_all();
        wait_until_read(&discovery, round + 2);
        trace.push(answering_hosts(&program, &[awaited]));
    }
    let line = program.wait_for_counter("hosts_released", 6);
    trace.extend(line.split(' ').filter(|word| word.starts_with("hosts_released")).map(str::to_owned));
    expect![[r#"
        a
        b
        a
        b
        a
        a
        a
        a
        a
        b
        hosts_released=6"#]]
    .assert_eq(&trace.join("\n"));
}

/// The own region's hosts are up in the list but unreachable: one hangs and one refuses. The other
/// region's host would answer. Each request has to end in time, the other region gets no
/// connection, and the own region serves again once its hosts answer.
#[test]
fn unreachable_region_fails_in_time_without_use_of_another_and_serves_again() {
    let hangs = Arc::new((Mutex::new(false), Condvar::new()));
    let shared = hangs.clone();
    let a = Peer::host(move |_| {
        let hangs = shared.0.lock().expect("a lock");
        drop(shared.1.wait_while(hangs, |hangs| *hangs).expect("a lock"));
        hit("a")
    });
    let (b, south) = (RefusingHost::start(), RefusingHost::start());
    let known = [
        zoned_entry("a", "n1", a.address, "active"),
        zoned_entry("b", "n2", b.address, "active"),
        zoned_entry("s", "s1", south.address, "active"),
    ];
    let (address, accepted) = (south.address, south.opened("s"));
    let program = start(unreachable_address(), &known, SETTINGS);
    let mut trace = vec![answering_hosts(&program, &["a"])];
    *hangs.0.lock().expect("a lock") = true;
    let began = Instant::now();
    let mut clients: Vec<Client> = (0..24).map(|_| program.client()).collect();
    for (nth, client) in clients.iter_mut().enumerate() {
        client.get(&format!("k{nth}"), &format!("cut{nth}"), "c=read,d=400");
    }
    let answers: Vec<String> = clients.iter_mut().map(Client::answer).collect();
    let took = began.elapsed();
    let refused =
        answers.iter().filter(|answer| answer.starts_with("-BUSY") || *answer == "-ERR dead-lettered");
    trace.push(format!("unreachable: {} of {} without a value", refused.count(), answers.len()));
    assert!(took < Duration::from_secs(2), "requests with a deadline of 0.4 s took {took:?}");
    *hangs.0.lock().expect("a lock") = false;
    hangs.1.notify_all();
    b.opened("b");
    trace.push(answering_hosts(&program, &["a", "b"]));
    let line = program.wait_for_counter("requests", 24);
    trace.extend(line.split(' ').filter(|word| word.starts_with("regions_rings")).map(str::to_owned));
    assert_eq!(accepted.load(Ordering::SeqCst), 0, "a connection was opened to the other region");
    // The other region could have answered throughout.
    let mut other = Client::at(&address.to_string());
    other.get("k", "id", "c=read,d=400");
    trace.push(format!("other region: {}, connection {}", other.answer(), accepted.load(Ordering::SeqCst)));
    println!("unreachable for {took:?}, total {:?}", began.elapsed());
    expect![[r#"
        a
        unreachable: 24 of 24 without a value
        a b
        regions_rings=0
        other region: *3, connection 1"#]]
    .assert_eq(&trace.join("\n"));
}

//! A migration on sockets: one program with the settings of the old shape of deployment and one
//! with those of the new, before the same hosts.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use common::*;
use expect_test::expect;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// The new shape: one attempt at a time, late responses earn, a part of the result for what is in
/// time, messages and probes.
fn new_shape() -> String {
    let late = SETTINGS.replace("\"semantics\"", "\"tardyBenefit\":0.4,\"semantics\"");
    let limits =
        late.replace("\"mayDuplicate\":true", "\"mayDuplicate\":false,\"mayTell\":true,\"probes\":true");
    let more =
        "\"report\":{\"source\":\"on_probe\",\"columns\":[\"eps\",\"util\"]},\"costs\":{\"probe\":0.01},\
                \"objectiveMix\":{\"keptPromises\":0.2,\"tailMiss\":0.02}";
    limits.replace("\"unheardOf\":{\"x\":1}", more)
}

/// A host that breaks its connection at the key `break` and else answers with its name. Counts the
/// requests that it got and those that it broke: connections that close count as none.
fn host(name: &'static str) -> (Peer, Arc<[AtomicU32; 2]>) {
    let counts: Arc<[AtomicU32; 2]> = Arc::default();
    let counted = counts.clone();
    let peer = Peer::host(move |request| {
        let breaks = request.contains("break");
        counted[0].fetch_add(1, Ordering::SeqCst);
        counted[1].fetch_add(u32::from(breaks), Ordering::SeqCst);
        if breaks {
            Reply::ThenClose(String::new())
        } else {
            hit(name)
        }
    });
    (peer, counts)
}

#[test]
fn programs_with_old_and_new_settings_before_the_same_hosts_keep_the_rules() {
    let ((a, at_a), (b, at_b), discovery) = (host("from a"), host("from b"), Discovery::start());
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let old = Program::start_with(BINARY, discovery.peer.address, &known, [192, 1024], SETTINGS);
    let new = Program::spawn(BINARY, discovery.peer.address, &known, [192, 1024], &new_shape());
    let mut trace = vec![];
    for _ in 0..2 {
        let line = new.wait_for_log("allowed and not used");
        trace.push(line.split_once("not used, ").expect("what").1.to_owned());
    }
    let new = new.serving();
    let mut clients = [old.client(), new.client()];

    // Homes are the same for both.
    for client in &mut clients {
        client.get(HOME_A, "id0", "c=read,d=2000");
        trace.push(format!("its home: {}", client.answer()));
    }

    // Like traffic: what one gets the other gets.
    let mut served = [0, 0];
    for nth in 0..100 {
        for (client, served) in clients.iter_mut().zip(&mut served) {
            client.get(&format!("key-{nth}"), &format!("id1-{nth}"), "c=read,d=2000");
            *served += u32::from(client.answer().starts_with("from "));
        }
    }
    trace.push(format!("served of 100: {served:?}"));

    // What may have run and must not run twice is answered at once, and no other host sees it.
    for (client, name) in clients.iter_mut().zip(["old", "new"]) {
        client.get("break", &format!("once-{name}"), "c=once,d=2000");
        trace.push(format!("{name}, an at-most-once request whose connection broke: {}", client.answer()));
    }
    let broken = at_a[1].load(Ordering::SeqCst) + at_b[1].load(Ordering::SeqCst);
    assert_eq!(broken, 2, "each was sent once, wherever it went");

    discovery.publish(&[entry("a", a.address, "leaving"), entry("b", b.address, "active")]);
    // Once both have the list, neither sends it anything more.
    for program in [&old, &new] {
        program.wait_for_counter("endpoint_lists", 2);
    }
    let before = at_a[0].load(Ordering::SeqCst);
    for client in &mut clients {
        client.get(HOME_A, "after", "c=read,d=2000");
        assert_eq!(client.answer(), "from b");
        for nth in 0..20 {
            client.get(&format!("after-{nth}"), "id", "c=read,d=2000");
            assert_eq!(client.answer(), "from b");
        }
    }
    assert_eq!(at_a[0].load(Ordering::SeqCst), before, "nothing goes to a host that both know to leave");

    expect![[r#"
        messages between balancers: each balancer decides on its own
        load reports to probes (eps, util): the policy relies on response times instead
        its home: from a
        its home: from a
        served of 100: [100, 100]
        old, an at-most-once request whose connection broke: -ERR dead-lettered
        new, an at-most-once request whose connection broke: -ERR dead-lettered"#]]
    .assert_eq(&trace.join("\n"));
}

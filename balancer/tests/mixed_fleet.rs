//! A migration of settings: one balancer with the old settings and one with the new ones, in front
//! of the same hosts.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use common::*;
use expect_test::expect;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// The new settings: one attempt at a time, a benefit for late responses, a share of the objective
/// for responses in time, messages between balancers, and probes.
fn new_settings() -> String {
    let late = SETTINGS.replace("\"semantics\"", "\"tardyBenefit\":0.4,\"semantics\"");
    let limits =
        late.replace("\"mayDuplicate\":true", "\"mayDuplicate\":false,\"mayTell\":true,\"probes\":true");
    let more =
        "\"report\":{\"source\":\"on_probe\",\"columns\":[\"eps\",\"util\"]},\"costs\":{\"probe\":0.01},\
                \"objectiveMix\":{\"keptPromises\":0.2,\"tailMiss\":0.02}";
    limits.replace("\"unheardOf\":{\"x\":1}", more)
}

/// Starts a host that closes its connection on the key `break` and otherwise answers with its name.
/// Returns its counts of all requests and of those with that key; closed connections do not count.
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
fn balancers_with_old_and_new_settings_on_the_same_hosts_keep_the_rules() {
    let ((a, counts_a), (b, counts_b), discovery) = (host("from a"), host("from b"), Discovery::start());
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let old = Program::start_with(BINARY, discovery.peer.address, &known, [192, 1024], SETTINGS);
    let new = Program::spawn(BINARY, discovery.peer.address, &known, [192, 1024], &new_settings());
    let mut trace = vec![];
    for _ in 0..2 {
        let line = new.wait_for_log("allowed and not used");
        trace.push(line.split_once("not used, ").expect("the unused setting").1.to_owned());
    }
    let new = new.serving();
    let mut clients = [old.client(), new.client()];

    // Both balancers agree on the home of a key.
    for client in &mut clients {
        client.get(HOME_A, "id0", "c=read,d=2000");
        trace.push(format!("its home: {}", client.answer()));
    }

    // Both get the same traffic.
    let mut served = [0, 0];
    for nth in 0..100 {
        for (client, served) in clients.iter_mut().zip(&mut served) {
            client.get(&format!("key-{nth}"), &format!("id1-{nth}"), "c=read,d=2000");
            *served += u32::from(client.answer().starts_with("from "));
        }
    }
    trace.push(format!("served of 100: {served:?}"));

    // An at-most-once request that may have run is answered at once, and no other host gets it.
    for (client, name) in clients.iter_mut().zip(["old", "new"]) {
        client.get("break", &format!("once-{name}"), "c=once,d=2000");
        trace.push(format!("{name}, an at-most-once request whose connection broke: {}", client.answer()));
    }
    let broken = counts_a[1].load(Ordering::SeqCst) + counts_b[1].load(Ordering::SeqCst);
    assert_eq!(broken, 2, "each of the two requests is sent once");

    discovery.publish(&[entry("a", a.address, "leaving"), entry("b", b.address, "active")]);
    // Once both have applied the list, neither sends anything to the leaving host.
    for program in [&old, &new] {
        program.wait_for_counter("endpoint_lists", 2);
    }
    let before = counts_a[0].load(Ordering::SeqCst);
    for client in &mut clients {
        client.get(HOME_A, "after", "c=read,d=2000");
        assert_eq!(client.answer(), "from b");
        for nth in 0..20 {
            client.get(&format!("after-{nth}"), "id", "c=read,d=2000");
            assert_eq!(client.answer(), "from b");
        }
    }
    assert_eq!(counts_a[0].load(Ordering::SeqCst), before, "no request goes to the leaving host");

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

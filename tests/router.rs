//! The router, as traces: what it answers, what lies in other ops' mailboxes, and that an op ends once.

mod common;

use basaltwood::router::{NewRequest, RequestAction, Router};
use basaltwood::types::*;
use common::*;
use expect_test::expect;

fn router(hosts: u32) -> Router {
    let mut router = Router::new(&terms(), 8);
    router.update_endpoints(0, true, (0..hosts).map(endpoint).collect());
    router
}

fn ask(class: RequestClassId, key: &str) -> NewRequest {
    let key = Some(RingPosition::of(key));
    NewRequest { class, tenant: None, key, is_write: false, is_retry: false, deadline: 2_000 * MS }
}

fn words(decisions: &[RequestAction]) -> String {
    let word = |decision: &RequestAction| match decision {
        RequestAction::StartAttempt { attempt, host, deadline } => {
            format!("push {} to h{} until {}", attempt.0, host.0, deadline / MS)
        }
        RequestAction::CancelAttempt(attempt) => format!("call off {}", attempt.0),
        RequestAction::Succeed(attempt) => format!("ack with {}", attempt.0),
        RequestAction::Reject { retry_after } => {
            format!("nack, back in {}", retry_after.map_or(0, |span| span / MS))
        }
        RequestAction::Fail => "dead letter".to_owned(),
    };
    if decisions.is_empty() {
        "nothing".to_owned()
    } else {
        decisions.iter().map(word).collect::<Vec<_>>().join("; ")
    }
}

#[test]
fn an_op_ends_once_whatever_is_reported_after() {
    let mut router = router(3);
    let (request, first) = router.submit(0, ask(READ, "k"));
    let mut trace = vec![words(&first)];
    trace.push(words(&router.attempt_ended(MS, request, AttemptNumber(0), AttemptOutcome::Unreachable)));
    trace.push(words(&router.attempt_ended(2 * MS, request, AttemptNumber(0), AttemptOutcome::Succeeded)));
    trace.push(words(&router.attempt_ended(3 * MS, request, AttemptNumber(7), AttemptOutcome::Succeeded)));
    trace.push(words(&router.attempt_ended(4 * MS, request, AttemptNumber(1), AttemptOutcome::Succeeded)));
    trace.push(words(&router.attempt_ended(5 * MS, request, AttemptNumber(1), AttemptOutcome::Succeeded)));
    trace.push(words(&router.client_gone(6 * MS, request)));
    trace.push(words(&Router::new(&terms(), 8).submit(0, ask(READ, "k")).1));
    expect![[r#"
        push 0 to h2 until 798
        push 1 to h0 until 798
        nothing
        nothing
        ack with 1
        nothing
        nothing
        nack, back in 400"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn an_op_whose_client_has_gone_calls_its_pushes_off() {
    let mut router = router(3);
    let (request, _) = router.submit(0, ask(ONCE, "k"));
    let mut trace = vec![words(&router.client_gone(MS, request)), words(&router.client_gone(MS, request))];
    trace.push(words(&router.attempt_ended(2 * MS, request, AttemptNumber(0), AttemptOutcome::Cancelled)));
    expect![[r#"
        call off 0
        nothing
        nothing"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn what_a_timer_decides_lies_in_the_mailboxes_of_the_ops() {
    let mut router = router(3);
    let requests: Vec<RequestId> = (0..3).map(|_| router.submit(0, ask(READ, "k")).0).collect();
    assert_eq!(router.requests_with_actions(), vec![]);
    let mut due = router.tick(0);
    let mut rung = Vec::new();
    // The home does not answer; sooner or later that is held against it.
    while let Some(now) = due.filter(|&now| now < 700 * MS && rung.is_empty()) {
        due = router.tick(now);
        rung = router.requests_with_actions();
    }
    let mut trace = vec![format!("rung for {} of {}", rung.len(), requests.len())];
    trace.extend(requests.iter().map(|&request| words(&router.take_actions(request))));
    trace.push(words(&router.take_actions(requests[0])));
    expect![[r#"
        rung for 3 of 3
        push 1 to h0 until 798
        push 1 to h0 until 798
        push 1 to h0 until 798
        nothing"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn no_more_ops_are_held_than_may_be() {
    let mut router = Router::new(&terms(), 2);
    router.update_endpoints(0, true, vec![endpoint(0)]);
    let picked: Vec<_> = (0..3).map(|_| router.submit(0, ask(READ, "k"))).collect();
    let mut trace: Vec<String> = picked.iter().map(|(_, decisions)| words(decisions)).collect();
    trace.push(words(&router.attempt_ended(MS, picked[0].0, AttemptNumber(0), AttemptOutcome::Succeeded)));
    trace.push(words(&router.submit(MS, ask(READ, "k")).1));
    expect![[r#"
        push 0 to h0 until 798
        push 0 to h0 until 798
        nack, back in 0
        ack with 0
        push 0 to h0 until 799"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn the_number_of_a_host_that_is_gone_stands_for_another_once_nothing_open_names_it() {
    let mut router = router(2);
    let (request, _) = router.submit(0, ask(READ, "k"));
    let gone = |host: u32| Endpoint { lifecycle: Lifecycle::Gone, ..endpoint(host) };
    router.update_endpoints(MS, false, vec![gone(0), gone(1)]);
    let mut trace = vec![format!("an op open there: {:?}", router.released_hosts())];
    router.attempt_ended(50 * MS, request, AttemptNumber(0), AttemptOutcome::Succeeded);
    trace.push(format!("then: {:?}", router.released_hosts()));
    // Under the old numbers, but with other names and so with other keys.
    let renamed = |host: u32, name: u32| Endpoint { host: HostId(host), ..endpoint(name) };
    router.update_endpoints(60 * MS, false, vec![renamed(0, 7), renamed(1, 8)]);
    trace.push(format!("listed anew: {:?}", router.released_hosts()));
    let mut fresh = Router::new(&terms(), 100);
    fresh.update_endpoints(0, true, vec![renamed(0, 7), renamed(1, 8)]);
    let home = |router: &mut Router, nth: u32| {
        let (request, decisions) = router.submit(70 * MS, ask(READ, &format!("key-{nth}")));
        router.attempt_ended(80 * MS, request, AttemptNumber(0), AttemptOutcome::Succeeded);
        words(&decisions)
    };
    let same = (0..60).filter(|&nth| home(&mut router, nth) == home(&mut fresh, nth)).count();
    trace.push(format!("{same} of 60 keys at the homes that the new names give"));
    expect![[r#"
        an op open there: [HostId(1)]
        then: [HostId(0), HostId(1)]
        listed anew: []
        60 of 60 keys at the homes that the new names give"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn limits_learnt_by_one_process_are_where_the_next_begins() {
    // How many pushes go out at once before a nack, at one host, to an op that may fill all of it.
    let room = |router: &mut Router| {
        (0..)
            .take_while(|nth| {
                let decisions = router.submit(0, ask(ONCE, &format!("k{nth}"))).1;
                matches!(decisions[..], [RequestAction::StartAttempt { .. }])
            })
            .count()
    };
    let fresh = || {
        let mut router = Router::new(&terms(), 1_000);
        router.update_endpoints(0, true, vec![endpoint(0)]);
        router
    };
    let mut trace = vec![format!("fresh: {}", room(&mut fresh()))];
    let position = endpoint(0).position;
    for (name, position, limit) in [
        ("learnt", position, 17.4),
        ("another host's", endpoint(1).position, 17.4),
        ("absurdly much", position, f64::INFINITY),
        ("nothing", position, 0.0),
        ("no number", position, f64::NAN),
    ] {
        let mut router = fresh();
        router.restore_limits(0, vec![LearnedLimit { position, limit }]);
        trace.push(format!("{name}: {}", room(&mut router)));
    }
    let mut old = fresh();
    old.restore_limits(0, vec![LearnedLimit { position, limit: 17.4 }]);
    trace.push(format!("{:?}", old.learned_limits().iter().map(|host| host.limit).collect::<Vec<_>>()));
    expect![[r#"
        fresh: 6
        learnt: 18
        another host's: 6
        absurdly much: 256
        nothing: 1
        no number: 1
        [17.4]"#]]
    .assert_eq(&trace.join("\n"));
}

/// What is out may run: only where trying again is harmless the client is told so. What comes after is turned away, and an op that
/// has its answer gets no other.
#[test]
fn where_the_process_ends_each_open_op_has_its_final_answer() {
    let mut router = router(3);
    let picked = [READ, KEYED, ONCE, READ].map(|class| router.submit(0, ask(class, "k")).0);
    router.attempt_ended(MS, picked[3], AttemptNumber(0), AttemptOutcome::Succeeded);
    router.requests_with_actions();
    router.shut_down(2 * MS);
    let mut trace = vec![format!("rung for {} of 4", router.requests_with_actions().len())];
    trace.extend(picked.map(|request| words(&router.take_actions(request))));
    trace.extend([READ, ONCE].map(|class| words(&router.submit(3 * MS, ask(class, "k")).1)));
    router.shut_down(4 * MS);
    trace.extend(picked.map(|request| {
        words(&router.attempt_ended(5 * MS, request, AttemptNumber(0), AttemptOutcome::Succeeded))
    }));
    expect![[r#"
        rung for 3 of 4
        nack, back in 400; call off 0
        dead letter; call off 0
        dead letter; call off 0
        nothing
        nack, back in 0
        nack, back in 0
        nothing
        nothing
        nothing
        nothing"#]]
    .assert_eq(&trace.join("\n"));
}

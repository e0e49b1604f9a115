//! Tests of the router by traces: the returned actions, the actions in the mailboxes of other
//! requests, and that a request gets one final answer.

mod common;

use basaltwood::policy::SendRefusal;
use basaltwood::router::{NewRequest, RequestAction, Router};
use basaltwood::types::*;
use common::*;
use expect_test::expect;

fn router(hosts: u32) -> Router {
    let mut router = Router::new(&policy_config(), 8);
    router.update_endpoints(0, true, (0..hosts).map(endpoint).collect());
    router
}

fn new_request(class: RequestClassId, key: &str) -> NewRequest {
    let key = Some(RingPosition::of(key));
    NewRequest { class, tenant: None, key, is_write: false, is_retry: false, deadline: 2_000 * MS }
}

fn trace_of(actions: &[RequestAction]) -> String {
    let word = |action: &RequestAction| match action {
        RequestAction::StartAttempt { attempt, host, deadline, .. } => {
            format!("attempt {} to h{} until {}", attempt.0, host.0, deadline / MS)
        }
        RequestAction::CancelAttempt(attempt) => format!("cancel {}", attempt.0),
        RequestAction::Succeed(attempt) => format!("succeed with {}", attempt.0),
        RequestAction::Reject { retry_after, .. } => {
            format!("reject, retry after {}", retry_after.map_or(0, |span| span / MS))
        }
        RequestAction::Fail { .. } => "fail".to_owned(),
    };
    if actions.is_empty() {
        "nothing".to_owned()
    } else {
        actions.iter().map(word).collect::<Vec<_>>().join("; ")
    }
}

#[test]
fn request_with_final_answer_gets_no_second_one() {
    let mut router = router(3);
    let (request, first) = router.submit(0, new_request(READ, "k"));
    let mut trace = vec![trace_of(&first)];
    trace.push(trace_of(&router.attempt_ended(MS, request, AttemptNumber(0), AttemptOutcome::Unreachable)));
    trace.push(trace_of(&router.attempt_ended(2 * MS, request, AttemptNumber(0), AttemptOutcome::Succeeded)));
    trace.push(trace_of(&router.attempt_ended(3 * MS, request, AttemptNumber(7), AttemptOutcome::Succeeded)));
    trace.push(trace_of(&router.attempt_ended(4 * MS, request, AttemptNumber(1), AttemptOutcome::Succeeded)));
    trace.push(trace_of(&router.attempt_ended(5 * MS, request, AttemptNumber(1), AttemptOutcome::Succeeded)));
    trace.push(trace_of(&router.client_gone(6 * MS, request)));
    trace.push(trace_of(&Router::new(&policy_config(), 8).submit(0, new_request(READ, "k")).1));

    expect![[r#"
        attempt 0 to h2 until 798
        attempt 1 to h0 until 798
        nothing
        nothing
        succeed with 1
        nothing
        nothing
        reject, retry after 400"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn client_gone_cancels_attempts_in_flight() {
    let mut router = router(3);
    let (request, _) = router.submit(0, new_request(ONCE, "k"));
    let mut trace =
        vec![trace_of(&router.client_gone(MS, request)), trace_of(&router.client_gone(MS, request))];
    trace.push(trace_of(&router.attempt_ended(2 * MS, request, AttemptNumber(0), AttemptOutcome::Cancelled)));

    expect![[r#"
        cancel 0
        nothing
        nothing"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn timer_decisions_wait_in_request_mailboxes() {
    let mut router = router(3);
    let requests: Vec<RequestId> = (0..3).map(|_| router.submit(0, new_request(READ, "k")).0).collect();

    assert_eq!(router.requests_with_actions(), vec![]);
    let mut due = router.tick(0);
    let mut with_actions = Vec::new();
    // The home does not answer, so it is suspected after some sweeps.
    while let Some(now) = due.filter(|&now| now < 700 * MS && with_actions.is_empty()) {
        due = router.tick(now);
        with_actions = router.requests_with_actions();
    }
    let mut trace = vec![format!("actions for {} of {}", with_actions.len(), requests.len())];
    trace.extend(requests.iter().map(|&request| trace_of(&router.take_actions(request))));
    trace.push(trace_of(&router.take_actions(requests[0])));

    expect![[r#"
        actions for 3 of 3
        attempt 1 to h0 until 798
        attempt 1 to h0 until 798
        attempt 1 to h0 until 798
        nothing"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn submit_past_the_open_request_limit_is_rejected() {
    let mut router = Router::new(&policy_config(), 2);
    router.update_endpoints(0, true, vec![endpoint(0)]);
    let submitted: Vec<_> = (0..3).map(|_| router.submit(0, new_request(READ, "k"))).collect();
    let mut trace: Vec<String> = submitted.iter().map(|(_, actions)| trace_of(actions)).collect();
    trace.push(trace_of(&router.attempt_ended(
        MS,
        submitted[0].0,
        AttemptNumber(0),
        AttemptOutcome::Succeeded,
    )));
    trace.push(trace_of(&router.submit(MS, new_request(READ, "k")).1));

    expect![[r#"
        attempt 0 to h0 until 798
        attempt 0 to h0 until 798
        reject, retry after 0
        succeed with 0
        attempt 0 to h0 until 799"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn host_number_is_released_once_no_open_request_names_it() {
    let mut router = router(2);
    let (request, _) = router.submit(0, new_request(READ, "k"));
    let gone = |host: u32| Endpoint { lifecycle: Lifecycle::Gone, ..endpoint(host) };
    router.update_endpoints(MS, false, vec![gone(0), gone(1)]);
    let mut trace = vec![format!("with an open request: {:?}", router.released_hosts())];
    router.attempt_ended(50 * MS, request, AttemptNumber(0), AttemptOutcome::Succeeded);
    trace.push(format!("after it: {:?}", router.released_hosts()));
    // The released numbers are reused for hosts with other names, which are home to other keys.
    let renamed = |host: u32, name: u32| Endpoint { host: HostId(host), ..endpoint(name) };
    router.update_endpoints(60 * MS, false, vec![renamed(0, 7), renamed(1, 8)]);
    trace.push(format!("after reuse: {:?}", router.released_hosts()));
    let mut fresh = Router::new(&policy_config(), 100);
    fresh.update_endpoints(0, true, vec![renamed(0, 7), renamed(1, 8)]);
    let home = |router: &mut Router, nth: u32| {
        let (request, actions) = router.submit(70 * MS, new_request(READ, &format!("key-{nth}")));
        router.attempt_ended(80 * MS, request, AttemptNumber(0), AttemptOutcome::Succeeded);
        trace_of(&actions)
    };
    let same = (0..60).filter(|&nth| home(&mut router, nth) == home(&mut fresh, nth)).count();
    trace.push(format!("{same} of 60 keys at the homes by the new names"));

    expect![[r#"
        with an open request: [HostId(1)]
        after it: [HostId(0), HostId(1)]
        after reuse: []
        60 of 60 keys at the homes by the new names"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn learned_limits_restored_are_applied_by_successor_process() {
    // The number of attempts that start at a single host before the first rejection, for a class
    // that may fill the whole limit.
    let admitted_at_once = |router: &mut Router| {
        (0..)
            .take_while(|nth| {
                let actions = router.submit(0, new_request(ONCE, &format!("k{nth}"))).1;
                matches!(actions[..], [RequestAction::StartAttempt { .. }])
            })
            .count()
    };
    let fresh = || {
        let mut router = Router::new(&policy_config(), 1_000);
        router.update_endpoints(0, true, vec![endpoint(0)]);
        router
    };
    let mut trace = vec![format!("fresh: {}", admitted_at_once(&mut fresh()))];
    let position = endpoint(0).position;
    for (name, position, limit) in [
        ("learned", position, 17.4),
        ("another host's", endpoint(1).position, 17.4),
        ("infinite", position, f64::INFINITY),
        ("zero", position, 0.0),
        ("not a number", position, f64::NAN),
    ] {
        let mut router = fresh();
        router.restore_limits(0, vec![LearnedLimit { position, limit }]);
        trace.push(format!("{name}: {}", admitted_at_once(&mut router)));
    }
    let mut old = fresh();
    old.restore_limits(0, vec![LearnedLimit { position, limit: 17.4 }]);
    trace.push(format!("{:?}", old.learned_limits().iter().map(|host| host.limit).collect::<Vec<_>>()));

    expect![[r#"
        fresh: 6
        learned: 18
        another host's: 6
        infinite: 256
        zero: 1
        not a number: 1
        [17.4]"#]]
    .assert_eq(&trace.join("\n"));
}

/// Attempts in flight may have run, so requests are rejected only if trying again is harmless and
/// fail otherwise. Later requests are rejected, and no request gets a second final answer.
#[test]
fn shutdown_gives_each_open_request_its_final_answer() {
    let mut router = router(3);
    let submitted = [READ, KEYED, ONCE, READ].map(|class| router.submit(0, new_request(class, "k")).0);
    router.attempt_ended(MS, submitted[3], AttemptNumber(0), AttemptOutcome::Succeeded);
    router.requests_with_actions();
    router.shut_down(2 * MS);
    let mut trace = vec![format!("actions for {} of 4", router.requests_with_actions().len())];
    trace.extend(submitted.map(|request| trace_of(&router.take_actions(request))));
    trace.extend([READ, ONCE].map(|class| trace_of(&router.submit(3 * MS, new_request(class, "k")).1)));
    router.shut_down(4 * MS);
    trace.extend(submitted.map(|request| {
        trace_of(&router.attempt_ended(5 * MS, request, AttemptNumber(0), AttemptOutcome::Succeeded))
    }));

    expect![[r#"
        actions for 3 of 4
        reject, retry after 400; cancel 0
        fail; cancel 0
        fail; cancel 0
        nothing
        reject, retry after 0
        reject, retry after 0
        nothing
        nothing
        nothing
        nothing"#]]
    .assert_eq(&trace.join("\n"));
}

/// Attempts wait for their connections while their warm host restarts: they are counted in its
/// slow-start budget when they are sent.
#[test]
fn attempts_that_waited_while_their_host_restarted_count_against_its_slow_start() {
    let mut router = Router::new(&policy_config(), 100);
    let mut hosts: Vec<Endpoint> = (0..3).map(endpoint).collect();
    router.update_endpoints(0, true, hosts.clone());
    let mut waiting = Vec::new();
    for nth in 0..40 {
        let (request, actions) = router.submit(MS, new_request(READ, &format!("k{nth}")));
        if let [RequestAction::StartAttempt { attempt, host, .. }] = actions[..] {
            waiting.push((AttemptKey { request, number: attempt }, host));
        }
    }
    let restarted = waiting[0].1;
    hosts[restarted.index()].started_at = Some(20 * MS);
    router.update_endpoints(20 * MS, false, vec![hosts[restarted.index()].clone()]);

    let mut outcomes = [0, 0, 0];
    for (attempt, host) in waiting {
        match router.permit_send(21 * MS, attempt, true) {
            Ok(_) if host == restarted => outcomes[0] += 1,
            Err(refusal) => {
                assert_eq!((host, refusal), (restarted, SendRefusal::SlowStartBudget));
                outcomes[1] += 1;
            }
            Ok(_) => outcomes[2] += 1,
        }
    }
    let [sent, refused, elsewhere] = outcomes;
    assert!(refused > 0, "{sent} sent to the host that restarted, {refused} refused");
    assert!(elsewhere > 0 && sent < refused + sent, "{elsewhere} sent to others");
}

/// After a connection fault the host is no longer among the tried ones, as it may be tried again.
/// The request may have run there, however, so the host's number must not be reused.
#[test]
fn host_number_is_kept_while_a_request_may_have_run_there() {
    let mut router = router(4);
    let (request, actions) = router.submit(0, new_request(KEYED, "k"));
    let [RequestAction::StartAttempt { attempt, host, .. }] = actions[..] else { panic!("{actions:?}") };
    let listed = |lifecycle| vec![Endpoint { lifecycle, ..endpoint(host.0) }];
    router.update_endpoints(MS, false, listed(Lifecycle::Draining));
    let last = router.attempt_ended(2 * MS, request, attempt, AttemptOutcome::ConnectionFault);
    router.update_endpoints(3 * MS, false, listed(Lifecycle::Gone));

    assert!(
        matches!(last[..], [RequestAction::StartAttempt { .. }]),
        "the request is not sent to another host: {last:?}"
    );
    assert!(!router.released_hosts().contains(&host));
}

/// The request is answered after its deadline even if its attempt does not end.
#[test]
fn overdue_request_gets_its_final_answer_at_the_next_tick() {
    let mut router = router(3);
    let (request, _) = router.submit(0, NewRequest { deadline: 300 * MS, ..new_request(ONCE, "k") });
    router.tick(340 * MS);
    let mut trace = vec![trace_of(&router.take_actions(request))];
    router.tick(360 * MS);
    trace.push(trace_of(&router.take_actions(request)));
    trace.push(trace_of(&router.attempt_ended(
        400 * MS,
        request,
        AttemptNumber(0),
        AttemptOutcome::Succeeded,
    )));

    expect![[r#"
        nothing
        fail; cancel 0
        nothing"#]]
    .assert_eq(&trace.join("\n"));
}

/// A process whose event loop is late rejects new requests, which is harmless, and accepts them
/// again without further action once it has caught up.
#[test]
fn late_event_loop_rejects_new_requests_until_it_has_caught_up() {
    let mut router = router(3);
    let mut trace = Vec::new();
    for lag in [150 * MS, 250 * MS, 0] {
        router.set_loop_lag(lag);
        trace.push(trace_of(&router.submit(0, new_request(ONCE, "k")).1));
    }

    expect![[r#"
        attempt 0 to h2 until 798
        reject, retry after 400
        attempt 0 to h2 until 798"#]]
    .assert_eq(&trace.join("\n"));
}

//! Each check of the audit finds its breach: a misbehaving router takes the balancer's place. An
//! honest router commits no breach.

mod common;

use std::thread;

use basaltwood_testbed::audit::{audit, AuditSettings, Rule};
use basaltwood_testbed::experiment::{Category, DeduplicationScope, Experiment};
use basaltwood_testbed::ledger::{EndpointStatus, Event, HostNo, Observation, Reply, RequestId};
use basaltwood_testbed::time::{Micros, MS, SECOND};
use common::*;
use expect_test::expect;

#[test]
fn each_breach_of_a_misbehaving_router_is_found_and_none_of_an_honest_one() {
    let without_faults = experiment("seconds = 2.0", "[load]\nrate = 150");
    let with_drain = experiment(
        "seconds = 2.0",
        "[load]\nrate = 150\n[[faults]]\nkind = \"drain\"\nhosts = [1]\nfrom_s = 0.3\nto_s = 1.9",
    );
    type Case<'a> = (Option<&'a str>, &'a Experiment, Option<(Rule, &'a str)>);
    let cases: [Case; 13] = [
        (None, &without_faults, None),
        (None, &with_drain, None),
        (Some("forget"), &without_faults, Some((Rule::Answered, "got no answer"))),
        (Some("late"), &without_faults, Some((Rule::Answered, "too late"))),
        (Some("twice"), &without_faults, Some((Rule::Answered, "a second time"))),
        (Some("foreign"), &without_faults, Some((Rule::Answered, "made for another"))),
        (Some("forge"), &without_faults, Some((Rule::Answered, "no host made"))),
        (Some("cut"), &without_faults, Some((Rule::Answered, "ended the connection"))),
        (Some("after"), &without_faults, Some((Rule::Answered, "after its end"))),
        (Some("again"), &without_faults, Some((Rule::Once, "sent to origin again"))),
        (Some("deny"), &without_faults, Some((Rule::Once, "nacked though it may have run"))),
        (Some("drain"), &with_drain, Some((Rule::Drain, "after its drain"))),
        // This router never calls discovery, but counts as informed of the drain.
        (Some("deaf"), &with_drain, Some((Rule::Drain, "after its drain"))),
    ];
    thread::scope(|scope| {
        for (fault, experiment, expected) in cases {
            scope.spawn(move || {
                let run = played(experiment, &router("random", fault));
                assert!(
                    run.figures.requests > 200 && run.figures.failed < 20,
                    "{fault:?}: {:?}",
                    run.figures
                );
                let found = breaches(&run);
                match expected {
                    None => assert!(found.is_empty(), "{fault:?}: {found:#?}"),
                    Some((rule, text)) => {
                        let of_kind = |breach: &&basaltwood_testbed::audit::Breach| {
                            breach.rule == rule && breach.what.contains(text)
                        };
                        let breach = run.breaches.iter().find(of_kind);
                        let breach = breach.unwrap_or_else(|| panic!("{fault:?}: no {text:?} in {found:#?}"));
                        assert!(!breach.around.is_empty(), "{fault:?}: nothing around {breach}");
                    }
                }
            });
        }
    });
}

#[test]
fn warming_host_overloaded_is_a_breach_of_the_router() {
    // A new host gets a third of the reads at once, more than its limit of 16 ms of work per
    // second.
    let experiment = experiment(
        "seconds = 2.5",
        "[load]\nrate = 300\n[cold]\nfrom = 0.05\nmultiple = 0.02\nwindow_ms = 500\n\
         [[faults]]\nkind = \"grow\"\nhosts = 1\nfrom_s = 0.3",
    );
    let run = played(&experiment, &router("random", None));
    let breach = run.breaches.iter().find(|breach| breach.rule == Rule::Cold);
    assert!(
        breach.is_some_and(|breach| breach.what == "host 2 was pushed over while it was cold"),
        "{:?}",
        run.breaches
    );
}

const A: RequestId = RequestId(10);

/// Audits one request of a class, given the observations after it was sent, each with its
/// millisecond.
fn audit_request(
    category: &str,
    group: DeduplicationScope,
    observations: &[(Micros, Observation)],
) -> String {
    let experiment = experiment("seconds = 1.0", "[load]\nrate = 1");
    let nth = experiment.categories.iter().position(|other| other.name == category).expect("a category");
    let mut categories = experiment.categories;
    categories[nth].deduplication_scope = group;
    let sent = Observation::RequestSent { id: A, balancer: 0, category: nth, until: 2 * SECOND };
    let mut events = vec![Event { at: 0, observation: sent }];
    events.extend(
        observations.iter().map(|(at, observation)| Event { at: at * MS, observation: observation.clone() }),
    );
    findings(&events, &categories)
}

fn findings(events: &[Event], categories: &[Category]) -> String {
    let settings = AuditSettings { categories, zones: 2, grace: SECOND, slack: 50 * MS };
    let found: Vec<String> = audit(events, &settings).iter().map(ToString::to_string).collect();
    if found.is_empty() {
        "nothing".to_owned()
    } else {
        found.join("\n")
    }
}

fn received(at: Micros, host: u32) -> (Micros, Observation) {
    (at, Observation::AttemptReceived { id: A, host: HostNo(host), balancer: 0, began: at * MS })
}

fn executed(at: Micros, host: u32, effect: bool) -> (Micros, Observation) {
    (at, Observation::Executed { id: A, host: HostNo(host), effect })
}

fn rejected(at: Micros, host: u32) -> (Micros, Observation) {
    (at, Observation::AttemptRejected { id: A, host: HostNo(host) })
}

fn answered(at: Micros, answer: Reply) -> (Micros, Observation) {
    (at, Observation::ReplyReceived { id: A, answer })
}

#[test]
fn retry_is_a_breach_unless_earlier_attempts_are_known_not_to_have_run() {
    let served = || answered(90, Reply::Served { own: true });
    let mut trace = Vec::new();
    let mut note = |title: &str, verdict: String| trace.push(format!("{title}: {verdict}"));
    let twice = [received(10, 0), rejected(20, 0), received(30, 1), executed(40, 1, true), served()];
    note("once, rejected first", audit_request("once", DeduplicationScope::All, &twice));
    let sent_in_doubt = [received(10, 0), received(30, 1), executed(40, 1, true), served()];
    note("once, sent again in doubt", audit_request("once", DeduplicationScope::All, &sent_in_doubt));
    let both = [received(10, 0), executed(20, 0, true), received(30, 1), executed(40, 1, true), served()];
    note("once, ran twice", audit_request("once", DeduplicationScope::All, &both));
    let rejected_while_open = [received(10, 0), answered(30, Reply::Busy)];
    note("once, rejected in doubt", audit_request("once", DeduplicationScope::All, &rejected_while_open));
    note(
        "put, rejected in doubt, one group",
        audit_request("put", DeduplicationScope::All, &rejected_while_open),
    );
    note(
        "put, rejected in doubt, zones",
        audit_request("put", DeduplicationScope::Zone, &rejected_while_open),
    );
    let same = [received(10, 0), received(30, 2), executed(40, 2, true), executed(45, 0, false), served()];
    note("put, same zone", audit_request("put", DeduplicationScope::Zone, &same));
    note("put, other zone", audit_request("put", DeduplicationScope::Zone, &sent_in_doubt));
    note(
        "put, same cell",
        audit_request(
            "put",
            DeduplicationScope::Cell,
            &[received(10, 3), received(30, 3), executed(40, 3, true), served()],
        ),
    );
    expect![[r#"
        once, rejected first: nothing
        once, sent again in doubt: rule 2 at 0.030 s: at-most-once op 000000000000000a was sent to host 1 again while an earlier push may have run
        once, ran twice: rule 2 at 0.030 s: at-most-once op 000000000000000a was sent to host 1 again while an earlier push may have run
        rule 2 at 0.030 s: at-most-once op 000000000000000a took effect 2 times
        once, rejected in doubt: rule 2 at 0.030 s: at-most-once op 000000000000000a was nacked though it may have run
        put, rejected in doubt, one group: nothing
        put, rejected in doubt, zones: rule 2 at 0.030 s: deduplicated op 000000000000000a was nacked though it may have run in one group
        put, same zone: nothing
        put, other zone: rule 2 at 0.030 s: deduplicated op 000000000000000a left its group: host 0, then host 1
        put, same cell: nothing"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn late_retry_origin_overload_and_closed_connection_are_breaches_but_not_after_a_kill() {
    let late = [received(10, 0), received(5_200, 0), executed(5_300, 0, true)];
    let late = audit_request("put", DeduplicationScope::All, &late);
    let origin = |by_cold_misses| {
        let overloaded = Observation::Overloaded { host: HostNo::ORIGIN, cold: false, by_cold_misses };
        audit_request("read", DeduplicationScope::All, &[(10, overloaded), answered(20, Reply::Failed)])
    };
    let cut = (500, Observation::ConnectionClosed { id: A });
    let killed = (490, Observation::BalancerProcess { balancer: 0, up: false });
    let trace = [
        late,
        origin(false),
        origin(true),
        audit_request("read", DeduplicationScope::All, std::slice::from_ref(&cut)),
        audit_request("read", DeduplicationScope::All, &[killed, cut]),
        audit_request("read", DeduplicationScope::All, &[(2_400, Observation::Unanswered { id: A })]),
    ];
    expect![[r#"
        rule 1 at 5.200 s: op 000000000000000a went to host 0 3200.0 ms after its end
        rule 2 at 5.200 s: deduplicated op 000000000000000a was sent again past its window
        nothing
        rule 4 at 0.010 s: the origin was pushed over by misses at cold hosts
        rule 1 at 0.500 s: balancer 0 ended the connection over op 000000000000000a
        nothing
        rule 1 at 2.000 s: op 000000000000000a got no answer from balancer 0"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn observations_are_stored_in_the_words_of_earlier_results() {
    let host = HostNo(3);
    let observations = [
        Observation::RequestSent { id: A, balancer: 0, category: 1, until: 5 },
        Observation::ReplyReceived { id: A, answer: Reply::Served { own: true } },
        Observation::ReplyReceived { id: A, answer: Reply::Busy },
        Observation::ClientLeft { id: A },
        Observation::ConnectionClosed { id: A },
        Observation::Unanswered { id: A },
        Observation::UnsolicitedReply { balancer: 0 },
        Observation::AttemptReceived { id: A, host, balancer: 0, began: 4 },
        Observation::AttemptRejected { id: A, host },
        Observation::KeyMissing { id: A, host },
        Observation::Executed { id: A, host, effect: true },
        Observation::StatusAnnounced { balancer: 0, host, status: EndpointStatus::Active },
        Observation::AnnouncementDue { balancer: 0, host, status: EndpointStatus::Leaving },
        Observation::Overloaded { host, cold: true, by_cold_misses: false },
        Observation::BalancerProcess { balancer: 0, up: false },
        Observation::FaultBoundary { text: "hang".to_owned(), begins: true },
    ];
    let stored: Vec<String> = observations.iter().map(ToString::to_string).collect();
    expect![[r#"
        Asked { id: Id(10), balancer: 0, category: 1, until: 5 }
        Answered { id: Id(10), answer: Served { own: true } }
        Answered { id: Id(10), answer: Busy }
        Left { id: Id(10) }
        Cut { id: Id(10) }
        Unanswered { id: Id(10) }
        Stray { balancer: 0 }
        Pushed { id: Id(10), host: HostNo(3), balancer: 0, began: 4 }
        Turned { id: Id(10), host: HostNo(3) }
        Missed { id: Id(10), host: HostNo(3) }
        Ran { id: Id(10), host: HostNo(3), effect: true }
        Told { balancer: 0, host: HostNo(3), standing: Up }
        Due { balancer: 0, host: HostNo(3), standing: Leaving }
        Fell { host: HostNo(3), cold: true, by_cold_misses: false }
        Balancer { balancer: 0, up: false }
        Edge { text: "hang", begins: true }"#]]
    .assert_eq(&stored.join("\n"));
}

//! The facade, as traces: what it answers, what lies in other ops' mailboxes, and that an op ends once.

mod common;

use basaltwood::router::{Ask, Decision, Facade};
use basaltwood::types::*;
use common::*;
use expect_test::expect;

fn facade(hosts: u32) -> Facade {
    let mut facade = Facade::new(&terms(), 8);
    facade.list(0, true, (0..hosts).map(listed).collect());
    facade
}

fn ask(category: CategoryId, key: &str) -> Ask {
    let key = Some(Place::of(key));
    Ask { category, customer: None, key, write: false, again: false, ttl_at: 2_000 * MS }
}

fn words(decisions: &[Decision]) -> String {
    let word = |decision: &Decision| match decision {
        Decision::Push { push, host, until } => {
            format!("push {} to h{} until {}", push.0, host.0, until / MS)
        }
        Decision::CallOff(push) => format!("call off {}", push.0),
        Decision::Ack(push) => format!("ack with {}", push.0),
        Decision::Nack { come_back } => format!("nack, back in {}", come_back.map_or(0, |span| span / MS)),
        Decision::DeadLetter => "dead letter".to_owned(),
    };
    if decisions.is_empty() {
        "nothing".to_owned()
    } else {
        decisions.iter().map(word).collect::<Vec<_>>().join("; ")
    }
}

#[test]
fn an_op_ends_once_whatever_is_reported_after() {
    let mut facade = facade(3);
    let (op, first) = facade.pick(0, ask(READ, "k"));
    let mut trace = vec![words(&first)];
    trace.push(words(&facade.report(MS, op, PushNo(0), End::Unreachable)));
    trace.push(words(&facade.report(2 * MS, op, PushNo(0), End::Acked)));
    trace.push(words(&facade.report(3 * MS, op, PushNo(7), End::Acked)));
    trace.push(words(&facade.report(4 * MS, op, PushNo(1), End::Acked)));
    trace.push(words(&facade.report(5 * MS, op, PushNo(1), End::Acked)));
    trace.push(words(&facade.dropped(6 * MS, op)));
    trace.push(words(&Facade::new(&terms(), 8).pick(0, ask(READ, "k")).1));
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
    let mut facade = facade(3);
    let (op, _) = facade.pick(0, ask(ONCE, "k"));
    let mut trace = vec![words(&facade.dropped(MS, op)), words(&facade.dropped(MS, op))];
    trace.push(words(&facade.report(2 * MS, op, PushNo(0), End::CalledOff)));
    expect![[r#"
        call off 0
        nothing
        nothing"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn what_a_timer_decides_lies_in_the_mailboxes_of_the_ops() {
    let mut facade = facade(3);
    let ops: Vec<OpId> = (0..3).map(|_| facade.pick(0, ask(READ, "k")).0).collect();
    assert_eq!(facade.rung(), vec![]);
    let mut due = facade.tick(0);
    let mut rung = Vec::new();
    // The home does not answer; sooner or later that is held against it.
    while let Some(now) = due.filter(|&now| now < 700 * MS && rung.is_empty()) {
        due = facade.tick(now);
        rung = facade.rung();
    }
    let mut trace = vec![format!("rung for {} of {}", rung.len(), ops.len())];
    trace.extend(ops.iter().map(|&op| words(&facade.mail(op))));
    trace.push(words(&facade.mail(ops[0])));
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
    let mut facade = Facade::new(&terms(), 2);
    facade.list(0, true, vec![listed(0)]);
    let picked: Vec<_> = (0..3).map(|_| facade.pick(0, ask(READ, "k"))).collect();
    let mut trace: Vec<String> = picked.iter().map(|(_, decisions)| words(decisions)).collect();
    trace.push(words(&facade.report(MS, picked[0].0, PushNo(0), End::Acked)));
    trace.push(words(&facade.pick(MS, ask(READ, "k")).1));
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
    let mut facade = facade(2);
    let (op, _) = facade.pick(0, ask(READ, "k"));
    let gone = |host: u32| Listed { lifecycle: Lifecycle::Gone, ..listed(host) };
    facade.list(MS, false, vec![gone(0), gone(1)]);
    let mut trace = vec![format!("an op open there: {:?}", facade.free())];
    facade.report(50 * MS, op, PushNo(0), End::Acked);
    trace.push(format!("then: {:?}", facade.free()));
    // Under the old numbers, but with other names and so with other keys.
    let renamed = |host: u32, name: u32| Listed { host: HostId(host), ..listed(name) };
    facade.list(60 * MS, false, vec![renamed(0, 7), renamed(1, 8)]);
    trace.push(format!("listed anew: {:?}", facade.free()));
    let mut fresh = Facade::new(&terms(), 100);
    fresh.list(0, true, vec![renamed(0, 7), renamed(1, 8)]);
    let home = |facade: &mut Facade, nth: u32| {
        let (op, decisions) = facade.pick(70 * MS, ask(READ, &format!("key-{nth}")));
        facade.report(80 * MS, op, PushNo(0), End::Acked);
        words(&decisions)
    };
    let same = (0..60).filter(|&nth| home(&mut facade, nth) == home(&mut fresh, nth)).count();
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
    let room = |facade: &mut Facade| {
        (0..)
            .take_while(|nth| {
                let decisions = facade.pick(0, ask(ONCE, &format!("k{nth}"))).1;
                matches!(decisions[..], [Decision::Push { .. }])
            })
            .count()
    };
    let fresh = || {
        let mut facade = Facade::new(&terms(), 1_000);
        facade.list(0, true, vec![listed(0)]);
        facade
    };
    let mut trace = vec![format!("fresh: {}", room(&mut fresh()))];
    let place = listed(0).place;
    for (name, place, limit) in [
        ("learnt", place, 17.4),
        ("another host's", listed(1).place, 17.4),
        ("absurdly much", place, f64::INFINITY),
        ("nothing", place, 0.0),
        ("no number", place, f64::NAN),
    ] {
        let mut facade = fresh();
        facade.recall(0, vec![Learnt { place, room: limit }]);
        trace.push(format!("{name}: {}", room(&mut facade)));
    }
    let mut old = fresh();
    old.recall(0, vec![Learnt { place, room: 17.4 }]);
    trace.push(format!("{:?}", old.learnt().iter().map(|host| host.room).collect::<Vec<_>>()));
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
    let mut facade = facade(3);
    let picked = [READ, KEYED, ONCE, READ].map(|category| facade.pick(0, ask(category, "k")).0);
    facade.report(MS, picked[3], PushNo(0), End::Acked);
    facade.rung();
    facade.end(2 * MS);
    let mut trace = vec![format!("rung for {} of 4", facade.rung().len())];
    trace.extend(picked.map(|op| words(&facade.mail(op))));
    trace.extend([READ, ONCE].map(|category| words(&facade.pick(3 * MS, ask(category, "k")).1)));
    facade.end(4 * MS);
    trace.extend(picked.map(|op| words(&facade.report(5 * MS, op, PushNo(0), End::Acked))));
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

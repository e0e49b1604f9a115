//! Replies to batches.

use basaltwood_adapter::Adapter;
use expect_test::expect;

const SETTINGS: &str = r#"{
    "categories": [{"name": "read", "targetLatencyMs": 300.0, "ttlMs": 900.0, "semantics": "retryable"}],
    "invariants": {"coldFrom": 0.2, "warmWithinMs": 9000.0, "tipMultiple": 3.0, "tipAfterMs": 3000.0},
    "limits": {"maxPushes": 4},
    "someday": 1
}"#;

const LIST_OF_A: &str = r#"{"type":"MANIFEST","table":0,"elements":[{"host":"a","lifecycle":"up"}]}"#;
const LIST_OF_B: &str =
    r#"{"type":"MANIFEST","table":0,"elements":[{"host":"b é","lifecycle":"up","news":[1]}]}"#;
const ALL_OF_THE_LIST: &str = r#"{"type":"UPDATE","scope":"all","revision":2,"table":0}"#;
const REMEMBERED_LIST: &str = r#"{"type":"UPDATE","scope":"remembered","revision":1,"table":0}"#;
const REQUEST: &str = concat!(
    r#"{"type":"DEMAND","ticket":"t/1","lane":"read","routeKey":"k","#,
    r#""dropDeadMs":105.25,"bits":null}"#
);
const FIRST_BYTE: &str = r#"{"type":"FIRST_BYTE","ticket":"t/1","hop":0,"host":"b é","waitTimeMs":9.0}"#;

fn finished(ticket: &str, rc: &str, host: &str) -> String {
    format!(
        concat!(
            r#"{{"type":"FINISHED","ticket":"{}","hop":0,"waitTimeMs":40.0,"#,
            r#""rc":"{}","over":true,"host":"{}"}}"#
        ),
        ticket, rc, host
    )
}

fn batch(events: &[&str]) -> String {
    format!(r#"{{"timeMs":5.5,"parts":[{{"who":3,"events":[{}]}}]}}"#, events.join(","))
}

fn spawn(settings: &str) -> String {
    let event = format!(r#"{{"type":"SPAWN","initSeed":7,"info":{settings}}}"#);
    batch(&[&event.replace('\n', "")])
}

/// The replies to the start of a balancer and to a batch of these events, with a line per message.
fn replies(events: &[&str]) -> String {
    let mut adapter = Adapter::default();
    let replies = [spawn(SETTINGS), batch(events)].map(|line| reply(&mut adapter, &line));
    replies.join("\n")
}

/// The reply to a batch, with a line per message.
fn reply(adapter: &mut Adapter, line: &str) -> String {
    match adapter.batch(line) {
        Ok(reply) => {
            reply.replace(r#"{"type""#, "\n  {\"type\"").replace(r#"{"bodyText""#, "\n  {\"bodyText\"")
        }
        Err(error) => format!("ends: {error}"),
    }
}

#[test]
fn reused_list_number_replaces_the_list_and_unknown_events_are_skipped() {
    let replies = replies(&[
        LIST_OF_A,
        REMEMBERED_LIST,
        LIST_OF_B,
        ALL_OF_THE_LIST,
        r#"{"type":"WEATHER","sky":"blue"}"#,
        REQUEST,
        r#"{"type":"DETACH"}"#,
        r#"{"type":"DROPPED","ticket":"t/1"}"#,
    ]);
    expect![[r#"
        {"parts":[]}
        {"parts":[{"who":3,"outbox":[
          {"type":"WAKE_AT","sleepForMs":50.000,"ctx":"sweep"},
          {"type":"HAND_OFF","ticket":"t/1","host":"b é","timeoutMs":99.750}]}]}"#]]
    .assert_eq(&replies);
}

/// The first byte of a response ends the attempt for the policy, so that a later failure causes no
/// retry or cancellation. The request stays known until its last attempt ends for the simulator.
#[test]
fn streamed_response_ends_at_its_first_byte_and_is_forgotten_at_its_end() {
    let begun = [LIST_OF_B, ALL_OF_THE_LIST, REQUEST, FIRST_BYTE];
    let end = finished("t/1", "broken", "b é");

    let ended_once = replies(&[&begun[..], &[&end]].concat());
    let ended_twice = replies(&[&begun[..], &[&end, &end]].concat());

    expect![[r#"
        {"parts":[]}
        {"parts":[{"who":3,"outbox":[
          {"type":"WAKE_AT","sleepForMs":50.000,"ctx":"sweep"},
          {"type":"HAND_OFF","ticket":"t/1","host":"b é","timeoutMs":99.750}]}]}"#]]
    .assert_eq(&ended_once);
    expect![[r#"
        {"parts":[]}
        ends: part 0, event 5: request t/1 is not open"#]]
    .assert_eq(&ended_twice);
}

#[test]
fn peer_messages_and_probe_results_are_counted_and_ignored() {
    // Given
    let long = "x".repeat(2_000);
    let messages = [
        r#"{"type":"PEER_DATA","neighbour":2,"contents":"hi 7"}"#.to_owned(),
        r#"{"type":"PEER_DATA","neighbour":2,"contents":"hi 7"}"#.to_owned(),
        r#"{"type":"PEER_DATA","neighbour":-1,"contents":"9\u0000é"}"#.to_owned(),
        format!(r#"{{"type":"PEER_DATA","neighbour":2,"contents":"{long}"}}"#),
        r#"{"type":"PEER_DATA"}"#.to_owned(),
        r#"{"type":"STATUS_BACK","rc":"timed_out","host":"nobody","waitTimeMs":75.0,"stats":null}"#
            .to_owned(),
        r#"{"type":"STATUS_BACK","rc":"success","host":"a","waitTimeMs":1.0,"stats":{"util":-7}}"#.to_owned(),
    ];
    let messages: Vec<&str> = messages.iter().map(String::as_str).collect();
    let list_of_two = concat!(
        r#"{"type":"MANIFEST","table":0,"elements":[{"host":"a","lifecycle":"up"},"#,
        r#"{"host":"b","lifecycle":"up"}]}"#
    );
    let list = [list_of_two, REMEMBERED_LIST];

    // When
    let with_messages = replies(&[&list[..], &messages, &[REQUEST]].concat());
    let without_messages = replies(&[&list[..], &[REQUEST]].concat());

    // Then
    assert_eq!(with_messages, without_messages);
    let mut adapter = Adapter::default();
    assert_eq!(adapter.batch(&batch(&messages)).expect("a reply"), r#"{"parts":[]}"#);
    assert_eq!(adapter.ignored_messages(), messages.len() as u64);
}

#[test]
fn malformed_input_is_an_error_with_the_cause() {
    let lines = [
        reply(&mut Adapter::default(), "{nonsense"),
        replies(&[r#"{"type":"DEMAND","ticket":"t/1"}"#]),
        replies(&[&finished("t/9", "success", "a")]),
        replies(&[LIST_OF_B, ALL_OF_THE_LIST, REQUEST, &finished("t/1", "success", "z")]),
        replies(&[r#"{"type":"UPDATE","scope":"all","revision":1,"table":9}"#]),
        replies(&[r#"{"type":"TICK_DUE","ctx":"noon"}"#]),
        replies(&[&REQUEST.replace("read", "write")]),
    ];
    expect![[r#"
        ends: key must be a string at line 1 column 2
        {"parts":[]}
        ends: part 0, event 0: missing field `lane`
        {"parts":[]}
        ends: part 0, event 0: request t/9 is not open
        {"parts":[]}
        ends: part 0, event 3: unknown host z
        {"parts":[]}
        ends: part 0, event 0: endpoint update without a list that was received
        {"parts":[]}
        ends: part 0, event 0: unknown timer noon, expected sweep or watch
        {"parts":[]}
        ends: part 0, event 0: unknown category write"#]]
    .assert_eq(&lines.join("\n"));
}

/// A balancer whose settings can't be used does not start; the simulator gets the text of the
/// error.
#[test]
fn invalid_settings_are_answered_with_the_cause() {
    let mut lines = Vec::new();
    for (part, replacement) in [
        (r#"{"name": "read", "targetLatencyMs": 300.0, "ttlMs": 900.0, "semantics": "retryable"}"#, ""),
        (r#""someday": 1"#, r#""objectiveMix": {"keptPromises": 1.5}"#),
        (r#""someday": 1"#, r#""objectiveMix": {"tailMiss": -0.5}"#),
        (r#""someday": 1"#, r#""costs": {"push": -1}"#),
        (r#""someday": 1"#, r#""report": {"source": "daily"}"#),
        (r#""someday": 1"#, r#""tickMs": -1"#),
        (r#""maxPushes": 4"#, r#""maxPushes": 4, "retryAfter": true, "maxRetryAfterMs": 1e11"#),
        ("9000.0", "-1"),
        ("3000.0", "1e10"),
        ("300.0", "-1"),
        ("retryable", "odd"),
        ("retryable", "dedup"),
    ] {
        let settings = SETTINGS.replacen(part, replacement, 1);
        assert_ne!(settings, SETTINGS);
        lines.push(reply(&mut Adapter::default(), &spawn(&settings)));
    }
    expect![[r#"
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"categories is empty: define at least one category","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"objectiveMix.keptPromises is 1.5: expected a number from 0 to 1","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"objectiveMix.tailMiss is -0.5: expected a number from 0 to 1","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"costs.push is -1.0: expected 0 or more and below 1e10, or leave it out for none","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"report.source is daily: expected inline, on_probe or off","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"tickMs: a duration is -1.0 ms, expected 0 or more and below 1e10","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"maxRetryAfterMs: a duration is 100000000000.0 ms, expected 0 or more and below 1e10","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"warmWithinMs: a duration is -1.0 ms, expected 0 or more and below 1e10","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"tipAfterMs: a duration is 10000000000.0 ms, expected 0 or more and below 1e10","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"read: a duration is -1.0 ms, expected 0 or more and below 1e10","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"category read: semantics is odd, expected retryable, fragile or dedup","type":"BROKEN"}]}]}
        {"parts":[{"who":3,"outbox":[
          {"bodyText":"category read: semantics dedup needs windowMs, the deduplication window, above 0","type":"BROKEN"}]}]}"#]]
    .assert_eq(&lines.join("\n"));
}

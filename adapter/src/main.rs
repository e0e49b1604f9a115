//! The simulator's wire on standard input and output: one batch a line, one reply a line.
//! Wire to types and back, and the hosting of instances; no decision is made here.

mod instance;
mod wire;

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use instance::Instance;
use wire::{Batch, Event, ListEntry, Reply};

fn main() -> ExitCode {
    let mut host = Hosting::default();
    let mut output = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(|e| e.to_string()).and_then(|line| host.batch(&line));
        let written = match reply {
            Ok(reply) => writeln!(output, "{reply}").and_then(|()| output.flush()),
            Err(cause) => {
                eprintln!("batch {}: {cause}", number + 1);
                return ExitCode::FAILURE;
            }
        };
        if written.is_err() {
            return ExitCode::FAILURE;
        }
    }
    if host.passed_by > 0 {
        eprintln!("{} messages and answers to probes passed by", host.passed_by);
    }
    ExitCode::SUCCESS
}

/// All instances of this process. They share the numbered lists, which belong to the wire, and nothing else.
#[derive(Default)]
struct Hosting {
    lists: HashMap<u32, Vec<ListEntry>>,
    instances: HashMap<u64, Instance>,
    /// What probes and other balancers told, sound or not: no decision heeds it.
    passed_by: u64,
}

impl Hosting {
    fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let now = basaltwood_settings::micros(batch.time_ms);
        let mut replies = BTreeMap::new();
        for (nth, part) in batch.parts.into_iter().enumerate() {
            let who = part.who.unwrap_or(u64::MAX);
            for (at, event) in part.events.into_iter().enumerate() {
                let place = |cause: String| format!("part {nth}, event {at}: {cause}");
                if let Some(event) = Event::read(event.get()).map_err(place)? {
                    let outbox: &mut Vec<String> = replies.entry(who).or_default();
                    self.event(now, who, event, outbox).map_err(place)?;
                }
            }
        }
        replies.retain(|_, outbox| !outbox.is_empty());
        Ok(Reply(&replies).to_string())
    }

    fn event(&mut self, now: i64, who: u64, event: Event, outbox: &mut Vec<String>) -> Result<(), String> {
        match event {
            Event::Manifest { table, elements } => {
                self.lists.insert(table, elements);
            }
            Event::Spawn { init_seed, info } => match Instance::start(init_seed, &info) {
                Ok(instance) => {
                    self.instances.insert(who, instance);
                }
                Err(cause) => {
                    self.instances.remove(&who);
                    outbox.push(wire::broken(&cause));
                }
            },
            Event::Detach => {
                self.instances.remove(&who);
            }
            Event::StatusBack | Event::PeerData => self.passed_by += 1,
            other => {
                let Some(instance) = self.instances.get_mut(&who) else {
                    return Ok(()); // it was killed, or it never had settings that make sense
                };
                instance.handle(now, other, &self.lists, outbox)?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::Hosting;
    use expect_test::expect;

    const INFO: &str = r#"{"categories":[{"name":"read","targetLatencyMs":300.0,"ttlMs":900.0,"semantics":"retryable"}],
        "invariants":{"coldFrom":0.2,"warmWithinMs":9000.0,"tipMultiple":3.0,"tipAfterMs":3000.0},
        "limits":{"maxPushes":4},"someday":1}"#;

    fn answers(events: &[&str]) -> String {
        let mut hosting = Hosting::default();
        let spawn = format!(r#"{{"type":"SPAWN","initSeed":7,"info":{}}}"#, INFO.replace('\n', ""));
        let mut lines = Vec::new();
        for events in [&[spawn.as_str()][..], events] {
            let line = format!(r#"{{"timeMs":5.5,"parts":[{{"who":3,"events":[{}]}}]}}"#, events.join(","));
            lines.push(hosting.batch(&line).unwrap_or_else(|cause| format!("ends: {cause}")));
        }
        lines.join("\n")
    }

    #[test]
    fn list_numbers_are_reused_within_a_batch_and_unknown_things_are_skipped() {
        expect![[r#"
            {"parts":[]}
            {"parts":[{"who":3,"outbox":[{"type":"WAKE_AT","sleepForMs":50.000,"ctx":"sweep"},{"type":"HAND_OFF","ticket":"t/1","host":"b é","timeoutMs":99.750}]}]}"#]].assert_eq(&answers(&[
            r#"{"type":"MANIFEST","table":0,"elements":[{"host":"a","lifecycle":"up"}]}"#,
            r#"{"type":"UPDATE","scope":"remembered","revision":1,"table":0}"#,
            r#"{"type":"MANIFEST","table":0,"elements":[{"host":"b é","lifecycle":"up","news":[1]}]}"#,
            r#"{"type":"UPDATE","scope":"all","revision":2,"table":0}"#,
            r#"{"type":"WEATHER","sky":"blue"}"#,
            r#"{"type":"DEMAND","ticket":"t/1","lane":"read","routeKey":"k","dropDeadMs":105.25,"bits":null}"#,
            r#"{"type":"DETACH"}"#,
            r#"{"type":"DROPPED","ticket":"t/1"}"#,
        ]));
    }

    /// The answer's first byte ends the push for the module: nothing is called off, nothing goes again, and what the wire
    /// says of it later finds the op known until the last of its pushes is finished.
    #[test]
    fn a_streamed_answer_is_over_at_its_first_byte_and_forgotten_when_it_is_finished() {
        let finished = |hop: u32| {
            format!(
                r#"{{"type":"FINISHED","ticket":"t/1","hop":{hop},"waitTimeMs":40.0,"rc":"broken","over":true,"host":"b é"}}"#
            )
        };
        let begun = [
            r#"{"type":"MANIFEST","table":0,"elements":[{"host":"b é","lifecycle":"up"}]}"#,
            r#"{"type":"UPDATE","scope":"all","revision":1,"table":0}"#,
            r#"{"type":"DEMAND","ticket":"t/1","lane":"read","routeKey":"k","dropDeadMs":105.25,"bits":null}"#,
            r#"{"type":"FIRST_BYTE","ticket":"t/1","hop":0,"host":"b é","waitTimeMs":9.0}"#,
        ];
        let (end, again) = (finished(0), finished(0));
        let mut lines = vec![answers(&[&begun[..], &[&end]].concat())];
        lines.push(answers(&[&begun[..], &[&end, &again]].concat()));
        expect![[r#"
            {"parts":[]}
            {"parts":[{"who":3,"outbox":[{"type":"WAKE_AT","sleepForMs":50.000,"ctx":"sweep"},{"type":"HAND_OFF","ticket":"t/1","host":"b é","timeoutMs":99.750}]}]}
            {"parts":[]}
            ends: part 0, event 5: unknown op t/1"#]].assert_eq(&lines.join("\n"));
    }

    #[test]
    fn what_peers_and_probes_tell_is_counted_and_changes_nothing() {
        let long = "x".repeat(2_000);
        let told = [
            r#"{"type":"PEER_DATA","neighbour":2,"contents":"hi 7"}"#.to_owned(),
            r#"{"type":"PEER_DATA","neighbour":2,"contents":"hi 7"}"#.to_owned(),
            r#"{"type":"PEER_DATA","neighbour":-1,"contents":"9\u0000é"}"#.to_owned(),
            format!(r#"{{"type":"PEER_DATA","neighbour":2,"contents":"{long}"}}"#),
            r#"{"type":"PEER_DATA"}"#.to_owned(),
            r#"{"type":"STATUS_BACK","rc":"timed_out","host":"nobody","waitTimeMs":75.0,"stats":null}"#
                .to_owned(),
            r#"{"type":"STATUS_BACK","rc":"success","host":"a","waitTimeMs":1.0,"stats":{"util":-7}}"#
                .to_owned(),
        ];
        let mut events = vec![
            r#"{"type":"MANIFEST","table":0,"elements":[{"host":"a","lifecycle":"up"},{"host":"b","lifecycle":"up"}]}"#,
            r#"{"type":"UPDATE","scope":"remembered","revision":1,"table":0}"#,
        ];
        let op = r#"{"type":"DEMAND","ticket":"t/1","lane":"read","routeKey":"k","dropDeadMs":105.25,"bits":null}"#;
        let without = answers(&[&events[..], &[op]].concat());
        events.extend(told.iter().map(String::as_str));
        events.push(op);
        assert_eq!(answers(&events), without);
        let mut hosting = Hosting::default();
        let line = format!(r#"{{"timeMs":5.5,"parts":[{{"who":3,"events":[{}]}}]}}"#, told.join(","));
        assert_eq!(hosting.batch(&line).as_deref(), Ok(r#"{"parts":[]}"#));
        assert_eq!(hosting.passed_by, told.len() as u64);
    }

    #[test]
    fn malformed_input_ends_the_adapter_and_settings_without_sense_are_answered() {
        let mut lines = vec![Hosting::default().batch("{nonsense").unwrap_err()];
        lines.push(answers(&[r#"{"type":"DEMAND","ticket":"t/1"}"#]));
        lines.push(answers(&[r#"{"type":"FINISHED","ticket":"t/9","hop":0,"waitTimeMs":1.0,"rc":"success","over":true,"host":"a"}"#]));
        let bare = r#"{"timeMs":0,"parts":[{"who":1,"events":[{"type":"SPAWN","initSeed":1,"info":{"categories":[],
            "invariants":{"coldFrom":0.2,"warmWithinMs":9.0,"tipMultiple":3.0,"tipAfterMs":3.0},"limits":{"maxPushes":4}}}]}]}"#;
        lines.push(Hosting::default().batch(&bare.replace('\n', "")).expect("it is answered"));
        expect![[r#"
            key must be a string at line 1 column 2
            {"parts":[]}
            ends: part 0, event 0: missing field `lane`
            {"parts":[]}
            ends: part 0, event 0: unknown op t/9
            {"parts":[{"who":1,"outbox":[{"bodyText":"no categories","type":"BROKEN"}]}]}"#]]
        .assert_eq(&lines.join("\n"));
    }
}

//! Validation of the configuration at the start: an invalid one ends the program with one log line.

use expect_test::expect;

use crate::common::*;
use crate::BINARY;

/// A valid configuration with one setting added.
fn config_with(setting: &str) -> String {
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{{"categories":[
        {{"name":"read","targetLatencyMs":1,"ttlMs":1,"semantics":"retryable"}}],"limits":{{"maxPushes":1}},{setting},
        "invariants":{{"coldFrom":1,"warmWithinMs":1,"tipMultiple":1,"tipAfterMs":1}}}}}}"#
    )
}

#[test]
fn invalid_config_ends_the_program_with_one_line() {
    let mut lines = Vec::new();
    for text in [
        "{nonsense",
        "{}",
        r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"categories":[
        {"name":"read","targetLatencyMs":1e300,"ttlMs":-1,"semantics":"retryable"}],"limits":{"maxPushes":1},
        "invariants":{"coldFrom":1,"warmWithinMs":1,"tipMultiple":1,"tipAfterMs":1}}}"#,
        r#"{"name":"n","listen":"here","discovery":"127.0.0.1:1","seed":"1","known":{"generation":1},
        "settings":{"categories":[],"invariants":{"coldFrom":1,"warmWithinMs":1,"tipMultiple":1,"tipAfterMs":1},"limits":{"maxPushes":1}}}"#,
        r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"categories":[
        {"name":"read","targetLatencyMs":1,"ttlMs":1,"semantics":"retryable"}],"limits":{"maxPushes":1},"objectiveMix":{"tailMiss":7},
        "invariants":{"coldFrom":1,"warmWithinMs":1,"tipMultiple":1,"tipAfterMs":1}}}"#,
        &config_with(r#""costs":{"probe":-0.5}"#),
        &config_with(r#""report":{"source":"sometimes"}"#),
        &config_with(r#""report":{"source":"on_probe","columns":"util"}"#),
        &config_with(r#""groupSize":-3"#),
    ] {
        let mut program = Program::with_config(BINARY, text);
        let code = program.wait_for_exit().code();
        let log: Vec<String> =
            program.remaining_log().iter().map(|line| text_after(line, ".json: ")).collect();
        lines.push(format!("{code:?} {}", log.join(" / ")));
    }

    expect![[r#"
        Some(1) key must be a string at line 1 column 2
        Some(1) missing field `name` at line 1 column 2
        Some(1) read: a duration is 1e300 ms, expected 0 or more and below 1e10
        Some(1) categories is empty: define at least one category
        Some(1) objectiveMix.tailMiss is 7.0: expected a number from 0 to 1
        Some(1) costs.probe is -0.5: expected 0 or more and below 1e10, or leave it out for none
        Some(1) report.source is sometimes: expected inline, on_probe or off
        Some(1) settings.report.columns: invalid type: string "util", expected a sequence at line 2 column 150
        Some(1) settings.groupSize: invalid value: integer `-3`, expected u32 at line 2 column 118"#]]
    .assert_eq(&lines.join("\n"));
}

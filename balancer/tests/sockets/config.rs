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
        let code = program.ended().code();
        let log: Vec<String> =
            program.remaining_log().iter().map(|line| text_after(line, ".json: ")).collect();
        lines.push(format!("{code:?} {}", log.join(" / ")));
    }

    expect![[r#"
        Some(1) key must be a string at line 1 column 2
        Some(1) missing field `name` at line 1 column 2
        Some(1) read: 1e300 ms is no span of time
        Some(1) no categories
        Some(1) objectiveMix.tailMiss is no part from 0 to 1
        Some(1) costs.probe is -0.5: a price is 0 or more, leave it out for none
        Some(1) report.source is sometimes: say inline, on_probe or off
        Some(1) settings.report.columns: invalid type: string "util", expected a sequence at line 2 column 150
        Some(1) settings.groupSize: invalid value: integer `-3`, expected u32 at line 2 column 118"#]]
    .assert_eq(&lines.join("\n"));
}

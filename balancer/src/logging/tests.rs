//! The JSON form of a log record.

use super::*;

#[test]
fn json_line_contains_the_records_fields_with_their_types() {
    let fields: &[(&str, kv::Value)] = &[
        ("request", kv::Value::from(7u64)),
        ("outcome", kv::Value::from("TimedOut")),
        ("kept", kv::Value::from(true)),
    ];
    let arguments = format_args!("attempt ended");
    let mut builder = Record::builder();
    let record =
        builder.args(arguments).level(log::Level::Debug).target("requests").key_values(&fields).build();
    let mut line = Vec::new();
    write_json(&mut line, "2026-12-02T09:00:00.000Z", &record).expect("the line is written");
    let line: Json = serde_json::from_slice(&line).expect("the line is JSON");
    let expected = serde_json::json!({
        "time": "2026-12-02T09:00:00.000Z", "level": "DEBUG", "module": "requests", "message": "attempt ended",
        "request": 7, "outcome": "TimedOut", "kept": true,
    });
    assert_eq!(line, expected);
}

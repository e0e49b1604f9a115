//! The program's log: plain text or JSON lines, with the same fields.
//!
//! `RUST_LOG` sets the level; the default is `info`. Phases, configurations and lists of
//! hosts are logged at `info`. Changes of a host, such as an ejection, and the events of each
//! request, attempt and connection are logged at `debug`, so that any of them can be followed by
//! its number.

use std::io::{self, Write};

use env_logger::{Builder, Env};
use log::kv::{self, Key, Value, VisitSource};
use log::Record;
use serde_json::{Map, Value as Json};

#[cfg(test)]
mod tests;

/// The environment variable for the log's format: `json` for JSON lines, anything else for text.
const FORMAT_VARIABLE: &str = "BASALTWOOD_LOG_FORMAT";
const JSON_FORMAT: &str = "json";

/// Sets up the log. Call it once per process.
pub fn init() {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    if std::env::var(FORMAT_VARIABLE).is_ok_and(|format| format == JSON_FORMAT) {
        builder.format(|out, record| {
            let time = out.timestamp_millis().to_string();
            write_json(out, &time, record)
        });
    }
    builder.init();
}

/// Writes one line: time, level, module and message, and the record's own fields.
fn write_json(out: &mut impl Write, time: &str, record: &Record) -> io::Result<()> {
    let mut fields = Fields(Map::new());
    let _ = record.key_values().visit(&mut fields);
    let Fields(mut line) = fields;
    line.insert("time".to_owned(), Json::from(time));
    line.insert("level".to_owned(), Json::from(record.level().as_str()));
    line.insert("module".to_owned(), Json::from(record.target()));
    line.insert("message".to_owned(), Json::from(record.args().to_string()));
    writeln!(out, "{}", Json::Object(line))
}

/// Collects the fields of a record as JSON: numbers and booleans as such, anything else as text.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let number = value.to_u64().map(Json::from).or_else(|| value.to_i64().map(Json::from));
        let number = number.or_else(|| value.to_f64().map(Json::from));
        let plain = number.or_else(|| value.to_bool().map(Json::from));
        let json = plain.unwrap_or_else(|| Json::from(value.to_string()));
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

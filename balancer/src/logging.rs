//! The program's log: lines for people, or JSON lines for machines, with the same fields.
//!
//! `RUST_LOG` sets the level (`info` unless it says otherwise). At `info` stands what is rare: phases,
//! configurations, hosts that change. At `debug` stands what happens to each request, attempt and
//! connection, so that any of them can be followed by its number.

use std::io::{self, Write};

use env_logger::{Builder, Env};
use log::kv::{self, Key, Value, VisitSource};
use log::Record;
use serde_json::{Map, Value as Json};

#[cfg(test)]
mod tests;

/// `json` for JSON lines; anything else for lines for people.
const FORMAT_VARIABLE: &str = "BASALTWOOD_LOG_FORMAT";
const JSON_FORMAT: &str = "json";

/// Sets the log up, once for the process.
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

/// One line: time, level, module and message, and the record's own fields beside them.
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

/// The fields of a record as JSON: numbers and truth values as they are, anything else as text.
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

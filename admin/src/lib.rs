//! What operators call at a balancer, as bytes: [`call`] reads a call from the front of a buffer, [`answered`] words an
//! answer, [`Page`] writes figures in Prometheus' text format. Pure; it opens nothing, waits for nothing, counts nothing.

use std::fmt::Write;

use basaltwood_wire::http::{self, RequestError};
use bytes::Bytes;

/// The largest body that a call may bring; none of them needs one.
pub const MOST_BODY: usize = 8 * 1024;
/// The largest call.
pub const MOST: usize = 32 * 1024;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Ready,
    Vars,
    LameDuckOn,
    LameDuckOff,
}

/// Why a call is none, as HTTP tells it.
#[derive(Debug, PartialEq, Eq)]
pub struct Refusal {
    pub status: u16,
    /// The method that would do.
    pub allow: Option<&'static str>,
}

const CALLS: [(&str, &str, Call); 4] = [
    ("/_ready", "GET", Call::Ready),
    ("/_vars", "GET", Call::Vars),
    ("/_lameduck/on", "POST", Call::LameDuckOn),
    ("/_lameduck/off", "POST", Call::LameDuckOff),
];

/// A whole call at the front; `None` while it is not whole.
///
/// # Errors
/// What is to be answered where it can become none any more.
pub fn call(bytes: &[u8]) -> Result<Option<Call>, Refusal> {
    let refused = |status, allow| Err(Refusal { status, allow });
    let request = match http::parse_request(bytes, MOST_BODY) {
        Ok(Some(request)) => request,
        Ok(None) => return Ok(None),
        Err(RequestError::Malformed(_) | RequestError::InvalidLength) => return refused(400, None),
        Err(RequestError::LengthRequired) => return refused(411, None),
        Err(RequestError::BodyTooLong) => return refused(413, None),
        Err(RequestError::HeadTooLong) => return refused(431, None),
    };
    let path = request.path.split('?').next().unwrap_or_default();
    match CALLS.iter().find(|known| known.0 == path) {
        None => refused(404, None),
        Some((_, method, call)) if *method == request.method => Ok(Some(*call)),
        Some((_, method, _)) => refused(405, Some(*method)),
    }
}

/// The answer to a call: the last on its connection.
pub fn answered(status: u16, text: &str) -> Bytes {
    worded(status, None, text)
}

pub fn refused(refusal: &Refusal) -> Bytes {
    worded(refusal.status, refusal.allow, "")
}

fn worded(status: u16, allow: Option<&str>, text: &str) -> Bytes {
    let mut headers = vec![("Content-Type", "text/plain; version=0.0.4"), ("Connection", "close")];
    headers.extend(allow.map(|method| ("Allow", method)));
    http::encode_response(status, &headers, text.as_bytes())
}

/// Figures in Prometheus' text format.
#[derive(Default)]
pub struct Page(String);

impl Page {
    /// One figure with all its samples: a label's name and value where it has one, and the number.
    pub fn figure<'a>(
        &mut self,
        name: &str,
        kind: &str,
        help: &str,
        samples: impl IntoIterator<Item = (Option<(&'a str, &'a str)>, u64)>,
    ) {
        let text = &mut self.0;
        let _ = write!(text, "# HELP {name} {help}\n# TYPE {name} {kind}\n");
        for (label, number) in samples {
            text.push_str(name);
            if let Some((label, value)) = label {
                let value = value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
                let _ = write!(text, "{{{label}=\"{value}\"}}");
            }
            let _ = writeln!(text, " {number}");
        }
    }

    pub fn text(&self) -> &str {
        &self.0
    }
}

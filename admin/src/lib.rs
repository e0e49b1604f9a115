//! What operators call at a balancer, as bytes: [`parse_request`] reads a call from the front of a buffer, [`response`] words an
//! answer, [`MetricsPage`] writes figures in Prometheus' text format. Pure; it opens nothing, waits for nothing, counts nothing.

use std::fmt::Write;

use basaltwood_wire::http;
use bytes::Bytes;

/// The largest body that a call may bring; none of them needs one.
pub const MAX_BODY_BYTES: usize = 8 * 1024;
/// The largest call.
pub const MAX_REQUEST_BYTES: usize = 32 * 1024;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    Ready,
    Vars,
    LameDuckOn,
    LameDuckOff,
}

/// Why a call is none, as HTTP tells it.
#[derive(Debug, PartialEq, Eq)]
pub struct AdminRequestError {
    pub status: u16,
    /// The method that would do.
    pub allow: Option<&'static str>,
}

const ROUTES: [(&str, &str, AdminRequest); 4] = [
    ("/_ready", "GET", AdminRequest::Ready),
    ("/_vars", "GET", AdminRequest::Vars),
    ("/_lameduck/on", "POST", AdminRequest::LameDuckOn),
    ("/_lameduck/off", "POST", AdminRequest::LameDuckOff),
];

/// A whole call at the front; `None` while it is not whole.
///
/// # Errors
/// What is to be answered where it can become none any more.
pub fn parse_request(bytes: &[u8]) -> Result<Option<AdminRequest>, AdminRequestError> {
    let refused = |status, allow| Err(AdminRequestError { status, allow });
    let request = match http::parse_request(bytes, MAX_BODY_BYTES) {
        Ok(Some(request)) => request,
        Ok(None) => return Ok(None),
        Err(http::RequestError::Malformed(_)) => return refused(400, None),
        Err(http::RequestError::LengthRequired) => return refused(411, None),
        Err(http::RequestError::BodyTooLong) => return refused(413, None),
        Err(http::RequestError::HeadTooLong) => return refused(431, None),
    };
    let path = request.path.split('?').next().unwrap_or_default();
    match ROUTES.iter().find(|route| route.0 == path) {
        None => refused(404, None),
        Some((_, method, admin_request)) if *method == request.method => Ok(Some(*admin_request)),
        Some((_, method, _)) => refused(405, Some(*method)),
    }
}

/// The answer to a call: the last on its connection.
pub fn response(status: u16, text: &str) -> Bytes {
    render_response(status, None, text)
}

pub fn error_response(error: &AdminRequestError) -> Bytes {
    render_response(error.status, error.allow, "")
}

fn render_response(status: u16, allow: Option<&str>, text: &str) -> Bytes {
    let mut headers = vec![("Content-Type", "text/plain; version=0.0.4"), ("Connection", "close")];
    headers.extend(allow.map(|method| ("Allow", method)));
    http::encode_response(status, &headers, text.as_bytes())
}

/// Figures in Prometheus' text format.
#[derive(Default)]
pub struct MetricsPage(String);

impl MetricsPage {
    /// One figure with all its samples: a label's name and value where it has one, and the number.
    pub fn add<'a>(
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

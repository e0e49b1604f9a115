//! Operators' requests and their answers, over HTTP/1.1.

use basaltwood_wire::http;
use bytes::Bytes;

/// The largest body that a request may bring; none of them needs one.
pub const MAX_BODY_BYTES: usize = 8 * 1024;
/// The largest request, head and body.
pub const MAX_REQUEST_BYTES: usize = 32 * 1024;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether the balancer can serve: `GET /_ready`.
    Ready,
    /// The metrics: `GET /_vars`.
    Vars,
    /// Clients are to be sent away: `POST /_lameduck/on`.
    LameDuckOn,
    /// Clients are to be served as ever again: `POST /_lameduck/off`.
    LameDuckOff,
}

/// Why a request is refused, as HTTP tells it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("refused with HTTP status {status}")]
pub struct AdminRequestError {
    /// The answer's status.
    pub status: u16,
    /// The method that would do, where it is the method that is wrong.
    pub allow: Option<&'static str>,
}

struct Route {
    path: &'static str,
    method: &'static str,
    request: AdminRequest,
}

const ROUTES: [Route; 4] = [
    Route { path: "/_ready", method: "GET", request: AdminRequest::Ready },
    Route { path: "/_vars", method: "GET", request: AdminRequest::Vars },
    Route { path: "/_lameduck/on", method: "POST", request: AdminRequest::LameDuckOn },
    Route { path: "/_lameduck/off", method: "POST", request: AdminRequest::LameDuckOff },
];

/// Reads a whole request at the front; `None` while it is not whole.
///
/// # Errors
/// [`AdminRequestError`] where the bytes can become no request any more, or one that nobody answers.
pub fn parse_request(bytes: &[u8]) -> Result<Option<AdminRequest>, AdminRequestError> {
    let request = http::parse_request(bytes, MAX_BODY_BYTES).map_err(|error| {
        let status = match error {
            http::RequestError::Malformed(_) => 400,
            http::RequestError::LengthRequired => 411,
            http::RequestError::BodyTooLong => 413,
            http::RequestError::HeadTooLong => 431,
        };
        AdminRequestError { status, allow: None }
    })?;
    request.as_ref().map(route).transpose()
}

fn route(request: &http::Request) -> Result<AdminRequest, AdminRequestError> {
    let path = request.path.split('?').next().unwrap_or_default();
    match ROUTES.iter().find(|route| route.path == path) {
        None => Err(AdminRequestError { status: 404, allow: None }),
        Some(route) if route.method == request.method => Ok(route.request),
        Some(route) => Err(AdminRequestError { status: 405, allow: Some(route.method) }),
    }
}

/// The answer to a request: the last on its connection.
pub fn response(status: u16, text: &str) -> Bytes {
    encode_response(status, None, text)
}

/// The answer to a request that is refused, likewise the last.
pub fn error_response(error: &AdminRequestError) -> Bytes {
    encode_response(error.status, error.allow, "")
}

fn encode_response(status: u16, allow: Option<&str>, text: &str) -> Bytes {
    let mut headers = vec![("Content-Type", "text/plain; version=0.0.4"), ("Connection", "close")];
    headers.extend(allow.map(|method| ("Allow", method)));
    http::encode_response(status, &headers, text.as_bytes())
}

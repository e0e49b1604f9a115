//! Admin requests and their responses in HTTP/1.1.

use basaltwood_wire::http;
use bytes::Bytes;

/// The maximum length of a request's body, in bytes; no admin request needs a body.
pub const MAX_BODY_BYTES: usize = 8 * 1024;
/// The maximum length of a request, head and body together, in bytes.
pub const MAX_REQUEST_BYTES: usize = 32 * 1024;

/// A request to the admin interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Ask whether the balancer can serve requests: `GET /_ready`.
    Ready,
    /// Get the metrics: `GET /_vars`.
    Vars,
    /// Begin to drain clients: `POST /_lameduck/on`.
    LameDuckOn,
    /// Stop draining clients: `POST /_lameduck/off`.
    LameDuckOff,
}

/// The HTTP status with which a request is refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("refused with HTTP status {status}")]
pub struct AdminRequestError {
    /// The status code of the response.
    pub status: u16,
    /// The allowed method, if the request has another one.
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

/// Parses a request from the front of the buffer; `None` while it is incomplete.
///
/// # Errors
/// [`AdminRequestError`] if the bytes are not a valid request, or its path or method is unknown.
pub fn parse_request(bytes: &[u8]) -> Result<Option<AdminRequest>, AdminRequestError> {
    let request = http::parse_request(bytes, MAX_BODY_BYTES).map_err(|error| {
        let status = match error {
            http::RequestError::Malformed(_) | http::RequestError::InvalidLength => 400,
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

/// Encodes the response to a request. It announces that the connection is closed.
pub fn response(status: u16, text: &str) -> Bytes {
    encode_response(status, None, text)
}

/// Encodes the response to a refused request. It announces that the connection is closed.
pub fn error_response(error: &AdminRequestError) -> Bytes {
    encode_response(error.status, error.allow, "")
}

fn encode_response(status: u16, allow: Option<&str>, text: &str) -> Bytes {
    let mut headers = vec![("Content-Type", "text/plain; version=0.0.4"), ("Connection", "close")];
    headers.extend(allow.map(|method| ("Allow", method)));
    http::encode_response(status, &headers, text.as_bytes())
}

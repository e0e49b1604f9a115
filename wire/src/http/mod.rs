//! The subset of HTTP/1.1 that is used with the origin, with discovery and with operators.
//!
//! Parsers read a message from the front of the bytes received so far, and return `None` while the
//! message is incomplete.

mod encode;
mod error;
mod percent;
mod request;
mod response;

pub use encode::{encode_request, encode_request_head, encode_response};
pub use error::{RequestError, ResponseError};
pub use percent::{percent_decode, percent_encode};
pub use request::{parse_request, Request};
pub use response::{parse_long_response_head, parse_response, LongResponse, Response};

/// The maximum length of an incomplete head, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// The maximum number of header lines in a head.
const MAX_HEADERS: usize = 64;

//! The codecs of the router, as bytes: RESP2 with clients and cache hosts ([`resp`]), HTTP/1.1 with
//! the origin, discovery and operators ([`http`]), the list of facts that goes with a request
//! ([`facts`]), and the buffers that bytes come into ([`buffer`], [`body`]).
//!
//! Parsers take the bytes that have come so far and return `None` while a message is incomplete;
//! encoders return bytes. Pure: no sockets, no clock. It knows no request beyond its bytes, and
//! decides nothing.

pub mod body;
pub mod buffer;
pub mod facts;
pub mod http;
pub mod resp;

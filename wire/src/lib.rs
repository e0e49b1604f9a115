//! The codecs of the router: RESP2 for clients and cache hosts ([`resp`]), HTTP/1.1 for the origin,
//! discovery and operators ([`http`]), the list of facts that goes with a request ([`facts`]), and
//! the buffers that bytes are read into ([`buffer`], [`body`]).
//!
//! Parsers take the bytes received so far and return `None` while a message is incomplete; encoders
//! return bytes. This crate uses no sockets and no clock, and does not interpret requests.

pub mod body;
pub mod buffer;
pub mod facts;
pub mod http;
pub mod resp;

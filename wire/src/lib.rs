//! The protocols as bytes, so that balancer, lab and client write none of them twice: RESP2 between clients, balancers
//! and cache hosts ([`resp`], [`facts`]), HTTP/1.1 with the origin and discovery ([`http`]), and a connection's one
//! [`buffer`]. A reader takes the front of a buffer and answers `Ok(None)` while that is not whole; a writer gives
//! whole bytes. Nothing here opens, waits, reads a clock or knows what an op is.

pub mod body;
pub mod buffer;
pub mod facts;
pub mod http;
pub mod resp;

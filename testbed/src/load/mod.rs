//! The load generator. The times of all requests are planned in advance ([`plan`]) or read from a
//! recorded trace ([`trace`]), and played as an open loop ([`player`]): a slow balancer does not
//! slow the load down, and the latency of a request counts from when it was due.

mod client;
mod connection;
pub mod plan;
pub mod player;
mod record;
mod target;
pub mod trace;

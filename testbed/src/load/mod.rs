//! The load generator. Which request leaves when is laid out ahead ([`plan`]) or read from a
//! recorded trace ([`trace`]), and played as an open loop ([`player`]): a slow balancer never slows
//! it, and the latency of a request counts from when it was due.

mod client;
mod connection;
pub mod plan;
pub mod player;
mod record;
mod target;
pub mod trace;

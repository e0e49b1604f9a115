//! The load generator: what is asked and when is laid out ahead ([`plan`]), or read from a recorded trace ([`trace`]), and
//! played as an open loop ([`player`]): a slow balancer never slows it, and an op's time counts from when it was due.

pub mod plan;
pub mod player;
pub mod trace;

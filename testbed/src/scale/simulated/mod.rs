//! Simulated balancers: the real router, connection pools, watch schedule and settings, and real
//! connections to discovery and hosts, but no clients: requests are drawn inside (`load`).
//!
//! Each has its own seed and number; all of a process share its thread. The files are cut as those
//! of the balancer: `watch` for discovery, `request` for a request, `checkout` and `exchange`
//! for an attempt.

mod balancer;
mod checkout;
mod clock;
mod connection;
mod counters;
mod endpoints;
mod exchange;
mod load;
mod process;
mod request;
mod watch;

pub use self::process::SimulatedBalancers;

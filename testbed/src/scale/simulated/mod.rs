//! Simulated balancers have the real router, connection pools, watch schedule and settings, and
//! real connections to discovery and hosts, but no clients: `load` generates their requests.
//!
//! Each has its own seed and number; all balancers of a process share one thread. The modules
//! correspond to those of the balancer: `watch` for discovery, `request` for a request, `checkout`
//! and `exchange` for an attempt.

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

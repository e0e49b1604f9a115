//! The soak: two or three troubles that overlap in time, drawn from a seed, against dozens of real
//! balancer processes on loopback; judged from outside by the audit and from inside by the
//! balancers' own invariants.
//!
//! Troubles are of three kinds: faults of the emulated world (hosts, origin, discovery, and the
//! proxies on the way to them), what happens to the processes (signals, kills, stops), and their
//! system calls and wall clock (by the preload library). A script that fails is cut down: troubles
//! are taken out one by one while it still fails.

pub mod disturbance;
pub mod reduction;
pub mod run;
pub mod script;
pub mod trouble;

//! The soak: runs dozens of real balancer processes on loopback under two or three overlapping
//! troubles, drawn from a seed. The audit checks the traffic, and the balancers check their own
//! invariants.
//!
//! Troubles are of three kinds: faults of the emulated world (hosts, origin, discovery, and the
//! proxies in front of them), signals to the processes (terminations, stops, reloads), and faults
//! of their system calls and wall clock (injected by the preload library). A failing script is
//! reduced: troubles are removed one by one while it still fails.

pub mod disturbance;
pub mod reduction;
pub mod run;
pub mod script;
pub mod trouble;

//! How figures grow with the fleet: simulated balancers beside real ones, on loopback, one axis
//! varied alone while the others stand.
//!
//! A simulated balancer (`simulated`) is the real pure parts (router, connection pools, membership,
//! settings), each with its own seed, and real connections to the emulated discovery (`discovery`)
//! and hosts (`fleet`), without clients: its requests are drawn inside. Many share a process.
//!
//! [`experiment`] reads an experiment, `capacity` refuses what does not fit this machine, [`run`]
//! plays its points, [`fit`] and [`regression`] fit lines through them, [`report`] writes tables and
//! drawings. `worker_process` starts the processes and [`worker`] runs in them; what they say to
//! each other is in `protocol`.
//!
//! What is left out of a simulated balancer: clients and their protocol, the origin (a host never
//! misses), connections that are read on after their attempt timed out, the budget of memory.

mod capacity;
mod discovery;
pub mod error;
pub mod experiment;
pub mod fit;
mod fleet;
pub mod point;
mod protocol;
pub mod regression;
pub mod report;
mod role;
pub mod run;
mod simulated;
pub mod system;
pub mod worker;
mod worker_process;

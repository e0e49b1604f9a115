//! Scale runs measure how costs and latency grow with the size of the fleet: simulated balancers
//! beside a real one, on loopback, with one axis varied and the other conditions held constant.
//!
//! A simulated balancer (`simulated`) consists of the real components without I/O (router,
//! connection pools, membership, settings), with its own seed, and has real connections to the
//! emulated discovery (`discovery`) and hosts (`fleet`). It has no clients: its requests are
//! generated internally. Many simulated balancers share a process.
//!
//! [`experiment`] reads an experiment, `capacity` refuses one that needs more than this machine
//! has, [`run`] runs its points, [`fit`] and [`regression`] fit lines through them, [`report`]
//! writes tables and charts. `worker_process` starts the processes and [`worker`] runs in them;
//! `protocol` has their messages.
//!
//! A simulated balancer leaves out: clients and their protocol, the origin (a host never misses),
//! reading the late response of an attempt that timed out, and the memory budget.

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

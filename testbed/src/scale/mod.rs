//! How figures grow with the fleet: simulated balancers beside real ones, on loopback, one axis varied alone while
//! the others stand.
//!
//! A simulated balancer ([`simulated`]) is the real pure parts (facade, pools, membership, terms), each with its own
//! seed, and real connections to the emulated discovery ([`discovery`]) and hosts ([`fleet`]), without clients:
//! its ops are drawn inside. Many share a process ([`worker_process`]). [`experiment`] reads an experiment and refuses what
//! does not fit this machine, [`run`] plays its points, [`regression`] fits lines through them, [`report`] draws them.
//!
//! What is left out of a simulated balancer: clients and their protocol, the origin (a hosts' miss does not occur),
//! listening on connections whose push has given up, the budget of memory.

pub mod discovery;
pub mod experiment;
pub mod fleet;
pub mod regression;
pub mod report;
pub mod run;
pub mod simulated;
pub mod worker_process;

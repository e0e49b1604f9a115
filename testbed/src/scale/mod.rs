//! How figures grow with the fleet: hollow balancers beside real ones, on loopback, one axis varied alone while
//! the others stand.
//!
//! A hollow balancer ([`hollow`]) is the real pure parts (facade, pools, membership, terms), each with its own
//! seed, and real connections to the emulated discovery ([`discovery`]) and hosts ([`fleet`]), without clients:
//! its ops are drawn inside. Many share a process ([`part`]). [`script`] reads an experiment and refuses what
//! does not fit this machine, [`play`] plays its points, [`slope`] fits lines through them, [`draw`] draws them.
//!
//! What is left out of a hollow balancer: clients and their protocol, the origin (a hosts' miss does not occur),
//! listening on connections whose push has given up, the budget of memory.

pub mod discovery;
pub mod draw;
pub mod fleet;
pub mod hollow;
pub mod part;
pub mod play;
pub mod script;
pub mod slope;

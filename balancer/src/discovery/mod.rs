//! The list of hosts, watched at discovery from start to exit. What is known at the start serves until discovery
//! answers.
//!
//! [`client`] makes one call, [`endpoints`] reads a list and applies it, [`watch`] calls again and again.

mod client;
mod endpoints;
mod watch;

pub use endpoints::{apply_list, EndpointList, HostRegions};
pub use watch::ListWatch;

//! Watches the list of hosts at discovery from start to exit. Until discovery answers, the known
//! list of the configuration is used.
//!
//! [`client`] makes one call, [`endpoints`] parses and applies a list, [`watch`] repeats the calls.

mod client;
mod endpoints;
mod watch;

pub use endpoints::{apply_list, apply_list_in_slices, EndpointList, HostRegions};
pub use watch::ListWatch;

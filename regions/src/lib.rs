//! Rings by region: selects the hosts of the endpoint list that form this balancer's ring. No I/O,
//! no clock, no randomness.
//!
//! [`RegionMap::parse`] reads the operators' file, which assigns each zone to a region and names
//! the balancer's own region. [`Regions`] takes the full endpoint list or its changed entries, and
//! returns the entries for the policy: hosts in the ring, origin hosts, and entries that end the
//! use of a host that the policy knows. The caller allocates ids, connections and memory for these
//! hosts only, and reports when it has dropped a host ([`Regions::forget`]).
//!
//! The ring depends on the list and the map alone, so it is the same at all balancers of a region:
//! it holds the hosts of the own region or, while that has fewer hosts up than its minimum, those
//! of the next region in the file's order. The file may set the minimum; the default is 1.
//!
//! This crate does not route requests and does not see the hosts' health: spill-over to another
//! region by evidence is not implemented (docs/regions.md).

mod error;
mod file;
mod hosts;
mod map;
mod update;

pub use error::{RegionMapError, RegionMapProblem};
pub use hosts::Regions;
pub use map::RegionMap;
pub use update::{ListedHost, RegionCounts, RegionEvent, RingUpdate};

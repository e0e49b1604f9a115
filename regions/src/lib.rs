//! Rings by region: which hosts of the list make this balancer's ring. Pure: no I/O, no clock, no
//! randomness.
//!
//! [`RegionMap::parse`] reads the operators' file that gives each zone its region and names the own
//! one. [`Regions`] takes list entries, the full list or those that changed, and returns those that
//! the policy is to see: the hosts of the own region, origin hosts, and whatever ends the use of a
//! host that the policy knows. The caller gives ids, connections and memory to no other host, and
//! says when it has forgotten a host ([`Regions::forget`]).
//!
//! The ring follows from the list alone, and so is the same at all balancers of a region: it is the
//! own region, or the next in the file's order while that one has fewer hosts up than its minimum,
//! which the file may set and which is 1 otherwise.
//!
//! It decides nothing about requests, and knows nothing of the hosts' health: spill-over by
//! evidence is not built (docs/regions.md).

mod error;
mod file;
mod hosts;
mod map;
mod update;

pub use error::{RegionMapError, RegionMapProblem};
pub use hosts::Regions;
pub use map::RegionMap;
pub use update::{ListedHost, RegionCounts, RegionEvent, RingUpdate};

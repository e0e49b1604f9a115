//! Rings by region: which hosts of the list make this balancer's ring. Pure: no I/O, no clock, no chance.
//!
//! [`RegionMap::parse`] reads the operators' file that gives each zone its region and names the own one.
//! [`Regions`] takes list entries in, the whole list or those that changed, and gives those out that the
//! module is to hear: the hosts of the own region, origin hosts, and whatever ends the use of a host that the
//! module knows. The shell gives numbers, connections and room to nothing else, and says when it has
//! forgotten a host ([`Regions::forget`]).
//!
//! By the list alone, and so alike at all balancers of a region, the ring is the next region in the file's
//! order after the own one while that holds fewer hosts that are up than its least, which the file may say
//! and which is 1 otherwise. It decides nothing about ops, and knows
//! nothing of how hosts do: spill by evidence is not built (docs/regions.md).

mod hosts;
mod map;

pub use hosts::{ListedHost, RegionCounts, RegionEvent, Regions, RingUpdate};
pub use map::RegionMap;

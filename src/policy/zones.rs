//! Detects unreachable zones from lost attempts at several hosts of one failure domain.
//!
//! A balancer that uses each host every few seconds would lose a request at every host of a lost
//! zone before it had ejected them all. If several hosts lose attempts, and no host of their zone
//! has answered since those were sent, the evidence is stronger than for each host alone.

use std::collections::BTreeSet;

use super::constants::MIN_LOST_HOSTS;
use crate::activity::{HostActivity, ZoneActivity};
use crate::types::ZoneId;

/// Holds the zones that are currently unreachable.
#[derive(Default)]
pub struct ZoneOutageDetector {
    unreachable_zones: BTreeSet<ZoneId>,
}

impl ZoneOutageDetector {
    /// Updates the set of unreachable zones; returns those that became unreachable.
    pub fn update(&mut self, hosts: impl Iterator<Item = (ZoneId, HostActivity)>) -> BTreeSet<ZoneId> {
        let mut zones = ZoneActivity::by_zone(hosts);
        zones.retain(|_, zone| {
            let lost = zone.lost_at.iter().filter(|lost_at| **lost_at > zone.answered_at);
            lost.count() >= MIN_LOST_HOSTS
        });
        let before = std::mem::replace(&mut self.unreachable_zones, zones.into_keys().collect());
        self.unreachable_zones.difference(&before).copied().collect()
    }

    /// Whether to avoid a host because its zone is unreachable. A host that lost an attempt sent
    /// after its last answer is not avoided for its zone, so that it can get attempts unless it is
    /// suspected: any answer makes the zone reachable again.
    pub fn avoids(&self, zone: ZoneId, host: HostActivity) -> bool {
        host.lost_at <= host.answered_at && self.unreachable_zones.contains(&zone)
    }
}

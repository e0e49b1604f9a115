//! Detects zones that went dark, by the evidence of several hosts in one failure domain.
//!
//! A balancer that uses each host every few seconds would lose a request at every single host of a
//! lost zone before it had ejected them all. Several hosts that lost attempts, with no answer from
//! any host of their zone since those were sent, are stronger evidence than each one alone.

use std::collections::BTreeSet;

use super::constants::MIN_LOST_HOSTS;
use crate::activity::{HostActivity, ZoneActivity};
use crate::types::ZoneId;

/// Knows the zones that are dark now.
#[derive(Default)]
pub struct ZoneOutageDetector {
    unreachable_zones: BTreeSet<ZoneId>,
}

impl ZoneOutageDetector {
    /// Looks at all hosts anew; the zones that went dark since the last look.
    pub fn update(&mut self, hosts: impl Iterator<Item = (ZoneId, HostActivity)>) -> BTreeSet<ZoneId> {
        let mut zones = ZoneActivity::by_zone(hosts);
        zones.retain(|_, zone| {
            let lost = zone.lost_at.iter().filter(|lost_at| **lost_at > zone.answered_at);
            lost.count() >= MIN_LOST_HOSTS
        });
        let before = std::mem::replace(&mut self.unreachable_zones, zones.into_keys().collect());
        self.unreachable_zones.difference(&before).copied().collect()
    }

    /// Whether to keep away from a host of this zone. One that lost an attempt itself and is taken
    /// back probes for the zone: its answer, like any, brings the zone back.
    pub fn avoids(&self, zone: ZoneId, host: HostActivity) -> bool {
        host.lost_at <= host.answered_at && self.unreachable_zones.contains(&zone)
    }
}

//! When hosts and their zones last answered, and when they last lost an attempt.

use std::collections::BTreeMap;

use crate::types::{AttemptOutcome, Micros, ZoneId};

/// When a host last answered, and when it last lost an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HostActivity {
    /// When the last attempt that was lost at the host was sent; 0 for none.
    pub(crate) lost_at: Micros,
    /// When the host last answered; 0 for never.
    pub(crate) answered_at: Micros,
}

impl HostActivity {
    /// Whether the host ever answered or lost an attempt; most hosts of a large fleet have not.
    pub(crate) fn is_known(&self) -> bool {
        self.lost_at > 0 || self.answered_at > 0
    }

    /// Records the end of an attempt.
    pub(crate) fn record(&mut self, outcome: AttemptOutcome, sent_at: Micros, now: Micros) {
        if outcome.answered() {
            self.answered_at = now;
        } else if outcome.suggests_outage() {
            self.lost_at = self.lost_at.max(sent_at);
        }
    }
}

/// The activity of all hosts of a zone.
#[derive(Default)]
pub(crate) struct ZoneActivity {
    /// When any host of the zone last answered.
    pub(crate) answered_at: Micros,
    /// For each host, when its last lost attempt was sent.
    pub(crate) lost_at: Vec<Micros>,
}

impl ZoneActivity {
    /// Groups the activity by zone, without hosts that were never used.
    pub(crate) fn by_zone(
        hosts: impl Iterator<Item = (ZoneId, HostActivity)>,
    ) -> BTreeMap<ZoneId, ZoneActivity> {
        let mut zones: BTreeMap<ZoneId, ZoneActivity> = BTreeMap::new();
        for (zone, host) in hosts.filter(|(_, host)| host.is_known()) {
            let zone = zones.entry(zone).or_default();
            zone.answered_at = zone.answered_at.max(host.answered_at);
            zone.lost_at.push(host.lost_at);
        }
        zones
    }
}

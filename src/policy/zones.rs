//! Zones that went dark: evidence from hosts that stand together. What to make of it `rules` decides.
//!
//! A balancer that meets each host every few seconds would lose an op at every single host of a lost zone
//! before it had left them all. Several hosts that lost pushes, with no answer from anyone beside them since
//! those were sent, say more than each for itself.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{End, Micros, ZoneId};

/// Hosts that lost a push in a row that tell of their zone: fewer may be chance where some are bad anyway.
const IN_A_ROW: usize = 3;

/// A host's signs of life, and of none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pulse {
    /// When the last push that was lost there was sent.
    pub lost_at: Micros,
    pub answered_at: Micros,
}

impl Pulse {
    /// A push that was sent then has ended.
    pub fn heard(&mut self, end: End, sent: Micros, now: Micros) {
        if end.answered() {
            self.answered_at = now;
        } else if matches!(end, End::TimedOut | End::Unreachable | End::Broken) {
            self.lost_at = self.lost_at.max(sent);
        }
    }
}

#[derive(Default)]
pub struct Zones {
    dark: BTreeSet<ZoneId>,
}

impl Zones {
    /// Looks at all hosts anew; the zones that went dark since the last look.
    pub fn look(&mut self, hosts: impl Iterator<Item = (ZoneId, Pulse)>) -> BTreeSet<ZoneId> {
        let mut zones: BTreeMap<ZoneId, (Micros, Vec<Micros>)> = BTreeMap::new();
        for (zone, pulse) in hosts {
            let (answered_at, lost) = zones.entry(zone).or_default();
            *answered_at = pulse.answered_at.max(*answered_at);
            lost.push(pulse.lost_at);
        }
        zones.retain(|_, (answered, lost)| lost.iter().filter(|at| *at > answered).count() >= IN_A_ROW);
        let before = std::mem::replace(&mut self.dark, zones.into_keys().collect());
        self.dark.difference(&before).copied().collect()
    }

    /// Whether to keep away from a host of this zone. One that lost a push itself and is taken back is the
    /// zone's feeler: its answer, like any, brings the zone back.
    pub fn dark(&self, zone: ZoneId, pulse: Pulse) -> bool {
        pulse.lost_at <= pulse.answered_at && self.dark.contains(&zone)
    }
}

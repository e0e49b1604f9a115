//! Zones that went dark: evidence from hosts that stand together. What to make of it `rules` decides.
//!
//! A balancer that meets each host every few seconds would lose an op at every single host of a lost zone
//! before it had left them all. Several hosts that lost pushes, with no answer from anyone beside them since
//! those were sent, say more than each for itself.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{AttemptOutcome, Micros, ZoneId};

/// Hosts that lost a push in a row that tell of their zone: fewer may be chance where some are bad anyway.
const MIN_SUSPECT_HOSTS: usize = 3;

/// A host's signs of life, and of none.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostActivity {
    /// When the last push that was lost there was sent.
    pub lost_at: Micros,
    pub answered_at: Micros,
}

impl HostActivity {
    /// A push that was sent then has ended.
    pub fn record(&mut self, outcome: AttemptOutcome, sent: Micros, now: Micros) {
        if outcome.answered() {
            self.answered_at = now;
        } else if matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost
        ) {
            self.lost_at = self.lost_at.max(sent);
        }
    }
}

#[derive(Default)]
pub struct ZoneOutageDetector {
    dark_zones: BTreeSet<ZoneId>,
}

impl ZoneOutageDetector {
    /// Looks at all hosts anew; the zones that went dark since the last look.
    pub fn newly_dark(&mut self, hosts: impl Iterator<Item = (ZoneId, HostActivity)>) -> BTreeSet<ZoneId> {
        let mut zones: BTreeMap<ZoneId, (Micros, Vec<Micros>)> = BTreeMap::new();
        for (zone, activity) in hosts {
            let (answered_at, lost) = zones.entry(zone).or_default();
            *answered_at = activity.answered_at.max(*answered_at);
            lost.push(activity.lost_at);
        }
        zones.retain(|_, (answered, lost)| {
            lost.iter().filter(|at| *at > answered).count() >= MIN_SUSPECT_HOSTS
        });
        let before = std::mem::replace(&mut self.dark_zones, zones.into_keys().collect());
        self.dark_zones.difference(&before).copied().collect()
    }

    /// Whether to keep away from a host of this zone. One that lost a push itself and is taken back is the
    /// zone's feeler: its answer, like any, brings the zone back.
    pub fn is_dark(&self, zone: ZoneId, activity: HostActivity) -> bool {
        activity.lost_at <= activity.answered_at && self.dark_zones.contains(&zone)
    }
}

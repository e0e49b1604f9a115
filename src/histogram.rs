//! Measures that forget by halving: durations in doubling bins, counts of sends; counts by window; a leaking bucket.

use std::collections::BTreeMap;

use crate::ring::Ring;
use crate::types::{HostId, Micros, RingPosition, SeededRng};

const BINS: usize = 16;
const FIRST: Micros = 1_000; // the upper edge of the first bin; each further edge is twice the last

#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: [f64; BINS],
    sum: f64,
}

impl Histogram {
    pub fn add(&mut self, value: Micros, weight: f64) {
        let mut bin = 0;
        while bin + 1 < BINS && value >= FIRST << bin {
            bin += 1;
        }
        self.counts[bin] += weight;
        self.sum += weight * value as f64;
    }

    /// Halves what it holds once that is so many values.
    pub fn halve_at(&mut self, many: f64) {
        if self.total() >= many {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.sum /= 2.0;
        }
    }

    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    pub fn mean(&self) -> Option<f64> {
        let total = self.total();
        (total > 0.0).then(|| self.sum / total)
    }

    /// The value below which the share `part` lies, linear within its bin.
    pub fn quantile(&self, part: f64) -> Option<Micros> {
        let total = self.total();
        let mut left = part * total;
        for (bin, &count) in self.counts.iter().enumerate() {
            if count > 0.0 && left <= count {
                let low = if bin == 0 { 0 } else { FIRST << (bin - 1) };
                return Some(low + (((FIRST << bin) - low) as f64 * left / count) as Micros);
            }
            left -= count;
        }
        None
    }
}

/// Sends by host and by key, with the key's home.
#[derive(Default)]
pub struct LoadCounts {
    pub hosts: Vec<f64>,
    pub keys: BTreeMap<RingPosition, (f64, HostId)>,
    /// Since the last halving.
    sends: f64,
    /// The time that the counts of before it stand for.
    before: f64,
    halved_at: Micros,
}

impl LoadCounts {
    /// Over the hosts that were used.
    pub fn mean(&self) -> f64 {
        let used = self.hosts.iter().filter(|&&load| load >= 0.5);
        used.clone().sum::<f64>() / used.count().max(1) as f64
    }

    /// Over the hosts on the ring, also such as were not used: what a balancer that is new or quiet sends to one of them in the mean.
    pub fn mean_on(&self, ring: &Ring) -> f64 {
        let loads = (0..).map(HostId).zip(&self.hosts).filter(|one| ring.holds(one.0));
        let (sum, count) = loads.fold((0.0, 0), |(sum, count), (_, load)| (sum + load, count + 1));
        sum / f64::from(count.max(1))
    }

    /// Makes room for so many hosts. Those that come start at the mean, whatever stood under their numbers.
    pub fn meet(&mut self, count: usize, come: impl Iterator<Item = HostId>) {
        let mean = self.mean();
        self.hosts.resize(count, 0.0);
        come.for_each(|host| self.hosts[host.0 as usize] = mean);
    }

    pub fn count(&mut self, host: HostId, key: Option<RingPosition>, home: HostId, most_keys: usize) {
        self.hosts[host.0 as usize] += 1.0;
        self.sends += 1.0;
        let Some(key) = key else { return };
        if self.keys.len() < most_keys || self.keys.contains_key(&key) {
            let entry = self.keys.entry(key).or_insert((0.0, home));
            *entry = (entry.0 + 1.0, home);
        }
    }

    /// The time that the counts stand for.
    pub fn span(&self, now: Micros) -> f64 {
        self.before + (now - self.halved_at) as f64
    }

    /// A key's part of all sends.
    pub fn part(&self, key: RingPosition) -> f64 {
        let all = self.hosts.iter().sum::<f64>().max(1.0);
        self.keys.get(&key).map_or(0.0, |entry| entry.0 / all)
    }

    /// Halves after a time and so many sends a host, whichever is later.
    pub fn halve(&mut self, now: Micros, after: Micros, sends: f64) {
        if now - self.halved_at >= after && self.sends >= sends * self.hosts.len() as f64 {
            self.before = self.span(now) / 2.0;
            (self.halved_at, self.sends) = (now, 0.0);
            self.hosts.iter_mut().for_each(|load| *load /= 2.0);
            self.keys.retain(|_, entry| {
                entry.0 /= 2.0;
                entry.0 >= 0.5
            });
        }
    }
}

/// A window in which a host, or a key at a host, gets a bounded number of sends.
struct Window {
    began: Micros,
    sent: f64,
    /// Between 0 and 1, drawn for the window: what is allowed of a fraction of a send.
    luck: f64,
}

/// Sends by host, and by host and key, in windows of their own: a host's begins with the first that is asked for, a key's with its
/// first send.
#[derive(Default)]
pub struct SendWindows {
    sends: BTreeMap<(HostId, Option<RingPosition>), Window>,
    cleared_at: Micros,
}

impl SendWindows {
    /// Counts one more at the host and for its key, unless either has had as many as it may in its window: the host `all`, of
    /// which a fraction is one send more with that probability, so that over many balancers the sum has that mean; the key, where
    /// there is one, so many and one.
    pub fn take(
        &mut self,
        now: Micros,
        length: Micros,
        host: HostId,
        all: f64,
        key: Option<(RingPosition, f64)>,
        chance: &mut SeededRng,
    ) -> bool {
        if now - self.cleared_at >= length {
            self.cleared_at = now;
            self.sends.retain(|_, window| now - window.began < length);
        }
        let whole = self.window((host, None), now, length, || chance.fraction());
        let free = whole.sent + 1.0 <= all + whole.luck;
        let there = key.map(|(key, most)| ((host, Some(key)), most));
        let sent = there.and_then(|(at, _)| self.sends.get(&at)).filter(|window| now - window.began < length);
        let free = free && there.is_none_or(|(_, most)| sent.map_or(0.0, |window| window.sent) <= most);
        for at in there.map(|there| there.0).into_iter().chain([(host, None)]).filter(|_| free) {
            self.window(at, now, length, || 0.0).sent += 1.0;
        }
        free
    }

    /// The present window, which begins now where the last one is over.
    fn window(
        &mut self,
        at: (HostId, Option<RingPosition>),
        now: Micros,
        length: Micros,
        luck: impl FnOnce() -> f64,
    ) -> &mut Window {
        if self.sends.get(&at).is_none_or(|window| now - window.began >= length) {
            self.sends.insert(at, Window { began: now, sent: 0.0, luck: luck() });
        }
        self.sends.get_mut(&at).expect("it is there")
    }
}

/// Holds a second's worth of its rate; a rate of 0 has no bound.
pub struct Bucket {
    rate: f64,
    level: f64,
    at: Micros,
}

impl Bucket {
    pub fn new(rate: f64) -> Bucket {
        Bucket { rate, level: 0.0, at: 0 }
    }

    pub fn within(&mut self, now: Micros) -> bool {
        self.level = (self.level - self.rate * (now - self.at) as f64 / 1e6).max(0.0);
        self.at = now;
        let within = self.rate <= 0.0 || self.level < self.rate;
        self.level += f64::from(within);
        within
    }
}

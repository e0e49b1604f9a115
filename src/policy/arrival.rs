//! When a request may have arrived whose bytes lay unread, and until when it may wait.
//!
//! A request's time counts from its last byte. A balancer that does not read can't see that byte
//! come, so it assumes the earliest time: its answer then is never late, and a host is never told
//! more time than the client has left.

use crate::types::Micros;

/// A pause of reading, or a wait for further bytes, below this is not told from the path's own delay:
/// what waits in the client's system comes in as many steps as its window needs.
const PATH_DELAY: Micros = 100_000;

/// Since when bytes of one connection may lie unread, in this system or in the client's.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnreadBytes {
    /// `None` while everything that arrives is read at once.
    unread_since: Option<Micros>,
    /// The earliest arrival of the bytes read last, if they may have lain unread.
    last_read_arrived_at: Option<Micros>,
}

impl UnreadBytes {
    /// Records that nothing is read from now on.
    pub fn reading_paused(&mut self, now: Micros) {
        self.unread_since.get_or_insert(now);
    }

    /// Records that reading goes on.
    pub fn reading_resumed(&mut self, now: Micros) {
        self.unread_since = self.unread_since.filter(|since| now - since >= PATH_DELAY);
    }

    /// Records a read that waited for its bytes for this long.
    pub fn bytes_read(&mut self, waited: Micros) {
        if waited >= PATH_DELAY {
            self.unread_since = None;
        }
        self.last_read_arrived_at = self.unread_since;
    }

    /// The earliest time at which the request that ends with the bytes read last may have arrived:
    /// `now`, unless they lay unread.
    pub fn arrived_at(&self, now: Micros) -> Micros {
        self.last_read_arrived_at.map_or(now, |at| at.min(now))
    }

    /// Records that the bytes that are unread now wait for requests of their client that came before,
    /// which does not count.
    pub fn wait_for_others(&mut self) {
        *self = UnreadBytes::default();
    }

    /// When a request has to be rejected that still can't be read: its last byte may have arrived
    /// when reading was paused, and its client waits for `wait` from then on. `None` while reading
    /// is not paused.
    pub fn reject_at(&self, wait: Micros) -> Option<Micros> {
        self.unread_since.map(|since| since + wait)
    }
}

//! Bounds on the sends to a host, and for a key at a host, each in windows of its own.

use std::collections::BTreeMap;

use crate::types::{HostId, Micros, RingPosition, SeededRng};

/// What is bounded: a host's sends, or those for one key there.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WindowKey {
    host: HostId,
    key: Option<RingPosition>,
}

/// A window in which so many were sent.
struct Window {
    began_at: Micros,
    sent: f64,
    /// Between 0 and 1, drawn for the window: what is allowed of a fraction of a send.
    rounding: f64,
}

/// A key and how many sends for it a host may get in a window before the last one.
#[derive(Clone, Copy)]
pub(crate) struct KeyBound {
    pub(crate) key: RingPosition,
    pub(crate) max_sends: f64,
}

/// How many sends a host may get in a window.
#[derive(Clone, Copy)]
pub(crate) struct SendBounds {
    /// To the host. Of a fraction one send more is allowed with that probability, so that over many
    /// balancers the sum has that mean.
    pub(crate) max_sends: f64,
    /// For the key of the send in hand: so many and one.
    pub(crate) key: Option<KeyBound>,
}

/// The present windows: a host's begins with the first send that is asked for, a key's with its
/// first send.
#[derive(Default)]
pub(crate) struct SendWindows {
    windows: BTreeMap<WindowKey, Window>,
    cleared_at: Micros,
}

impl SendWindows {
    /// Counts one more send at the host and for its key, unless either has had as many as it may in
    /// its window.
    pub(crate) fn try_send(
        &mut self,
        now: Micros,
        window_length: Micros,
        host: HostId,
        bounds: SendBounds,
        rng: &mut SeededRng,
    ) -> bool {
        self.clear_ended(now, window_length);
        let of_host = WindowKey { host, key: None };
        let window = self.current_window(of_host, now, window_length, || rng.fraction());
        let host_allows = window.sent + 1.0 <= bounds.max_sends + window.rounding;
        if !host_allows {
            return false;
        }
        if let Some(bound) = bounds.key {
            let of_key = WindowKey { host, key: Some(bound.key) };
            let window = self.windows.get(&of_key).filter(|window| now - window.began_at < window_length);
            let key_allows = window.map_or(0.0, |window| window.sent) <= bound.max_sends;
            if !key_allows {
                return false;
            }
            self.current_window(of_key, now, window_length, || 0.0).sent += 1.0;
        }
        self.current_window(of_host, now, window_length, || 0.0).sent += 1.0;
        true
    }

    /// Drops the windows that are over, once in a window's length.
    fn clear_ended(&mut self, now: Micros, window_length: Micros) {
        if now - self.cleared_at >= window_length {
            self.cleared_at = now;
            self.windows.retain(|_, window| now - window.began_at < window_length);
        }
    }

    /// The present window, which begins now where the last one is over.
    fn current_window(
        &mut self,
        of: WindowKey,
        now: Micros,
        window_length: Micros,
        rounding: impl FnOnce() -> f64,
    ) -> &mut Window {
        if self.windows.get(&of).is_none_or(|window| now - window.began_at >= window_length) {
            self.windows.insert(of, Window { began_at: now, sent: 0.0, rounding: rounding() });
        }
        self.windows.get_mut(&of).expect("it was put there just now")
    }
}

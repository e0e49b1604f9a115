//! Bounds on the sends to a host and on those for a key at a host, each within its own windows.

use std::collections::BTreeMap;

use crate::types::{HostId, Micros, RingPosition, SeededRng};

/// The subject of a window: all sends to a host, or those for one key at a host.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WindowKey {
    host: HostId,
    key: Option<RingPosition>,
}

/// A window and its number of sends.
struct Window {
    began_at: Micros,
    sent: f64,
    /// A number from 0 to 1, drawn for the window, that is added to the bound to round it.
    rounding: f64,
}

/// The bound for a key: one send more than `max_sends` is allowed in a window.
#[derive(Clone, Copy)]
pub(crate) struct KeyBound {
    pub(crate) key: RingPosition,
    pub(crate) max_sends: f64,
}

/// The bounds on the sends to a host in a window.
#[derive(Clone, Copy)]
pub(crate) struct SendBounds {
    /// The bound for the host. A fractional part allows one more send with that probability, so
    /// that the sum over many balancers has the right mean.
    pub(crate) max_sends: f64,
    /// The bound for the key of the current send.
    pub(crate) key: Option<KeyBound>,
}

/// The current windows. The window of a host begins with the first send that is requested, that of
/// a key with its first send.
#[derive(Default)]
pub(crate) struct SendWindows {
    windows: BTreeMap<WindowKey, Window>,
    cleared_at: Micros,
}

impl SendWindows {
    /// Counts one more send to the host and for the key, unless either bound is reached; returns
    /// whether the send is allowed.
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

    /// Removes ended windows, once per window length.
    fn clear_ended(&mut self, now: Micros, window_length: Micros) {
        if now - self.cleared_at >= window_length {
            self.cleared_at = now;
            self.windows.retain(|_, window| now - window.began_at < window_length);
        }
    }

    /// The current window, which begins now if the last one has ended.
    fn current_window(
        &mut self,
        window_key: WindowKey,
        now: Micros,
        window_length: Micros,
        rounding: impl FnOnce() -> f64,
    ) -> &mut Window {
        if self.windows.get(&window_key).is_none_or(|window| now - window.began_at >= window_length) {
            self.windows.insert(window_key, Window { began_at: now, sent: 0.0, rounding: rounding() });
        }
        self.windows.get_mut(&window_key).expect("the window was inserted above")
    }
}

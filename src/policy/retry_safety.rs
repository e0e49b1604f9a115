//! Rule 2, at one place: whether a request may be sent again, and whether its client may be asked to
//! try again.

use super::constants::MAX_PROCESS_STALL;
use crate::types::{Endpoint, Micros, RetrySafety};

/// The first earlier attempt of a request that may have run, or may still.
#[derive(Clone, Copy, Debug)]
pub struct PossibleRun<'a> {
    /// The host that it was sent to, as it is listed; `None` where that is not known any more.
    pub endpoint: Option<&'a Endpoint>,
    /// When it was sent, at the earliest.
    pub sent_at: Micros,
    /// Whether any earlier attempt of the request is still in flight.
    pub others_in_flight: bool,
}

/// Whether a request may be sent to a host once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may.
    Allowed {
        /// The time by which its last byte has to be written, where it has an end.
        until: Option<Micros>,
    },
    /// Not while another attempt is in flight.
    NotYet,
    /// It could take effect twice.
    Forbidden,
}

/// Judges a further attempt at the host `there`; `hedging` says whether two may be in flight.
pub fn check_repeat(
    safety: RetrySafety,
    earlier: Option<PossibleRun>,
    target: &Endpoint,
    hedging: bool,
    now: Micros,
) -> Repeat {
    let Some(earlier) = earlier else { return Repeat::Allowed { until: None } };
    let until = match safety {
        RetrySafety::Idempotent => None,
        RetrySafety::AtMostOnce => return Repeat::Forbidden,
        RetrySafety::IdempotencyKey { scope, window } => {
            let is_in_scope = earlier.endpoint.is_some_and(|before| scope.includes_both(before, target));
            let until = window_end(earlier.sent_at, window);
            if !is_in_scope || now >= until {
                return Repeat::Forbidden;
            }
            Some(until)
        }
    };
    if earlier.others_in_flight && !hedging {
        return Repeat::NotYet;
    }
    Repeat::Allowed { until }
}

/// Whether a client may be told that trying again is harmless, `retry_after` from now at the
/// earliest.
pub fn rejection_is_harmless(
    safety: RetrySafety,
    earlier: Option<PossibleRun>,
    retry_after: Option<Micros>,
    now: Micros,
) -> bool {
    use crate::types::DeduplicationScope::All;
    let Some(earlier) = earlier else { return true };
    match safety {
        RetrySafety::Idempotent => true,
        RetrySafety::IdempotencyKey { scope: All, window } => {
            now + retry_after.unwrap_or(0) < window_end(earlier.sent_at, window)
        }
        RetrySafety::IdempotencyKey { .. } | RetrySafety::AtMostOnce => false,
    }
}

/// When a deduplication window ends for this process, which may be held up before it writes.
fn window_end(sent_at: Micros, window: Micros) -> Micros {
    sent_at + window - MAX_PROCESS_STALL
}

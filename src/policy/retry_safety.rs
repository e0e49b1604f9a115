//! Whether a request may be sent again, and whether its client may be told to try again (rule 2).

use super::constants::MAX_PROCESS_STALL;
use crate::types::{Endpoint, Micros, RetrySafety};

/// The first earlier attempt of a request that may have run or may still run.
#[derive(Clone, Copy, Debug)]
pub struct PossibleRun<'a> {
    /// The host of the attempt as currently listed; `None` if the host is no longer known.
    pub endpoint: Option<&'a Endpoint>,
    /// The earliest time at which the attempt was sent.
    pub sent_at: Micros,
    /// Whether any other attempt of the request is in flight.
    pub others_in_flight: bool,
}

/// Whether a request may be sent to a host again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may be sent again.
    Allowed {
        /// When the last byte has to be written; `None` means without limit.
        until: Option<Micros>,
    },
    /// The request may be sent again once no other attempt is in flight.
    NotYet,
    /// The request could take effect twice.
    Forbidden,
}

/// Whether a further attempt may go to the host `target`. With `hedging`, two attempts of a request
/// may be in flight at the same time.
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

/// Whether a client may be told that trying again, `retry_after` from now at the earliest, is
/// harmless.
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

/// The end of a deduplication window, less the time for which this process may stall before it
/// writes or cancels.
pub(super) fn window_end(sent_at: Micros, window: Micros) -> Micros {
    sent_at + window - MAX_PROCESS_STALL
}

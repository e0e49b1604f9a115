//! Counts and logs bytes from a host that answer no request of the connection they came on.

use std::time::Duration;

use basaltwood::types::HostId;
use basaltwood_connection_pool::ConnectionId;
use tokio::time::Instant;

use super::connection::ConnectionHistory;
use super::Upstreams;

/// Per host, at most one line at level info in this time; the others are at level debug.
const INFO_INTERVAL: Duration = Duration::from_secs(1);

/// Where surplus bytes were found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurplusPlace {
    /// On an idle connection, before its next use.
    Idle,
    /// Behind a whole response.
    BehindResponse,
}

impl SurplusPlace {
    /// All places.
    pub const EACH: [SurplusPlace; 2] = [SurplusPlace::Idle, SurplusPlace::BehindResponse];

    /// The place's name in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            SurplusPlace::Idle => "idle",
            SurplusPlace::BehindResponse => "behind_response",
        }
    }
}

impl Upstreams {
    /// Counts and logs surplus bytes of a host.
    pub(super) fn record_surplus(
        &self,
        host: HostId,
        connection: ConnectionId,
        place: SurplusPlace,
        history: &ConnectionHistory,
    ) {
        self.metrics.surplus_found(place);
        let now = Instant::now();
        let level = if self.may_log_surplus(host, now) { log::Level::Info } else { log::Level::Debug };
        let last = history.last_attempt();
        log::log!(
            level,
            host = host.0, connection = connection.0, place:?,
            last_request = last.map(|last| last.request.0), last_attempt = last.map(|last| last.number.0),
            requests = history.requests, open_ms = history.open_ms(now),
            since_request_us = history.since_request_us(now),
            since_response_us = history.since_response_us(now);
            "host sent more than it was asked for"
        );
    }

    /// Whether [`INFO_INTERVAL`] has passed since the last line about this host.
    fn may_log_surplus(&self, host: HostId, now: Instant) -> bool {
        let hosts = self.hosts.borrow();
        let Some(entry) = hosts.get(&host) else { return true };
        let is_due = entry.surplus_logged_at.get().is_none_or(|at| now >= at + INFO_INTERVAL);
        if is_due {
            entry.surplus_logged_at.set(Some(now));
        }
        is_due
    }
}

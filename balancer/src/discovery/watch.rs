//! The watch loop: calls discovery until the process exits, and applies each list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::Micros;
use basaltwood_membership::{WatchError, WatchSchedule};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use super::client::DiscoveryClient;
use super::{apply_list_in_slices, EndpointList};
use crate::clock::duration;
use crate::shared::Shared;

/// The shortest time from the start of a successful call to the start of the next: limits the load
/// if discovery does not hold calls.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);

/// The watch of the list, at discovery's current address.
pub struct ListWatch {
    shared: Rc<Shared>,
    address: watch::Receiver<SocketAddr>,
    schedule: WatchSchedule,
}

/// The watch of the list at one address.
struct AddressWatch<'a> {
    shared: &'a Shared,
    schedule: &'a mut WatchSchedule,
    client: DiscoveryClient<'a>,
    state: WatchState,
}

enum WatchState {
    /// A call is due or in progress.
    Calling,
    /// The next call starts at this time.
    Pausing(Instant),
}

impl ListWatch {
    /// A watch that makes its first call as soon as it runs.
    pub fn new(
        shared: Rc<Shared>,
        address: watch::Receiver<SocketAddr>,
        schedule: WatchSchedule,
    ) -> ListWatch {
        ListWatch { shared, address, schedule }
    }

    /// Runs until the sender of the address is dropped. When discovery's address changes, the
    /// current call is cancelled and its connection closed, so that lists of two discoveries never
    /// mix.
    pub async fn run(mut self) {
        loop {
            let address = *self.address.borrow_and_update();
            let address_watch = AddressWatch {
                shared: &self.shared,
                schedule: &mut self.schedule,
                client: DiscoveryClient::new(address, &self.shared.loop_profile),
                state: WatchState::Calling,
            };
            tokio::select! {
                () = address_watch.run() => {}
                moved = self.address.changed() => match moved {
                    Ok(()) => self.schedule.discovery_moved(),
                    Err(_) => return,
                },
            }
        }
    }
}

impl AddressWatch<'_> {
    /// Alternates between call and pause; never returns.
    async fn run(mut self) {
        loop {
            self.state = match self.state {
                WatchState::Calling => WatchState::Pausing(self.call().await),
                WatchState::Pausing(until) => {
                    sleep_until(until).await;
                    WatchState::Calling
                }
            };
        }
    }

    /// Makes one call; returns the time at which the next one is due.
    async fn call(&mut self) -> Instant {
        let began = Instant::now();
        log::debug!("asks discovery from version {:?}", self.schedule.known_version());
        match self.client.fetch(self.schedule, began).await {
            Ok(list) => {
                self.succeeded(list).await;
                began + MIN_CALL_INTERVAL
            }
            Err(error) => {
                let pause = self.failed(&error, began);
                Instant::now() + duration(pause)
            }
        }
    }

    async fn succeeded(&mut self, list: EndpointList) {
        if self.schedule.consecutive_failures() > 0 {
            log::info!("discovery answers again");
        }
        let whole = list.is_whole() || self.schedule.known_version().is_none();
        let version = apply_list_in_slices(self.shared, list, whole).await;
        self.schedule.succeeded(version, whole);
    }

    /// Counts and logs a failed call; returns how long to wait before the next.
    fn failed(&mut self, error: &WatchError, began: Instant) -> Micros {
        let counters = &self.shared.counters;
        match error {
            WatchError::Unavailable { .. } => counters.discovery_unavailable.add(),
            WatchError::TimedOut(_) => counters.discovery_timeouts.add(),
            WatchError::InvalidResponse(_) => counters.discovery_invalid.add(),
        }
        // Only the first failure in a row is logged, so that a discovery outage does not fill the
        // log.
        if self.schedule.consecutive_failures() == 0 {
            log::warn!("discovery: {}; the list stays as it is", error.cause());
        }
        let call_took = began.elapsed().as_micros() as Micros;
        self.schedule.failed(error, call_took)
    }
}

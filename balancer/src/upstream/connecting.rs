//! Opening a connection to a host, and whose fault it is where none comes up.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use basaltwood::types::AttemptOutcome;
use basaltwood_connection_pool::ConnectFailure;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use super::{connect, Upstreams};
use crate::clock::duration;
use crate::io_errors::{lacks_descriptors, FaultOrigin};

/// Between two tries to open a connection while this machine lacks something for it.
const SHORTAGE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Why no connection came up.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine lacks what a connection takes.
    #[error("this machine can't open one: {0}")]
    LocalShortage(io::Error),
    /// The attempt's own time was over before the host's.
    #[error("the attempt's time is over")]
    CutOff,
    /// The host refused it, or did not answer in time.
    #[error("{0}")]
    Host(io::Error),
}

impl ConnectError {
    /// What the pools learn from it of the host.
    pub fn pool_failure(&self) -> ConnectFailure {
        match self {
            ConnectError::LocalShortage(_) | ConnectError::CutOff => ConnectFailure::Local,
            ConnectError::Host(_) => ConnectFailure::Host,
        }
    }

    /// How the attempt ended. One that its own time cut off speaks against the host in the policy:
    /// where deadlines are shorter than a connect's time-out, nothing else would.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            ConnectError::LocalShortage(_) => AttemptOutcome::NotSent,
            ConnectError::CutOff | ConnectError::Host(_) => AttemptOutcome::Unreachable,
        }
    }
}

impl Upstreams {
    /// Connects. What this machine lacks for the moment is waited for, for half of the time that
    /// the attempt has: its request may be better off elsewhere then, or rejected early.
    pub(super) async fn connect_patiently(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<TcpStream, ConnectError> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let wait_until = Instant::now() + time_left / 2;
        loop {
            let host_deadline = Instant::now() + duration(self.limits.connect_timeout);
            let error = match connect(address, deadline.min(host_deadline)).await {
                Ok(stream) => return Ok(stream),
                Err(error) => error,
            };
            if FaultOrigin::of(&error) == FaultOrigin::Peer {
                let is_cut_off = error.kind() == ErrorKind::TimedOut && deadline < host_deadline;
                return Err(if is_cut_off { ConnectError::CutOff } else { ConnectError::Host(error) });
            }
            if Instant::now() >= wait_until {
                return Err(ConnectError::LocalShortage(error));
            }
            if lacks_descriptors(&error) {
                self.close_idle_connection();
            }
            sleep(SHORTAGE_RETRY_INTERVAL).await;
        }
    }
}

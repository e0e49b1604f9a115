//! Opens a connection to a host, and tells whose fault a failure is.

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

/// Interval between connects while this machine lacks a resource for a connection.
const SHORTAGE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Why a connection could not be established.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine lacks a resource for a connection.
    #[error("this machine lacks a resource for a connection: {0}")]
    LocalShortage(io::Error),
    /// The attempt's deadline passed before the connect timeout.
    #[error("the attempt's deadline passed during the connect")]
    DeadlinePassed,
    /// The host refused the connection or did not answer within the connect timeout.
    #[error("{0}")]
    Host(io::Error),
}

impl ConnectError {
    /// The failure as it is reported to the pools.
    pub fn pool_failure(&self) -> ConnectFailure {
        match self {
            ConnectError::LocalShortage(_) | ConnectError::DeadlinePassed => ConnectFailure::Local,
            ConnectError::Host(_) => ConnectFailure::Host,
        }
    }

    /// The outcome of the attempt. For the policy a connect that was ended by the attempt's
    /// deadline counts against the host: if deadlines are shorter than the connect timeout, nothing
    /// else would.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            ConnectError::LocalShortage(_) => AttemptOutcome::NotSent,
            ConnectError::DeadlinePassed | ConnectError::Host(_) => AttemptOutcome::Unreachable,
        }
    }
}

impl Upstreams {
    /// Connects. While this machine lacks a resource, the connect is retried for half of the
    /// attempt's time; after that the request is better sent elsewhere or rejected early.
    pub(super) async fn connect_with_retries(
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
            if FaultOrigin::of(&error) == FaultOrigin::Other {
                let deadline_passed = error.kind() == ErrorKind::TimedOut && deadline < host_deadline;
                return Err(if deadline_passed {
                    ConnectError::DeadlinePassed
                } else {
                    ConnectError::Host(error)
                });
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

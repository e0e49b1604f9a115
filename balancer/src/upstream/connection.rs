//! A connection to a cache host, the origin or discovery.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use basaltwood::types::AttemptKey;
use basaltwood_wire::buffer::Buffer;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::duplicates::ResponseFingerprint;
use crate::budget::DescriptorPermit;
use crate::outstanding::DeliveryLimit;

/// The read buffer that each connection to a host may have, in bytes.
const UNGRANTED_BUFFER: usize = 4 * 1024;

/// A connection that this balancer opened. Dropping it closes it: by a reset while a request may be
/// unanswered, so that nothing of the request is delivered later.
pub struct UpstreamConnection {
    pub stream: TcpStream,
    pub buffer: Buffer,
    pub(super) history: ConnectionHistory,
    pub(super) delivery_limit: DeliveryLimit,
    /// The last response on the connection.
    pub(super) last_response: Option<ResponseFingerprint>,
    /// `None` if the connection uses a descriptor that is reserved for it.
    _permit: Option<DescriptorPermit>,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        if self.history.awaits_response {
            // If this fails, the connection is closed in good order.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl UpstreamConnection {
    /// Wraps an established connection; at most `max_buffered` bytes are buffered.
    pub fn new(
        stream: TcpStream,
        permit: Option<DescriptorPermit>,
        max_buffered: usize,
    ) -> UpstreamConnection {
        let buffer = Buffer::new(max_buffered);
        let history = ConnectionHistory::new(Instant::now());
        UpstreamConnection {
            stream,
            buffer,
            history,
            delivery_limit: DeliveryLimit::default(),
            last_response: None,
            _permit: permit,
        }
    }
}

impl UpstreamConnection {
    /// Whether the next read fits into the memory that each connection to a host has; past that,
    /// memory has to be granted.
    pub(super) fn has_room(&self) -> bool {
        self.buffer.next_capacity() <= UNGRANTED_BUFFER
    }
}

/// What a connection has carried, for the log: responses carry no id, so these figures tell whether
/// the bytes that were read can be the response to the request that was written.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionHistory {
    opened_at: Instant,
    /// Number of requests written, with the one under way.
    pub(super) requests: u32,
    /// The attempt that was written last, and when its last byte was written.
    last_request: Option<(AttemptKey, Instant)>,
    last_response_at: Option<Instant>,
    /// Whether the response to a request, of which some bytes may be written, is not complete.
    awaits_response: bool,
}

impl ConnectionHistory {
    fn new(opened_at: Instant) -> ConnectionHistory {
        ConnectionHistory {
            opened_at,
            requests: 0,
            last_request: None,
            last_response_at: None,
            awaits_response: false,
        }
    }

    /// Records that the first byte of a request is about to be written.
    pub(super) fn request_begins(&mut self) {
        self.awaits_response = true;
    }

    /// Records that the last byte of an attempt was written.
    pub(super) fn request_written(&mut self, attempt: AttemptKey, at: Instant) {
        self.requests += 1;
        self.last_request = Some((attempt, at));
    }

    /// Records a whole response to the attempt that was written last.
    pub(super) fn response_read(&mut self, at: Instant) {
        self.last_response_at = Some(at);
        self.awaits_response = false;
    }

    /// Records that the response that was read may be that of another attempt: the one that was
    /// written last may still be on its way.
    pub(super) fn response_doubted(&mut self) {
        self.awaits_response = true;
    }

    /// The attempt that was written last.
    pub(super) fn last_attempt(&self) -> Option<AttemptKey> {
        self.last_request.map(|(attempt, _)| attempt)
    }

    /// How long the connection has been open, in milliseconds.
    pub(super) fn open_ms(&self, now: Instant) -> u64 {
        now.duration_since(self.opened_at).as_millis() as u64
    }

    /// Time since the last request's last byte, in microseconds.
    pub(super) fn since_request_us(&self, now: Instant) -> Option<u64> {
        self.last_request.map(|(_, at)| now.duration_since(at).as_micros() as u64)
    }

    /// Time since the last whole response, in microseconds.
    pub(super) fn since_response_us(&self, now: Instant) -> Option<u64> {
        self.last_response_at.map(|at| now.duration_since(at).as_micros() as u64)
    }
}

/// Opens a connection.
///
/// # Errors
/// `TimedOut` if it is not established by `deadline`; otherwise the error of the system call.
pub async fn connect(address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    let stream = timeout_at(deadline, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

//! The admin interface: one request per connection, answered without waiting for any client or
//! host.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use basaltwood_admin::{
    error_response, parse_request, response, AdminRequest, AdminRequestError, MetricsPage, MAX_REQUEST_BYTES,
};
use basaltwood_wire::buffer::Buffer;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::lifecycle::Phase;
use crate::memory_report::MemoryReport;
use crate::read;
use crate::shared::Shared;

/// The number of callers that may be connected at a time.
const MAX_CALLERS: usize = 10;
/// The number of descriptors reserved for this interface: for the listener, the callers, and one
/// accepted connection that does not count as a caller yet.
pub const RESERVED_DESCRIPTORS: usize = MAX_CALLERS + 2;
/// How long a caller can't be evicted: its request may be on its way.
const MIN_CALLER_TIME: Duration = Duration::from_millis(50);
/// The time in which a whole request must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for writing the answer and for the caller to close. Closing while bytes are unread
/// would reset the connection, and the answer could be lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The pause after a failed accept, for example when descriptors are short.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The HTTP status "Request Timeout".
const STATUS_REQUEST_TIMEOUT: u16 = 408;
/// The HTTP status "Request Header Fields Too Large".
const STATUS_HEAD_TOO_LARGE: u16 = 431;

/// Serves the operators' requests on a listener of its own.
pub struct AdminServer {
    shared: Rc<Shared>,
    phase: Rc<watch::Sender<Phase>>,
    /// Connected callers, the oldest first.
    callers: RefCell<VecDeque<Caller>>,
    next_caller: Cell<u64>,
}

struct Caller {
    number: u64,
    accepted_at: Instant,
    task: AbortHandle,
}

/// Removes a caller from [`AdminServer::callers`] when its task ends or is aborted.
struct CallerGuard {
    server: Rc<AdminServer>,
    number: u64,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.server.callers.borrow_mut().retain(|caller| caller.number != self.number);
    }
}

impl AdminServer {
    /// A server that reads and changes `phase`.
    pub fn new(shared: Rc<Shared>, phase: Rc<watch::Sender<Phase>>) -> Rc<AdminServer> {
        Rc::new(AdminServer { shared, phase, callers: RefCell::default(), next_caller: Cell::new(0) })
    }

    /// Accepts callers; never returns.
    pub async fn accept(self: Rc<AdminServer>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.evict_callers().await;
                    self.clone().connected(stream);
                }
                Err(cause) => {
                    log::warn!("admin interface (mgmt): accept failed: {cause}");
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn connected(self: Rc<AdminServer>, stream: TcpStream) {
        let number = self.next_caller.replace(self.next_caller.get() + 1);
        let guard = CallerGuard { server: self.clone(), number };
        let task = spawn_local(self.clone().serve(guard, stream)).abort_handle();
        self.callers.borrow_mut().push_back(Caller { number, accepted_at: Instant::now(), task });
    }

    /// Evicts the oldest callers until one more may connect: callers that send nothing stay for
    /// [`REQUEST_TIMEOUT`], and must not keep others out.
    async fn evict_callers(&self) {
        while self.is_full() {
            let oldest = self.callers.borrow().front().map(|caller| caller.accepted_at);
            if let Some(accepted_at) = oldest {
                sleep_until(accepted_at + MIN_CALLER_TIME).await;
            }
            // Callers may have left in the meantime.
            if self.is_full() {
                let oldest = self.callers.borrow_mut().pop_front();
                oldest.inspect(|oldest| oldest.task.abort());
            }
        }
    }

    fn is_full(&self) -> bool {
        self.callers.borrow().len() >= MAX_CALLERS
    }

    async fn serve(self: Rc<AdminServer>, _guard: CallerGuard, mut stream: TcpStream) {
        let answer = match timeout(REQUEST_TIMEOUT, read_request(&mut stream)).await {
            Ok(Some(Ok(request))) => self.respond(request),
            Ok(Some(Err(error))) => error_response(&error),
            Ok(None) => return,
            Err(_) => response(STATUS_REQUEST_TIMEOUT, ""),
        };
        // The answer is dropped if the caller does not read it in time.
        let _ = timeout(LINGER_TIMEOUT, send_and_close(&mut stream, &answer)).await;
    }

    fn respond(&self, request: AdminRequest) -> Bytes {
        match request {
            AdminRequest::Ready if self.is_ready() => response(200, "ready\n"),
            AdminRequest::Ready => response(503, "not ready\n"),
            AdminRequest::Vars => response(200, self.metrics().text()),
            AdminRequest::LameDuckOn => self.enter_phase(Phase::LameDuck),
            AdminRequest::LameDuckOff => self.enter_phase(Phase::Serving),
        }
    }

    fn metrics(&self) -> MetricsPage {
        let mut page = self.shared.metrics.render();
        MemoryReport::read(&self.shared.budget).add_to(&mut page);
        page
    }

    fn is_ready(&self) -> bool {
        let serves = matches!(*self.phase.borrow(), Phase::Serving | Phase::LameDuck);
        serves && self.shared.metrics.has_hosts()
    }

    /// Switches between `Serving` and `LameDuck`; refused while the process starts or ends.
    fn enter_phase(&self, next: Phase) -> Bytes {
        let current = *self.phase.borrow();
        if !matches!(current, Phase::Serving | Phase::LameDuck) {
            return response(503, "not now\n");
        }
        if current != next {
            log::info!("phase: {next:?}");
            self.phase.send_replace(next);
        }
        response(200, "done\n")
    }
}

/// Reads a request; an error if it is refused, `None` if the caller closed before it was complete.
async fn read_request(stream: &mut TcpStream) -> Option<Result<AdminRequest, AdminRequestError>> {
    let mut buffer = Buffer::new(MAX_REQUEST_BYTES);
    loop {
        if let Some(request) = parse_request(buffer.bytes()).transpose() {
            return Some(request);
        }
        match read(stream, &mut buffer).await {
            Ok(1..) => {}
            // The buffer is full and contains no complete request.
            Err(cause) if cause.kind() == io::ErrorKind::InvalidData => {
                return Some(Err(AdminRequestError { status: STATUS_HEAD_TOO_LARGE, allow: None }));
            }
            _ => return None,
        }
    }
}

async fn send_and_close(stream: &mut TcpStream, answer: &[u8]) -> io::Result<()> {
    stream.write_all(answer).await?;
    stream.shutdown().await?;
    let mut discarded = [0; 1024];
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}

//! The operators' front: one call to a connection, answered at once from what stands ready, whatever clients do.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use basaltwood_admin::{
    error_response, parse_request, response, AdminRequest, AdminRequestError, MAX_REQUEST_BYTES,
};
use basaltwood_wire::buffer::Buffer;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::lifecycle::Phase;
use crate::read;
use crate::shared::Shared;

/// Callers at a time.
const MAX_CALLERS: usize = 10;
/// Descriptors set aside for this front: the listener, callers, and one that is not yet among them.
pub const RESERVED_DESCRIPTORS: usize = MAX_CALLERS + 2;
/// So long a caller is not closed to make room: what it sent may not have been read yet.
const MIN_CALLER_TIME: Duration = Duration::from_millis(50);
/// A call is whole by then.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// For the answer to be taken, and the caller's end to come: a close over unread bytes would reset the connection and
/// could take the answer along.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

pub struct AdminServer {
    shared: Rc<Shared>,
    phase: Rc<watch::Sender<Phase>>,
    callers: RefCell<VecDeque<Caller>>,
    next: Cell<u64>,
}

/// A connection, the one that stands longest first.
struct Caller {
    number: u64,
    accepted_at: Instant,
    task: AbortHandle,
}

/// Takes a caller off the books, however its task ends.
struct CallerGuard(Rc<AdminServer>, u64);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.callers.borrow_mut().retain(|caller| caller.number != self.1);
    }
}

impl AdminServer {
    pub fn new(shared: Rc<Shared>, phase: Rc<watch::Sender<Phase>>) -> Rc<AdminServer> {
        Rc::new(AdminServer { shared, phase, callers: RefCell::default(), next: Cell::new(0) })
    }

    /// Accepts for ever.
    pub async fn accept(self: Rc<AdminServer>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.make_room().await;
                    let number = self.next.replace(self.next.get() + 1);
                    let task = spawn_local(self.clone().serve(CallerGuard(self.clone(), number), stream));
                    let caller = Caller { number, accepted_at: Instant::now(), task: task.abort_handle() };
                    self.callers.borrow_mut().push_back(caller);
                }
                Err(cause) => {
                    log::warn!("accept at mgmt: {cause}");
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Callers that say nothing stay for seconds and must not keep others out: the one that stands longest goes.
    async fn make_room(&self) {
        while self.callers.borrow().len() >= MAX_CALLERS {
            let evictable_at =
                self.callers.borrow().front().map(|oldest| oldest.accepted_at + MIN_CALLER_TIME);
            if let Some(evictable_at) = evictable_at {
                sleep_until(evictable_at).await;
            }
            if self.callers.borrow().len() >= MAX_CALLERS {
                let oldest = self.callers.borrow_mut().pop_front();
                oldest.inspect(|oldest| oldest.task.abort());
            }
        }
    }

    async fn serve(self: Rc<AdminServer>, _guard: CallerGuard, mut stream: TcpStream) {
        let mut buffer = Buffer::new(MAX_REQUEST_BYTES);
        let whole = async {
            loop {
                if let Some(request) = parse_request(buffer.bytes()).transpose() {
                    return Some(request);
                }
                // Longer than any call without being one is too long a head.
                match read(&mut stream, &mut buffer).await {
                    Ok(1..) => {}
                    Err(cause) if cause.kind() == std::io::ErrorKind::InvalidData => {
                        return Some(Err(AdminRequestError { status: 431, allow: None }));
                    }
                    _ => return None,
                }
            }
        };
        let response = match timeout(REQUEST_TIMEOUT, whole).await {
            Ok(Some(Ok(request))) => self.respond(request),
            Ok(Some(Err(error))) => error_response(&error),
            // It went before its call was whole.
            Ok(None) => return,
            Err(_) => response(408, ""),
        };
        let _ = timeout(LINGER_TIMEOUT, async {
            if stream.write_all(&response).await.is_ok() && stream.shutdown().await.is_ok() {
                let mut rest = [0; 1024];
                while matches!(stream.read(&mut rest).await, Ok(1..)) {}
            }
        })
        .await;
    }

    fn respond(&self, request: AdminRequest) -> Bytes {
        match request {
            AdminRequest::Ready => match *self.phase.borrow() {
                Phase::Serving | Phase::LameDuck if self.shared.metrics.has_hosts() => {
                    response(200, "ready\n")
                }
                _ => response(503, "not ready\n"),
            },
            AdminRequest::Vars => response(200, self.shared.metrics.render().text()),
            AdminRequest::LameDuckOn => self.enter_phase(Phase::LameDuck),
            AdminRequest::LameDuckOff => self.enter_phase(Phase::Serving),
        }
    }

    /// Between serving and the drain; a balancer that begins or ends stays with that.
    fn enter_phase(&self, next: Phase) -> Bytes {
        let now = *self.phase.borrow();
        if !matches!(now, Phase::Serving | Phase::LameDuck) {
            return response(503, "not now\n");
        }
        if now != next {
            log::info!("{next:?}");
            self.phase.send_replace(next);
        }
        response(200, "done\n")
    }
}

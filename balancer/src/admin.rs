//! The operators' front: one call to a connection, answered at once from what stands ready, whatever clients do.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use basaltwood_admin::{answered, call, refused, Call, Refusal, MOST};
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
const CALLERS: usize = 10;
/// Descriptors set aside for this front: the listener, callers, and one that is not yet among them.
pub const DESCRIPTORS: usize = CALLERS + 2;
/// So long a caller is not closed to make room: what it sent may not have been read yet.
const UNHEARD: Duration = Duration::from_millis(50);
/// A call is whole by then.
const WHOLE: Duration = Duration::from_secs(2);
/// For the answer to be taken, and the caller's end to come: a close over unread bytes would reset the connection and
/// could take the answer along.
const LINGER: Duration = Duration::from_millis(200);
const AGAIN: Duration = Duration::from_millis(20);

pub struct Front {
    shared: Rc<Shared>,
    phase: Rc<watch::Sender<Phase>>,
    callers: RefCell<VecDeque<Caller>>,
    next: Cell<u64>,
}

/// A connection, the one that stands longest first.
struct Caller {
    number: u64,
    since: Instant,
    task: AbortHandle,
}

/// Takes a caller off the books, however its task ends.
struct Place(Rc<Front>, u64);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.callers.borrow_mut().retain(|caller| caller.number != self.1);
    }
}

impl Front {
    pub fn new(shared: Rc<Shared>, phase: Rc<watch::Sender<Phase>>) -> Rc<Front> {
        Rc::new(Front { shared, phase, callers: RefCell::default(), next: Cell::new(0) })
    }

    /// Accepts for ever.
    pub async fn accept(self: Rc<Front>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.room().await;
                    let number = self.next.replace(self.next.get() + 1);
                    let task = spawn_local(self.clone().serve(Place(self.clone(), number), stream));
                    let caller = Caller { number, since: Instant::now(), task: task.abort_handle() };
                    self.callers.borrow_mut().push_back(caller);
                }
                Err(cause) => {
                    log::warn!("accept at mgmt: {cause}");
                    sleep(AGAIN).await;
                }
            }
        }
    }

    /// Callers that say nothing stay for seconds and must not keep others out: the one that stands longest goes.
    async fn room(&self) {
        while self.callers.borrow().len() >= CALLERS {
            let heard = self.callers.borrow().front().map(|oldest| oldest.since + UNHEARD);
            if let Some(heard) = heard {
                sleep_until(heard).await;
            }
            if self.callers.borrow().len() >= CALLERS {
                let oldest = self.callers.borrow_mut().pop_front();
                oldest.inspect(|oldest| oldest.task.abort());
            }
        }
    }

    async fn serve(self: Rc<Front>, _place: Place, mut stream: TcpStream) {
        let mut buffer = Buffer::new(MOST);
        let whole = async {
            loop {
                if let Some(called) = call(buffer.bytes()).transpose() {
                    return Some(called);
                }
                // Longer than any call without being one is too long a head.
                match read(&mut stream, &mut buffer).await {
                    Ok(1..) => {}
                    Err(cause) if cause.kind() == std::io::ErrorKind::InvalidData => {
                        return Some(Err(Refusal { status: 431, allow: None }));
                    }
                    _ => return None,
                }
            }
        };
        let answer = match timeout(WHOLE, whole).await {
            Ok(Some(Ok(call))) => self.answer(call),
            Ok(Some(Err(refusal))) => refused(&refusal),
            // It went before its call was whole.
            Ok(None) => return,
            Err(_) => answered(408, ""),
        };
        let _ = timeout(LINGER, async {
            if stream.write_all(&answer).await.is_ok() && stream.shutdown().await.is_ok() {
                let mut rest = [0; 1024];
                while matches!(stream.read(&mut rest).await, Ok(1..)) {}
            }
        })
        .await;
    }

    fn answer(&self, call: Call) -> Bytes {
        match call {
            Call::Ready => match *self.phase.borrow() {
                Phase::Serving | Phase::LameDuck if self.shared.metrics.listed() => answered(200, "ready\n"),
                _ => answered(503, "not ready\n"),
            },
            Call::Vars => answered(200, self.shared.metrics.page().text()),
            Call::LameDuckOn => self.enter(Phase::LameDuck),
            Call::LameDuckOff => self.enter(Phase::Serving),
        }
    }

    /// Between serving and the drain; a balancer that begins or ends stays with that.
    fn enter(&self, next: Phase) -> Bytes {
        let now = *self.phase.borrow();
        if !matches!(now, Phase::Serving | Phase::LameDuck) {
            return answered(503, "not now\n");
        }
        if now != next {
            log::info!("{next:?}");
            self.phase.send_replace(next);
        }
        answered(200, "done\n")
    }
}

//! A connection of the load generator to a balancer: commands are pipelined, and replies arrive in
//! the order of the commands.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp;
use bytes::{BufMut, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};

use crate::ledger::{Ledger, Observation, RequestId};
use crate::time::Micros;

/// Space for what one read brings beyond a whole reply, in bytes.
const READ_AHEAD_BYTES: usize = 16 * 1024;
/// The number of digits of the request id with which a value begins.
const REQUEST_ID_DIGITS: usize = 16;

/// A balancer's reply to a command.
pub(super) enum ClientReply {
    /// A value; `own` if it was made for this command.
    Value {
        own: bool,
    },
    /// `-BUSY`, optionally with a Retry-After.
    Rejected {
        retry_after_ms: Option<u64>,
    },
    Failed,
}

/// When a request's first attempt was written; shared by all its attempts.
pub(super) type SentAt = Rc<Cell<Option<Micros>>>;

/// A command in the output buffer.
struct Unsent {
    /// Recorded in the ledger once the command is written.
    observation: Observation,
    sent_at: SentAt,
}

/// A command whose reply is awaited.
struct Awaited {
    id: RequestId,
    /// Since when no other reply precedes this one.
    next_since: Option<Micros>,
    reply: oneshot::Sender<ClientReply>,
}

/// An open connection. Its task ends once the connection is marked as closed.
#[derive(Default)]
pub(super) struct Connection {
    output: RefCell<BytesMut>,
    unsent: RefCell<Vec<Unsent>>,
    awaited: RefCell<VecDeque<Awaited>>,
    changed: Notify,
    closed: Cell<bool>,
    /// Whether the client closed the connection.
    closed_by_client: Cell<bool>,
}

impl Connection {
    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// The number of commands without a reply.
    pub(super) fn in_flight(&self) -> usize {
        self.awaited.borrow().len()
    }

    /// Sends a command. The receiver fails if the connection ends before the reply.
    pub(super) fn send(
        &self,
        id: RequestId,
        command: &[u8],
        observation: Observation,
        sent_at: SentAt,
        now: Micros,
    ) -> oneshot::Receiver<ClientReply> {
        let (reply, receiver) = oneshot::channel();
        self.output.borrow_mut().put_slice(command);
        self.unsent.borrow_mut().push(Unsent { observation, sent_at });
        let next_since = self.awaited.borrow().is_empty().then_some(now);
        self.awaited.borrow_mut().push_back(Awaited { id, next_since, reply });
        self.changed.notify_one();
        receiver
    }

    /// Since when the reply to this command is the next one; none if other replies precede it.
    pub(super) fn next_since(&self, id: RequestId) -> Option<Micros> {
        self.awaited.borrow().front().filter(|first| first.id == id).and_then(|first| first.next_since)
    }

    /// Whether the client closed the connection, and with it abandoned all its commands.
    pub(super) fn was_closed_by_client(&self) -> bool {
        self.closed_by_client.get()
    }

    /// Closes the connection from the client's side.
    pub(super) fn close(&self) {
        self.closed_by_client.set(true);
        self.closed.set(true);
        self.changed.notify_one();
    }

    /// Writes the output buffer; returns whether it held anything.
    async fn write_output(
        &self,
        writing: &mut (impl AsyncWrite + Unpin),
        ledger: &Ledger,
    ) -> std::io::Result<bool> {
        let output = self.output.borrow_mut().split().freeze();
        if output.is_empty() {
            return Ok(false);
        }
        let now = ledger.clock.now();
        let unsent = self.unsent.take();
        for command in &unsent {
            set_if_unset(&command.sent_at, now);
        }
        writing.write_all(&output).await?;
        for command in unsent {
            ledger.note(command.observation);
        }
        Ok(true)
    }

    /// Passes each whole reply in the buffer to its command's receiver.
    fn deliver_replies(
        &self,
        buffer: &mut Buffer,
        balancer: usize,
        ledger: &Ledger,
    ) -> Result<(), resp::RespError> {
        while let Some((reply, consumed)) = resp::parse_balancer_reply(buffer.bytes())? {
            let made_for = made_for(&reply, buffer.bytes());
            buffer.consume(consumed);
            let awaited = self.awaited.borrow_mut().pop_front();
            let Some(awaited) = awaited else {
                ledger.note(Observation::UnsolicitedReply { balancer });
                continue;
            };
            let reply = match reply {
                resp::BalancerReply::Value(_) => ClientReply::Value { own: made_for == Some(awaited.id) },
                resp::BalancerReply::Busy(retry_after_ms) => ClientReply::Rejected { retry_after_ms },
                resp::BalancerReply::Failed => ClientReply::Failed,
            };
            // The send fails if the client has just stopped waiting.
            let _ = awaited.reply.send(reply);
            if let Some(next) = self.awaited.borrow_mut().front_mut() {
                next.next_since = Some(ledger.clock.now());
                ledger.note(Observation::ReplyIsNext { id: next.id });
            }
        }
        Ok(())
    }
}

/// Records when a request was first sent; later calls have no effect.
pub(super) fn set_if_unset(sent_at: &Cell<Option<Micros>>, now: Micros) {
    if sent_at.get().is_none() {
        sent_at.set(Some(now));
    }
}

/// The id of the request for which a value was made.
fn made_for(reply: &resp::BalancerReply, bytes: &[u8]) -> Option<RequestId> {
    let resp::BalancerReply::Value(range) = reply else { return None };
    let value = bytes.get(range.clone())?;
    RequestId::read(value.get(..REQUEST_ID_DIGITS)?)
}

/// Reads and writes a connection until either side closes it, then notifies `freed`.
pub(super) async fn run(
    connection: Rc<Connection>,
    mut stream: TcpStream,
    balancer: usize,
    freed: Rc<Notify>,
    ledger: Ledger,
) {
    let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE + READ_AHEAD_BYTES);
    let (mut reading, mut writing) = stream.split();
    while !connection.is_closed() {
        match connection.write_output(&mut writing, &ledger).await {
            Ok(true) => continue,
            Ok(false) => {}
            Err(_) => break,
        }
        let Ok(mut unfilled) = buffer.unfilled() else { break };
        tokio::select! {
            biased;
            read = reading.read_buf(&mut unfilled) => if !matches!(read, Ok(1..)) { break },
            () = connection.changed.notified() => continue,
        }
        if connection.deliver_replies(&mut buffer, balancer, &ledger).is_err() {
            break;
        }
    }
    connection.closed.set(true);
    // Dropping the senders tells the waiting requests that the connection has ended.
    connection.awaited.borrow_mut().clear();
    freed.notify_one();
}

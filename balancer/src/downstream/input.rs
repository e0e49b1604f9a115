//! What a client sends: bytes into commands, with values of their own when they are not small.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use basaltwood_wire::body::Body;
use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp::{self, CompleteCommand, ParsedCommand};
use bytes::Bytes;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::tcp::ReadHalf;
use tokio::time::sleep;

use crate::budget::ValuePermit;
use crate::read;
use crate::shared::Shared;
use crate::socket_io::read_buf;

/// What a connection may hold, in bytes, while others hold all that there is: enough for commands
/// without a value.
pub const UNBUDGETED_BYTES: usize = 4 * 1024;
/// Between looks whether a client has gone of which nothing more is read: no attempt may begin for
/// it over 0.1 s after that. Source: the operators' page on real days.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a client's bytes are no command; nothing that it sends after that is read. The text is what
/// it is told.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// No RESP2.
    #[error("{0}")]
    Malformed(String),
    /// A command without its value that is longer than any may be.
    #[error("too long a command")]
    CommandTooLong,
    /// A value that can't be taken.
    #[error("too long a value")]
    ValueTooLong,
    /// Bytes other than the end of a line behind a value.
    #[error("a bulk string without its end")]
    MissingTerminator,
    /// A command that was begun and not ended.
    #[error("no whole command in time")]
    TimedOut,
}

/// A whole command.
pub struct Command {
    /// Its words, but for a value that was read by itself. A blank line has none.
    pub words: Vec<Bytes>,
    /// The value that was read by itself.
    pub value: Option<SeparateValue>,
}

impl Command {
    /// The bytes that no [`ValuePermit`] accounts for.
    pub fn unreserved_size(&self) -> usize {
        let unreserved = self.value.iter().filter(|value| matches!(value.memory, ValueMemory::Unreserved));
        let segments = unreserved.flat_map(|value| &value.segments);
        self.words.iter().chain(segments).map(Bytes::len).sum()
    }
}

/// A value that was read by itself.
pub struct SeparateValue {
    /// Its bytes, in order.
    pub segments: Vec<Bytes>,
    /// Where its memory came from.
    pub memory: ValueMemory,
}

/// The memory for a value.
pub enum ValueMemory {
    /// A small one is accounted for as any command is.
    Unreserved,
    /// To be had once it is this one's turn.
    Awaited(Pin<Box<dyn Future<Output = Option<ValuePermit>>>>),
    /// Reserved whole.
    Reserved(ValuePermit),
}

/// A command of which the value is still being read.
struct IncomingValue {
    words: Vec<Bytes>,
    body: Body,
    memory: ValueMemory,
}

impl IncomingValue {
    fn new(shared: &Shared, words: Vec<Bytes>, length: usize) -> IncomingValue {
        let memory = if length > UNBUDGETED_BYTES {
            ValueMemory::Awaited(Box::pin(shared.budget.clone().reserve_value(length)))
        } else {
            ValueMemory::Unreserved
        };
        IncomingValue { words, body: Body::new(length), memory }
    }

    fn awaits_memory(&self) -> bool {
        matches!(self.memory, ValueMemory::Awaited(_))
    }

    /// Whether it has memory of its own, or will have.
    fn has_own_memory(&self) -> bool {
        !matches!(self.memory, ValueMemory::Unreserved)
    }

    fn into_command(self) -> Command {
        let IncomingValue { words, body, memory } = self;
        Command { words, value: Some(SeparateValue { segments: body.into_segments(), memory }) }
    }
}

/// What came of waiting for input.
pub enum InputEvent {
    /// So many bytes were read; 0 at the end of the stream.
    Read(io::Result<usize>),
    /// The value that is being read has its memory now.
    MemoryReserved,
    /// The client has gone, seen without reading what it sent before.
    Disconnected,
}

/// The input side of a connection.
pub struct Input {
    buffer: Buffer,
    incoming: Option<IncomingValue>,
}

impl Input {
    /// An empty one.
    pub fn new() -> Input {
        Input { buffer: Buffer::new(resp::MAX_BUFFERED_MESSAGE), incoming: None }
    }

    /// Whether part of a command has come.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty() || self.incoming.is_some()
    }

    /// Whether a value is being read.
    pub fn has_incoming_value(&self) -> bool {
        self.incoming.is_some()
    }

    /// Whether the value that is being read waits for its memory.
    pub fn awaits_memory(&self) -> bool {
        self.incoming.as_ref().is_some_and(IncomingValue::awaits_memory)
    }

    /// Whether bytes may be read although none are left of what all connections may hold: they have
    /// memory of their own, or are so few that others must not keep this client from being served.
    pub fn may_exceed_memory(&self, is_idle: bool) -> bool {
        let has_own_memory = self.incoming.as_ref().is_some_and(IncomingValue::has_own_memory);
        has_own_memory || (is_idle && self.buffer.bytes().len() < UNBUDGETED_BYTES)
    }

    /// Whether the buffer can take more bytes of commands, and no value is being read.
    pub fn can_read_ahead(&self) -> bool {
        self.incoming.is_none() && !self.buffer.is_full()
    }

    /// The bytes that no [`ValuePermit`] accounts for.
    pub fn unreserved_size(&self) -> usize {
        let unreserved = self.incoming.as_ref().filter(|incoming| !incoming.has_own_memory());
        self.buffer.capacity() + unreserved.map_or(0, |incoming| incoming.body.length())
    }

    /// Gives up the value that is being read.
    pub fn drop_incoming_value(&mut self) {
        self.incoming = None;
    }

    /// Takes the next command from what was read; `None` while it is not whole.
    ///
    /// # Errors
    /// Where the bytes can become no command any more.
    pub fn next_command(&mut self, shared: &Shared) -> Result<Option<Command>, ProtocolError> {
        if self.incoming.is_none() {
            match resp::parse_command(self.buffer.bytes()).map_err(malformed)? {
                None if self.buffer.is_full() => return Err(ProtocolError::CommandTooLong),
                None => return Ok(None),
                Some(ParsedCommand::Complete(CompleteCommand { words, consumed: used })) => {
                    self.buffer.consume(used);
                    return Ok(Some(Command { words, value: None }));
                }
                Some(ParsedCommand::ValuePending { words, consumed: used, value_length: length }) => {
                    // What can't be taken is refused before it comes.
                    if length > resp::MAX_BUFFERED_VALUE && !can_take_value(shared, &words[0], length) {
                        return Err(ProtocolError::ValueTooLong);
                    }
                    self.buffer.consume(used);
                    self.incoming = Some(IncomingValue::new(shared, words, length));
                }
            }
        }
        self.take_value()
    }

    /// Completes the value that is being read, if all of it is there.
    fn take_value(&mut self) -> Result<Option<Command>, ProtocolError> {
        let Some(incoming) = self.incoming.as_mut().filter(|incoming| !incoming.awaits_memory()) else {
            return Ok(None);
        };
        let taken = incoming.body.copy_from(self.buffer.bytes());
        self.buffer.consume(taken);
        if incoming.body.remaining() > 0 {
            return Ok(None);
        }
        match self.buffer.bytes().get(..resp::CRLF.len()) {
            None => return Ok(None),
            Some(resp::CRLF) => self.buffer.consume(resp::CRLF.len()),
            Some(_) => return Err(ProtocolError::MissingTerminator),
        }
        Ok(self.incoming.take().map(IncomingValue::into_command))
    }

    /// Waits for input: into the value that is being read or else into the buffer; a value that is
    /// not small waits for its memory first. Where no more is to be read, only the client's end
    /// ends this.
    pub async fn wait(&mut self, reader: &mut ReadHalf<'_>, reads: bool) -> InputEvent {
        match &mut self.incoming {
            Some(IncomingValue { memory, .. }) if matches!(memory, ValueMemory::Awaited(_)) => {
                if let ValueMemory::Awaited(reservation) = memory {
                    tokio::select! {
                        // There is always a permit: the budget outlives every connection.
                        permit = reservation => {
                            *memory = permit.map_or(ValueMemory::Unreserved, ValueMemory::Reserved);
                        }
                        () = disconnected(reader) => return InputEvent::Disconnected,
                    }
                }
                InputEvent::MemoryReserved
            }
            _ if !reads => {
                disconnected(reader).await;
                InputEvent::Disconnected
            }
            Some(IncomingValue { body, .. }) if body.remaining() > 0 => {
                let read = read_buf(reader, &mut body.unfilled()).await;
                InputEvent::Read(read.inspect(|&count| body.advance(count)))
            }
            _ => InputEvent::Read(read(reader, &mut self.buffer).await),
        }
    }

    /// Reads what is there already; whether there was anything.
    pub fn try_read(&mut self, reader: &mut ReadHalf<'_>) -> bool {
        matches!(self.buffer.unfilled().map(|room| reader.try_read_buf(room)), Ok(Ok(1..)))
    }
}

fn malformed(cause: impl ToString) -> ProtocolError {
    ProtocolError::Malformed(cause.to_string())
}

/// Whether a value past the length of a bulk string belongs to a command that may have one, and can
/// be held.
fn can_take_value(shared: &Shared, command: &[u8], length: usize) -> bool {
    command.eq_ignore_ascii_case(b"CACHE.SET") && shared.budget.can_hold_value(length)
}

/// Waits until the client has ended its side, or the connection broke. Seen without reading what
/// came before: while nothing more is read of a connection, its requests must not go on for nobody.
async fn disconnected(reader: &ReadHalf<'_>) {
    while reader.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        // There is something unread, which nobody may take yet.
        sleep(DISCONNECT_POLL_INTERVAL).await;
    }
}

//! Input of a client's connection: reads bytes and parses commands. Values that are not small are
//! read into memory of their own.

use std::io;
use std::time::Duration;

use basaltwood::policy::UnreadBytes;
use basaltwood::types::Micros;
use basaltwood_memory_ledger::Purpose;
use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp::{self, CompleteCommand, ParsedCommand};
use bytes::Bytes;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::tcp::ReadHalf;
use tokio::time::{sleep, Instant};

use super::incoming_value::IncomingValue;
use crate::budget::{MemoryGrant, ResourceBudget, ValueGrant};
use crate::read;
use crate::shared::Shared;
use crate::socket_io::read_buf;

/// Bytes that a connection may hold although the memory budget is used up by others: enough for
/// commands without a value.
pub const UNBUDGETED_BYTES: usize = 4 * 1024;
/// How many bytes of commands are read before these can be served, memory permitting: the end of a client's
/// connection shows only behind all that it has sent.
const MAX_READ_AHEAD: usize = 512 * 1024;
/// How often a client from which nothing more is read is checked for having disconnected: no
/// attempt may begin for it more than 0.1 s after it left. Source: the operators' requirements.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a client's bytes can't be parsed as a command. Nothing that the client sends afterwards is
/// read. The text is sent to the client.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The bytes are not RESP2.
    #[error("{0}")]
    Malformed(String),
    /// The command, not counting its value, is longer than the input buffer.
    #[error("too long a command")]
    CommandTooLong,
    /// The value is too long for its command or for the memory budget.
    #[error("too long a value")]
    ValueTooLong,
    /// A value is not followed by CRLF.
    #[error("a bulk string without its end")]
    MissingTerminator,
    /// The rest of a command did not arrive in time.
    #[error("no whole command in time")]
    TimedOut,
}

/// A complete command.
pub struct Command {
    /// The command's words without a value that was read separately. Empty for a blank line.
    pub words: Vec<Bytes>,
    /// The value, if it was read separately.
    pub value: Option<SeparateValue>,
    /// The memory of the words beyond what each connection has for them.
    pub memory: Option<MemoryGrant>,
}

/// A value that was read separately from its command's other words.
pub struct SeparateValue {
    /// The value's bytes, in order.
    pub segments: Vec<Bytes>,
    /// The memory of the value; `None` for a small one.
    pub memory: Option<ValueGrant>,
}

/// What is read after the words of a command.
enum Incoming {
    /// The command's value.
    Value(IncomingValue),
    /// The rest of a value that was refused; so many bytes are dropped.
    Discarded(usize),
}

/// The result of waiting for input.
pub enum InputEvent {
    /// The number of bytes read; 0 at the end of the stream.
    Read(io::Result<usize>),
    /// The client has disconnected; bytes that it sent before may be unread.
    Disconnected,
}

/// The input side of a connection.
pub struct Input {
    buffer: Buffer,
    /// What the buffer and copies of its contents need beyond what each connection has.
    memory: MemoryGrant,
    incoming: Option<Incoming>,
    /// Since when bytes may lie unread that no other request of this client holds up.
    pub unread: UnreadBytes,
}

impl Input {
    /// Creates an empty input.
    pub fn new(budget: &ResourceBudget) -> Input {
        Input {
            buffer: Buffer::new(MAX_READ_AHEAD),
            memory: budget.memory.empty_grant(Purpose::Input),
            incoming: None,
            unread: UnreadBytes::default(),
        }
    }

    /// Whether part of a command has arrived.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty() || self.incoming.is_some()
    }

    /// Whether a value is being read.
    pub fn has_incoming_value(&self) -> bool {
        self.incoming.is_some()
    }

    /// Whether a value is read that was refused already.
    pub fn is_discarding(&self) -> bool {
        matches!(self.incoming, Some(Incoming::Discarded(_)))
    }

    /// The value that waits for memory, if one does.
    pub fn waiting_value(&mut self) -> Option<&IncomingValue> {
        let Some(Incoming::Value(value)) = &mut self.incoming else { return None };
        if value.has_memory() {
            None
        } else {
            Some(value)
        }
    }

    /// Reserves the memory for the next read; returns whether it may be made. Each connection has the
    /// memory of a short command.
    pub fn reserve_read(&mut self) -> bool {
        match &mut self.incoming {
            Some(Incoming::Value(value)) if value.remaining() > 0 => value.has_memory(),
            // The words are copied out of the buffer, so its contents may be held twice.
            _ => {
                self.memory.try_resize((2 * self.buffer.next_capacity()).saturating_sub(2 * UNBUDGETED_BYTES))
            }
        }
    }

    /// Takes words of this length off the buffer, with the memory that their copy has.
    fn consume_words(&mut self, length: usize) -> Option<MemoryGrant> {
        self.buffer.consume(length);
        let needed = self.buffer.capacity() + self.buffer.bytes().len();
        let words = self.memory.split_off(needed.saturating_sub(2 * UNBUDGETED_BYTES));
        (words.bytes() > 0).then(|| words.held_for(Purpose::Commands))
    }

    /// Whether the next read has somewhere to put its bytes.
    pub fn has_space(&self) -> bool {
        matches!(&self.incoming, Some(Incoming::Value(value)) if value.remaining() > 0)
            || !self.buffer.is_full()
    }

    /// Whether the buffer has room for more commands and no value is being read.
    pub fn can_read_ahead(&self) -> bool {
        self.incoming.is_none() && self.buffer.has_cheap_space()
    }

    /// Discards the value that is being read.
    pub fn drop_incoming_value(&mut self) {
        self.incoming = None;
    }

    /// Refuses the value that is being read: its memory is freed, and the rest of it is dropped as it
    /// comes.
    pub fn refuse_incoming_value(&mut self) {
        if let Some(Incoming::Value(value)) = &self.incoming {
            self.incoming = Some(Incoming::Discarded(value.remaining() + resp::CRLF.len()));
        }
    }

    /// Takes the next command from the bytes read; `None` while it is incomplete.
    ///
    /// # Errors
    /// If the bytes can't be the beginning of a command.
    pub fn next_command(&mut self, shared: &Shared) -> Result<Option<Command>, ProtocolError> {
        self.discard();
        if self.incoming.is_none() {
            match resp::parse_command(self.buffer.bytes()).map_err(malformed)? {
                None if self.buffer.bytes().len() >= resp::MAX_BUFFERED_MESSAGE => {
                    return Err(ProtocolError::CommandTooLong)
                }
                None => return Ok(None),
                Some(ParsedCommand::Complete(CompleteCommand { words, consumed })) => {
                    let memory = self.consume_words(consumed);
                    return Ok(Some(Command { words, value: None, memory }));
                }
                Some(ParsedCommand::ValuePending { words, consumed, value_length: length }) => {
                    // A value that can't be held is refused before it is read.
                    if length > resp::MAX_BUFFERED_VALUE && !can_take_value(shared, &words[0], length) {
                        return Err(ProtocolError::ValueTooLong);
                    }
                    let words_memory = self.consume_words(consumed);
                    let value = IncomingValue::new(shared, words, words_memory, length);
                    self.incoming = Some(Incoming::Value(value));
                }
            }
        }
        self.take_value()
    }

    /// Drops what the buffer holds of a refused value.
    fn discard(&mut self) {
        let Some(Incoming::Discarded(remaining)) = &mut self.incoming else { return };
        let count = self.buffer.bytes().len().min(*remaining);
        self.buffer.consume(count);
        *remaining -= count;
        if *remaining == 0 {
            self.incoming = None;
        }
    }

    /// Completes the command whose value is being read, if all of the value has arrived.
    fn take_value(&mut self) -> Result<Option<Command>, ProtocolError> {
        let Some(Incoming::Value(value)) = &mut self.incoming else { return Ok(None) };
        let copied = value.fill(self.buffer.bytes());
        self.buffer.consume(copied);
        if value.remaining() > 0 {
            return Ok(None);
        }
        match self.buffer.bytes().get(..resp::CRLF.len()) {
            None => return Ok(None),
            Some(resp::CRLF) => self.buffer.consume(resp::CRLF.len()),
            Some(_) => return Err(ProtocolError::MissingTerminator),
        }
        match self.incoming.take() {
            Some(Incoming::Value(value)) => Ok(Some(value.into_command())),
            _ => Ok(None),
        }
    }

    /// Waits for input and reads it into the pending value, or else into the buffer. Memory must be
    /// reserved for it. Without `may_read`, only a disconnect ends the wait.
    pub async fn wait(&mut self, reader: &mut ReadHalf<'_>, may_read: bool) -> InputEvent {
        if !may_read {
            disconnected(reader).await;
            return InputEvent::Disconnected;
        }
        let began = Instant::now();
        let read = match &mut self.incoming {
            Some(Incoming::Value(value)) if value.remaining() > 0 => {
                let read = read_buf(reader, &mut value.unfilled()).await;
                read.inspect(|&count| value.advance(count))
            }
            _ => read(reader, &mut self.buffer).await,
        };
        self.unread.bytes_read(began.elapsed().as_micros() as Micros);
        InputEvent::Read(read)
    }

    /// Reads what has arrived, without waiting. Returns whether any byte was read, or may have
    /// arrived that there is no memory for.
    pub fn try_read(&mut self, reader: &mut ReadHalf<'_>) -> bool {
        if !self.reserve_read() {
            return true;
        }
        matches!(self.buffer.unfilled().map(|mut room| reader.try_read_buf(&mut room)), Ok(Ok(1..)))
    }
}

fn malformed(cause: impl ToString) -> ProtocolError {
    ProtocolError::Malformed(cause.to_string())
}

/// Whether the command may have a value longer than a buffered one, and the memory budget can hold
/// it.
fn can_take_value(shared: &Shared, command: &[u8], length: usize) -> bool {
    command.eq_ignore_ascii_case(b"CACHE.SET") && shared.budget.memory.can_hold_value(length)
}

/// Waits until the client has closed its side or the connection broke, without reading any bytes:
/// a client that leaves while nothing is read from it must still have its requests cancelled.
async fn disconnected(reader: &ReadHalf<'_>) {
    while reader.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        // Unread bytes keep the socket readable, so this polls.
        sleep(DISCONNECT_POLL_INTERVAL).await;
    }
}

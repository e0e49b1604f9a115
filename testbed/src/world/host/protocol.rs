//! Parses and encodes the messages of a machine: RESP2 at cache hosts, HTTP at the origin.

use basaltwood_wire::{http, resp};
use bytes::Bytes;
use thiserror::Error;

use crate::ledger::RequestId;

/// The longest body of a request to the origin, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;

/// Which protocol a machine speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Protocol {
    Resp,
    Http,
}

/// A read or write.
pub(super) struct Command {
    pub(super) id: RequestId,
    pub(super) key: Bytes,
    pub(super) write: bool,
    /// What the balancer adds about the request, as `name=value` pairs separated by commas.
    pub(super) facts: String,
}

/// One message of a balancer.
pub(super) enum Message {
    Command(Command),
    /// A command that concerns the connection, with its fixed reply.
    Fixed(&'static [u8]),
    /// A request for the load report.
    Info,
}

/// A message and its length in bytes.
pub(super) struct ParsedMessage {
    pub(super) message: Message,
    pub(super) consumed: usize,
}

/// Why received bytes are not a valid message.
#[derive(Debug, Error)]
pub(super) enum MessageError {
    #[error(transparent)]
    Http(#[from] http::RequestError),
    #[error(transparent)]
    Resp(#[from] resp::RespError),
    #[error("the request id is missing or not 16 hexadecimal digits")]
    MissingRequestId,
    #[error("incomplete command: expected a key, an id and facts")]
    IncompleteCommand,
}

/// A machine's reply to a command.
pub(super) enum Reply<'a> {
    Value(&'a [u8]),
    Miss,
    /// The command did not run.
    Rejected,
    /// The command failed; it may have run.
    Failed,
}

impl Protocol {
    /// Parses the first message of the bytes; `None` if it is not complete yet.
    pub(super) fn parse(self, bytes: &[u8]) -> Result<Option<ParsedMessage>, MessageError> {
        match self {
            Protocol::Http => parse_http(bytes),
            Protocol::Resp => parse_resp(bytes),
        }
    }

    /// Encodes a reply; RESP replies with a value or a miss carry `load_report`.
    pub(super) fn encode(self, reply: &Reply<'_>, load_report: Option<&str>) -> Bytes {
        match (self, reply) {
            (Protocol::Http, Reply::Value(value)) => http::encode_response(200, &[], value),
            (Protocol::Http, Reply::Miss) => http::encode_response(200, &[], b""),
            (Protocol::Http, Reply::Rejected) => http::encode_response(503, &[("X-Unprocessed", "1")], b""),
            (Protocol::Http, Reply::Failed) => http::encode_response(500, &[], b""),
            (Protocol::Resp, Reply::Value(value)) => resp::encode_reply(Some(value), load_report),
            (Protocol::Resp, Reply::Miss) => resp::encode_reply(None, load_report),
            (Protocol::Resp, Reply::Rejected) => Bytes::from_static(b"-BUSY\r\n"),
            (Protocol::Resp, Reply::Failed) => Bytes::from_static(b"-ERR failed\r\n"),
        }
    }
}

fn parse_http(bytes: &[u8]) -> Result<Option<ParsedMessage>, MessageError> {
    let Some(request) = http::parse_request(bytes, MAX_BODY_BYTES)? else { return Ok(None) };
    let id = request.header("x-correlation-id").and_then(|id| RequestId::read(id.as_bytes()));
    let command = Command {
        id: id.ok_or(MessageError::MissingRequestId)?,
        write: request.method == "PUT",
        facts: request.header("x-facts").unwrap_or("").to_owned(),
        key: http::percent_decode(&request.path).into(),
    };
    Ok(Some(ParsedMessage { message: Message::Command(command), consumed: request.consumed }))
}

fn parse_resp(bytes: &[u8]) -> Result<Option<ParsedMessage>, MessageError> {
    let Some(resp::CompleteCommand { words, consumed }) = resp::parse_complete_command(bytes)? else {
        return Ok(None);
    };
    let name = words.first().map(|word| word.to_ascii_uppercase()).unwrap_or_default();
    let message = match &name[..] {
        b"CACHE.GET" | b"CACHE.SET" if words.len() >= 4 => Message::Command(Command {
            key: words[1].clone(),
            id: RequestId::read(&words[2]).ok_or(MessageError::MissingRequestId)?,
            write: name == b"CACHE.SET",
            facts: String::from_utf8_lossy(&words[3]).into_owned(),
        }),
        b"PING" => Message::Fixed(b"+PONG\r\n"),
        b"CLIENT" | b"SELECT" => Message::Fixed(b"+OK\r\n"),
        b"INFO" => Message::Info,
        b"CACHE.GET" | b"CACHE.SET" => return Err(MessageError::IncompleteCommand),
        _ => Message::Fixed(b"-ERR unknown command\r\n"),
    };
    Ok(Some(ParsedMessage { message, consumed }))
}

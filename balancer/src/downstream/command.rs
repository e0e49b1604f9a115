//! Parses a client's command into a request for the policy, or into an immediate reply.

use std::ops::RangeInclusive;
use std::rc::Rc;

use basaltwood::router::NewRequest;
use basaltwood::types::{Micros, RingPosition};
use basaltwood_wire::facts::fact;
use basaltwood_wire::resp;
use bytes::Bytes;
use thiserror::Error;
use tokio::sync::{watch, Notify};

use super::input::{Command, SeparateValue};
use crate::lifecycle::Phase;
use crate::outstanding::OutstandingAttempts;
use crate::pipeline_slot::PipelineSlot;
use crate::presence::ClientPresence;
use crate::request::{ClientRequest, RequestMemory};
use crate::shared::{IdRefusal, Shared};
use crate::write_log::WriteLog;

/// Accepted values of the fact `d`, the client's timeout in milliseconds: an hour at most.
const WAIT_RANGE_MS: RangeInclusive<f64> = 0.0..=3_600_000.0;
/// Event loop lag below this, in microseconds, is within the precision of timers and ignored.
const MIN_LAG: Micros = 10_000;
const MICROS_PER_MS: f64 = 1_000.0;

/// Why a command is not a valid request. The text is sent to the client.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The key, the id or the facts are missing.
    #[error("a key, an id and facts are needed")]
    MissingWords,
    /// A read with a value, a write without one, or words after the value.
    #[error("wrong number of arguments")]
    WrongArity,
    /// The id and the facts are also sent as HTTP headers, where a line break would begin another
    /// header.
    #[error("a key, an id and facts without control characters are needed")]
    ControlCharacters,
    /// The fact `c` is missing.
    #[error("no c: the category is missing")]
    MissingClass,
    /// The settings have no request class of this name.
    #[error("{0}")]
    UnknownClass(String),
    /// The fact `d` is missing, no number, or outside [`WAIT_RANGE_MS`].
    #[error(
        "no d: expected the time to wait in milliseconds, {} to {}",
        WAIT_RANGE_MS.start(), WAIT_RANGE_MS.end()
    )]
    InvalidWait,
    /// Hosts drop or refuse a second request with the same id, or it could run twice.
    #[error("{}", match .0 {
        IdRefusal::InUse => "an op with this id is open",
        IdRefusal::MayHaveRun => "an op with this id may have run",
    })]
    IdRefused(IdRefusal),
}

/// The connection that a command came on, as its request sees it.
pub struct CommandOrigin {
    /// Whether the client is still connected.
    pub client: ClientPresence,
    /// Notified when more is known of a reply of the connection.
    pub replies_changed: Rc<Notify>,
}

/// What a command was parsed into.
pub enum Parsed {
    /// A request for the policy. Its id is reserved.
    Request(Rc<ClientRequest>, NewRequest),
    /// An immediate reply.
    Reply(Bytes),
    /// An immediate reply, after which the connection is closed.
    ReplyAndQuit(Bytes),
    /// An error reply; the connection stays open.
    Malformed(Bytes),
}

/// Parses one command, which must have at least one word. A request's time counts from `arrived_at`.
pub fn parse(
    shared: &Shared,
    command: Command,
    arrived_at: Micros,
    phase: Phase,
    origin: CommandOrigin,
) -> Parsed {
    let words = &command.words;
    let name = words[0].to_ascii_uppercase();
    match &name[..] {
        b"CACHE.GET" | b"CACHE.SET" => match request(shared, command, arrived_at, origin) {
            Ok((request, new_request)) => Parsed::Request(Rc::new(request), new_request),
            Err(cause) => Parsed::Malformed(resp::encode_error(&cause.to_string())),
        },
        // Tells the load balancer in front to send clients elsewhere.
        b"PING" if phase == Phase::LameDuck => Parsed::Reply(resp::encode_error("draining")),
        b"PING" if words.len() == 2 => Parsed::Reply(resp::encode_bulk(&words[1])),
        b"PING" => Parsed::Reply(Bytes::from_static(b"+PONG\r\n")),
        b"CLIENT" | b"SELECT" => Parsed::Reply(Bytes::from_static(b"+OK\r\n")),
        b"QUIT" => Parsed::ReplyAndQuit(Bytes::from_static(b"+OK\r\n")),
        _ => Parsed::Malformed(resp::encode_error("unknown command")),
    }
}

/// Parses a command's words into the request that hosts get and the one that the policy sees, and
/// reserves its id.
fn request(
    shared: &Shared,
    command: Command,
    arrived_at: Micros,
    origin: CommandOrigin,
) -> Result<(ClientRequest, NewRequest), RequestError> {
    let Command { words, value: separate_value, memory: words_memory } = command;
    let mut words = words.into_iter();
    let (Some(command), Some(key), Some(id), Some(facts)) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(RequestError::MissingWords);
    };
    let (value, memory) = match (words.next(), separate_value) {
        (Some(word), _) => (Some(vec![word]), None),
        (None, Some(SeparateValue { segments, memory })) => (Some(segments), memory),
        (None, None) => (None, None),
    };
    let is_write = command.eq_ignore_ascii_case(b"CACHE.SET");
    if value.is_some() != is_write || words.next().is_some() {
        return Err(RequestError::WrongArity);
    }
    if key.is_empty() || !is_header_safe(&id) || !is_header_safe(&facts) {
        return Err(RequestError::ControlCharacters);
    }
    let new_request = new_request(shared, &key, &facts, arrived_at, is_write)?;
    let retry_safety = shared.retry_safety(new_request.class);
    shared.reserve_id(&id, retry_safety).map_err(RequestError::IdRefused)?;
    let request = ClientRequest {
        command,
        key,
        id,
        facts,
        value,
        _memory: RequestMemory { _value: memory, _words: words_memory },
        turn: Rc::default(),
        retry_safety,
        write_log: WriteLog::default(),
        outstanding: OutstandingAttempts::new(shared.clock.clone(), retry_safety, new_request.deadline),
        slot: Rc::new(PipelineSlot::new(is_write, origin.replies_changed)),
        client: origin.client,
        finished: watch::Sender::new(false),
    };
    Ok((request, new_request))
}

/// Whether the text is not empty and has no control characters.
fn is_header_safe(text: &Bytes) -> bool {
    !text.is_empty() && !text.iter().any(u8::is_ascii_control)
}

/// The request as the policy sees it, built from its facts (`name=value`, separated by commas).
fn new_request(
    shared: &Shared,
    key: &Bytes,
    facts: &Bytes,
    arrived_at: Micros,
    is_write: bool,
) -> Result<NewRequest, RequestError> {
    let facts = String::from_utf8_lossy(facts);
    let class = fact(&facts, "c").ok_or(RequestError::MissingClass)?;
    let wait = client_wait(&facts).ok_or(RequestError::InvalidWait)?;
    let names = shared.names.borrow();
    let class = names.class_id(class).map_err(|cause| RequestError::UnknownClass(cause.to_string()))?;
    Ok(NewRequest {
        class,
        tenant: fact(&facts, "t").and_then(|name| names.tenant_id(name)),
        key: Some(RingPosition::of(&String::from_utf8_lossy(key))),
        is_write,
        is_retry: fact(&facts, "r") == Some("1"),
        deadline: arrived_at + wait,
    })
}

/// How long the client waits, by its facts; `None` if they don't tell, or nothing in
/// [`WAIT_RANGE_MS`].
pub fn client_wait(facts: &str) -> Option<Micros> {
    let wait_ms = fact(facts, "d")?.parse::<f64>().ok()?;
    WAIT_RANGE_MS.contains(&wait_ms).then_some((wait_ms * MICROS_PER_MS) as Micros)
}

/// The earliest time at which a command read now may have arrived: it may have waited unread for
/// as long as the event loop lagged.
pub fn earliest_arrival(shared: &Shared) -> Micros {
    let lag = shared.loop_profile.lag().as_micros() as Micros;
    shared.clock.now() - if lag >= MIN_LAG { lag } else { 0 }
}

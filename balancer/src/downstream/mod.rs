//! Clients: accepts their connections, reads their commands, writes answers in the order of the commands.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use basaltwood::router::NewRequest;
use basaltwood::types::{Micros, RingPosition};
use basaltwood_wire::body::Body;
use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::facts::fact;
use basaltwood_wire::resp::{self, Asked};
use bytes::{Buf, Bytes};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest};
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::budget::{DescriptorPermit, ValuePermit};
use crate::lifecycle::Phase;
use crate::metrics::{ActiveRequest, RequestOutcome};
use crate::read;
use crate::request::{ClientRequest, StreamedValue, Value};
use crate::requests::{serve as serve_request, Delivery, FinalAnswer};
use crate::shared::Shared;

/// Commands of one connection that wait for their answers; more are left unread.
const PIPELINE: usize = 32;
/// The same while an answer is not taken: one that does not read must not fill the memory of all.
const BEHIND: usize = 4;
/// A client that takes longer over one answer is cut off.
const SLOW: Duration = Duration::from_secs(5);
/// A command is whole by then but for its value, the first counted from when the connection came, and of a value something
/// comes in every such time: clients that say nothing, or half of something, must not hold descriptors and memory of
/// others.
const WHOLE: Duration = Duration::from_millis(2_600);
/// So long a connection that has just come, or of which a part of a command has just come, is not closed: it may be about to
/// be heard.
const UNHEARD: Duration = Duration::from_millis(250);
/// What a connection may hold while others hold all the bytes: enough for commands without a value.
const SMALL: usize = 4 * 1024;
/// After our end is closed, the client's end is awaited so long: closing at once over bytes that were not
/// read would reset the connection and could take the last answer with it.
const LINGER: Duration = Duration::from_millis(200);
/// The same after a command was refused, of which any amount may still come.
const DISCARD: Duration = Duration::from_secs(1);
/// Of a connection on which nothing was ever asked so much time passes before it is sent away: it may be about to be heard.
const UNASKED: Duration = Duration::from_secs(1);
/// Kept connections that stand idle are closed so long after another process took over: a close before that could cross
/// a request.
const KEPT: Duration = Duration::from_millis(600);
/// A client that is sent away and goes on asking before it has its answers is heard so long; what it asks then goes
/// unread, and it asks anew elsewhere.
const LEAVING: Duration = Duration::from_secs(3);
/// What makes sense as a time to wait, in milliseconds: an hour at most.
const LONGEST: std::ops::RangeInclusive<f64> = 0.0..=3_600_000.0;
/// Between looks whether a client has gone of which nothing more is read: nothing may be begun for it over 0.1 s after that.
const LEFT: Duration = Duration::from_millis(50);
/// Between looks for room where descriptors are short.
const SHORT: Duration = Duration::from_millis(20);

/// Accepts for as long as the phase lets it; each connection runs by itself. One is accepted before there is room for it, at the cost of a
/// descriptor that the budget leaves aside: so none is closed for a client that is not there, and none waits unseen.
pub async fn accept(shared: Rc<Shared>, listener: TcpListener, mut phase: watch::Receiver<Phase>) {
    let mut ends = false;
    loop {
        // Never cut off between accepting and serving: a client that is let in must be heard.
        let accepted = tokio::select! {
            biased;
            now = phase.wait_for(|now| !now.accepts_connections()), if !ends => match now {
                // The platform's socket goes on, and another process takes what waits there.
                Ok(now) if *now == Phase::Takeover => return,
                _ => {
                    ends = true;
                    continue;
                }
            },
            accepted = listener.accept() => accepted,
            // Whom the kernel had taken is heard: closing over them would reset them with what they asked.
            () = yield_now(), if ends => return,
        };
        match accepted {
            Ok((stream, _)) => {
                shared.counters.clients.add();
                let permit = room(&shared).await;
                spawn_local(serve(shared.clone(), stream, permit, phase.clone()));
            }
            Err(cause) => {
                log::warn!("accept: {cause}");
                if *phase.borrow() == Phase::Flushing {
                    return;
                }
                shared.upstreams.drop_idle();
                sleep(SHORT).await;
            }
        }
    }
}

/// Room for one more client. Where there is none, connections that stand idle go first, the one that did so longest
/// before others.
async fn room(shared: &Shared) -> DescriptorPermit {
    loop {
        if let Some(permit) = shared.budget.client_descriptor() {
            return permit;
        }
        if shared.budget.clients_at_limit() || !shared.upstreams.drop_idle() {
            let freed = shared.budget.freed.notified();
            shared.budget.shed_client();
            let _ = timeout(SHORT, freed).await;
        }
    }
}

/// An answer that is there, or that an op still owes.
enum Waiting {
    There(Bytes),
    Owed(oneshot::Receiver<Delivery>, ActiveRequest),
}

/// An answer on its way to the client, and what it means for the op that owed it.
#[derive(Default)]
struct Sending {
    text: Bytes,
    /// What follows the text, of a long value.
    long: Option<StreamedValue>,
    ends: Option<(ActiveRequest, RequestOutcome)>,
}

impl Sending {
    fn is_empty(&self) -> bool {
        self.text.is_empty() && self.long.is_none()
    }

    /// So many bytes went. With the last one the op has ended for its client.
    fn sent(&mut self, count: usize) {
        self.text.advance(count);
        if self.is_empty() {
            self.end();
        }
    }

    fn end(&mut self) {
        if let Some((taken, outcome)) = self.ends.take() {
            taken.finish(outcome);
        }
    }

    /// The next piece of a long value becomes the text, and its end after the last one; whether there was one. Where its
    /// host does not give the rest the op has failed, and the client can tell by its connection's end.
    async fn next(&mut self) -> bool {
        let Some(long) = &mut self.long else { return std::future::pending().await };
        if long.length == 0 {
            (self.text, self.long) = (Bytes::from_static(resp::END), None);
            return true;
        }
        let piece = long.pieces.recv().await;
        match piece {
            Some(piece) => {
                long.length -= piece.len();
                self.text = piece;
                true
            }
            None => {
                self.ends = self.ends.take().map(|(taken, _)| (taken, RequestOutcome::Error));
                self.end();
                false
            }
        }
    }
}

/// A command of which the value is being read.
struct Coming {
    words: Vec<Bytes>,
    body: Body,
    room: Wanted,
}

/// The memory for a value.
enum Wanted {
    /// A small one is read as any command is.
    None,
    Awaited(Pin<Box<dyn Future<Output = Option<ValuePermit>>>>),
    Given(ValuePermit),
}

impl Coming {
    fn new(shared: &Shared, words: Vec<Bytes>, length: usize) -> Coming {
        let room = match length > SMALL {
            true => Wanted::Awaited(Box::pin(shared.budget.clone().reserve_value(length))),
            false => Wanted::None,
        };
        Coming { words, body: Body::new(length), room }
    }

    fn awaits_room(&self) -> bool {
        matches!(self.room, Wanted::Awaited(_))
    }

    /// It has memory of its own, or will have.
    fn apart(&self) -> bool {
        !matches!(self.room, Wanted::None)
    }
}

/// What a connection's input came to.
enum Input {
    Read(io::Result<usize>),
    /// The value that is coming has its memory now.
    Roomy,
    /// The client has gone.
    Left,
}

/// Waits until the client has ended its side, or the connection broke. Seen without taking in what came before: while nothing
/// more is read of a connection, its ops must not go on for nobody.
async fn left(from: &ReadHalf<'_>) {
    while from.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        // There is something unread, which nobody may take yet.
        sleep(LEFT).await;
    }
}

/// Reads once, into the value that is coming or else into the buffer; a value that is not small waits for its memory first.
/// Where no more is to be read, only the client's end ends this.
async fn input(
    from: &mut ReadHalf<'_>,
    buffer: &mut Buffer,
    coming: &mut Option<Coming>,
    reads: bool,
) -> Input {
    match coming {
        Some(Coming { room, .. }) if matches!(room, Wanted::Awaited(_)) => {
            if let Wanted::Awaited(awaited) = room {
                tokio::select! {
                    // There is always an answer: the budget outlives every connection.
                    given = awaited => *room = given.map_or(Wanted::None, Wanted::Given),
                    () = left(from) => return Input::Left,
                }
            }
            Input::Roomy
        }
        _ if !reads => {
            left(from).await;
            Input::Left
        }
        Some(Coming { body, .. }) if body.left() > 0 => {
            let read = from.read_buf(&mut body.room()).await;
            Input::Read(read.inspect(|&count| body.filled(count)))
        }
        _ => Input::Read(read(from, buffer).await),
    }
}

/// What a connection's output came to.
enum Output {
    Wrote(io::Result<usize>),
    /// The next piece of a long value is there, or its host does not give it.
    Piece(bool),
}

async fn output(to: &mut (impl AsyncWrite + Unpin), sending: &mut Sending) -> Output {
    if sending.text.is_empty() {
        return Output::Piece(sending.next().await);
    }
    Output::Wrote(to.write(&sending.text).await)
}

async fn serve(
    shared: Rc<Shared>,
    mut stream: TcpStream,
    permit: DescriptorPermit,
    mut phase: watch::Receiver<Phase>,
) {
    let _permit = permit;
    let _ = stream.set_nodelay(true);
    let linger = match talk(&shared, &mut stream, &mut phase).await {
        Close::Now => return,
        Close::Answered => LINGER,
        Close::Refused => DISCARD,
    };
    if stream.shutdown().await.is_ok() {
        let mut rest = vec![0; 16 * 1024];
        let discard = async { while matches!(stream.read(&mut rest).await, Ok(1..)) {} };
        let bell = Rc::default();
        tokio::select! {
            _ = timeout(linger, discard) => {}
            () = shared.budget.shed_requested(false, &bell) => {}
        }
    }
}

/// How this side ends a connection.
enum Close {
    /// Nothing is owed and nothing unread, or the client is not to be waited for.
    Now,
    /// The client is to have its last answer.
    Answered,
    /// The same where it sent what was refused, and may go on sending it.
    Refused,
}

/// Serves a connection until it is to be closed.
async fn talk(shared: &Rc<Shared>, stream: &mut TcpStream, phase: &mut watch::Receiver<Phase>) -> Close {
    let (mut reading, mut writing) = stream.split();
    let mut buffer = Buffer::new(resp::MOST);
    let mut held = shared.budget.memory_guard();
    let mut waiting: VecDeque<Waiting> = VecDeque::new();
    let mut sending = Sending::default();
    // The value of a command that is not whole yet.
    let mut coming: Option<Coming> = None;
    // By when the answer under way is to be taken, or the command begun to be whole.
    let mut until: Option<Instant> = None;
    // No more is read: the client asked to be let go, or broke the protocol.
    let mut last: Option<Close> = None;
    // It has sent a command.
    let mut heard = false;
    // When something last came of it, the connection itself at first.
    let mut came = Instant::now();
    let bell = Rc::default();
    // The last answer went while another process took over.
    let mut parting = false;
    // Since when clients are sent away.
    let mut leaving: Option<Instant> = None;
    loop {
        while last.is_none() && waiting.len() < most(&sending) {
            match next(shared, &mut buffer, &mut coming) {
                Ok(Some((words, _))) if words.is_empty() => {}
                Ok(Some((words, value))) => {
                    // A new connection is taken to be readable before the kernel was asked, which tells of its end too. Where
                    // its client asked and went while it waited for room, that has to be known before anything is begun.
                    if !heard {
                        yield_now().await;
                    }
                    let goes = command(shared, words, value, *phase.borrow(), &mut waiting);
                    last = (!goes).then_some(Close::Answered);
                    heard = true;
                }
                Ok(None) if coming.is_some() || !buffer.full() => break,
                broken => {
                    last = Some(refuse(shared, &mut waiting, broken.err().unwrap_or("too long a command")));
                }
            }
        }
        if sending.is_empty() {
            if let Some(Waiting::There(text)) =
                waiting.pop_front_if(|first| matches!(first, Waiting::There(_)))
            {
                (sending, until) = (Sending { text, ..Sending::default() }, None);
            }
        }
        let short = coming.as_ref().filter(|coming| !coming.apart()).map_or(0, |coming| coming.body.length());
        let piece = if sending.long.is_some() { 0 } else { sending.text.len() };
        held.set(buffer.size() + short + piece);
        let idle = waiting.is_empty() && sending.is_empty();
        if idle {
            if let Some(close) = last {
                return close;
            }
        }
        let awaits_room = coming.as_ref().is_some_and(Coming::awaits_room);
        let half = !buffer.is_empty() || coming.is_some();
        let silent = !awaits_room && Instant::now() >= came + UNHEARD;
        let now = *phase.borrow_and_update();
        leaving = leaving.or_else(|| Some(Instant::now())).filter(|_| now.drains_clients());
        let since = |from: Option<Instant>, span| from.is_some_and(|from| Instant::now() >= from + span);
        let late = coming.is_none() && since(leaving, LEAVING);
        let ends = match now {
            Phase::Starting | Phase::Serving => false,
            // One that has just come must not be sent away unheard.
            Phase::LameDuck => !half && (heard || since(Some(came), UNASKED)),
            Phase::Draining => !half && (heard || silent),
            // Later ones go to the other process. A close that follows an answer crosses no request.
            Phase::Takeover => !half && (parting || (heard && since(leaving, KEPT))),
            // Half a command that nothing is added to will not be whole, and a balancer must not stay away for it.
            Phase::Closing => silent || (!half && heard),
            Phase::Flushing | Phase::Ended => true,
        };
        if idle && (ends || late) {
            // What came in the meantime is served: a close by a timer must cross as few requests as can be.
            yield_now().await;
            if late || !matches!(buffer.room().map(|room| reading.try_read_buf(room)), Ok(Ok(1..))) {
                return Close::Answered;
            }
            came = Instant::now();
            continue;
        }
        let limit = match idle {
            _ if !sending.text.is_empty() => Some(SLOW),
            // It waits for its host, or for memory, and not for its client.
            _ if !sending.is_empty() || awaits_room => None,
            true if half || !heard => Some(WHOLE),
            _ => None,
        };
        until = limit.and_then(|limit| until.or_else(|| Some(Instant::now() + limit)));
        let takes = last.is_none() && !awaits_room && !late && now != Phase::Flushing;
        let more = takes && waiting.len() < most(&sending);
        let owes = awaits_room || waiting.iter().any(|one| matches!(one, Waiting::Owed(..)));
        // What waits for its turn is read all the same while an op goes on: of a client whose unread bytes fill its window the
        // end can't be seen, and nothing may go on for one that has gone.
        let ahead = takes && !more && owes && coming.is_none() && !buffer.full();
        // Short of bytes, one that holds next to none is heard all the same: others must not silence it.
        let apart = coming.as_ref().is_some_and(Coming::apart);
        let room = apart || shared.budget.has_memory() || (idle && buffer.bytes().len() < SMALL);
        // Its end is looked for where something goes on for it; an answer that is there is written, whoever still reads.
        let reads = (more || ahead) && room;
        let hears = reads || owes || sending.long.is_some();
        // When one of these times is over that nothing else tells of.
        let spans = [
            Some(came + UNHEARD),
            Some(came + UNASKED),
            leaving.map(|at| at + KEPT),
            leaving.map(|at| at + LEAVING),
        ];
        let wanted = idle && (half || !heard || leaving.is_some());
        let look = spans.into_iter().flatten().filter(|at| wanted && *at > Instant::now()).min();
        tokio::select! {
            biased;
            input = input(&mut reading, &mut buffer, &mut coming, reads), if hears => match input {
                // What is in hand of a value is bound by its progress.
                Input::Read(Ok(1..)) => (until, came) = (until.filter(|_| coming.is_none()), Instant::now()),
                Input::Read(_) => return Close::Now,
                Input::Left => {
                    log::debug!("a client has gone of which nothing was read; {} commands wait", waiting.len());
                    return Close::Now;
                }
                Input::Roomy => until = None,
            },
            () = shared.budget.freed.notified(), if more && !room => {}
            answer = owed(&mut waiting), if sending.is_empty() => match answer {
                Some(answer) => (sending, until) = (answer, None),
                None => return Close::Now,
            },
            output = output(&mut writing, &mut sending), if !sending.is_empty() => match output {
                Output::Wrote(Ok(count)) if count > 0 => {
                    sending.sent(count);
                    parting = *phase.borrow() == Phase::Takeover;
                    until = until.filter(|_| !sending.is_empty() && sending.long.is_none());
                }
                Output::Piece(true) => {}
                Output::Wrote(_) | Output::Piece(false) => return Close::Now,
            },
            () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => {
                shared.counters.clients_slow.add();
                if (buffer.is_empty() && coming.is_none()) || !sending.is_empty() {
                    return Close::Now;
                }
                coming = None;
                (last, until) = (Some(refuse(shared, &mut waiting, "no whole command in time")), None);
            }
            _ = phase.changed() => {}
            () = sleep_until(look.unwrap_or(came)), if look.is_some() => {}
            () = shared.budget.shed_requested(half || !heard, &bell), if idle && (silent || (heard && !half)) => {
                if !shared.budget.has_client_descriptor() {
                    shared.counters.clients_shed.add();
                    return Close::Now;
                }
            }
        }
    }
}

/// The next command that is whole: its words, and its value where that came apart from them.
type Next = Option<(Vec<Bytes>, Option<(Vec<Bytes>, Wanted)>)>;

/// Takes the next command from what was read; `None` while it is not whole. A value that is not there yet is read by itself.
fn next(shared: &Shared, buffer: &mut Buffer, coming: &mut Option<Coming>) -> Result<Next, &'static str> {
    if coming.is_none() {
        match resp::asked(buffer.bytes())? {
            None => return Ok(None),
            Some(Asked::Whole(words, used)) => {
                buffer.consume(used);
                return Ok(Some((words, None)));
            }
            Some(Asked::Begun { words, used, length }) => {
                // What can't be taken is refused before it comes.
                if length > resp::MOST_VALUE
                    && !(words[0].eq_ignore_ascii_case(b"CACHE.SET") && shared.budget.can_hold_value(length))
                {
                    return Err("too long a value");
                }
                buffer.consume(used);
                *coming = Some(Coming::new(shared, words, length));
            }
        }
    }
    let Some(value) = coming.as_mut().filter(|coming| !coming.awaits_room()) else { return Ok(None) };
    let taken = value.body.take(buffer.bytes());
    buffer.consume(taken);
    if value.body.left() > 0 {
        return Ok(None);
    }
    match buffer.bytes().get(..resp::END.len()) {
        None => return Ok(None),
        Some(resp::END) => buffer.consume(resp::END.len()),
        Some(_) => return Err("a bulk string without its end"),
    }
    Ok(coming.take().map(|Coming { words, body, room }| (words, Some((body.segments(), room)))))
}

/// The last answer to a client that does not keep to the protocol.
fn refuse(shared: &Shared, waiting: &mut VecDeque<Waiting>, cause: &str) -> Close {
    shared.counters.malformed.add();
    waiting.push_back(Waiting::There(resp::error(&format!("Protocol error: {cause}"))));
    Close::Refused
}

/// How many commands may wait while this is being sent.
fn most(sending: &Sending) -> usize {
    if sending.is_empty() {
        PIPELINE
    } else {
        BEHIND
    }
}

/// The answer that the first op of a connection owes, once it is there.
async fn owed(waiting: &mut VecDeque<Waiting>) -> Option<Sending> {
    let last = match waiting.front_mut() {
        Some(Waiting::Owed(owed, _)) => owed.await,
        _ => std::future::pending().await,
    };
    match (waiting.pop_front(), last) {
        (Some(Waiting::Owed(_, taken)), Ok(Delivery { answer, .. })) => {
            let outcome = match &answer {
                FinalAnswer::Succeeded(_) => RequestOutcome::Ok,
                FinalAnswer::Rejected { .. } => RequestOutcome::Shed,
                FinalAnswer::Failed => RequestOutcome::Error,
            };
            let text = written(&answer);
            let long = match answer {
                FinalAnswer::Succeeded(Value::Streamed(long)) => Some(long),
                _ => None,
            };
            Some(Sending { text, long, ends: Some((taken, outcome)) })
        }
        _ => None,
    }
}

/// Takes one command; whether the connection goes on after it.
fn command(
    shared: &Rc<Shared>,
    words: Vec<Bytes>,
    value: Option<(Vec<Bytes>, Wanted)>,
    phase: Phase,
    waiting: &mut VecDeque<Waiting>,
) -> bool {
    let name = words[0].to_ascii_uppercase();
    let text = match &name[..] {
        b"CACHE.GET" | b"CACHE.SET" => {
            let short =
                value.iter().filter(|value| matches!(value.1, Wanted::None)).flat_map(|value| &value.0);
            let size = words.iter().chain(short).map(Bytes::len).sum();
            match op(shared, words, value) {
                Ok((request, ask)) => {
                    let (answer, owed) = oneshot::channel();
                    let mut held = shared.budget.memory_guard();
                    held.set(size);
                    waiting.push_back(Waiting::Owed(owed, shared.metrics.request_started(ask.class)));
                    spawn_local(serve_request(shared.clone(), request, ask, answer, held));
                    return true;
                }
                Err(cause) => {
                    shared.counters.malformed.add();
                    resp::error(&cause)
                }
            }
        }
        // By this the front learns that clients are to go elsewhere.
        b"PING" if phase == Phase::LameDuck => resp::error("draining"),
        b"PING" if words.len() == 2 => resp::value(&words[1]),
        b"PING" => Bytes::from_static(b"+PONG\r\n"),
        b"CLIENT" | b"SELECT" | b"QUIT" => Bytes::from_static(b"+OK\r\n"),
        _ => {
            shared.counters.malformed.add();
            resp::error("unknown command")
        }
    };
    waiting.push_back(Waiting::There(text));
    &name[..] != b"QUIT"
}

/// Reads a command's words into a request and what the facade is asked.
fn op(
    shared: &Shared,
    words: Vec<Bytes>,
    apart: Option<(Vec<Bytes>, Wanted)>,
) -> Result<(ClientRequest, NewRequest), String> {
    let mut words = words.into_iter();
    let (Some(command), Some(key), Some(id), Some(facts)) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err("a key, an id and facts are needed".to_owned());
    };
    let (value, room) = match (words.next(), apart) {
        (Some(value), _) => (Some(vec![value]), None),
        (None, Some((value, Wanted::Given(room)))) => (Some(value), Some(room)),
        (None, apart) => (apart.map(|(value, _)| value), None),
    };
    let write = command.eq_ignore_ascii_case(b"CACHE.SET");
    if value.is_some() != write || words.next().is_some() {
        return Err("wrong number of arguments".to_owned());
    }
    // They go on in HTTP's headers too, where an end of line would begin another header.
    let plain = |text: &Bytes| !text.is_empty() && !text.iter().any(u8::is_ascii_control);
    if key.is_empty() || !plain(&id) || !plain(&facts) {
        return Err("a key, an id and facts without control characters are needed".to_owned());
    }
    let text = String::from_utf8_lossy(&facts);
    let category = fact(&text, "c").ok_or("no c: the category is missing")?;
    let wait =
        fact(&text, "d").and_then(|wait| wait.parse::<f64>().ok()).filter(|wait| LONGEST.contains(wait));
    let wait = wait.ok_or("no d: the time to wait is missing or absurd")?;
    let known = shared.names.borrow();
    let ask = NewRequest {
        class: known.class_id(category)?,
        tenant: fact(&text, "t").and_then(|name| known.tenant_id(name)),
        key: Some(RingPosition::of(&String::from_utf8_lossy(&key))),
        is_write: write,
        is_retry: fact(&text, "r") == Some("1"),
        deadline: shared.clock.now() + (wait * 1000.0) as Micros,
    };
    drop(text);
    if !shared.reserve_id(&id) {
        return Err("an op with this id is open".to_owned());
    }
    Ok((
        ClientRequest { command, key, id, facts, value, _room: room, finished: watch::Sender::new(false) },
        ask,
    ))
}

/// A final answer in the protocol's words; of a long value its head.
fn written(answer: &FinalAnswer) -> Bytes {
    match answer {
        FinalAnswer::Succeeded(Value::Whole(value)) => resp::value(value),
        FinalAnswer::Succeeded(Value::Streamed(long)) => resp::head(long.length),
        FinalAnswer::Rejected { retry_after: Some(span) } => {
            Bytes::from(format!("-BUSY {}\r\n", span / 1000))
        }
        FinalAnswer::Rejected { retry_after: None } => Bytes::from_static(b"-BUSY\r\n"),
        FinalAnswer::Failed => resp::error("dead-lettered"),
    }
}

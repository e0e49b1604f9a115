//! One connection of a balancer to a host, from its opening until either side ends it.

use std::ops::ControlFlow;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use super::protocol::{Message, ParsedMessage, MAX_BODY_BYTES};
use super::{ConnectionState, Host};
use crate::time::{to_duration, Micros};
use crate::world::listener::reset_on_drop;

/// How long a connection on which nothing more is sent stays open unless it is reset; longer than
/// any run.
const KEPT_OPEN: Duration = Duration::from_secs(600);

/// What a host does on a connection after a command.
pub(super) enum Response {
    Reply(Bytes),
    /// Sends this as the last bytes of the connection, which stays open.
    LastReply(Bytes),
    /// Sends nothing more; the connection stays open.
    Mute,
    Reset,
}

impl Host {
    /// Serves a connection until either side or a fault ends it.
    pub(super) async fn serve_connection(self: Rc<Host>, balancer: usize, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.open_connections.set(self.open_connections.get() + 1);
        self.shared.connections_accepted.fetch_add(1, Ordering::Relaxed);
        let mut states = self.paths[balancer].connection_state.subscribe();
        states.mark_unchanged();
        let served = tokio::select! {
            biased;
            state = next_state(&mut states) => state,
            state = serve_until_end(&self, balancer, &mut stream) => state,
        };
        match served {
            ConnectionState::Open | ConnectionState::Reset => {}
            ConnectionState::Mute => {
                // The connection stays open and nothing is read from it, until it is reset.
                let reset = async { while next_state(&mut states).await != ConnectionState::Reset {} };
                let _ = timeout(KEPT_OPEN, reset).await;
            }
            ConnectionState::Forgotten => {
                let _ = timeout(KEPT_OPEN, stream.readable()).await;
            }
        }
        if served != ConnectionState::Open {
            reset_on_drop(&stream);
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }
}

async fn next_state(states: &mut watch::Receiver<ConnectionState>) -> ConnectionState {
    match states.changed().await {
        Ok(()) => *states.borrow_and_update(),
        Err(_) => ConnectionState::Reset,
    }
}

/// Serves messages, and returns the state in which the connection is left; `Open` if it is to be
/// closed gracefully.
async fn serve_until_end(host: &Rc<Host>, balancer: usize, stream: &mut TcpStream) -> ConnectionState {
    let mut connection = ServedConnection {
        host,
        balancer,
        stream,
        buffer: Buffer::new(resp::MAX_BUFFERED_MESSAGE + MAX_BODY_BYTES),
        is_new: true,
        first_byte_at: None,
    };
    loop {
        if let ControlFlow::Break(state) = connection.serve_message().await {
            return state;
        }
    }
}

struct ServedConnection<'a> {
    host: &'a Rc<Host>,
    balancer: usize,
    stream: &'a mut TcpStream,
    buffer: Buffer,
    /// Whether no message has come yet; the first one bears the cost of the connection.
    is_new: bool,
    /// When the first byte of the buffered message came.
    first_byte_at: Option<Micros>,
}

impl ServedConnection<'_> {
    /// Reads one message and responds to it.
    async fn serve_message(&mut self) -> ControlFlow<ConnectionState> {
        let message = self.next_message().await?;
        let is_first = std::mem::take(&mut self.is_new);
        let connection_cost = if is_first { self.host.settings.connection_cost } else { 0 };
        let response = match message {
            Message::Fixed(text) => Response::Reply(Bytes::from_static(text)),
            Message::Info => {
                let report = self.host.load_report();
                Response::Reply(resp::encode_bulk(report.as_bytes()))
            }
            Message::Command(command) => {
                let first_byte_at = self.first_byte_at.take();
                self.host.handle_attempt(self.balancer, command, first_byte_at, connection_cost).await
            }
        };
        self.respond(response).await
    }

    async fn next_message(&mut self) -> ControlFlow<ConnectionState, Message> {
        loop {
            match self.host.protocol().parse(self.buffer.bytes()) {
                Ok(Some(ParsedMessage { message, consumed })) => {
                    self.buffer.consume(consumed);
                    return ControlFlow::Continue(message);
                }
                Ok(None) => self.read().await?,
                Err(_) => {
                    let _ = self.stream.write_all(b"-SYNTAX\r\n").await;
                    return ControlFlow::Break(ConnectionState::Open);
                }
            }
        }
    }

    async fn read(&mut self) -> ControlFlow<ConnectionState> {
        let Ok(mut unfilled) = self.buffer.unfilled() else {
            return ControlFlow::Break(ConnectionState::Reset);
        };
        let idle_timeout = to_duration(self.host.settings.idle_timeout);
        let read = timeout(idle_timeout, self.stream.read_buf(&mut unfilled)).await;
        if !matches!(read, Ok(Ok(1..))) {
            return ControlFlow::Break(ConnectionState::Open);
        }
        self.first_byte_at.get_or_insert(self.host.now());
        ControlFlow::Continue(())
    }

    async fn respond(&mut self, response: Response) -> ControlFlow<ConnectionState> {
        match response {
            Response::Reply(text) => match self.stream.write_all(&text).await {
                Ok(()) => ControlFlow::Continue(()),
                Err(_) => ControlFlow::Break(ConnectionState::Open),
            },
            Response::LastReply(text) => {
                let _ = self.stream.write_all(&text).await;
                ControlFlow::Break(ConnectionState::Mute)
            }
            Response::Mute => ControlFlow::Break(ConnectionState::Mute),
            Response::Reset => ControlFlow::Break(ConnectionState::Reset),
        }
    }
}

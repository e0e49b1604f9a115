//! The listener of a host for one balancer: it accepts connections, refuses them, or leaves their
//! handshakes unanswered.

use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{Host, ListenerState};
use crate::world::listener::{listen, reset_on_drop, LISTEN_BACKLOG};

/// Pause before listening is tried again at an address that could not be bound.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Number of connections that fill a listen queue of length 0.
const FILLER_CONNECTIONS: usize = 4;
/// If a filler connection takes longer to complete, the queue is full.
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);

/// The listener of a host for one balancer.
pub(super) struct Acceptor {
    host: Rc<Host>,
    balancer: usize,
    state: watch::Receiver<ListenerState>,
    /// `None` while connections are refused.
    listener: Option<TcpListener>,
    /// Connections opened here to fill the listen queue, so that no handshake completes.
    fillers: Vec<TcpStream>,
    /// Whether the listen queue has length 0, to leave handshakes unanswered.
    queue_closed: bool,
}

impl Acceptor {
    pub(super) fn new(host: Rc<Host>, balancer: usize, listener: TcpListener) -> Acceptor {
        let state = host.paths[balancer].listener_state.subscribe();
        Acceptor { host, balancer, state, listener: Some(listener), fillers: Vec::new(), queue_closed: false }
    }

    /// Runs until its task is aborted.
    pub(super) async fn run(mut self) {
        loop {
            let state = *self.state.borrow_and_update();
            match state {
                ListenerState::Accepting => self.accept_one().await,
                ListenerState::Refusing => {
                    self.listener = None;
                    let _ = self.state.changed().await;
                }
                ListenerState::Unresponsive => {
                    self.queue_closed = true;
                    self.fill_listen_queue().await;
                    let _ = self.state.changed().await;
                }
            }
        }
    }

    /// Accepts one connection, unless the listener's state changes first.
    async fn accept_one(&mut self) {
        self.fillers.clear();
        if self.listener.is_none() {
            self.listener = listen(self.host.address(self.balancer)).ok();
        }
        let Some(listener) = &self.listener else {
            sleep(LISTEN_RETRY_DELAY).await;
            return;
        };
        if std::mem::take(&mut self.queue_closed) {
            reset_queued_connections(listener).await;
            let _ = SockRef::from(listener).listen(LISTEN_BACKLOG);
        }
        tokio::select! {
            _ = self.state.changed() => {}
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    self.serve(stream);
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        if self.host.open_connections.get() >= self.host.settings.max_connections {
            reset_on_drop(&stream);
            return;
        }
        spawn_local(self.host.clone().serve_connection(self.balancer, stream));
    }

    /// Fills the listen queue: the kernel answers no handshake while it is full.
    async fn fill_listen_queue(&mut self) {
        let Some(listener) = &self.listener else { return };
        let _ = SockRef::from(listener).listen(0);
        for _ in 0..FILLER_CONNECTIONS {
            let connecting = TcpStream::connect(self.host.address(self.balancer));
            match timeout(FILLER_TIMEOUT, connecting).await {
                Ok(Ok(filler)) => self.fillers.push(filler),
                _ => break,
            }
        }
    }
}

/// Resets connections whose handshakes completed although they were to be left unanswered: the host
/// would read late what the balancer had written in time, and the audit would blame the balancer.
async fn reset_queued_connections(listener: &TcpListener) {
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        reset_on_drop(&stream);
    }
}

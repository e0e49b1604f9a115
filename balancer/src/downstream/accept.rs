//! Accepts clients' connections and serves each once the budget has a descriptor for it.

use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::Micros;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

use super::closing::close;
use super::connection::Connection;
use crate::budget::DescriptorPermit;
use crate::io_errors::{lacks_descriptors, FaultOrigin};
use crate::lifecycle::Phase;
use crate::shared::Shared;

/// How often a free descriptor is looked for.
const DESCRIPTOR_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// In [`Phase::Flushing`], more than this number of consecutive failed accepts abandons the clients
/// that are still waiting.
const MAX_FAILURES_AT_END: u32 = 20;

/// Accepts connections while the phase allows it, and serves each in a task of its own. The next
/// connection is accepted before the budget has a descriptor for it, using one that the budget
/// reserves: so a connection is shed only for a client that is really there, and no client waits
/// unnoticed.
pub async fn accept(shared: Rc<Shared>, listener: TcpListener, mut phase: watch::Receiver<Phase>) {
    let mut draining_backlog = false;
    let mut failures = 0;
    loop {
        // Never cancelled between accepting and serving: an accepted client must be served.
        let accepted = tokio::select! {
            biased;
            now = phase.wait_for(|now| !now.accepts_connections()), if !draining_backlog => match now {
                // The listening socket stays open, and the successor accepts the waiting clients.
                Ok(now) if *now == Phase::Takeover => return,
                _ => {
                    draining_backlog = true;
                    continue;
                }
            },
            accepted = listener.accept() => accepted,
            // Connections in the kernel's backlog are served: closing the listener would reset
            // them, with the commands that they sent.
            () = yield_now(), if draining_backlog => return,
        };
        match accepted {
            Ok((stream, _)) => {
                failures = 0;
                shared.counters.clients.add();
                let accepted_at = shared.clock.now();
                let permit = descriptor_for_client(&shared).await;
                let number = shared.counters.clients.count();
                let accepted = Accepted { number, stream, at: accepted_at, permit };
                spawn_local(serve(shared.clone(), accepted, phase.clone()));
            }
            Err(cause) => {
                failures += 1;
                log::debug!("accepting a client connection failed: {cause}");
                // Clients that wait are answered until the exit, but must not delay it forever.
                if *phase.borrow() == Phase::Flushing && failures > MAX_FAILURES_AT_END {
                    return;
                }
                // A client that left while it waited and an interrupted call indicate no shortage:
                // the next connection is accepted at once.
                if FaultOrigin::of(&cause) == FaultOrigin::LocalShortage {
                    if lacks_descriptors(&cause) {
                        shared.upstreams.close_idle_connection();
                    }
                    sleep(DESCRIPTOR_RETRY_INTERVAL).await;
                } else {
                    yield_now().await;
                }
            }
        }
    }
}

/// Waits for a descriptor for one more client. If there is none, idle connections are closed, the
/// longest idle one first.
async fn descriptor_for_client(shared: &Shared) -> DescriptorPermit {
    loop {
        if let Some(permit) = shared.budget.client_descriptor() {
            return permit;
        }
        if shared.budget.clients_at_limit() || !shared.upstreams.close_idle_connection() {
            let freed = shared.budget.freed.notified();
            shared.budget.shed_client();
            let _ = timeout(DESCRIPTOR_RETRY_INTERVAL, freed).await;
        }
    }
}

/// A client's connection that has a descriptor.
struct Accepted {
    number: u64,
    stream: TcpStream,
    /// When it was accepted.
    at: Micros,
    permit: DescriptorPermit,
}

/// Serves a connection to its end and closes it.
async fn serve(shared: Rc<Shared>, accepted: Accepted, phase: watch::Receiver<Phase>) {
    let Accepted { number, mut stream, at, permit } = accepted;
    let _permit = permit;
    // Keeps the process from exiting before this connection is closed, which would lose its last
    // reply.
    let _exit_guard = phase.clone();
    let _ = stream.set_nodelay(true);
    let closed = Connection::new(number, &shared, &mut stream, at, phase).run().await;
    close(&shared, stream, closed).await;
}

//! Accepts clients' connections, each once there is a descriptor for it, and closes them without
//! losing a reply.

use std::rc::Rc;
use std::time::Duration;

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

/// Between looks for a free descriptor.
const DESCRIPTOR_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts that fail in a row, in the last phase of the process, until those that wait are given up.
const MAX_FAILURES_AT_END: u32 = 20;

/// Accepts for as long as the phase lets it; each connection runs by itself. One is accepted before
/// there is a descriptor for it, at the cost of one that the budget reserves: so no other
/// connection is closed for a client that is not there, and none waits unseen.
pub async fn accept(shared: Rc<Shared>, listener: TcpListener, mut phase: watch::Receiver<Phase>) {
    let mut draining_backlog = false;
    let mut failures = 0;
    loop {
        // Never cut off between accepting and serving: a client that is let in must be served.
        let accepted = tokio::select! {
            biased;
            now = phase.wait_for(|now| !now.accepts_connections()), if !draining_backlog => match now {
                // The platform's socket goes on, and another process takes what waits there.
                Ok(now) if *now == Phase::Takeover => return,
                _ => {
                    draining_backlog = true;
                    continue;
                }
            },
            accepted = listener.accept() => accepted,
            // Whom the kernel had taken is served: closing over them would reset them with what
            // they sent.
            () = yield_now(), if draining_backlog => return,
        };
        match accepted {
            Ok((stream, _)) => {
                failures = 0;
                shared.counters.clients.add();
                let permit = descriptor_for_client(&shared).await;
                let number = shared.counters.clients.count();
                spawn_local(serve(number, shared.clone(), stream, permit, phase.clone()));
            }
            Err(cause) => {
                failures += 1;
                log::debug!("accept: {cause}");
                // Those that wait are owed an answer until the end, but not for ever.
                if *phase.borrow() == Phase::Flushing && failures > MAX_FAILURES_AT_END {
                    return;
                }
                // A client that went away while it waited, or a call that was interrupted, says
                // nothing of this machine: the next one is accepted at once.
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

/// A descriptor for one more client. Where there is none, idle connections go first, the one that
/// has been idle longest before others.
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

/// Serves a connection to its end, and closes it.
async fn serve(
    number: u64,
    shared: Rc<Shared>,
    mut stream: TcpStream,
    permit: DescriptorPermit,
    phase: watch::Receiver<Phase>,
) {
    let _permit = permit;
    // The process does not end before this connection has: its last reply would go with it.
    let _lives = phase.clone();
    let _ = stream.set_nodelay(true);
    let closed = Connection::new(number, &shared, &mut stream, phase).run().await;
    close(&shared, stream, closed).await;
}

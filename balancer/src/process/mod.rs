//! The process from start to exit, phase by phase.
//!
//! [`start`] puts its parts together, [`tasks`] and [`limit_sharing`] are what runs beside the connections.

mod limit_sharing;
mod start;
mod tasks;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::downstream;
use crate::lifecycle::Phase;
use crate::shared::Shared;
use crate::RunError;

pub use start::StartError;

/// Clients go on coming for a while after SIGTERM; for so long they are accepted.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(600);
/// Operators kill a balancer so long after the time for answers at the earliest.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// So long before that every open request gets its final answer: one that may take longer than the process has must
/// not go without, and what ends in that very instant has to be written too.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// A process that listens and serves nobody yet.
pub struct Process {
    shared: Rc<Shared>,
    listener: TcpListener,
    signals: Signals,
    shutdown: Shutdown,
    /// Where discovery is, for the watch.
    discovery: watch::Sender<SocketAddr>,
    /// What runs from start to exit. None of it ends by itself but by a fault of its own.
    tasks: JoinSet<()>,
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    print_counters: Signal,
    reload: Signal,
}

impl Signals {
    /// Takes the signals over. It comes before the process listens: until then SIGHUP would end the program.
    fn register() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            print_counters: signal(SignalKind::user_defined1())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// The way from the signal to end to the exit.
struct Shutdown {
    phase: Rc<watch::Sender<Phase>>,
    /// The phase that a signal to end begins.
    first_phase: Phase,
    /// For so long accepted requests are answered at most.
    answer_time: Duration,
}

impl Process {
    /// Serves until a signal to end, or until a task fails, and then goes through the phases to the exit.
    ///
    /// # Errors
    /// [`RunError::TaskFailed`].
    pub async fn run(self) -> Result<(), RunError> {
        let Process { shared, listener, mut signals, shutdown, discovery, mut tasks } = self;
        shutdown.enter(Phase::Serving);
        tasks.spawn_local(downstream::accept(shared.clone(), listener, shutdown.phase.subscribe()));
        tasks.spawn_local(tasks::print_counters(shared.clone(), signals.print_counters));
        tasks.spawn_local(tasks::reload_config(signals.reload, discovery));
        let outcome = tokio::select! {
            _ = signals.terminate.recv() => Ok(()),
            _ = signals.interrupt.recv() => Ok(()),
            // Without its timers or its list a balancer would limp on unnoticed.
            _ = tasks.join_next() => Err(RunError::TaskFailed),
        };
        shutdown.run(&shared).await;
        log::info!("{} {}", shared.counters, shared.upstreams.pool_stats());
        outcome
    }
}

impl Shutdown {
    fn enter(&self, next: Phase) {
        self.phase.send_replace(next);
        log::info!("{next:?}");
    }

    /// Goes through the phases that are left, until no connection of a client is.
    async fn run(&self, shared: &Shared) {
        self.enter(self.first_phase);
        let deadline = Instant::now() + self.answer_time + KILL_DELAY - FLUSH_TIME;
        // Where another process accepts nothing is gained by an early end, and half commands are read to their end.
        if self.first_phase == Phase::Draining {
            sleep_until(deadline.min(Instant::now() + ACCEPT_AFTER_SIGTERM)).await;
            self.enter(Phase::Closing);
        }
        if timeout_at(deadline, self.connections_closed()).await.is_err() {
            self.enter(Phase::Flushing);
            shared.router.borrow_mut().shut_down(shared.clock.now());
            shared.wake_requests();
            // Only a client that does not take its answer is left to wait for, and it is cut off by itself.
            self.connections_closed().await;
        }
        self.enter(Phase::Ended);
    }

    /// Each connection holds a receiver for as long as it lives, and ends once it owes nothing.
    async fn connections_closed(&self) {
        self.phase.closed().await;
    }
}

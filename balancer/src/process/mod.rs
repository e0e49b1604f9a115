//! The process from start to exit, as a sequence of phases.
//!
//! [`start`] assembles the process; [`tasks`], [`reload`] and [`limit_sharing`] are its background
//! tasks.

mod limit_sharing;
mod reload;
mod retry;
mod signals;
mod start;
mod tasks;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::downstream;
use crate::lifecycle::Phase;
use crate::shared::Shared;
use crate::RunError;

pub use signals::Signals;
pub use start::StartError;

/// How long connections are accepted after SIGTERM: clients still connect during this time.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(600);
/// Operators kill a balancer no earlier than this after the end of [`Shutdown::answer_time`].
const KILL_DELAY: Duration = Duration::from_millis(700);
/// How long before the operators' kill every open request gets its final answer, even if its
/// deadline is later. The time is needed to write these answers.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// A process that listens but does not serve yet.
pub struct Process {
    shared: Rc<Shared>,
    listener: TcpListener,
    signals: Rc<Signals>,
    shutdown: Shutdown,
    /// Passes discovery's address to the watch.
    discovery: watch::Sender<SocketAddr>,
    /// Background tasks. They run until the exit unless one panics.
    tasks: JoinSet<()>,
}

/// The phases from SIGTERM or SIGINT to the exit.
struct Shutdown {
    phase: Rc<watch::Sender<Phase>>,
    /// The phase that begins with SIGTERM or SIGINT.
    first_phase: Phase,
    /// How long accepted requests may take to be answered.
    answer_time: Duration,
}

impl Process {
    /// Serves until SIGTERM or SIGINT, or until a background task ends, and then shuts down.
    ///
    /// # Errors
    /// [`RunError::TaskFailed`] if a background task ended.
    pub async fn run(self) -> Result<(), RunError> {
        let Process { shared, listener, signals, shutdown, discovery, mut tasks } = self;
        shutdown.enter(Phase::Serving);
        tasks.spawn_local(downstream::accept(shared.clone(), listener, shutdown.phase.subscribe()));
        tasks.spawn_local(signals.clone().deliver());
        tasks.spawn_local(tasks::print_counters(shared.clone(), signals.print_counters.clone()));
        tasks.spawn_local(reload::reload_config(signals.reload.clone(), discovery));
        let outcome = tokio::select! {
            () = signals.terminate.recv() => Ok(()),
            () = signals.interrupt.recv() => Ok(()),
            // Without its timers or its list of hosts the balancer would serve badly and unnoticed.
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
        log::info!("phase: {next:?}");
    }

    /// Goes through the remaining phases, until no client is connected.
    async fn run(&self, shared: &Shared) {
        self.enter(self.first_phase);
        let deadline = Instant::now() + self.answer_time + KILL_DELAY - FLUSH_TIME;
        // A takeover skips `Closing`: there is time to read partially received commands to their
        // end.
        if self.first_phase == Phase::Draining {
            sleep_until(deadline.min(Instant::now() + ACCEPT_AFTER_SIGTERM)).await;
            self.enter(Phase::Closing);
        }
        if timeout_at(deadline, self.connections_closed()).await.is_err() {
            self.enter(Phase::Flushing);
            shared.budget.process_ends();
            shared.router.borrow_mut().shut_down(shared.clock.now());
            shared.wake_requests();
            // Clients that remain don't read their answers; their connections time out.
            self.connections_closed().await;
        }
        self.enter(Phase::Ended);
    }

    /// Each connection holds a receiver of the phase until it closes.
    async fn connections_closed(&self) {
        self.phase.closed().await;
    }
}

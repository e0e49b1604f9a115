//! Handles Ctrl-C and SIGTERM.

use std::sync::atomic::Ordering;

use basaltwood_testbed::play::STOP;
use tokio::signal::unix::{signal, SignalKind};

/// Makes Ctrl-C and SIGTERM end the command and the processes that it started, no others.
pub(crate) fn stop_on_signals() {
    std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Ok(runtime) = runtime {
            runtime.block_on(wait_for_signal());
        }
    });
}

async fn wait_for_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    let Ok(mut interrupt) = signal(SignalKind::interrupt()) else { return };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    STOP.store(true, Ordering::Relaxed);
}

//! Reports the progress of a point, and waits until a time has passed or a signal comes.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::play::STOP;
use crate::scale::error::RunError;

/// Called with the name of a stage and 0 when it starts, then with an empty name and the seconds
/// since its start.
pub type Progress<'a> = dyn FnMut(&str, f64) + 'a;

/// How often a wait checks whether the run was interrupted, in seconds.
const MAX_SLEEP_S: f64 = 0.05;

/// A stage of running a point.
#[derive(Clone, Copy, Debug)]
pub(super) enum Stage {
    Starting,
    Settling,
    Quiet,
    WarmingUp,
    Loaded,
    HostHangs,
    DiscoveryDown,
}

impl Stage {
    fn name(self) -> &'static str {
        match self {
            Stage::Starting => "starting",
            Stage::Settling => "settling",
            Stage::Quiet => "quiet",
            Stage::WarmingUp => "warming up",
            Stage::Loaded => "loaded",
            Stage::HostHangs => "a host hangs",
            Stage::DiscoveryDown => "discovery is down",
        }
    }

    /// Reports that this stage starts.
    pub(super) fn report(self, progress: &mut Progress) {
        progress(self.name(), 0.0);
    }
}

/// Waits, and reports progress each whole second.
///
/// # Errors
/// The run was interrupted.
pub(super) fn wait(seconds: f64, progress: &mut Progress) -> Result<(), RunError> {
    let started_at = Instant::now();
    let mut reported_s = 0.0;
    while started_at.elapsed().as_secs_f64() < seconds {
        if STOP.load(Ordering::Relaxed) {
            return Err(RunError::Interrupted);
        }
        let elapsed_s = started_at.elapsed().as_secs_f64();
        if elapsed_s.floor() > reported_s {
            reported_s = elapsed_s.floor();
            progress("", reported_s);
        }
        let remaining_s = seconds - elapsed_s;
        thread::sleep(Duration::from_secs_f64(remaining_s.clamp(0.0, MAX_SLEEP_S)));
    }
    Ok(())
}

//! Limits the CPU time of a process that the test started, by stopping and continuing it in turns.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};

/// The length of one stop and one run together.
const PERIOD: Duration = Duration::from_millis(20);

/// Limits a process to a share of a core until it is dropped.
pub struct CoreShare {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl CoreShare {
    /// The running time per period for a tenth of a core.
    pub const TENTH: Duration = Duration::from_millis(2);

    /// Lets the process run for `runs_for` in each period of 20 ms.
    pub fn limit(process: u32, runs_for: Duration) -> CoreShare {
        let pid = Pid::from_raw(process as i32).expect("a process id");
        let ended = Arc::new(AtomicBool::new(false));
        let is_ended = ended.clone();
        let thread = thread::spawn(move || {
            while !is_ended.load(Ordering::Relaxed) {
                let _ = kill_process(pid, Signal::STOP);
                thread::sleep(PERIOD - runs_for);
                let _ = kill_process(pid, Signal::CONT);
                thread::sleep(runs_for);
            }
        });
        CoreShare { ended, thread: Some(thread) }
    }
}

impl Drop for CoreShare {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

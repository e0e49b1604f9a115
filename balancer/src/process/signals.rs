//! The signals that the process handles. Each has a flag; one pipe wakes the task that reads the
//! flags.
//!
//! Tokio's own signal handling panics if the read of its pipe is interrupted. Here the read is
//! repeated.

use std::io::{self, ErrorKind};
use std::os::unix::net::UnixStream as StdUnixStream;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level::pipe};
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// The time until the pipe is read again after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The number of bytes that are read from the pipe at a time; each byte stands for one signal.
const READ_BYTES: usize = 64;

/// A signal to wait for. Several that arrive before [`Signal::recv`] count as one.
#[derive(Clone, Default)]
pub struct Signal {
    arrived: Arc<AtomicBool>,
    wakeup: Rc<Notify>,
}

impl Signal {
    fn register(number: i32, writer: &StdUnixStream) -> io::Result<Signal> {
        let signal = Signal::default();
        // Handlers run in order of registration: the flag is set before the pipe wakes its reader.
        flag::register(number, signal.arrived.clone())?;
        pipe::register(number, writer.try_clone()?)?;
        Ok(signal)
    }

    /// Waits until the signal has arrived since this last returned.
    pub async fn recv(&self) {
        self.wakeup.notified().await;
    }
}

/// The signals that the process handles.
pub struct Signals {
    /// SIGTERM: shut down.
    pub terminate: Signal,
    /// SIGINT: shut down.
    pub interrupt: Signal,
    /// SIGUSR1: log the counters.
    pub print_counters: Signal,
    /// SIGHUP: reload the configuration.
    pub reload: Signal,
    pipe: UnixStream,
}

impl Signals {
    /// Registers the handlers. Without them SIGHUP ends the program, so this has to be the first
    /// step of the start.
    ///
    /// # Errors
    /// The system's error if a handler can't be registered or the pipe can't be created.
    pub fn register() -> io::Result<Signals> {
        let (reader, writer) = StdUnixStream::pair()?;
        reader.set_nonblocking(true)?;
        Ok(Signals {
            terminate: Signal::register(SIGTERM, &writer)?,
            interrupt: Signal::register(SIGINT, &writer)?,
            print_counters: Signal::register(SIGUSR1, &writer)?,
            reload: Signal::register(SIGHUP, &writer)?,
            pipe: UnixStream::from_std(reader)?,
        })
    }

    /// Wakes the tasks that wait for a signal; never returns. [`Signal::recv`] returns only while
    /// this runs.
    pub async fn deliver(self: Rc<Signals>) {
        let mut bytes = [0; READ_BYTES];
        loop {
            let readable = self.pipe.readable().await;
            match readable.and_then(|()| self.pipe.try_read(&mut bytes)) {
                Ok(1..) => self.wake(),
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
                // The handlers keep the other end open, so this is a failed read.
                Ok(_) | Err(_) => sleep(RETRY_INTERVAL).await,
            }
        }
    }

    fn wake(&self) {
        for signal in [&self.terminate, &self.interrupt, &self.print_counters, &self.reload] {
            if signal.arrived.swap(false, Ordering::Relaxed) {
                signal.wakeup.notify_one();
            }
        }
    }
}

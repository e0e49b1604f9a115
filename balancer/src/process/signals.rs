//! The signals that the process handles: a flag for each, and one pipe that wakes whoever reads it.
//!
//! The runtime's own handlers panic where the read of their pipe is interrupted. Here it is made
//! again.

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

/// Between two tries to read the pipe where its read failed for the moment.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes of the pipe that are read at a time; each stands for a signal.
const READ_BYTES: usize = 64;

/// One signal, whenever it comes. Those that come before it is asked for count as one.
#[derive(Clone, Default)]
pub struct Signal {
    came: Arc<AtomicBool>,
    wakeup: Rc<Notify>,
}

impl Signal {
    fn register(number: i32, wakes: &StdUnixStream) -> io::Result<Signal> {
        let signal = Signal::default();
        // In this order: the flag is set before the pipe wakes its reader.
        flag::register(number, signal.came.clone())?;
        pipe::register(number, wakes.try_clone()?)?;
        Ok(signal)
    }

    /// Waits until the signal has come since this last returned.
    pub async fn recv(&self) {
        self.wakeup.notified().await;
    }
}

/// The signals that the process handles.
pub struct Signals {
    /// SIGTERM.
    pub terminate: Signal,
    /// SIGINT.
    pub interrupt: Signal,
    /// SIGUSR1.
    pub print_counters: Signal,
    /// SIGHUP.
    pub reload: Signal,
    pipe: UnixStream,
}

impl Signals {
    /// Registers the handlers. Until then SIGHUP would end the program, so this comes before
    /// anything else.
    ///
    /// # Errors
    /// The system's error if a handler or the pipe can't be had.
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

    /// Wakes those that wait for a signal, for ever. Nothing is received without it.
    pub async fn deliver(self: Rc<Signals>) {
        let mut bytes = [0; READ_BYTES];
        loop {
            let readable = self.pipe.readable().await;
            match readable.and_then(|()| self.pipe.try_read(&mut bytes)) {
                Ok(1..) => self.wake(),
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
                // The handlers hold the other end: it is never closed.
                Ok(_) | Err(_) => sleep(RETRY_INTERVAL).await,
            }
        }
    }

    fn wake(&self) {
        for signal in [&self.terminate, &self.interrupt, &self.print_counters, &self.reload] {
            if signal.came.swap(false, Ordering::Relaxed) {
                signal.wakeup.notify_one();
            }
        }
    }
}

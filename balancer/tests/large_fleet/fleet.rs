//! Thousands of cache hosts behind one listener. All addresses of 127.0.0.0/8 are local, and each
//! address of 127.77.0.0/16 is used as a separate host.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::common::{entry, hit, read_command, Reply};

/// The stack size of a thread that serves one connection.
const STACK_BYTES: usize = 64 * 1024;

/// What every host does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behavior {
    Serves,
    /// Resets the connection.
    Resets,
    /// Reads the request and does not answer.
    Hangs,
}

impl Behavior {
    const EACH: [Behavior; 3] = [Behavior::Serves, Behavior::Resets, Behavior::Hangs];
}

/// All hosts of a test.
pub struct Fleet {
    port: u16,
    hosts: usize,
    /// How many hosts were replaced, in the order of their numbers.
    replaced: AtomicUsize,
    behavior: Arc<AtomicU8>,
}

impl Fleet {
    /// Starts hosts that answer each request with the value `v`.
    pub fn start(hosts: usize) -> Fleet {
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        let behavior = Arc::new(AtomicU8::new(Behavior::Serves as u8));
        let shared = behavior.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let behavior = shared.clone();
                let is_local = stream.peer_addr().is_ok_and(|peer| peer.ip().is_loopback());
                if is_local {
                    let serving = thread::Builder::new().stack_size(STACK_BYTES);
                    serving.spawn(move || serve(stream, &behavior)).expect("a thread");
                }
            }
        });
        Fleet { port, hosts, replaced: AtomicUsize::new(0), behavior }
    }

    /// Sets what every host does from now on.
    pub fn set(&self, behavior: Behavior) {
        self.behavior.store(behavior as u8, Ordering::Relaxed);
    }

    /// Replaces `count` hosts by as many new ones. Returns the list entries that change.
    pub fn replace(&self, count: usize) -> Vec<String> {
        let first = self.replaced.fetch_add(count, Ordering::Relaxed);
        let leaving = (first..first + count).map(|nth| self.entry(nth, "left"));
        let joining = (first..first + count).map(|nth| self.entry(nth + self.hosts, "active"));
        leaving.chain(joining).collect()
    }

    /// The list entries of the current hosts.
    pub fn entries(&self) -> Vec<String> {
        let first = self.replaced.load(Ordering::Relaxed);
        (first..first + self.hosts).map(|nth| self.entry(nth, "active")).collect()
    }

    fn entry(&self, nth: usize, lifecycle: &str) -> String {
        let [.., high, low] = (nth as u32 + 1).to_be_bytes();
        let address = SocketAddr::from(([127, 77, high, low], self.port));
        entry(&format!("h{nth}"), address, lifecycle)
    }
}

fn serve(stream: TcpStream, behavior: &AtomicU8) {
    let Ok(mut writing) = stream.try_clone() else { return };
    let mut reading = BufReader::new(stream);
    while read_command(&mut reading).is_ok() {
        match Behavior::EACH[usize::from(behavior.load(Ordering::Relaxed))] {
            Behavior::Serves => {
                let Reply::Text(text) = hit("v") else { return };
                if writing.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Behavior::Resets => {
                let _ = SockRef::from(&writing).set_linger(Some(Duration::ZERO));
                return;
            }
            Behavior::Hangs => {}
        }
    }
    let _ = writing.shutdown(Shutdown::Both);
}

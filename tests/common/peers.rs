//! Stand-ins for the hosts, origins and discovery that the balancer connects to.

use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// How long a test waits for an event before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Longer than the balancer lets a connection rest after a response.
const CONNECTION_REST: Duration = Duration::from_millis(200);

/// Waits until connections may carry another request after a response.
pub fn let_connections_rest() {
    thread::sleep(CONNECTION_REST);
}

/// The reply of a stand-in to a request.
pub enum Reply {
    Text(String),
    /// The text, after which the connection is closed.
    ThenClose(String),
    Nothing,
    /// The text byte by byte, with this pause before each byte.
    Trickle(String, Duration),
}

/// A stand-in that reports each request to the test and replies by a rule.
pub struct Peer {
    pub address: SocketAddr,
    received: Receiver<String>,
}

type Rule = Arc<dyn Fn(&str) -> Reply + Send + Sync>;
type Reader = fn(&mut BufReader<TcpStream>) -> io::Result<String>;

impl Peer {
    pub fn host(rule: impl Fn(&str) -> Reply + Send + Sync + 'static) -> Peer {
        Peer::start(read_command, Arc::new(rule), false)
    }

    pub fn http(rule: impl Fn(&str) -> Reply + Send + Sync + 'static) -> Peer {
        Peer::start(read_http, Arc::new(rule), false)
    }

    /// With `dedup`, a request that is repeated unchanged on its connection is reported once.
    fn start(read: Reader, rule: Rule, dedup: bool) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (sender, received) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (sender, rule) = (sender.clone(), rule.clone());
                thread::spawn(move || serve_connection(stream, read, &rule, &sender, dedup));
            }
        });
        Peer { address, received }
    }

    /// Waits for the next request; `closed` stands for the end of a connection.
    pub fn next(&self) -> String {
        self.received.recv_timeout(TEST_TIMEOUT).expect("a request arrives in time")
    }

    /// Whether no further request has come; takes the next request if one has.
    pub fn received_nothing(&self) -> bool {
        self.try_next().is_none()
    }

    /// The next request, if one has come.
    pub fn try_next(&self) -> Option<String> {
        self.received.try_recv().ok()
    }
}

fn serve_connection(stream: TcpStream, read: Reader, rule: &Rule, sender: &Sender<String>, dedup: bool) {
    let mut writer = stream.try_clone().expect("the socket handle can be duplicated");
    let mut reader = BufReader::new(stream);
    let mut before = String::new();
    while let Ok(request) = read(&mut reader) {
        if !dedup || before != request {
            let _ = sender.send(request.clone());
        }
        before.clone_from(&request);
        let (text, last) = match rule(&request) {
            Reply::Text(text) => (text, false),
            Reply::ThenClose(text) => (text, true),
            Reply::Nothing => continue,
            Reply::Trickle(text, pause) => {
                for byte in text.bytes() {
                    thread::sleep(pause);
                    if writer.write_all(&[byte]).is_err() {
                        break;
                    }
                }
                continue;
            }
        };
        if writer.write_all(text.as_bytes()).is_err() || last {
            break;
        }
    }
    // Dropping the stream would leave the connection open while a program that another test starts
    // holds a copy of the handle.
    let _ = writer.shutdown(Shutdown::Both);
    let _ = sender.send("closed".to_owned());
}

pub fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    match from.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_owned()),
    }
}

fn read_exact(from: &mut impl BufRead, count: usize) -> io::Result<String> {
    let mut bytes = vec![0; count];
    from.read_exact(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// The words of a command, joined by spaces. The time to wait is replaced by `d=..`, as it differs
/// between runs.
pub fn read_command(from: &mut BufReader<TcpStream>) -> io::Result<String> {
    let head = read_line(from)?;
    let count: usize = head[1..].parse().expect("the command is an array");
    let words: Vec<String> = (0..count).map(|_| read_bulk(from)).collect::<io::Result<_>>()?;
    Ok(without_wait(&words.join(" ")))
}

pub fn read_bulk(from: &mut impl BufRead) -> io::Result<String> {
    let head = read_line(from)?;
    let length = head[1..].parse::<usize>().expect("the element is a bulk string");
    let mut text = read_exact(from, length + 2)?;
    text.truncate(length);
    Ok(text)
}

fn without_wait(text: &str) -> String {
    match text.split_once(",d=") {
        Some((before, after)) => {
            let rest = after.trim_start_matches(|digit: char| digit.is_ascii_digit());
            format!("{before},d=..{rest}")
        }
        None => text.to_owned(),
    }
}

fn read_http(from: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut text = read_line(from)?.replace(" HTTP/1.1", "");
    let mut length = 0;
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            break;
        }
        if let Some(count) = line.strip_prefix("Content-Length: ") {
            length = count.parse().expect("Content-Length is a number");
        }
        if line.starts_with("X-") {
            let _ = write!(text, " | {}", without_wait(&line));
        }
    }
    let body = read_exact(from, length)?;
    Ok(if body.is_empty() { text } else { format!("{text} | {body}") })
}

/// Holds back the replies to requests for the key `slow` until the test releases them.
pub fn gate() -> (Sender<()>, impl Fn(&str) + Send + Sync) {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let wait = move |request: &str| {
        if request.contains("slow") {
            let _ = released.lock().expect("the lock is not poisoned").recv();
        }
    };
    (release, wait)
}

/// An address that nothing listens on.
pub fn unreachable_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A host behind a [`gate`] that has a value for every key.
pub fn gated_host() -> (Sender<()>, Peer) {
    let (release, wait) = gate();
    let host = Peer::host(move |request| {
        wait(request);
        hit("v")
    });
    (release, host)
}

/// A key whose home is host a in a fleet of hosts a and b.
pub const HOME_A: &str = "k2";

/// A cache host's answer with a value.
pub fn hit(value: &str) -> Reply {
    Reply::Text(format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()))
}

pub fn miss() -> Reply {
    Reply::Text("*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_owned())
}

pub fn http_answer(status: u32, body: &str) -> Reply {
    Reply::Text(format!("HTTP/1.1 {status} so\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// An entry of the endpoint list in discovery's format.
pub fn entry(name: &str, address: SocketAddr, lifecycle: &str) -> String {
    let kind = if name == "origin" { "origin" } else { "box" };
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// A stand-in for discovery. It holds a watch until the test publishes a new list or the hold time
/// ends. A repeated unchanged watch is reported once, so that traces do not depend on the duration
/// of a test.
pub struct Discovery {
    pub peer: Peer,
    state: Arc<(Mutex<PublishedLists>, Condvar)>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let state = Arc::new((Mutex::new(PublishedLists::default()), Condvar::new()));
        let shared = state.clone();
        let rule = move |request: &str| {
            let number = |text: &str| text.split('&').next().and_then(|text| text.parse::<u64>().ok());
            let parameter =
                |name: &str| request.split_once(name).and_then(|found| number(found.1)).unwrap_or(0);
            let (from, hold) = (parameter("from="), Duration::from_millis(parameter("hold_ms=")));
            let held = shared.1.wait_timeout_while(
                shared.0.lock().expect("the lock is not poisoned"),
                hold,
                |now| now.version() <= from,
            );
            http_answer(200, &held.expect("the lock is not poisoned").0.since(from))
        };
        let peer = Peer::start(read_http, Arc::new(rule), true);
        Discovery { peer, state }
    }

    pub fn publish(&self, entries: &[String]) {
        self.add(true, entries);
    }

    /// Publishes only the entries that changed.
    pub fn publish_changes(&self, entries: &[String]) {
        self.add(false, entries);
    }

    fn add(&self, is_complete: bool, entries: &[String]) {
        self.state
            .0
            .lock()
            .expect("the lock is not poisoned")
            .lists
            .push(PublishedList { is_complete, entries: entries.join(",") });
        self.state.1.notify_all();
    }
}

struct PublishedList {
    /// Whether this is the complete list rather than a change.
    is_complete: bool,
    entries: String,
}

/// All lists published so far; the first one has version 2.
#[derive(Default)]
struct PublishedLists {
    lists: Vec<PublishedList>,
}

impl PublishedLists {
    fn version(&self) -> u64 {
        1 + self.lists.len() as u64
    }

    /// The answer to a client that has this version: the last complete list since then, and the
    /// changes after it.
    fn since(&self, version: u64) -> String {
        let newer = &self.lists[(version.max(1) as usize - 1).min(self.lists.len())..];
        let newer = &newer[newer.iter().rposition(|list| list.is_complete).unwrap_or(0)..];
        let reset = newer.first().is_some_and(|list| list.is_complete);
        let entries: Vec<&str> = newer.iter().map(|list| list.entries.as_str()).collect();
        let (generation, entries) = (self.version(), entries.join(","));
        format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{entries}]}}"#)
    }
}

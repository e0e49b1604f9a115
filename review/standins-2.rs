//! Stand-ins of the second review: cache hosts, an origin, discovery, clients and the platform, as the operators'
//! protocol page describes them. Only the standard library; each case includes this file as a module.
#![allow(dead_code)]

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a run ended, as the exit code that the review asks for.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// The record of a run: one line for each thing that was sent, answered or run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>9.3} ms  {text}", self.now_ms());
    }

    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }
}

/// The settings of a small deployment: four balancers, the classes and times of a prepaid service.
pub const SETTINGS: &str = r#"{"categories":[
 {"name":"balance-read","targetLatencyMs":750.0,"ttlMs":1500.0,"semantics":"retryable","benefit":5.0,"tardyBenefit":0.3},
 {"name":"top-up","targetLatencyMs":1200.0,"ttlMs":3000.0,"semantics":"dedup","group":"all","windowMs":6000.0,"benefit":8.0,"tardyBenefit":0.3},
 {"name":"emergency-credit","targetLatencyMs":1000.0,"ttlMs":3000.0,"semantics":"fragile","benefit":10.0,"tardyBenefit":0.3}],
 "discovery":"push","domain":{"mode":"aside","originKind":1},"machineTypes":["std-2c","origin"],"dcs":["irbid-east"],
 "groupSize":4,"tickMs":5.0,"weights":"off",
 "invariants":{"coldFrom":0.33,"warmWithinMs":9000.0,"tipMultiple":3.0,"tipAfterMs":3000.0,"stopSendingWithinMs":300.0,"graceToAnswerMs":20.0},
 "limits":{"maxPushes":5,"mayDuplicate":true,"cancel":true,"retryAfter":true,"maxRetryAfterMs":2000.0,
           "connectTimeoutMs":250.0,"keepaliveMs":15000.0,"mostHeld":20000,"streamsPerConn":32}}"#;

/// One run of a case.
pub struct World {
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub trouble: bool,
    temp: PathBuf,
}

impl World {
    /// Reads the folder of the case and the temporary folder from the command line.
    pub fn new() -> World {
        let arguments: Vec<String> = std::env::args().collect();
        let (folder, temp) = (PathBuf::from(&arguments[1]), PathBuf::from(&arguments[2]));
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let record = Arc::new(Record { start: Instant::now(), file: Mutex::new(file) });
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        record.line(&format!("trouble: {trouble}"));
        World { record, trouble, temp }
    }

    /// Writes the verdict to the record and ends the process. Call it after the balancer was dropped.
    pub fn end(&self, verdict: Verdict) -> ! {
        let (code, text) = match verdict {
            Verdict::Held => (0, "held".to_owned()),
            Verdict::Broken(what) => (1, format!("BROKEN: {what}")),
            Verdict::CouldNotRun(why) => (2, format!("could not run: {why}")),
        };
        self.record.line(&format!("verdict: {text}"));
        println!("{text}");
        std::process::exit(code);
    }

    /// Writes the configuration and starts the balancer by `run` of the deploy file.
    pub fn balancer(&self, discovery: SocketAddr, known: &str, memory_mb: u32, sockets: u32, settings: &str) -> Balancer {
        let listen = free_address();
        let mgmt = free_address();
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","mgmt":"{mgmt}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        let path = self.temp.join("config.json");
        std::fs::write(&path, &config).expect("the configuration can be written");
        let log = File::create(self.temp.join("balancer.log")).expect("a log");
        let private = self.temp.join("tmpdir");
        std::fs::create_dir_all(&private).expect("a folder");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", listen.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &path)
            .env("TMPDIR", &private)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_owned()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the balancer starts");
        std::fs::write(self.temp.join("pid"), child.id().to_string()).expect("a file");
        let pid_file = self.temp.join("pid");
        let balancer = Balancer { child, listen, mgmt, config, path, pid_file };
        let began = Instant::now();
        while !balancer.answers_ping() {
            if began.elapsed() > Duration::from_secs(30) {
                drop(balancer);
                self.end(Verdict::CouldNotRun("the balancer was not ready within 30 s".to_owned()));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("balancer ready on {listen}"));
        balancer
    }
}

/// The line `run` of the deploy file.
fn run_command() -> String {
    let file = std::fs::read_to_string("deploy/balancer.toml").expect("started from the repository's root");
    let line = file.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a line run");
    line.trim_end_matches('"').to_owned()
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub struct Balancer {
    child: Child,
    pub listen: SocketAddr,
    pub mgmt: SocketAddr,
    config: String,
    path: PathBuf,
    /// Names the process for as long as it runs, so that the script can end it whatever happens here.
    pid_file: PathBuf,
}

impl Balancer {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn answers_ping(&self) -> bool {
        let Ok(mut client) = Client::connect(self.listen) else { return false };
        client.send(b"*1\r\n$4\r\nPING\r\n").is_ok()
            && matches!(client.reply(Duration::from_secs(1)), Ok(Reply::Line(line)) if line == "+PONG")
    }

    /// Sends a signal by its number.
    pub fn signal(&self, number: i32) {
        unsafe { kill(self.pid() as i32, number) };
    }

    /// Replaces a text in the configuration file, in one step.
    pub fn change_config(&mut self, from: &str, to: &str) {
        self.config = self.config.replace(from, to);
        let new = self.path.with_extension("new");
        std::fs::write(&new, &self.config).expect("a file");
        std::fs::rename(&new, &self.path).expect("a file");
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn peak_memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
    }
}

/// What a stand-in does with a request, step by step.
pub enum Step {
    Wait(u64),
    Write(Vec<u8>),
    /// Ends the connection by a reset.
    Reset,
    /// Closes the connection in good order.
    Close,
}

/// A request at a cache host or at the origin, whose last byte has come.
pub struct Request {
    /// `CACHE.GET`, `CACHE.SET`, or the method at the origin.
    pub command: String,
    pub key: String,
    pub id: String,
    pub facts: String,
    pub value: Option<Vec<u8>>,
    pub came_at_ms: f64,
}

impl Request {
    pub fn fact(&self, name: &str) -> Option<&str> {
        self.facts.split(',').find_map(|fact| fact.strip_prefix(name)?.strip_prefix('='))
    }
}

pub type Handler = dyn Fn(&Request) -> Vec<Step> + Send + Sync;

/// A cache host that speaks RESP2. It begins a command when its last byte has come.
pub fn cache_host(record: &Arc<Record>, handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, handler) = (record.clone(), handler.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Ok(Some(words)) = read_command(&mut reader) {
                    let text = |at: usize| words.get(at).map_or(String::new(), |word| String::from_utf8_lossy(word).into());
                    let command = text(0).to_ascii_uppercase();
                    if !command.starts_with("CACHE.") {
                        let answer: &[u8] = if command == "PING" { b"+PONG\r\n" } else { b"-ERR unknown\r\n" };
                        if (&stream).write_all(answer).is_err() {
                            return;
                        }
                        continue;
                    }
                    let request = Request {
                        command,
                        key: text(1),
                        id: text(2),
                        facts: text(3),
                        value: words.get(4).cloned(),
                        came_at_ms: record.now_ms(),
                    };
                    if !perform(&stream, handler(&request)) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// The origin, which speaks HTTP/1.1.
pub fn origin(record: &Arc<Record>, handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, handler) = (record.clone(), handler.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Ok(Some(head)) = read_http_head(&mut reader) {
                    let mut body = vec![0; head.length];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    let request = Request {
                        value: (head.method == "PUT").then_some(body),
                        command: head.method,
                        key: head.path.trim_start_matches('/').to_owned(),
                        id: head.id,
                        facts: head.facts,
                        came_at_ms: record.now_ms(),
                    };
                    if !perform(&stream, handler(&request)) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Performs the steps; returns whether the connection goes on.
fn perform(mut stream: &TcpStream, steps: Vec<Step>) -> bool {
    for step in steps {
        match step {
            Step::Wait(ms) => thread::sleep(Duration::from_millis(ms)),
            Step::Write(bytes) => {
                if stream.write_all(&bytes).is_err() {
                    return false;
                }
            }
            Step::Reset => {
                reset(stream);
                return false;
            }
            Step::Close => {
                let _ = stream.shutdown(Shutdown::Both);
                return false;
            }
        }
    }
    true
}

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

/// Ends a connection such that its peer sees a reset: SO_LINGER with no time, and the end of both directions.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let linger: [i32; 2] = [1, 0];
    // SOL_SOCKET and SO_LINGER, as Linux numbers them.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8) };
}

fn read_command(reader: &mut impl BufRead) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(head) = read_line(reader)? else { return Ok(None) };
    let count: usize = head.strip_prefix('*').and_then(|text| text.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length: usize = line.strip_prefix('$').and_then(|text| text.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

struct HttpHead {
    method: String,
    path: String,
    length: usize,
    id: String,
    facts: String,
}

fn read_http_head(reader: &mut impl BufRead) -> io::Result<Option<HttpHead>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut words = first.split(' ').map(str::to_owned);
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let mut head = HttpHead { method, path, length: 0, id: String::new(), facts: String::new() };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let Some((name, value)) = line.split_once(':') else {
            return if line.is_empty() { Ok(Some(head)) } else { Err(io::ErrorKind::InvalidData.into()) };
        };
        let value = value.trim().to_owned();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => head.length = value.parse().map_err(|_| io::ErrorKind::InvalidData)?,
            "x-correlation-id" => head.id = value,
            "x-facts" => head.facts = value,
            _ => {}
        }
    }
}

/// The answer of a cache host with a value: an array of the value, no note and no load report.
pub fn hit(value: &[u8]) -> Vec<u8> {
    let mut bytes = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
    bytes
}

pub fn miss() -> Vec<u8> {
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec()
}

/// The origin's answer with a value or a receipt.
pub fn http_ok(body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// An entry of the list.
pub fn entry(name: &str, address: SocketAddr, kind: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"irbid-east","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

pub fn whole_list(generation: u64, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":true,"instances":[{}]}}"#, entries.join(","))
}

/// Discovery: serves whole lists and watches. Every answer is the whole list.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, Vec<String>)>, Condvar)>,
    /// How long an answer takes, in milliseconds.
    pub slow_ms: Arc<AtomicU64>,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, name: &'static str, generation: u64, entries: Vec<String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new((generation, entries)), Condvar::new()));
        let slow_ms = Arc::new(AtomicU64::new(0));
        let (record, shared, slow) = (record.clone(), state.clone(), slow_ms.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, shared, slow) = (record.clone(), shared.clone(), slow.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(head)) = read_http_head(&mut reader) {
                        record.line(&format!("{name}: asked {}", head.path));
                        thread::sleep(Duration::from_millis(slow.load(Ordering::Relaxed)));
                        let (lock, changed) = &*shared;
                        let mut state = lock.lock().unwrap();
                        let query = |name: &str| {
                            let rest = head.path.split_once(&format!("{name}="))?.1;
                            rest.split('&').next()?.parse::<u64>().ok()
                        };
                        let mut body = whole_list(state.0, &state.1);
                        if let Some(from) = query("from") {
                            let hold = Duration::from_millis(query("hold_ms").unwrap_or(0));
                            let waited = changed.wait_timeout_while(state, hold, |state| state.0 <= from).unwrap();
                            state = waited.0;
                            body = if state.0 > from {
                                whole_list(state.0, &state.1)
                            } else {
                                format!(r#"{{"generation":{},"reset":false,"instances":[]}}"#, state.0)
                            };
                        }
                        let version = state.0;
                        drop(state);
                        if (&stream).write_all(&http_ok(body.as_bytes())).is_err() {
                            return;
                        }
                        record.line(&format!("{name}: answered with version {version}"));
                    }
                });
            }
        });
        Discovery { address, state, slow_ms }
    }

    pub fn change(&self, entries: Vec<String>) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.0 += 1;
        state.1 = entries;
        changed.notify_all();
    }
}

/// An answer that a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Value(Vec<u8>),
    /// A line such as `-BUSY 100`.
    Line(String),
}

impl Reply {
    pub fn short(&self) -> String {
        match self {
            Reply::Value(value) => format!("a value of {} bytes", value.len()),
            Reply::Line(line) => line.clone(),
        }
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::with_capacity(16 * 1024, stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one answer, each read within this time.
    pub fn reply(&mut self, wait: Duration) -> io::Result<Reply> {
        self.stream.set_read_timeout(Some(wait))?;
        let line = read_line(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let Some(length) = line.strip_prefix('$') else { return Ok(Reply::Line(line)) };
        let length: i64 = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        if length < 0 {
            return Ok(Reply::Line(line));
        }
        let mut value = vec![0; length as usize + 2];
        self.reader.read_exact(&mut value)?;
        if !value.ends_with(b"\r\n") {
            return Err(io::ErrorKind::InvalidData.into());
        }
        value.truncate(length as usize);
        Ok(Reply::Value(value))
    }

    /// Reads up to so many bytes.
    pub fn read_some(&mut self, most: usize, wait: Duration) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(wait))?;
        let mut bytes = vec![0; most];
        self.reader.read(&mut bytes)
    }
}

/// A command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

pub fn get(key: &str, id: &str, facts: &str) -> Vec<u8> {
    command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()])
}

pub fn set(key: &str, id: &str, facts: &str, value: &[u8]) -> Vec<u8> {
    command(&[b"CACHE.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), value])
}

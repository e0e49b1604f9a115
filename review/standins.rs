//! Stand-ins for the review's cases: cache hosts (RESP2), the origin (HTTP/1.1), discovery, clients,
//! and the start of the balancer as the deploy file says. Standard library only; one process plays
//! one case and writes `record.txt`.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

mod cases;

// ---------------------------------------------------------------------------------------------
// The record.

/// The case's record: one line for each event, with the time since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|cause| cannot_run(&format!("record: {cause}")));
        Arc::new(Record { began: Instant::now(), file: Mutex::new(file) })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The case can't run: exit with 2.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2)
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

// ---------------------------------------------------------------------------------------------
// Discovery.

#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub lifecycle: &'static str,
}

impl Instance {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"hall\",\"machineType\":\"{}\",\"cell\":1,\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0}}",
            self.id, self.address, self.kind, self.lifecycle
        )
    }
}

pub fn list_json(version: u64, instances: &[Instance]) -> String {
    let entries: Vec<String> = instances.iter().map(Instance::json).collect();
    format!("{{\"generation\":{version},\"reset\":true,\"instances\":[{}]}}", entries.join(","))
}

/// Discovery with a list that does not change: the list at once, a watch after its hold.
pub fn discovery(instances: Vec<Instance>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let instances = instances.clone();
            spawn(move || {
                let mut writing = stream.try_clone().unwrap();
                let mut reading = BufReader::new(stream);
                while let Ok(Some(request)) = read_http_request(&mut reading) {
                    let hold = request.path.split("hold_ms=").nth(1).and_then(|text| text.parse().ok());
                    let body = match hold {
                        Some(hold) => {
                            sleep(ms(hold));
                            "{\"generation\":2,\"reset\":false,\"instances\":[]}".to_owned()
                        }
                        None => list_json(2, &instances),
                    };
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    if writing.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------
// The origin and the cache hosts.

#[derive(Debug)]
pub struct HttpRequest {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub first_byte_at: Instant,
}

pub fn read_http_request(reading: &mut BufReader<TcpStream>) -> io::Result<Option<HttpRequest>> {
    if reading.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let first_byte_at = Instant::now();
    let mut line = String::new();
    reading.read_line(&mut line)?;
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or("").to_owned();
    let path = words.next().unwrap_or("").to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reading.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reading.read_exact(&mut body)?;
    Ok(Some(HttpRequest { method, path, headers, body, first_byte_at }))
}

/// What a server does with a request.
pub enum Reply {
    /// These bytes after this time; the connection stays open.
    Bytes(Duration, Vec<u8>),
    /// These bytes, then a reset (or an end, if it was `false`) after this time.
    BytesThenEnd(Vec<u8>, Duration, bool),
}

/// A server on a free port; `serve` handles a connection.
pub fn server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            spawn(move || serve(stream));
        }
    });
    address
}

fn perform(reply: Reply, writing: &mut TcpStream) -> io::Result<bool> {
    match reply {
        Reply::Bytes(after, bytes) => {
            sleep(after);
            writing.write_all(&bytes)?;
            Ok(true)
        }
        Reply::BytesThenEnd(bytes, after, reset) => {
            writing.write_all(&bytes)?;
            sleep(after);
            if reset {
                reset_on_close(writing);
            }
            let _ = writing.shutdown(Shutdown::Both);
            Ok(false)
        }
    }
}

/// Lets the close of the connection reset it (SO_LINGER with no time).
pub fn reset_on_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

/// The origin: `answer` says what is done with each request.
pub fn origin(answer: impl Fn(&HttpRequest) -> Reply + Send + Sync + 'static) -> SocketAddr {
    server(move |stream| {
        let mut writing = stream.try_clone().unwrap();
        let mut reading = BufReader::new(stream);
        while let Ok(Some(request)) = read_http_request(&mut reading) {
            if !matches!(perform(answer(&request), &mut writing), Ok(true)) {
                return;
            }
        }
    })
}

pub fn http_ok(body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Reads a RESP2 array of bulk strings, and the time of its first byte.
pub fn read_command(reading: &mut BufReader<TcpStream>) -> io::Result<Option<(Vec<Vec<u8>>, Instant)>> {
    if reading.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let first_byte_at = Instant::now();
    let mut line = String::new();
    reading.read_line(&mut line)?;
    let bad = || io::Error::new(io::ErrorKind::InvalidData, "no command");
    let count: usize =
        line.trim_end().strip_prefix('*').and_then(|text| text.parse().ok()).ok_or_else(bad)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut line = String::new();
        reading.read_line(&mut line)?;
        let length: usize =
            line.trim_end().strip_prefix('$').and_then(|text| text.parse().ok()).ok_or_else(bad)?;
        let mut word = vec![0; length + 2];
        reading.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some((words, first_byte_at)))
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A cache host: `answer` gets the words of each command and the time of its first byte.
pub fn cache_host(answer: impl Fn(&[Vec<u8>], Instant) -> Reply + Send + Sync + 'static) -> SocketAddr {
    server(move |stream| {
        let mut writing = stream.try_clone().unwrap();
        let mut reading = BufReader::new(stream);
        while let Ok(Some((words, at))) = read_command(&mut reading) {
            let reply = if words[0].eq_ignore_ascii_case(b"PING") {
                Reply::Bytes(ms(0), b"+PONG\r\n".to_vec())
            } else {
                answer(&words, at)
            };
            if !matches!(perform(reply, &mut writing), Ok(true)) {
                return;
            }
        }
    })
}

/// A cache host's answer: the value, or a miss.
pub fn resp_answer(value: Option<&[u8]>) -> Vec<u8> {
    let mut out = b"*3\r\n".to_vec();
    match value {
        Some(value) => {
            out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
        None => out.extend_from_slice(b"$-1\r\n"),
    }
    out.extend_from_slice(b"$-1\r\n$-1\r\n");
    out
}

// ---------------------------------------------------------------------------------------------
// Clients.

pub fn encode_command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

pub fn get(key: &str, id: &str, facts: &str) -> Vec<u8> {
    encode_command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()])
}

pub fn set(key: &str, id: &str, facts: &str, value: &[u8]) -> Vec<u8> {
    encode_command(&[b"CACHE.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), value])
}

/// What a client received for one command.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    Busy,
    Failed(String),
    /// The connection ended or broke with no whole answer.
    Ended(String),
}

impl Answer {
    pub fn short(&self) -> String {
        match self {
            Answer::Value(value) if value.len() > 40 => format!("value of {} bytes", value.len()),
            Answer::Value(value) => format!("value {:?}", text(value)),
            Answer::Busy => "-BUSY".to_owned(),
            Answer::Failed(line) => format!("failed {line:?}"),
            Answer::Ended(how) => format!("NO ANSWER ({how})"),
        }
    }
}

/// Reads one answer, to its last byte.
pub fn read_answer(reading: &mut BufReader<TcpStream>) -> Answer {
    let mut line = Vec::new();
    match reading.read_until(b'\n', &mut line) {
        Ok(0) => return Answer::Ended("end of the connection".to_owned()),
        Ok(_) if line.ends_with(b"\r\n") => {}
        Ok(_) => return Answer::Ended("end of the connection within an answer".to_owned()),
        Err(cause) => return Answer::Ended(cause.to_string()),
    }
    let line = text(&line).trim_end().to_owned();
    if line.starts_with("-BUSY") {
        return Answer::Busy;
    }
    let Some(length) = line.strip_prefix('$').and_then(|text| text.parse::<i64>().ok()) else {
        return Answer::Failed(line);
    };
    if length < 0 {
        return Answer::Failed(line);
    }
    let mut value = vec![0; length as usize + 2];
    let mut filled = 0;
    while filled < value.len() {
        match reading.read(&mut value[filled..]) {
            Ok(0) => return Answer::Ended(format!("end after {filled} of {length} bytes of a value")),
            Ok(count) => filled += count,
            Err(cause) => {
                return Answer::Ended(format!("{cause} after {filled} of {length} bytes of a value"))
            }
        }
    }
    value.truncate(length as usize);
    Answer::Value(value)
}

// ---------------------------------------------------------------------------------------------
// The balancer.

const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}

/// A balancer that runs; killed when it is dropped.
pub struct Balancer {
    pub child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

/// Connects with segments as on Ethernet; loopback's are 64 KiB, with which the system's buffers hold megabytes.
pub fn connect_like_ethernet(address: SocketAddr) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    }
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let mut raw = [0u8; 16];
    raw[..2].copy_from_slice(&2u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    unsafe {
        let fd = socket(2, 1 | 0o2000000, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let segment = 1448;
        setsockopt(fd, 6, 2, &segment, 4);
        if connect(fd, raw.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

/// Takes a free loopback port and gives it back.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The command `run` of deploy/balancer.toml.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|cause| cannot_run(&format!("deploy/balancer.toml: {cause}")));
    let line = text.lines().find(|line| line.starts_with("run ") || line.starts_with("run="));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.unwrap_or_else(|| cannot_run("deploy/balancer.toml has no run")).to_owned()
}

impl Balancer {
    /// Starts a balancer with these limits, settings and instances, and waits until it answers PING.
    pub fn start(
        root: &Path,
        memory_mb: u32,
        sockets: u32,
        settings: &str,
        instances: &[Instance],
        discovery: SocketAddr,
        log: &Path,
    ) -> Balancer {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let tmp = folder.join("tmp");
        std::fs::create_dir_all(&tmp).unwrap();
        let address = free_address();
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
             \"known\":{},\"settings\":{settings}}}",
            list_json(1, instances)
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config).unwrap();
        let log = File::create(log).unwrap();
        let mut command = Command::new("/bin/sh");
        // The balancer ends with this process, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, 9);
                Ok(())
            });
        }
        let child = command
            .arg("-c")
            .arg(run_command(root))
            .current_dir(root)
            .env("PROXY_NAME", "n1")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &path)
            .env("TMPDIR", &tmp)
            .env("RUST_LOG", std::env::var("BALANCER_LOG").unwrap_or_else(|_| "info".to_owned()))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|cause| cannot_run(&format!("balancer: {cause}")));
        let mut balancer = Balancer { child, address, folder };
        let began = Instant::now();
        while began.elapsed() < ms(10_000) {
            if let Ok(Some(status)) = balancer.child.try_wait() {
                cannot_run(&format!("the balancer ended at its start: {status}"));
            }
            if balancer.answers_ping() {
                return balancer;
            }
            sleep(ms(50));
        }
        drop(balancer);
        cannot_run("the balancer is not ready")
    }

    fn answers_ping(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(ms(1_000)));
        let _ = stream.write_all(b"*1\r\n$4\r\nPING\r\n");
        let mut answer = [0; 7];
        stream.read_exact(&mut answer).is_ok() && &answer == b"+PONG\r\n"
    }

    pub fn connect(&self) -> TcpStream {
        let stream =
            TcpStream::connect(self.address).unwrap_or_else(|cause| cannot_run(&format!("connect: {cause}")));
        let _ = stream.set_nodelay(true);
        stream
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Resident memory in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        line.and_then(|line| line.split_whitespace().nth(1)).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Settings like those of a small deployment: reads that may run again, writes with a key that all
/// hosts remember for 6 s, and writes that may run once.
pub fn settings() -> String {
    r#"{"az":"hall","dcs":["hall"],"benefitPer":"request","family":"cache","discovery":"push",
    "categories":[
     {"name":"balance-read","targetLatencyMs":1500,"ttlMs":1500,"semantics":"retryable","group":"all","windowMs":5000,"benefit":5,"tardyBenefit":0.5,"stream":false},
     {"name":"top-up","targetLatencyMs":3000,"ttlMs":3000,"semantics":"dedup","group":"all","windowMs":6000,"benefit":8,"tardyBenefit":0.5,"stream":false},
     {"name":"pay","targetLatencyMs":2000,"ttlMs":2000,"semantics":"fragile","group":"all","windowMs":5000,"benefit":10,"tardyBenefit":0.5,"stream":false}],
    "domain":{"mode":"aside","notes":"off","originFallMs":3000,"originFallMultiple":2.5,"originKind":1},
    "machineTypes":["std-2c","origin"],"tenants":[],"weights":"off","groupSize":1,"slotNo":0,"tickMs":5,
    "invariants":{"coldFrom":0.33,"warmWithinMs":8900,"tipMultiple":3,"tipAfterMs":3000,"graceToAnswerMs":50,"stopSendingWithinMs":300,"askWithinMs":10000},
    "limits":{"cancel":true,"connectTimeoutMs":150,"keepaliveMs":60000,"maxPushes":5,"maxRetryAfterMs":2000,"mayDuplicate":true,"mayTell":false,"mostHeld":20000,"probes":true,"retryAfter":true,"streamsPerConn":8},
    "report":{"columns":[],"source":"off"}}"#
        .replace('\n', " ")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else { cannot_run("usage: standins CASE ROOT FOLDER") };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let code = cases::play(case, Path::new(root), Path::new(folder), trouble);
    std::process::exit(code)
}

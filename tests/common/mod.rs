//! Shared by all tests. For decisions: a small fleet, events in, a printed trace of the actions out. For
//! sockets: the program started as operators start it, and stand-ins for what it speaks with.
#![allow(dead_code)] // each test file uses its part

use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use basaltwood::policy::Policy;
use basaltwood::types::*;

pub const MS: Micros = 1_000;
pub const READ: RequestClassId = RequestClassId(0);
pub const KEYED: RequestClassId = RequestClassId(1);
pub const ONCE: RequestClassId = RequestClassId(2);

/// One idempotent, one with an idempotency key and one at-most-once class; four balancers.
pub fn policy_config() -> PolicyConfig {
    let class = |priority_weight, retry_safety| RequestClass {
        latency_objective: 800 * MS,
        time_limit: 2_000 * MS,
        priority_weight,
        late_weight: 0.0,
        retry_safety,
    };
    PolicyConfig {
        seed: 7,
        balancers: 4,
        capabilities: Capabilities {
            cache_aside: false,
            polls_discovery: false,
            steady_weights: true,
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            keeps_dropped_hosts: false,
        },
        max_retry_after: Some(2_000 * MS),
        tick: MS,
        over_quota_weight: 0.1,
        tail_objective: None,
        slow_start: SlowStart {
            initial_capacity: 0.25,
            warm_up_time: 10_000 * MS,
            overload_multiple: 3.0,
            overload_window: 3_000 * MS,
        },
        classes: vec![
            class(5.0, RetrySafety::Idempotent),
            class(8.0, RetrySafety::IdempotencyKey { scope: DeduplicationScope::Zone, window: 1_000 * MS }),
            class(10.0, RetrySafety::AtMostOnce),
        ],
        tenants: vec![Tenant { quota_per_s: 8.0 }, Tenant { quota_per_s: 800.0 }],
    }
}

pub fn endpoint(host: u32) -> Endpoint {
    Endpoint {
        host: HostId(host),
        position: RingPosition::of(&format!("host-{host}")),
        origin: false,
        zone: ZoneId(host % 2),
        cell: CellId(host),
        lifecycle: Lifecycle::Up,
        weight: 1.0,
        started_at: None,
    }
}

pub struct Fleet {
    policy: Policy,
    pub now: Micros,
    next: u32,
}

impl Fleet {
    pub fn new(config: &PolicyConfig, hosts: Vec<Endpoint>) -> Fleet {
        let mut fleet = Fleet { policy: Policy::new(config), now: 0, next: 0 };
        fleet.handle(PolicyEvent::Endpoints { complete: true, endpoints: hosts });
        fleet
    }

    /// Takes one event; the actions without those for the sweep's timer.
    pub fn handle(&mut self, event: PolicyEvent) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, PolicyAction::SetTimer { timer: Timer::Sweep, .. }));
        actions
    }

    /// How many hosts get nothing now but what probes for their return.
    pub fn avoided(&self) -> usize {
        self.policy.pool_size().ejected
    }

    pub fn learned_limits(&self) -> Vec<LearnedLimit> {
        self.policy.learned_limits()
    }

    pub fn request(&mut self, class: RequestClassId, key: &str) -> (RequestId, Vec<PolicyAction>) {
        self.request_of(class, key, None)
    }

    pub fn request_of(
        &mut self,
        class: RequestClassId,
        key: &str,
        tenant: Option<TenantId>,
    ) -> (RequestId, Vec<PolicyAction>) {
        self.request_within(class, key, tenant, 2_000 * MS)
    }

    /// A request whose client waits for so long.
    pub fn request_within(
        &mut self,
        class: RequestClassId,
        key: &str,
        tenant: Option<TenantId>,
        wait: Micros,
    ) -> (RequestId, Vec<PolicyAction>) {
        let request = RequestId(self.next);
        self.next += 1;
        let event = PolicyEvent::Request {
            request,
            class,
            tenant,
            key: Some(RingPosition::of(key)),
            is_write: class != READ,
            is_retry: false,
            deadline: self.now + wait,
        };
        (request, self.handle(event))
    }

    /// The attempt of a request that went as `attempt` to `host` ends, `over` where it was answered.
    pub fn attempt_ended(
        &mut self,
        request: RequestId,
        attempt: u32,
        host: HostId,
        outcome: AttemptOutcome,
        elapsed: Micros,
    ) -> Vec<PolicyAction> {
        self.handle(PolicyEvent::AttemptEnded {
            request,
            attempt: AttemptNumber(attempt),
            host,
            elapsed,
            outcome,
            finished: outcome == AttemptOutcome::Succeeded,
        })
    }

    /// A request that is answered after a tenth of a second at each host it goes to; those hosts.
    pub fn served(&mut self, key: &str) -> Vec<HostId> {
        let (request, actions) = self.request(READ, key);
        self.now += 100 * MS;
        let hosts = attempted(&actions);
        for (attempt, &host) in hosts.iter().enumerate() {
            self.attempt_ended(request, attempt as u32, host, AttemptOutcome::Succeeded, 100 * MS);
        }
        hosts
    }

    /// Lets time pass with its sweeps; the actions they brought.
    pub fn pass(&mut self, span: Micros) -> Vec<PolicyAction> {
        let until = self.now + span;
        let mut actions = Vec::new();
        while self.now + 50 * MS <= until {
            self.now += 50 * MS;
            actions.extend(self.handle(PolicyEvent::TimerFired(Timer::Sweep)));
        }
        self.now = until;
        actions
    }
}

pub fn attempted(actions: &[PolicyAction]) -> Vec<HostId> {
    let host = |action: &PolicyAction| match action {
        PolicyAction::StartAttempt { host, .. } => Some(*host),
        _ => None,
    };
    actions.iter().filter_map(host).collect()
}

/// Actions in a line of plain words.
pub fn trace(actions: &[PolicyAction]) -> String {
    let mut text = String::new();
    for action in actions {
        let gap = if text.is_empty() { "" } else { "; " };
        let _ = match action {
            PolicyAction::StartAttempt { host, timeout, .. } => {
                write!(text, "{gap}attempt h{} for {}", host.0, timeout / MS)
            }
            PolicyAction::Reject { retry_after, .. } => {
                write!(text, "{gap}reject, retry after {}", retry_after.map_or(0, |span| span / MS))
            }
            PolicyAction::Fail { .. } => write!(text, "{gap}fail"),
            PolicyAction::CancelAttempt { attempt, .. } => write!(text, "{gap}cancel {}", attempt.0),
            PolicyAction::SetTimer { timer, .. } => write!(text, "{gap}timer {timer:?}"),
            PolicyAction::WatchDiscovery => write!(text, "{gap}watch"),
        };
    }
    if text.is_empty() {
        text.push_str("nothing");
    }
    text
}

/// A balancer before so many hosts.
pub fn fleet(hosts: u32) -> Fleet {
    Fleet::new(&policy_config(), (0..hosts).map(endpoint).collect())
}

/// So many keys.
pub fn keys(count: u32) -> Vec<String> {
    (0..count).map(|key| format!("key-{key}")).collect()
}

/// The hosts that so many keys are read from, each served.
pub fn homes(fleet: &mut Fleet, count: u32) -> Vec<HostId> {
    keys(count).iter().map(|key| fleet.served(key)[0]).collect()
}

/// One of `balancers` that share so many hosts: of hundreds each sees little.
pub fn large(balancers: u32, hosts: u32) -> Fleet {
    Fleet::new(&PolicyConfig { balancers, ..policy_config() }, (0..hosts).map(endpoint).collect())
}

/// How long an event may take to come before a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(15);

/// What a stand-in replies to a request.
pub enum Reply {
    Text(String),
    /// The last on this connection.
    Last(String),
    Nothing,
    /// Byte by byte, with so long between them.
    Drips(String, Duration),
}

/// Something the balancer speaks with: it reports each request to the test and replies by a rule.
pub struct Peer {
    pub address: SocketAddr,
    seen: Receiver<String>,
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

    /// With `once`, a request that is repeated word for word on its connection is reported once.
    fn start(read: Reader, rule: Rule, once: bool) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (tell, seen) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (tell, rule) = (tell.clone(), rule.clone());
                thread::spawn(move || serve_connection(stream, read, &rule, &tell, once));
            }
        });
        Peer { address, seen }
    }

    /// The next request, or `closed` once a connection is at its end.
    pub fn next(&self) -> String {
        self.seen.recv_timeout(TEST_TIMEOUT).expect("nothing came")
    }

    pub fn quiet(&self) -> bool {
        self.seen().is_none()
    }

    /// What has come by now, if anything has.
    pub fn seen(&self) -> Option<String> {
        self.seen.try_recv().ok()
    }
}

fn serve_connection(stream: TcpStream, read: Reader, rule: &Rule, tell: &Sender<String>, once: bool) {
    let mut writing = stream.try_clone().expect("a second handle");
    let mut reading = BufReader::new(stream);
    let mut before = String::new();
    while let Ok(request) = read(&mut reading) {
        if !once || before != request {
            let _ = tell.send(request.clone());
        }
        before.clone_from(&request);
        let (text, last) = match rule(&request) {
            Reply::Text(text) => (text, false),
            Reply::Last(text) => (text, true),
            Reply::Nothing => continue,
            Reply::Drips(text, pause) => {
                for byte in text.bytes() {
                    thread::sleep(pause);
                    if writing.write_all(&[byte]).is_err() {
                        break;
                    }
                }
                continue;
            }
        };
        if writing.write_all(text.as_bytes()).is_err() || last {
            break;
        }
    }
    // A plain drop would not end it while a program that another test starts holds a copy of the handle.
    let _ = writing.shutdown(Shutdown::Both);
    let _ = tell.send("closed".to_owned());
}

fn read_line(from: &mut impl BufRead) -> io::Result<String> {
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

/// A command's words with a space between, the time to wait as `d=..`: it differs from run to run.
pub fn read_command(from: &mut BufReader<TcpStream>) -> io::Result<String> {
    let head = read_line(from)?;
    let count: usize = head[1..].parse().expect("an array");
    let words: Vec<String> = (0..count).map(|_| read_bulk(from)).collect::<io::Result<_>>()?;
    Ok(without_wait(&words.join(" ")))
}

fn read_bulk(from: &mut impl BufRead) -> io::Result<String> {
    let head = read_line(from)?;
    let length = head[1..].parse::<usize>().expect("a bulk string");
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
            length = count.parse().expect("a length");
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
            let _ = released.lock().expect("a lock").recv();
        }
    };
    (release, wait)
}

/// Nothing listens there.
pub fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A host behind such a gate that has a value for every key.
pub fn gated_host() -> (Sender<()>, Peer) {
    let (release, wait) = gate();
    let host = Peer::host(move |request| {
        wait(request);
        hit("v")
    });
    (release, host)
}

/// A key whose home host of a and b is a.
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

/// An entry of the list, as discovery writes it.
pub fn entry(name: &str, address: SocketAddr, lifecycle: &str) -> String {
    let kind = if name == "origin" { "origin" } else { "box" };
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// Discovery: holds a watch until the test publishes a new list, or the hold is over. A repeated
/// unchanged watch is reported once, so that no trace depends on how long a test takes.
pub struct Discovery {
    pub peer: Peer,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let state = Arc::new((Mutex::new((1, String::new())), Condvar::new()));
        let shared = state.clone();
        let rule = move |request: &str| {
            let number = |text: &str| text.split('&').next().and_then(|text| text.parse::<u64>().ok());
            let parameter =
                |name: &str| request.split_once(name).and_then(|found| number(found.1)).unwrap_or(0);
            let (from, hold) = (parameter("from="), Duration::from_millis(parameter("hold_ms=")));
            let held =
                shared.1.wait_timeout_while(shared.0.lock().expect("a lock"), hold, |now| now.0 <= from);
            let (generation, entries) = held.expect("a lock").0.clone();
            let news = generation > from;
            let entries = if news { entries } else { String::new() };
            let body = format!(r#"{{"generation":{generation},"reset":{news},"instances":[{entries}]}}"#);
            http_answer(200, &body)
        };
        let peer = Peer::start(read_http, Arc::new(rule), true);
        Discovery { peer, state }
    }

    pub fn publish(&self, entries: &[String]) {
        let mut state = self.state.0.lock().expect("a lock");
        *state = (state.0 + 1, entries.join(","));
        self.state.1.notify_all();
    }
}

pub const SETTINGS: &str = r#"{"categories":[
    {"name":"read","targetLatencyMs":800.0,"ttlMs":2000.0,"semantics":"retryable","benefit":5.0},
    {"name":"put","targetLatencyMs":800.0,"ttlMs":2000.0,"semantics":"dedup","group":"all","windowMs":5000.0,"benefit":8.0},
    {"name":"once","targetLatencyMs":800.0,"ttlMs":2000.0,"semantics":"fragile","benefit":8.0}],
    "domain":{"mode":"aside","originKind":1},"machineTypes":["box","origin"],"dcs":["a"],"groupSize":2,
    "invariants":{"coldFrom":0.2,"warmWithinMs":9000.0,"tipMultiple":3.0,"tipAfterMs":3000.0},
    "limits":{"maxPushes":4,"mayDuplicate":true,"cancel":true,"retryAfter":true,"maxRetryAfterMs":2000.0,
              "connectTimeoutMs":250.0,"keepaliveMs":15000.0},"unheardOf":{"x":1}}"#;

/// The program, started as operators start it and killed when dropped.
pub struct Program {
    child: Child,
    log: Receiver<String>,
    pub address: String,
    /// Where operators call; empty where none can.
    pub mgmt: String,
    config_file: PathBuf,
}

fn address_in(line: &str) -> String {
    line.rsplit(' ').next().expect("an address").to_owned()
}

/// The configuration of a program with an admin address.
pub fn managed(known: &[String], [memory, sockets]: [u32; 2]) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","mgmt":"127.0.0.1:0","seed":"1",
        "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
        "known":{{"generation":1,"reset":true,"instances":[{}]}},"settings":{SETTINGS}}}"#,
        known.join(",")
    )
}

impl Program {
    /// Starts it and waits until it serves.
    pub fn start(binary: &str, discovery: SocketAddr, known: &[String], sockets: u32) -> Program {
        Program::start_by(binary, discovery, known, [192, sockets], SETTINGS)
    }

    /// The same by other settings, with so many MB and descriptors.
    pub fn start_by(
        binary: &str,
        discovery: SocketAddr,
        known: &[String],
        limits: [u32; 2],
        settings: &str,
    ) -> Program {
        Program::starting(binary, discovery, known, limits, settings).serving()
    }

    /// The same, with all of its log still to be read.
    pub fn starting(
        binary: &str,
        discovery: SocketAddr,
        known: &[String],
        [memory, sockets]: [u32; 2],
        settings: &str,
    ) -> Program {
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
            "known":{{"generation":1,"reset":true,"instances":[{}]}},"settings":{settings}}}"#,
            known.join(",")
        );
        Program::with_config(binary, &text)
    }

    /// With an address for operators beside the clients' one.
    pub fn managed(binary: &str, known: &[String], limits: [u32; 2]) -> Program {
        let mut program = Program::with_config(binary, &managed(known, limits));
        program.mgmt = address_in(&program.wait_for_log("mgmt on"));
        program.serving()
    }

    pub fn serving(mut self) -> Program {
        self.address = address_in(&self.wait_for_log("listens on"));
        self.wait_for_log("Serving");
        self
    }

    /// A call of an operator: the status and the body.
    pub fn call(&self, text: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(&self.mgmt).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        stream.write_all(text.as_bytes()).expect("it is taken");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
        let body = answer.split_once("\r\n\r\n").map_or("", |found| found.1);
        (status.unwrap_or_else(|| panic!("no status in {answer:?}")), body.to_owned())
    }

    /// The metrics without their comments, once they contain this line.
    pub fn metrics(&self, what: &str) -> String {
        let began = Instant::now();
        loop {
            let (_, page) = self.call("GET /_vars HTTP/1.1\r\n\r\n");
            let lines: Vec<&str> = page.lines().filter(|line| !line.starts_with('#')).collect();
            if lines.contains(&what) {
                return lines.join("\n").replace("edge_proxy_", "");
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "no {what} in {page}");
        }
    }

    pub fn with_config(binary: &str, text: &str) -> Program {
        Program::spawned(Command::new(binary), Program::write_config(text))
    }

    /// The same with an operators' map of regions.
    pub fn in_regions(binary: &str, text: &str, map: &str) -> Program {
        let config_file = Program::write_config(text);
        let file = config_file.with_extension("toml");
        std::fs::write(&file, map).expect("a file");
        let mut command = Command::new(binary);
        command.env("BASALTWOOD_REGIONS", file);
        Program::spawned(command, config_file)
    }

    /// The same from another working directory, with nothing named.
    pub fn with_config_in(binary: &str, text: &str, folder: &Path) -> Program {
        let mut command = Command::new(binary);
        command.current_dir(folder);
        Program::spawned(command, Program::write_config(text))
    }

    fn write_config(text: &str) -> PathBuf {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("basaltwood-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let config_file = std::env::temp_dir().join(name);
        std::fs::write(&config_file, text).expect("a file");
        config_file
    }

    /// As a platform starts it that holds the clients' listening socket: inherited as descriptor 5.
    pub fn inheriting(binary: &str, text: &str, listener: &TcpListener, folder: &Path) -> Program {
        Program::inheriting_as(binary, text, listener, folder, "5")
    }

    /// The same with another descriptor number in the environment.
    pub fn inheriting_as(
        binary: &str,
        text: &str,
        listener: &TcpListener,
        folder: &Path,
        named: &str,
    ) -> Program {
        let held = OwnedFd::from(listener.try_clone().expect("a second handle"));
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 5<&0 </dev/null", binary]).stdin(Stdio::from(held));
        command.env("PROXY_INHERITED_FD", named).env("TMPDIR", folder);
        Program::spawned(command, Program::write_config(text))
    }

    fn spawned(mut command: Command, config_file: PathBuf) -> Program {
        command.env("PROXY_CONFIG", &config_file).env("RUST_LOG", "info").stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let (tell, log) = channel();
        thread::spawn(move || lines.map_while(Result::ok).all(|line| tell.send(line).is_ok()));
        Program { child, log, address: String::new(), mgmt: String::new(), config_file }
    }

    /// Replaces one part of its configuration file by another and sends SIGHUP.
    pub fn reload_with(&self, part: &str, by: &str) {
        let text = std::fs::read_to_string(&self.config_file).expect("its file");
        assert!(text.contains(part), "{part} is not in {text}");
        std::fs::write(&self.config_file, text.replace(part, by)).expect("a file");
        self.signal("HUP");
    }

    /// The next line of the log that holds this.
    pub fn wait_for_log(&self, what: &str) -> String {
        loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("no line with {what}"));
            if line.contains(what) {
                return line;
            }
        }
    }

    /// Its counters, once this one shows so much or more.
    pub fn wait_for_counter(&self, name: &str, minimum: u64) -> String {
        let began = Instant::now();
        loop {
            self.signal("USR1");
            let line = self.wait_for_log("counters");
            let mut words = line.split(' ').filter_map(|word| word.split_once('='));
            let count = words.find(|word| word.0 == name).and_then(|word| word.1.parse::<u64>().ok());
            if count.expect("such a counter") >= minimum {
                return line;
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "{name} is not {minimum} in {line}");
        }
    }

    /// All that is left of the log once the program has ended.
    pub fn remaining_log(&self) -> Vec<String> {
        self.log.iter().collect()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("sh").args(["-c", "kill -$0 $1", name, &id]).status();
        assert!(sent.expect("a shell").success());
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs").count()
    }

    /// The peak of its resident memory so far, in MB.
    pub fn memory(&self) -> u32 {
        self.memory_kb() / 1024
    }

    pub fn memory_kb(&self) -> u32 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a figure");
        line.trim().trim_end_matches(" kB").parse::<u32>().expect("a number")
    }

    pub fn ended(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    pub fn client(&self) -> Client {
        Client::at(&self.address)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let ended = self.child.wait();
        // When a test fails, the program's log is printed.
        if thread::panicking() {
            eprintln!("the program: {ended:?}");
            self.remaining_log().iter().for_each(|line| eprintln!("{line}"));
        }
        let _ = std::fs::remove_file(&self.config_file);
        let _ = std::fs::remove_file(self.config_file.with_extension("toml"));
    }
}

pub struct Client {
    reading: BufReader<TcpStream>,
    pub writing: TcpStream,
}

impl Client {
    pub fn at(address: &str) -> Client {
        let stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Client { reading: BufReader::new(stream.try_clone().expect("a second handle")), writing: stream }
    }

    /// Whether the other side has ended the connection by now.
    pub fn over(&self) -> bool {
        self.writing.set_nonblocking(true).expect("a socket");
        let over = matches!(self.writing.peek(&mut [0]), Ok(0));
        self.writing.set_nonblocking(false).expect("a socket");
        over
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.writing.write_all(bytes).expect("it is taken");
    }

    pub fn send(&mut self, words: &[&str]) {
        let mut text = format!("*{}\r\n", words.len());
        for word in words {
            let _ = write!(text, "${}\r\n{word}\r\n", word.len());
        }
        self.raw(text.as_bytes());
    }

    pub fn get(&mut self, key: &str, id: &str, facts: &str) {
        self.send(&["CACHE.GET", key, id, facts]);
    }

    /// One answer: a value as it is, anything else as its line, `closed` at the end.
    pub fn answer(&mut self) -> String {
        // A read with a time-out is not begun again by itself where something interrupted it: that is no end.
        let first = loop {
            match self.reading.fill_buf() {
                Ok(bytes) => break bytes.first().copied(),
                Err(cause) if cause.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return "closed".to_owned(),
            }
        };
        match first {
            Some(b'$') => read_bulk(&mut self.reading),
            _ => read_line(&mut self.reading),
        }
        .unwrap_or("closed".to_owned())
    }

    pub fn command(&mut self, words: &[&str]) -> String {
        self.send(words);
        self.answer()
    }
}

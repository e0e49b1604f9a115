//! Helpers for tests over sockets: the program, started as operators start it, and its clients.

use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Instant;

use super::peers::*;

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
    /// The address of the admin interface; empty without one.
    pub mgmt: String,
    config_file: PathBuf,
}

fn address_in(line: &str) -> String {
    line.rsplit(' ').next().expect("the line ends with an address").to_owned()
}

/// The rest of the line after the mark, or the whole line if it does not contain the mark.
pub fn text_after(line: &str, mark: &str) -> String {
    line.split_once(mark).map_or(line, |found| found.1).to_owned()
}

/// The configuration of a program with an admin address.
pub fn managed_config(known: &[String], [memory, sockets]: [u32; 2]) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","mgmt":"127.0.0.1:0","seed":"1",
        "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
        "known":{{"generation":1,"reset":true,"instances":[{}]}},"settings":{SETTINGS}}}"#,
        known.join(",")
    )
}

/// The configuration of a program without an admin address.
pub fn config_text(
    discovery: SocketAddr,
    known: &[String],
    [memory, sockets]: [u32; 2],
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
        "known":{{"generation":1,"reset":true,"instances":[{}]}},"settings":{settings}}}"#,
        known.join(",")
    )
}

impl Program {
    /// Waits until the admin interface listens, and takes its address from the log.
    pub fn wait_for_admin(&mut self) {
        self.mgmt = address_in(&self.wait_for_log("mgmt on"));
    }

    /// Starts the program and waits until it serves.
    pub fn start(binary: &str, discovery: SocketAddr, known: &[String], sockets: u32) -> Program {
        Program::start_with(binary, discovery, known, [192, sockets], SETTINGS)
    }

    /// Like `start`, with other settings and limits (memory in MB, descriptors).
    pub fn start_with(
        binary: &str,
        discovery: SocketAddr,
        known: &[String],
        limits: [u32; 2],
        settings: &str,
    ) -> Program {
        Program::spawn(binary, discovery, known, limits, settings).serving()
    }

    /// Like `start_with`, without waiting until the program serves: its whole log can be read.
    pub fn spawn(
        binary: &str,
        discovery: SocketAddr,
        known: &[String],
        limits: [u32; 2],
        settings: &str,
    ) -> Program {
        Program::spawn_with_env(binary, discovery, known, limits, settings, &[])
    }

    /// Like `spawn`, with additional environment variables.
    pub fn spawn_with_env(
        binary: &str,
        discovery: SocketAddr,
        known: &[String],
        limits: [u32; 2],
        settings: &str,
        environment: &[(&str, &Path)],
    ) -> Program {
        let mut command = Command::new(binary);
        command.envs(environment.iter().copied());
        Program::from_command(
            command,
            Program::write_config(&config_text(discovery, known, limits, settings)),
        )
    }

    /// Starts the program with an admin interface and waits until it serves.
    pub fn managed(binary: &str, known: &[String], limits: [u32; 2]) -> Program {
        let mut program = Program::with_config(binary, &managed_config(known, limits));
        program.wait_for_admin();
        program.serving()
    }

    pub fn serving(mut self) -> Program {
        self.address = address_in(&self.wait_for_log("listens on"));
        self.wait_for_log("Serving");
        self
    }

    /// Sends a request to the admin interface; returns the status and the body.
    pub fn call(&self, text: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(&self.mgmt).expect("the address accepts connections");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read time-out can be set");
        stream.write_all(text.as_bytes()).expect("the bytes can be sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("the answer can be read");
        let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
        let body = answer.split_once("\r\n\r\n").map_or("", |found| found.1);
        (status.unwrap_or_else(|| panic!("no status in {answer:?}")), body.to_owned())
    }

    /// Waits until the metrics contain this line; returns them without comments and without the lag
    /// of the event loop, which varies.
    pub fn metrics(&self, what: &str) -> String {
        let began = Instant::now();
        loop {
            let (_, page) = self.call("GET /_vars HTTP/1.1\r\n\r\n");
            assert!(page.contains("\nedge_proxy_loop_lag_ms "), "{page}");
            let varies = ["edge_proxy_loop_lag_ms", "edge_proxy_memory_"];
            let is_shown =
                |line: &&str| !line.starts_with('#') && !varies.iter().any(|name| line.starts_with(name));
            let lines: Vec<&str> = page.lines().filter(is_shown).collect();
            if lines.contains(&what) {
                return lines.join("\n").replace("edge_proxy_", "");
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "no {what} in {page}");
        }
    }

    pub fn with_config(binary: &str, text: &str) -> Program {
        Program::from_command(Command::new(binary), Program::write_config(text))
    }

    /// Like `with_config`, with a map of regions.
    pub fn with_regions(binary: &str, text: &str, map: &str) -> Program {
        let config_file = Program::write_config(text);
        let file = config_file.with_extension("toml");
        std::fs::write(&file, map).expect("the file can be written");
        let mut command = Command::new(binary);
        command.env("BASALTWOOD_REGIONS", file);
        Program::from_command(command, config_file)
    }

    /// Like `with_config`, from another working directory.
    pub fn with_config_in(binary: &str, text: &str, folder: &Path) -> Program {
        let mut command = Command::new(binary);
        command.current_dir(folder);
        Program::from_command(command, Program::write_config(text))
    }

    /// Starts the program with a configuration file that the test has written.
    pub fn with_config_file(binary: &str, config_file: &Path) -> Program {
        Program::from_command(Command::new(binary), config_file.to_owned())
    }

    fn write_config(text: &str) -> PathBuf {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("basaltwood-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let config_file = std::env::temp_dir().join(name);
        std::fs::write(&config_file, text).expect("the file can be written");
        config_file
    }

    /// Starts the program as a platform does that holds the clients' listening socket: inherited as
    /// descriptor 5.
    pub fn inheriting(binary: &str, text: &str, listener: &TcpListener, folder: &Path) -> Program {
        Program::inheriting_as(binary, text, listener, folder, "5")
    }

    /// Like `inheriting`, with another descriptor number in the environment.
    pub fn inheriting_as(
        binary: &str,
        text: &str,
        listener: &TcpListener,
        folder: &Path,
        named: &str,
    ) -> Program {
        let held = OwnedFd::from(listener.try_clone().expect("the socket handle can be duplicated"));
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 5<&0 </dev/null", binary]).stdin(Stdio::from(held));
        command.env("PROXY_INHERITED_FD", named).env("TMPDIR", folder);
        Program::from_command(command, Program::write_config(text))
    }

    fn from_command(mut command: Command, config_file: PathBuf) -> Program {
        command.env("PROXY_CONFIG", &config_file).env("RUST_LOG", "info").stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program can be started");
        let lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let (sender, log) = channel();
        thread::spawn(move || lines.map_while(Result::ok).all(|line| sender.send(line).is_ok()));
        Program { child, log, address: String::new(), mgmt: String::new(), config_file }
    }

    /// Replaces a part of the configuration file and sends SIGHUP.
    pub fn reload_with(&self, part: &str, by: &str) {
        let text = std::fs::read_to_string(&self.config_file).expect("the configuration file can be read");
        assert!(text.contains(part), "{part} is not in {text}");
        std::fs::write(&self.config_file, text.replace(part, by)).expect("the file can be written");
        self.signal("HUP");
    }

    /// Waits for the next log line that contains this text.
    pub fn wait_for_log(&self, what: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(TEST_TIMEOUT)
                .unwrap_or_else(|_| panic!("no further log line contains {what}"));
            if line.contains(what) {
                return line;
            }
        }
    }

    /// Waits until a counter has at least this value; returns the log line with all counters.
    pub fn wait_for_counter(&self, name: &str, minimum: u64) -> String {
        let began = Instant::now();
        loop {
            self.signal("USR1");
            let line = self.wait_for_log("counters");
            let mut words = line.split(' ').filter_map(|word| word.split_once('='));
            let count = words.find(|word| word.0 == name).and_then(|word| word.1.parse::<u64>().ok());
            if count.expect("the counter is in the log line") >= minimum {
                return line;
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "{name} is not {minimum} in {line}");
        }
    }

    /// The unread log lines, up to the end of the program.
    pub fn remaining_log(&self) -> Vec<String> {
        self.log.iter().collect()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("sh").args(["-c", "kill -$0 $1", name, &id]).status();
        assert!(sent.expect("the shell can be run").success());
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The number of open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the program is running").count()
    }

    /// The peak of the resident memory so far, in MB.
    pub fn memory(&self) -> u32 {
        self.memory_kb() / 1024
    }

    /// The most memory that was in use, in kB.
    pub fn memory_kb(&self) -> u32 {
        self.status_kb("VmHWM:")
    }

    /// The anonymous memory in use now, in kB.
    pub fn anonymous_kb(&self) -> u32 {
        self.status_kb("RssAnon:")
    }

    fn status_kb(&self, name: &str) -> u32 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the program is running");
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("the status file has it");
        line.trim().trim_end_matches(" kB").parse::<u32>().expect("the figure is a number")
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("the exit status can be read")
    }

    pub fn client(&self) -> Client {
        Client::at(&self.address)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let ended = self.child.wait();
        // If the test fails, the program's log is printed.
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
        Client::over(TcpStream::connect(address).expect("the address accepts connections"))
    }

    pub fn over(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read time-out can be set");
        Client {
            reading: BufReader::new(stream.try_clone().expect("the socket handle can be duplicated")),
            writing: stream,
        }
    }

    /// Ends the connection at once. Dropping the stream would leave it open while a program that
    /// another test starts holds a copy of the handle.
    pub fn disconnect(self) {
        self.writing.shutdown(Shutdown::Both).expect("the socket is open");
    }

    /// Whether the program has ended the connection.
    pub fn is_closed(&self) -> bool {
        self.writing.set_nonblocking(true).expect("the socket mode can be set");
        let over = matches!(self.writing.peek(&mut [0]), Ok(0));
        self.writing.set_nonblocking(false).expect("the socket mode can be set");
        over
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.writing.write_all(bytes).expect("the bytes can be sent");
    }

    pub fn send(&mut self, words: &[&str]) {
        let mut text = format!("*{}\r\n", words.len());
        for word in words {
            let _ = write!(text, "${}\r\n{word}\r\n", word.len());
        }
        self.raw(text.as_bytes());
    }

    /// Sends a write of a value of `length` bytes up to the value itself.
    pub fn begin_write(&mut self, id: &str, facts: &str, length: usize) {
        let words = format!("${}\r\n{id}\r\n${}\r\n{facts}\r\n", id.len(), facts.len());
        self.raw(format!("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n{words}${length}\r\n").as_bytes());
    }

    pub fn get(&mut self, key: &str, id: &str, facts: &str) {
        self.send(&["CACHE.GET", key, id, facts]);
    }

    /// Reads one answer: the value, or the line of any other reply; `closed` at the end of the
    /// connection.
    pub fn answer(&mut self) -> String {
        // An interrupted read is not the end of the connection. With a time-out set, it is not
        // restarted automatically.
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

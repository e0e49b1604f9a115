//! The cases: each plays one disruption and judges one rule. Returns 1 if the rule was broken, 0 if
//! it held.

use std::sync::atomic::{AtomicBool, Ordering};

use super::*;

pub fn play(case: &str, root: &Path, folder: &Path, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let log = folder.join("balancer.log");
    record.note(format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let broken = match case {
        "silent-connection" => silent_connection(root, &log, &record, trouble),
        "memory-limit" => memory_limit(root, &log, &record, trouble),
        "slow-writers" => slow_writers(root, &log, &record, trouble),
        _ => cannot_run("no such case"),
    };
    record.note(if broken > 0 { format!("rule broken {broken} times") } else { "the rule held".to_owned() });
    println!("{case}, disruption {}: {broken} breaks", if trouble { "on" } else { "off" });
    i32::from(broken > 0)
}

fn instances(hosts: &[SocketAddr], origin: SocketAddr) -> Vec<Instance> {
    let cache = hosts.iter().enumerate().map(|(at, &address)| Instance {
        id: format!("s-{at}"),
        address,
        kind: "std-2c",
        lifecycle: "active",
    });
    let origin = Instance { id: "o-0".to_owned(), address: origin, kind: "origin", lifecycle: "active" };
    cache.chain([origin]).collect()
}

/// A value that names the request it was made for.
fn value_for(key: &str, id: &str) -> Vec<u8> {
    format!("value of {key} for {id}").into_bytes()
}

fn good_host(record: &Arc<Record>, name: &'static str, delay: Duration) -> SocketAddr {
    let record = record.clone();
    cache_host(move |words, _| {
        let (key, id) = (text(&words[1]), text(&words[2]));
        if !id.starts_with('u') {
            record.note(format!("host {name} gets {} {key} {id} {}", text(&words[0]), text(&words[3])));
        }
        Reply::Bytes(delay, resp_answer(Some(&value_for(&key, &id))))
    })
}

fn good_origin(record: &Arc<Record>) -> SocketAddr {
    let record = record.clone();
    origin(move |request| {
        let id = request.headers.get("x-correlation-id").cloned().unwrap_or_default();
        let facts = request.headers.get("x-facts").cloned().unwrap_or_default();
        record.note(format!(
            "origin runs {} {} {id} {facts}, {} bytes",
            request.method,
            request.path,
            request.body.len()
        ));
        Reply::Bytes(ms(20), http_ok(&value_for(&request.path, &id)))
    })
}

/// The memory limit under long values and clients that take seconds to write and to read. Judged:
/// the balancer stays within its `memory_mb`. The platform is played here: it kills a balancer that
/// is over its limit.
fn memory_limit(root: &Path, log: &Path, record: &Arc<Record>, trouble: bool) -> usize {
    const MEMORY_MB: u32 = 32;
    const LIMIT_KIB: u64 = MEMORY_MB as u64 * 1024;
    const VALUE: usize = 64_000;
    const LONG_VALUE: usize = 4 << 20;
    const READERS: usize = 30;
    // Usual clients that go on beside the long values: with the others' 240 at most 320 requests a second.
    const USUAL_BESIDE: usize = 8;
    const READS: usize = 8;
    const LONG_READERS: usize = 24;
    const TAKEN_TO_READ: Duration = Duration::from_secs(2);
    // Two values of 4 MiB and one of 2.5 MiB, written over 4 s.
    const LONG_WRITES: [usize; 3] = [4 << 20, 4 << 20, 5 << 19];
    let hosts: Vec<SocketAddr> = (0..12)
        .map(|at| {
            let record = record.clone();
            cache_host(move |words, _| {
                let (key, id) = (text(&words[1]), text(&words[2]));
                let length = match key.as_bytes()[0] {
                    b'u' => 2_000,
                    b'L' => LONG_VALUE,
                    _ => VALUE,
                };
                if length > 2_000 {
                    record.note(format!("host s-{at} gets {key} {id}, value of {length} bytes"));
                }
                let mut value = value_for(&key, &id);
                value.resize(length, b'.');
                Reply::Bytes(ms(20), resp_answer(Some(&value)))
            })
        })
        .collect();
    let list = instances(&hosts, good_origin(record));
    let discovery = discovery(list.clone());
    let balancer = Balancer::start(root, MEMORY_MB, 384, &settings(), &list, discovery, log);
    let connect = |record: &Arc<Record>| {
        let address = balancer.address;
        let stream = connect_like_ethernet(address);
        stream.map_err(|cause| record.note(format!("a client can't connect: {cause}"))).ok()
    };
    let pid = balancer.child.id();
    let (peak, ended) = (Arc::new(Mutex::new(0)), Arc::new(AtomicBool::new(false)));
    // The platform.
    let platform = {
        let (record, peak, ended) = (record.clone(), peak.clone(), ended.clone());
        spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let (resident, anonymous) = (memory_kib(pid, "VmRSS:"), memory_kib(pid, "RssAnon:"));
                let mut most = peak.lock().unwrap();
                if anonymous > *most {
                    *most = anonymous;
                }
                // Of what is resident, only the anonymous part is counted: the program's own file isn't.
                if anonymous > LIMIT_KIB {
                    record.note(format!(
                        "the balancer holds {anonymous} KiB ({resident} KiB with files), its limit is \
                         {LIMIT_KIB} KiB: the platform kills it"
                    ));
                    unsafe { kill(pid as i32, 9) };
                    return true;
                }
                drop(most);
                sleep(ms(1));
            }
            false
        })
    };
    // Usual traffic: some 300 reads a second, one at a time on each connection; fewer beside the others.
    let quieter = Arc::new(AtomicBool::new(false));
    let mut usual = Vec::new();
    for number in 0..38 {
        let Some(mut stream) = connect(record) else { continue };
        let (ended, quieter) = (ended.clone(), quieter.clone());
        usual.push(spawn(move || {
            let mut reading = BufReader::new(stream.try_clone().unwrap());
            for at in 0.. {
                let id = format!("u{number}-{at}");
                let stops = quieter.load(Ordering::Relaxed) && number >= USUAL_BESIDE;
                if ended.load(Ordering::Relaxed)
                    || stops
                    || stream.write_all(&get(&id, &id, "c=balance-read,d=1500")).is_err()
                {
                    return;
                }
                if matches!(read_answer(&mut reading), Answer::Ended(_)) {
                    return;
                }
                sleep(ms(100));
            }
        }));
    }
    sleep(ms(12_000));
    quieter.store(true, Ordering::Relaxed);
    record.note(format!("before: {} KiB at most", peak.lock().unwrap()));
    for (number, length) in LONG_WRITES.into_iter().enumerate() {
        let Some(mut stream) = connect(record) else { continue };
        let record = record.clone();
        spawn(move || {
            let id = format!("long-{number}");
            let bytes = set(&id, &id, &format!("c=top-up,d=3000,k=k{id}"), &vec![b'l'; length]);
            record.note(format!("client {id} begins to write a value of {length} bytes"));
            let began = Instant::now();
            for (at, piece) in bytes.chunks(bytes.len() / 40 + 1).enumerate() {
                if trouble {
                    sleep((began + ms(100) * at as u32).saturating_duration_since(Instant::now()));
                }
                if stream.write_all(piece).is_err() {
                    return record.note(format!("client {id} can't write on"));
                }
            }
            record.note(format!("client {id} has written its last byte"));
            let answer = read_answer(&mut BufReader::new(stream));
            record.note(format!("client {id} gets {}", answer.short()));
        });
    }
    sleep(ms(2_500));
    for number in 0..LONG_READERS {
        let Some(mut stream) = connect(record) else { continue };
        let record = record.clone();
        spawn(move || {
            let id = format!("L{number}");
            let _ = stream.write_all(&get(&id, &id, "c=balance-read,d=1500"));
            if trouble {
                sleep(ms(1_000) + TAKEN_TO_READ);
            }
            let answer = read_answer(&mut BufReader::new(stream));
            record.note(format!("client {id} gets {}", answer.short()));
        });
    }
    sleep(ms(1_000));
    record.note(format!("with the long values: {} KiB at most", peak.lock().unwrap()));
    record.note(format!("{READERS} clients send {READS} reads each, of values of {VALUE} bytes"));
    let answered_all = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let readers: Vec<JoinHandle<usize>> = (0..READERS)
        .filter_map(|number| {
            let mut stream = connect(record)?;
            let (record, played) = (record.clone(), answered_all.clone());
            Some(spawn(move || {
                let mut reading = BufReader::new(stream.try_clone().unwrap());
                let command =
                    |at| get(&format!("k{number}-{at}"), &format!("r{number}-{at}"), "c=balance-read,d=1500");
                let all: Vec<u8> = (0..READS).flat_map(command).collect();
                if stream.write_all(&all).is_err() {
                    return 0;
                }
                record.note(format!("client r{number} has sent {READS} reads"));
                if trouble {
                    sleep(TAKEN_TO_READ);
                }
                let mut unanswered = 0;
                for at in 0..READS {
                    let answer = read_answer(&mut reading);
                    if matches!(answer, Answer::Ended(_)) {
                        unanswered += 1;
                    }
                    record.note(format!("client r{number} gets for r{number}-{at} {}", answer.short()));
                }
                played.fetch_add(1, Ordering::Relaxed);
                unanswered
            }))
        })
        .collect();
    let unanswered: usize = readers.into_iter().map(|reader| reader.join().unwrap_or(0)).sum();
    sleep(ms(1_500));
    ended.store(true, Ordering::Relaxed);
    let killed = platform.join().unwrap_or(false);
    usual.into_iter().for_each(|client| drop(client.join()));
    record.note(format!(
        "at most {} KiB of {LIMIT_KIB}; {unanswered} reads that were sent have no answer",
        peak.lock().unwrap()
    ));
    drop(balancer);
    if !killed && answered_all.load(Ordering::Relaxed) < READERS {
        cannot_run("not all readers were played");
    }
    usize::from(killed)
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A figure of /proc/PID/status, in KiB.
fn memory_kib(pid: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Clients that take seconds to write long values, and others that write at once. Judged: each
/// request of the others has its final answer at most half a second after its time.
fn slow_writers(root: &Path, log: &Path, record: &Arc<Record>, trouble: bool) -> usize {
    const LONG_WRITERS: usize = 6;
    const LONG_VALUE: usize = 4 << 20;
    const TAKEN_TO_WRITE: Duration = Duration::from_secs(6);
    const PIECES: usize = 80;
    const OTHERS: usize = 20;
    const VALUE: usize = 70 << 10;
    // What a client waits, by the request's `d`: the whole time limit of its class.
    const WAIT_MS: u64 = 3_000;
    let hosts = [good_host(record, "s-0", ms(10)), good_host(record, "s-1", ms(10))];
    let list = instances(&hosts, good_origin(record));
    let mut balancer = Balancer::start(root, 48, 384, &settings(), &list, discovery(list.clone()), log);
    sleep(ms(500));
    // Usual traffic: some 200 short reads a second. It isn't judged.
    let ended = Arc::new(AtomicBool::new(false));
    for number in 0..25 {
        let (mut stream, ended) = (balancer.connect(), ended.clone());
        spawn(move || {
            let mut reading = BufReader::new(stream.try_clone().unwrap());
            for at in 0.. {
                let id = format!("u{number}-{at}");
                let is_over = ended.load(Ordering::Relaxed);
                if is_over || stream.write_all(&get(&id, &id, "c=balance-read,d=1500")).is_err() {
                    return;
                }
                read_answer(&mut reading);
                sleep(ms(110));
            }
        });
    }
    let long_writers: Vec<JoinHandle<()>> = (0..LONG_WRITERS)
        .map(|number| {
            let (mut stream, record) = (balancer.connect(), record.clone());
            spawn(move || {
                let id = format!("long-{number}");
                let facts = format!("c=top-up,d={WAIT_MS},k=kl{number}");
                let bytes = set(&format!("l{number}"), &id, &facts, &vec![b'l'; LONG_VALUE]);
                record.note(format!("client {id} begins to write, {facts}, value of {LONG_VALUE} bytes"));
                let began = Instant::now();
                for (at, piece) in bytes.chunks(bytes.len() / PIECES + 1).enumerate() {
                    if trouble {
                        let due = began + TAKEN_TO_WRITE * at as u32 / PIECES as u32;
                        sleep(due.saturating_duration_since(Instant::now()));
                    }
                    if let Err(cause) = stream.write_all(piece) {
                        return record.note(format!("client {id} can't write on: {cause}"));
                    }
                }
                record.note(format!("client {id} has written its last byte"));
                let _ = stream.set_read_timeout(Some(ms(10_000)));
                let answer = read_answer(&mut BufReader::new(stream));
                record.note(format!("client {id} gets {}", answer.short()));
            })
        })
        .collect();
    sleep(ms(700));
    let others: Vec<JoinHandle<Option<bool>>> = (0..OTHERS)
        .map(|number| {
            sleep(ms(30));
            let (mut stream, record) = (balancer.connect(), record.clone());
            spawn(move || {
                let id = format!("other-{number}");
                let facts = format!("c=top-up,d={WAIT_MS},k=ko{number}");
                let bytes = set(&format!("o{number}"), &id, &facts, &vec![b'o'; VALUE]);
                if let Err(cause) = stream.write_all(&bytes) {
                    record.note(format!("client {id} can't write: {cause}"));
                    return None;
                }
                let written = Instant::now();
                record.note(format!("client {id} has written its last byte, {facts}"));
                let _ = stream.set_read_timeout(Some(ms(10_000)));
                let answer = read_answer(&mut BufReader::new(stream));
                let took = written.elapsed();
                // Its time, 50 ms that each limit is longer on sockets, and half a second.
                let lost = took > ms(WAIT_MS + 50 + 500) || matches!(answer, Answer::Ended(_));
                let verdict = if lost { ": LOST" } else { "" };
                record.note(format!(
                    "client {id} gets {} after {} ms{verdict}",
                    answer.short(),
                    took.as_millis()
                ));
                Some(lost)
            })
        })
        .collect();
    let results: Vec<bool> = others.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    let lost = results.iter().filter(|lost| **lost).count();
    long_writers.into_iter().for_each(|client| drop(client.join()));
    ended.store(true, Ordering::Relaxed);
    if let Some(status) = balancer.has_ended() {
        cannot_run(&format!("the balancer ended: {status}"));
    }
    drop(balancer);
    if lost == 0 && results.len() < OTHERS {
        cannot_run("not all requests could be written");
    }
    lost
}

/// The network before the origin: passes everything on, but a connection may fall silent, and what
/// is under way on it comes when it is over, as TCP sends it again. What the balancer takes back by
/// a reset meanwhile never comes.
fn network(record: &Arc<Record>, origin: SocketAddr, silence: Duration, every: Duration) -> SocketAddr {
    let record = record.clone();
    let next_silence = Mutex::new(Instant::now() + ms(3_000));
    server(move |mut balancer| {
        let Ok(mut server) = TcpStream::connect(origin) else { return };
        let _ = server.set_nodelay(true);
        let silent_until: Arc<Mutex<Option<Instant>>> = Arc::default();
        let (mut back, mut towards, until) =
            (server.try_clone().unwrap(), balancer.try_clone().unwrap(), silent_until.clone());
        spawn(move || {
            let mut bytes = [0; 65536];
            while let Ok(count @ 1..) = back.read(&mut bytes) {
                let waits = *until.lock().unwrap();
                sleep(waits.map_or(ms(0), |at| at.saturating_duration_since(Instant::now())));
                if towards.write_all(&bytes[..count]).is_err() {
                    break;
                }
            }
            let _ = towards.shutdown(Shutdown::Both);
        });
        let mut held = Vec::new();
        let mut bytes = [0; 65536];
        let _ = balancer.set_read_timeout(Some(ms(5)));
        loop {
            let ended = match balancer.read(&mut bytes) {
                Ok(0) => true,
                Ok(count) => {
                    let begins_write = bytes.starts_with(b"PUT") && held.is_empty();
                    held.extend_from_slice(&bytes[..count]);
                    let mut next = next_silence.lock().unwrap();
                    if begins_write && !silence.is_zero() && Instant::now() >= *next {
                        *next = Instant::now() + every;
                        *silent_until.lock().unwrap() = Some(Instant::now() + silence);
                        record.note(format!(
                            "a connection to the origin falls silent for {} ms, with {} under way",
                            silence.as_millis(),
                            request_id(&held)
                        ));
                    }
                    false
                }
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => false,
                Err(cause) => {
                    if !held.is_empty() {
                        record.note(format!("{cause}: {} never comes", request_id(&held)));
                    }
                    let _ = server.shutdown(Shutdown::Both);
                    return;
                }
            };
            let is_silent = silent_until.lock().unwrap().is_some_and(|at| Instant::now() < at);
            if !held.is_empty() && (!is_silent) {
                if server.write_all(&held).is_err() {
                    return;
                }
                held.clear();
            }
            if ended {
                let _ = server.shutdown(Shutdown::Write);
                return;
            }
        }
    })
}

/// The id in a request to the origin.
fn request_id(bytes: &[u8]) -> String {
    let request = text(bytes);
    let line = request.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: "));
    line.unwrap_or("?").to_owned()
}

/// Connections to the origin fall silent for a while. Judged: no keyed write takes effect twice at
/// an origin that drops repeats for as long as the settings say.
fn silent_connection(root: &Path, log: &Path, record: &Arc<Record>, trouble: bool) -> usize {
    const WINDOW_MS: u64 = 1_500;
    const SILENCE_MS: u64 = 2_200;
    let settings = settings().replace(
        r#"{"name":"top-up","targetLatencyMs":3000,"ttlMs":3000,"semantics":"dedup","group":"all","windowMs":6000"#,
        r#"{"name":"top-up","targetLatencyMs":2500,"ttlMs":2500,"semantics":"dedup","group":"all","windowMs":1500"#,
    );
    assert!(settings.contains("\"windowMs\":1500"));
    let hosts = [good_host(record, "s-0", ms(10)), good_host(record, "s-1", ms(10))];
    // The key of each write, when it took effect, and by which request.
    let effects: Arc<Mutex<BTreeMap<String, Vec<(Instant, String)>>>> = Arc::default();
    let origin = {
        let (record, effects) = (record.clone(), effects.clone());
        origin(move |request| {
            let id = request.headers.get("x-correlation-id").cloned().unwrap_or_default();
            let facts = request.headers.get("x-facts").cloned().unwrap_or_default();
            let key = facts.split(',').find_map(|fact| fact.strip_prefix("k=")).unwrap_or("").to_owned();
            let mut effects = effects.lock().unwrap();
            let runs = effects.entry(key.clone()).or_default();
            let remembered = runs.last().is_some_and(|(at, _)| at.elapsed() < ms(WINDOW_MS));
            if remembered {
                record.note(format!("origin drops a repeat of {key} ({id})"));
            } else {
                let before = if runs.is_empty() { "" } else { " AGAIN" };
                record.note(format!("origin runs {} {} {id} {facts}{before}", request.method, request.path));
                runs.push((Instant::now(), id.clone()));
            }
            drop(effects);
            Reply::Bytes(ms(30), http_ok(format!("receipt of {key}").as_bytes()))
        })
    };
    let silence = ms(if trouble { SILENCE_MS } else { 0 });
    let list = instances(&hosts, network(record, origin, silence, ms(2_500)));
    let mut balancer = Balancer::start(root, 96, 512, &settings, &list, discovery(list.clone()), log);
    sleep(ms(500));
    let until = Instant::now() + ms(20_000);
    let clients: Vec<JoinHandle<()>> = (0..16)
        .map(|number| {
            let (mut stream, record) = (balancer.connect(), record.clone());
            spawn(move || {
                let mut reading = BufReader::new(stream.try_clone().unwrap());
                for at in 0.. {
                    if Instant::now() > until {
                        return;
                    }
                    let id = format!("w{number}-{at}");
                    let facts = format!("c=top-up,d=2500,k=key-{id}");
                    if stream.write_all(&set(&format!("meter-{id}"), &id, &facts, b"amount")).is_err() {
                        return;
                    }
                    let sent = Instant::now();
                    let answer = read_answer(&mut reading);
                    record.note(format!(
                        "client gets for {id} after {} ms {}",
                        sent.elapsed().as_millis(),
                        answer.short()
                    ));
                    sleep(ms(100));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    sleep(ms(3_000));
    if let Some(status) = balancer.has_ended() {
        cannot_run(&format!("the balancer ended: {status}"));
    }
    drop(balancer);
    let effects = effects.lock().unwrap();
    if effects.len() < 500 {
        cannot_run("too few writes took effect");
    }
    let twice = effects.iter().filter(|(_, runs)| runs.len() > 1);
    let mut count = 0;
    for (key, runs) in twice {
        count += 1;
        let after = runs[1].0.duration_since(runs[0].0).as_millis();
        record.note(format!("{key} took effect {} times, again after {after} ms: TWICE", runs.len()));
    }
    count
}

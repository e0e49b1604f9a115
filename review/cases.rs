//! The cases: each plays one disruption and judges one rule. Returns 1 if the rule was broken, 0 if
//! it held.

use std::sync::atomic::{AtomicBool, Ordering};

use super::*;

pub fn play(case: &str, root: &Path, folder: &Path, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let log = folder.join("balancer.log");
    record.note(format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let broken = match case {
        "memory-limit" => memory_limit(root, &log, &record, trouble),
        "slow-writers" => slow_writers(root, &log, &record, trouble),
        "departed" => departed(root, &log, &record, trouble),
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
        record.note(format!("host {name} gets {} {key} {id} {}", text(&words[0]), text(&words[3])));
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
    const READERS: usize = 40;
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
    // Usual traffic: some 300 reads a second, one at a time on each connection.
    let mut usual = Vec::new();
    for number in 0..38 {
        let Some(mut stream) = connect(record) else { continue };
        let ended = ended.clone();
        usual.push(spawn(move || {
            let mut reading = BufReader::new(stream.try_clone().unwrap());
            for at in 0.. {
                let id = format!("u{number}-{at}");
                if ended.load(Ordering::Relaxed)
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
    let readers: Vec<JoinHandle<usize>> = (0..READERS)
        .filter_map(|number| {
            let mut stream = connect(record)?;
            let record = record.clone();
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
    let balancer = Balancer::start(root, 48, 384, &settings(), &list, discovery(list.clone()), log);
    sleep(ms(500));
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
    let others: Vec<JoinHandle<bool>> = (0..OTHERS)
        .map(|number| {
            sleep(ms(30));
            let (mut stream, record) = (balancer.connect(), record.clone());
            spawn(move || {
                let id = format!("other-{number}");
                let facts = format!("c=top-up,d={WAIT_MS},k=ko{number}");
                let bytes = set(&format!("o{number}"), &id, &facts, &vec![b'o'; VALUE]);
                if let Err(cause) = stream.write_all(&bytes) {
                    record.note(format!("client {id} can't write: {cause}"));
                    return false;
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
                lost
            })
        })
        .collect();
    let lost = others.into_iter().map(|client| client.join().unwrap_or(false)).filter(|lost| *lost).count();
    long_writers.into_iter().for_each(|client| drop(client.join()));
    drop(balancer);
    lost
}

/// Clients that send much at once and go. Judged: no attempt begins for a client over 0.1 s after
/// it closed its connection.
fn departed(root: &Path, log: &Path, record: &Arc<Record>, trouble: bool) -> usize {
    const CLIENTS: usize = 10;
    const READS: usize = 32;
    const WRITES: usize = 6;
    const VALUE: usize = 60 << 10;
    let begun: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let hosts: Vec<SocketAddr> = (0..12)
        .map(|at| {
            let (record, begun) = (record.clone(), begun.clone());
            cache_host(move |words, first_byte_at| {
                let (key, id) = (text(&words[1]), text(&words[2]));
                begun.lock().unwrap().push((id.clone(), first_byte_at));
                record.note(format!("host s-{at} gets {} {key} {id}", text(&words[0])));
                // The first read of a client takes 200 ms, the others 500 ms.
                let takes = if id.ends_with("-00") { 200 } else { 500 };
                Reply::Bytes(ms(takes), resp_answer(Some(&value_for(&key, &id))))
            })
        })
        .collect();
    let origin = {
        let (record, begun) = (record.clone(), begun.clone());
        origin(move |request| {
            let id = request.headers.get("x-correlation-id").cloned().unwrap_or_default();
            begun.lock().unwrap().push((id.clone(), request.first_byte_at));
            if !id.starts_with('n') {
                let length = request.body.len();
                record.note(format!("origin runs {} {} {id}, {length} bytes", request.method, request.path));
            }
            Reply::Bytes(ms(20), http_ok(format!("receipt of {id}").as_bytes()))
        })
    };
    let list = instances(&hosts, origin);
    let balancer = Balancer::start(root, 96, 512, &settings(), &list, discovery(list.clone()), log);
    sleep(ms(500));
    let ended = Arc::new(AtomicBool::new(false));
    // Usual clients, whose short writes keep connections to the origin in use.
    for number in 0..4 {
        let (mut stream, ended) = (balancer.connect(), ended.clone());
        spawn(move || {
            let mut reading = BufReader::new(stream.try_clone().unwrap());
            for at in 0.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("n{number}-{at}");
                let _ = stream.write_all(&set(&id, &id, &format!("c=top-up,d=3000,k=k{id}"), b"amount"));
                read_answer(&mut reading);
                sleep(ms(150));
            }
        });
    }
    let mut closed: BTreeMap<String, Instant> = BTreeMap::new();
    for number in 0..CLIENTS {
        sleep(ms(1_000));
        let mut stream = balancer.connect();
        let mut bytes = Vec::new();
        for at in 0..READS {
            let (key, id) = (format!("k{number}-{at}"), format!("c{number}-{at:02}"));
            bytes.extend(get(&key, &id, "c=balance-read,d=1500"));
        }
        for at in READS..READS + WRITES {
            let (key, id) = (format!("k{number}-{at}"), format!("c{number}-{at:02}"));
            bytes.extend(set(&key, &id, &format!("c=top-up,d=3000,k=k{id}"), &vec![b'v'; VALUE]));
        }
        if let Err(cause) = stream.write_all(&bytes) {
            record.note(format!("client c{number} can't write: {cause}"));
            continue;
        }
        record.note(format!(
            "client c{number} has sent {READS} reads and {WRITES} writes, {} bytes",
            bytes.len()
        ));
        if trouble {
            drop(stream);
            closed.insert(format!("c{number}"), Instant::now());
            record.note(format!("client c{number} has closed its connection"));
            continue;
        }
        let record = record.clone();
        spawn(move || {
            let mut reading = BufReader::new(stream);
            for at in 0..READS + WRITES {
                let answer = read_answer(&mut reading);
                record.note(format!("client c{number} gets for c{number}-{at:02} {}", answer.short()));
            }
        });
    }
    sleep(ms(4_000));
    ended.store(true, Ordering::Relaxed);
    drop(balancer);
    let mut broken = 0;
    for (id, at) in begun.lock().unwrap().iter() {
        let client = id.split('-').next().unwrap_or("");
        let Some(closed_at) = closed.get(client) else { continue };
        let after = at.saturating_duration_since(*closed_at);
        if after > ms(100) {
            broken += 1;
            record.note(format!(
                "the attempt of {id} began {} ms after its client closed: LOST",
                after.as_millis()
            ));
        }
    }
    broken
}

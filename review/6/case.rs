//! A balancer that is held up for less than 0.15 s at times, while the origin answers in chunks.
//! Checks that each request gets a whole answer up to half a second after its time, with its own value.

#[path = "../standins-2.rs"]
mod standins;

use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

const CLIENTS: usize = 8;
const RUN: Duration = Duration::from_secs(20);
/// How long the balancer is held up each time, and the time between two of these.
const STOP_MS: u64 = 120;
const GO_MS: u64 = 480;
/// The length of each value: within 64 KiB.
const VALUE: usize = 48_000;
/// What the origin needs. It lies between the times at which the balancer looks at a silent connection by itself (70 and
/// 150 ms after the request), so that the fault does not show without the disruption.
const WORK_MS: u64 = 110;
/// How long a client waits for its answer.
const TIME_MS: u64 = 1_500;
/// Half a second after its time a request is lost, and each time limit is 50 ms longer on sockets.
const GRACE_MS: u64 = 550;

fn value_of(id: &str) -> Vec<u8> {
    format!("{id};").bytes().cycle().take(VALUE).collect()
}

/// An answer in chunks (RFC 9112, section 7.1).
fn chunked(body: &[u8]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(8_000) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
    wrong: AtomicU64,
}

fn main() {
    let world = World::new();
    let record = world.record.clone();
    let lacks: Arc<Handler> = Arc::new(|_: &Request| vec![Step::Wait(5), Step::Write(miss())]);
    let mut entries: Vec<String> = (0..4)
        .map(|number| entry(&format!("s-{number}"), cache_host(&record, lacks.clone()), "std-2c", "active"))
        .collect();
    let log = record.clone();
    let fetch: Arc<Handler> = Arc::new(move |request: &Request| {
        log.line(&format!("origin: answers {} with {VALUE} bytes in chunks", request.id));
        vec![Step::Wait(WORK_MS), Step::Write(chunked(&value_of(&request.id)))]
    });
    entries.push(entry("o-1", origin(&record, fetch), "origin", "active"));
    let discovery = Discovery::start(&record, "discovery", 41, entries.clone());
    let mut balancer = world.balancer(discovery.address, &whole_list(41, &entries), 64, 512, SETTINGS);

    let counts = Arc::new(Counts::default());
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, counts, ends, listen) = (record.clone(), counts.clone(), ends.clone(), balancer.listen);
            thread::spawn(move || client(number, listen, &record, &counts, &ends))
        })
        .collect();
    let began = Instant::now();
    while began.elapsed() < RUN {
        thread::sleep(Duration::from_millis(GO_MS));
        if world.trouble {
            let stopped = Instant::now();
            balancer.signal(SIGSTOP);
            thread::sleep(Duration::from_millis(STOP_MS));
            balancer.signal(SIGCONT);
            record.line(&format!("platform: balancer held up for {} ms", stopped.elapsed().as_millis()));
            if stopped.elapsed().as_millis() > 150 {
                // The machine was late: this is not within the pages' limit.
                drop(balancer);
                world.end(Verdict::CouldNotRun("the balancer was held up for over 0.15 s".to_owned()));
            }
        }
    }
    ends.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let ended = balancer.has_ended();
    drop(balancer);
    if ended {
        world.end(Verdict::Broken("the balancer crashed".to_owned()));
    }
    let [served, refused, lost, wrong] =
        [&counts.served, &counts.refused, &counts.lost, &counts.wrong].map(|count| count.load(Ordering::Relaxed));
    record.line(&format!("{served} served, {refused} refused or failed, {lost} without a whole answer, {wrong} with another value"));
    if lost + wrong > 0 {
        world.end(Verdict::Broken(format!(
            "{lost} requests had no whole answer {GRACE_MS} ms after their time, {wrong} were served another value"
        )));
    }
    if served == 0 {
        world.end(Verdict::CouldNotRun("nothing was served".to_owned()));
    }
    world.end(Verdict::Held);
}

fn client(number: usize, listen: SocketAddr, record: &Record, counts: &Counts, ends: &AtomicBool) {
    let mut connection = Client::connect(listen).expect("a connection");
    for nth in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{number:04x}{nth:08x}03aa");
        if connection.send(&get(&format!("account-{number}-{nth}"), &id, &format!("c=balance-read,d={TIME_MS}"))).is_err() {
            connection = Client::connect(listen).expect("a connection");
            continue;
        }
        let sent_at = Instant::now();
        let count = match connection.reply(Duration::from_millis(TIME_MS + GRACE_MS)) {
            Ok(Reply::Value(value)) if value == value_of(&id) => &counts.served,
            Ok(Reply::Value(value)) => {
                record.line(&format!("client: {id} SERVED ANOTHER VALUE of {} bytes", value.len()));
                &counts.wrong
            }
            Ok(Reply::Line(_)) => &counts.refused,
            Err(cause) => {
                let is_open = matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                record.line(&format!(
                    "client: {id} HAS NO WHOLE ANSWER after {} ms, connection open: {is_open}, {cause}",
                    sent_at.elapsed().as_millis()
                ));
                connection = Client::connect(listen).expect("a connection");
                &counts.lost
            }
        };
        count.fetch_add(1, Ordering::Relaxed);
        if std::ptr::eq(count, &counts.refused) {
            thread::sleep(Duration::from_millis(50));
        }
    }
    let _ = connection.stream.read(&mut [0; 1]);
}

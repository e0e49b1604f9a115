//! Clients that send many commands at once, on a balancer of the smallest size that the pages name.
//! Checks that every command gets an answer and that no connection ends before.

#[path = "../standins-2.rs"]
mod standins;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standins::*;

const CLIENTS: usize = 24;
const COMMANDS: usize = 300;
/// How often the clients come again, on new connections.
const ROUNDS: usize = 5;
/// What a cache host needs for a read.
const WORK_MS: u64 = 80;

fn main() {
    let world = World::new();
    let record = world.record.clone();
    let run = Arc::new(Mutex::new(HashSet::new()));
    let seen = run.clone();
    let handler: Arc<Handler> = Arc::new(move |request: &Request| {
        seen.lock().unwrap().insert(request.id.clone());
        vec![Step::Wait(WORK_MS), Step::Write(hit(request.key.as_bytes()))]
    });
    let hosts: Vec<String> = (0..6)
        .map(|number| entry(&format!("s-{number}"), cache_host(&record, handler.clone()), "std-2c", "active"))
        .collect();
    let discovery = Discovery::start(&record, "discovery", 41, hosts.clone());
    let mut balancer = world.balancer(discovery.address, &whole_list(41, &hosts), 32, 256, SETTINGS);

    let mut results: Vec<Outcome> = Vec::new();
    for round in 0..ROUNDS {
        record.line(&format!("round {round}"));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|nth| {
                let (record, listen, trouble) = (record.clone(), balancer.listen, world.trouble);
                thread::spawn(move || client(round * CLIENTS + nth, listen, &record, trouble))
            })
            .collect();
        results.extend(clients.into_iter().map(|client| client.join().expect("a client")));
        thread::sleep(Duration::from_millis(500));
    }
    let ended = balancer.has_ended();
    drop(balancer);
    if ended {
        world.end(Verdict::Broken("the balancer crashed".to_owned()));
    }
    let run = run.lock().unwrap();
    let unanswered: Vec<&String> = results.iter().flat_map(|result| &result.unanswered).collect();
    let late = results.iter().map(|result| result.late).sum::<usize>();
    let closed = results.iter().filter(|result| !result.unanswered.is_empty()).count();
    let run_unanswered = unanswered.iter().filter(|id| run.contains(**id)).count();
    record.line(&format!(
        "{} commands sent, {} unanswered on {closed} connections that the balancer ended; cache hosts ran {run_unanswered} of these; {late} timed out",
        results.iter().map(|result| result.sent).sum::<usize>(),
        unanswered.len(),
    ));
    // What a cache host ran was read by the balancer: it was lost with its connection.
    if run_unanswered > 0 {
        world.end(Verdict::Broken(format!(
            "{run_unanswered} requests that were read and run have no answer: their connections were closed"
        )));
    }
    if late > 0 {
        world.end(Verdict::CouldNotRun(format!("{late} answers did not come within 10 s")));
    }
    world.end(Verdict::Held);
}

struct Outcome {
    sent: usize,
    unanswered: Vec<String>,
    late: usize,
}

fn client(number: usize, listen: std::net::SocketAddr, record: &Record, trouble: bool) -> Outcome {
    let mut outcome = Outcome { sent: 0, unanswered: Vec::new(), late: 0 };
    let mut connection = Client::connect(listen).expect("a connection");
    let ids: Vec<String> = (0..COMMANDS).map(|nth| format!("{number:04x}{nth:04x}7d2c41aa")).collect();
    let key = |nth: usize| format!("account/{number}/{nth}/{}", "statement-".repeat(24));
    let bytes = |nth: usize| get(&key(nth), &ids[nth], "c=balance-read,d=1500");
    if !trouble {
        // One command at a time, of fewer: the same number would take minutes.
        for nth in 0..COMMANDS / 20 {
            outcome.sent += 1;
            connection.send(&bytes(nth)).expect("a write");
            match connection.reply(Duration::from_secs(10)) {
                Ok(reply) => record.line(&format!("client {number}: {} answered {}", ids[nth], reply.short())),
                Err(cause) => {
                    record.line(&format!("client {number}: {} unanswered: {cause}", ids[nth]));
                    outcome.unanswered.push(ids[nth].clone());
                    break;
                }
            }
        }
        return outcome;
    }
    let all: Vec<u8> = (0..COMMANDS).flat_map(|nth| bytes(nth)).collect();
    record.line(&format!("client {number}: sends {COMMANDS} commands at once, {} bytes", all.len()));
    outcome.sent = COMMANDS;
    let mut writer = connection.stream.try_clone().expect("a copy");
    let sender = thread::spawn(move || std::io::Write::write_all(&mut writer, &all).is_ok());
    for (nth, id) in ids.iter().enumerate() {
        match connection.reply(Duration::from_secs(10)) {
            Ok(reply) => record.line(&format!("client {number}: {id} answered {}", reply.short())),
            Err(cause) if matches!(cause.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                record.line(&format!("client {number}: no answer to {id} within 10 s"));
                outcome.late += 1;
                break;
            }
            Err(cause) => {
                record.line(&format!("client {number}: connection ended with {id} and later ones unanswered: {cause}"));
                outcome.unanswered = ids[nth..].to_vec();
                break;
            }
        }
    }
    let _ = connection.stream.shutdown(std::net::Shutdown::Both);
    let _ = sender.join();
    outcome
}

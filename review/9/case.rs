//! Clients that send much at once and go. Checks that no attempt for them begins more than 0.1 s after they closed.

#[path = "../standins-2.rs"]
mod standins;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standins::*;

const CLIENTS: usize = 8;
/// Hundreds of commands at once.
const COMMANDS: usize = 400;
const KEY_BYTES: usize = 1_200;
/// What a cache host needs until it tells that it lacks a key.
const WORK_MS: u64 = 200;
/// 0.1 s by the rule, and the 50 ms by which each time limit is longer on sockets.
const MOST_AFTER_CLOSE_MS: f64 = 150.0;

fn main() {
    let world = World::new();
    let record = world.record.clone();
    let came: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let (log, seen) = (record.clone(), came.clone());
    let handler: Arc<Handler> = Arc::new(move |request: &Request| {
        log.line(&format!("host: begins {}", request.id));
        seen.lock().unwrap().push((request.id.clone(), request.came_at_ms));
        vec![Step::Wait(WORK_MS), Step::Write(miss())]
    });
    let (log, seen) = (record.clone(), came.clone());
    let fetch: Arc<Handler> = Arc::new(move |request: &Request| {
        log.line(&format!("origin: begins {}", request.id));
        seen.lock().unwrap().push((request.id.clone(), request.came_at_ms));
        vec![Step::Wait(50), Step::Write(http_ok(b"balance=7"))]
    });
    let mut hosts: Vec<String> = (0..8)
        .map(|number| entry(&format!("s-{number}"), cache_host(&record, handler.clone()), "std-2c", "active"))
        .collect();
    hosts.push(entry("o-1", origin(&record, fetch), "origin", "active"));
    let discovery = Discovery::start(&record, "discovery", 41, hosts.clone());
    let mut balancer = world.balancer(discovery.address, &whole_list(41, &hosts), 64, 512, SETTINGS);

    let mut closed_at: HashMap<String, f64> = HashMap::new();
    for number in 0..CLIENTS {
        let name = format!("{number:04x}");
        let count = if world.trouble { COMMANDS } else { 4 };
        let mut client = Client::connect(balancer.listen).expect("a connection");
        let mut all = Vec::new();
        for nth in 0..count {
            let key = format!("account/{number}/{nth}/{}", "x".repeat(KEY_BYTES));
            all.extend(get(&key, &format!("{name}{nth:04x}7d2c41aa"), "c=balance-read,d=1500"));
        }
        let bytes = all.len();
        client.send(&all).expect("a write");
        if !world.trouble {
            for _ in 0..count {
                client.reply(Duration::from_secs(5)).expect("an answer");
            }
        }
        drop(client);
        closed_at.insert(name.clone(), record.now_ms());
        record.line(&format!("client {name}: sent {count} commands ({bytes} bytes) at once and has closed"));
        thread::sleep(Duration::from_millis(1_500));
    }
    let ended = balancer.has_ended();
    drop(balancer);
    if ended {
        world.end(Verdict::Broken("the balancer crashed".to_owned()));
    }
    let came = came.lock().unwrap();
    let after = |id: &str, at: f64| at - closed_at[&id[..4]];
    let late: Vec<f64> = came.iter().map(|(id, at)| after(id, *at)).filter(|after| *after > MOST_AFTER_CLOSE_MS).collect();
    for (id, at) in came.iter().filter(|(id, at)| after(id, *at) > MOST_AFTER_CLOSE_MS) {
        record.line(&format!("{id} began {:.0} ms after its client had closed", after(id, *at)));
    }
    record.line(&format!("{} attempts, {} of them begun over {MOST_AFTER_CLOSE_MS} ms after the close", came.len(), late.len()));
    if !late.is_empty() {
        let latest = late.iter().copied().fold(0.0, f64::max);
        world.end(Verdict::Broken(format!(
            "{} attempts began up to {latest:.0} ms after their clients had closed",
            late.len()
        )));
    }
    if came.is_empty() {
        world.end(Verdict::CouldNotRun("no attempt was made".to_owned()));
    }
    world.end(Verdict::Held);
}

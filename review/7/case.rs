//! A cache host states a wrong length for a long value: it goes on behind the stated end.
//! Checks that no client is served, in an answer that looks whole, with anything but the value that was made for its request.

#[path = "../standins-2.rs"]
mod standins;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use standins::*;

/// The length of each value: over 64 KiB.
const VALUE: usize = 80_000;
/// Of the spoilt answers, the length that they state.
const STATED: usize = 70_000;
const REQUESTS: usize = 60;
/// One answer in so many is spoilt.
const SPOILT: usize = 6;

fn value_of(key: &str) -> Vec<u8> {
    format!("{key};").bytes().cycle().take(VALUE).collect()
}

fn main() {
    let world = World::new();
    let record = world.record.clone();
    let answers = Arc::new(AtomicUsize::new(0));
    let (log, trouble) = (record.clone(), world.trouble);
    let handler: Arc<Handler> = Arc::new(move |request: &Request| {
        let nth = answers.fetch_add(1, Ordering::Relaxed);
        let mut answer = hit(&value_of(&request.key));
        let is_spoilt = trouble && nth % SPOILT == SPOILT - 1;
        if is_spoilt {
            // The head says less than what follows.
            let head = format!("*3\r\n${VALUE}\r\n").len();
            answer.splice(..head, format!("*3\r\n${STATED}\r\n").into_bytes());
        }
        log.line(&format!("host: answers {} with {VALUE} bytes, spoilt: {is_spoilt}", request.id));
        vec![Step::Wait(20), Step::Write(answer)]
    });
    let hosts: Vec<String> = (0..4)
        .map(|number| entry(&format!("s-{number}"), cache_host(&record, handler.clone()), "std-2c", "active"))
        .collect();
    let discovery = Discovery::start(&record, "discovery", 41, hosts.clone());
    let mut balancer = world.balancer(discovery.address, &whole_list(41, &hosts), 64, 512, SETTINGS);

    let (mut wrong, mut right, mut other) = (0, 0, 0);
    let mut client = Client::connect(balancer.listen).expect("a connection");
    for nth in 0..REQUESTS {
        let (key, id) = (format!("account-{nth}"), format!("{nth:08x}9b1f03aa"));
        if client.send(&get(&key, &id, "c=balance-read,d=1500")).is_err() {
            client = Client::connect(balancer.listen).expect("a connection");
            client.send(&get(&key, &id, "c=balance-read,d=1500")).expect("a write");
        }
        match client.reply(Duration::from_secs(8)) {
            Ok(Reply::Value(value)) if value == value_of(&key) => {
                right += 1;
                record.line(&format!("client: {id} served with its value"));
            }
            Ok(Reply::Value(value)) => {
                wrong += 1;
                record.line(&format!("client: {id} SERVED WITH {} BYTES, its value has {VALUE}", value.len()));
            }
            Ok(reply) => {
                other += 1;
                record.line(&format!("client: {id} answered {}", reply.short()));
            }
            Err(cause) => {
                // The client can tell that the answer is not whole: it has failed, and is not lost.
                other += 1;
                record.line(&format!("client: {id} got no whole answer: {cause}"));
                client = Client::connect(balancer.listen).expect("a connection");
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let ended = balancer.has_ended();
    drop(balancer);
    if ended {
        world.end(Verdict::Broken("the balancer crashed".to_owned()));
    }
    record.line(&format!("{REQUESTS} requests: {right} served with their value, {wrong} with another one, {other} failed"));
    if wrong > 0 {
        world.end(Verdict::Broken(format!("{wrong} clients were served with what was not made for their request")));
    }
    if right == 0 {
        world.end(Verdict::CouldNotRun("nothing was served".to_owned()));
    }
    world.end(Verdict::Held);
}

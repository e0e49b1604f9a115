//! Clients that send at a fixed rate, whether or not earlier requests have been answered.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::Client;

/// The number of connections that the requests are spread over.
const CONNECTIONS: u32 = 12;

/// A load of read requests, each for a different key.
#[derive(Clone, Copy)]
pub struct RequestLoad {
    pub per_second: u32,
    /// The clients' timeout for each request.
    pub wait: Duration,
    /// How long the load lasts.
    pub span: Duration,
}

/// The numbers of requests by how they ended.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    pub sent: u32,
    pub served: u32,
    /// Answered `-BUSY`: a retry is harmless.
    pub rejected: u32,
    pub failed: u32,
    pub unanswered: u32,
    /// The longest time to a final answer.
    pub slowest: Duration,
}

impl Outcomes {
    fn add(&mut self, answer: &str, took: Duration) {
        self.sent += 1;
        self.slowest = self.slowest.max(took);
        match answer {
            "v" => self.served += 1,
            "closed" => self.unanswered += 1,
            _ if answer.starts_with("-BUSY") => self.rejected += 1,
            _ => self.failed += 1,
        }
    }
}

impl RequestLoad {
    /// Sends all requests. A late answer delays the next request on the same connection.
    pub fn run(self, address: &str) -> Outcomes {
        let outcomes = Mutex::new(Outcomes::default());
        let started_at = Instant::now();
        thread::scope(|scope| {
            for connection in 0..CONNECTIONS {
                let outcomes = &outcomes;
                scope.spawn(move || self.run_connection(connection, address, started_at, outcomes));
            }
        });
        outcomes.into_inner().expect("a lock")
    }

    fn run_connection(self, connection: u32, address: &str, started_at: Instant, outcomes: &Mutex<Outcomes>) {
        let mut client = Client::at(address);
        let facts = format!("c=read,d={}", self.wait.as_millis());
        let total = (self.span.as_secs_f64() * f64::from(self.per_second)) as u32;
        for nth in (connection..total).step_by(CONNECTIONS as usize) {
            let due = started_at + Duration::from_secs(1) * nth / self.per_second;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let sent = Instant::now();
            let answer = client.command(&["CACHE.GET", &format!("key{nth}"), &format!("id{nth}"), &facts]);
            outcomes.lock().expect("a lock").add(&answer, sent.elapsed());
        }
    }
}

//! A client that sends some commands at once and reads their replies, and what these replies must be.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::audit::{Audit, End};
use crate::common::read_line;
use crate::plan::{Plan, Spoil};

/// How many commands are sent at once, at the most.
const MAX_BATCH: usize = 6;
/// How long each request may take, in milliseconds.
const WAIT_MS: u64 = 1_900;
/// Longer than any reply takes that comes at all.
const READ_TIMEOUT: Duration = Duration::from_secs(12);

struct Command {
    id: String,
    plan: Plan,
    is_write: bool,
}

impl Command {
    fn draw(random: &mut ChaCha8Rng, client: u64, number: u64) -> Command {
        let plan = Plan::draw(random, (client << 32) + number);
        Command { id: format!("id-{client}-{number}"), plan, is_write: random.random_bool(0.3) }
    }

    fn text(&self, class: &str) -> String {
        let facts = format!("c={class},d={WAIT_MS}");
        let key = self.plan.key();
        let mut words = vec!["CACHE.GET", &key, &self.id, &facts];
        if self.is_write {
            words[0] = "CACHE.SET";
            words.push("amount=5");
        }
        let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
        format!("*{}\r\n{words}", if self.is_write { 5 } else { 4 })
    }
}

/// The reply to a command.
enum Reply {
    Value(Vec<u8>),
    Line(String),
}

/// Why no whole reply came.
enum Missing {
    /// The connection ended; whether some of the reply had come.
    Ended { some_came: bool },
    /// Nothing came for [`READ_TIMEOUT`].
    TimedOut,
}

fn read_reply(reading: &mut BufReader<TcpStream>) -> Result<Reply, Missing> {
    let missing = |some_came: bool| {
        move |cause: io::Error| match cause.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Missing::TimedOut,
            _ => Missing::Ended { some_came },
        }
    };
    if reading.fill_buf().map_err(missing(false))?.is_empty() {
        return Err(Missing::Ended { some_came: false });
    }
    let head = read_line(reading).map_err(missing(true))?;
    let Some(length) = head.strip_prefix('$') else { return Ok(Reply::Line(head)) };
    let length: usize = length.parse().expect("a length");
    let mut value = vec![0; length + 2];
    reading.read_exact(&mut value).map_err(missing(true))?;
    value.truncate(length);
    Ok(Reply::Value(value))
}

/// Sends batches of commands until the time is over.
pub fn play(seed: u64, client: u64, address: &str, audit: &Audit, until: Instant) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1_000 + client);
    let mut number = 0;
    let mut connection = None;
    while Instant::now() < until {
        let commands: Vec<Command> = (0..random.random_range(1..=MAX_BATCH))
            .map(|_| {
                number += 1;
                Command::draw(&mut random, client, number)
            })
            .collect();
        let class = if random.random_bool(0.7) { "read" } else { "once" };
        let text: String = commands
            .iter()
            .map(|command| command.text(if command.is_write { "once" } else { class }))
            .collect();
        let mut reading = connection.take().unwrap_or_else(|| connect(address));
        // A connection that was closed between two batches took nothing of this one.
        if reading.get_mut().write_all(text.as_bytes()).is_ok()
            && check_replies(&mut reading, &commands, audit)
        {
            connection = Some(reading);
        }
    }
}

fn connect(address: &str) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("the balancer accepts");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a time-out");
    BufReader::new(stream)
}

/// Reads and checks the replies to the commands; returns whether the connection goes on.
fn check_replies(reading: &mut BufReader<TcpStream>, commands: &[Command], audit: &Audit) -> bool {
    for (position, command) in commands.iter().enumerate() {
        match read_reply(reading) {
            Ok(reply) => check_reply(command, &reply, audit),
            Err(Missing::TimedOut) => {
                audit.extend([format!("{}: {:?} has neither answer nor close", command.id, command.plan)]);
                return false;
            }
            Err(Missing::Ended { some_came }) => {
                // Of the request whose value breaks off the client knows that it has failed.
                let unanswered = &commands[position + usize::from(some_came)..];
                let ran = unanswered.iter().filter(|command| audit.has_run(&command.id));
                audit.extend(
                    ran.map(|command| format!("{}: {:?} ran, with no answer", command.id, command.plan)),
                );
                audit.ended(End::CutOff);
                return false;
            }
        }
    }
    true
}

fn check_reply(command: &Command, reply: &Reply, audit: &Audit) {
    let Command { id, plan, is_write } = command;
    let value = match reply {
        Reply::Line(line) if line.starts_with("-BUSY") => return audit.ended(End::Rejected),
        Reply::Line(_) => return audit.ended(End::Failed),
        Reply::Value(value) => value,
    };
    audit.ended(End::Served);
    let expected = if *is_write { b"receipt".to_vec() } else { plan.value() };
    if *value != expected {
        audit.extend([format!("{id}: {plan:?} served with {} of {} bytes", value.len(), expected.len())]);
    }
    let is_spoilt =
        matches!(plan.spoil, Spoil::Closed | Spoil::Reset | Spoil::Shorter | Spoil::Longer | Spoil::Noise);
    if is_spoilt && !is_write {
        audit.extend([format!("{id}: {plan:?} is spoilt wherever it is read, and was served")]);
    }
}

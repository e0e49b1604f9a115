//! A cache host that answers by a script: bytes after pauses, and then perhaps the end of the connection.

use std::io::{BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use socket2::SockRef;

use crate::common::read_command;

/// How a host ends its connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    StaysOpen,
    Closes,
    Resets,
}

/// What a host sends as an answer.
#[derive(Clone)]
pub struct Answer {
    /// The key that is answered so.
    pub key: &'static str,
    /// Parts, each after a pause.
    parts: Vec<(Duration, Vec<u8>)>,
    ending: Ending,
}

impl Answer {
    /// An answer of these bytes.
    pub fn of(key: &'static str, bytes: Vec<u8>) -> Answer {
        Answer { key, parts: vec![(Duration::ZERO, bytes)], ending: Ending::StaysOpen }
    }

    /// An answer whose head states a length.
    pub fn stating(key: &'static str, stated: usize, rest: &[u8]) -> Answer {
        Answer::of(key, [format!("*3\r\n${stated}\r\n").as_bytes(), rest].concat())
    }

    /// The answer after a pause.
    pub fn after(mut self, pause: Duration) -> Answer {
        self.parts[0].0 = pause;
        self
    }

    /// The answer with bytes that follow after a pause.
    pub fn then(mut self, pause: Duration, bytes: &[u8]) -> Answer {
        self.parts.push((pause, bytes.to_vec()));
        self
    }

    /// The answer with the end of the connection after a pause.
    pub fn ending(self, pause: Duration, ending: Ending) -> Answer {
        Answer { ending, ..self.then(pause, b"") }
    }
}

/// Starts a host that gives the answer for the request's key. Returns the keys in the order of their requests.
pub fn scripted_host(answers: &[Answer]) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answers: Arc<[Answer]> = answers.into();
    let (sender, keys) = channel();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answers, sender) = (answers.clone(), sender.clone());
            spawn(move || serve(&stream, &answers, &sender));
        }
    });
    (address, keys)
}

fn serve(mut stream: &TcpStream, answers: &[Answer], keys: &Sender<String>) {
    let mut reading = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Ok(command) = read_command(&mut reading) {
        let key = command.split(' ').nth(1).expect("a key").to_owned();
        let answer = answers.iter().find(|answer| answer.key == key).expect("an answer for the key");
        let _ = keys.send(key);
        for (pause, bytes) in &answer.parts {
            sleep(*pause);
            if stream.write_all(bytes).is_err() {
                return;
            }
        }
        if answer.ending != Ending::StaysOpen {
            return end(stream, answer.ending);
        }
    }
}

/// Ends a connection, of which another handle is open.
fn end(stream: &TcpStream, ending: Ending) {
    let socket = SockRef::from(stream);
    match ending {
        Ending::StaysOpen => {}
        Ending::Closes => {
            let _ = socket.shutdown(Shutdown::Both);
        }
        Ending::Resets => {
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

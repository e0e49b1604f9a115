//! Cache hosts and the origin, which do what the key of a request says.

use std::fmt::Write as _;
use std::io::{self, BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::audit::Audit;
use crate::common::{read_bulk, read_line};
use crate::plan::{Plan, Spoil};

const TRAILER: &[u8] = b"\r\n$3\r\nhit\r\n$-1\r\n";
const MISS: &[u8] = b"*3\r\n$-1\r\n$-1\r\n$-1\r\n";
/// By how much a wrong length is wrong.
const WRONG_BY: usize = 3;

type Serve = fn(&mut BufReader<TcpStream>, &TcpStream, &Audit) -> io::Result<()>;

fn listen(audit: &Arc<Audit>, serve: Serve) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let audit = audit.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let audit = audit.clone();
            thread::spawn(move || {
                let mut reading = BufReader::new(stream.try_clone().expect("a second handle"));
                while serve(&mut reading, &stream, &audit).is_ok() {}
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

/// Starts a cache host.
pub fn cache_host(audit: &Arc<Audit>) -> SocketAddr {
    listen(audit, serve_command)
}

/// Starts an origin.
pub fn origin(audit: &Arc<Audit>) -> SocketAddr {
    listen(audit, serve_http)
}

fn pause(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

fn serve_command(
    reading: &mut BufReader<TcpStream>,
    mut stream: &TcpStream,
    audit: &Audit,
) -> io::Result<()> {
    let count: usize = read_line(reading)?[1..].parse().expect("an array");
    let words: Vec<String> = (0..count).map(|_| read_bulk(reading)).collect::<io::Result<_>>()?;
    let plan = Plan::of_key(&words[1]);
    audit.ran(&words[2]);
    pause(plan.pause_ms);
    let value = plan.value();
    let stated = match plan.spoil {
        Spoil::Miss | Spoil::MissThenChunks => return stream.write_all(MISS),
        Spoil::Shorter => value.len() - WRONG_BY,
        Spoil::Longer => value.len() + WRONG_BY,
        _ => value.len(),
    };
    let half = value.len() / 2;
    stream.write_all(&[format!("*3\r\n${stated}\r\n").as_bytes(), &value[..half]].concat())?;
    pause(plan.middle_pause_ms);
    match plan.spoil {
        Spoil::Closed => Err(io::ErrorKind::ConnectionAborted.into()),
        Spoil::Reset => {
            socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
            Err(io::ErrorKind::ConnectionReset.into())
        }
        Spoil::Noise => stream.write_all(&[&value[half..], b"#!noise\r\n"].concat()),
        _ => stream.write_all(&[&value[half..], TRAILER].concat()),
    }
}

fn serve_http(reading: &mut BufReader<TcpStream>, mut stream: &TcpStream, audit: &Audit) -> io::Result<()> {
    let request = read_line(reading)?;
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let line = read_line(reading)?;
        if let Some(value) = line.strip_prefix("X-Correlation-Id: ") {
            id = value.to_owned();
        } else if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.parse().expect("a length");
        } else if line.is_empty() {
            break;
        }
    }
    reading.by_ref().take(length as u64).read_to_end(&mut Vec::new())?;
    audit.ran(&id);
    let key = request.split([' ', '/']).find(|word| word.contains('-')).expect("a key");
    let plan = Plan::of_key(key);
    pause(plan.pause_ms);
    let body = if request.starts_with("PUT") { b"receipt".to_vec() } else { plan.value() };
    let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
    if plan.spoil == Spoil::MissThenChunks && request.starts_with("GET") {
        let _ = write!(head, "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", body.len());
        return stream.write_all(&[head.as_bytes(), &body, b"\r\n0\r\n\r\n"].concat());
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), &body].concat())
}

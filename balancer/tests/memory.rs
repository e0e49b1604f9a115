//! The memory limit, and the figures that show what is held.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use std::io::Write as _;
use std::net::SocketAddr;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use common::*;
use socket2::{Domain, Socket, Type};
use stand_ins::origin_that_reports_waits;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const VALUE: usize = 64_000;
const LONG_VALUE: usize = 4 * 1024 * 1024;
/// Responses to requests that are sent at once come at once.
const HOST_DELAY: Duration = Duration::from_millis(50);
/// The response to a key that begins with `slow` comes after those to requests sent later.
const SLOW_HOST_DELAY: Duration = Duration::from_millis(300);
/// How long clients take until they read.
const SLOWNESS: Duration = Duration::from_secs(2);

fn program(hosts: &[Peer], limits: [u32; 2]) -> Program {
    let entry = |(number, host): (usize, &Peer)| entry(&format!("h{number}"), host.address, "active");
    let known: Vec<String> = hosts.iter().enumerate().map(entry).collect();
    Program::managed(BINARY, &known, limits)
}

/// A client whose system takes little that it has not read.
fn client_with_small_buffer(program: &Program) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a buffer size");
    let address: SocketAddr = program.address.parse().expect("an address");
    socket.connect(&address.into()).expect("the program accepts connections");
    Client::over(socket.into())
}

/// A write of a value of which all but the last bytes are sent.
fn begin_long_write(program: &Program, number: usize) -> Client {
    let mut client = program.client();
    client.begin_write(&format!("w{number}"), "c=put,d=1900,k=w1", LONG_VALUE);
    client.raw(&vec![b'w'; LONG_VALUE - 10]);
    client
}

/// A host with values of 64,000 bytes, and of 4 MiB for keys that begin with `long`.
fn host() -> Peer {
    let (value, long) = ("v".repeat(VALUE), "l".repeat(LONG_VALUE));
    Peer::host(move |request| {
        sleep(if request.contains(" slow") { SLOW_HOST_DELAY } else { HOST_DELAY });
        if request.contains(" long") {
            hit(&long)
        } else {
            hit(&value)
        }
    })
}

fn pipelined_reads(client: &mut Client, number: usize, reads: usize) {
    for nth in 0..reads {
        client.get(&format!("k{number}-{nth}"), &format!("id{number}-{nth}"), "c=read,d=1900");
    }
}

/// Guards against answers that are held without being granted: clients that took seconds to read
/// took the balancer over its memory limit, since each response was buffered, copied and encoded
/// before anything asked for room.
#[test]
fn clients_slow_to_read_many_answers_do_not_exceed_the_memory_limit() {
    const READERS: usize = 30;
    const READS: usize = 8;
    // Enough for all reads at once: each takes a few while it is new.
    let hosts: Vec<Peer> = (0..40).map(|_| host()).collect();
    let program = program(&hosts, [32, 384]);

    let _writers: Vec<Client> = (0..2).map(|number| begin_long_write(&program, number)).collect();
    let mut long_readers: Vec<Client> = (0..24).map(|_| client_with_small_buffer(&program)).collect();
    for (number, client) in long_readers.iter_mut().enumerate() {
        client.get(&format!("long{number}"), &format!("long{number}"), "c=read,d=1900");
    }
    sleep(SLOWNESS / 4);
    let mut readers: Vec<Client> = (0..READERS).map(|_| client_with_small_buffer(&program)).collect();
    for (number, client) in readers.iter_mut().enumerate() {
        pipelined_reads(client, number, READS);
    }
    sleep(SLOWNESS);

    // Every request has an answer.
    let mut values = 0;
    for client in &mut readers {
        for _ in 0..READS {
            let answer = client.answer();
            assert_ne!(answer, "closed");
            values += usize::from(answer.len() == VALUE);
        }
    }
    assert!(values > 0, "no value was served");
    assert!(program.memory() < 32, "{} MB of memory in use", program.memory());
}

/// Guards against answers that wait for the ones before them and hold the memory that these need.
#[test]
fn answers_that_wait_for_others_leave_memory_to_them() {
    let hosts: Vec<Peer> = (0..4).map(|_| host()).collect();
    let program = program(&hosts, [8, 192]);
    let mut unread: Vec<Client> = (0..4).map(|_| client_with_small_buffer(&program)).collect();
    for (number, client) in unread.iter_mut().enumerate() {
        pipelined_reads(client, number, 8);
    }
    sleep(Duration::from_millis(500));

    let answer = program.client().command(&["CACHE.GET", "k", "other", "c=read,d=1900"]);
    assert_eq!(answer.len(), VALUE, "{answer:.60}");
}

/// Guards against the same with the pool of answers full: responses stay in the system's buffers
/// until their memory is granted.
#[test]
fn responses_are_not_read_before_their_memory_is_granted() {
    const LIMIT_MB: u32 = 16;
    let hosts: Vec<Peer> = (0..40).map(|_| host()).collect();
    let program = program(&hosts, [LIMIT_MB, 384]);
    // Their answers are 15.4 MB, beside the program itself.
    let mut readers: Vec<Client> = (0..30).map(|_| client_with_small_buffer(&program)).collect();
    for (number, client) in readers.iter_mut().enumerate() {
        pipelined_reads(client, number, 8);
    }

    let began = Instant::now();
    let mut peak_kb = 0;
    while began.elapsed() < SLOWNESS / 2 {
        peak_kb = peak_kb.max(program.anonymous_kb());
        sleep(Duration::from_millis(2));
    }
    assert!(peak_kb < LIMIT_MB * 1024, "{peak_kb} kB of anonymous memory in use");
    assert!(peak_kb > 2 * 1024, "the reads were not played: {peak_kb} kB");
}

/// Guards against a client's answers that wait for each other: the first one comes last, and the
/// memory that it needs is held by those that have to be written after it.
#[test]
fn first_answer_finds_memory_although_later_ones_came_before() {
    let hosts: Vec<Peer> = (0..8).map(|_| host()).collect();
    let program = program(&hosts, [8, 192]);
    let mut clients: Vec<Client> = (0..4).map(|_| program.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.get(&format!("slow{number}"), &format!("first{number}"), "c=read,d=1900");
        pipelined_reads(client, number, 9);
    }
    for client in &mut clients {
        let answer = client.answer();
        assert_eq!(answer.len(), VALUE, "{answer:.60}");
    }
}

#[test]
fn metrics_show_the_memory_held_by_purpose() {
    let program = program(&[host()], [48, 192]);
    let figure = |name: &str| {
        let (_, page) = program.call("GET /_vars HTTP/1.1\r\n\r\n");
        let line = page.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_else(|| panic!("{page}"));
        line.trim().parse::<usize>().expect("a number")
    };
    assert_eq!(figure("edge_proxy_memory_held_bytes{purpose=\"request_values\"}"), 0);

    let mut writer = program.client();
    writer.begin_write("id1", "c=put,d=1900", 300_000);
    writer.raw(&[b'v'; 200_000]);
    while figure("edge_proxy_memory_held_bytes{purpose=\"request_values\"}") < 200_000 {
        sleep(Duration::from_millis(5));
    }
    let sum = figure("edge_proxy_memory_held_sum_bytes");
    assert!(sum > 200_000 + figure("edge_proxy_memory_held_bytes{purpose=\"process\"}"), "{sum}");
    assert!(figure("edge_proxy_memory_resident_bytes") > 0);
    assert_eq!(figure("edge_proxy_memory_limit_bytes"), 48 << 20);
    assert!(program.wait_for_counter("clients", 1).contains(" limit=50331648"));
}

/// Sends a whole write.
fn write(client: &mut Client, id: &str, facts: &str, length: usize) {
    client.begin_write(id, facts, length);
    client.raw(&vec![b'v'; length]);
    client.raw(b"\r\n");
}

fn origin_that_counts() -> Peer {
    Peer::http(|request| http_answer(200, &request.rsplit(" | ").next().unwrap_or("").len().to_string()))
}

/// Writers of values of 4 MiB that send a part and then nothing, until all memory that such values
/// may have is held.
fn stalled_writers(program: &Program) -> Vec<Client> {
    let writers = (0..6).map(|number| {
        let mut client = program.client();
        client.begin_write(&format!("s{number}"), "c=put,d=60000", LONG_VALUE);
        client.writing.set_nonblocking(true).expect("a socket option");
        let _ = (&client.writing).write(&vec![b's'; LONG_VALUE - 10]);
        sleep(Duration::from_millis(20));
        client.writing.set_nonblocking(false).expect("a socket option");
        client
    });
    writers.collect()
}

/// Guards against requests that wait for the memory of other clients' values past their own time:
/// values that are slow to come held all of it, and writes sent in one piece were answered seconds
/// late. Long ones and short ones are served beside them.
#[test]
fn writes_sent_at_once_are_served_beside_slow_writers() {
    const DEADLINE: Duration = Duration::from_millis(1_900);
    let (host, origin) = (Peer::host(|_| miss()), origin_that_counts());
    let known = [entry("a", host.address, "active"), entry("origin", origin.address, "active")];
    let program = Program::managed(BINARY, &known, [24, 192]);
    let _slow = stalled_writers(&program);

    for (number, length) in [70_000, 60_000, 5_000, 300, 120_000].into_iter().enumerate() {
        let mut client = program.client();
        let began = Instant::now();
        write(&mut client, &format!("id{number}"), "c=put,d=1900", length);
        assert_eq!(client.answer(), length.to_string());
        assert!(began.elapsed() < DEADLINE, "{length} bytes: answered after {:?}", began.elapsed());
    }
}

/// Guards against a wait for memory that has no end of its own: a value that finds none in its
/// client's time is rejected in that time, and the connection serves the next request.
#[test]
fn write_that_finds_no_memory_in_its_time_is_rejected_in_time() {
    const WAIT: Duration = Duration::from_millis(500);
    /// An answer later than this after its time counts as lost.
    const MAX_LATENESS: Duration = Duration::from_millis(500);
    let (host, origin) = (Peer::host(|_| miss()), origin_that_counts());
    let known = [entry("a", host.address, "active"), entry("origin", origin.address, "active")];
    let program = Program::managed(BINARY, &known, [24, 192]);
    let _slow = stalled_writers(&program);

    let mut client = program.client();
    let began = Instant::now();
    write(&mut client, "id1", "c=put,d=500", 3_000_000);
    assert!(client.answer().starts_with("-BUSY"));
    assert!(began.elapsed() < WAIT + MAX_LATENESS, "answered after {:?}", began.elapsed());

    assert_eq!(client.command(&["CACHE.SET", "k", "id2", "c=put,d=1900", "four"]), "4");
    let page = program.metrics("edge_proxy_shed{kind=\"put\"} 1");
    assert!(page.contains("ok{kind=\"put\"} 1"), "{page}");
    program.wait_for_counter("values_rejected", 1);
}

/// Guards against a deadline that begins only after the wait for memory: hosts were told that all of
/// the client's time is left.
#[test]
fn time_told_to_a_host_is_less_the_wait_for_memory() {
    const WAIT: Duration = Duration::from_millis(600);
    /// What the time told may exceed the time left by. Source: the operators' requirements.
    const SLACK_MS: u64 = 150;
    let host = Peer::host(|_| miss());
    let (origin, waits) = origin_that_reports_waits();
    let known = [entry("a", host.address, "active"), entry("origin", origin, "active")];
    let program = Program::managed(BINARY, &known, [24, 192]);
    let slow = stalled_writers(&program);

    let mut client = program.client();
    write(&mut client, "id1", "c=put,d=1000", 3_000_000);
    let written = Instant::now();
    sleep(WAIT);
    slow.into_iter().for_each(Client::disconnect);

    let told = waits.recv_timeout(TEST_TIMEOUT).expect("the write is served");
    let left = 1_000 - written.elapsed().as_millis() as u64;
    assert!(told <= left + SLACK_MS, "told {told} ms, {left} ms are left");
}

/// Guards against a time to wait that no request may state, and that overflowed the clock while the
/// value waited for memory: the connection's task panicked.
#[test]
fn write_with_an_impossible_time_that_waits_for_memory_gets_an_error() {
    let program = program(&[host()], [24, 192]);
    let _slow = stalled_writers(&program);
    let mut client = program.client();
    write(&mut client, "id1", "c=put,d=1e300", 3_000_000);

    let answer = client.answer();
    assert!(answer.starts_with("-BUSY") || answer.starts_with("-ERR no d"), "{answer}");
    assert!(program
        .metrics("edge_proxy_active 0")
        .contains("invariant_violations{name=\"task_panicked\"} 0"));
}

/// Guards against requests that are taken and not answered when the process ends: their values lie
/// whole in the system's buffers and wait for memory.
#[test]
fn write_that_waits_for_memory_is_rejected_when_the_process_ends() {
    const TRICKLED: usize = 100;
    let (host, origin) = (Peer::host(|_| miss()), origin_that_counts());
    let known = [entry("a", host.address, "active"), entry("origin", origin.address, "active")];
    let mut program = Program::managed(BINARY, &known, [16, 192]);
    // Holds its memory to the end: it is slow, but not silent.
    let mut holder = program.client();
    holder.begin_write("held", "c=put,d=1900", LONG_VALUE);
    holder.raw(&vec![b'h'; LONG_VALUE - TRICKLED]);
    program.wait_for_counter("request_values", (LONG_VALUE - TRICKLED) as u64);
    spawn(move || {
        for _ in 1..TRICKLED {
            sleep(Duration::from_millis(100));
            let _ = holder.writing.write_all(b"h");
        }
    });
    let mut client = program.client();
    write(&mut client, "id1", "c=put,d=60000", 3_000_000);

    program.signal("TERM");
    let answer = client.answer();
    assert!(answer.starts_with("-BUSY"), "{answer}");
    assert!(program.wait_for_exit().success());
    program.wait_for_log("values_rejected=1");
}

/// Guards against a connection being ended with requests owed because its buffer is full of commands that wait for
/// memory: it waits.
#[test]
fn clients_that_send_more_than_memory_holds_get_all_their_answers() {
    const CLIENTS: usize = 24;
    const READS: usize = 400;
    let hosts = [host_of_short_values()];
    let program = program(&hosts, [16, 256]);
    let padding = "x".repeat(1_800);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = program.client();
            let facts = format!("c=read,d=60000,p={padding}");
            spawn(move || {
                let mut sending = Client::over(client.writing.try_clone().expect("a second handle"));
                let sender = spawn(move || {
                    for nth in 0..READS {
                        sending.get(&format!("k{number}-{nth}"), &format!("id-{number}-{nth}"), &facts);
                    }
                });
                let answered = (0..READS).take_while(|_| client.answer() != "closed").count();
                let _ = sender.join();
                answered
            })
        })
        .collect();
    let answered: Vec<usize> = clients.into_iter().map(|client| client.join().expect("it ends")).collect();
    assert!(answered.iter().all(|&answered| answered == READS), "{answered:?}");
}

/// A host with short values, which come after the requests of all clients.
fn host_of_short_values() -> Peer {
    Peer::host(|_| {
        sleep(HOST_DELAY);
        hit("v")
    })
}

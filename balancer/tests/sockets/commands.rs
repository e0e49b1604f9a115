//! Commands and replies: requests as hosts and origin receive them, the order of replies, malformed
//! input.

use expect_test::expect;

use crate::common::*;
use crate::program;

#[test]
fn request_is_forwarded_unchanged_and_its_response_returned() {
    let host = Peer::host(|request| if request.contains("lacked") { miss() } else { hit("value of 7f") });
    let origin = Peer::http(|request| {
        http_answer(200, if request.starts_with("PUT") { "receipt" } else { "fetched" })
    });
    let program = program(&[("a", &host), ("origin", &origin)]);
    let mut client = program.client();

    let mut trace = vec![client.command(&["PING"]), client.command(&["HELLO", "3"])];
    trace.push(client.command(&["CACHE.GET", "7f", "id1", "c=read,t=acme,d=480,size=3,new=x"]));
    trace.push(client.command(&["CACHE.GET", "lacked / key", "id2", "c=read,d=480"]));
    trace.push(client.command(&["CACHE.SET", "7f", "id3", "c=put,d=480,k=5c0f", "VALUE\r\n!"]));
    trace.extend([host.next(), host.next(), origin.next(), origin.next()]);

    expect![[r#"
        +PONG
        -ERR unknown command
        value of 7f
        fetched
        receipt
        CACHE.GET 7f id1 c=read,t=acme,d=..,size=3,new=x
        CACHE.GET lacked / key id2 c=read,d=..
        GET /lacked%20%2F%20key | X-Correlation-Id: id2 | X-Facts: c=read,d=..
        PUT /7f | X-Correlation-Id: id3 | X-Facts: c=put,d=..,k=5c0f | VALUE
        !"#]]
    .assert_eq(&trace.join("\n").replace('\r', ""));
}

#[test]
fn pipelined_commands_are_answered_in_order() {
    let (release, wait) = gate();
    let host = Peer::host(move |request| {
        wait(request);
        hit(request.split(' ').nth(2).unwrap_or(""))
    });
    let program = program(&[("a", &host)]);
    let mut client = program.client();

    client.get("slow", "id1", "c=read,d=1500");
    client.get("k", "id2", "c=read,d=1500");
    client.raw(b"PING\r\n");

    let both = [host.next(), host.next()].concat();
    assert!(both.contains("id1") && both.contains("id2"), "both requests are sent at once: {both}");

    release.send(()).expect("the host waits");
    let trace = [client.answer(), client.answer(), client.answer()];

    assert_eq!(trace, ["id1", "id2", "+PONG"]);
}

/// Commands that are each answered with an error, on a connection that stays open.
const MALFORMED_COMMANDS: [&[&str]; 11] = [
    &["CACHE.GET", "k"],
    &["CACHE.GET", "k", "id", "c=read"],
    &["CACHE.GET", "k", "id", "c=read,d=-5"],
    &["CACHE.GET", "k", "id", "c=read,d=nan"],
    &["CACHE.GET", "k", "id", "c=unheard-of,d=5"],
    &["CACHE.GET", "k", "id", "d=5"],
    &["CACHE.GET", "k", "id\r\nX-Evil: 1", "c=read,d=5"],
    &["CACHE.SET", "k", "id", "c=put,d=5"],
    &["CACHE.GET", "k", "id", "c=read,d=5", "value"],
    &["FLUSHALL"],
    &["CACHE.GET", "k", "id", "c=read,d=1e300"],
];

/// Inputs that violate the protocol, so that the connection is closed after an error.
fn protocol_violations() -> Vec<String> {
    let long = "x".repeat(65 * 1024);
    let words = "$8000\r\n".to_owned() + &"x".repeat(8000) + "\r\n";
    vec![
        "*x\r\n".to_owned(),
        "*-1\r\n".to_owned(),
        "*99999999999\r\n".to_owned(),
        "*1\r\n$-1\r\n".to_owned(),
        "*1\r\n$4\r\nPINGxx".to_owned(),
        "PING\n".to_owned(),
        format!(
            "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$9\r\nc=put,d=5\r\n${}\r\n{long}\r\n",
            4 * 1024 * 1024 + 1
        ),
        format!("*16\r\n{}", words.repeat(15)),
        long,
    ]
}

#[test]
fn malformed_input_is_answered_with_an_error_and_others_are_served() {
    let host = Peer::host(|_| hit("v"));
    let program = program(&[("a", &host)]);

    let mut lines = Vec::new();
    let mut client = program.client();
    for words in MALFORMED_COMMANDS {
        lines.push(client.command(words));
    }
    for bytes in protocol_violations() {
        let mut client = program.client();
        client.raw(bytes.as_bytes());
        lines.push(format!("{} then {}", client.answer(), client.answer()));
    }

    lines.push(program.client().command(&["CACHE.GET", "k", "id", "c=read,d=480"]));

    expect![[r#"
        -ERR a key, an id and facts are needed
        -ERR no d: expected the time to wait in milliseconds, 0 to 3600000
        -ERR no d: expected the time to wait in milliseconds, 0 to 3600000
        -ERR no d: expected the time to wait in milliseconds, 0 to 3600000
        -ERR unknown category unheard-of
        -ERR no c: the category is missing
        -ERR a key, an id and facts without control characters are needed
        -ERR wrong number of arguments
        -ERR wrong number of arguments
        -ERR unknown command
        -ERR no d: expected the time to wait in milliseconds, 0 to 3600000
        -ERR Protocol error: no number then closed
        -ERR Protocol error: no such number of words then closed
        -ERR Protocol error: no such number of words then closed
        -ERR Protocol error: a null word then closed
        -ERR Protocol error: a bulk string without its end then closed
        -ERR Protocol error: a line without a carriage return then closed
        -ERR Protocol error: too long a bulk string then closed
        -ERR Protocol error: too long a command then closed
        -ERR Protocol error: too long a line then closed
        v"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn id_in_use_is_refused_until_its_request_ends() {
    let (release, host) = gated_host();
    let program = program(&[("a", &host)]);
    let (mut first, mut second) = (program.client(), program.client());

    first.get("slow", "id", "c=read,d=1500");
    let mut trace = vec![host.next(), second.command(&["CACHE.GET", "k", "id", "c=read,d=600"])];

    release.send(()).expect("the host waits");
    trace.push(first.answer());

    // Once the first request has ended, its id may be used again.
    trace.push(second.command(&["CACHE.GET", "k", "id", "c=read,d=600"]));

    expect![[r#"
        CACHE.GET slow id c=read,d=..
        -ERR an op with this id is open
        v
        v"#]]
    .assert_eq(&trace.join("\n"));
}

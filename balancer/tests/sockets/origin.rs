//! Which responses of the origin are accepted.

use expect_test::expect;

use crate::common::*;
use crate::program;

#[test]
fn origin_response_is_accepted_only_if_complete() {
    let head = |status: &str, rest: &str| format!("HTTP/1.1 {status}\r\n{rest}");
    let answers = [
        head("200 OK", "Content-Length: 2\r\n\r\nok"),
        head("200 OK", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n1\r\n!\r\n0\r\n\r\n"),
        head(
            "103 Early Hints",
            "Link: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        ),
        head("200 OK", "Content-Length: 9\r\n\r\nhalf"),
        head("200 OK", "\r\nwhere does it end"),
        head("200 OK", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!"),
        head("200 OK", "Content-Length: 99999999\r\n\r\n"),
        head("200 OK", "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"),
        "nonsense\r\n\r\n".to_owned(),
        head("500 no", "Content-Length: 0\r\n\r\n"),
        head("503 no", "X-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"),
        head("503 no", "Content-Length: 0\r\n\r\n"),
    ];

    let mut lines = Vec::new();
    for answer in answers {
        let host = Peer::host(|_| miss());
        let text = answer.clone();
        let origin = Peer::http(move |_| Reply::ThenClose(text.clone()));
        let program = program(&[("a", &host), ("origin", &origin)]);
        let got = program.client().command(&["CACHE.SET", "k", "id", "c=once,d=600", "v"]);
        lines.push(format!("{} | {got}", answer.replace("\r\n", " ")));
    }

    expect![[r#"
        HTTP/1.1 200 OK Content-Length: 2  ok | ok
        HTTP/1.1 200 OK Transfer-Encoding: chunked  2 ok 1 ! 0   | ok!
        HTTP/1.1 103 Early Hints Link: </a>  HTTP/1.1 102 Processing  HTTP/1.1 200 OK Content-Length: 2  ok | ok
        HTTP/1.1 200 OK Content-Length: 9  half | -ERR dead-lettered
        HTTP/1.1 200 OK  where does it end | -ERR dead-lettered
        HTTP/1.1 200 OK Content-Length: 2 Content-Length: 3  ok! | -ERR dead-lettered
        HTTP/1.1 200 OK Content-Length: 99999999   | -ERR dead-lettered
        HTTP/1.1 200 OK Transfer-Encoding: chunked  ffffffffffffffff  | -ERR dead-lettered
        nonsense   | -ERR dead-lettered
        HTTP/1.1 500 no Content-Length: 0   | -ERR dead-lettered
        HTTP/1.1 503 no X-Unprocessed: 1 Content-Length: 0   | -ERR dead-lettered
        HTTP/1.1 503 no Content-Length: 0   | -ERR dead-lettered"#]]
    .assert_eq(&lines.join("\n"));
}

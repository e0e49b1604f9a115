//! HTTP/1.1: encoded messages parse to the same content, and no input makes a parser panic.

use basaltwood_wire::{http, resp};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn any_bytes_parse_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = http::parse_long_response_head(&bytes, 10, 100);
        let _ = http::parse_response(&bytes, 100);
        let _ = http::parse_request(&bytes, 100);
        let _ = http::percent_decode(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn request_parses_as_encoded_and_no_prefix_is_complete(
        key in proptest::collection::vec(any::<u8>(), 1..40),
        body in proptest::option::of(proptest::collection::vec(any::<u8>(), 1..90)),
    ) {
        let path = format!("/{}", http::percent_encode(&key));
        let headers: [(&str, &[u8]); 1] = [("X-Facts", b"c=read,d=5")];
        let bytes = http::encode_request("PUT", &path, "h:1", &headers, body.as_deref());

        for end in 0..bytes.len() {
            prop_assert!(matches!(http::parse_request(&bytes[..end], 100), Ok(None)));
        }
        let request = http::parse_request(&bytes, 100).expect("valid").expect("complete");

        prop_assert_eq!(http::percent_decode(&request.path), key);
        prop_assert_eq!(request.header("x-facts"), Some("c=read,d=5"));
        prop_assert_eq!(&request.body[..], &body.unwrap_or_default()[..]);
    }

    #[test]
    fn response_parses_as_encoded(
        body in proptest::collection::vec(any::<u8>(), 0..90),
        status in 200_u16..600,
    ) {
        let bytes = http::encode_response(status, &[("X-Unprocessed", "1")], &body);

        let response = http::parse_response(&bytes, 100).expect("valid").expect("complete");

        prop_assert!(response.unprocessed);
        prop_assert_eq!(response.status, status);
        prop_assert_eq!(response.consumed, bytes.len());
        prop_assert_eq!(&response.body[..], &body[..]);
    }

    #[test]
    fn long_response_is_recognized_by_its_head_after_interim_responses(
        length in resp::MAX_BUFFERED_VALUE + 1..=resp::MAX_VALUE,
    ) {
        let head = format!("HTTP/1.1 102 so\r\n\r\nHTTP/1.1 200 so\r\nContent-Length: {length}\r\n\r\n");

        let parsed = http::parse_long_response_head(head.as_bytes(), 10, resp::MAX_VALUE);

        let parsed = parsed.expect("a long response");
        prop_assert_eq!(parsed.head.consumed, head.len());
        prop_assert_eq!(parsed.head.status, 200);
        prop_assert_eq!(parsed.body_length, length);
    }
}

#[test]
fn malformed_responses_are_refused_with_the_cause() {
    let interim = "HTTP/1.1 102 so\r\n\r\n".repeat(16);
    let long_head = format!("HTTP/1.1 200 so\r\nX: {}", "a".repeat(16 * 1024));
    let cases = [
        ("HTTP/2 200\r\n\r\n", "invalid HTTP version"),
        (&interim, "16 interim responses (1xx) without a final response"),
        (&long_head, "response head is longer than 16384 bytes"),
        ("HTTP/1.1 200 so\r\nContent-Length: 101\r\n\r\n", "response body is longer than allowed"),
        ("HTTP/1.1 200 so\r\nContent-Length: x\r\n\r\n", "Content-Length is not a number"),
        (
            "HTTP/1.1 200 so\r\nTransfer-Encoding: gzip\r\n\r\n",
            "unsupported Transfer-Encoding gzip, expected chunked",
        ),
        ("HTTP/1.1 200 so\r\n\r\n", "response needs one Content-Length or chunked Transfer-Encoding"),
        (
            "HTTP/1.1 200 so\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "response needs one Content-Length or chunked Transfer-Encoding",
        ),
        ("HTTP/1.1 200 so\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", "size line of a chunk is malformed"),
        (
            "HTTP/1.1 200 so\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
            "chunk is not followed by CRLF, or the response has trailers",
        ),
    ];
    for (text, cause) in cases {
        let error = http::parse_response(text.as_bytes(), 100).expect_err("malformed");
        assert_eq!(error.to_string(), cause);
    }
}

#[test]
fn malformed_requests_are_refused_with_the_cause() {
    let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "X: 1\r\n".repeat(65));
    let cases = [
        ("GET / HTTP/3\r\n\r\n", "invalid HTTP version"),
        (&many_headers, "request head is longer than 16384 bytes or 64 header lines"),
        ("PUT / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "Content-Length is not a number"),
        (
            "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "Transfer-Encoding is not supported in requests, expected Content-Length",
        ),
        ("PUT / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "request body is longer than allowed"),
    ];
    for (text, cause) in cases {
        let error = http::parse_request(text.as_bytes(), 100).expect_err("malformed");
        assert_eq!(error.to_string(), cause);
    }
}

//! Parsing of admin requests, and encoding of responses and metrics.

use basaltwood_admin::{error_response, parse_request, response, MetricKind, MetricsPage, Sample};
use expect_test::expect;

#[test]
fn request_prefix_is_incomplete_or_has_the_result_of_the_whole() {
    let long = format!("GET /_vars HTTP/1.1\r\nX: {}", "x".repeat(17 * 1024));
    let mut lines = Vec::new();
    for text in [
        "GET /_ready HTTP/1.1\r\n\r\n",
        "GET /_vars?x=1 HTTP/1.1\r\nHost: b\r\n\r\n",
        "POST /_lameduck/on HTTP/1.1\r\nContent-Length: 2\r\n\r\nok",
        "POST /_lameduck/off HTTP/1.0\r\n\r\n",
        "GET /_lameduck/on HTTP/1.1\r\n\r\n",
        "POST /_ready HTTP/1.1\r\n\r\n",
        "GET /metrics HTTP/1.1\r\n\r\n",
        "POST /_lameduck/on HTTP/1.1\r\nContent-Length: 9999\r\n\r\n",
        "POST /_lameduck/on HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /_lameduck/on HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "\0nonsense\r\n\r\n",
        &long,
    ] {
        let whole = parse_request(text.as_bytes());
        // A truncated request is incomplete, or has the same result or error as the complete one.
        for end in 0..text.len() {
            let part = parse_request(&text.as_bytes()[..end]);
            assert!(matches!(part, Ok(None)) || part == whole, "{text:?} cut at {end}: {part:?}");
        }
        lines.push(match &whole {
            Err(error) => String::from_utf8_lossy(&error_response(error)).replace("\r\n", "; "),
            request => format!("{request:?}"),
        });
    }
    expect![[r#"
        Ok(Some(Ready))
        Ok(Some(Vars))
        Ok(Some(LameDuckOn))
        Ok(Some(LameDuckOff))
        HTTP/1.1 405 -; Content-Length: 0; Content-Type: text/plain; version=0.0.4; Connection: close; Allow: POST; ; 
        HTTP/1.1 405 -; Content-Length: 0; Content-Type: text/plain; version=0.0.4; Connection: close; Allow: GET; ; 
        HTTP/1.1 404 -; Content-Length: 0; Content-Type: text/plain; version=0.0.4; Connection: close; ; 
        HTTP/1.1 413 -; Content-Length: 0; Content-Type: text/plain; version=0.0.4; Connection: close; ; 
        HTTP/1.1 411 -; Content-Length: 0; Content-Type: text/plain; version=0.0.4; Connection: close; ; 
        HTTP/1.1 400 -; Content-Length: 0; Content-Type: text/plain; version=0.0.4; Connection: close; ; 
        HTTP/1.1 400 -; Content-Length: 0; Content-Type: text/plain; version=0.0.4; Connection: close; ; 
        HTTP/1.1 431 -; Content-Length: 0; Content-Type: text/plain; version=0.0.4; Connection: close; ; "#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn metrics_page_with_labels_escapes_their_texts() {
    let mut page = MetricsPage::default();

    let by_kind = [Sample::labelled("kind", "read", 812), Sample::labelled("kind", "a\"b\\c\nd", 0)];
    page.add("edge_proxy_ok", MetricKind::Counter, "Requests that succeeded.", by_kind);
    let active = [Sample::unlabelled(14)];
    page.add("edge_proxy_active", MetricKind::Gauge, "Requests that are open.", active);

    expect![[r#"
        # HELP edge_proxy_ok Requests that succeeded.
        # TYPE edge_proxy_ok counter
        edge_proxy_ok{kind="read"} 812
        edge_proxy_ok{kind="a\"b\\c\nd"} 0
        # HELP edge_proxy_active Requests that are open.
        # TYPE edge_proxy_active gauge
        edge_proxy_active 14
    "#]]
    .assert_eq(page.text());
    assert!(response(200, page.text()).ends_with(b"edge_proxy_active 14\n"));
}

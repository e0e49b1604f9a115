//! The origin: where a value is fetched that a cache host lacks, and where writes go, over HTTP/1.1.

use std::net::SocketAddr;
use std::rc::Rc;

use basaltwood::types::{End, HostId, Micros};
use basaltwood_wire::http;
use basaltwood_wire::resp::MOST_VALUE;

use crate::request::{Outcome, Request};
use crate::servers::{Servers, Ticket};

/// One push of an op to the origin.
pub async fn push(
    servers: &Rc<Servers>,
    host: HostId,
    address: SocketAddr,
    ticket: Ticket,
    request: &Request,
    within: Micros,
) -> Outcome {
    let path = format!("/{}", http::escaped(&request.key));
    let facts = request.facts(within);
    let headers: [(&str, &[u8]); 2] = [("X-Correlation-Id", &request.id), ("X-Facts", &facts)];
    let method = if request.value.is_some() { "PUT" } else { "GET" };
    let text = http::request(method, &path, &address.to_string(), &headers, request.value.as_deref());
    servers.exchange(host, ticket, request, text, within, answer).await
}

fn answer(bytes: &[u8]) -> Result<Option<(Outcome, usize, bool)>, String> {
    let Some(answer) = http::answer(bytes, MOST_VALUE)? else { return Ok(None) };
    let outcome = match answer.status {
        200 => (End::Acked, Some(answer.body)),
        503 | 504 if answer.unprocessed => (End::TurnedAway, None),
        _ => (End::Error, None),
    };
    Ok(Some((outcome, answer.used, answer.keep)))
}

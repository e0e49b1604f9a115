//! The protocol of cache hosts: encodes an attempt as a RESP2 command and parses the reply.

use basaltwood::types::{AttemptOutcome, Micros};
use basaltwood_wire::resp::{self, LongReply, ParsedReply, Reply, MAX_INLINE_VALUE};
use bytes::Bytes;

use super::messages::{ParsedResponse, RequestBytes, ResponseError, ValueEnding, ValueHead, WholeResponse};
use crate::request::ClientRequest;

/// Encodes the command for a request, with `time_left` as its timeout.
pub fn encode(request: &ClientRequest, time_left: Micros) -> RequestBytes {
    let facts = request.facts_within(time_left);
    let mut words: Vec<&[u8]> = vec![&request.command, &request.key, &request.id, &facts];
    let inline_value = request.inline_value();
    match request.separate_value() {
        Some((length, segments)) => {
            let end = Bytes::from_static(resp::CRLF);
            let segments = segments.iter().cloned().chain([end]).collect();
            RequestBytes { head: resp::encode_command_head(&words, length), segments }
        }
        None => {
            words.extend(inline_value.as_deref());
            RequestBytes::whole(resp::encode_command(&words))
        }
    }
}

/// Parses a reply at the front of a buffer.
pub fn parse_response(bytes: &[u8]) -> Result<Option<ParsedResponse>, ResponseError> {
    if let Some(LongReply { start, length, trailing_elements }) =
        resp::parse_long_reply_head(bytes, MAX_INLINE_VALUE)
    {
        let ending = ValueEnding::Elements(trailing_elements);
        return Ok(Some(ParsedResponse::ValueHead(ValueHead { start, length, ending })));
    }
    let parsed = resp::parse_reply(bytes)?;
    let Some(ParsedReply { reply, end }) = parsed else { return Ok(None) };
    let (outcome, value) = match reply {
        Reply::Value(range) => (AttemptOutcome::Succeeded, Some(Bytes::copy_from_slice(&bytes[range]))),
        Reply::Miss => (AttemptOutcome::Miss, None),
        Reply::Busy => (AttemptOutcome::Rejected, None),
        Reply::Failed => (AttemptOutcome::Error, None),
    };
    let response = WholeResponse { outcome, value, length: end.consumed, reusable: end.keep_alive };
    Ok(Some(ParsedResponse::Whole(response)))
}

//! RESP2: encoded messages parse to the same content, and no input makes a parser panic.

use basaltwood_wire::body::Body;
use basaltwood_wire::resp::{self, announced_length};
use proptest::prelude::*;

/// Copies bytes up to the end of the body; returns their number.
fn fill(body: &mut Body, bytes: &[u8]) -> usize {
    let mut filled = 0;
    while filled < bytes.len() && body.remaining() > 0 {
        filled += body.fill(&bytes[filled..]);
    }
    filled
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn any_bytes_parse_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = resp::parse_complete_command(&bytes);
        let _ = resp::parse_reply(&bytes);
        let _ = resp::parse_long_reply_head(&bytes, resp::MAX_BUFFERED_VALUE);
        let _ = resp::parse_after_long_value(&bytes, 2);
        let _ = resp::parse_balancer_reply(&bytes);
    }

    #[test]
    fn command_parses_as_encoded_and_no_prefix_is_complete(
        words in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 1..6),
        following in proptest::collection::vec(any::<u8>(), 0..10),
    ) {
        let bytes = resp::encode_command(&words.iter().map(Vec::as_slice).collect::<Vec<_>>());

        for end in 0..bytes.len() {
            prop_assert!(matches!(resp::parse_complete_command(&bytes[..end]), Ok(None)));
        }
        let all = [&bytes[..], &following].concat();
        let command = resp::parse_complete_command(&all).expect("valid").expect("complete");

        prop_assert_eq!(command.consumed, bytes.len());
        prop_assert_eq!(command.words.len(), words.len());
        prop_assert!(command.words.iter().zip(&words).all(|(parsed, word)| parsed[..] == word[..]));
    }

    #[test]
    fn host_reply_parses_as_encoded(
        value in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..100)),
        load in proptest::option::of("[a-z=0-9,]{0,20}"),
    ) {
        let bytes = resp::encode_reply(value.as_deref(), load.as_deref());

        let parsed = resp::parse_reply(&bytes).expect("valid").expect("complete");

        prop_assert_eq!(parsed.end, resp::MessageEnd { consumed: bytes.len(), keep_alive: true });
        match (parsed.reply, &value) {
            (resp::Reply::Value(range), Some(value)) => prop_assert_eq!(&bytes[range], &value[..]),
            (resp::Reply::Miss, None) => {}
            (other, _) => prop_assert!(false, "{:?}", other),
        }
    }

    #[test]
    fn balancer_reply_parses_as_encoded(
        value in proptest::collection::vec(any::<u8>(), 0..100),
        ms in 0_u64..1_000_000,
    ) {
        let busy = format!("-BUSY {ms}\r\n");
        let rejection = resp::BalancerReply::Busy(Some(ms));
        prop_assert_eq!(resp::parse_balancer_reply(busy.as_bytes()), Ok(Some((rejection, busy.len()))));

        let bytes = resp::encode_bulk(&value);
        let parsed = resp::parse_balancer_reply(&bytes);
        let Ok(Some((resp::BalancerReply::Value(range), consumed))) = parsed else { panic!("a value") };
        prop_assert!(consumed == bytes.len() && bytes[range] == value[..]);
    }

    #[test]
    fn value_in_any_pieces_is_received_unchanged(
        value in proptest::collection::vec(any::<u8>(), 1..200_000),
        pieces in proptest::collection::vec(1_usize..70_000, 1..20),
        cut in any::<prop::sample::Index>(),
    ) {
        // Given a truncated command
        let bytes = resp::encode_command(&[b"CACHE.SET", b"k", b"id", b"c=put", &value]);
        let at = cut.index(bytes.len());
        let (consumed, value_length) = match resp::parse_command(&bytes[..at]).expect("valid") {
            // The value's head is incomplete.
            None => return Ok(()),
            Some(resp::ParsedCommand::ValuePending { words, consumed, value_length }) => {
                prop_assert_eq!(&words[3][..], b"c=put");
                (consumed, value_length)
            }
            Some(resp::ParsedCommand::Complete(_)) => panic!("not complete at {at} of {}", bytes.len()),
        };
        prop_assert_eq!(value_length, value.len());

        // When the rest of the value arrives in pieces
        let mut body = Body::new(value_length);
        let mut from = consumed + fill(&mut body, &bytes[consumed..at]);
        for piece in pieces.into_iter().cycle() {
            if body.remaining() == 0 {
                break;
            }
            from += fill(&mut body, &bytes[from..bytes.len().min(from + piece)]);
        }

        // Then
        prop_assert_eq!(&bytes[from..], resp::CRLF);
        prop_assert_eq!(body.into_segments().concat(), value);
    }

    #[test]
    fn long_reply_is_recognized_by_its_head_and_ends_after_its_last_element(
        length in resp::MAX_BUFFERED_VALUE + 1..=resp::MAX_VALUE,
        load in "[a-z=0-9,]{0,20}",
        cut in any::<prop::sample::Index>(),
    ) {
        let head = format!("*3\r\n${length}\r\n");
        for end in 0..head.len() {
            prop_assert_eq!(resp::parse_long_reply_head(&head.as_bytes()[..end], resp::MAX_BUFFERED_VALUE), None);
        }
        let expected = resp::LongReply { start: head.len(), length, trailing_elements: 2 };
        prop_assert_eq!(resp::parse_long_reply_head(format!("{head}v").as_bytes(), resp::MAX_BUFFERED_VALUE), Some(expected));

        let rest = format!("\r\n$3\r\nhit\r\n${}\r\n{load}\r\n", load.len());
        let end = resp::MessageEnd { consumed: rest.len(), keep_alive: true };
        prop_assert_eq!(resp::parse_after_long_value(rest.as_bytes(), 2), Ok(Some(end)));
        let part = &rest.as_bytes()[..cut.index(rest.len())];
        prop_assert_eq!(resp::parse_after_long_value(part, 2), Ok(None));
    }
}

/// Clients get these texts after `Protocol error:`.
#[test]
fn malformed_commands_are_refused_with_the_cause() {
    let long_line = vec![b'a'; 1_024];
    let long_value =
        format!("*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n${}\r\n", resp::MAX_VALUE + 1);
    let cases: [(&[u8], &str); 10] = [
        (b"PING\n", "a line without a carriage return"),
        (&long_line, "too long a line"),
        (b"*a\r\n", "no number"),
        (b"*1\r\n+PING\r\n", "no bulk string"),
        (b"*1\r\n$-2\r\n", "no length"),
        (long_value.as_bytes(), "too long a bulk string"),
        (b"*1\r\n$4\r\nPINGPONG", "a bulk string without its end"),
        (b"*17\r\n", "no such number of words"),
        (b"*-1\r\n", "no such number of words"),
        (b"*1\r\n$-1\r\n", "a null word"),
    ];
    for (bytes, cause) in cases {
        let error = resp::parse_command(bytes).expect_err("malformed");
        assert_eq!(error.to_string(), cause);
    }
}

#[test]
fn malformed_replies_are_refused_with_the_cause() {
    let cases: [(&[u8], &str); 6] = [
        (b"+OK\r\n", "no reply to a command of ours"),
        (b"*0\r\n", "an array of nothing"),
        (b"*17\r\n", "no such number of elements"),
        (b"*1\r\n+OK\r\n", "no bulk string"),
        (b"*2\r\n$1\r\na\r\n?", "no element of a reply"),
        (b"*2\r\n$1\r\nab\r\n", "a bulk string without its end"),
    ];
    for (bytes, cause) in cases {
        let error = resp::parse_reply(bytes).expect_err("malformed");
        assert_eq!(error.to_string(), cause);
    }
    let error = resp::parse_balancer_reply(b"?").expect_err("malformed");
    assert_eq!(error.to_string(), "no answer to a command of ours");
}

#[test]
fn announced_length_covers_the_whole_reply() {
    let whole: [&[u8]; 5] = [b"$5\r\nvalue\r\n", b"$0\r\n\r\n", b"$-1\r\n", b"-BUSY 20\r\n", b"+PONG\r\n"];
    for reply in whole {
        assert_eq!(announced_length(reply), Some(reply.len()));
    }
    assert_eq!(announced_length(b"$80000\r\nfirst bytes"), Some(8 + 80_000 + 2));
    assert_eq!(announced_length(b"$80000"), None);
}

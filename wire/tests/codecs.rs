//! What is written reads as the same, whole or in parts, and no bytes make a panic.

use basaltwood_wire::body::Body;
use basaltwood_wire::facts::{fact, with_timeout};
use basaltwood_wire::{http, resp};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn no_bytes_make_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = resp::parse_complete_command(&bytes);
        let _ = resp::parse_reply(&bytes);
        let _ = (resp::parse_long_reply_head(&bytes), resp::parse_after_long_value(&bytes, 2), http::parse_long_response_head(&bytes, 10, 100));
        let _ = resp::parse_balancer_reply(&bytes);
        let _ = http::parse_response(&bytes, 100);
        let _ = http::parse_request(&bytes, 100);
        let _ = http::percent_decode(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_command_reads_as_it_was_written_and_no_part_of_it_is_whole(
        words in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 1..6),
        more in proptest::collection::vec(any::<u8>(), 0..10),
    ) {
        let text = resp::encode_command(&words.iter().map(Vec::as_slice).collect::<Vec<_>>());
        for end in 0..text.len() {
            prop_assert!(matches!(resp::parse_complete_command(&text[..end]), Ok(None)));
        }
        let all = [&text[..], &more].concat();
        let (read, used) = resp::parse_complete_command(&all).expect("sense").expect("whole");
        prop_assert_eq!(used, text.len());
        prop_assert!(read.iter().zip(&words).all(|(read, word)| read[..] == word[..]) && read.len() == words.len());
    }

    #[test]
    fn a_hosts_reply_and_a_balancers_answer_read_as_they_were_written(
        value in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..100)),
        load in proptest::option::of("[a-z=0-9,]{0,20}"),
        ms in any::<u64>(),
    ) {
        let text = resp::encode_reply(value.as_deref(), load.as_deref());
        let (reply, used, keep) = resp::parse_reply(&text).expect("sense").expect("whole");
        prop_assert!(used == text.len() && keep);
        match (reply, &value) {
            (resp::Reply::Value(place), Some(value)) => prop_assert_eq!(&text[place], &value[..]),
            (resp::Reply::Miss, None) => {}
            (other, _) => prop_assert!(false, "{:?}", other),
        }
        let ms = ms % 1_000_000;
        let busy = format!("-BUSY {ms}\r\n");
        prop_assert_eq!(resp::parse_balancer_reply(busy.as_bytes()), Ok(Some((resp::BalancerReply::Busy(Some(ms)), busy.len()))));
        let value = value.unwrap_or_default();
        let text = resp::encode_bulk(&value);
        let Ok(Some((resp::BalancerReply::Value(place), used))) = resp::parse_balancer_reply(&text) else { panic!("a value") };
        prop_assert!(used == text.len() && text[place] == value[..]);
    }

    #[test]
    fn a_request_and_its_answer_read_as_they_were_written(
        key in proptest::collection::vec(any::<u8>(), 1..40),
        body in proptest::option::of(proptest::collection::vec(any::<u8>(), 1..90)),
        status in 200_u16..600,
    ) {
        let path = format!("/{}", http::percent_encode(&key));
        let text = http::encode_request("PUT", &path, "h:1", &[("X-Facts", b"c=read,d=5")], body.as_deref());
        for end in 0..text.len() {
            prop_assert!(matches!(http::parse_request(&text[..end], 100), Ok(None)));
        }
        let request = http::parse_request(&text, 100).expect("sense").expect("whole");
        prop_assert_eq!(http::percent_decode(&request.path), key);
        prop_assert_eq!(request.header("x-facts"), Some("c=read,d=5"));
        prop_assert_eq!(&request.body[..], &body.clone().unwrap_or_default()[..]);
        let body = body.unwrap_or_default();
        let text = http::encode_response(status, &[("X-Unprocessed", "1")], &body);
        let answer = http::parse_response(&text, 100).expect("sense").expect("whole");
        prop_assert!(answer.unprocessed && answer.status == status && answer.consumed == text.len());
        prop_assert_eq!(&answer.body[..], &body[..]);
    }

    #[test]
    fn only_the_time_to_wait_changes_among_the_facts(ms in 1_u64..100_000, name in "[a-z]{1,8}") {
        let facts = format!("c={name},d=480,k=5c0f,d2=7");
        let text = String::from_utf8(with_timeout(facts.as_bytes(), ms).to_vec()).expect("text");
        prop_assert_eq!(fact(&text, "d").map(str::to_owned), Some(ms.to_string()));
        prop_assert_eq!(text, format!("c={name},d={ms},k=5c0f,d2=7"));
    }

    #[test]
    fn a_value_is_the_same_whatever_pieces_it_comes_in(
        value in proptest::collection::vec(any::<u8>(), 1..200_000),
        pieces in proptest::collection::vec(1_usize..70_000, 1..20),
        cut in any::<prop::sample::Index>(),
    ) {
        let text = resp::encode_command(&[b"CACHE.SET", b"k", b"id", b"c=put", &value]);
        let at = cut.index(text.len());
        let (used, length) = match resp::parse_command(&text[..at]).expect("sense") {
            // Less than the value's head is there.
            None => return Ok(()),
            Some(resp::ParsedCommand::ValuePending { words, consumed: used, value_length: length }) => {
                prop_assert_eq!(&words[3][..], b"c=put");
                (used, length)
            }
            Some(resp::ParsedCommand::Complete(..)) => panic!("not whole at {at} of {}", text.len()),
        };
        prop_assert_eq!(length, value.len());
        let mut body = Body::new(length);
        let mut from = used + body.copy_from(&text[used..at]);
        for piece in pieces.into_iter().cycle() {
            if body.remaining() == 0 {
                break;
            }
            from += body.copy_from(&text[from..text.len().min(from + piece)]);
        }
        prop_assert_eq!(&text[from..], resp::CRLF);
        prop_assert_eq!(body.into_segments().concat(), value);
    }

    #[test]
    fn a_long_answer_is_known_by_its_head_and_what_follows_it_by_its_end(
        length in resp::MAX_BUFFERED_VALUE + 1..=resp::MAX_VALUE,
        load in "[a-z=0-9,]{0,20}",
        cut in any::<prop::sample::Index>(),
    ) {
        let head = format!("*3\r\n${length}\r\n");
        for end in 0..head.len() {
            prop_assert_eq!(resp::parse_long_reply_head(&head.as_bytes()[..end]), None);
        }
        let wanted = resp::LongReply { start: head.len(), length, trailing_elements: 2 };
        prop_assert_eq!(resp::parse_long_reply_head(format!("{head}v").as_bytes()), Some(wanted));
        let rest = format!("\r\n$3\r\nhit\r\n${}\r\n{load}\r\n", load.len());
        prop_assert_eq!(resp::parse_after_long_value(rest.as_bytes(), 2), Ok(Some((rest.len(), true))));
        let part = &rest.as_bytes()[..cut.index(rest.len())];
        prop_assert_eq!(resp::parse_after_long_value(part, 2), Ok(None));
        let head = format!("HTTP/1.1 102 so\r\n\r\nHTTP/1.1 200 so\r\nContent-Length: {length}\r\n\r\n");
        let (answer, told) = http::parse_long_response_head(head.as_bytes(), 10, resp::MAX_VALUE).expect("a long one");
        prop_assert!(answer.consumed == head.len() && answer.status == 200 && told == length);
    }
}

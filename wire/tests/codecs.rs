//! What is written reads as the same, whole or in parts, and no bytes make a panic.

use basaltwood_wire::facts::{fact, with_wait};
use basaltwood_wire::{http, resp};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn no_bytes_make_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = resp::command(&bytes);
        let _ = resp::reply(&bytes);
        let _ = resp::answer(&bytes);
        let _ = http::answer(&bytes, 100);
        let _ = http::asked(&bytes, 100);
        let _ = http::unescaped(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_command_reads_as_it_was_written_and_no_part_of_it_is_whole(
        words in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 1..6),
        more in proptest::collection::vec(any::<u8>(), 0..10),
    ) {
        let text = resp::written(&words.iter().map(Vec::as_slice).collect::<Vec<_>>());
        for end in 0..text.len() {
            prop_assert!(matches!(resp::command(&text[..end]), Ok(None)));
        }
        let all = [&text[..], &more].concat();
        let (read, used) = resp::command(&all).expect("sense").expect("whole");
        prop_assert_eq!(used, text.len());
        prop_assert!(read.iter().zip(&words).all(|(read, word)| read[..] == word[..]) && read.len() == words.len());
    }

    #[test]
    fn a_hosts_reply_and_a_balancers_answer_read_as_they_were_written(
        value in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..100)),
        load in proptest::option::of("[a-z=0-9,]{0,20}"),
        ms in any::<u64>(),
    ) {
        let text = resp::stored(value.as_deref(), load.as_deref());
        let (reply, used, keep) = resp::reply(&text).expect("sense").expect("whole");
        prop_assert!(used == text.len() && keep);
        match (reply, &value) {
            (resp::Reply::Value(place), Some(value)) => prop_assert_eq!(&text[place], &value[..]),
            (resp::Reply::Miss, None) => {}
            (other, _) => prop_assert!(false, "{:?}", other),
        }
        let ms = ms % 1_000_000;
        let busy = format!("-BUSY {ms}\r\n");
        prop_assert_eq!(resp::answer(busy.as_bytes()), Ok(Some((resp::Answer::Busy(Some(ms)), busy.len()))));
        let value = value.unwrap_or_default();
        let text = resp::value(&value);
        let Ok(Some((resp::Answer::Value(place), used))) = resp::answer(&text) else { panic!("a value") };
        prop_assert!(used == text.len() && text[place] == value[..]);
    }

    #[test]
    fn a_request_and_its_answer_read_as_they_were_written(
        key in proptest::collection::vec(any::<u8>(), 1..40),
        body in proptest::option::of(proptest::collection::vec(any::<u8>(), 1..90)),
        status in 200_u16..600,
    ) {
        let path = format!("/{}", http::escaped(&key));
        let text = http::request("PUT", &path, "h:1", &[("X-Facts", b"c=read,d=5")], body.as_deref());
        for end in 0..text.len() {
            prop_assert!(matches!(http::asked(&text[..end], 100), Ok(None)));
        }
        let request = http::asked(&text, 100).expect("sense").expect("whole");
        prop_assert_eq!(http::unescaped(&request.path), key);
        prop_assert_eq!(request.header("x-facts"), Some("c=read,d=5"));
        prop_assert_eq!(&request.body[..], &body.clone().unwrap_or_default()[..]);
        let body = body.unwrap_or_default();
        let text = http::answered(status, &[("X-Unprocessed", "1")], &body);
        let answer = http::answer(&text, 100).expect("sense").expect("whole");
        prop_assert!(answer.unprocessed && answer.status == status && answer.used == text.len());
        prop_assert_eq!(&answer.body[..], &body[..]);
    }

    #[test]
    fn only_the_time_to_wait_changes_among_the_facts(ms in 1_u64..100_000, name in "[a-z]{1,8}") {
        let facts = format!("c={name},d=480,k=5c0f,d2=7");
        let text = String::from_utf8(with_wait(facts.as_bytes(), ms).to_vec()).expect("text");
        prop_assert_eq!(fact(&text, "d").map(str::to_owned), Some(ms.to_string()));
        prop_assert_eq!(text, format!("c={name},d={ms},k=5c0f,d2=7"));
    }
}

//! The list of facts that goes with a request.

use basaltwood_wire::facts::{fact, with_timeout};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn with_timeout_changes_no_other_fact(ms in 1_u64..100_000, name in "[a-z]{1,8}") {
        let facts = format!("c={name},d=480,k=5c0f,d2=7");

        let changed = with_timeout(facts.as_bytes(), ms);

        let changed = String::from_utf8(changed.to_vec()).expect("text");
        prop_assert_eq!(fact(&changed, "d").map(str::to_owned), Some(ms.to_string()));
        prop_assert_eq!(changed, format!("c={name},d={ms},k=5c0f,d2=7"));
    }
}

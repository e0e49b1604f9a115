use super::*;

/// Guards against a value that is held without memory: its rest was once left out of the reply.
#[test]
fn value_beyond_a_connections_memory_is_not_made_without_a_grant() {
    let value = |length: usize| WholeValue::new(Bytes::from(vec![b'v'; length]), None);
    assert!(value(MAX_UNGRANTED_VALUE).is_ok());
    assert!(value(MAX_UNGRANTED_VALUE + 1).is_err());
}

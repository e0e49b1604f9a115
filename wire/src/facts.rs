//! The facts of a request: a list of names and values, in the word after a command's id or in the
//! header `X-Facts`, such as `c=read,t=acme,d=480,k=5c0f,r=1`.

use bytes::{BufMut, Bytes, BytesMut};

/// The value of the fact with this name, if the list has one.
pub fn fact<'a>(facts: &'a str, name: &str) -> Option<&'a str> {
    facts.split(',').find_map(|fact| fact.strip_prefix(name)?.strip_prefix('='))
}

/// A copy of the facts in which the timeout (`d`, in milliseconds, at least 1) is replaced by that
/// of this attempt.
pub fn with_timeout(facts: &[u8], ms: u64) -> Bytes {
    let mut out = BytesMut::with_capacity(facts.len() + 8);
    for (nth, fact) in facts.split(|&byte| byte == b',').enumerate() {
        if nth > 0 {
            out.put_slice(b",");
        }
        if fact.starts_with(b"d=") {
            out.put_slice(format!("d={}", ms.max(1)).as_bytes());
        } else {
            out.put_slice(fact);
        }
    }
    out.freeze()
}

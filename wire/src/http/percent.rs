//! Percent-encoding of keys as paths.

/// Encodes a key as a path: all bytes but unreserved characters are escaped.
pub fn percent_encode(key: &[u8]) -> String {
    let mut path = String::with_capacity(key.len() + 1);
    for &byte in key {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            path.push(char::from(byte));
        } else {
            path.push_str(&format!("%{byte:02X}"));
        }
    }
    path
}

/// Decodes the key in a path, without the leading slash. Malformed escapes are kept as they are.
pub fn percent_decode(path: &str) -> Vec<u8> {
    let bytes = path.strip_prefix('/').unwrap_or(path).as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while let Some(&byte) = bytes.get(at) {
        match escaped_byte(&bytes[at..]) {
            Some(escaped) => {
                out.push(escaped);
                at += 3;
            }
            None => {
                out.push(byte);
                at += 1;
            }
        }
    }
    out
}

/// The byte that an escape sequence at the front stands for, if there is one.
fn escaped_byte(bytes: &[u8]) -> Option<u8> {
    let digits = bytes.strip_prefix(b"%")?.get(..2)?;
    let digits = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, 16).ok()
}

//! What a balancer leaves for the process that replaces it, as bytes: [`encode`] and [`decode`]. A version byte, the hosts'
//! limits, a checksum. Pure: where the bytes lie and how old they are is the caller's.

use basaltwood::types::{LearnedLimit, RingPosition};

const VERSION: u8 = 1;
const CHECKSUM_BYTES: usize = 4;
/// Hosts that are told of; more are left out.
const MAX_HOSTS: usize = 4_096;
/// The largest record that is looked at.
pub const MAX_RECORD_BYTES: usize = 2 + CHECKSUM_BYTES + MAX_HOSTS * 16;
/// Limits are told in thousandths of a push.
const LIMIT_SCALE: f64 = 1_000.0;

pub fn encode(learned: &[LearnedLimit]) -> Vec<u8> {
    let hosts: Vec<(u64, u32)> = learned
        .iter()
        .take(MAX_HOSTS)
        .map(|host| (host.position.0, (host.limit * LIMIT_SCALE) as u32))
        .collect();
    let mut bytes = vec![VERSION];
    // Numbers into memory: nothing about that can fail.
    bytes.extend(postcard::to_allocvec(&hosts).unwrap_or_default());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// Reads a record.
///
/// # Errors
/// What is wrong with it: it may be cut off, of another version, or no record at all.
pub fn decode(bytes: &[u8]) -> Result<Vec<LearnedLimit>, &'static str> {
    if bytes.len() > MAX_RECORD_BYTES {
        return Err("too long a record");
    }
    let (body, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or("no record")?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err("a record that is not whole");
    }
    let (version, hosts) = body.split_first().ok_or("no record")?;
    if *version != VERSION {
        return Err("a record of another version");
    }
    let hosts: Vec<(u64, u32)> = postcard::from_bytes(hosts).map_err(|_| "a record of no sense")?;
    if hosts.len() > MAX_HOSTS {
        return Err("too many hosts");
    }
    let learned = |(position, limit): (u64, u32)| LearnedLimit {
        position: RingPosition(position),
        limit: f64::from(limit) / LIMIT_SCALE,
    };
    Ok(hosts.into_iter().map(learned).collect())
}

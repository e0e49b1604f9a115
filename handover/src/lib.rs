//! What a balancer leaves for the process that replaces it, as bytes: [`written`] and [`read`]. A version byte, the hosts'
//! limits, a checksum. Pure: where the bytes lie and how old they are is the caller's.

use basaltwood::types::{LearnedLimit, RingPosition};

const VERSION: u8 = 1;
const CHECK: usize = 4;
/// Hosts that are told of; more are left out.
const MOST: usize = 4_096;
/// The largest record that is looked at.
pub const LONGEST: usize = 2 + CHECK + MOST * 16;
/// Limits are told in thousandths of a push.
const PARTS: f64 = 1_000.0;

pub fn written(learnt: &[LearnedLimit]) -> Vec<u8> {
    let hosts: Vec<(u64, u32)> =
        learnt.iter().take(MOST).map(|host| (host.position.0, (host.limit * PARTS) as u32)).collect();
    let mut bytes = vec![VERSION];
    // Numbers into memory: nothing about that can fail.
    bytes.extend(postcard::to_allocvec(&hosts).unwrap_or_default());
    let check = crc32fast::hash(&bytes);
    bytes.extend(check.to_le_bytes());
    bytes
}

/// Reads a record.
///
/// # Errors
/// What is wrong with it: it may be cut off, of another version, or no record at all.
pub fn read(bytes: &[u8]) -> Result<Vec<LearnedLimit>, &'static str> {
    if bytes.len() > LONGEST {
        return Err("too long a record");
    }
    let (body, check) = bytes.split_last_chunk::<CHECK>().ok_or("no record")?;
    if crc32fast::hash(body) != u32::from_le_bytes(*check) {
        return Err("a record that is not whole");
    }
    let (version, hosts) = body.split_first().ok_or("no record")?;
    if *version != VERSION {
        return Err("a record of another version");
    }
    let hosts: Vec<(u64, u32)> = postcard::from_bytes(hosts).map_err(|_| "a record of no sense")?;
    if hosts.len() > MOST {
        return Err("too many hosts");
    }
    let learnt = |(position, limit): (u64, u32)| LearnedLimit {
        position: RingPosition(position),
        limit: f64::from(limit) / PARTS,
    };
    Ok(hosts.into_iter().map(learnt).collect())
}

//! The record that a balancer leaves for the process that replaces it: what it learned of each
//! host's limit.
//!
//! [`encode`] writes it, [`decode`] reads it. A record is a version byte, the hosts' limits, and a
//! CRC-32 of all before it, lowest byte first. Pure: where the bytes are kept, and whether they are
//! too old to use, is up to the caller.

use basaltwood::types::{LearnedLimit, RingPosition};

/// The first byte of a record.
const VERSION: u8 = 1;

/// A CRC-32 (IEEE 802.3) over the bytes before it.
const CHECKSUM_BYTES: usize = 4;

/// The maximum number of hosts in a record; [`encode`] leaves out the rest.
const MAX_HOSTS: usize = 4_096;

/// A host takes at most 15 bytes: varints of 64 and of 32 bits.
const MAX_HOST_BYTES: usize = 16;

/// The size of the largest record that [`decode`] accepts, in bytes.
pub const MAX_RECORD_BYTES: usize = 2 + CHECKSUM_BYTES + MAX_HOSTS * MAX_HOST_BYTES;

/// Limits are stored as whole thousandths of an attempt in flight.
const LIMIT_SCALE: f64 = 1_000.0;

/// A host as it is stored: its ring position, and its limit scaled by [`LIMIT_SCALE`].
type StoredHost = (u64, u32);

/// Why bytes are not a usable record. The caller then starts without learned limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// More bytes than [`MAX_RECORD_BYTES`].
    #[error("too long a record")]
    TooLong,
    /// Too few bytes to be a record.
    #[error("no record")]
    TooShort,
    /// The checksum does not match: the record was cut off or damaged.
    #[error("a record that is not whole")]
    ChecksumMismatch,
    /// Written by a program with another form of record.
    #[error("a record of another version")]
    UnknownVersion,
    /// The checksum matches, but what it covers is not a list of hosts.
    #[error("a record of no sense")]
    Malformed,
    /// More hosts than a record holds.
    #[error("too many hosts")]
    TooManyHosts,
}

/// The record of these limits, as bytes. Hosts past the first 4,096 are left out.
pub fn encode(limits: &[LearnedLimit]) -> Vec<u8> {
    let hosts: Vec<StoredHost> = limits.iter().take(MAX_HOSTS).map(stored).collect();
    let mut bytes = vec![VERSION];
    // Numbers are written to memory: nothing about that can fail.
    bytes.extend(postcard::to_allocvec(&hosts).unwrap_or_default());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// The limits of a record.
///
/// # Errors
/// The record is cut off, damaged, of another version, or no record at all.
pub fn decode(bytes: &[u8]) -> Result<Vec<LearnedLimit>, RecordError> {
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(RecordError::TooLong);
    }
    let (body, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(RecordError::TooShort)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(RecordError::ChecksumMismatch);
    }
    let (version, hosts) = body.split_first().ok_or(RecordError::TooShort)?;
    if *version != VERSION {
        return Err(RecordError::UnknownVersion);
    }
    let hosts: Vec<StoredHost> = postcard::from_bytes(hosts).map_err(|_| RecordError::Malformed)?;
    if hosts.len() > MAX_HOSTS {
        return Err(RecordError::TooManyHosts);
    }
    Ok(hosts.into_iter().map(learned).collect())
}

fn stored(host: &LearnedLimit) -> StoredHost {
    (host.position.0, (host.limit * LIMIT_SCALE) as u32)
}

fn learned((position, limit): StoredHost) -> LearnedLimit {
    LearnedLimit { position: RingPosition(position), limit: f64::from(limit) / LIMIT_SCALE }
}

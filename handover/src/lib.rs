//! What a balancer leaves for the process that replaces it: a record of the concurrency limit that it has
//! learned for each host, and the [journal](request_journal) of requests that must not run twice.
//!
//! A record is a version byte, the limits of the hosts, and a little-endian CRC-32 of all bytes
//! before it. This crate does no I/O: the caller stores the bytes and decides whether a record is
//! too old to use.

pub mod request_journal;

use basaltwood::types::{LearnedLimit, RingPosition};

/// The first byte of a record.
const VERSION: u8 = 1;

/// The size of the CRC-32 (IEEE 802.3) at the end of a record.
const CHECKSUM_BYTES: usize = 4;

/// The maximum number of hosts in a record; [`encode`] leaves out any beyond it.
const MAX_HOSTS: usize = 4_096;

/// An upper bound on the encoded size of a host, in bytes: a 64-bit and a 32-bit varint take at
/// most 15.
const MAX_HOST_BYTES: usize = 16;

/// The size of the largest record that [`decode`] accepts, in bytes.
pub const MAX_RECORD_BYTES: usize = 2 + CHECKSUM_BYTES + MAX_HOSTS * MAX_HOST_BYTES;

/// Limits, which count attempts in flight, are stored as whole thousandths.
const LIMIT_SCALE: f64 = 1_000.0;

/// The stored form of a host: its ring position, and its limit times [`LIMIT_SCALE`].
type StoredHost = (u64, u32);

/// Why a record can't be decoded. The caller then starts without learned limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// More bytes than [`MAX_RECORD_BYTES`].
    #[error("record is longer than {MAX_RECORD_BYTES} bytes")]
    TooLong,
    /// Too few bytes to be a record.
    #[error("record is shorter than its version and checksum")]
    TooShort,
    /// The checksum does not match: the record was truncated or damaged.
    #[error("record is truncated or damaged: checksum mismatch")]
    ChecksumMismatch,
    /// The record was written in another format.
    #[error("record has another format version, expected {VERSION}")]
    UnknownVersion,
    /// The checksum matches, but the content is not a list of hosts.
    #[error("record is malformed: checksum is valid, list of hosts is not")]
    Malformed,
    /// More hosts than a record may hold.
    #[error("record has more than {MAX_HOSTS} hosts")]
    TooManyHosts,
}

/// Encodes the limits as a record. Hosts past the first 4,096 are left out.
pub fn encode(limits: &[LearnedLimit]) -> Vec<u8> {
    let hosts: Vec<StoredHost> = limits.iter().take(MAX_HOSTS).map(to_stored).collect();
    let mut bytes = vec![VERSION];
    // Serializing numbers to memory can't fail.
    bytes.extend(postcard::to_allocvec(&hosts).unwrap_or_default());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// Decodes the limits from a record.
///
/// # Errors
/// The bytes are truncated, damaged, of another version, or not a record.
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
    Ok(hosts.into_iter().map(from_stored).collect())
}

fn to_stored(host: &LearnedLimit) -> StoredHost {
    (host.position.0, (host.limit * LIMIT_SCALE) as u32)
}

fn from_stored((position, limit): StoredHost) -> LearnedLimit {
    LearnedLimit { position: RingPosition(position), limit: f64::from(limit) / LIMIT_SCALE }
}

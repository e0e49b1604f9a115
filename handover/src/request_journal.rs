//! The journal of at-most-once requests: by it the other process of a balancer, or its successor, knows
//! which of them may have run.
//!
//! A journal is a ring of [`MAX_RECORDS`] records of [`RECORD_BYTES`] bytes: a record with sequence number
//! `n` stands at [`offset`]`(n)`. Each has a CRC-32 of its own, so that one that is being written, or was
//! written in part, is seen as such. This module does no I/O.

use xxhash_rust::xxh3::xxh3_64;

/// The number of records in a journal; each request takes two.
pub const MAX_RECORDS: u64 = 16_384;
/// The size of a record in bytes: the sequence number, the request, the event and the checksum.
pub const RECORD_BYTES: usize = SEQUENCE_BYTES + REQUEST_BYTES + EVENT_BYTES + CHECKSUM_BYTES;

const SEQUENCE_BYTES: usize = 8;
const REQUEST_BYTES: usize = 8;
const EVENT_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const BEGUN: u32 = 1;
const SETTLED: u32 = 2;

/// What a journal says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalEvent {
    /// It may run from now on.
    Begun,
    /// It never ran, or its client was sent the whole answer.
    Settled,
}

/// One record of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalRecord {
    /// The record's number, from 1 on, without gaps.
    pub sequence: u64,
    /// The request, by [`request_number`].
    pub request: u64,
    /// What the record says of it.
    pub event: JournalEvent,
}

/// The number under which journals know the request with this id.
pub fn request_number(id: &[u8]) -> u64 {
    xxh3_64(id)
}

/// Where the record with this sequence number stands, in bytes from the start of its journal.
pub fn offset(sequence: u64) -> u64 {
    sequence % MAX_RECORDS * RECORD_BYTES as u64
}

impl JournalRecord {
    /// Encodes the record.
    pub fn encode(&self) -> [u8; RECORD_BYTES] {
        let event = match self.event {
            JournalEvent::Begun => BEGUN,
            JournalEvent::Settled => SETTLED,
        };
        let mut bytes = Vec::with_capacity(RECORD_BYTES);
        bytes.extend(self.sequence.to_le_bytes());
        bytes.extend(self.request.to_le_bytes());
        bytes.extend(event.to_le_bytes());
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes.try_into().expect("the parts of a record have its size")
    }

    /// Decodes a record; `None` if there is no whole one.
    pub fn decode(bytes: &[u8; RECORD_BYTES]) -> Option<JournalRecord> {
        let (body, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>()?;
        if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
            return None;
        }
        let (sequence, body) = body.split_first_chunk::<SEQUENCE_BYTES>()?;
        let (request, event) = body.split_first_chunk::<REQUEST_BYTES>()?;
        let event = match u32::from_le_bytes(event.try_into().ok()?) {
            BEGUN => JournalEvent::Begun,
            SETTLED => JournalEvent::Settled,
            _ => return None,
        };
        let (sequence, request) = (u64::from_le_bytes(*sequence), u64::from_le_bytes(*request));
        Some(JournalRecord { sequence, request, event })
    }
}

/// The whole records in these bytes of a journal, by their sequence numbers.
pub fn decode_all(bytes: &[u8]) -> Vec<JournalRecord> {
    let (records, _) = bytes.as_chunks::<RECORD_BYTES>();
    let mut records: Vec<JournalRecord> = records.iter().filter_map(JournalRecord::decode).collect();
    records.sort_unstable_by_key(|record| record.sequence);
    records
}

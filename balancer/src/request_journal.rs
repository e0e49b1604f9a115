//! Tells the other process of this balancer, and its successor, which at-most-once requests may have run,
//! and learns the same of theirs.
//!
//! Each slot of [`ProcessSlot`](crate::takeover::ProcessSlot) has a journal, a file in the shared folder that
//! only the slot's holder writes. A request is recorded before it may run, so that what a killed process had
//! begun is known too.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use basaltwood::policy::UnsettledRequests;
use basaltwood::types::Micros;
use basaltwood_handover::request_journal::{
    decode_all, offset, request_number, JournalEvent, JournalRecord, MAX_RECORDS, RECORD_BYTES,
};

#[cfg(test)]
mod tests;

/// How many records are read at once.
const RECORDS_PER_READ: u64 = 64;
/// How many records are kept while the journal can't be written; further ones are lost to the successor.
const MAX_UNWRITTEN: usize = 1_024;

/// Where the journals of this process and of the other one are.
pub struct JournalPaths {
    /// The journal of this process's slot.
    pub own: PathBuf,
    /// The journal of the other slot.
    pub other: PathBuf,
}

/// The journals of the two processes of a balancer.
pub struct RequestJournal {
    own: JournalWriter,
    /// What the process that held this slot before has left.
    predecessor: UnsettledRequests,
    other: JournalReader,
}

impl RequestJournal {
    /// Opens the journals, and reads what the process that held this slot before has left.
    ///
    /// # Errors
    /// The system's error if the slot's journal can't be opened or read.
    pub fn open(paths: &JournalPaths, now: Micros) -> io::Result<RequestJournal> {
        let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(&paths.own)?;
        let mut predecessor = UnsettledRequests::default();
        let last_sequence = replay_all(&file, now, &mut predecessor)?;
        let own = JournalWriter { file, next_sequence: last_sequence + 1, unwritten: VecDeque::new() };
        Ok(RequestJournal { own, predecessor, other: JournalReader::new(paths.other.clone()) })
    }

    /// Records that a request may run from now on, unless it may have run at another process; returns
    /// whether it may begin here. The record comes before the other journal is read: of two processes that
    /// get the same id at once, at most one begins.
    pub fn begin(&mut self, now: Micros, id: &[u8]) -> bool {
        let request = request_number(id);
        if self.predecessor.contains(now, request) {
            return false;
        }
        self.own.record(request, JournalEvent::Begun);
        let may_begin = !self.other.contains(now, request);
        if !may_begin {
            self.own.record(request, JournalEvent::Settled);
        }
        may_begin
    }

    /// Records that a request never ran, or that its client was sent the whole answer.
    pub fn settle(&mut self, id: &[u8]) {
        self.own.record(request_number(id), JournalEvent::Settled);
    }
}

/// Writes the journal of this process's slot.
struct JournalWriter {
    file: File,
    next_sequence: u64,
    /// Records that could not be written yet, with the first one's sequence number `next_sequence`.
    unwritten: VecDeque<(u64, JournalEvent)>,
}

impl JournalWriter {
    /// Records an event, and what could not be written before it.
    fn record(&mut self, request: u64, event: JournalEvent) {
        if self.unwritten.len() >= MAX_UNWRITTEN {
            self.unwritten.pop_front();
        }
        self.unwritten.push_back((request, event));
        if let Err(cause) = self.write() {
            log::debug!("the journal of requests could not be written: {cause}");
        }
    }

    fn write(&mut self) -> io::Result<()> {
        while let Some(&(request, event)) = self.unwritten.front() {
            let record = JournalRecord { sequence: self.next_sequence, request, event };
            self.file.write_all_at(&record.encode(), offset(self.next_sequence))?;
            self.next_sequence += 1;
            self.unwritten.pop_front();
        }
        Ok(())
    }
}

/// Reads the journal of the other slot.
struct JournalReader {
    path: PathBuf,
    /// The journal and the sequence number of the next record; `None` until it could be read.
    position: Option<(File, u64)>,
    unsettled: UnsettledRequests,
}

impl JournalReader {
    fn new(path: PathBuf) -> JournalReader {
        JournalReader { path, position: None, unsettled: UnsettledRequests::default() }
    }

    /// Whether the other process has begun this request and not settled it.
    fn contains(&mut self, now: Micros, request: u64) -> bool {
        if let Err(cause) = self.read(now) {
            log::debug!("the other journal of requests could not be read: {cause}");
        }
        self.unsettled.contains(now, request)
    }

    /// Reads what the other process has recorded since the last time.
    fn read(&mut self, now: Micros) -> io::Result<()> {
        if self.position.is_none() {
            self.position = open_existing(&self.path)?.map(|file| (file, 0));
        }
        let Some((file, next_sequence)) = &mut self.position else { return Ok(()) };
        if *next_sequence == 0 {
            *next_sequence = replay_all(file, now, &mut self.unsettled)? + 1;
            return Ok(());
        }
        while let Some(records) = records_from(file, *next_sequence)? {
            for record in records {
                // The other process has written more than the journal holds.
                if record.sequence != *next_sequence {
                    *next_sequence = replay_all(file, now, &mut self.unsettled)? + 1;
                    return Ok(());
                }
                replay(record, now, &mut self.unsettled);
                *next_sequence += 1;
            }
        }
        Ok(())
    }
}

/// Opens a journal to read; `None` if no process has held its slot yet.
fn open_existing(path: &Path) -> io::Result<Option<File>> {
    match File::open(path) {
        Ok(file) => Ok(Some(file)),
        Err(cause) if cause.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(cause),
    }
}

/// Some of the records from this sequence number on; `None` if there are none yet.
fn records_from(file: &File, sequence: u64) -> io::Result<Option<Vec<JournalRecord>>> {
    let until_end = MAX_RECORDS - sequence % MAX_RECORDS;
    let mut bytes = [0; RECORDS_PER_READ as usize * RECORD_BYTES];
    let wanted = RECORDS_PER_READ.min(until_end) as usize * RECORD_BYTES;
    let count = read_fully(file, &mut bytes[..wanted], offset(sequence))?;
    let mut records = decode_all(&bytes[..count]);
    records.retain(|record| record.sequence >= sequence);
    Ok(Some(records).filter(|records| !records.is_empty()))
}

/// Replays a whole journal; returns the sequence number of its last record, 0 if there is none.
fn replay_all(file: &File, now: Micros, unsettled: &mut UnsettledRequests) -> io::Result<u64> {
    let mut bytes = vec![0; MAX_RECORDS as usize * RECORD_BYTES];
    let count = read_fully(file, &mut bytes, 0)?;
    let records = decode_all(&bytes[..count]);
    let last = records.last().map_or(0, |record| record.sequence);
    records.into_iter().for_each(|record| replay(record, now, unsettled));
    Ok(last)
}

fn replay(record: JournalRecord, now: Micros, unsettled: &mut UnsettledRequests) {
    match record.event {
        JournalEvent::Begun => unsettled.record(now, record.request),
        JournalEvent::Settled => unsettled.settle(record.request),
    }
}

/// Reads until the bytes are full or the file ends; returns how many were read.
fn read_fully(file: &File, bytes: &mut [u8], offset: u64) -> io::Result<usize> {
    let mut count = 0;
    while count < bytes.len() {
        match file.read_at(&mut bytes[count..], offset + count as u64) {
            Ok(0) => break,
            Ok(more) => count += more,
            Err(cause) if cause.kind() == io::ErrorKind::Interrupted => {}
            Err(cause) => return Err(cause),
        }
    }
    Ok(count)
}

//! Two journals in one folder, as two processes of a balancer have them.

use std::sync::Barrier;
use std::thread;

use tempfile::TempDir;

use super::*;

fn journal(folder: &TempDir, own: &str, other: &str) -> RequestJournal {
    let path = |name: &str| folder.path().join(name);
    let paths = JournalPaths { own: path(own), other: path(other) };
    RequestJournal::open(&paths, 0).expect("a journal")
}

fn folder() -> TempDir {
    tempfile::tempdir().expect("a folder")
}

#[test]
fn request_begins_at_one_process_until_it_is_settled() {
    let folder = folder();
    let (mut old, mut new) = (journal(&folder, "0", "1"), journal(&folder, "1", "0"));
    assert!(old.begin(0, b"a") && old.begin(0, b"b"));
    assert!(!new.begin(0, b"a") && new.begin(0, b"c"));
    assert!(!old.begin(0, b"c"));
    old.settle(b"a");
    assert!(new.begin(0, b"a") && !new.begin(0, b"b"));
}

/// Guards against an id that is free again because a process that refused it said that it never ran there.
#[test]
fn refusal_does_not_free_the_request_of_the_process_before() {
    let folder = folder();
    assert!(journal(&folder, "0", "1").begin(0, b"a"));
    for _ in 0..3 {
        assert!(!journal(&folder, "0", "1").begin(0, b"a"));
        assert!(!journal(&folder, "1", "0").begin(0, b"a"));
    }
}

/// Guards against a reader that misses what is recorded while it is a whole journal behind.
#[test]
fn reader_that_was_overtaken_reads_the_whole_journal_again() {
    let folder = folder();
    let (mut old, mut new) = (journal(&folder, "0", "1"), journal(&folder, "1", "0"));
    assert!(new.begin(0, b"x"));
    for number in 0..MAX_RECORDS {
        let id = number.to_string();
        assert!(old.begin(0, id.as_bytes()));
        old.settle(id.as_bytes());
    }
    assert!(old.begin(0, b"a"));
    assert!(!new.begin(0, b"a") && new.begin(0, b"0"));
}

/// Guards against records that are lost because the disk was full for a moment.
#[test]
fn record_that_could_not_be_written_is_written_with_the_next_one() {
    let folder = folder();
    let (mut old, mut new) = (journal(&folder, "0", "1"), journal(&folder, "1", "0"));
    let full = OpenOptions::new().write(true).open("/dev/full").expect("a device that is full");
    let file = std::mem::replace(&mut old.own.file, full);
    assert!(old.begin(0, b"a"));
    old.own.file = file;
    assert!(old.begin(0, b"b"));
    assert!(!new.begin(0, b"a") && !new.begin(0, b"b"));
}

/// Guards against half a record, as a killed process leaves it.
#[test]
fn half_a_record_is_left_out_and_written_over() {
    let folder = folder();
    let mut old = journal(&folder, "0", "1");
    assert!(old.begin(0, b"a"));
    let half = [7; RECORD_BYTES / 2];
    old.own.file.write_all_at(&half, offset(old.own.next_sequence)).expect("the file can be written");
    drop(old);

    let (mut next, mut other) = (journal(&folder, "0", "1"), journal(&folder, "1", "0"));
    assert!(!next.begin(0, b"a") && next.begin(0, b"b"));
    assert!(!other.begin(0, b"a") && !other.begin(0, b"b"));
}

/// Guards against an id that begins at both processes because each looked before the other had recorded it.
#[test]
fn id_that_comes_to_both_processes_at_once_begins_at_one_at_most() {
    const IDS: u32 = 2_000;
    let folder = folder();
    let in_step = Barrier::new(2);
    let begun_at = |mut journal: RequestJournal| -> Vec<bool> {
        let begin = |id: u32| {
            in_step.wait();
            journal.begin(0, &id.to_le_bytes())
        };
        (0..IDS).map(begin).collect()
    };
    let (old, new) = (journal(&folder, "0", "1"), journal(&folder, "1", "0"));
    let (old, new) = thread::scope(|threads| {
        let other = threads.spawn(|| begun_at(new));
        (begun_at(old), other.join().expect("the thread ends"))
    });
    let at_both = old.iter().zip(&new).filter(|(old, new)| **old && **new).count();
    assert_eq!(at_both, 0, "of {IDS} ids");
}

//! Slots of the processes of one balancer, in a temporary folder.

use std::time::SystemTime;

use basaltwood::types::RingPosition;

use super::*;

fn acquire(folder: &Path) -> ProcessSlot {
    ProcessSlot::acquire(Some(folder), SocketAddr::from(([127, 0, 0, 1], 6379)))
}

#[test]
fn limit_share_with_two_processes_is_divided_and_a_third_uses_half() {
    let folder = std::env::temp_dir().join(format!("basaltwood-slots-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");

    let old = acquire(&folder);
    assert_eq!(old.limit_share(), LimitShare::Alone);

    let new = acquire(&folder);
    assert_eq!(new.limit_share(), LimitShare::Beginning);
    let earlier = old.started_at.checked_sub(SETTLING_TIME).expect("an earlier time");
    let old = ProcessSlot { started_at: earlier, ..old };
    assert_eq!(old.limit_share(), LimitShare::Half);
    assert_eq!(acquire(&folder).limit_share(), LimitShare::Half);

    drop(old);
    assert_eq!(new.limit_share(), LimitShare::Alone);

    assert_eq!(acquire(Path::new("/nonexistent")).limit_share(), LimitShare::Half);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    for whole in [32, 97, 384, 1024] {
        assert!(LimitShare::Alone.of(whole) + LimitShare::Beginning.of(whole) <= whole);
        assert!(2 * LimitShare::Half.of(whole) <= whole);
    }
}

/// Whether a successor uses the record of a predecessor that wrote it at `modified` by the wall
/// clock and is still running or not.
fn record_read_by_successor(modified: SystemTime, predecessor_is_running: bool) -> bool {
    let folder = tempfile::tempdir().expect("a folder");
    let address = SocketAddr::from(([127, 0, 0, 1], 6379));
    let predecessor = ProcessSlot::acquire(Some(folder.path()), address);
    let limit = LearnedLimit { position: RingPosition(7), limit: 3.0 };
    predecessor.write_record(&handover::encode(&[limit])).expect("a file");
    let record = folder.path().join(format!("basaltwood-{address}-learnt"));
    File::options().write(true).open(record).and_then(|file| file.set_modified(modified)).expect("a file");
    let running = predecessor_is_running.then_some(predecessor);
    let successor = ProcessSlot::acquire(Some(folder.path()), address);
    let read = successor.read_record().is_ok_and(|limits| !limits.is_empty());
    drop(running);
    read
}

/// The wall clock may be stepped between writing and reading a record. The record of a running
/// predecessor is current in any case; that of one that has ended, if its time is in the future,
/// may have any age.
#[test]
fn record_is_used_if_its_writer_is_running_or_it_is_recent_by_the_wall_clock() {
    let hour = Duration::from_secs(3_600);
    let now = SystemTime::now();
    let reads = [
        (now, true),
        (now, false),
        (now - hour, true),
        (now - hour, false),
        (now + hour, true),
        (now + hour, false),
    ];
    let reads = reads.map(|(modified, running)| record_read_by_successor(modified, running));
    assert_eq!(reads, [true, true, true, false, true, false]);
}

/// Two processes must not write the same unfinished file: neither those of one balancer, nor those
/// of balancers whose addresses differ only in the last part.
#[test]
fn unfinished_records_of_different_processes_have_different_names() {
    let folder = tempfile::tempdir().expect("a folder");
    let addresses = [([127, 0, 0, 1], 6379), ([127, 0, 0, 2], 6379)].map(SocketAddr::from);
    let slots = addresses.map(|address| [(); 2].map(|()| ProcessSlot::acquire(Some(folder.path()), address)));
    let mut names: Vec<PathBuf> = slots.iter().flatten().filter_map(ProcessSlot::unfinished_record).collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 4, "{names:?}");
}

/// If the other slot can't be checked for lack of a descriptor, the share stays as it was: a change
/// to half would close connections at a time at which none can be opened.
#[test]
fn failed_check_of_the_other_slot_leaves_the_share_unchanged() {
    let folder = tempfile::tempdir().expect("a folder");
    let slot = acquire(folder.path());
    assert_eq!(slot.limit_share(), LimitShare::Alone);
    let old = ProcessSlot { started_at: Instant::now() - SETTLING_TIME, ..slot };
    let missing = old.held.as_ref().map(|held| held.other.clone()).expect("a slot");
    std::fs::remove_file(&missing).expect("the file exists");
    // A folder in its place can't be opened for writing.
    std::fs::create_dir(&missing).expect("a folder");
    assert_eq!(old.limit_share(), LimitShare::Alone);
}

//! Slots of the processes of one balancer, in a folder of the test's own.

use std::time::SystemTime;

use basaltwood::types::RingPosition;

use super::*;

fn acquire(folder: &Path) -> ProcessSlot {
    ProcessSlot::acquire(Some(folder), SocketAddr::from(([127, 0, 0, 1], 6379)))
}

#[test]
fn limit_share_with_two_processes_is_divided_and_a_third_uses_half() {
    let folder = std::env::temp_dir().join(format!("basaltwood-seats-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");

    let old = acquire(&folder);
    assert_eq!(old.limit_share(), LimitShare::Alone);

    let new = acquire(&folder);
    assert_eq!(new.limit_share(), LimitShare::Beginning);
    let earlier = old.started_at.checked_sub(SETTLING_TIME).expect("some time has passed");
    let old = ProcessSlot { started_at: earlier, ..old };
    assert_eq!(old.limit_share(), LimitShare::Half);
    assert_eq!(acquire(&folder).limit_share(), LimitShare::Half);

    drop(old);
    assert_eq!(new.limit_share(), LimitShare::Alone);

    assert_eq!(acquire(Path::new("/nonexistent")).limit_share(), LimitShare::Half);
    std::fs::remove_dir_all(&folder).expect("it goes");
    for whole in [32, 97, 384, 1024] {
        assert!(LimitShare::Alone.of(whole) + LimitShare::Beginning.of(whole) <= whole);
        assert!(2 * LimitShare::Half.of(whole) <= whole);
    }
}

/// A second process of the balancer that recorded something, so long ago by the wall clock, and lives
/// or not.
fn record_read_by_successor(modified: SystemTime, predecessor_lives: bool) -> bool {
    let folder = tempfile::tempdir().expect("a folder");
    let address = SocketAddr::from(([127, 0, 0, 1], 6379));
    let predecessor = ProcessSlot::acquire(Some(folder.path()), address);
    let limit = LearnedLimit { position: RingPosition(7), limit: 3.0 };
    predecessor.write_record(&handover::encode(&[limit])).expect("a file");
    let record = folder.path().join(format!("basaltwood-{address}-learnt"));
    File::options().write(true).open(record).and_then(|file| file.set_modified(modified)).expect("a file");
    let lives = predecessor_lives.then_some(predecessor);
    let successor = ProcessSlot::acquire(Some(folder.path()), address);
    let read = successor.read_record().is_ok_and(|limits| !limits.is_empty());
    drop(lives);
    read
}

/// The wall clock may be stepped between the record and its reading: a predecessor that lives has just
/// written, and of one that died a record from the future is of no known age.
#[test]
fn record_is_fresh_by_its_writers_life_and_not_by_the_wall_clock_alone() {
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
    let reads = reads.map(|(modified, lives)| record_read_by_successor(modified, lives));
    assert_eq!(reads, [true, true, true, false, true, false]);
}

/// Records of balancers whose addresses differ in the last part alone, or of two processes of one
/// balancer, are written aside under different names.
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

/// What can't be known for want of a descriptor leaves the share as it was: a flip to half would close
/// connections in the very moment in which none can be opened.
#[test]
fn share_that_can_not_be_checked_for_the_moment_stays() {
    let folder = tempfile::tempdir().expect("a folder");
    let slot = acquire(folder.path());
    assert_eq!(slot.limit_share(), LimitShare::Alone);
    let old = ProcessSlot { started_at: Instant::now() - SETTLING_TIME, ..slot };
    let missing = old.held.as_ref().map(|held| held.other.clone()).expect("a slot");
    std::fs::remove_file(&missing).expect("it is there");
    // A folder in its place can't be opened for writing.
    std::fs::create_dir(&missing).expect("a folder");
    assert_eq!(old.limit_share(), LimitShare::Alone);
}

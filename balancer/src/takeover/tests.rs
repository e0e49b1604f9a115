//! Slots of the processes of one balancer, in a folder of the test's own.

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

//! Property tests of the ledger: no order of events exceeds a limit, and all that may be held at
//! once stays within the memory of the process.

use basaltwood_memory_ledger::{Connections, MemoryLedger, MemoryLimits, Pool, Purpose};
use proptest::prelude::*;

const MIB: usize = 1024 * 1024;

#[derive(Clone, Debug)]
enum Event {
    Hold { purpose: Purpose, bytes: usize, headroom: usize },
    Release { nth: usize },
    Move { nth: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let purpose = prop::sample::select(Purpose::EACH.to_vec());
    prop_oneof![
        4 => (purpose, 0..5 * MIB, prop_oneof![Just(0), 0..3 * MIB])
            .prop_map(|(purpose, bytes, headroom)| Event::Hold { purpose, bytes, headroom }),
        2 => any::<usize>().prop_map(|nth| Event::Release { nth }),
        1 => any::<usize>().prop_map(|nth| Event::Move { nth }),
    ]
}

fn connections(descriptors: usize, memory: usize, listed_hosts: usize) -> Connections {
    let most = descriptors.min(Connections::most_within(memory));
    Connections { clients: most / 2, to_hosts: most - most / 2, listed_hosts }
}

/// Another purpose of the same pool, if there is one.
fn sibling(purpose: Purpose) -> Purpose {
    let mut others = Purpose::EACH.into_iter().filter(|other| *other != purpose);
    others.find(|other| other.pool() == purpose.pool()).unwrap_or(purpose)
}

proptest! {
    #[test]
    fn no_order_of_events_exceeds_the_limits(
        events in prop::collection::vec(event(), 1..200),
        memory_mib in 8..256usize,
    ) {
        let limits = MemoryLimits::derive(memory_mib * MIB, connections(384, memory_mib * MIB, 20));
        let mut ledger = MemoryLedger::new(limits);
        let mut held: Vec<(Purpose, usize)> = Vec::new();
        for event in events {
            match event {
                Event::Hold { purpose, bytes, headroom } => {
                    if ledger.try_hold(purpose, bytes, headroom) {
                        held.push((purpose, bytes));
                    }
                }
                Event::Release { nth } if !held.is_empty() => {
                    let (purpose, bytes) = held.swap_remove(nth % held.len());
                    ledger.release(purpose, bytes);
                }
                Event::Move { nth } if !held.is_empty() => {
                    let nth = nth % held.len();
                    let (from, bytes) = held[nth];
                    ledger.move_to(from, sibling(from), bytes);
                    held[nth].0 = sibling(from);
                }
                Event::Release { .. } | Event::Move { .. } => {}
            }
            for pool in Pool::EACH {
                let own = held.iter().filter(|(purpose, _)| purpose.pool() == pool);
                let sum: usize = own.map(|(_, bytes)| bytes).sum();
                prop_assert_eq!(ledger.held_in(pool), sum);
                prop_assert!(sum <= limits.of(pool));
            }
        }
    }

    /// All pools full and all connections open: with an eighth for the allocator it fits.
    #[test]
    fn everything_at_once_stays_within_the_memory(
        memory_mib in 8..512usize,
        descriptors in 32..4_096usize,
        listed_hosts in 0..200usize,
    ) {
        let memory = memory_mib * MIB;
        let most = connections(descriptors, memory, listed_hosts);
        let limits = MemoryLimits::derive(memory, most);
        let granted: usize = Pool::EACH.into_iter().map(|pool| limits.of(pool)).sum();
        prop_assert!(limits.process() + most.bytes() + granted + granted / 8 <= memory);
    }
}

/// The longest value that clients may send, 4 MiB, has room from 16 MiB on.
#[test]
fn longest_value_fits_from_16_mib_on() {
    for (memory_mib, descriptors) in [(16, 56), (16, 1_024), (32, 256), (32, 1_024), (192, 1_024)] {
        let memory = memory_mib * MIB;
        let limits = MemoryLimits::derive(memory, connections(descriptors, memory, 20));
        let room = limits.of(Pool::RequestValues);
        assert!(room >= 4 * MIB, "{room} bytes of {memory_mib} MiB beside {descriptors} descriptors");
    }
}

#[test]
fn headroom_is_left_free() {
    let limits = MemoryLimits::derive(32 * MIB, connections(384, 32 * MIB, 20));
    let mut ledger = MemoryLedger::new(limits);
    let all = limits.of(Pool::Answers);
    assert!(!ledger.try_hold(Purpose::Responses, all, 1));
    assert!(ledger.try_hold(Purpose::Responses, all - 1, 1));
    assert!(ledger.try_hold(Purpose::Replies, 1, 0));
    assert_eq!(ledger.free(Pool::Answers), 0);
}

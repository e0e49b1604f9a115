//! Property tests of values that arrive in parts: their limit holds, and none can be stuck.

use basaltwood_memory_ledger::{IncomingValues, ValueId};
use proptest::prelude::*;

const KIB: usize = 1024;
const CAPACITY: usize = 10 * 1024 * KIB;
const SEGMENT: usize = 64 * KIB;

#[derive(Clone, Debug)]
enum Event {
    Begin { needed: usize },
    Arrives { nth: usize },
    Ends { nth: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let needed = prop_oneof![2 => 1..128 * KIB, 1 => 128 * KIB..4_096 * KIB];
    prop_oneof![
        2 => needed.prop_map(|needed| Event::Begin { needed }),
        8 => any::<usize>().prop_map(|nth| Event::Arrives { nth }),
        1 => any::<usize>().prop_map(|nth| Event::Ends { nth }),
    ]
}

/// A value with the memory that it holds.
struct Value {
    id: ValueId,
    needed: usize,
    held: usize,
}

/// Completes a value if it is granted the rest of its memory, segment by segment.
fn completes(values: &mut IncomingValues, value: &mut Value) -> bool {
    while value.held < value.needed {
        let total = value.needed.min(value.held + SEGMENT);
        if !values.try_hold(value.id, total, CAPACITY) {
            return false;
        }
        value.held = total;
    }
    true
}

proptest! {
    #[test]
    fn limit_holds_and_all_values_can_be_completed(events in prop::collection::vec(event(), 1..400)) {
        let mut values = IncomingValues::default();
        let mut open: Vec<Value> = Vec::new();
        for event in events {
            match event {
                Event::Begin { needed } => {
                    open.push(Value { id: values.begin(needed), needed, held: 0 });
                }
                Event::Arrives { nth } if !open.is_empty() => {
                    let nth = nth % open.len();
                    let value = &mut open[nth];
                    let total = value.needed.min(value.held + SEGMENT);
                    if values.try_hold(value.id, total, CAPACITY) {
                        value.held = total;
                    }
                }
                Event::Ends { nth } if !open.is_empty() => {
                    let ended = open.swap_remove(nth % open.len());
                    prop_assert_eq!(values.end(ended.id), ended.held);
                }
                Event::Arrives { .. } | Event::Ends { .. } => {}
            }
            prop_assert!(values.held() <= CAPACITY);
            prop_assert_eq!(values.held(), open.iter().map(|value| value.held).sum::<usize>());
        }
        // If no further value begins, some value can always be completed, and then ends.
        while !open.is_empty() {
            let done = open.iter_mut().position(|value| completes(&mut values, value));
            prop_assert!(done.is_some(), "{} values wait for each other", open.len());
            let ended = open.swap_remove(done.expect("checked above"));
            values.end(ended.id);
        }
    }
}

/// Guards against short values that wait for the memory of long ones whose clients are slow.
#[test]
fn long_values_leave_room_for_short_ones() {
    let mut values = IncomingValues::default();
    for _ in 0..20 {
        let id = values.begin(4_096 * KIB);
        (1..=64).for_each(|segments| {
            values.try_hold(id, segments * SEGMENT, CAPACITY);
        });
    }
    for _ in 0..20 {
        let id = values.begin(70 * KIB);
        assert!(values.try_hold(id, 70 * KIB, CAPACITY));
    }
}

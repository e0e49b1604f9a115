//! Numbers for texts, and those that were forgotten.

use basaltwood_settings::IdTable;

/// Whoever forgets says so again and again, also when the text has another number by then.
#[test]
fn a_text_that_came_back_under_another_number_keeps_it() {
    let mut names = IdTable::default();
    let (a, b) = (names.intern("a"), names.intern("b"));
    assert!(names.release(a) && names.release(b));
    let again = names.intern("a");
    assert_eq!(again, b, "the number that was forgotten last goes first");
    assert!(!names.release(a), "that number stands for nothing");
    assert_eq!(names.intern("a"), again);
    let others = [names.intern("c"), names.intern("d")];
    assert_eq!(others, [a, 2], "no number stands for two");
}

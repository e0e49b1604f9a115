//! Ids for names, and those that were released.

use basaltwood_settings::IdTable;

/// A caller may release an id again and again, also when the name has another id by then.
#[test]
fn name_with_a_new_id_keeps_it_when_its_former_id_is_released_again() {
    // Given
    let mut names = IdTable::default();
    let (a, b) = (names.intern("a"), names.intern("b"));
    assert!(names.release(a) && names.release(b));
    let new_id = names.intern("a");
    assert_eq!(new_id, b, "the id that was released last goes first");

    // When
    let was_in_use = names.release(a);

    // Then
    assert!(!was_in_use, "that id is free");
    assert_eq!(names.intern("a"), new_id);
    let others = [names.intern("c"), names.intern("d")];
    assert_eq!(others, [a, 2], "no id has two names");
}

//! Assignment, release and reuse of ids.

use basaltwood_settings::IdTable;

/// A caller may release an id more than once, even after its name has been assigned another id.
#[test]
fn second_release_of_a_former_id_leaves_the_new_id_of_its_name() {
    // Given
    let mut names = IdTable::default();
    let (a, b) = (names.intern("a"), names.intern("b"));
    assert!(names.release(a) && names.release(b));
    let new_id = names.intern("a");
    assert_eq!(new_id, b, "the most recently released id is reused first");

    // When
    let was_in_use = names.release(a);

    // Then
    assert!(!was_in_use, "the id was free already");
    assert_eq!(names.intern("a"), new_id);
    let others = [names.intern("c"), names.intern("d")];
    assert_eq!(others, [a, 2], "no id has two names");
}

//! The comparison of two arms.

use basaltwood_testbed::compare::interval;

#[test]
fn interval_of_four_values_is_that_of_the_textbook() {
    // t(3, 0.975) = 3.182; deviation 1.291, root of 4.
    let (mean, half) = interval(&[1.0, 2.0, 3.0, 4.0]);
    assert!((mean - 2.5).abs() < 1e-9 && (half.unwrap_or(0.0) - 2.054).abs() < 1e-3);
    assert_eq!(interval(&[1.0]), (1.0, None));
}

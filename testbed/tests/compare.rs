//! The comparison of two arms.

use basaltwood_testbed::compare::mean_and_half_interval;

#[test]
fn interval_of_four_values_matches_the_closed_form() {
    // t(3, 0.975) = 3.182 times the standard deviation 1.291 over the root of 4.
    let (mean, half) = mean_and_half_interval(&[1.0, 2.0, 3.0, 4.0]);
    assert!((mean - 2.5).abs() < 1e-9 && (half.unwrap_or(0.0) - 2.054).abs() < 1e-3);
    assert_eq!(mean_and_half_interval(&[1.0]), (1.0, None));
}

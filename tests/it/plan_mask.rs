//! The choice of accelerators inside a worker.

use landingvalve::plan::mask::choose;

#[test]
fn chooses_from_the_tightest_aligned_window() {
    let cases = [
        (0b1111_1111, 8, Some(0b1111_1111)),
        (0b1111_1111, 2, Some(0b0000_0011)),
        (0b1111_0011, 2, Some(0b0000_0011)),
        (0b1100_1111, 2, Some(0b1100_0000)),
        (0b0110_0000, 2, Some(0b0110_0000)),
        (0b0110_0001, 3, Some(0b0110_0001)),
        (0b0000_0001, 2, None),
        (0b0000_0001, 0, None),
    ];
    for (free, count, expected) in cases {
        assert_eq!(choose(free, count), expected, "{free:b} {count}");
    }
}

//! Ranges around extent boundaries.

use super::*;

#[test]
fn extent_ranges_cover_range_once_within_their_extents() {
    for offset in [0u64, 1, 7, 8, 15, 16, 23] {
        for length in [0u32, 1, 7, 8, 9, 17, 40] {
            let mut at = offset;
            for range in extent_ranges(offset, length, 8) {
                assert_eq!(range.extent * 8 + u64::from(range.offset), at);
                assert!(range.length > 0 && range.offset + range.length <= 8);
                at += u64::from(range.length);
            }
            assert_eq!(at, offset + u64::from(length));
        }
    }
}

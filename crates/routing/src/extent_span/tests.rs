//! Spans of ranges around the borders of extents.

use super::*;

#[test]
fn spans_cover_range_once_within_their_extents() {
    for offset in [0u64, 1, 7, 8, 15, 16, 23] {
        for length in [0u32, 1, 7, 8, 9, 17, 40] {
            let mut at = offset;
            for span in spans(offset, length, 8) {
                assert_eq!(span.extent * 8 + u64::from(span.offset), at);
                assert!(span.length > 0 && span.offset + span.length <= 8);
                at += u64::from(span.length);
            }
            assert_eq!(at, offset + u64::from(length));
        }
    }
}

//! A request's range cut at extent borders.

/// A stretch of one extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cut {
    pub extent: u64,
    /// Bytes within the extent.
    pub offset: u32,
    pub length: u32,
}

pub(crate) fn cuts(offset: u64, length: u32, extent_bytes: u32) -> impl Iterator<Item = Cut> {
    let (size, end) = (u64::from(extent_bytes), offset + u64::from(length));
    let mut at = offset;
    std::iter::from_fn(move || {
        let (extent, within) = (at / size, at % size);
        let length = (size - within).min(end - at);
        at += length;
        (length > 0).then_some(Cut { extent, offset: within as u32, length: length as u32 })
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cuts_cover_the_range_once_and_stay_in_their_extents() {
        for offset in [0u64, 1, 7, 8, 15, 16, 23] {
            for length in [0u32, 1, 7, 8, 9, 17, 40] {
                let mut at = offset;
                for cut in cuts(offset, length, 8) {
                    assert_eq!(cut.extent * 8 + u64::from(cut.offset), at);
                    assert!(cut.length > 0 && cut.offset + cut.length <= 8);
                    at += u64::from(cut.length);
                }
                assert_eq!(at, offset + u64::from(length));
            }
        }
    }
}

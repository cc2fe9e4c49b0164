//! Splits a request's range at extent boundaries.

/// A range within one extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExtentRange {
    /// Index of the extent in its volume.
    pub(crate) extent: u64,
    /// Offset in the extent, bytes.
    pub(crate) offset: u32,
    /// Length, bytes.
    pub(crate) length: u32,
}

/// Splits a range of a volume at the boundaries of its extents.
pub(crate) fn extent_ranges(
    offset: u64,
    length: u32,
    extent_bytes: u32,
) -> impl Iterator<Item = ExtentRange> {
    let (extent_size, end) = (u64::from(extent_bytes), offset + u64::from(length));
    let mut position = offset;
    std::iter::from_fn(move || {
        let (extent, offset_in_extent) = (position / extent_size, position % extent_size);
        let length = (extent_size - offset_in_extent).min(end - position);
        position += length;
        (length > 0).then_some(ExtentRange { extent, offset: offset_in_extent as u32, length: length as u32 })
    })
}

#[cfg(test)]
mod tests;

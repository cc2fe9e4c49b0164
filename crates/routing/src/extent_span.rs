//! A request's range, cut at the borders of extents.

/// A range within one extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExtentSpan {
    /// Index of the extent in its volume.
    pub(crate) extent: u64,
    /// Bytes from the extent's start.
    pub(crate) offset: u32,
    /// Bytes.
    pub(crate) length: u32,
}

/// Cuts a range of a volume at the borders of its extents.
pub(crate) fn spans(offset: u64, length: u32, extent_bytes: u32) -> impl Iterator<Item = ExtentSpan> {
    let (size, end) = (u64::from(extent_bytes), offset + u64::from(length));
    let mut at = offset;
    std::iter::from_fn(move || {
        let (extent, within) = (at / size, at % size);
        let length = (size - within).min(end - at);
        at += length;
        (length > 0).then_some(ExtentSpan { extent, offset: within as u32, length: length as u32 })
    })
}

#[cfg(test)]
mod tests;

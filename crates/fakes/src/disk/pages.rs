//! The pages of extents: reads and changes of byte ranges.

use std::ops::Range;

use bytes::BytesMut;
use umbertray_store_protocol::orders::PAGE_BYTES;
use umbertray_store_protocol::store::{Attempt, DataRange, OperationKind};

use super::InMemoryDisk;

pub(super) type Page = Box<[u8; PAGE_BYTES]>;

/// A part of a range that was read.
pub(crate) struct ReadPart {
    /// Offset within the extent, in bytes.
    pub(crate) offset: u32,
    pub(crate) content: Content,
}

/// Data, or a hole with its length in bytes.
pub(crate) enum Content {
    Data(BytesMut),
    Hole(u32),
}

impl InMemoryDisk {
    /// Writes the data of an attempt, or zeros its range.
    pub(super) fn change_pages(&mut self, attempt: &Attempt) {
        let pages = self.pages.entry((attempt.volume, attempt.extent)).or_default();
        for PageSlice { page, offset_in_page, bytes } in page_slices(attempt.offset, attempt.length) {
            let within = offset_in_page..offset_in_page + bytes.len();
            if attempt.kind == OperationKind::Write {
                let page = pages.entry(page).or_insert_with(|| Box::new([0; PAGE_BYTES]));
                page[within].copy_from_slice(&attempt.data[bytes]);
            } else if bytes.len() == PAGE_BYTES {
                pages.remove(&page);
            } else if let Some(page) = pages.get_mut(&page) {
                page[within].fill(0);
            }
        }
    }

    /// Reads a range. Adjacent data is merged into one part, and so are adjacent holes.
    pub(super) fn read(&self, attempt: &Attempt) -> Vec<ReadPart> {
        let pages = self.pages.get(&(attempt.volume, attempt.extent));
        let mut parts: Vec<ReadPart> = Vec::new();
        for PageSlice { page, offset_in_page, bytes } in page_slices(attempt.offset, attempt.length) {
            let offset = attempt.offset + bytes.start as u32;
            let length = bytes.len();
            let page = pages.and_then(|pages| pages.get(&page));
            let found = page.map(|page| &page[offset_in_page..offset_in_page + length]);
            match (found, parts.last_mut().map(|part| &mut part.content)) {
                (Some(data), Some(Content::Data(last))) => last.extend_from_slice(data),
                (None, Some(Content::Hole(last))) => *last += length as u32,
                (Some(data), _) => parts.push(ReadPart { offset, content: Content::Data(data.into()) }),
                (None, _) => parts.push(ReadPart { offset, content: Content::Hole(length as u32) }),
            }
        }
        parts
    }

    /// The parts of a range that hold data, and the holes between them.
    pub(super) fn data_ranges(&self, attempt: &Attempt) -> Vec<DataRange> {
        let data_range = |part: ReadPart| match part.content {
            Content::Data(data) => DataRange { length: data.len() as u32, has_data: true },
            Content::Hole(length) => DataRange { length, has_data: false },
        };
        self.read(attempt).into_iter().map(data_range).collect()
    }
}

/// The part of a range that lies in one page.
struct PageSlice {
    /// Number of the page within the extent.
    page: u32,
    /// Offset of the part within the page.
    offset_in_page: usize,
    /// Bytes of the range that the part covers.
    bytes: Range<usize>,
}

fn page_slices(offset: u32, length: u32) -> impl Iterator<Item = PageSlice> {
    let (offset, length) = (offset as usize, length as usize);
    let mut position = 0;
    std::iter::from_fn(move || {
        let offset_in_page = (offset + position) % PAGE_BYTES;
        let size = (PAGE_BYTES - offset_in_page).min(length - position);
        let page = ((offset + position) / PAGE_BYTES) as u32;
        let bytes = position..position + size;
        position += size;
        (size > 0).then_some(PageSlice { page, offset_in_page, bytes })
    })
}

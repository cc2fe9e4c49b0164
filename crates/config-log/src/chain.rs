//! A hash-chained log of opaque bodies, stored in segments of records.
//!
//! A segment file starts with a magic and a format version. Records in the format of state files
//! (`umbertray_snapshot::record`) follow: a header with the complete state at the segment's start, then an
//! entry for each body committed since, and markers that state up to which version the log is synced.
//!
//! Invariant: the hash of each entry covers the hash of the previous entry and its own body, so that an entry
//! that is omitted, edited or moved is detected.
//!
//! `format` defines [`LogFormat`] and the records, `reader` provides [`SegmentReader`] and [`read_segment`],
//! and `writer` provides [`HashChain`], the only writer.

mod format;
mod reader;
mod writer;

pub use format::{
    ChainError, CompletedChange, Corruption, Entry, FromEntry, LogFormat, LogRecord, SegmentHeader, VERSION,
};
pub use reader::{Segment, SegmentReader, read_segment, segments};
pub use umbertray_store_protocol::changes::{Hash, chain_hash};
pub use writer::{Checkpoint, HashChain, OpenedLog};

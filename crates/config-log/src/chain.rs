//! A hash-chained log of opaque bodies, in segments of records.
//!
//! A segment is a magic and version, then records as state files have them (`umbertray_snapshot::record`): a header with
//! the whole state at the segment's start, then the bodies since, then markers that say up to which version the log is
//! synced. Invariant: each body carries the hash of the one before it, its own bytes included, so that none can be left
//! out, edited or moved unnoticed.
//!
//! [`LogFormat`] and the records are in `format`, [`SegmentReader`] and [`read_segment`] in `reader`, and
//! [`HashChain`], the one writer, in `writer`.

mod format;
mod reader;
mod writer;

pub use format::{
    ChainError, CompletedChange, Corruption, Entry, FromEntry, LogFormat, LogRecord, SegmentHeader, VERSION,
};
pub use reader::{Segment, SegmentReader, read_segment, segments};
pub use umbertray_store_protocol::changes::{Hash, chain_hash};
pub use writer::{Checkpoint, HashChain, OpenedLog};

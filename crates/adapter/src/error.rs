//! What is wrong with the input, and where.

use std::fmt;

/// Why a frame's content cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub enum Malformed {
    /// The frame has fewer bytes than its header.
    ShorterThanHeader {
        /// Of the frame.
        bytes: usize,
    },
    /// The clock in the header is not a time.
    Clock(f64),
    /// The header tells of more records than the frame can hold.
    RecordCount {
        /// As the header has it.
        count: usize,
        /// Of the frame.
        bytes: usize,
    },
    /// A record refers to bytes that are not in the tail.
    OutsideTail {
        /// From the tail's start.
        offset: usize,
        /// As the record has it: in bytes, or in entries of a list.
        length: usize,
        /// Bytes of the tail.
        tail: usize,
    },
    /// Settings are not UTF-8.
    SettingsEncoding,
    /// The event code is not one of the wire's.
    UnknownEventCode(u8),
    /// A registry names a sheet that was not sent.
    UnknownSheet(u32),
    /// The scope of a registry is not one of the wire's.
    UnknownScope(u8),
    /// One record of the frame cannot be read.
    Record {
        /// Counted from 0.
        index: usize,
        /// What is wrong with it.
        error: Box<Malformed>,
    },
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ShorterThanHeader { bytes } => {
                write!(f, "frame of {bytes} bytes is shorter than its header")
            }
            Self::Clock(now) => write!(f, "clock {now} in the header"),
            Self::RecordCount { count, bytes } => {
                write!(f, "{count} records do not fit a frame of {bytes} bytes")
            }
            Self::OutsideTail { offset, length, tail } => {
                write!(f, "offset {offset}, length {length} lie outside the tail of {tail} bytes")
            }
            Self::SettingsEncoding => write!(f, "settings are not UTF-8"),
            Self::UnknownEventCode(code) => write!(f, "unknown event code {code}"),
            Self::UnknownSheet(page) => write!(f, "no sheet numbered {page}"),
            Self::UnknownScope(scope) => write!(f, "unknown scope {scope}"),
            Self::Record { index, error } => write!(f, "record {index}: {error}"),
        }
    }
}

impl std::error::Error for Malformed {}

/// Why a frame was not answered. I/O errors are kept as their text.
#[derive(Clone, Debug, PartialEq)]
pub enum FrameError {
    /// Reading failed.
    Read(String),
    /// The input ends inside the length field.
    EndsInLength,
    /// The input ends inside the frame.
    Truncated {
        /// Bytes that came.
        read: usize,
        /// Bytes that the length field tells of.
        size: u32,
    },
    /// The frame came whole and cannot be used.
    Malformed(Malformed),
}

impl From<Malformed> for FrameError {
    fn from(error: Malformed) -> Self {
        Self::Malformed(error)
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "input: {error}"),
            Self::EndsInLength => write!(f, "input ends inside the length field"),
            Self::Truncated { read, size } => write!(f, "input ends after {read} of {size} bytes"),
            Self::Malformed(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for FrameError {}

/// Why serving ended before the input did.
#[derive(Clone, Debug, PartialEq)]
pub enum ServeError {
    /// A frame was not answered.
    Frame {
        /// Counted from 0.
        number: u64,
        /// Why.
        error: FrameError,
    },
    /// Writing a reply failed, with the text of the I/O error.
    Write(String),
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Frame { number, error } => write!(f, "frame {number}: {error}"),
            Self::Write(error) => write!(f, "reply: {error}"),
        }
    }
}

impl std::error::Error for ServeError {}

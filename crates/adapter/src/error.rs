//! Errors in the input, with their position.

use std::fmt;

/// Why a frame is malformed.
#[derive(Clone, Debug, PartialEq)]
pub enum Malformed {
    /// The frame is shorter than its header.
    ShorterThanHeader {
        /// Size of the frame in bytes.
        bytes: usize,
    },
    /// The clock in the header is negative or not finite.
    Clock(f64),
    /// The header announces more records than fit into the frame.
    RecordCount {
        /// Number of records according to the header.
        count: usize,
        /// Size of the frame in bytes.
        bytes: usize,
    },
    /// A record refers to bytes outside the tail.
    OutsideTail {
        /// Offset in bytes from the start of the tail.
        offset: usize,
        /// Length according to the record, in bytes or in entries of a list.
        length: usize,
        /// Size of the tail in bytes.
        tail: usize,
    },
    /// The settings are not valid UTF-8.
    SettingsEncoding,
    /// The wire protocol does not define this event code.
    UnknownEventCode(u8),
    /// A registry record refers to a sheet that was not sent.
    UnknownSheet(u32),
    /// The wire protocol does not define this scope of a registry record.
    UnknownScope(u8),
    /// A record of the frame is malformed.
    Record {
        /// Index of the record, from 0.
        index: usize,
        /// The error in the record.
        error: Box<Malformed>,
    },
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ShorterThanHeader { bytes } => {
                write!(f, "frame of {bytes} bytes is shorter than its header")
            }
            Self::Clock(now) => {
                write!(f, "clock {now} in the header is not a finite, non-negative number of seconds")
            }
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

/// Why a frame could not be handled. I/O errors are kept as their text.
#[derive(Clone, Debug, PartialEq)]
pub enum FrameError {
    /// Reading the input failed.
    Read(String),
    /// The input ends inside the length field.
    EndsInLength,
    /// The input ends inside the frame.
    Truncated {
        /// Number of bytes that were read.
        read: usize,
        /// Size of the frame according to its length field.
        size: u32,
    },
    /// The frame was read completely but is malformed.
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
            Self::Read(error) => write!(f, "reading the input failed: {error}"),
            Self::EndsInLength => write!(f, "input ends inside the length field"),
            Self::Truncated { read, size } => write!(f, "input ends after {read} of {size} bytes"),
            Self::Malformed(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for FrameError {}

/// Why serving ended before the end of the input.
#[derive(Clone, Debug, PartialEq)]
pub enum ServeError {
    /// A frame could not be handled.
    Frame {
        /// Index of the frame, from 0.
        number: u64,
        /// The error in the frame.
        error: FrameError,
    },
    /// Writing a reply failed; holds the text of the I/O error.
    Write(String),
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Frame { number, error } => write!(f, "frame {number}: {error}"),
            Self::Write(error) => write!(f, "writing the reply failed: {error}"),
        }
    }
}

impl std::error::Error for ServeError {}

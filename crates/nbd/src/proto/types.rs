//! Data types: error numbers, commands, requests and exports.

use bytes::Bytes;

use super::constants::{CMD_FLAG_DF, CMD_FLAG_FUA, CMD_FLAG_NO_HOLE, CMD_FLAG_REQ_ONE};

/// An error number ("Error values").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errno {
    /// EPERM: not permitted.
    Perm,
    /// EIO: the operation failed.
    Io,
    /// ENOMEM: out of memory or capacity.
    NoMem,
    /// EINVAL: invalid request.
    Inval,
    /// ENOSPC: beyond the export's end, or no space left.
    NoSpc,
    /// EOVERFLOW: the result does not fit a chunk.
    Overflow,
    /// ENOTSUP: not supported.
    NotSup,
    /// ESHUTDOWN: the server is shutting down.
    Shutdown,
}

impl Errno {
    /// All errors that the specification lists.
    pub const ALL: [Errno; 8] = [
        Errno::Perm,
        Errno::Io,
        Errno::NoMem,
        Errno::Inval,
        Errno::NoSpc,
        Errno::Overflow,
        Errno::NotSup,
        Errno::Shutdown,
    ];

    /// The number on the wire.
    pub fn number(self) -> u32 {
        match self {
            Errno::Perm => 1,
            Errno::Io => 5,
            Errno::NoMem => 12,
            Errno::Inval => 22,
            Errno::NoSpc => 28,
            Errno::Overflow => 75,
            Errno::NotSup => 95,
            Errno::Shutdown => 108,
        }
    }

    /// The error with the given number. A number that the specification does not list is treated as EINVAL,
    /// as the specification requires of clients.
    pub fn from_number(number: u32) -> Errno {
        Errno::ALL.into_iter().find(|errno| errno.number() == number).unwrap_or(Errno::Inval)
    }
}

/// A command ("Request types").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Reads a range.
    Read,
    /// Writes a range.
    Write,
    /// Ends the session; it has no reply.
    Disc,
    /// Makes all completed writes durable.
    Flush,
    /// Declares that the data of a range need not be kept.
    Trim,
    /// Makes a range read as zeroes.
    WriteZeroes,
    /// Returns the extents of a range.
    BlockStatus,
}

impl Command {
    const ALL: [Command; 7] = [
        Command::Read,
        Command::Write,
        Command::Disc,
        Command::Flush,
        Command::Trim,
        Command::WriteZeroes,
        Command::BlockStatus,
    ];

    /// The number on the wire.
    pub fn number(self) -> u16 {
        match self {
            Command::Read => 0,
            Command::Write => 1,
            Command::Disc => 2,
            Command::Flush => 3,
            Command::Trim => 4,
            Command::WriteZeroes => 6,
            Command::BlockStatus => 7,
        }
    }

    /// The command with the given number, if the specification lists it.
    pub fn from_number(number: u16) -> Option<Command> {
        Command::ALL.into_iter().find(|command| command.number() == number)
    }

    /// The command flags that a client may set with the command.
    pub fn allowed_flags(self) -> u16 {
        match self {
            Command::Read => CMD_FLAG_DF,
            Command::Write | Command::Trim => CMD_FLAG_FUA,
            Command::WriteZeroes => CMD_FLAG_FUA | CMD_FLAG_NO_HOLE,
            Command::BlockStatus => CMD_FLAG_REQ_ONE,
            Command::Disc | Command::Flush => 0,
        }
    }

    /// Whether the command changes the export.
    pub fn modifies_export(self) -> bool {
        matches!(self, Command::Write | Command::Trim | Command::WriteZeroes)
    }
}

/// A request ("Request message").
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request in its reply.
    pub cookie: u64,
    /// The command.
    pub command: Command,
    /// Command flags.
    pub flags: u16,
    /// Start of the range: offset from the export's start, bytes.
    pub offset: u64,
    /// Length of the range, bytes.
    pub length: u32,
    /// The data of a write; otherwise empty.
    pub payload: Bytes,
}

/// Block sizes of an export, bytes ("Block size constraints").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockSizes {
    /// Offset and length of each request must be multiples of this size; a power of two.
    pub minimum: u32,
    /// The request size with the best performance; a power of two.
    pub preferred: u32,
    /// The maximum size of a payload.
    pub maximum: u32,
}

/// An export: a block device that a server offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Export {
    /// The export's name.
    pub name: String,
    /// A human-readable description.
    pub description: String,
    /// The export's size, bytes.
    pub size: u64,
    /// The transmission flags.
    pub flags: u16,
    /// The block sizes.
    pub block_sizes: BlockSizes,
}

/// An extent in a metadata context: a range whose bytes have the same state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// Length of the extent, bytes.
    pub length: u32,
    /// Flags defined by the context, such as [`STATE_HOLE`](super::STATE_HOLE).
    pub flags: u32,
}

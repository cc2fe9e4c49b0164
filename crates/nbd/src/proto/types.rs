//! Errors, commands, requests and exports.

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
    /// All numbers that the text lists.
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

    /// Its number on the wire.
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

    /// The error of a number; one that the text does not list counts as EINVAL, as it asks of clients.
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
    /// Makes all that was written before durable.
    Flush,
    /// Declares that a range need not be kept.
    Trim,
    /// Makes a range read as zeroes.
    WriteZeroes,
    /// Tells the extents of a range.
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

    /// Its number on the wire.
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

    /// The command of a number, if the text lists it.
    pub fn from_number(number: u16) -> Option<Command> {
        Command::ALL.into_iter().find(|command| command.number() == number)
    }

    /// Command flags that a client may set on it.
    pub fn allowed_flags(self) -> u16 {
        match self {
            Command::Read => CMD_FLAG_DF,
            Command::Write | Command::Trim => CMD_FLAG_FUA,
            Command::WriteZeroes => CMD_FLAG_FUA | CMD_FLAG_NO_HOLE,
            Command::BlockStatus => CMD_FLAG_REQ_ONE,
            Command::Disc | Command::Flush => 0,
        }
    }

    /// Whether it changes the export.
    pub fn writes(self) -> bool {
        matches!(self, Command::Write | Command::Trim | Command::WriteZeroes)
    }
}

/// A request ("Request message").
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the reply.
    pub cookie: u64,
    /// The command.
    pub command: Command,
    /// Command flags.
    pub flags: u16,
    /// Bytes from the export's start.
    pub offset: u64,
    /// Bytes.
    pub length: u32,
    /// A write's data.
    pub payload: Bytes,
}

/// Block sizes, bytes ("Block size constraints").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockSizes {
    /// Every range is a multiple of it; a power of two.
    pub minimum: u32,
    /// The range that is served best; a power of two.
    pub preferred: u32,
    /// The largest payload.
    pub maximum: u32,
}

/// An export.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Export {
    /// Its name.
    pub name: String,
    /// A description, for people.
    pub description: String,
    /// Bytes.
    pub size: u64,
    /// Transmission flags.
    pub flags: u16,
    /// Its block sizes.
    pub blocks: BlockSizes,
}

/// An extent of a metadata context.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// Bytes.
    pub length: u32,
    /// Flags of the context, as [`STATE_HOLE`](super::STATE_HOLE).
    pub flags: u32,
}

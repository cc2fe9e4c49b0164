//! Numbers and records of the protocol text ("Values", "Simple reply message", "Structured reply chunk message").

use bytes::{Buf, BufMut, Bytes, BytesMut};
use winnow::Parser;
use winnow::binary::{be_u16, be_u32, be_u64};

pub const NBDMAGIC: u64 = 0x4e42_444d_4147_4943;
pub const IHAVEOPT: u64 = 0x4948_4156_454f_5054;
pub const OPTION_REPLY: u64 = 0x0003_e889_0455_65a9;
pub const REQUEST_MAGIC: u32 = 0x2560_9513;
pub const SIMPLE_REPLY_MAGIC: u32 = 0x6744_6698;
pub const STRUCTURED_REPLY_MAGIC: u32 = 0x668e_33ef;

pub const FLAG_FIXED_NEWSTYLE: u16 = 1;
pub const FLAG_NO_ZEROES: u16 = 2;

/// Transmission flags.
pub const HAS_FLAGS: u16 = 1;
pub const SEND_FLUSH: u16 = 1 << 2;
pub const SEND_FUA: u16 = 1 << 3;
pub const SEND_TRIM: u16 = 1 << 5;
pub const SEND_WRITE_ZEROES: u16 = 1 << 6;
pub const SEND_DF: u16 = 1 << 7;
pub const CAN_MULTI_CONN: u16 = 1 << 8;

/// Command flags.
pub const CMD_FLAG_FUA: u16 = 1;
pub const CMD_FLAG_NO_HOLE: u16 = 1 << 1;
pub const CMD_FLAG_DF: u16 = 1 << 2;
pub const CMD_FLAG_REQ_ONE: u16 = 1 << 3;

pub const OPT_EXPORT_NAME: u32 = 1;
pub const OPT_ABORT: u32 = 2;
pub const OPT_LIST: u32 = 3;
pub const OPT_INFO: u32 = 6;
pub const OPT_GO: u32 = 7;
pub const OPT_STRUCTURED_REPLY: u32 = 8;
pub const OPT_LIST_META_CONTEXT: u32 = 9;
pub const OPT_SET_META_CONTEXT: u32 = 10;

pub const REP_ACK: u32 = 1;
pub const REP_SERVER: u32 = 2;
pub const REP_INFO: u32 = 3;
pub const REP_META_CONTEXT: u32 = 4;
pub const REP_ERR: u32 = 1 << 31;
pub const REP_ERR_UNSUP: u32 = REP_ERR | 1;
pub const REP_ERR_INVALID: u32 = REP_ERR | 3;
pub const REP_ERR_UNKNOWN: u32 = REP_ERR | 6;
pub const REP_ERR_SHUTDOWN: u32 = REP_ERR | 7;
pub const REP_ERR_TOO_BIG: u32 = REP_ERR | 9;

pub const INFO_EXPORT: u16 = 0;
pub const INFO_NAME: u16 = 1;
pub const INFO_DESCRIPTION: u16 = 2;
pub const INFO_BLOCK_SIZE: u16 = 3;

pub const CHUNK_DONE: u16 = 1;
pub const CHUNK_NONE: u16 = 0;
pub const CHUNK_OFFSET_DATA: u16 = 1;
pub const CHUNK_OFFSET_HOLE: u16 = 2;
pub const CHUNK_BLOCK_STATUS: u16 = 5;
pub const CHUNK_ERROR: u16 = 1 << 15 | 1;
pub const CHUNK_ERROR_OFFSET: u16 = 1 << 15 | 2;

pub const STATE_HOLE: u32 = 1;
pub const STATE_ZERO: u32 = 2;
pub const BASE_ALLOCATION: &str = "base:allocation";
/// The one metadata context there is has this id in each session that selected it.
pub const ALLOCATION_ID: u32 = 1;

/// The text's bound on strings ("Terminology").
pub const MAX_STRING: usize = 4096;

/// "Error values".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errno {
    Perm,
    Io,
    NoMem,
    Inval,
    NoSpc,
    Overflow,
    NotSup,
    Shutdown,
}

impl Errno {
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

    /// A number that the text does not list counts as EINVAL, as it asks of clients.
    pub fn from_number(number: u32) -> Errno {
        Errno::ALL.into_iter().find(|errno| errno.number() == number).unwrap_or(Errno::Inval)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    Read,
    Write,
    Disc,
    Flush,
    Trim,
    WriteZeroes,
    BlockStatus,
}

impl Command {
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

    pub fn from_number(number: u16) -> Option<Command> {
        use Command::*;
        [Read, Write, Disc, Flush, Trim, WriteZeroes, BlockStatus].into_iter().find(|c| c.number() == number)
    }

    /// Flags that a client may set on it.
    pub fn allowed_flags(self) -> u16 {
        match self {
            Command::Read => CMD_FLAG_DF,
            Command::Write | Command::Trim => CMD_FLAG_FUA,
            Command::WriteZeroes => CMD_FLAG_FUA | CMD_FLAG_NO_HOLE,
            Command::BlockStatus => CMD_FLAG_REQ_ONE,
            Command::Disc | Command::Flush => 0,
        }
    }

    pub fn writes(self) -> bool {
        matches!(self, Command::Write | Command::Trim | Command::WriteZeroes)
    }
}

/// "Request message"; the payload is a write's data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub cookie: u64,
    pub command: Command,
    pub flags: u16,
    /// Bytes from the export's start.
    pub offset: u64,
    /// Bytes.
    pub length: u32,
    pub payload: Bytes,
}

/// "Block size constraints": bytes, powers of two but for the largest payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockSizes {
    pub minimum: u32,
    pub preferred: u32,
    pub maximum: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Export {
    pub name: String,
    pub description: String,
    /// Bytes.
    pub size: u64,
    /// Transmission flags, all of them true.
    pub flags: u16,
    pub blocks: BlockSizes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    pub length: u32,
    pub flags: u32,
}

/// What one structured reply chunk says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    None,
    Data { offset: u64, data: Bytes },
    Hole { offset: u64, length: u32 },
    BlockStatus { context: u32, extents: Vec<Extent> },
    Error { errno: Errno, message: String, offset: Option<u64> },
}

pub(crate) struct RequestHeader {
    pub magic: u32,
    pub flags: u16,
    pub command: u16,
    pub cookie: u64,
    pub offset: u64,
    pub length: u32,
}

pub(crate) const REQUEST_HEADER: usize = 28;

pub(crate) fn request_header(bytes: &[u8; REQUEST_HEADER]) -> RequestHeader {
    let mut input = &bytes[..];
    let parsed: winnow::ModalResult<_> = (be_u32, be_u16, be_u16, be_u64, be_u64, be_u32)
        .map(|(magic, flags, command, cookie, offset, length)| RequestHeader {
            magic,
            flags,
            command,
            cookie,
            offset,
            length,
        })
        .parse_next(&mut input);
    parsed.expect("28 bytes hold a request header")
}

pub fn put_request(out: &mut BytesMut, request: &Request) {
    out.put_u32(REQUEST_MAGIC);
    out.put_u16(request.flags);
    out.put_u16(request.command.number());
    out.put_u64(request.cookie);
    out.put_u64(request.offset);
    out.put_u32(request.length);
    out.put_slice(&request.payload);
}

pub(crate) fn put_simple(out: &mut BytesMut, cookie: u64, error: u32) {
    out.put_u32(SIMPLE_REPLY_MAGIC);
    out.put_u32(error);
    out.put_u64(cookie);
}

/// Writes a chunk's header and fixed part; a data chunk's bytes are returned, to be sent after it uncopied.
pub(crate) fn put_chunk(out: &mut BytesMut, cookie: u64, chunk: Chunk, done: bool) -> Option<Bytes> {
    let mut head = |kind: u16, length: usize| {
        out.put_u32(STRUCTURED_REPLY_MAGIC);
        out.put_u16(if done { CHUNK_DONE } else { 0 });
        out.put_u16(kind);
        out.put_u64(cookie);
        out.put_u32(length as u32);
    };
    match chunk {
        Chunk::None => head(CHUNK_NONE, 0),
        Chunk::Data { offset, data } => {
            head(CHUNK_OFFSET_DATA, 8 + data.len());
            out.put_u64(offset);
            return Some(data);
        }
        Chunk::Hole { offset, length } => {
            head(CHUNK_OFFSET_HOLE, 12);
            out.put_u64(offset);
            out.put_u32(length);
        }
        Chunk::BlockStatus { context, extents } => {
            head(CHUNK_BLOCK_STATUS, 4 + 8 * extents.len());
            out.put_u32(context);
            for extent in extents {
                out.put_u32(extent.length);
                out.put_u32(extent.flags);
            }
        }
        Chunk::Error { errno, message, offset } => {
            let text = &message.as_bytes()[..message.len().min(MAX_STRING)];
            let kind = if offset.is_some() { CHUNK_ERROR_OFFSET } else { CHUNK_ERROR };
            head(kind, 6 + text.len() + if offset.is_some() { 8 } else { 0 });
            out.put_u32(errno.number());
            out.put_u16(text.len() as u16);
            out.put_slice(text);
            if let Some(offset) = offset {
                out.put_u64(offset);
            }
        }
    }
    None
}

/// Reads a chunk's payload, all of which is in `bytes`.
pub(crate) fn read_chunk(kind: u16, mut bytes: Bytes) -> Option<Chunk> {
    let mut input = &bytes[..];
    Some(match kind {
        CHUNK_NONE if bytes.is_empty() => Chunk::None,
        CHUNK_OFFSET_DATA if bytes.len() > 8 => {
            let offset = bytes.get_u64();
            Chunk::Data { offset, data: bytes }
        }
        CHUNK_OFFSET_HOLE if bytes.len() == 12 => {
            let (offset, length) = numbers(&mut input, (be_u64, be_u32))?;
            Chunk::Hole { offset, length }
        }
        CHUNK_BLOCK_STATUS if bytes.len() >= 12 && bytes.len() % 8 == 4 => {
            let context = numbers(&mut input, be_u32)?;
            let pairs = input.chunks_exact(8).map(|mut pair| numbers(&mut pair, (be_u32, be_u32)));
            let extents = pairs.map(|pair| pair.map(|(length, flags)| Extent { length, flags }));
            Chunk::BlockStatus { context, extents: extents.collect::<Option<_>>()? }
        }
        CHUNK_ERROR | CHUNK_ERROR_OFFSET => {
            let (errno, length) = numbers(&mut input, (be_u32, be_u16))?;
            let (text, mut rest) = input.split_at_checked(length.into())?;
            let offset = if kind == CHUNK_ERROR_OFFSET { Some(numbers(&mut rest, be_u64)?) } else { None };
            let message = String::from_utf8_lossy(text).into_owned();
            Chunk::Error { errno: Errno::from_number(errno), message, offset }
        }
        _ => return None,
    })
}

pub(crate) fn numbers<'a, T>(
    input: &mut &'a [u8],
    mut parser: impl Parser<&'a [u8], T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> Option<T> {
    parser.parse_next(input).ok()
}

//! Encoding and decoding of requests and replies ("Request message", "Simple reply message", "Structured
//! reply chunk message").

use bytes::{Buf, BufMut, Bytes, BytesMut};
use winnow::Parser;
use winnow::binary::{be_u16, be_u32, be_u64};

use super::constants::{
    CHUNK_BLOCK_STATUS, CHUNK_DONE, CHUNK_ERROR, CHUNK_ERROR_OFFSET, CHUNK_NONE, CHUNK_OFFSET_DATA,
    CHUNK_OFFSET_HOLE, MAX_STRING, REQUEST_MAGIC, SIMPLE_REPLY_MAGIC, STRUCTURED_REPLY_MAGIC,
};
use super::types::{Errno, Extent, Request};

/// The content of a structured reply chunk ("Structured reply chunk message").
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// No content: the end of a reply.
    None,
    /// Data of a read.
    Data {
        /// Offset of the data from the export's start, bytes.
        offset: u64,
        /// The data.
        data: Bytes,
    },
    /// A range of a read that consists of zeroes.
    Hole {
        /// Offset of the range from the export's start, bytes.
        offset: u64,
        /// Length of the range, bytes.
        length: u32,
    },
    /// Consecutive extents of a metadata context, from the start of the requested range.
    BlockStatus {
        /// The context's id.
        context: u32,
        /// The extents.
        extents: Vec<Extent>,
    },
    /// The request failed.
    Error {
        /// The error.
        errno: Errno,
        /// A human-readable message.
        message: String,
        /// The place of the failure, if known: offset from the export's start, bytes.
        offset: Option<u64>,
    },
}

/// The header of a request, as received; its fields are not validated.
pub(crate) struct RequestHeader {
    pub(crate) magic: u32,
    pub(crate) flags: u16,
    pub(crate) command: u16,
    pub(crate) cookie: u64,
    pub(crate) offset: u64,
    pub(crate) length: u32,
}

/// Size of a request's header, bytes.
pub(crate) const REQUEST_HEADER_BYTES: usize = 28;

pub(crate) fn read_request_header(bytes: &[u8; REQUEST_HEADER_BYTES]) -> RequestHeader {
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
    // Invariant: the fields have 28 bytes in total, and numbers of fixed size fail to parse only if bytes are
    // missing.
    parsed.expect("28 bytes hold a request header")
}

/// Writes a request with its payload.
pub fn put_request(out: &mut BytesMut, request: &Request) {
    out.put_u32(REQUEST_MAGIC);
    out.put_u16(request.flags);
    out.put_u16(request.command.number());
    out.put_u64(request.cookie);
    out.put_u64(request.offset);
    out.put_u32(request.length);
    out.put_slice(&request.payload);
}

/// Writes a simple reply; `error` 0 means success.
pub(crate) fn put_simple_reply(out: &mut BytesMut, cookie: u64, error: u32) {
    out.put_u32(SIMPLE_REPLY_MAGIC);
    out.put_u32(error);
    out.put_u64(cookie);
}

/// Writes a chunk, except the bytes of a data chunk. These are returned, so that the caller can send them
/// after the output without copying them.
pub(crate) fn put_chunk(out: &mut BytesMut, cookie: u64, chunk: Chunk, is_last: bool) -> Option<Bytes> {
    let mut put_header = |kind: u16, length: usize| {
        out.put_u32(STRUCTURED_REPLY_MAGIC);
        out.put_u16(if is_last { CHUNK_DONE } else { 0 });
        out.put_u16(kind);
        out.put_u64(cookie);
        out.put_u32(length as u32);
    };
    match chunk {
        Chunk::None => put_header(CHUNK_NONE, 0),
        Chunk::Data { offset, data } => {
            put_header(CHUNK_OFFSET_DATA, 8 + data.len());
            out.put_u64(offset);
            return Some(data);
        }
        Chunk::Hole { offset, length } => {
            put_header(CHUNK_OFFSET_HOLE, 12);
            out.put_u64(offset);
            out.put_u32(length);
        }
        Chunk::BlockStatus { context, extents } => {
            put_header(CHUNK_BLOCK_STATUS, 4 + 8 * extents.len());
            out.put_u32(context);
            for extent in extents {
                out.put_u32(extent.length);
                out.put_u32(extent.flags);
            }
        }
        Chunk::Error { errno, message, offset } => {
            let text = &message.as_bytes()[..message.len().min(MAX_STRING)];
            let kind = if offset.is_some() { CHUNK_ERROR_OFFSET } else { CHUNK_ERROR };
            put_header(kind, 6 + text.len() + if offset.is_some() { 8 } else { 0 });
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

/// Reads a chunk from its complete payload; `None` if the kind is unknown or the payload does not fit the
/// kind.
pub(crate) fn read_chunk(kind: u16, mut bytes: Bytes) -> Option<Chunk> {
    let mut input = &bytes[..];
    Some(match kind {
        CHUNK_NONE if bytes.is_empty() => Chunk::None,
        CHUNK_OFFSET_DATA if bytes.len() > 8 => {
            let offset = bytes.get_u64();
            Chunk::Data { offset, data: bytes }
        }
        CHUNK_OFFSET_HOLE if bytes.len() == 12 => {
            let (offset, length) = parse_numbers(&mut input, (be_u64, be_u32))?;
            Chunk::Hole { offset, length }
        }
        CHUNK_BLOCK_STATUS if bytes.len() >= 12 && bytes.len() % 8 == 4 => {
            let context = parse_numbers(&mut input, be_u32)?;
            let pairs = input.chunks_exact(8).map(|mut pair| parse_numbers(&mut pair, (be_u32, be_u32)));
            let extents = pairs.map(|pair| pair.map(|(length, flags)| Extent { length, flags }));
            let extents = extents.collect::<Option<Vec<Extent>>>()?;
            Chunk::BlockStatus { context, extents }
        }
        CHUNK_ERROR | CHUNK_ERROR_OFFSET => {
            let (errno, length) = parse_numbers(&mut input, (be_u32, be_u16))?;
            let (text, mut rest) = input.split_at_checked(length.into())?;
            let offset =
                if kind == CHUNK_ERROR_OFFSET { Some(parse_numbers(&mut rest, be_u64)?) } else { None };
            let message = String::from_utf8_lossy(text).into_owned();
            Chunk::Error { errno: Errno::from_number(errno), message, offset }
        }
        _ => return None,
    })
}

/// Reads numbers from the front of `input` and advances it past them; `None` if `input` is too short.
pub(crate) fn parse_numbers<'a, T>(
    input: &mut &'a [u8],
    mut parser: impl Parser<&'a [u8], T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> Option<T> {
    parser.parse_next(input).ok()
}

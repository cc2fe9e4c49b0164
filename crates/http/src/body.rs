//! Message bodies: framing (section 6) and the chunked transfer coding (section 7.1).

use bytes::{Buf, BytesMut};

use crate::Malformed;

/// Maximum length of a chunk size line with its extensions, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Maximum length of the trailer section, in bytes.
const MAX_TRAILER: usize = 4096;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The chunked transfer coding marks the end.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer(usize),
    UntilClose,
    Done,
}

/// Incremental decoder for one body.
#[derive(Debug)]
pub struct Decoder(State);

impl Decoder {
    /// Creates a decoder positioned at the start of a body.
    pub fn new(framing: Framing) -> Decoder {
        Decoder(match framing {
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Handles a connection close that was not a reset. Returns whether the close ends the body.
    pub(crate) fn on_close(&mut self) -> bool {
        let ends = self.0 == State::UntilClose;
        self.0 = if ends { State::Done } else { self.0 };
        ends
    }

    /// Number of bytes that are still missing if the length of the body is known, otherwise 0.
    pub(crate) fn known_remaining(&self) -> usize {
        match self.0 {
            State::Length(remaining) => usize::try_from(remaining).unwrap_or(usize::MAX),
            _ => 0,
        }
    }

    /// Maximum number of body bytes that `available` received bytes decode to.
    pub(crate) fn max_output(&self, available: usize) -> usize {
        match self.0 {
            State::Length(remaining) => available.min(usize::try_from(remaining).unwrap_or(usize::MAX)),
            _ => available,
        }
    }

    /// Moves the body bytes received so far from `bytes` to `body`. Returns true once the body is complete.
    ///
    /// # Errors
    /// A malformed chunk or trailer.
    pub fn decode(&mut self, bytes: &mut BytesMut, body: &mut BytesMut) -> Result<bool, Malformed> {
        loop {
            self.0 = match self.0 {
                State::Done | State::Length(0) => return Ok(true),
                State::Length(remaining) => match move_bytes(bytes, body, remaining) {
                    0 => return Ok(false),
                    count => State::Length(remaining - count),
                },
                State::UntilClose => {
                    body.unsplit(bytes.split());
                    return Ok(false);
                }
                State::ChunkSize => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        bytes.advance(used);
                        if size == 0 { State::Trailer(0) } else { State::ChunkData(size) }
                    }
                    Ok(httparse::Status::Partial) if bytes.len() <= MAX_CHUNK_LINE => return Ok(false),
                    _ => return Err(Malformed::Chunk),
                },
                State::ChunkData(0) => State::ChunkEnd,
                State::ChunkData(remaining) => match move_bytes(bytes, body, remaining) {
                    0 => return Ok(false),
                    count => State::ChunkData(remaining - count),
                },
                State::ChunkEnd if bytes.len() < 2 => return Ok(false),
                State::ChunkEnd if bytes.starts_with(b"\r\n") => {
                    bytes.advance(2);
                    State::ChunkSize
                }
                State::ChunkEnd => return Err(Malformed::Chunk),
                State::Trailer(trailer_bytes) => match consume_trailer_line(bytes, trailer_bytes)? {
                    Some(state) => state,
                    None => return Ok(false),
                },
            }
        }
    }
}

/// Removes one line of the trailer section from `bytes`; `trailer_bytes` is the length of the earlier lines.
/// Returns `None` until the line is complete.
fn consume_trailer_line(bytes: &mut BytesMut, trailer_bytes: usize) -> Result<Option<State>, Malformed> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() > MAX_TRAILER { Err(Malformed::Chunk) } else { Ok(None) };
    };
    let is_blank = bytes[..end].trim_ascii().is_empty();
    bytes.advance(end + 1);
    if is_blank {
        return Ok(Some(State::Done));
    }
    if trailer_bytes + end > MAX_TRAILER {
        return Err(Malformed::Chunk);
    }
    Ok(Some(State::Trailer(trailer_bytes + end)))
}

/// Moves up to `remaining` bytes and returns how many were moved.
fn move_bytes(bytes: &mut BytesMut, body: &mut BytesMut, remaining: u64) -> u64 {
    let count = bytes.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
    body.extend_from_slice(&bytes[..count]);
    bytes.advance(count);
    count as u64
}

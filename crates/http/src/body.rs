//! Bodies of messages: their framing (section 6) and the chunked coding (section 7.1).

use bytes::{Buf, BytesMut};

use crate::Malformed;

/// Longest line of a chunk's size with its extensions, bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Longest trailer section, bytes.
const MAX_TRAILER: usize = 4096;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// At the end of the connection.
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

/// Decodes one body as its bytes come.
#[derive(Debug)]
pub struct Decoder(State);

impl Decoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Decoder {
        Decoder(match framing {
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// The connection was closed without a reset; true if that ends the body.
    pub(crate) fn on_close(&mut self) -> bool {
        let ends = self.0 == State::UntilClose;
        self.0 = if ends { State::Done } else { self.0 };
        ends
    }

    /// How many bytes must still come, as far as is known.
    pub(crate) fn known_remaining(&self) -> usize {
        match self.0 {
            State::Length(remaining) | State::ChunkData(remaining) => {
                usize::try_from(remaining).unwrap_or(usize::MAX)
            }
            _ => 0,
        }
    }

    /// Moves what has come of the body from `bytes` to `body`; true once it is whole.
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
                State::Trailer(seen) => match take_trailer_line(bytes, seen)? {
                    Some(state) => state,
                    None => return Ok(false),
                },
            }
        }
    }
}

/// Takes a line of the trailer section off the bytes, `seen` bytes of which went before; nothing until the line is whole.
fn take_trailer_line(bytes: &mut BytesMut, seen: usize) -> Result<Option<State>, Malformed> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() > MAX_TRAILER { Err(Malformed::Chunk) } else { Ok(None) };
    };
    let is_blank = bytes[..end].trim_ascii().is_empty();
    bytes.advance(end + 1);
    if is_blank {
        return Ok(Some(State::Done));
    }
    if seen + end > MAX_TRAILER {
        return Err(Malformed::Chunk);
    }
    Ok(Some(State::Trailer(seen + end)))
}

/// Moves up to `remaining` bytes and returns how many.
fn move_bytes(bytes: &mut BytesMut, body: &mut BytesMut, remaining: u64) -> u64 {
    let count = bytes.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
    body.extend_from_slice(&bytes[..count]);
    bytes.advance(count);
    count as u64
}

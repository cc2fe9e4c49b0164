//! Bodies: where they end (section 6), and chunks (section 7.1).

use bytes::{Buf, BytesMut};

use crate::Malformed;

/// The longest line of a chunk's size with its extensions, and of all trailer fields.
const LONGEST_LINE: usize = 256;
const LONGEST_TRAILER: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// Up to the end of its connection.
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

/// Takes a body off the bytes as they come.
#[derive(Debug)]
pub struct Decoder(State);

impl Decoder {
    pub fn new(framing: Framing) -> Decoder {
        Decoder(match framing {
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// The connection has ended in good order; true if that ends the body. A reset does not.
    pub(crate) fn closed(&mut self) -> bool {
        let ends = self.0 == State::UntilClose;
        self.0 = if ends { State::Done } else { self.0 };
        ends
    }

    /// What is still to come for sure.
    pub(crate) fn left(&self) -> usize {
        match self.0 {
            State::Length(left) | State::ChunkData(left) => usize::try_from(left).unwrap_or(usize::MAX),
            _ => 0,
        }
    }

    /// Moves what there is of the body; true once it is whole.
    pub fn decode(&mut self, bytes: &mut BytesMut, body: &mut BytesMut) -> Result<bool, Malformed> {
        loop {
            self.0 = match self.0 {
                State::Done | State::Length(0) => return Ok(true),
                State::Length(left) => match moved(bytes, body, left) {
                    0 => return Ok(false),
                    n => State::Length(left - n),
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
                    Ok(httparse::Status::Partial) if bytes.len() <= LONGEST_LINE => return Ok(false),
                    _ => return Err(Malformed::Chunk),
                },
                State::ChunkData(0) => State::ChunkEnd,
                State::ChunkData(left) => match moved(bytes, body, left) {
                    0 => return Ok(false),
                    n => State::ChunkData(left - n),
                },
                State::ChunkEnd if bytes.len() < 2 => return Ok(false),
                State::ChunkEnd if bytes.starts_with(b"\r\n") => {
                    bytes.advance(2);
                    State::ChunkSize
                }
                State::ChunkEnd => return Err(Malformed::Chunk),
                State::Trailer(seen) => match bytes.iter().position(|byte| *byte == b'\n') {
                    Some(end) => {
                        let blank = bytes[..end].trim_ascii().is_empty();
                        bytes.advance(end + 1);
                        match blank {
                            true => State::Done,
                            false if seen + end > LONGEST_TRAILER => return Err(Malformed::Chunk),
                            false => State::Trailer(seen + end),
                        }
                    }
                    None if bytes.len() > LONGEST_TRAILER => return Err(Malformed::Chunk),
                    None => return Ok(false),
                },
            }
        }
    }
}

/// Moves up to `left` bytes and tells how many.
fn moved(bytes: &mut BytesMut, body: &mut BytesMut, left: u64) -> u64 {
    let n = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    body.extend_from_slice(&bytes[..n]);
    bytes.advance(n);
    n as u64
}

//! The store protocol as bytes, without I/O: between gateways and stores, with the endpoint list and the coordinator of the
//! map, and along relays of the log of changes. docs/store-protocol.md is its specification.
//!
//! A frame is a length (u32, of what follows), a kind (u8) and the kind's fields; numbers are big-endian.
//! [`next_frame`] removes frames from a buffer, [`Message::put`] writes them.

pub mod changes;
mod fields;
pub mod list;
pub mod orders;
pub mod store;

use bytes::{Buf, BufMut, Bytes, BytesMut};

pub use fields::FieldReader;

/// The version of the protocol; a peer of another is refused at its first frame.
pub const VERSION: u16 = 2;

/// The first bytes of a connection's first frame: "UMBT".
pub const MAGIC: u32 = 0x554d_4254;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Bytes of a frame, at most: an extent in pages, each with its number, and the fields.
pub const MAX_FRAME: u32 = (32 << 20) + (64 << 10);

/// Why a peer's bytes are not a frame; the connection cannot go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The length is over the bound of this direction.
    #[error("a frame of {length} bytes, over the bound of {max}")]
    TooLong {
        /// Its length, bytes.
        length: u32,
        /// The bound of its direction, bytes.
        max: u32,
    },
    /// There is not even a kind.
    #[error("an empty frame")]
    Empty,
    /// The kind is not one of this direction.
    #[error("unknown kind {0} of frame")]
    Kind(u8),
    /// The frame ends before its fields.
    #[error("frame of kind {kind} ends inside its fields")]
    Truncated {
        /// Its kind.
        kind: u8,
    },
    /// Bytes follow the frame's fields.
    #[error("frame of kind {kind}: {left} bytes after its fields")]
    Trailing {
        /// Its kind.
        kind: u8,
        /// Number of the bytes.
        left: usize,
    },
    /// A field's value is out of range.
    #[error("frame of kind {kind}: field {field} holds {value}")]
    Value {
        /// The frame's kind.
        kind: u8,
        /// The field.
        field: &'static str,
        /// Its value; of a text or list its length, of a fraction its bits.
        value: u64,
    },
    /// The peer speaks another protocol or version.
    #[error("peer speaks magic {magic:#x} version {version}, not version {VERSION} of this wire")]
    Version {
        /// The peer's magic number.
        magic: u32,
        /// The peer's version.
        version: u16,
    },
}

/// A frame of one direction of a connection.
pub trait Message: Sized {
    /// Bytes of a frame of this direction, at most.
    const MAX_LENGTH: u32 = MAX_FRAME;

    /// The kind's code on the wire.
    fn kind(&self) -> u8;

    /// Writes the fields but for the payload.
    fn put_fields(&self, out: &mut BytesMut);

    /// Reads the fields of a frame.
    ///
    /// # Errors
    /// The kind is not one of this direction, or a field is truncated or out of range.
    fn read(kind: u8, fields: &mut FieldReader) -> Result<Self, Malformed>;

    /// Bytes at the frame's end, which are sent uncopied.
    fn payload(&self) -> Option<&Bytes> {
        None
    }

    /// Writes the frame but for its payload.
    fn put(&self, out: &mut BytesMut) {
        let start = out.len();
        out.put_u32(0);
        out.put_u8(self.kind());
        self.put_fields(out);
        let length = out.len() - start - LENGTH_BYTES + self.payload().map_or(0, Bytes::len);
        out[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    }

    /// The whole frame in one buffer.
    fn frame(&self) -> Bytes {
        let mut out = BytesMut::new();
        self.put(&mut out);
        if let Some(payload) = self.payload() {
            out.put_slice(payload);
        }
        out.freeze()
    }
}

/// Removes the next whole frame from `input`, if there is one.
///
/// # Errors
/// The bytes are not a frame of this direction; the connection cannot go on.
pub fn next_frame<M: Message>(input: &mut BytesMut) -> Result<Option<M>, Malformed> {
    let Some(mut head) = input.get(..LENGTH_BYTES) else { return Ok(None) };
    let length = head.get_u32();
    if length == 0 {
        return Err(Malformed::Empty);
    }
    if length > M::MAX_LENGTH {
        return Err(Malformed::TooLong { length, max: M::MAX_LENGTH });
    }
    if input.len() < LENGTH_BYTES + length as usize {
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    let mut body = input.split_to(length as usize).freeze();
    let kind = body.get_u8();
    let mut fields = FieldReader::new(kind, body);
    let message = M::read(kind, &mut fields)?;
    match fields.remaining() {
        0 => Ok(Some(message)),
        left => Err(Malformed::Trailing { kind, left }),
    }
}

/// A volume's id, the same in every process and version: FNV-1a (64 bit) of its name.
pub fn volume_id(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

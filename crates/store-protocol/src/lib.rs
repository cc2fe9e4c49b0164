//! Encoding and decoding of the store protocol, without I/O. Gateways use it with stores, the list service
//! and the coordinator, and the coordinator uses it with stores and the list service. Relays carry the change
//! log in frames of the same form. docs/store-protocol.md is the specification.
//!
//! A frame is a length (u32: the number of bytes that follow it), a kind (u8) and the kind's fields; numbers
//! are big-endian. [`next_frame`] removes a frame from a buffer, [`Message::put`] writes one.

pub mod changes;
mod fields;
pub mod list;
pub mod orders;
pub mod store;

use bytes::{Buf, BufMut, Bytes, BytesMut};

pub use fields::FieldReader;

/// The version of the protocol; a peer with another version is rejected at its first frame.
pub const VERSION: u16 = 2;

/// The magic number in a connection's first frame: "UMBT".
pub const MAGIC: u32 = 0x554d_4254;

/// Size of a frame's length field, bytes.
const LENGTH_BYTES: usize = 4;

/// Maximum length of a frame, bytes: the pages of an extent, each with its number, and the other fields.
pub const MAX_FRAME: u32 = (32 << 20) + (64 << 10);

/// Why a peer's bytes are not a valid frame; the connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is over the bound of this direction.
    #[error("frame of {length} bytes is over the bound of {max} bytes")]
    TooLong {
        /// The length in the frame's header, bytes.
        length: u32,
        /// Maximum length in this direction, bytes.
        max: u32,
    },
    /// The length is 0, so the frame has no kind.
    #[error("empty frame without a kind")]
    Empty,
    /// This direction has no frames of this kind.
    #[error("unknown kind {0} of frame")]
    UnknownKind(u8),
    /// The frame ends before its fields.
    #[error("frame of kind {kind} ends inside its fields")]
    Truncated {
        /// The frame's kind.
        kind: u8,
    },
    /// The frame has more bytes than its fields.
    #[error("frame of kind {kind} has {extra_bytes} bytes after its fields")]
    TrailingBytes {
        /// The frame's kind.
        kind: u8,
        /// Number of extra bytes.
        extra_bytes: usize,
    },
    /// A field's value is out of range.
    #[error("frame of kind {kind}: field {field} has the invalid value {value}")]
    InvalidValue {
        /// The frame's kind.
        kind: u8,
        /// The field's name.
        field: &'static str,
        /// The field's value: the number, the length of a text or a list, or the bits of a floating-point
        /// number.
        value: u64,
    },
    /// The peer uses another protocol or version.
    #[error(
        "peer sent magic {magic:#x} and protocol version {version}; \
         expected magic {MAGIC:#x} and version {VERSION}"
    )]
    VersionMismatch {
        /// The peer's magic number.
        magic: u32,
        /// The peer's version.
        version: u16,
    },
}

/// The frames of one direction of a connection.
pub trait Message: Sized {
    /// Maximum length of a frame in this direction, bytes.
    const MAX_LENGTH: u32 = MAX_FRAME;

    /// The kind's code on the wire.
    fn kind(&self) -> u8;

    /// Writes the fields, except the payload.
    fn put_fields(&self, out: &mut BytesMut);

    /// Reads the fields of a frame of the given kind.
    ///
    /// # Errors
    /// This direction has no such kind, or a field is truncated or out of range.
    fn read(kind: u8, fields: &mut FieldReader) -> Result<Self, FrameError>;

    /// The bytes at the frame's end, which the caller can send without copying them.
    fn payload(&self) -> Option<&Bytes> {
        None
    }

    /// Writes the frame, except its payload.
    fn put(&self, out: &mut BytesMut) {
        let start = out.len();
        out.put_u32(0);
        out.put_u8(self.kind());
        self.put_fields(out);
        let length = out.len() - start - LENGTH_BYTES + self.payload().map_or(0, Bytes::len);
        out[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    }

    /// The complete frame, with its payload, in one buffer.
    fn frame(&self) -> Bytes {
        let mut out = BytesMut::new();
        self.put(&mut out);
        if let Some(payload) = self.payload() {
            out.put_slice(payload);
        }
        out.freeze()
    }
}

/// Removes the next frame from `input`, if it is complete.
///
/// # Errors
/// The bytes are not a valid frame of this direction; the connection must be closed.
pub fn next_frame<M: Message>(input: &mut BytesMut) -> Result<Option<M>, FrameError> {
    let Some(mut length_bytes) = input.get(..LENGTH_BYTES) else { return Ok(None) };
    let length = length_bytes.get_u32();
    if length == 0 {
        return Err(FrameError::Empty);
    }
    if length > M::MAX_LENGTH {
        return Err(FrameError::TooLong { length, max: M::MAX_LENGTH });
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
        extra_bytes => Err(FrameError::TrailingBytes { kind, extra_bytes }),
    }
}

/// A volume's id: the 64-bit FNV-1a hash of its name, the same in every process and version.
pub fn volume_id(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

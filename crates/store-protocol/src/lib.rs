//! The wire between gateways and stores, and that of the list and directory service. docs/store-protocol.md is its page.
//!
//! A frame is a length (u32, of what follows), a kind (u8) and the kind's fields; numbers are big-endian. Nothing
//! here opens a socket: [`next_frame`] takes frames off a buffer, [`Message::put`] writes them.

pub mod changes;
mod fields;
pub mod list;
pub mod orders;
pub mod store;

use bytes::{Buf, BufMut, Bytes, BytesMut};

pub use fields::Reader;

/// The version that this text speaks; a peer of another is refused at the first frame.
pub const VERSION: u16 = 2;

/// The first bytes of a connection: "UMBT".
pub const MAGIC: u32 = 0x554d_4254;

/// No frame is longer: an extent's bytes in pages, each with its number, and room for the fields.
pub const MAX_FRAME: u32 = (32 << 20) + (64 << 10);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    #[error("a frame of {length} bytes, over the bound of {max}")]
    TooLong { length: u32, max: u32 },
    #[error("an empty frame")]
    Empty,
    #[error("unknown kind {0} of frame")]
    Kind(u8),
    #[error("frame of kind {kind} ends inside its fields")]
    Truncated { kind: u8 },
    #[error("frame of kind {kind}: {left} bytes after its fields")]
    Trailing { kind: u8, left: usize },
    #[error("frame of kind {kind}: field {field} holds {value}")]
    Value { kind: u8, field: &'static str, value: u64 },
    #[error("peer speaks magic {magic:#x} version {version}, not version {VERSION} of this wire")]
    Version { magic: u32, version: u16 },
}

/// A message of one direction of a connection.
pub trait Message: Sized {
    /// No frame of this direction is longer, bytes.
    const MAX_LENGTH: u32 = MAX_FRAME;

    fn kind(&self) -> u8;
    fn put_fields(&self, out: &mut BytesMut);
    fn read(kind: u8, fields: &mut Reader) -> Result<Self, Malformed>;

    /// Bytes that belong at the frame's end and are sent uncopied.
    fn payload(&self) -> Option<&Bytes> {
        None
    }

    /// Writes the frame but for its tail.
    fn put(&self, out: &mut BytesMut) {
        let at = out.len();
        out.put_u32(0);
        out.put_u8(self.kind());
        self.put_fields(out);
        let length = out.len() - at - 4 + self.payload().map_or(0, Bytes::len);
        out[at..at + 4].copy_from_slice(&(length as u32).to_be_bytes());
    }

    /// The whole frame in one buffer.
    fn frame(&self) -> Bytes {
        let mut out = BytesMut::new();
        self.put(&mut out);
        if let Some(tail) = self.payload() {
            out.put_slice(tail);
        }
        out.freeze()
    }
}

/// Takes the next whole message off `input`, if there is one.
pub fn next_frame<M: Message>(input: &mut BytesMut) -> Result<Option<M>, Malformed> {
    let Some(mut head) = input.get(..4) else { return Ok(None) };
    let length = head.get_u32();
    match length {
        0 => return Err(Malformed::Empty),
        _ if length <= M::MAX_LENGTH => {}
        _ => return Err(Malformed::TooLong { length, max: M::MAX_LENGTH }),
    }
    if input.len() < 4 + length as usize {
        return Ok(None);
    }
    input.advance(4);
    let mut body = input.split_to(length as usize).freeze();
    let kind = body.get_u8();
    let mut fields = Reader::new(kind, body);
    let message = M::read(kind, &mut fields)?;
    match fields.left() {
        0 => Ok(Some(message)),
        left => Err(Malformed::Trailing { kind, left }),
    }
}

/// A length (u16) and so many bytes of UTF-8.
fn put_text(out: &mut BytesMut, text: &str) {
    out.put_u16(text.len() as u16);
    out.put_slice(text.as_bytes());
}

/// A volume's lasting id, the same in every process and version: FNV-1a of its name.
pub fn volume_id(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

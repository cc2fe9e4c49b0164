//! Reading and writing a frame's fields. Numbers are big-endian; docs/store-protocol.md has the types.

use bytes::{BufMut, Bytes, BytesMut};
use winnow::ModalResult;
use winnow::binary::{be_f64, be_u8, be_u16, be_u32, be_u64};

use crate::{MAGIC, Malformed, VERSION};

/// The fields of a frame that are not yet read.
pub struct FieldReader {
    kind: u8,
    body: Bytes,
}

impl FieldReader {
    pub(crate) fn new(kind: u8, body: Bytes) -> FieldReader {
        FieldReader { kind, body }
    }

    /// Number of bytes that are not yet read.
    pub(crate) fn remaining(&self) -> usize {
        self.body.len()
    }

    /// A field that `parser` reads.
    fn number<T>(&mut self, parser: impl Fn(&mut &[u8]) -> ModalResult<T>) -> Result<T, Malformed> {
        let mut input = &self.body[..];
        let read = parser(&mut input).map_err(|_| Malformed::Truncated { kind: self.kind })?;
        let used = self.body.len() - input.len();
        self.body = self.body.slice(used..);
        Ok(read)
    }

    /// A number of 8 bits.
    pub(crate) fn u8(&mut self) -> Result<u8, Malformed> {
        self.number(|input| be_u8(input))
    }

    /// A number of 16 bits.
    pub(crate) fn u16(&mut self) -> Result<u16, Malformed> {
        self.number(|input| be_u16(input))
    }

    /// A number of 32 bits.
    pub(crate) fn u32(&mut self) -> Result<u32, Malformed> {
        self.number(|input| be_u32(input))
    }

    /// A number of 64 bits.
    pub(crate) fn u64(&mut self) -> Result<u64, Malformed> {
        self.number(|input| be_u64(input))
    }

    /// A finite number not below 0.
    pub(crate) fn amount(&mut self, field: &'static str) -> Result<f64, Malformed> {
        let value = self.number(|input| be_f64(input))?;
        if value.is_finite() && value >= 0.0 { Ok(value) } else { Err(self.invalid(field, value.to_bits())) }
    }

    /// A field that may be absent: a byte 0, or 1 and the field.
    pub(crate) fn option<T>(
        &mut self,
        read: impl FnOnce(&mut FieldReader) -> Result<T, Malformed>,
    ) -> Result<Option<T>, Malformed> {
        match self.u8()? {
            0 => Ok(None),
            1 => read(self).map(Some),
            other => Err(self.invalid("presence", other.into())),
        }
    }

    /// A count (u16) and so many items.
    pub(crate) fn list<T>(
        &mut self,
        mut read: impl FnMut(&mut FieldReader) -> Result<T, Malformed>,
    ) -> Result<Vec<T>, Malformed> {
        let count = self.u16()?;
        (0..count).map(|_| read(self)).collect()
    }

    /// A length (u16) and so many bytes of UTF-8.
    pub(crate) fn text(&mut self) -> Result<String, Malformed> {
        let length = usize::from(self.u16()?);
        if self.body.len() < length {
            return Err(Malformed::Truncated { kind: self.kind });
        }
        let text = self.body.split_to(length);
        String::from_utf8(text.to_vec()).map_err(|_| self.invalid("text", length as u64))
    }

    /// Exactly `length` bytes.
    pub(crate) fn bytes(&mut self, length: usize) -> Result<Bytes, Malformed> {
        if self.body.len() < length {
            return Err(Malformed::Truncated { kind: self.kind });
        }
        Ok(self.body.split_to(length))
    }

    /// All bytes that are not yet read.
    pub(crate) fn rest(&mut self) -> Bytes {
        std::mem::take(&mut self.body)
    }

    /// The error of a field with a value that is out of range.
    pub(crate) fn invalid(&self, field: &'static str, value: u64) -> Malformed {
        Malformed::Value { kind: self.kind, field, value }
    }

    /// The error of a frame of unknown kind.
    pub(crate) fn unknown_kind(&self) -> Malformed {
        Malformed::Kind(self.kind)
    }

    /// The beginning of a connection's first frame: magic and version, which must be this program's.
    pub(crate) fn opening(&mut self) -> Result<(), Malformed> {
        let magic = self.u32()?;
        let version = self.u16()?;
        if magic == MAGIC && version == VERSION { Ok(()) } else { Err(Malformed::Version { magic, version }) }
    }
}

/// Writes the beginning of a connection's first frame.
pub(crate) fn put_opening(out: &mut BytesMut) {
    out.put_u32(MAGIC);
    out.put_u16(VERSION);
}

/// Writes a length (u16) and as many bytes of UTF-8.
pub(crate) fn put_text(out: &mut BytesMut, text: &str) {
    out.put_u16(text.len() as u16);
    out.put_slice(text.as_bytes());
}

/// Writes a field that may be absent: a byte 0, or 1 and the field.
pub(crate) fn put_option<T>(out: &mut BytesMut, value: Option<&T>, put: impl FnOnce(&mut BytesMut, &T)) {
    out.put_u8(value.is_some().into());
    if let Some(value) = value {
        put(out, value);
    }
}

/// Writes a count (u16) and the items.
pub(crate) fn put_list<T>(out: &mut BytesMut, items: &[T], mut put: impl FnMut(&mut BytesMut, &T)) {
    out.put_u16(items.len() as u16);
    items.iter().for_each(|item| put(out, item));
}

/// Writes numbers one after the other.
pub(crate) fn put_numbers<const N: usize>(out: &mut BytesMut, numbers: [u64; N]) {
    numbers.into_iter().for_each(|number| out.put_u64(number));
}

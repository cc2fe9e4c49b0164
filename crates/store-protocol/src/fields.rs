//! Reads and writes the fields of frames. Numbers are big-endian; docs/store-protocol.md describes the field
//! types.

use bytes::{BufMut, Bytes, BytesMut};
use winnow::ModalResult;
use winnow::binary::{be_f64, be_u8, be_u16, be_u32, be_u64};

use crate::{FrameError, MAGIC, VERSION};

/// Reads the fields of a frame in order.
pub struct FieldReader {
    kind: u8,
    /// The bytes that are not yet read.
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

    /// Reads a field with `parser`.
    fn parse<T>(&mut self, parser: impl Fn(&mut &[u8]) -> ModalResult<T>) -> Result<T, FrameError> {
        let mut input = &self.body[..];
        let value = parser(&mut input).map_err(|_| FrameError::Truncated { kind: self.kind })?;
        let length = self.body.len() - input.len();
        self.body = self.body.slice(length..);
        Ok(value)
    }

    /// Reads an 8-bit number.
    pub(crate) fn u8(&mut self) -> Result<u8, FrameError> {
        self.parse(|input| be_u8(input))
    }

    /// Reads a 16-bit number.
    pub(crate) fn u16(&mut self) -> Result<u16, FrameError> {
        self.parse(|input| be_u16(input))
    }

    /// Reads a 32-bit number.
    pub(crate) fn u32(&mut self) -> Result<u32, FrameError> {
        self.parse(|input| be_u32(input))
    }

    /// Reads a 64-bit number.
    pub(crate) fn u64(&mut self) -> Result<u64, FrameError> {
        self.parse(|input| be_u64(input))
    }

    /// Reads a floating-point number, which must be finite and at least 0.
    pub(crate) fn non_negative_f64(&mut self, field: &'static str) -> Result<f64, FrameError> {
        let value = self.parse(|input| be_f64(input))?;
        if value.is_finite() && value >= 0.0 { Ok(value) } else { Err(self.invalid(field, value.to_bits())) }
    }

    /// Reads an optional field: the byte 0 if it is absent, or the byte 1 and the field.
    pub(crate) fn option<T>(
        &mut self,
        read: impl FnOnce(&mut FieldReader) -> Result<T, FrameError>,
    ) -> Result<Option<T>, FrameError> {
        match self.u8()? {
            0 => Ok(None),
            1 => read(self).map(Some),
            other => Err(self.invalid("presence", other.into())),
        }
    }

    /// Reads a list: a count (u16) and that many items.
    pub(crate) fn list<T>(
        &mut self,
        mut read: impl FnMut(&mut FieldReader) -> Result<T, FrameError>,
    ) -> Result<Vec<T>, FrameError> {
        let count = self.u16()?;
        (0..count).map(|_| read(self)).collect()
    }

    /// Reads a text: a length (u16) and that many bytes of UTF-8.
    pub(crate) fn text(&mut self) -> Result<String, FrameError> {
        let length = usize::from(self.u16()?);
        if self.body.len() < length {
            return Err(FrameError::Truncated { kind: self.kind });
        }
        let text = self.body.split_to(length);
        String::from_utf8(text.to_vec()).map_err(|_| self.invalid("text", length as u64))
    }

    /// Reads exactly `length` bytes.
    pub(crate) fn bytes(&mut self, length: usize) -> Result<Bytes, FrameError> {
        if self.body.len() < length {
            return Err(FrameError::Truncated { kind: self.kind });
        }
        Ok(self.body.split_to(length))
    }

    /// Reads all remaining bytes.
    pub(crate) fn rest(&mut self) -> Bytes {
        std::mem::take(&mut self.body)
    }

    /// The error for a field whose value is out of range.
    pub(crate) fn invalid(&self, field: &'static str, value: u64) -> FrameError {
        FrameError::InvalidValue { kind: self.kind, field, value }
    }

    /// The error for a frame of unknown kind.
    pub(crate) fn unknown_kind(&self) -> FrameError {
        FrameError::UnknownKind(self.kind)
    }

    /// Reads the magic number and the version of a connection's first frame, which must be [`MAGIC`] and
    /// [`VERSION`].
    pub(crate) fn magic_and_version(&mut self) -> Result<(), FrameError> {
        let magic = self.u32()?;
        let version = self.u16()?;
        if magic == MAGIC && version == VERSION {
            Ok(())
        } else {
            Err(FrameError::VersionMismatch { magic, version })
        }
    }
}

/// Writes the magic number and the version, with which a connection's first frame begins.
pub(crate) fn put_magic_and_version(out: &mut BytesMut) {
    out.put_u32(MAGIC);
    out.put_u16(VERSION);
}

/// Writes a text: a length (u16) and that many bytes of UTF-8.
pub(crate) fn put_text(out: &mut BytesMut, text: &str) {
    out.put_u16(text.len() as u16);
    out.put_slice(text.as_bytes());
}

/// Writes an optional field: the byte 0 if it is absent, or the byte 1 and the field.
pub(crate) fn put_option<T>(out: &mut BytesMut, value: Option<&T>, put: impl FnOnce(&mut BytesMut, &T)) {
    out.put_u8(value.is_some().into());
    if let Some(value) = value {
        put(out, value);
    }
}

/// Writes a list: a count (u16) and the items.
pub(crate) fn put_list<T>(out: &mut BytesMut, items: &[T], mut put: impl FnMut(&mut BytesMut, &T)) {
    out.put_u16(items.len() as u16);
    items.iter().for_each(|item| put(out, item));
}

/// Writes 64-bit numbers in order.
pub(crate) fn put_numbers<const N: usize>(out: &mut BytesMut, numbers: [u64; N]) {
    numbers.into_iter().for_each(|number| out.put_u64(number));
}

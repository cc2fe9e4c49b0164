//! Reading a frame's fields.

use bytes::Bytes;
use winnow::ModalResult;
use winnow::binary::{be_f64, be_u8, be_u16, be_u32, be_u64};

use crate::Malformed;

/// A frame's fields not yet read.
pub struct Reader {
    kind: u8,
    body: Bytes,
}

impl Reader {
    pub fn new(kind: u8, body: Bytes) -> Reader {
        Reader { kind, body }
    }

    pub fn left(&self) -> usize {
        self.body.len()
    }

    fn number<T>(&mut self, parser: impl Fn(&mut &[u8]) -> ModalResult<T>) -> Result<T, Malformed> {
        let mut input = &self.body[..];
        let read = parser(&mut input).map_err(|_| Malformed::Truncated { kind: self.kind })?;
        let used = self.body.len() - input.len();
        self.body = self.body.slice(used..);
        Ok(read)
    }

    pub fn u8(&mut self) -> Result<u8, Malformed> {
        self.number(|input| be_u8(input))
    }

    pub fn u16(&mut self) -> Result<u16, Malformed> {
        self.number(|input| be_u16(input))
    }

    pub fn u32(&mut self) -> Result<u32, Malformed> {
        self.number(|input| be_u32(input))
    }

    pub fn u64(&mut self) -> Result<u64, Malformed> {
        self.number(|input| be_u64(input))
    }

    /// A finite number not below 0.
    pub fn amount(&mut self, field: &'static str) -> Result<f64, Malformed> {
        let value = self.number(|input| be_f64(input))?;
        if value.is_finite() && value >= 0.0 { Ok(value) } else { Err(self.bad(field, value.to_bits())) }
    }

    /// A field that may be absent: a byte 0, or 1 and the field.
    pub fn option<T>(
        &mut self,
        read: impl FnOnce(&mut Reader) -> Result<T, Malformed>,
    ) -> Result<Option<T>, Malformed> {
        match self.u8()? {
            0 => Ok(None),
            1 => read(self).map(Some),
            other => Err(self.bad("presence", other.into())),
        }
    }

    /// A count (u16) and so many items.
    pub fn list<T>(
        &mut self,
        mut read: impl FnMut(&mut Reader) -> Result<T, Malformed>,
    ) -> Result<Vec<T>, Malformed> {
        let count = self.u16()?;
        (0..count).map(|_| read(self)).collect()
    }

    /// A length (u16) and so many bytes of UTF-8.
    pub fn text(&mut self) -> Result<String, Malformed> {
        let length = usize::from(self.u16()?);
        if self.body.len() < length {
            return Err(Malformed::Truncated { kind: self.kind });
        }
        let text = self.body.split_to(length);
        String::from_utf8(text.to_vec()).map_err(|_| self.bad("text", length as u64))
    }

    pub fn bytes(&mut self, length: usize) -> Result<Bytes, Malformed> {
        if self.body.len() < length {
            return Err(Malformed::Truncated { kind: self.kind });
        }
        Ok(self.body.split_to(length))
    }

    /// All that is left.
    pub fn rest(&mut self) -> Bytes {
        std::mem::take(&mut self.body)
    }

    pub fn bad(&self, field: &'static str, value: u64) -> Malformed {
        Malformed::Value { kind: self.kind, field, value }
    }

    pub fn unknown(&self) -> Malformed {
        Malformed::Kind(self.kind)
    }

    /// The opening of a connection: magic and version.
    pub fn opening(&mut self) -> Result<(), Malformed> {
        let (magic, version) = (self.u32()?, self.u16()?);
        if magic == crate::MAGIC && version == crate::VERSION {
            Ok(())
        } else {
            Err(Malformed::Version { magic, version })
        }
    }
}

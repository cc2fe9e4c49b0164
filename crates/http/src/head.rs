//! Heads of requests and responses, parsed with `httparse`.

use bytes::{Buf, Bytes, BytesMut};

use crate::body::Framing;
use crate::{Limits, Malformed};

/// Maximum number of header fields in a head.
pub(crate) const MAX_FIELDS: usize = 64;

/// Memory of one header field in addition to its name and value, in bytes: the entry and two allocations.
const FIELD_MEMORY: usize = 112;

/// The header fields of a head, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers(Vec<(Box<str>, Bytes)>);

/// A field that may occur only once occurs more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateField;

impl Headers {
    pub(crate) fn from_parsed(fields: &[httparse::Header]) -> Headers {
        Headers(fields.iter().map(|field| (field.name.into(), Bytes::copy_from_slice(field.value))).collect())
    }

    /// Approximate memory of the fields, in bytes.
    pub(crate) fn memory(&self) -> usize {
        self.0.iter().map(|(name, value)| FIELD_MEMORY + name.len() + value.len()).sum()
    }

    /// All values of a field, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| &value[..])
    }

    /// The value of a field that may occur only once.
    ///
    /// # Errors
    /// The field occurs more than once.
    pub fn single<'a>(&'a self, name: &'a str) -> Result<Option<&'a [u8]>, DuplicateField> {
        let mut all = self.all(name);
        let first = all.next();
        if all.next().is_some() { Err(DuplicateField) } else { Ok(first) }
    }

    /// Whether a field whose value is a list (RFC 9110, 5.6.1) contains the item `word`, ignoring case.
    pub(crate) fn list_contains(&self, name: &str, word: &str) -> bool {
        let words = self.all(name).flat_map(|value| value.split(|byte| *byte == b','));
        words.into_iter().any(|item| item.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// The framing of the body (section 6.3); `None` if the head does not specify one.
    pub(crate) fn framing(&self) -> Result<Option<Framing>, Malformed> {
        let has_coding = self.all("Transfer-Encoding").next().is_some();
        let mut lengths = self.all("Content-Length");
        let Some(length) = lengths.next() else {
            let is_chunked = self.single("Transfer-Encoding").is_ok_and(|coding| {
                coding.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
            });
            return match (has_coding, is_chunked) {
                (false, _) => Ok(None),
                (true, true) => Ok(Some(Framing::Chunked)),
                (true, false) => Err(Malformed::Coding),
            };
        };
        // Hazard: a reader that uses the other of the two fields would see a different next request
        // (section 11.2).
        if has_coding {
            return Err(Malformed::ConflictingFraming);
        }
        let is_decimal = length.iter().all(u8::is_ascii_digit) && lengths.next().is_none();
        let length =
            std::str::from_utf8(length).ok().filter(|_| is_decimal).and_then(|text| text.parse().ok());
        length.map(|length| Some(Framing::Length(length))).ok_or(Malformed::Length)
    }

    /// Whether the connection stays usable after this message (section 9.3).
    pub(crate) fn persists(&self, minor: u8) -> bool {
        minor >= 1 && !self.list_contains("Connection", "close")
    }
}

/// Removes a head from `bytes` once it is complete. `parse` returns the length of the head and the parsed
/// value.
pub(crate) fn consume<T>(
    bytes: &mut BytesMut,
    limits: Limits,
    parse: impl FnOnce(&[u8]) -> Result<Option<(usize, T)>, httparse::Error>,
) -> Result<Option<T>, Malformed> {
    match parse(bytes) {
        Ok(Some((length, _))) if length > limits.head => Err(Malformed::HeadTooLong(limits.head)),
        Ok(Some((length, head))) => {
            bytes.advance(length);
            Ok(Some(head))
        }
        Ok(None) if bytes.len() >= limits.head => Err(Malformed::HeadTooLong(limits.head)),
        Ok(None) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Malformed::HeadTooLong(limits.head)),
        Err(httparse::Error::Version) => Err(Malformed::Version),
        Err(httparse::Error::HeaderName) => Err(Malformed::Head("a field's name")),
        Err(httparse::Error::HeaderValue) => Err(Malformed::Head("a field's value")),
        Err(httparse::Error::NewLine) => Err(Malformed::Head("an end of line")),
        Err(httparse::Error::Status) => Err(Malformed::Head("the status")),
        Err(httparse::Error::Token) => Err(Malformed::Head("the first line")),
    }
}

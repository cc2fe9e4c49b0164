//! Checksummed records, shared by state files and hash-chained logs such as the change log.
//!
//! A record consists of the payload's length (u32, little-endian), a CRC-32C of the length's bytes and the
//! payload (u32, little-endian), and the payload (postcard).

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Limit on a record's payload, bytes. Longer records are neither written nor read.
pub const MAX_RECORD_BYTES: usize = 64 << 20;

fn checksum(length: [u8; 4], payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&length), payload)
}

/// Encodes a record; `None` if the payload would exceed [`MAX_RECORD_BYTES`].
pub fn encode_record(value: &impl Serialize) -> Option<Vec<u8>> {
    let payload = postcard::to_stdvec(value).ok()?;
    if payload.len() > MAX_RECORD_BYTES {
        return None;
    }
    let length = u32::try_from(payload.len()).ok()?.to_le_bytes();
    let mut record = length.to_vec();
    record.extend(checksum(length, &payload).to_le_bytes());
    record.extend(payload);
    Some(record)
}

/// Decodes the record at the start of `bytes` and advances `bytes` past it.
///
/// Returns `None`, with `bytes` unchanged, if they do not begin with a complete and valid record of this
/// type.
pub fn next_record<T: DeserializeOwned>(bytes: &mut &[u8]) -> Option<T> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (expected_checksum, rest) = rest.split_first_chunk::<4>()?;
    let payload_bytes = u32::from_le_bytes(*length) as usize;
    if payload_bytes > MAX_RECORD_BYTES {
        return None;
    }
    let (payload, rest) = rest.split_at_checked(payload_bytes)?;
    if checksum(*length, payload) != u32::from_le_bytes(*expected_checksum) {
        return None;
    }
    let value = postcard::from_bytes(payload).ok()?;
    *bytes = rest;
    Some(value)
}

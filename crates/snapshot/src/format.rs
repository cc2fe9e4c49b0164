//! The bytes of a state file: a magic and version, then records; the first is the head.
//!
//! A record is a length (u32, little-endian), a CRC-32C of the length's bytes and the payload, and the payload
//! (postcard). A file is read up to the first record that is not whole: what was appended last may be torn.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use umbertray_routing::Snapshot;

use crate::change::{Change, Picture};
use crate::decide::Stamp;
use crate::older;

pub const MAGIC: &[u8; 6] = b"UMBSTA";

/// The version that this text writes. Older ones are read, see `older`.
pub const VERSION: u16 = 2;

/// No record is longer, bytes; nor does a reader take more of a file than so many.
pub const MOST_RECORD: usize = 64 << 20;
pub const MOST_FILE: usize = 256 << 20;

/// Whose file it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub gateway: u64,
    /// Of the settings: floors of other limits mean nothing.
    pub digest: u64,
    pub generation: u64,
}

/// What was known at a moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: Stamp,
    pub saved: Snapshot,
}

/// What follows the head: all that is known first, then what changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    Whole(Entry),
    Change(Change),
}

/// Why a file, or what follows in it, is not believed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    #[error("not a state file")]
    Magic,
    #[error("format version {0}, newer than {VERSION}")]
    Newer(u16),
    #[error("no whole head")]
    Head,
    #[error("no whole entry")]
    Empty,
}

/// A file as read: its head, what its whole entries come to, and how many bytes after them are not whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    pub head: Head,
    pub entry: Entry,
    pub entries: usize,
    pub torn: usize,
}

pub fn opening() -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(VERSION.to_le_bytes());
    out
}

fn sum(length: [u8; 4], payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&length), payload)
}

/// A record's bytes; nothing where it would be longer than a reader takes.
pub fn record(value: &impl Serialize) -> Option<Vec<u8>> {
    let payload = postcard::to_stdvec(value).ok().filter(|payload| payload.len() <= MOST_RECORD)?;
    let length = (payload.len() as u32).to_le_bytes();
    let mut out = length.to_vec();
    out.extend(sum(length, &payload).to_le_bytes());
    out.extend(payload);
    Some(out)
}

/// Takes the next whole record off `bytes`; nothing where it is not whole, and then `bytes` stays.
pub fn next<T: DeserializeOwned>(bytes: &mut &[u8]) -> Option<T> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (crc, rest) = rest.split_first_chunk::<4>()?;
    let size = u32::from_le_bytes(*length) as usize;
    let (payload, rest) = rest.split_at_checked(size).filter(|_| size <= MOST_RECORD)?;
    if sum(*length, payload) != u32::from_le_bytes(*crc) {
        return None;
    }
    let value = postcard::from_bytes(payload).ok()?;
    *bytes = rest;
    Some(value)
}

pub fn read(bytes: &[u8]) -> Result<Read, Bad> {
    let bytes = bytes.strip_prefix(MAGIC).ok_or(Bad::Magic)?;
    let (version, mut bytes) = bytes.split_first_chunk::<2>().ok_or(Bad::Head)?;
    let version = u16::from_le_bytes(*version);
    match version {
        1..=VERSION => {}
        newer if newer > VERSION => return Err(Bad::Newer(newer)),
        _ => return Err(Bad::Magic),
    }
    let head: Head = next(&mut bytes).ok_or(Bad::Head)?;
    let (mut picture, mut entries) = (None, 0);
    loop {
        let rest = bytes;
        let item = match version {
            1 => next::<older::Entry1>(&mut bytes).map(|entry| Item::Whole(entry.into())),
            _ => next::<Item>(&mut bytes),
        };
        match (item, &mut picture) {
            (Some(Item::Whole(entry)), _) => picture = Some(Picture::new(entry)),
            (Some(Item::Change(change)), Some(picture)) => picture.apply(change),
            // A change of nothing means nothing: what it stands on is missing.
            (Some(Item::Change(_)), None) => return Err(Bad::Empty),
            (None, _) => {
                let entry = picture.ok_or(Bad::Empty)?.entry();
                return Ok(Read { head, entry, entries, torn: rest.len() });
            }
        }
        entries += 1;
    }
}

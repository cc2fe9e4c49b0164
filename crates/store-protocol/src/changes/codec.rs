//! Fields that several frames of the log of changes share.

use bytes::{BufMut, Bytes, BytesMut};

use super::{
    Checkpoint, Hash, LaggingMember, MAX_CHECKPOINT, MAX_LAGGING, MAX_NAME, MAX_PART, MAX_PATH,
    MAX_VERSION_COUNTS, Position, ProgressSummary, Status, VersionCount,
};
use crate::Malformed;
use crate::fields::{FieldReader, put_list, put_text};

pub(super) fn name(fields: &mut FieldReader) -> Result<String, Malformed> {
    let text = fields.text()?;
    if text.len() <= MAX_NAME { Ok(text) } else { Err(fields.invalid("name", text.len() as u64)) }
}

/// A list of at most `max` items.
pub(super) fn bounded_list<T>(
    fields: &mut FieldReader,
    max: usize,
    read: impl FnMut(&mut FieldReader) -> Result<T, Malformed>,
) -> Result<Vec<T>, Malformed> {
    let items = fields.list(read)?;
    if items.len() <= max { Ok(items) } else { Err(fields.invalid("count", items.len() as u64)) }
}

fn hash(fields: &mut FieldReader) -> Result<Hash, Malformed> {
    let bytes = fields.bytes(32)?;
    Hash::try_from(&bytes[..]).map_err(|_| fields.invalid("hash", bytes.len() as u64))
}

pub(super) fn position(fields: &mut FieldReader) -> Result<Position, Malformed> {
    Ok(Position { version: fields.u64()?, hash: hash(fields)? })
}

pub(super) fn put_position(out: &mut BytesMut, at: &Position) {
    out.put_u64(at.version);
    out.put_slice(&at.hash);
}

pub(super) fn put_checkpoint(out: &mut BytesMut, checkpoint: &Checkpoint) {
    put_position(out, &checkpoint.at);
    out.put_slice(&checkpoint.digest);
    out.put_u32(checkpoint.length);
}

pub(super) fn checkpoint(fields: &mut FieldReader) -> Result<Checkpoint, Malformed> {
    let checkpoint = Checkpoint { at: position(fields)?, digest: hash(fields)?, length: fields.u32()? };
    if checkpoint.length <= MAX_CHECKPOINT {
        Ok(checkpoint)
    } else {
        Err(fields.invalid("length", checkpoint.length.into()))
    }
}

/// The rest of a frame, as a part of something of `length` bytes that begins at `offset`.
pub(super) fn part(fields: &mut FieldReader, offset: u32, length: u32) -> Result<Bytes, Malformed> {
    let part = fields.rest();
    let end = u64::from(offset) + part.len() as u64;
    if part.len() <= MAX_PART && end <= u64::from(length) {
        Ok(part)
    } else {
        Err(fields.invalid("part", end))
    }
}

pub(super) fn put_names(out: &mut BytesMut, names: &[String]) {
    put_list(out, names, |out, name| put_text(out, name));
}

impl ProgressSummary {
    pub(super) fn put(&self, out: &mut BytesMut) {
        put_list(out, &self.levels, |out, level| {
            out.put_u64(level.version);
            out.put_u32(level.members);
        });
        put_list(out, &self.lagging, |out, member| {
            put_text(out, &member.name);
            out.put_u64(member.version);
            out.put_u32(member.lag_seconds);
        });
    }

    pub(super) fn read(fields: &mut FieldReader) -> Result<ProgressSummary, Malformed> {
        let level =
            |fields: &mut FieldReader| Ok(VersionCount { version: fields.u64()?, members: fields.u32()? });
        let lagging = |fields: &mut FieldReader| {
            Ok(LaggingMember { name: name(fields)?, version: fields.u64()?, lag_seconds: fields.u32()? })
        };
        Ok(ProgressSummary {
            levels: bounded_list(fields, MAX_VERSION_COUNTS, level)?,
            lagging: bounded_list(fields, MAX_LAGGING, lagging)?,
        })
    }
}

impl Status {
    pub(super) fn put(&self, out: &mut BytesMut) {
        put_text(out, &self.name);
        put_position(out, &self.head);
        put_names(out, &self.path);
        out.put_u32(self.followers);
        out.put_u64(self.held_bytes);
        self.progress.put(out);
    }

    pub(super) fn read(fields: &mut FieldReader) -> Result<Status, Malformed> {
        Ok(Status {
            name: name(fields)?,
            head: position(fields)?,
            path: bounded_list(fields, MAX_PATH, name)?,
            followers: fields.u32()?,
            held_bytes: fields.u64()?,
            progress: ProgressSummary::read(fields)?,
        })
    }
}

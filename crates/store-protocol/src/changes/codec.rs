//! Encoding of fields that several frames of the change log share.

use bytes::{BufMut, Bytes, BytesMut};

use super::{
    Checkpoint, Hash, LaggingMember, MAX_CHECKPOINT, MAX_LAGGING, MAX_NAME, MAX_PART, MAX_PATH,
    MAX_VERSION_COUNTS, Position, ProgressSummary, Status, VersionCount,
};
use crate::FrameError;
use crate::fields::{FieldReader, put_list, put_text};

pub(super) fn read_name(fields: &mut FieldReader) -> Result<String, FrameError> {
    let text = fields.text()?;
    if text.len() <= MAX_NAME { Ok(text) } else { Err(fields.invalid("name", text.len() as u64)) }
}

/// Reads a list of at most `max` items.
pub(super) fn read_bounded_list<T>(
    fields: &mut FieldReader,
    max: usize,
    read: impl FnMut(&mut FieldReader) -> Result<T, FrameError>,
) -> Result<Vec<T>, FrameError> {
    let items = fields.list(read)?;
    if items.len() <= max { Ok(items) } else { Err(fields.invalid("count", items.len() as u64)) }
}

fn read_hash(fields: &mut FieldReader) -> Result<Hash, FrameError> {
    let bytes = fields.bytes(32)?;
    Hash::try_from(&bytes[..]).map_err(|_| fields.invalid("hash", bytes.len() as u64))
}

pub(super) fn read_position(fields: &mut FieldReader) -> Result<Position, FrameError> {
    Ok(Position { version: fields.u64()?, hash: read_hash(fields)? })
}

pub(super) fn put_position(out: &mut BytesMut, position: &Position) {
    out.put_u64(position.version);
    out.put_slice(&position.hash);
}

pub(super) fn put_checkpoint(out: &mut BytesMut, checkpoint: &Checkpoint) {
    put_position(out, &checkpoint.position);
    out.put_slice(&checkpoint.digest);
    out.put_u32(checkpoint.length);
}

pub(super) fn read_checkpoint(fields: &mut FieldReader) -> Result<Checkpoint, FrameError> {
    let checkpoint =
        Checkpoint { position: read_position(fields)?, digest: read_hash(fields)?, length: fields.u32()? };
    if checkpoint.length <= MAX_CHECKPOINT {
        Ok(checkpoint)
    } else {
        Err(fields.invalid("length", checkpoint.length.into()))
    }
}

/// Reads the remaining bytes of a frame as a part of a change or a checkpoint: the part begins at `offset`
/// and must end within `length` bytes.
pub(super) fn read_part(fields: &mut FieldReader, offset: u32, length: u32) -> Result<Bytes, FrameError> {
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
        put_list(out, &self.version_counts, |out, level| {
            out.put_u64(level.version);
            out.put_u32(level.members);
        });
        put_list(out, &self.lagging, |out, member| {
            put_text(out, &member.name);
            out.put_u64(member.version);
            out.put_u32(member.lag_seconds);
        });
    }

    pub(super) fn read(fields: &mut FieldReader) -> Result<ProgressSummary, FrameError> {
        let read_count =
            |fields: &mut FieldReader| Ok(VersionCount { version: fields.u64()?, members: fields.u32()? });
        let read_member = |fields: &mut FieldReader| {
            Ok(LaggingMember { name: read_name(fields)?, version: fields.u64()?, lag_seconds: fields.u32()? })
        };
        Ok(ProgressSummary {
            version_counts: read_bounded_list(fields, MAX_VERSION_COUNTS, read_count)?,
            lagging: read_bounded_list(fields, MAX_LAGGING, read_member)?,
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

    pub(super) fn read(fields: &mut FieldReader) -> Result<Status, FrameError> {
        Ok(Status {
            name: read_name(fields)?,
            head: read_position(fields)?,
            path: read_bounded_list(fields, MAX_PATH, read_name)?,
            followers: fields.u32()?,
            held_bytes: fields.u64()?,
            progress: ProgressSummary::read(fields)?,
        })
    }
}

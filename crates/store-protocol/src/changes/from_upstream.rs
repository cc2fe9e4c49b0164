//! Frames of an upstream relay.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};

#[cfg(doc)]
use super::ToUpstream;
use super::codec::{bounded_list, checkpoint, name, part, position, put_checkpoint, put_names, put_position};
use super::{
    Checkpoint, MAX_BODY, MAX_CHANGE_FRAME, MAX_CHECKPOINT, MAX_PATH, MAX_RETRY_AFTER, Position, Status,
};
use crate::fields::{FieldReader, put_opening, put_option, put_text};
use crate::{Malformed, Message};

/// Why an upstream refuses a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The follower's version has another hash here.
    Fork,
    /// The follower is this relay itself, or one of its own upstreams.
    Loop,
    /// The follower has more than this relay.
    Ahead,
    /// A frame that is not allowed at that point.
    ProtocolViolation,
    /// The relay has as many followers as it accepts.
    TooManyFollowers,
}

impl RefusalReason {
    /// By their codes on the wire.
    const ALL: [RefusalReason; 5] = [
        RefusalReason::Fork,
        RefusalReason::Loop,
        RefusalReason::Ahead,
        RefusalReason::ProtocolViolation,
        RefusalReason::TooManyFollowers,
    ];
}

/// A frame of an upstream relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FromUpstream {
    /// The first frame.
    Hello {
        /// The relay's name.
        name: String,
        /// Names of the relays from the log's folder on, itself last.
        path: Vec<String>,
    },
    /// The path has changed.
    Path(Vec<String>),
    /// What it has; sent where one of the fields has changed.
    Head {
        /// The newest position that it has committed.
        head: Position,
        /// The oldest version that it can send entries after.
        oldest_version: u64,
        /// The checkpoint that it can send.
        checkpoint: Option<Checkpoint>,
    },
    /// The answer to [`ToUpstream::QueryHash`].
    HashAt {
        /// The version and its hash.
        at: Position,
    },
    /// A part of a change: all of it, but for long ones. The parts of one change follow each other.
    Entry {
        /// The position after the change.
        at: Position,
        /// Bytes of the whole change.
        length: u32,
        /// Where the part begins, bytes.
        offset: u32,
        /// The part.
        part: Bytes,
    },
    /// The answer to [`ToUpstream::Fetch`].
    CheckpointPart {
        /// The checkpoint's version.
        version: u64,
        /// Where the part begins, bytes.
        offset: u32,
        /// The part.
        part: Bytes,
    },
    /// The relay serves as many checkpoints as it can at the moment.
    RetryAfter {
        /// When to ask again.
        after: Duration,
    },
    /// The follower is refused; the connection ends.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
    /// Keeps the connection alive: what was sent last still holds.
    Heartbeat,
    /// The answer to [`ToUpstream::Status`].
    Status(Status),
}

impl Message for FromUpstream {
    const MAX_LENGTH: u32 = MAX_CHANGE_FRAME;

    fn kind(&self) -> u8 {
        match self {
            FromUpstream::Hello { .. } => 97,
            FromUpstream::Path(_) => 98,
            FromUpstream::Head { .. } => 99,
            FromUpstream::Entry { .. } => 100,
            FromUpstream::CheckpointPart { .. } => 101,
            FromUpstream::RetryAfter { .. } => 102,
            FromUpstream::Refused { .. } => 103,
            FromUpstream::Heartbeat => 104,
            FromUpstream::HashAt { .. } => 105,
            FromUpstream::Status(_) => 106,
        }
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            FromUpstream::Hello { name, path } => {
                put_opening(out);
                put_text(out, name);
                put_names(out, path);
            }
            FromUpstream::Path(path) => put_names(out, path),
            FromUpstream::Head { head, oldest_version, checkpoint } => {
                put_position(out, head);
                out.put_u64(*oldest_version);
                put_option(out, checkpoint.as_ref(), put_checkpoint);
            }
            FromUpstream::Entry { at, length, offset, .. } => {
                put_position(out, at);
                out.put_u32(*length);
                out.put_u32(*offset);
            }
            FromUpstream::CheckpointPart { version, offset, .. } => {
                out.put_u64(*version);
                out.put_u32(*offset);
            }
            FromUpstream::RetryAfter { after } => out.put_u32(after.as_millis() as u32),
            FromUpstream::Refused { reason } => out.put_u8(*reason as u8),
            FromUpstream::Heartbeat => {}
            FromUpstream::HashAt { at } => put_position(out, at),
            FromUpstream::Status(status) => status.put(out),
        }
    }

    fn payload(&self) -> Option<&Bytes> {
        match self {
            FromUpstream::Entry { part, .. } | FromUpstream::CheckpointPart { part, .. } => Some(part),
            _ => None,
        }
    }

    fn read(kind: u8, fields: &mut FieldReader) -> Result<FromUpstream, Malformed> {
        Ok(match kind {
            97 => {
                fields.opening()?;
                FromUpstream::Hello { name: name(fields)?, path: bounded_list(fields, MAX_PATH, name)? }
            }
            98 => FromUpstream::Path(bounded_list(fields, MAX_PATH, name)?),
            99 => FromUpstream::Head {
                head: position(fields)?,
                oldest_version: fields.u64()?,
                checkpoint: fields.option(checkpoint)?,
            },
            100 => {
                let at = position(fields)?;
                let length = fields.u32()?;
                let offset = fields.u32()?;
                if length > MAX_BODY {
                    return Err(fields.invalid("length", length.into()));
                }
                FromUpstream::Entry { at, length, offset, part: part(fields, offset, length)? }
            }
            101 => {
                let version = fields.u64()?;
                let offset = fields.u32()?;
                FromUpstream::CheckpointPart { version, offset, part: part(fields, offset, MAX_CHECKPOINT)? }
            }
            102 => {
                let after = Duration::from_millis(fields.u32()?.into());
                if after > MAX_RETRY_AFTER {
                    return Err(fields.invalid("wait", after.as_millis() as u64));
                }
                FromUpstream::RetryAfter { after }
            }
            103 => {
                let code = fields.u8()?;
                let reason = RefusalReason::ALL.get(usize::from(code)).copied();
                FromUpstream::Refused { reason: reason.ok_or_else(|| fields.invalid("why", code.into()))? }
            }
            104 => FromUpstream::Heartbeat,
            105 => FromUpstream::HashAt { at: position(fields)? },
            106 => FromUpstream::Status(Status::read(fields)?),
            _ => return Err(fields.unknown_kind()),
        })
    }
}

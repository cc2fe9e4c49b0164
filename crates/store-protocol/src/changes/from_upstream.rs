//! Frames from an upstream relay to a follower.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};

#[cfg(doc)]
use super::ToUpstream;
use super::codec::{
    put_checkpoint, put_names, put_position, read_bounded_list, read_checkpoint, read_name, read_part,
    read_position,
};
use super::{
    Checkpoint, MAX_BODY, MAX_CHANGE_FRAME, MAX_CHECKPOINT, MAX_PATH, MAX_RETRY_AFTER, Position, Status,
};
use crate::fields::{FieldReader, put_magic_and_version, put_option, put_text};
use crate::{FrameError, Message};

/// Why an upstream rejects a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// The follower's version has another hash at this relay.
    Fork,
    /// The follower is this relay itself, or one of its direct or indirect upstreams.
    Loop,
    /// The follower has a newer version than this relay.
    Ahead,
    /// The follower sent a frame that is not allowed at that point.
    ProtocolViolation,
    /// The relay already has the maximum number of followers.
    TooManyFollowers,
}

impl RejectionReason {
    /// All reasons, in the order of their codes on the wire.
    const ALL: [RejectionReason; 5] = [
        RejectionReason::Fork,
        RejectionReason::Loop,
        RejectionReason::Ahead,
        RejectionReason::ProtocolViolation,
        RejectionReason::TooManyFollowers,
    ];
}

/// A frame from an upstream relay to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FromUpstream {
    /// The first frame.
    Hello {
        /// The relay's name.
        name: String,
        /// Names of the relays between the log's folder and this relay, this relay last.
        path: Vec<String>,
    },
    /// The relay's path has changed; the names are as in [`FromUpstream::Hello`].
    Path(Vec<String>),
    /// The part of the log that the relay can send; sent again when one of the fields has changed.
    Head {
        /// The newest position that it has committed.
        head: Position,
        /// The oldest version after which it can send entries.
        oldest_version: u64,
        /// The checkpoint that it can send.
        checkpoint: Option<Checkpoint>,
    },
    /// The response to [`ToUpstream::QueryHash`].
    HashAt {
        /// The version and its hash.
        position: Position,
    },
    /// A part of a change. A change is split only if it is longer than [`MAX_PART`](super::MAX_PART); its
    /// parts are sent in order, one directly after the other.
    Entry {
        /// The position after the change.
        position: Position,
        /// Size of the complete change, bytes.
        length: u32,
        /// Offset of the part in the change, bytes.
        offset: u32,
        /// The bytes of the part.
        part: Bytes,
    },
    /// The response to [`ToUpstream::Fetch`].
    CheckpointPart {
        /// The checkpoint's version.
        version: u64,
        /// Offset of the part in the checkpoint, bytes.
        offset: u32,
        /// The bytes of the part.
        part: Bytes,
    },
    /// The relay rejects a request for a checkpoint, because it is already sending the maximum number of
    /// checkpoints.
    RetryAfter {
        /// Delay before the follower may request the checkpoint again.
        after: Duration,
    },
    /// The follower is rejected; the connection closes.
    Rejected {
        /// Why the follower is rejected.
        reason: RejectionReason,
    },
    /// Keeps the connection alive, and confirms that the previously sent state is still current.
    Heartbeat,
    /// The response to [`ToUpstream::Status`].
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
            FromUpstream::Rejected { .. } => 103,
            FromUpstream::Heartbeat => 104,
            FromUpstream::HashAt { .. } => 105,
            FromUpstream::Status(_) => 106,
        }
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            FromUpstream::Hello { name, path } => {
                put_magic_and_version(out);
                put_text(out, name);
                put_names(out, path);
            }
            FromUpstream::Path(path) => put_names(out, path),
            FromUpstream::Head { head, oldest_version, checkpoint } => {
                put_position(out, head);
                out.put_u64(*oldest_version);
                put_option(out, checkpoint.as_ref(), put_checkpoint);
            }
            FromUpstream::Entry { position, length, offset, .. } => {
                put_position(out, position);
                out.put_u32(*length);
                out.put_u32(*offset);
            }
            FromUpstream::CheckpointPart { version, offset, .. } => {
                out.put_u64(*version);
                out.put_u32(*offset);
            }
            FromUpstream::RetryAfter { after } => out.put_u32(after.as_millis() as u32),
            FromUpstream::Rejected { reason } => out.put_u8(*reason as u8),
            FromUpstream::Heartbeat => {}
            FromUpstream::HashAt { position } => put_position(out, position),
            FromUpstream::Status(status) => status.put(out),
        }
    }

    fn payload(&self) -> Option<&Bytes> {
        match self {
            FromUpstream::Entry { part, .. } | FromUpstream::CheckpointPart { part, .. } => Some(part),
            _ => None,
        }
    }

    fn read(kind: u8, fields: &mut FieldReader) -> Result<FromUpstream, FrameError> {
        Ok(match kind {
            97 => {
                fields.magic_and_version()?;
                FromUpstream::Hello {
                    name: read_name(fields)?,
                    path: read_bounded_list(fields, MAX_PATH, read_name)?,
                }
            }
            98 => FromUpstream::Path(read_bounded_list(fields, MAX_PATH, read_name)?),
            99 => FromUpstream::Head {
                head: read_position(fields)?,
                oldest_version: fields.u64()?,
                checkpoint: fields.option(read_checkpoint)?,
            },
            100 => {
                let position = read_position(fields)?;
                let length = fields.u32()?;
                let offset = fields.u32()?;
                if length > MAX_BODY {
                    return Err(fields.invalid("length", length.into()));
                }
                FromUpstream::Entry { position, length, offset, part: read_part(fields, offset, length)? }
            }
            101 => {
                let version = fields.u64()?;
                let offset = fields.u32()?;
                FromUpstream::CheckpointPart {
                    version,
                    offset,
                    part: read_part(fields, offset, MAX_CHECKPOINT)?,
                }
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
                let reason = RejectionReason::ALL.get(usize::from(code)).copied();
                FromUpstream::Rejected { reason: reason.ok_or_else(|| fields.invalid("why", code.into()))? }
            }
            104 => FromUpstream::Heartbeat,
            105 => FromUpstream::HashAt { position: read_position(fields)? },
            106 => FromUpstream::Status(Status::read(fields)?),
            _ => return Err(fields.unknown_kind()),
        })
    }
}

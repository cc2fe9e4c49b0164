//! Frames from a follower to an upstream relay.

use bytes::{BufMut, BytesMut};

use super::codec::{put_position, read_name, read_position};
use super::{MAX_CHANGE_FRAME, Position, ProgressSummary, Role};
use crate::fields::{FieldReader, put_magic_and_version, put_text};
use crate::{FrameError, Message};

/// A frame from a follower to an upstream relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToUpstream {
    /// The first frame.
    Hello {
        /// The follower's name.
        name: String,
        /// The zone that the follower runs in.
        zone: String,
        /// Whether the follower is a relay or a gateway.
        role: Role,
    },
    /// Requests all entries after a position, existing and future ones; sent at most once per connection.
    Follow {
        /// The position after which the entries begin.
        after: Position,
    },
    /// Requests the hash at a version that the follower received from another upstream. The relay responds
    /// only if it holds the hash.
    QueryHash {
        /// The version.
        version: u64,
    },
    /// Requests a part of the checkpoint's bytes.
    Fetch {
        /// The checkpoint's version.
        version: u64,
        /// Offset of the part in the checkpoint, bytes.
        offset: u32,
    },
    /// Flow control: permits the relay to send more entries.
    WindowUpdate {
        /// Bytes of entries received since the last update; the relay may send that many more.
        bytes: u32,
    },
    /// The versions that the follower, if it is a gateway, or the gateways below it have applied; sent to
    /// the upstream that it follows.
    Progress(ProgressSummary),
    /// Keeps the connection alive when there is nothing else to send.
    Heartbeat,
    /// Requests the relay's status; sent as the first frame instead of a hello.
    Status,
}

impl Role {
    fn code(self) -> u8 {
        match self {
            Role::Relay => 0,
            Role::Gateway => 1,
        }
    }

    fn read(fields: &mut FieldReader) -> Result<Role, FrameError> {
        match fields.u8()? {
            0 => Ok(Role::Relay),
            1 => Ok(Role::Gateway),
            other => Err(fields.invalid("role", other.into())),
        }
    }
}

impl Message for ToUpstream {
    const MAX_LENGTH: u32 = MAX_CHANGE_FRAME;

    fn kind(&self) -> u8 {
        match self {
            ToUpstream::Hello { .. } => 33,
            ToUpstream::Follow { .. } => 34,
            ToUpstream::Fetch { .. } => 35,
            ToUpstream::WindowUpdate { .. } => 36,
            ToUpstream::Progress(_) => 37,
            ToUpstream::Heartbeat => 38,
            ToUpstream::QueryHash { .. } => 39,
            ToUpstream::Status => 40,
        }
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            ToUpstream::Hello { name, zone, role } => {
                put_magic_and_version(out);
                put_text(out, name);
                put_text(out, zone);
                out.put_u8(role.code());
            }
            ToUpstream::Follow { after } => put_position(out, after),
            ToUpstream::Heartbeat | ToUpstream::Status => {}
            ToUpstream::QueryHash { version } => out.put_u64(*version),
            ToUpstream::Fetch { version, offset } => {
                out.put_u64(*version);
                out.put_u32(*offset);
            }
            ToUpstream::WindowUpdate { bytes } => out.put_u32(*bytes),
            ToUpstream::Progress(progress) => progress.put(out),
        }
    }

    fn read(kind: u8, fields: &mut FieldReader) -> Result<ToUpstream, FrameError> {
        Ok(match kind {
            33 => {
                fields.magic_and_version()?;
                ToUpstream::Hello {
                    name: read_name(fields)?,
                    zone: read_name(fields)?,
                    role: Role::read(fields)?,
                }
            }
            34 => ToUpstream::Follow { after: read_position(fields)? },
            35 => ToUpstream::Fetch { version: fields.u64()?, offset: fields.u32()? },
            36 => ToUpstream::WindowUpdate { bytes: fields.u32()? },
            37 => ToUpstream::Progress(ProgressSummary::read(fields)?),
            38 => ToUpstream::Heartbeat,
            39 => ToUpstream::QueryHash { version: fields.u64()? },
            40 => ToUpstream::Status,
            _ => return Err(fields.unknown_kind()),
        })
    }
}

//! Frames of a follower.

use bytes::{BufMut, BytesMut};

use super::codec::{name, position, put_position};
use super::{MAX_CHANGE_FRAME, Position, ProgressSummary, Role};
use crate::fields::{FieldReader, put_opening, put_text};
use crate::{Malformed, Message};

/// A frame of a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToUpstream {
    /// The first frame.
    Hello {
        /// The follower's name.
        name: String,
        /// The zone it runs in.
        zone: String,
        /// What it is.
        role: Role,
    },
    /// Entries are wanted from now on; once a connection.
    Follow {
        /// The position after which they begin.
        after: Position,
    },
    /// The hash at a version is wanted, which the follower has from another upstream; answered where it is held.
    QueryHash {
        /// The version.
        version: u64,
    },
    /// A part of the checkpoint's bytes is wanted.
    Fetch {
        /// The checkpoint's version.
        version: u64,
        /// Where the part begins, bytes.
        offset: u32,
    },
    /// Flow control: more entries may be sent.
    WindowUpdate {
        /// Bytes of entries received since the last update; as many more may come.
        bytes: u32,
    },
    /// What it and all below it have applied, for the upstream that it follows.
    Progress(ProgressSummary),
    /// Keeps the connection alive where there is nothing else to send.
    Heartbeat,
    /// In place of a hello: the relay's status is wanted.
    Status,
}

impl Role {
    fn code(self) -> u8 {
        match self {
            Role::Relay => 0,
            Role::Gateway => 1,
        }
    }

    fn read(fields: &mut FieldReader) -> Result<Role, Malformed> {
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
                put_opening(out);
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

    fn read(kind: u8, fields: &mut FieldReader) -> Result<ToUpstream, Malformed> {
        Ok(match kind {
            33 => {
                fields.opening()?;
                ToUpstream::Hello { name: name(fields)?, zone: name(fields)?, role: Role::read(fields)? }
            }
            34 => ToUpstream::Follow { after: position(fields)? },
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

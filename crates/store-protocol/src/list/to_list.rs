//! Messages from a gateway to the list service or the coordinator.

use bytes::{BufMut, BytesMut};

use crate::fields::{FieldReader, put_magic_and_version, put_numbers};
use crate::orders::ExtentRange;
use crate::{FrameError, Message};

/// A message to the list service or the coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToList {
    /// The first frame.
    Hello {
        /// Identifies the gateway's run; each start draws a new one.
        run: u64,
    },
    /// Requests the complete list now, and its changes from then on.
    Watch,
    /// Requests the complete list once.
    Fetch,
    /// Requests the location of an extent.
    Lookup {
        /// Identifies the response.
        token: u64,
        /// The volume's id.
        volume: u64,
        /// The extent's index in the volume.
        extent: u64,
        /// The response is delayed until the map has at least this epoch for the extent. It is the epoch of
        /// the extent's range that a store has reported to the gateway.
        min_epoch: u64,
    },
    /// Claims the extent for a shard, unless it already has a location: the first claim wins permanently.
    Claim {
        /// Identifies the response.
        token: u64,
        /// The volume's id.
        volume: u64,
        /// The extent's index in the volume.
        extent: u64,
        /// The shard.
        shard: u32,
    },
    /// Requests the shards that hold extents of a volume.
    Shards {
        /// Identifies the response.
        token: u64,
        /// The volume's id.
        volume: u64,
    },
    /// Requests the move of a range to a shard.
    Move {
        /// Identifies the response.
        token: u64,
        /// The range.
        range: ExtentRange,
        /// The target shard.
        shard: u32,
    },
    /// Requests the status of a move.
    MoveStatus {
        /// Identifies the response.
        token: u64,
        /// The move's number.
        number: u64,
        /// Whether to abandon the move.
        abandon: bool,
    },
}

impl ToList {
    /// Whether the message is about the extent map, and not about the endpoint list.
    pub fn concerns_map(&self) -> bool {
        !matches!(self, ToList::Hello { .. } | ToList::Watch | ToList::Fetch)
    }
}

impl Message for ToList {
    fn kind(&self) -> u8 {
        match self {
            ToList::Hello { .. } => 1,
            ToList::Watch => 2,
            ToList::Fetch => 3,
            ToList::Lookup { .. } => 4,
            ToList::Claim { .. } => 5,
            ToList::Shards { .. } => 6,
            ToList::Move { .. } => 7,
            ToList::MoveStatus { .. } => 8,
        }
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            ToList::Hello { run } => {
                put_magic_and_version(out);
                out.put_u64(*run);
            }
            ToList::Watch | ToList::Fetch => {}
            ToList::Lookup { token, volume, extent, min_epoch } => {
                put_numbers(out, [*token, *volume, *extent, *min_epoch]);
            }
            ToList::Move { token, range, shard } => {
                put_numbers(out, [*token, range.volume, range.start, range.end]);
                out.put_u32(*shard);
            }
            ToList::MoveStatus { token, number, abandon } => {
                put_numbers(out, [*token, *number]);
                out.put_u8((*abandon).into());
            }
            ToList::Claim { token, volume, extent, shard } => {
                put_numbers(out, [*token, *volume, *extent]);
                out.put_u32(*shard);
            }
            ToList::Shards { token, volume } => put_numbers(out, [*token, *volume]),
        }
    }

    fn read(kind: u8, fields: &mut FieldReader) -> Result<ToList, FrameError> {
        Ok(match kind {
            1 => {
                fields.magic_and_version()?;
                ToList::Hello { run: fields.u64()? }
            }
            2 => ToList::Watch,
            3 => ToList::Fetch,
            4 => ToList::Lookup {
                token: fields.u64()?,
                volume: fields.u64()?,
                extent: fields.u64()?,
                min_epoch: fields.u64()?,
            },
            5 => ToList::Claim {
                token: fields.u64()?,
                volume: fields.u64()?,
                extent: fields.u64()?,
                shard: fields.u32()?,
            },
            6 => ToList::Shards { token: fields.u64()?, volume: fields.u64()? },
            7 => ToList::Move {
                token: fields.u64()?,
                range: ExtentRange { volume: fields.u64()?, start: fields.u64()?, end: fields.u64()? },
                shard: fields.u32()?,
            },
            8 => {
                ToList::MoveStatus { token: fields.u64()?, number: fields.u64()?, abandon: fields.u8()? != 0 }
            }
            _ => return Err(fields.unknown_kind()),
        })
    }
}

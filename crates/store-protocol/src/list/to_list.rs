//! Messages of a gateway to the endpoint list or the coordinator.

use bytes::{BufMut, BytesMut};

use crate::fields::{FieldReader, put_numbers, put_opening};
use crate::orders::ExtentRange;
use crate::{Malformed, Message};

/// A message of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToList {
    /// The first frame.
    Hello {
        /// The gateway's run, drawn anew at each of its starts.
        run: u64,
    },
    /// The whole list is wanted now, and changes from then on.
    Watch,
    /// The whole list is wanted once.
    Fetch,
    /// The location of an extent is wanted.
    Lookup {
        /// Identifies the answer.
        token: u64,
        /// The volume's id.
        volume: u64,
        /// The extent's index in the volume.
        extent: u64,
        /// The answer waits until the map has this epoch for the extent: a store has answered that its range has this epoch.
        min_epoch: u64,
    },
    /// The extent is claimed for a shard, unless it has a location already: the first claim wins for good.
    Claim {
        /// Identifies the answer.
        token: u64,
        /// The volume's id.
        volume: u64,
        /// The extent's index in the volume.
        extent: u64,
        /// The shard.
        shard: u32,
    },
    /// The shards that hold extents of a volume are wanted.
    Shards {
        /// Identifies the answer.
        token: u64,
        /// The volume's id.
        volume: u64,
    },
    /// A range is to be moved to a shard.
    Move {
        /// Identifies the answer.
        token: u64,
        /// The range.
        span: ExtentRange,
        /// The shard.
        shard: u32,
    },
    /// The status of a move is wanted.
    MoveStatus {
        /// Identifies the answer.
        token: u64,
        /// The move's number.
        number: u64,
        /// Whether the move is to be abandoned.
        abandon: bool,
    },
}

impl ToList {
    /// Whether it concerns the map of extents, not the list of stores.
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
                put_opening(out);
                out.put_u64(*run);
            }
            ToList::Watch | ToList::Fetch => {}
            ToList::Lookup { token, volume, extent, min_epoch } => {
                put_numbers(out, [*token, *volume, *extent, *min_epoch]);
            }
            ToList::Move { token, span, shard } => {
                put_numbers(out, [*token, span.volume, span.start, span.end]);
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

    fn read(kind: u8, fields: &mut FieldReader) -> Result<ToList, Malformed> {
        Ok(match kind {
            1 => {
                fields.opening()?;
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
                span: ExtentRange { volume: fields.u64()?, start: fields.u64()?, end: fields.u64()? },
                shard: fields.u32()?,
            },
            8 => {
                ToList::MoveStatus { token: fields.u64()?, number: fields.u64()?, abandon: fields.u8()? != 0 }
            }
            _ => return Err(fields.unknown_kind()),
        })
    }
}

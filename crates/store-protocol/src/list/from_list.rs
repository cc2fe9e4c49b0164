//! Messages from the list service or the coordinator to a gateway.

use bytes::{BufMut, BytesMut};

#[cfg(doc)]
use super::ToList;
use super::{EndpointState, ListedStore, Location};
use crate::fields::{FieldReader, put_list, put_magic_and_version, put_option, put_text};
use crate::{FrameError, Message};

/// A message from the list service or the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FromList {
    /// The first frame.
    Welcome {
        /// The coordinator's term, which is higher in each later run; 0 from a list service without an extent
        /// map.
        term: u64,
    },
    /// The complete list.
    Complete(Vec<ListedStore>),
    /// The entries that have changed.
    Changes(Vec<ListedStore>),
    /// A request failed or was rejected.
    Failed,
    /// The response to [`ToList::Lookup`] or [`ToList::Claim`].
    Location {
        /// The token of the request.
        token: u64,
        /// The extent's location, if it has one.
        location: Option<Location>,
    },
    /// The response to [`ToList::Shards`].
    Shards {
        /// The token of the request.
        token: u64,
        /// The shards that hold extents of the volume.
        shards: Vec<u32>,
    },
    /// The response to [`ToList::Move`].
    Move {
        /// The token of the request.
        token: u64,
        /// The move's number, or the reason why it is rejected.
        number: Result<u64, String>,
    },
    /// The response to [`ToList::MoveStatus`].
    MoveStatus {
        /// The token of the request.
        token: u64,
        /// The move's state, as a text for operators.
        state: String,
        /// Whether the move has finished.
        is_finished: bool,
    },
}

impl Message for FromList {
    fn kind(&self) -> u8 {
        match self {
            FromList::Welcome { .. } => 65,
            FromList::Complete(_) => 66,
            FromList::Changes(_) => 67,
            FromList::Failed => 68,
            FromList::Location { .. } => 69,
            FromList::Shards { .. } => 70,
            FromList::Move { .. } => 71,
            FromList::MoveStatus { .. } => 72,
        }
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            FromList::Welcome { term } => {
                put_magic_and_version(out);
                out.put_u64(*term);
            }
            FromList::Complete(entries) | FromList::Changes(entries) => {
                put_list(out, entries, put_store);
            }
            FromList::Failed => {}
            FromList::Location { token, location } => {
                out.put_u64(*token);
                put_option(out, location.as_ref(), put_location);
            }
            FromList::Move { token, number } => {
                out.put_u64(*token);
                out.put_u8(number.is_err().into());
                match number {
                    Ok(number) => out.put_u64(*number),
                    Err(reason) => put_text(out, reason),
                }
            }
            FromList::MoveStatus { token, state, is_finished } => {
                out.put_u64(*token);
                put_text(out, state);
                out.put_u8((*is_finished).into());
            }
            FromList::Shards { token, shards } => {
                out.put_u64(*token);
                put_list(out, shards, |out, shard| out.put_u32(*shard));
            }
        }
    }

    fn read(kind: u8, fields: &mut FieldReader) -> Result<FromList, FrameError> {
        Ok(match kind {
            65 => {
                fields.magic_and_version()?;
                FromList::Welcome { term: fields.u64()? }
            }
            66 => FromList::Complete(fields.list(read_store)?),
            67 => FromList::Changes(fields.list(read_store)?),
            68 => FromList::Failed,
            69 => FromList::Location { token: fields.u64()?, location: fields.option(read_location)? },
            70 => FromList::Shards { token: fields.u64()?, shards: fields.list(FieldReader::u32)? },
            71 => {
                let token = fields.u64()?;
                let is_rejected = fields.u8()? != 0;
                let number = if is_rejected { Err(fields.text()?) } else { Ok(fields.u64()?) };
                FromList::Move { token, number }
            }
            72 => FromList::MoveStatus {
                token: fields.u64()?,
                state: fields.text()?,
                is_finished: fields.u8()? != 0,
            },
            _ => return Err(fields.unknown_kind()),
        })
    }
}

fn put_location(out: &mut BytesMut, location: &Location) {
    out.put_u32(location.shard);
    out.put_u64(location.epoch);
}

fn read_location(fields: &mut FieldReader) -> Result<Location, FrameError> {
    Ok(Location { shard: fields.u32()?, epoch: fields.u64()? })
}

fn put_store(out: &mut BytesMut, entry: &ListedStore) {
    out.put_u64(entry.store);
    put_text(out, &entry.address.to_string());
    out.put_u32(entry.shard);
    out.put_u32(entry.zone);
    out.put_u8(match entry.state {
        EndpointState::Gone => 0,
        EndpointState::Ready => 1,
        EndpointState::Draining => 2,
    });
    out.put_u64(entry.incarnation);
    put_option(out, entry.age.as_ref(), |out, age| out.put_u64(*age));
}

fn read_store(fields: &mut FieldReader) -> Result<ListedStore, FrameError> {
    let store = fields.u64()?;
    let address = fields.text()?;
    let address = address.parse().map_err(|_| fields.invalid("address", address.len() as u64))?;
    let shard = fields.u32()?;
    let zone = fields.u32()?;
    let state = match fields.u8()? {
        0 => EndpointState::Gone,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(fields.invalid("state", other.into())),
    };
    Ok(ListedStore {
        store,
        address,
        shard,
        zone,
        state,
        incarnation: fields.u64()?,
        age: fields.option(FieldReader::u64)?,
    })
}

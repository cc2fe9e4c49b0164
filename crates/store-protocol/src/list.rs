//! Between a gateway and the list of stores with the directory of extents beside it.

use std::net::SocketAddr;

use bytes::{BufMut, BytesMut};

use crate::orders::ExtentRange;
use crate::{MAGIC, Malformed, Message, Reader, VERSION, put_text};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    Gone,
    Ready,
    Draining,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedStore {
    /// Lasting: the same when the store's process restarts; a replacement has another.
    pub store: u64,
    pub address: SocketAddr,
    pub shard: u32,
    pub zone: u32,
    pub state: EndpointState,
    /// Counts the store's starts.
    pub incarnation: u64,
    /// Microseconds since it last started; absent: long ago.
    pub age: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToList {
    Hello {
        run: u64,
    },
    /// The whole list now and changes from then on.
    Watch,
    /// The whole list once.
    Fetch,
    /// Where an extent lies. A store has said that its range has moved this often: answered once the map is as new.
    Lookup {
        token: u64,
        volume: u64,
        extent: u64,
        min_epoch: u64,
    },
    /// The extent is to lie at the shard unless it lies elsewhere already: the first claim wins for ever.
    Claim {
        token: u64,
        volume: u64,
        extent: u64,
        shard: u32,
    },
    /// Which shards hold extents of the volume.
    Shards {
        token: u64,
        volume: u64,
    },
    /// The range is to lie at the shard.
    Move {
        token: u64,
        span: ExtentRange,
        shard: u32,
    },
    /// How far the move is, or that it be given up.
    MoveStatus {
        token: u64,
        number: u64,
        abandon: bool,
    },
}

/// Where an extent lies, and how often its range has moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Location {
    pub shard: u32,
    pub epoch: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FromList {
    /// Who speaks: a later run of the coordinator has a higher term; a list without map has 0.
    Welcome {
        term: u64,
    },
    Full(Vec<ListedStore>),
    Changes(Vec<ListedStore>),
    /// A call failed or was turned away.
    Failed,
    /// The answer to a lookup or a claim: where the extent lies, or nowhere yet.
    Location {
        token: u64,
        place: Option<Location>,
    },
    Shards {
        token: u64,
        shards: Vec<u32>,
    },
    /// What became of a wish for a move: its number, or why it cannot be.
    Move {
        token: u64,
        number: Result<u64, String>,
    },
    /// How far a move is, in words.
    MoveStatus {
        token: u64,
        state: String,
        over: bool,
    },
}

impl ToList {
    /// It is about where data lies, not about stores.
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
                out.put_u32(MAGIC);
                out.put_u16(VERSION);
                out.put_u64(*run);
            }
            ToList::Watch | ToList::Fetch => {}
            ToList::Lookup { token, volume, extent, min_epoch: least } => {
                [token, volume, extent, least].into_iter().for_each(|number| out.put_u64(*number));
            }
            ToList::Move { token, span, shard } => {
                [*token, span.volume, span.start, span.end]
                    .into_iter()
                    .for_each(|number| out.put_u64(number));
                out.put_u32(*shard);
            }
            ToList::MoveStatus { token, number, abandon: give_up } => {
                out.put_u64(*token);
                out.put_u64(*number);
                out.put_u8((*give_up).into());
            }
            ToList::Claim { token, volume, extent, shard } => {
                [token, volume, extent].into_iter().for_each(|number| out.put_u64(*number));
                out.put_u32(*shard);
            }
            ToList::Shards { token, volume } => {
                out.put_u64(*token);
                out.put_u64(*volume);
            }
        }
    }

    fn read(kind: u8, fields: &mut Reader) -> Result<ToList, Malformed> {
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
            7 => ToList::Move {
                token: fields.u64()?,
                span: ExtentRange { volume: fields.u64()?, start: fields.u64()?, end: fields.u64()? },
                shard: fields.u32()?,
            },
            8 => {
                ToList::MoveStatus { token: fields.u64()?, number: fields.u64()?, abandon: fields.u8()? != 0 }
            }
            5 => ToList::Claim {
                token: fields.u64()?,
                volume: fields.u64()?,
                extent: fields.u64()?,
                shard: fields.u32()?,
            },
            6 => ToList::Shards { token: fields.u64()?, volume: fields.u64()? },
            _ => return Err(fields.unknown()),
        })
    }
}

impl Message for FromList {
    fn kind(&self) -> u8 {
        match self {
            FromList::Welcome { .. } => 65,
            FromList::Full(_) => 66,
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
                out.put_u32(MAGIC);
                out.put_u16(VERSION);
                out.put_u64(*term);
            }
            FromList::Full(entries) | FromList::Changes(entries) => {
                out.put_u16(entries.len() as u16);
                entries.iter().for_each(|entry| put_entry(out, entry));
            }
            FromList::Failed => {}
            FromList::Location { token, place } => {
                out.put_u64(*token);
                out.put_u8(place.is_some().into());
                if let Some(place) = place {
                    out.put_u32(place.shard);
                    out.put_u64(place.epoch);
                }
            }
            FromList::Move { token, number } => {
                out.put_u64(*token);
                out.put_u8(number.is_err().into());
                match number {
                    Ok(number) => out.put_u64(*number),
                    Err(why) => put_text(out, why),
                }
            }
            FromList::MoveStatus { token, state, over } => {
                out.put_u64(*token);
                put_text(out, state);
                out.put_u8((*over).into());
            }
            FromList::Shards { token, shards } => {
                out.put_u64(*token);
                out.put_u16(shards.len() as u16);
                shards.iter().for_each(|shard| out.put_u32(*shard));
            }
        }
    }

    fn read(kind: u8, fields: &mut Reader) -> Result<FromList, Malformed> {
        Ok(match kind {
            65 => {
                fields.opening()?;
                FromList::Welcome { term: fields.u64()? }
            }
            66 => FromList::Full(fields.list(entry)?),
            67 => FromList::Changes(fields.list(entry)?),
            68 => FromList::Failed,
            69 => FromList::Location {
                token: fields.u64()?,
                place: fields.option(|fields| Ok(Location { shard: fields.u32()?, epoch: fields.u64()? }))?,
            },
            71 => {
                let (token, refused) = (fields.u64()?, fields.u8()? != 0);
                let number = if refused { Err(fields.text()?) } else { Ok(fields.u64()?) };
                FromList::Move { token, number }
            }
            72 => {
                FromList::MoveStatus { token: fields.u64()?, state: fields.text()?, over: fields.u8()? != 0 }
            }
            70 => FromList::Shards { token: fields.u64()?, shards: fields.list(Reader::u32)? },
            _ => return Err(fields.unknown()),
        })
    }
}

fn put_entry(out: &mut BytesMut, entry: &ListedStore) {
    out.put_u64(entry.store);
    put_text(out, &entry.address.to_string());
    out.put_u32(entry.shard);
    out.put_u32(entry.zone);
    out.put_u8(entry.state as u8);
    out.put_u64(entry.incarnation);
    out.put_u8(entry.age.is_some().into());
    entry.age.iter().for_each(|age| out.put_u64(*age));
}

fn entry(fields: &mut Reader) -> Result<ListedStore, Malformed> {
    let (store, address) = (fields.u64()?, fields.text()?);
    let address = address.parse().map_err(|_| fields.bad("address", address.len() as u64))?;
    let (shard, zone, state) = (fields.u32()?, fields.u32()?, fields.u8()?);
    let state = match state {
        0 => EndpointState::Gone,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(fields.bad("state", other.into())),
    };
    Ok(ListedStore {
        store,
        address,
        shard,
        zone,
        state,
        incarnation: fields.u64()?,
        age: fields.option(Reader::u64)?,
    })
}

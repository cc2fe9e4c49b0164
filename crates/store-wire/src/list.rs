//! Between a gateway and the list of stores with the directory of extents beside it.

use std::net::SocketAddr;

use bytes::{BufMut, BytesMut};

use crate::{MAGIC, Malformed, Message, Reader, VERSION};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Gone,
    Ready,
    Draining,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Lasting: the same when the store's process restarts; a replacement has another.
    pub store: u64,
    pub address: SocketAddr,
    pub shard: u32,
    pub zone: u32,
    pub state: State,
    /// Counts the store's starts.
    pub start: u64,
    /// Microseconds since it last started; absent: long ago.
    pub age: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToList {
    Hello {
        run: u64,
    },
    /// The whole list now and changes from then on.
    Subscribe,
    /// The whole list once.
    Fetch,
    /// Where an extent lies.
    Lookup {
        token: u64,
        volume: u64,
        extent: u64,
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
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FromList {
    Welcome,
    Full(Vec<Entry>),
    Changes(Vec<Entry>),
    /// A call failed or was turned away.
    Failed,
    /// The answer to a lookup or a claim: the shard that holds the extent, or none yet.
    Place {
        token: u64,
        shard: Option<u32>,
    },
    Shards {
        token: u64,
        shards: Vec<u32>,
    },
}

impl Message for ToList {
    fn kind(&self) -> u8 {
        match self {
            ToList::Hello { .. } => 1,
            ToList::Subscribe => 2,
            ToList::Fetch => 3,
            ToList::Lookup { .. } => 4,
            ToList::Claim { .. } => 5,
            ToList::Shards { .. } => 6,
        }
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            ToList::Hello { run } => {
                out.put_u32(MAGIC);
                out.put_u16(VERSION);
                out.put_u64(*run);
            }
            ToList::Subscribe | ToList::Fetch => {}
            ToList::Lookup { token, volume, extent } => {
                [token, volume, extent].into_iter().for_each(|number| out.put_u64(*number));
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
            2 => ToList::Subscribe,
            3 => ToList::Fetch,
            4 => ToList::Lookup { token: fields.u64()?, volume: fields.u64()?, extent: fields.u64()? },
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
            FromList::Welcome => 65,
            FromList::Full(_) => 66,
            FromList::Changes(_) => 67,
            FromList::Failed => 68,
            FromList::Place { .. } => 69,
            FromList::Shards { .. } => 70,
        }
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            FromList::Welcome => {
                out.put_u32(MAGIC);
                out.put_u16(VERSION);
            }
            FromList::Full(entries) | FromList::Changes(entries) => {
                out.put_u16(entries.len() as u16);
                entries.iter().for_each(|entry| put_entry(out, entry));
            }
            FromList::Failed => {}
            FromList::Place { token, shard } => {
                out.put_u64(*token);
                out.put_u8(shard.is_some().into());
                shard.iter().for_each(|shard| out.put_u32(*shard));
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
                FromList::Welcome
            }
            66 => FromList::Full(fields.list(entry)?),
            67 => FromList::Changes(fields.list(entry)?),
            68 => FromList::Failed,
            69 => FromList::Place { token: fields.u64()?, shard: fields.option(Reader::u32)? },
            70 => FromList::Shards { token: fields.u64()?, shards: fields.list(Reader::u32)? },
            _ => return Err(fields.unknown()),
        })
    }
}

fn put_entry(out: &mut BytesMut, entry: &Entry) {
    out.put_u64(entry.store);
    let address = entry.address.to_string();
    out.put_u16(address.len() as u16);
    out.put_slice(address.as_bytes());
    out.put_u32(entry.shard);
    out.put_u32(entry.zone);
    out.put_u8(entry.state as u8);
    out.put_u64(entry.start);
    out.put_u8(entry.age.is_some().into());
    entry.age.iter().for_each(|age| out.put_u64(*age));
}

fn entry(fields: &mut Reader) -> Result<Entry, Malformed> {
    let (store, address) = (fields.u64()?, fields.text()?);
    let address = address.parse().map_err(|_| fields.bad("address", address.len() as u64))?;
    let (shard, zone, state) = (fields.u32()?, fields.u32()?, fields.u8()?);
    let state = match state {
        0 => State::Gone,
        1 => State::Ready,
        2 => State::Draining,
        other => return Err(fields.bad("state", other.into())),
    };
    Ok(Entry { store, address, shard, zone, state, start: fields.u64()?, age: fields.option(Reader::u64)? })
}

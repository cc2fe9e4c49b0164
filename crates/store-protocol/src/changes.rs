//! Between a follower of the log of changes (a relay or a gateway) and a relay above it. docs/relays.md says who believes
//! what, and why.
//!
//! The follower connects and speaks first. It asks for entries of one upstream and hears of the newest version of several,
//! so that none of them alone is believed. Every field has a bound; a frame that passes one ends the connection.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use sha2::{Digest, Sha256};

use crate::{MAGIC, Malformed, Message, Reader, VERSION, put_text};

/// SHA-256.
pub type Hash = [u8; 32];

/// Bytes of a change or a checkpoint in one frame, at most.
pub const MAX_PART: usize = 64 << 10;
/// Bytes of a change, at most. A log with a longer one is carried by its next checkpoint.
pub const MAX_BODY: u32 = 32 << 20;
/// Bytes of a checkpoint, at most: a record of the log's files is no longer.
pub const MAX_CHECKPOINT: u32 = 64 << 20;
/// Bytes of any frame, at most: a part, or a sum with all its names.
pub const MAX_CHANGE_FRAME: u32 = MAX_PART as u32 + (8 << 10);
/// Bytes of a name or a zone, at most.
pub const MAX_NAME: usize = 128;
/// Relays from the log's folder to a follower, at most.
pub const MAX_PATH: usize = 16;
/// Versions that a sum tells apart, and members that it names, at most.
pub const MAX_VERSION_COUNTS: usize = 16;
pub const MAX_LAGGING: usize = 32;
/// No sum counts more members.
pub const MAX_MEMBERS: u32 = 100_000;
/// No wait that is asked of a follower is longer.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The hash of a change's bytes after the one before it: the chain of the log.
pub fn chain_hash(before: &Hash, body: &[u8]) -> Hash {
    Sha256::new().chain_update(before).chain_update(body).finalize().into()
}

/// A checkpoint's bytes by what they hash to.
pub fn digest(checkpoint: &[u8]) -> Hash {
    Sha256::digest(checkpoint).into()
}

/// A place in the log: by its hash all changes up to the version are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Position {
    pub version: u64,
    pub hash: Hash,
}

impl Position {
    /// Before the first change.
    pub const START: Position = Position { version: 0, hash: [0; 32] };

    /// The position after one more change.
    pub fn after_change(&self, body: &[u8]) -> Position {
        Position { version: self.version.saturating_add(1), hash: chain_hash(&self.hash, body) }
    }
}

/// The state after a version, by its bytes' digest and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Checkpoint {
    pub at: Position,
    pub digest: Hash,
    pub length: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Relay,
    Gateway,
}

/// So many members have acted on this version, and on none later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionCount {
    pub version: u64,
    pub members: u32,
}

/// A member that has not acted on what its relay holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LaggingMember {
    pub name: String,
    pub version: u64,
    /// Seconds since it last came on.
    pub lag_seconds: u32,
}

/// What a follower and all below it have acted on: levels from the newest on, members behind from the oldest on. Where there
/// are more levels than a frame holds, the lowest two count as the lower.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ProgressSummary {
    pub levels: Vec<VersionCount>,
    pub lagging: Vec<LaggingMember>,
}

/// Where a relay stands, for those who run it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Status {
    pub name: String,
    pub head: Position,
    /// Names of the relays that its entries come by, itself last.
    pub path: Vec<String>,
    pub followers: u32,
    /// Bytes of the checkpoint and the entries that it holds.
    pub held_bytes: u64,
    pub progress: ProgressSummary,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToUpstream {
    /// The first frame.
    Hello { name: String, zone: String, role: Role },
    /// Entries after this are wanted, from now on; once a connection.
    Follow { after: Position },
    /// The hash at a version, which the follower has from another and the upstream has passed: answered where it is held.
    QueryHash { version: u64 },
    /// The checkpoint's bytes from here on, a part of them.
    Fetch { version: u64, offset: u32 },
    /// So many bytes of entries were taken off the connection since this was last said: as many more may be sent.
    WindowUpdate { bytes: u32 },
    /// What it and all below it have acted on. Told to the one that is followed.
    Progress(ProgressSummary),
    /// A sign of life, where there is nothing else to say.
    Heartbeat,
    /// In place of a hello: where the relay stands.
    Status,
}

/// Why an upstream will not serve a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The follower's version has another hash here.
    Fork,
    /// The follower is this relay itself, or one above it.
    Loop,
    /// The follower has more than this relay.
    Ahead,
    /// A frame that makes no sense at that point.
    ProtocolViolation,
    /// As many followers as it takes.
    TooManyFollowers,
}

impl RefusalReason {
    const ALL: [RefusalReason; 5] = [
        RefusalReason::Fork,
        RefusalReason::Loop,
        RefusalReason::Ahead,
        RefusalReason::ProtocolViolation,
        RefusalReason::TooManyFollowers,
    ];
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FromUpstream {
    /// The first frame. The path is the names of the relays that its entries come by, from the log's folder on.
    Hello {
        name: String,
        path: Vec<String>,
    },
    /// The path has changed.
    Path(Vec<String>),
    /// What it has acted on; the oldest version that it can send entries after; and the checkpoint that it has. Told where
    /// one of them has changed.
    Head {
        head: Position,
        oldest_version: u64,
        checkpoint: Option<Checkpoint>,
    },
    /// The answer to what was asked.
    HashAt {
        at: Position,
    },
    /// A part of a change: all of it, but for long ones. The parts of one follow each other.
    Entry {
        at: Position,
        length: u32,
        offset: u32,
        part: Bytes,
    },
    /// A part of the checkpoint.
    CheckpointPart {
        version: u64,
        offset: u32,
        part: Bytes,
    },
    /// Too much is asked for at the moment: again after this.
    RetryAfter {
        after: Duration,
    },
    /// The connection ends.
    Refused {
        reason: RefusalReason,
    },
    /// A sign of life: what was told last still holds.
    Heartbeat,
    Status(Status),
}

fn name(fields: &mut Reader) -> Result<String, Malformed> {
    let text = fields.text()?;
    if text.len() <= MAX_NAME { Ok(text) } else { Err(fields.bad("name", text.len() as u64)) }
}

/// A count not over a bound, and so many items.
fn few<T>(
    fields: &mut Reader,
    most: usize,
    read: impl FnMut(&mut Reader) -> Result<T, Malformed>,
) -> Result<Vec<T>, Malformed> {
    let items = fields.list(read)?;
    if items.len() <= most { Ok(items) } else { Err(fields.bad("count", items.len() as u64)) }
}

fn hash(fields: &mut Reader) -> Result<Hash, Malformed> {
    let bytes = fields.bytes(32)?;
    Hash::try_from(&bytes[..]).map_err(|_| fields.bad("hash", bytes.len() as u64))
}

fn position(fields: &mut Reader) -> Result<Position, Malformed> {
    Ok(Position { version: fields.u64()?, hash: hash(fields)? })
}

fn put_position(out: &mut BytesMut, at: &Position) {
    out.put_u64(at.version);
    out.put_slice(&at.hash);
}

fn checkpoint(fields: &mut Reader) -> Result<Checkpoint, Malformed> {
    let (at, digest, length) = (position(fields)?, hash(fields)?, fields.u32()?);
    if length <= MAX_CHECKPOINT {
        Ok(Checkpoint { at, digest, length })
    } else {
        Err(fields.bad("length", length.into()))
    }
}

/// The rest of a frame as the part of something of this length, which it may not pass.
fn part(fields: &mut Reader, offset: u32, length: u32) -> Result<Bytes, Malformed> {
    let part = fields.rest();
    let end = u64::from(offset) + part.len() as u64;
    if part.len() <= MAX_PART && end <= u64::from(length) { Ok(part) } else { Err(fields.bad("part", end)) }
}

fn put_names(out: &mut BytesMut, names: &[String]) {
    out.put_u16(names.len() as u16);
    names.iter().for_each(|name| put_text(out, name));
}

impl ProgressSummary {
    fn put(&self, out: &mut BytesMut) {
        out.put_u16(self.levels.len() as u16);
        for level in &self.levels {
            out.put_u64(level.version);
            out.put_u32(level.members);
        }
        out.put_u16(self.lagging.len() as u16);
        for behind in &self.lagging {
            put_text(out, &behind.name);
            out.put_u64(behind.version);
            out.put_u32(behind.lag_seconds);
        }
    }

    fn read(fields: &mut Reader) -> Result<ProgressSummary, Malformed> {
        let level = |fields: &mut Reader| Ok(VersionCount { version: fields.u64()?, members: fields.u32()? });
        let behind = |fields: &mut Reader| {
            Ok(LaggingMember { name: name(fields)?, version: fields.u64()?, lag_seconds: fields.u32()? })
        };
        Ok(ProgressSummary {
            levels: few(fields, MAX_VERSION_COUNTS, level)?,
            lagging: few(fields, MAX_LAGGING, behind)?,
        })
    }
}

impl Status {
    fn put(&self, out: &mut BytesMut) {
        put_text(out, &self.name);
        put_position(out, &self.head);
        put_names(out, &self.path);
        out.put_u32(self.followers);
        out.put_u64(self.held_bytes);
        self.progress.put(out);
    }

    fn read(fields: &mut Reader) -> Result<Status, Malformed> {
        Ok(Status {
            name: name(fields)?,
            head: position(fields)?,
            path: few(fields, MAX_PATH, name)?,
            followers: fields.u32()?,
            held_bytes: fields.u64()?,
            progress: ProgressSummary::read(fields)?,
        })
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
                out.put_u32(MAGIC);
                out.put_u16(VERSION);
                put_text(out, name);
                put_text(out, zone);
                out.put_u8(*role as u8);
            }
            ToUpstream::Follow { after } => put_position(out, after),
            ToUpstream::Heartbeat | ToUpstream::Status => {}
            ToUpstream::QueryHash { version } => out.put_u64(*version),
            ToUpstream::Fetch { version, offset } => {
                out.put_u64(*version);
                out.put_u32(*offset);
            }
            ToUpstream::WindowUpdate { bytes } => out.put_u32(*bytes),
            ToUpstream::Progress(sums) => sums.put(out),
        }
    }

    fn read(kind: u8, fields: &mut Reader) -> Result<ToUpstream, Malformed> {
        Ok(match kind {
            33 => {
                fields.opening()?;
                let (name, zone) = (name(fields)?, name(fields)?);
                let role = match fields.u8()? {
                    0 => Role::Relay,
                    1 => Role::Gateway,
                    other => return Err(fields.bad("role", other.into())),
                };
                ToUpstream::Hello { name, zone, role }
            }
            34 => ToUpstream::Follow { after: position(fields)? },
            35 => ToUpstream::Fetch { version: fields.u64()?, offset: fields.u32()? },
            36 => ToUpstream::WindowUpdate { bytes: fields.u32()? },
            37 => ToUpstream::Progress(ProgressSummary::read(fields)?),
            38 => ToUpstream::Heartbeat,
            39 => ToUpstream::QueryHash { version: fields.u64()? },
            40 => ToUpstream::Status,
            _ => return Err(fields.unknown()),
        })
    }
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
                out.put_u32(MAGIC);
                out.put_u16(VERSION);
                put_text(out, name);
                put_names(out, path);
            }
            FromUpstream::Path(path) => put_names(out, path),
            FromUpstream::Head { head, oldest_version: from, checkpoint } => {
                put_position(out, head);
                out.put_u64(*from);
                out.put_u8(checkpoint.is_some().into());
                if let Some(checkpoint) = checkpoint {
                    put_position(out, &checkpoint.at);
                    out.put_slice(&checkpoint.digest);
                    out.put_u32(checkpoint.length);
                }
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
            FromUpstream::Refused { reason: why } => out.put_u8(*why as u8),
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

    fn read(kind: u8, fields: &mut Reader) -> Result<FromUpstream, Malformed> {
        Ok(match kind {
            97 => {
                fields.opening()?;
                FromUpstream::Hello { name: name(fields)?, path: few(fields, MAX_PATH, name)? }
            }
            98 => FromUpstream::Path(few(fields, MAX_PATH, name)?),
            99 => FromUpstream::Head {
                head: position(fields)?,
                oldest_version: fields.u64()?,
                checkpoint: fields.option(checkpoint)?,
            },
            100 => {
                let (at, length, offset) = (position(fields)?, fields.u32()?, fields.u32()?);
                if length > MAX_BODY {
                    return Err(fields.bad("length", length.into()));
                }
                FromUpstream::Entry { at, length, offset, part: part(fields, offset, length)? }
            }
            101 => {
                let (version, offset) = (fields.u64()?, fields.u32()?);
                FromUpstream::CheckpointPart { version, offset, part: part(fields, offset, MAX_CHECKPOINT)? }
            }
            102 => {
                let after = Duration::from_millis(fields.u32()?.into());
                if after > MAX_RETRY_AFTER {
                    return Err(fields.bad("wait", after.as_millis() as u64));
                }
                FromUpstream::RetryAfter { after }
            }
            103 => {
                let code = fields.u8()?;
                let why = RefusalReason::ALL.get(usize::from(code)).copied();
                FromUpstream::Refused { reason: why.ok_or_else(|| fields.bad("why", code.into()))? }
            }
            104 => FromUpstream::Heartbeat,
            105 => FromUpstream::HashAt { at: position(fields)? },
            106 => FromUpstream::Status(Status::read(fields)?),
            _ => return Err(fields.unknown()),
        })
    }
}

//! From the core's parts of a reply to NBD's, free of I/O.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use umbertray_nbd::proto::{
    ALLOCATION_ID, CMD_FLAG_DF, CMD_FLAG_FUA, CMD_FLAG_REQ_ONE, STATE_HOLE, STATE_ZERO,
};
use umbertray_nbd::{Chunk, Command, Errno, Extent, Request, Session};
use umbertray_routing::{FinalResult, ReplyPart};
use umbertray_store_protocol::store::{DataRange, OperationKind};

pub fn work(command: Command) -> Option<OperationKind> {
    Some(match command {
        Command::Read => OperationKind::Read,
        Command::Write => OperationKind::Write,
        Command::WriteZeroes => OperationKind::Zero,
        Command::Trim => OperationKind::Trim,
        Command::Flush => OperationKind::Flush,
        Command::BlockStatus => OperationKind::Status,
        Command::Disc => return None,
    })
}

pub fn durable(request: &Request) -> bool {
    request.flags & CMD_FLAG_FUA != 0
}

enum Shape {
    /// Read data goes out in chunks as it comes.
    Chunks,
    /// Read data goes out in one piece: a simple reply, or one chunk that must not be fragmented (DF).
    Gathered {
        offset: u64,
        length: u32,
        parts: BTreeMap<u64, ReplyPart>,
    },
    Status {
        only_one: bool,
    },
    Plain,
}

/// The open requests of one session, by cookie.
#[derive(Default)]
pub struct Replies {
    open: HashMap<u64, Shape>,
}

impl Replies {
    pub fn opened(&mut self, request: &Request, structured: bool) {
        let whole = !structured || request.flags & CMD_FLAG_DF != 0;
        let shape = match request.command {
            Command::Read if whole => {
                Shape::Gathered { offset: request.offset, length: request.length, parts: BTreeMap::new() }
            }
            Command::Read => Shape::Chunks,
            Command::BlockStatus => Shape::Status { only_one: request.flags & CMD_FLAG_REQ_ONE != 0 },
            _ => Shape::Plain,
        };
        self.open.insert(request.cookie, shape);
    }

    /// Puts what a part means in the session's output; bytes that come back follow it uncopied.
    pub fn part(&mut self, session: &mut Session, cookie: u64, part: ReplyPart) -> Vec<Bytes> {
        let Some(shape) = self.open.get_mut(&cookie) else { return Vec::new() };
        match (part, shape) {
            (ReplyPart::Final(verdict), _) => self.last(session, cookie, verdict),
            (ReplyPart::Data { offset, data }, Shape::Gathered { parts, .. }) => {
                parts.insert(offset, ReplyPart::Data { offset, data });
                Vec::new()
            }
            (ReplyPart::Data { offset, data }, _) => {
                session.chunk(cookie, Chunk::Data { offset, data }, false).into_iter().collect()
            }
            // Where nothing is gathered, zeros need not be sent as bytes.
            (ReplyPart::Hole { .. }, Shape::Gathered { .. }) => Vec::new(),
            (ReplyPart::Hole { offset, length }, _) => {
                session.chunk(cookie, Chunk::Hole { offset, length }, false).into_iter().collect()
            }
            (ReplyPart::DataRanges(stretches), shape) => {
                let only_one = matches!(shape, Shape::Status { only_one: true });
                let chunk =
                    Chunk::BlockStatus { context: ALLOCATION_ID, extents: extents(&stretches, only_one) };
                session.chunk(cookie, chunk, false).into_iter().collect()
            }
        }
    }

    fn last(&mut self, session: &mut Session, cookie: u64, verdict: FinalResult) -> Vec<Bytes> {
        let Some(shape) = self.open.remove(&cookie) else { return Vec::new() };
        match (verdict, shape) {
            (FinalResult::Succeeded, Shape::Gathered { offset, length, parts }) => {
                let data = gathered(offset, length, parts);
                if session.structured() {
                    return session.chunk(cookie, Chunk::Data { offset, data }, true).into_iter().collect();
                }
                session.simple(cookie);
                vec![data]
            }
            (FinalResult::Succeeded, _) if session.structured() => {
                session.chunk(cookie, Chunk::None, true).into_iter().collect()
            }
            (FinalResult::Succeeded, _) => {
                session.simple(cookie);
                Vec::new()
            }
            (FinalResult::Rejected { retry_after }, _) => {
                // The errors on the wire are weighed in docs/errors.md.
                let text = match retry_after.as_millis() {
                    0 => "throttled".to_string(),
                    ms => format!("throttled retry_after_ms={ms}"),
                };
                session.error(cookie, Errno::NoMem, text);
                Vec::new()
            }
            (FinalResult::Failed, _) => {
                session.error(cookie, Errno::Io, "aborted".into());
                Vec::new()
            }
        }
    }
}

/// One buffer of the whole range; what no part covers is a hole and reads as zeros.
fn gathered(offset: u64, length: u32, parts: BTreeMap<u64, ReplyPart>) -> Bytes {
    let mut parts = parts.into_values().filter_map(|part| match part {
        ReplyPart::Data { offset, data } => Some((offset, data)),
        _ => None,
    });
    let first = parts.next();
    if let Some((at, data)) = &first
        && *at == offset
        && data.len() == length as usize
    {
        return data.clone();
    }
    let mut whole = vec![0; length as usize];
    for (at, data) in first.into_iter().chain(parts) {
        let at = (at - offset) as usize;
        whole[at..at + data.len()].copy_from_slice(&data);
    }
    whole.into()
}

fn extents(stretches: &[DataRange], only_one: bool) -> Vec<Extent> {
    let mut extents: Vec<Extent> = Vec::new();
    for stretch in stretches {
        let flags = if stretch.has_data { 0 } else { STATE_HOLE | STATE_ZERO };
        match extents.last_mut().filter(|last| last.flags == flags) {
            Some(last) => last.length += stretch.length,
            None => extents.push(Extent { length: stretch.length, flags }),
        }
    }
    extents.truncate(if only_one { 1 } else { usize::MAX });
    extents
}

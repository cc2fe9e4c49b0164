//! Converts the core's reply parts to NBD reply messages, without I/O. Source: "Simple reply message" and
//! "Structured reply chunk message" of the NBD protocol specification; docs/errors.md for the error numbers.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use umbertray_nbd::proto::{
    ALLOCATION_ID, CMD_FLAG_DF, CMD_FLAG_FUA, CMD_FLAG_REQ_ONE, STATE_HOLE, STATE_ZERO,
};
use umbertray_nbd::{Chunk, Command, Errno, Extent, Request, Session};
use umbertray_routing::{FinalResult, ReplyPart};
use umbertray_store_protocol::store::{DataRange, OperationKind};

/// The operation that a command requests; `None` for a disconnect.
pub(crate) fn operation_kind(command: Command) -> Option<OperationKind> {
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

/// Whether a request's effect must be on stable storage before it is answered (FUA).
pub(crate) fn is_durable(request: &Request) -> bool {
    request.flags & CMD_FLAG_FUA != 0
}

/// The form of the reply to a request.
enum ReplyForm {
    /// Read data is sent in chunks as it arrives.
    ReadChunks,
    /// Read data is gathered and sent in one piece: as a simple reply, or as one chunk that must not be
    /// fragmented (DF).
    Gathered(GatheredRead),
    /// The allocation status of a range; with REQ_ONE only its first extent.
    BlockStatus { extent_limit: ExtentLimit },
    /// Success or an error, without data.
    ResultOnly,
}

/// How many extents a block status reply may have; one if the client set REQ_ONE.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExtentLimit {
    One,
    All,
}

/// The parts of a read that is sent in one piece, by offset.
struct GatheredRead {
    offset: u64,
    length: u32,
    parts: BTreeMap<u64, Bytes>,
}

impl GatheredRead {
    /// Returns one buffer of the full range. What no part covers is a hole and reads as zeros.
    fn into_buffer(self) -> Bytes {
        if let Some(data) = self.parts.get(&self.offset)
            && data.len() == self.length as usize
        {
            return data.clone();
        }
        let mut buffer = vec![0; self.length as usize];
        for (offset, data) in self.parts {
            let start = (offset - self.offset) as usize;
            buffer[start..start + data.len()].copy_from_slice(&data);
        }
        buffer.into()
    }
}

/// The reply forms of a session's open requests, by cookie.
#[derive(Default)]
pub(crate) struct OpenReplies {
    forms: HashMap<u64, ReplyForm>,
}

impl OpenReplies {
    /// Registers a request that was read.
    pub(crate) fn register(&mut self, request: &Request, has_structured_replies: bool) {
        let is_gathered = !has_structured_replies || request.flags & CMD_FLAG_DF != 0;
        let form = match request.command {
            Command::Read if is_gathered => ReplyForm::Gathered(GatheredRead {
                offset: request.offset,
                length: request.length,
                parts: BTreeMap::new(),
            }),
            Command::Read => ReplyForm::ReadChunks,
            Command::BlockStatus => ReplyForm::BlockStatus { extent_limit: extent_limit(request) },
            _ => ReplyForm::ResultOnly,
        };
        self.forms.insert(request.cookie, form);
    }

    /// Writes a part of a reply to the session's output. Payload bytes are returned instead of copied to the
    /// output; the caller must send them right after it.
    pub(crate) fn write_part(
        &mut self,
        session: &mut Session,
        cookie: u64,
        part: ReplyPart,
    ) -> Option<Bytes> {
        let form = self.forms.get_mut(&cookie)?;
        match (part, form) {
            (ReplyPart::Final(result), _) => self.write_final(session, cookie, result),
            (ReplyPart::Data { offset, data }, ReplyForm::Gathered(read)) => {
                read.parts.insert(offset, data);
                None
            }
            (ReplyPart::Data { offset, data }, _) => {
                session.put_chunk(cookie, Chunk::Data { offset, data }, false)
            }
            // The buffer of a gathered read is filled with zeros first.
            (ReplyPart::Hole { .. }, ReplyForm::Gathered(_)) => None,
            (ReplyPart::Hole { offset, length }, _) => {
                session.put_chunk(cookie, Chunk::Hole { offset, length }, false)
            }
            (ReplyPart::DataRanges(ranges), form) => {
                let is_first_only = matches!(form, ReplyForm::BlockStatus { extent_limit: ExtentLimit::One });
                let mut extents = extents(&ranges);
                extents.truncate(if is_first_only { 1 } else { usize::MAX });
                session.put_chunk(cookie, Chunk::BlockStatus { context: ALLOCATION_ID, extents }, false)
            }
        }
    }

    fn write_final(&mut self, session: &mut Session, cookie: u64, result: FinalResult) -> Option<Bytes> {
        let form = self.forms.remove(&cookie)?;
        match result {
            FinalResult::Succeeded => write_success(session, cookie, form),
            FinalResult::Rejected { retry_after } => {
                session.put_error(cookie, Errno::NoMem, rejection_text(retry_after));
                None
            }
            FinalResult::Failed => {
                session.put_error(cookie, Errno::Io, "aborted".into());
                None
            }
        }
    }
}

fn write_success(session: &mut Session, cookie: u64, form: ReplyForm) -> Option<Bytes> {
    let data = match form {
        ReplyForm::Gathered(read) => Some((read.offset, read.into_buffer())),
        _ => None,
    };
    if !session.has_structured_replies() {
        session.put_simple_reply(cookie);
        return data.map(|(_, data)| data);
    }
    let chunk = data.map_or(Chunk::None, |(offset, data)| Chunk::Data { offset, data });
    session.put_chunk(cookie, chunk, true)
}

/// The error text of a rejection (docs/errors.md).
fn rejection_text(retry_after: Duration) -> String {
    match retry_after.as_millis() {
        0 => "throttled".to_string(),
        milliseconds => format!("throttled retry_after_ms={milliseconds}"),
    }
}

fn extent_limit(request: &Request) -> ExtentLimit {
    if request.flags & CMD_FLAG_REQ_ONE != 0 { ExtentLimit::One } else { ExtentLimit::All }
}

/// The extents of a block status reply; adjacent ranges of the same state are merged.
fn extents(ranges: &[DataRange]) -> Vec<Extent> {
    let mut extents: Vec<Extent> = Vec::new();
    for range in ranges {
        let flags = if range.has_data { 0 } else { STATE_HOLE | STATE_ZERO };
        match extents.last_mut().filter(|last| last.flags == flags) {
            Some(last) => last.length += range.length,
            None => extents.push(Extent { length: range.length, flags }),
        }
    }
    extents
}

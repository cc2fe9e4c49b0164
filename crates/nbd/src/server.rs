//! The server's side of a session: negotiation ("Fixed newstyle negotiation", "Option types"), then requests.

use std::collections::HashSet;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use winnow::binary::{be_u16, be_u32};

use crate::ProtocolError;
use crate::proto::*;

/// The exports that a client may see.
pub trait Exports {
    fn find(&self, name: &str) -> Option<Export>;
    fn names(&self) -> Vec<String>;
}

/// What a session may ask for, in bytes and counts.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub option_bytes: u32,
    pub options: u32,
}

impl Default for Limits {
    /// Room for an INFO option with the longest name that the text allows, and for a hundred options.
    fn default() -> Limits {
        Limits { option_bytes: 2 * MAX_STRING as u32, options: 100 }
    }
}

/// What the bytes so far amount to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// Nothing whole is left; read more.
    More,
    /// Negotiation has ended in this export; requests follow.
    Attached(Export),
    /// A request's header has come; it will hold so many bytes, a write's payload or a read's data. Call again when
    /// there is room for them.
    Pending {
        bytes: u32,
    },
    Request(Request),
    /// A request that cannot be served; its error reply is already in the output.
    Rejected {
        cookie: u64,
        errno: Errno,
        reason: &'static str,
    },
    /// The client has said goodbye: answer what is open, then close.
    Disconnected,
}

enum State {
    ClientFlags,
    Options,
    Transmission(Export),
    Ended,
}

pub struct Session {
    state: State,
    limits: Limits,
    no_zeroes: bool,
    structured: bool,
    /// The export that `base:allocation` was selected for.
    allocation: Option<String>,
    options: u32,
    open: HashSet<u64>,
    header: Option<RequestHeader>,
    out: BytesMut,
    shutting_down: bool,
    /// Bytes of a payload that was turned away, yet to be dropped.
    unwanted: usize,
}

impl Session {
    /// A fresh session, with the greeting in its output.
    pub fn new(limits: Limits) -> Session {
        let mut out = BytesMut::with_capacity(256);
        out.put_u64(NBDMAGIC);
        out.put_u64(IHAVEOPT);
        out.put_u16(FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES);
        Session {
            state: State::ClientFlags,
            limits,
            no_zeroes: false,
            structured: false,
            allocation: None,
            options: 0,
            open: HashSet::new(),
            header: None,
            out,
            shutting_down: false,
            unwanted: 0,
        }
    }

    /// Bytes for the client, in order; the caller drains them.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.out
    }

    pub fn structured(&self) -> bool {
        self.structured
    }

    /// How many requests have no reply yet.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Turns away the request whose header has come, instead of waiting for room: its answer goes out now, and its payload is
    /// dropped as it comes. False where that cannot be: a goodbye has no answer, and a cookie that is open has one to come.
    pub fn reject(&mut self, errno: Errno, why: String) -> bool {
        let turned = |header: &RequestHeader| {
            header.command != Command::Disc.number() && !self.open.contains(&header.cookie)
        };
        let Some(header) = self.header.take_if(|header| turned(header)) else { return false };
        if header.command == Command::Write.number() {
            self.unwanted = header.length as usize;
        }
        self.error(header.cookie, errno, why);
        true
    }

    /// From now on options and requests are answered with the shutdown errors.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// Takes the next whole message off `input`.
    pub fn receive(
        &mut self,
        input: &mut BytesMut,
        exports: &dyn Exports,
    ) -> Result<SessionEvent, ProtocolError> {
        loop {
            match &self.state {
                State::ClientFlags => {
                    if input.len() < 4 {
                        return Ok(SessionEvent::More);
                    }
                    let flags = input.get_u32();
                    let known = u32::from(FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES);
                    if flags & !known != 0 || flags & u32::from(FLAG_FIXED_NEWSTYLE) == 0 {
                        return Err(ProtocolError::ClientFlags(flags));
                    }
                    self.no_zeroes = flags & u32::from(FLAG_NO_ZEROES) != 0;
                    self.state = State::Options;
                }
                State::Options => match self.option(input, exports)? {
                    Some(step) => return Ok(step),
                    None => continue,
                },
                State::Transmission(_) => return self.request(input),
                State::Ended => {
                    input.clear();
                    return Ok(SessionEvent::More);
                }
            }
        }
    }

    // Negotiation.

    fn option(
        &mut self,
        input: &mut BytesMut,
        exports: &dyn Exports,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        let Some((mut magic, mut rest)) = input.get(..16).map(|head| head.split_at(8)) else {
            return Ok(Some(SessionEvent::More));
        };
        let magic = magic.get_u64();
        if magic != IHAVEOPT {
            return Err(ProtocolError::Magic { place: "an option", found: magic });
        }
        let (option, length) = (rest.get_u32(), rest.get_u32());
        let bound = self.limits.option_bytes;
        if length > bound {
            return Err(ProtocolError::LongOption { option, length, bound });
        }
        if input.len() < 16 + length as usize {
            return Ok(Some(SessionEvent::More));
        }
        input.advance(16);
        let data = input.split_to(length as usize).freeze();
        self.options += 1;
        if self.options > self.limits.options {
            return Err(ProtocolError::ManyOptions(self.options));
        }
        self.answer_option(option, data, exports)
    }

    fn answer_option(
        &mut self,
        option: u32,
        data: Bytes,
        exports: &dyn Exports,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        if option == OPT_ABORT {
            self.option_reply(option, REP_ACK, &[]);
            self.state = State::Ended;
            return Ok(Some(SessionEvent::Disconnected));
        }
        if self.shutting_down {
            // EXPORT_NAME has no error reply ("NBD_OPT_EXPORT_NAME"): the session can only be closed.
            if option == OPT_EXPORT_NAME {
                self.state = State::Ended;
                return Ok(Some(SessionEvent::Disconnected));
            }
            self.option_reply(option, REP_ERR_SHUTDOWN, b"the server is shutting down");
            return Ok(None);
        }
        match option {
            OPT_EXPORT_NAME => {
                let name = String::from_utf8_lossy(&data).into_owned();
                let Some(export) = exports.find(&name) else { return Err(ProtocolError::NoSuchExport(name)) };
                self.out.put_u64(export.size);
                self.out.put_u16(self.transmission_flags(&export));
                if !self.no_zeroes {
                    self.out.put_bytes(0, 124);
                }
                return Ok(Some(self.attach(export)));
            }
            OPT_LIST if !data.is_empty() => self.invalid(option, "LIST carries no data"),
            OPT_LIST => {
                for name in exports.names() {
                    let mut entry = BytesMut::new();
                    entry.put_u32(name.len() as u32);
                    entry.put_slice(name.as_bytes());
                    self.option_reply(option, REP_SERVER, &entry);
                }
                self.option_reply(option, REP_ACK, &[]);
            }
            OPT_STRUCTURED_REPLY if !data.is_empty() => {
                self.invalid(option, "STRUCTURED_REPLY carries no data");
            }
            OPT_STRUCTURED_REPLY => {
                self.structured = true;
                self.option_reply(option, REP_ACK, &[]);
            }
            OPT_INFO | OPT_GO => return Ok(self.info(option, &data, exports)),
            OPT_LIST_META_CONTEXT | OPT_SET_META_CONTEXT => self.meta_context(option, &data, exports),
            _ => self.option_reply(option, REP_ERR_UNSUP, b"this option is not supported"),
        }
        Ok(None)
    }

    /// "NBD_OPT_INFO and NBD_OPT_GO": the export's facts, all of them whether asked for or not.
    fn info(&mut self, option: u32, data: &[u8], exports: &dyn Exports) -> Option<SessionEvent> {
        let Some((name, wanted)) = info_request(data) else {
            self.invalid(option, "lengths within the option contradict its length");
            return None;
        };
        let Some(export) = exports.find(&name) else {
            self.option_reply(option, REP_ERR_UNKNOWN, b"there is no such export");
            return None;
        };
        let mut info = BytesMut::new();
        info.put_u16(INFO_EXPORT);
        info.put_u64(export.size);
        info.put_u16(self.transmission_flags(&export));
        self.option_reply(option, REP_INFO, &info);
        for (kind, text) in [(INFO_NAME, &export.name), (INFO_DESCRIPTION, &export.description)] {
            if wanted.contains(&kind) {
                info.clear();
                info.put_u16(kind);
                info.put_slice(text.as_bytes());
                self.option_reply(option, REP_INFO, &info);
            }
        }
        info.clear();
        info.put_u16(INFO_BLOCK_SIZE);
        info.put_u32(export.blocks.minimum);
        info.put_u32(export.blocks.preferred);
        info.put_u32(export.blocks.maximum);
        self.option_reply(option, REP_INFO, &info);
        self.option_reply(option, REP_ACK, &[]);
        (option == OPT_GO).then(|| self.attach(export))
    }

    /// "Metadata querying": `base:allocation` is the only context.
    fn meta_context(&mut self, option: u32, data: &[u8], exports: &dyn Exports) {
        let Some((name, queries)) = context_request(data) else {
            return self.invalid(option, "lengths within the option contradict its length");
        };
        if !self.structured {
            return self.invalid(option, "structured replies were not negotiated");
        }
        if exports.find(&name).is_none() {
            return self.option_reply(option, REP_ERR_UNKNOWN, b"there is no such export");
        }
        let list = option == OPT_LIST_META_CONTEXT;
        let matches = |query: &String| query == BASE_ALLOCATION || list && query == "base:";
        let selected = queries.iter().any(matches) || list && queries.is_empty();
        if !list {
            self.allocation = selected.then_some(name);
        }
        if selected {
            let mut entry = BytesMut::new();
            entry.put_u32(if list { 0 } else { ALLOCATION_ID });
            entry.put_slice(BASE_ALLOCATION.as_bytes());
            self.option_reply(option, REP_META_CONTEXT, &entry);
        }
        self.option_reply(option, REP_ACK, &[]);
    }

    fn attach(&mut self, export: Export) -> SessionEvent {
        // A context selected for another export does not count ("NBD_OPT_SET_META_CONTEXT").
        self.allocation = self.allocation.take().filter(|name| *name == export.name);
        self.state = State::Transmission(export.clone());
        SessionEvent::Attached(export)
    }

    /// DF makes sense only with structured replies.
    fn transmission_flags(&self, export: &Export) -> u16 {
        HAS_FLAGS | export.flags & if self.structured { u16::MAX } else { !SEND_DF }
    }

    fn option_reply(&mut self, option: u32, kind: u32, data: &[u8]) {
        self.out.put_u64(OPTION_REPLY);
        self.out.put_u32(option);
        self.out.put_u32(kind);
        self.out.put_u32(data.len() as u32);
        self.out.put_slice(data);
    }

    fn invalid(&mut self, option: u32, why: &str) {
        self.option_reply(option, REP_ERR_INVALID, why.as_bytes());
    }

    // Transmission.

    fn request(&mut self, input: &mut BytesMut) -> Result<SessionEvent, ProtocolError> {
        let State::Transmission(export) = &self.state else { return Ok(SessionEvent::More) };
        let dropped = self.unwanted.min(input.len());
        input.advance(dropped);
        self.unwanted -= dropped;
        if self.header.is_none() {
            let Some(head) = input.first_chunk::<REQUEST_HEADER>() else { return Ok(SessionEvent::More) };
            let header = request_header(head);
            if header.magic != REQUEST_MAGIC {
                return Err(ProtocolError::Magic { place: "a request", found: header.magic.into() });
            }
            let (write, bound) = (header.command == Command::Write.number(), export.blocks.maximum);
            // Reading on past a payload beyond the bound could take for ever: the text allows to disconnect.
            if write && header.length > bound {
                return Err(ProtocolError::LongPayload { length: header.length, bound });
            }
            input.advance(REQUEST_HEADER);
            let command = Command::from_number(header.command);
            let holds = matches!(command, Some(Command::Write | Command::Read));
            let bytes = if holds { header.length.min(bound) } else { 0 };
            self.header = Some(header);
            return Ok(SessionEvent::Pending { bytes });
        }
        let Some(header) = &self.header else { return Ok(SessionEvent::More) };
        let payload = if header.command == Command::Write.number() { header.length as usize } else { 0 };
        if input.len() < payload {
            return Ok(SessionEvent::More);
        }
        if self.open.contains(&header.cookie) {
            return Err(ProtocolError::ReusedCookie(header.cookie));
        }
        let (cookie, payload) = (header.cookie, input.split_to(payload).freeze());
        let judged = self.judge(header, export);
        let (offset, length, flags) = (header.offset, header.length, header.flags);
        self.header = None;
        match judged {
            Ok(Command::Disc) => {
                self.state = State::Ended;
                Ok(SessionEvent::Disconnected)
            }
            Ok(command) => {
                self.open.insert(cookie);
                Ok(SessionEvent::Request(Request { cookie, command, flags, offset, length, payload }))
            }
            Err((errno, why)) => {
                self.error(cookie, errno, why.into());
                Ok(SessionEvent::Rejected { cookie, errno, reason: why })
            }
        }
    }

    fn judge(&self, header: &RequestHeader, export: &Export) -> Result<Command, (Errno, &'static str)> {
        let command = Command::from_number(header.command).ok_or((Errno::Inval, "unknown command"))?;
        if command == Command::Disc {
            return Ok(command);
        }
        if self.shutting_down {
            return Err((Errno::Shutdown, "the server is shutting down"));
        }
        if header.flags & !command.allowed_flags() != 0 {
            return Err((Errno::Inval, "flags that do not go with the command"));
        }
        if command == Command::BlockStatus && self.allocation.is_none() {
            return Err((Errno::Inval, "no metadata context was selected"));
        }
        if command == Command::Flush {
            let empty = header.offset == 0 && header.length == 0;
            return if empty { Ok(command) } else { Err((Errno::Inval, "a flush names no range")) };
        }
        let minimum = u64::from(export.blocks.minimum);
        if header.length == 0 {
            return Err((Errno::Inval, "an empty range"));
        }
        if !header.offset.is_multiple_of(minimum) || !u64::from(header.length).is_multiple_of(minimum) {
            return Err((Errno::Inval, "a range that is not a multiple of the minimum block size"));
        }
        if header.offset.checked_add(header.length.into()).is_none_or(|end| end > export.size) {
            let errno = if command.writes() { Errno::NoSpc } else { Errno::Inval };
            return Err((errno, "a range beyond the export's end"));
        }
        if command == Command::Read && header.length > export.blocks.maximum {
            return Err((Errno::Inval, "a read over the maximum block size"));
        }
        Ok(command)
    }

    // Replies.

    /// One chunk of a structured reply; a data chunk's bytes come back, to follow the output uncopied.
    pub fn chunk(&mut self, cookie: u64, chunk: Chunk, done: bool) -> Option<Bytes> {
        if done {
            self.open.remove(&cookie);
        }
        put_chunk(&mut self.out, cookie, chunk, done)
    }

    /// A simple reply of success; a read's data is to follow it.
    pub fn simple(&mut self, cookie: u64) {
        self.open.remove(&cookie);
        put_simple(&mut self.out, cookie, 0);
    }

    /// A request's one final reply of failure, in the shape that was negotiated.
    pub fn error(&mut self, cookie: u64, errno: Errno, message: String) {
        self.open.remove(&cookie);
        if self.structured {
            put_chunk(&mut self.out, cookie, Chunk::Error { errno, message, offset: None }, true);
        } else {
            put_simple(&mut self.out, cookie, errno.number());
        }
    }
}

/// Name and information kinds of an INFO or GO.
fn info_request(data: &[u8]) -> Option<(String, Vec<u16>)> {
    let (name, mut rest) = name(data)?;
    let count = numbers(&mut rest, be_u16)?;
    let kinds: Option<Vec<u16>> = (0..count).map(|_| numbers(&mut rest, be_u16)).collect();
    Some((name, kinds?)).filter(|_| rest.is_empty())
}

/// Name and queries of a LIST_META_CONTEXT or SET_META_CONTEXT.
fn context_request(data: &[u8]) -> Option<(String, Vec<String>)> {
    let (export, mut rest) = name(data)?;
    let count = numbers(&mut rest, be_u32)?;
    let mut queries = Vec::new();
    for _ in 0..count {
        let (query, after) = name(rest)?;
        queries.push(query);
        rest = after;
    }
    rest.is_empty().then_some((export, queries))
}

fn name(mut data: &[u8]) -> Option<(String, &[u8])> {
    let length = numbers(&mut data, be_u32)? as usize;
    let (text, rest) = data.split_at_checked(length).filter(|_| length <= MAX_STRING)?;
    Some((String::from_utf8(text.to_vec()).ok()?, rest))
}

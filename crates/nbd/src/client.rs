//! The client's side: negotiation by GO, then requests and replies in any order.

use std::collections::HashMap;

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::ProtocolError;
use crate::proto::*;

/// A reply, or one chunk of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A whole simple reply; `data` is a read's.
    Simple { cookie: u64, error: Option<Errno>, data: Bytes },
    /// One chunk; with `done` the reply is whole.
    Chunk { cookie: u64, chunk: Chunk, done: bool },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    More,
    Ready(Export),
    Names(Vec<String>),
    Reply(Reply),
}

/// What to negotiate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Negotiation {
    /// The exports' names, then the end.
    List,
    Export {
        name: String,
        structured: bool,
    },
}

enum State {
    Greeting,
    Options,
    Transmission,
}

pub struct Client {
    wish: Negotiation,
    state: State,
    names: Vec<String>,
    export: Export,
    /// Lengths of reads without a reply, by cookie.
    reads: HashMap<u64, u32>,
    out: BytesMut,
}

/// No server of ours sends more in a chunk than a payload may hold, and its fixed part.
const MAX_CHUNK: u32 = 64 << 20;

impl Client {
    pub fn new(wish: Negotiation) -> Client {
        let name = if let Negotiation::Export { name, .. } = &wish { name.clone() } else { String::new() };
        let blocks = BlockSizes { minimum: 1, preferred: 4096, maximum: 32 << 20 };
        let export = Export { name, description: String::new(), size: 0, flags: 0, blocks };
        let out = BytesMut::new();
        Client { wish, state: State::Greeting, names: Vec::new(), export, reads: HashMap::new(), out }
    }

    /// Bytes for the server, in order; the caller drains them.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.out
    }

    pub fn request(&mut self, request: &Request) {
        if request.command == Command::Read {
            self.reads.insert(request.cookie, request.length);
        }
        put_request(&mut self.out, request);
    }

    pub fn receive(&mut self, input: &mut BytesMut) -> Result<ClientEvent, ProtocolError> {
        loop {
            match self.state {
                State::Greeting => {
                    if input.len() < 18 {
                        return Ok(ClientEvent::More);
                    }
                    let (magic, style) = (input.get_u64(), input.get_u64());
                    if magic != NBDMAGIC || style != IHAVEOPT {
                        return Err(ProtocolError::Magic { place: "the greeting", found: magic });
                    }
                    let flags = input.get_u16() & (FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES);
                    self.out.put_u32(flags.into());
                    self.ask();
                    self.state = State::Options;
                }
                State::Options => match self.option_reply(input)? {
                    Some(step) => return Ok(step),
                    None => continue,
                },
                State::Transmission => return self.reply(input),
            }
        }
    }

    fn ask(&mut self) {
        match self.wish.clone() {
            Negotiation::List => self.option(OPT_LIST, &[]),
            Negotiation::Export { name, structured } => {
                let mut named = BytesMut::new();
                named.put_u32(name.len() as u32);
                named.put_slice(name.as_bytes());
                if structured {
                    self.option(OPT_STRUCTURED_REPLY, &[]);
                    let mut context = named.clone();
                    context.put_u32(1);
                    context.put_u32(BASE_ALLOCATION.len() as u32);
                    context.put_slice(BASE_ALLOCATION.as_bytes());
                    self.option(OPT_SET_META_CONTEXT, &context);
                }
                named.put_u16(0);
                self.option(OPT_GO, &named);
            }
        }
    }

    fn option(&mut self, option: u32, data: &[u8]) {
        self.out.put_u64(IHAVEOPT);
        self.out.put_u32(option);
        self.out.put_u32(data.len() as u32);
        self.out.put_slice(data);
    }

    fn option_reply(&mut self, input: &mut BytesMut) -> Result<Option<ClientEvent>, ProtocolError> {
        let Some(mut head) = input.get(..20) else { return Ok(Some(ClientEvent::More)) };
        let magic = head.get_u64();
        if magic != OPTION_REPLY {
            return Err(ProtocolError::Magic { place: "an option reply", found: magic });
        }
        let (option, kind, length) = (head.get_u32(), head.get_u32(), head.get_u32());
        if length > MAX_CHUNK {
            return Err(ProtocolError::LongPayload { length, bound: MAX_CHUNK });
        }
        if input.len() < 20 + length as usize {
            return Ok(Some(ClientEvent::More));
        }
        input.advance(20);
        let mut data = input.split_to(length as usize).freeze();
        match (option, kind) {
            (_, kind) if kind & REP_ERR != 0 && option != OPT_SET_META_CONTEXT => {
                return Err(ProtocolError::Refused(String::from_utf8_lossy(&data).into_owned()));
            }
            (OPT_LIST, REP_SERVER) if data.len() >= 4 => {
                data.advance(4);
                self.names.push(String::from_utf8_lossy(&data).into_owned());
            }
            (OPT_LIST, REP_ACK) => return Ok(Some(ClientEvent::Names(std::mem::take(&mut self.names)))),
            (OPT_GO, REP_INFO) => self.info(&mut data),
            (OPT_GO, REP_ACK) => {
                self.state = State::Transmission;
                return Ok(Some(ClientEvent::Ready(self.export.clone())));
            }
            _ => {}
        }
        Ok(None)
    }

    fn info(&mut self, data: &mut Bytes) {
        if data.len() < 2 {
            return;
        }
        match data.get_u16() {
            INFO_EXPORT if data.len() == 10 => {
                (self.export.size, self.export.flags) = (data.get_u64(), data.get_u16());
            }
            INFO_BLOCK_SIZE if data.len() == 12 => {
                let (minimum, preferred, maximum) = (data.get_u32(), data.get_u32(), data.get_u32());
                self.export.blocks = BlockSizes { minimum, preferred, maximum };
            }
            _ => {}
        }
    }

    fn reply(&mut self, input: &mut BytesMut) -> Result<ClientEvent, ProtocolError> {
        let Some(mut head) = input.get(..16) else { return Ok(ClientEvent::More) };
        match head.get_u32() {
            SIMPLE_REPLY_MAGIC => {
                let (error, cookie) = (head.get_u32(), head.get_u64());
                let expected = self.reads.get(&cookie).copied().filter(|_| error == 0).unwrap_or(0) as usize;
                if input.len() < 16 + expected {
                    return Ok(ClientEvent::More);
                }
                input.advance(16);
                self.reads.remove(&cookie);
                let error = (error != 0).then(|| Errno::from_number(error));
                let data = input.split_to(expected).freeze();
                Ok(ClientEvent::Reply(Reply::Simple { cookie, error, data }))
            }
            STRUCTURED_REPLY_MAGIC => {
                let Some(mut head) = input.get(4..20) else { return Ok(ClientEvent::More) };
                let (flags, kind) = (head.get_u16(), head.get_u16());
                let (cookie, length) = (head.get_u64(), head.get_u32());
                if length > MAX_CHUNK {
                    return Err(ProtocolError::LongPayload { length, bound: MAX_CHUNK });
                }
                if input.len() < 20 + length as usize {
                    return Ok(ClientEvent::More);
                }
                input.advance(20);
                let chunk = read_chunk(kind, input.split_to(length as usize).freeze())
                    .ok_or(ProtocolError::Reply("a chunk's length and kind"))?;
                let done = flags & CHUNK_DONE != 0;
                if done {
                    self.reads.remove(&cookie);
                }
                Ok(ClientEvent::Reply(Reply::Chunk { cookie, chunk, done }))
            }
            other => Err(ProtocolError::Magic { place: "a reply", found: other.into() }),
        }
    }
}

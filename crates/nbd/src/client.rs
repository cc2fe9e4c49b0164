//! The client side of a session: negotiation with GO, then requests, whose replies may arrive in any order.

use std::collections::HashMap;

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::ProtocolError;
use crate::proto::{
    BASE_ALLOCATION, BlockSizes, CHUNK_DONE, Chunk, Command, Errno, Export, FLAG_FIXED_NEWSTYLE,
    FLAG_NO_ZEROES, IHAVEOPT, INFO_BLOCK_SIZE, INFO_EXPORT, NBDMAGIC, OPT_GO, OPT_LIST, OPT_SET_META_CONTEXT,
    OPT_STRUCTURED_REPLY, OPTION_REPLY, REP_ACK, REP_ERR, REP_INFO, REP_SERVER, Request, SIMPLE_REPLY_MAGIC,
    STRUCTURED_REPLY_MAGIC, put_request, read_chunk,
};

/// A reply, or one chunk of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A complete simple reply.
    Simple {
        /// The cookie of the request.
        cookie: u64,
        /// The error; absent if the request succeeded.
        error: Option<Errno>,
        /// The data of a successful read; otherwise empty.
        data: Bytes,
    },
    /// One chunk of a structured reply.
    Chunk {
        /// The cookie of the request.
        cookie: u64,
        /// The chunk's content.
        chunk: Chunk,
        /// Whether it is the last chunk of the reply.
        is_last: bool,
    },
}

/// The result of [`Client::receive`]: the server's next message, if it is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The next message is incomplete; read more bytes.
    Incomplete,
    /// Negotiation has ended: this export is selected, and requests may be sent.
    Ready(Export),
    /// The names of the exports, after [`Negotiation::List`].
    Names(Vec<String>),
    /// A reply, or one chunk of a reply.
    Reply(Reply),
}

/// What to negotiate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Negotiation {
    /// Request the names of the exports; afterwards the connection must be closed.
    List,
    /// Select an export, to send requests to it.
    Export {
        /// The export's name.
        name: String,
        /// Whether to negotiate structured replies and the metadata context `base:allocation`.
        structured_replies: bool,
    },
}

enum State {
    Greeting,
    Options,
    Transmission,
}

/// A session with a server.
pub struct Client {
    negotiation: Negotiation,
    state: State,
    names: Vec<String>,
    export: Export,
    /// Lengths of reads without a reply, bytes, by cookie.
    reads: HashMap<u64, u32>,
    output: BytesMut,
}

/// Maximum size of an option reply or a chunk, bytes. Servers stay below it: they send at most a payload of
/// the maximum block size and the fixed fields.
const MAX_REPLY_BYTES: u32 = 64 << 20;
/// Size of the greeting, bytes.
const GREETING_BYTES: usize = 18;
/// Size of an option reply's header, bytes.
const OPTION_REPLY_HEADER_BYTES: usize = 20;
/// Size of a simple reply's header, bytes.
const SIMPLE_REPLY_HEADER_BYTES: usize = 16;
/// Size of a structured reply chunk's header, bytes.
const CHUNK_HEADER_BYTES: usize = 20;
/// Block sizes to use if the server does not send any, bytes ("Block size constraints").
const DEFAULT_BLOCKS: BlockSizes = BlockSizes { minimum: 1, preferred: 4096, maximum: 32 << 20 };

impl Client {
    /// Creates a session; it sends nothing before it has received the server's greeting.
    pub fn new(negotiation: Negotiation) -> Client {
        let name =
            if let Negotiation::Export { name, .. } = &negotiation { name.clone() } else { String::new() };
        let description = String::new();
        let export = Export { name, description, size: 0, flags: 0, block_sizes: DEFAULT_BLOCKS };
        Client {
            negotiation,
            state: State::Greeting,
            names: Vec::new(),
            export,
            reads: HashMap::new(),
            output: BytesMut::new(),
        }
    }

    /// The bytes to send to the server; the caller removes what it has sent.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Writes a request to the output.
    pub fn request(&mut self, request: &Request) {
        if request.command == Command::Read {
            self.reads.insert(request.cookie, request.length);
        }
        put_request(&mut self.output, request);
    }

    /// Removes the next complete message from `input` and handles it.
    ///
    /// # Errors
    /// The server violates the protocol, or rejects an option; the connection must be closed.
    pub fn receive(&mut self, input: &mut BytesMut) -> Result<ClientEvent, ProtocolError> {
        loop {
            let event = match self.state {
                State::Greeting => self.receive_greeting(input)?,
                State::Options => self.receive_option_reply(input)?,
                State::Transmission => Some(self.receive_reply(input)?),
            };
            if let Some(event) = event {
                return Ok(event);
            }
        }
    }

    /// Reads the greeting, and writes the client's flags and all options. Returns an event only if the
    /// greeting is incomplete.
    fn receive_greeting(&mut self, input: &mut BytesMut) -> Result<Option<ClientEvent>, ProtocolError> {
        if input.len() < GREETING_BYTES {
            return Ok(Some(ClientEvent::Incomplete));
        }
        let first_magic = input.get_u64();
        let second_magic = input.get_u64();
        if first_magic != NBDMAGIC || second_magic != IHAVEOPT {
            return Err(ProtocolError::WrongMagic { message: "the greeting", found: first_magic });
        }
        let flags = input.get_u16() & (FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES);
        self.output.put_u32(flags.into());
        self.put_options();
        self.state = State::Options;
        Ok(None)
    }

    fn put_options(&mut self) {
        match self.negotiation.clone() {
            Negotiation::List => self.put_option(OPT_LIST, &[]),
            Negotiation::Export { name, structured_replies } => {
                let mut data = BytesMut::new();
                data.put_u32(name.len() as u32);
                data.put_slice(name.as_bytes());
                if structured_replies {
                    self.put_option(OPT_STRUCTURED_REPLY, &[]);
                    let mut context_data = data.clone();
                    context_data.put_u32(1);
                    context_data.put_u32(BASE_ALLOCATION.len() as u32);
                    context_data.put_slice(BASE_ALLOCATION.as_bytes());
                    self.put_option(OPT_SET_META_CONTEXT, &context_data);
                }
                data.put_u16(0);
                self.put_option(OPT_GO, &data);
            }
        }
    }

    fn put_option(&mut self, option: u32, data: &[u8]) {
        self.output.put_u64(IHAVEOPT);
        self.output.put_u32(option);
        self.output.put_u32(data.len() as u32);
        self.output.put_slice(data);
    }

    /// Reads an option reply. Returns an event only if the reply is incomplete or negotiation has ended.
    fn receive_option_reply(&mut self, input: &mut BytesMut) -> Result<Option<ClientEvent>, ProtocolError> {
        let Some(mut header) = input.get(..OPTION_REPLY_HEADER_BYTES) else {
            return Ok(Some(ClientEvent::Incomplete));
        };
        let magic = header.get_u64();
        if magic != OPTION_REPLY {
            return Err(ProtocolError::WrongMagic { message: "an option reply", found: magic });
        }
        let option = header.get_u32();
        let kind = header.get_u32();
        let length = header.get_u32();
        if length > MAX_REPLY_BYTES {
            return Err(ProtocolError::PayloadTooLong { length, limit: MAX_REPLY_BYTES });
        }
        if input.len() < OPTION_REPLY_HEADER_BYTES + length as usize {
            return Ok(Some(ClientEvent::Incomplete));
        }
        input.advance(OPTION_REPLY_HEADER_BYTES);
        let mut data = input.split_to(length as usize).freeze();
        match (option, kind) {
            (_, kind) if kind & REP_ERR != 0 && option != OPT_SET_META_CONTEXT => {
                return Err(ProtocolError::OptionRejected(String::from_utf8_lossy(&data).into_owned()));
            }
            (OPT_LIST, REP_SERVER) if data.len() >= 4 => {
                data.advance(4);
                self.names.push(String::from_utf8_lossy(&data).into_owned());
            }
            (OPT_LIST, REP_ACK) => return Ok(Some(ClientEvent::Names(std::mem::take(&mut self.names)))),
            (OPT_GO, REP_INFO) => self.apply_info(&mut data),
            (OPT_GO, REP_ACK) => {
                self.state = State::Transmission;
                return Ok(Some(ClientEvent::Ready(self.export.clone())));
            }
            _ => {}
        }
        Ok(None)
    }

    /// Applies the information about the export that the server sends; unknown information is ignored.
    fn apply_info(&mut self, data: &mut Bytes) {
        if data.len() < 2 {
            return;
        }
        match data.get_u16() {
            INFO_EXPORT if data.len() == 10 => {
                self.export.size = data.get_u64();
                self.export.flags = data.get_u16();
            }
            INFO_BLOCK_SIZE if data.len() == 12 => {
                self.export.block_sizes = BlockSizes {
                    minimum: data.get_u32(),
                    preferred: data.get_u32(),
                    maximum: data.get_u32(),
                };
            }
            _ => {}
        }
    }

    fn receive_reply(&mut self, input: &mut BytesMut) -> Result<ClientEvent, ProtocolError> {
        let Some(mut header) = input.get(..SIMPLE_REPLY_HEADER_BYTES) else {
            return Ok(ClientEvent::Incomplete);
        };
        match header.get_u32() {
            SIMPLE_REPLY_MAGIC => Ok(self.receive_simple_reply(input)),
            STRUCTURED_REPLY_MAGIC => self.receive_chunk(input),
            other => Err(ProtocolError::WrongMagic { message: "a reply", found: other.into() }),
        }
    }

    /// Reads a simple reply whose header is complete in `input`; the data of a successful read follows the
    /// header.
    fn receive_simple_reply(&mut self, input: &mut BytesMut) -> ClientEvent {
        let mut header = &input[4..SIMPLE_REPLY_HEADER_BYTES];
        let error = header.get_u32();
        let cookie = header.get_u64();
        let data_length = self.reads.get(&cookie).copied().filter(|_| error == 0).unwrap_or(0) as usize;
        if input.len() < SIMPLE_REPLY_HEADER_BYTES + data_length {
            return ClientEvent::Incomplete;
        }
        input.advance(SIMPLE_REPLY_HEADER_BYTES);
        self.reads.remove(&cookie);
        let error = (error != 0).then(|| Errno::from_number(error));
        let data = input.split_to(data_length).freeze();
        ClientEvent::Reply(Reply::Simple { cookie, error, data })
    }

    /// Reads a chunk of a structured reply whose magic number is complete in `input`.
    fn receive_chunk(&mut self, input: &mut BytesMut) -> Result<ClientEvent, ProtocolError> {
        let Some(mut header) = input.get(4..CHUNK_HEADER_BYTES) else { return Ok(ClientEvent::Incomplete) };
        let flags = header.get_u16();
        let kind = header.get_u16();
        let cookie = header.get_u64();
        let length = header.get_u32();
        if length > MAX_REPLY_BYTES {
            return Err(ProtocolError::PayloadTooLong { length, limit: MAX_REPLY_BYTES });
        }
        if input.len() < CHUNK_HEADER_BYTES + length as usize {
            return Ok(ClientEvent::Incomplete);
        }
        input.advance(CHUNK_HEADER_BYTES);
        let chunk = read_chunk(kind, input.split_to(length as usize).freeze()).ok_or(
            ProtocolError::InvalidReply("unknown kind of chunk, or a length that does not fit the kind"),
        )?;
        let is_last = flags & CHUNK_DONE != 0;
        if is_last {
            self.reads.remove(&cookie);
        }
        Ok(ClientEvent::Reply(Reply::Chunk { cookie, chunk, is_last }))
    }
}

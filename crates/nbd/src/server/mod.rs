//! The server's side of a session: negotiation ("Fixed newstyle negotiation", "Option types"), then transmission.

mod negotiation;
mod option_data;
mod transmission;

use std::collections::HashSet;

use bytes::{BufMut, BytesMut};

use crate::ProtocolError;
use crate::proto::{
    Errno, Export, FLAG_FIXED_NEWSTYLE, FLAG_NO_ZEROES, IHAVEOPT, MAX_STRING, NBDMAGIC, Request,
    RequestHeader,
};

/// The exports that a client may see.
pub trait Exports {
    /// The export of a name, if there is one.
    fn find(&self, name: &str) -> Option<Export>;
    /// The names of all exports, for LIST.
    fn names(&self) -> Vec<String>;
}

/// Bounds of a negotiation.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of an option's data, at most.
    pub option_bytes: u32,
    /// Number of options, at most.
    pub options: u32,
}

impl Default for Limits {
    /// Enough for an INFO option with the longest name that the text allows, and for a hundred options.
    fn default() -> Limits {
        Limits { option_bytes: 2 * MAX_STRING as u32, options: 100 }
    }
}

/// What the next message of a client is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// There is no whole message; read more.
    More,
    /// Negotiation has ended in this export; requests follow.
    Attached(Export),
    /// A request's header has come. Call [`Session::receive`] again when there is a buffer, or [`Session::reject`].
    Pending {
        /// What the request will hold: a write's payload or a read's data, bytes.
        bytes: u32,
    },
    /// A request that is to be answered.
    Request(Request),
    /// A request that cannot be served; its error reply is in the output already.
    Rejected {
        /// The request's cookie.
        cookie: u64,
        /// The error that was replied.
        errno: Errno,
        /// The text that was replied.
        reason: &'static str,
    },
    /// The client has disconnected: answer what is open, then close.
    Disconnected,
}

enum State {
    ClientFlags,
    Options,
    Transmission(Export),
    Ended,
}

/// A session with one client.
///
/// Invariant: a request has exactly one final reply, and its cookie is open from [`SessionEvent::Request`] until then.
pub struct Session {
    state: State,
    limits: Limits,
    omits_zero_padding: bool,
    has_structured_replies: bool,
    /// The export that `base:allocation` was selected for.
    allocation_export: Option<String>,
    option_count: u32,
    open_cookies: HashSet<u64>,
    /// The header of the request that waits for a buffer, or for its payload.
    pending_header: Option<RequestHeader>,
    output: BytesMut,
    is_shutting_down: bool,
    /// Bytes of a rejected request's payload that are still to be discarded.
    payload_to_discard: usize,
}

impl Session {
    /// A new session, with the greeting in its output.
    pub fn new(limits: Limits) -> Session {
        let mut output = BytesMut::with_capacity(256);
        output.put_u64(NBDMAGIC);
        output.put_u64(IHAVEOPT);
        output.put_u16(FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES);
        Session {
            state: State::ClientFlags,
            limits,
            omits_zero_padding: false,
            has_structured_replies: false,
            allocation_export: None,
            option_count: 0,
            open_cookies: HashSet::new(),
            pending_header: None,
            output,
            is_shutting_down: false,
            payload_to_discard: 0,
        }
    }

    /// Bytes for the client, in order; the caller drains them.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Whether structured replies were negotiated.
    pub fn has_structured_replies(&self) -> bool {
        self.has_structured_replies
    }

    /// Number of requests that have no final reply yet.
    pub fn open_requests(&self) -> usize {
        self.open_cookies.len()
    }

    /// From now on options and requests are answered with the shutdown errors.
    pub fn shut_down(&mut self) {
        self.is_shutting_down = true;
    }

    /// Removes the next whole message from `input`.
    ///
    /// # Errors
    /// The client breaks the protocol; the session can only be closed.
    pub fn receive(
        &mut self,
        input: &mut BytesMut,
        exports: &dyn Exports,
    ) -> Result<SessionEvent, ProtocolError> {
        loop {
            let event = match &self.state {
                State::ClientFlags => self.receive_client_flags(input)?,
                State::Options => self.receive_option(input, exports)?,
                State::Transmission(_) => Some(self.receive_request(input)?),
                State::Ended => {
                    input.clear();
                    Some(SessionEvent::More)
                }
            };
            if let Some(event) = event {
                return Ok(event);
            }
        }
    }
}

//! The server side of a session: negotiation ("Fixed newstyle negotiation", "Option types"), then
//! transmission.

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
    /// The export with the given name, if it exists.
    fn find(&self, name: &str) -> Option<Export>;
    /// The names of all exports, for LIST.
    fn names(&self) -> Vec<String>;
}

/// Limits of a negotiation.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of an option's data, bytes.
    pub max_option_bytes: u32,
    /// Maximum number of options.
    pub max_options: u32,
}

impl Default for Limits {
    /// Enough for an INFO option with the longest name that the specification allows, and for a hundred
    /// options.
    fn default() -> Limits {
        Limits { max_option_bytes: 2 * MAX_STRING as u32, max_options: 100 }
    }
}

/// The result of [`Session::receive`]: the client's next message, if it is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// The next message is incomplete; read more bytes.
    Incomplete,
    /// Negotiation has ended: the client has selected this export. Requests follow.
    ExportSelected(Export),
    /// The header of a request has been received. Call [`Session::receive`] again once a buffer is available
    /// for the request, or reject it with [`Session::reject`].
    HeaderReceived {
        /// Size of the buffer that the request needs for a write's payload or a read's data, bytes.
        bytes: u32,
    },
    /// A request, which the caller must execute and reply to.
    Request(Request),
    /// An invalid request, or one during shutdown; its error reply is already in the output.
    Rejected {
        /// The request's cookie.
        cookie: u64,
        /// The error of the reply.
        errno: Errno,
        /// The message of the reply.
        reason: &'static str,
    },
    /// The client has disconnected: complete the open requests, then close the connection.
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
/// Invariant: each request has exactly one final reply, and its cookie is open from [`SessionEvent::Request`]
/// until that reply is written.
pub struct Session {
    state: State,
    limits: Limits,
    omits_zero_padding: bool,
    has_structured_replies: bool,
    /// Name of the export for which `base:allocation` was selected.
    allocation_export: Option<String>,
    option_count: u32,
    /// Cookies of requests without a final reply.
    open_cookies: HashSet<u64>,
    /// The header of the request that waits for a buffer or for its payload.
    pending_header: Option<RequestHeader>,
    /// Bytes to send to the client.
    output: BytesMut,
    is_shutting_down: bool,
    /// Number of bytes of a rejected request's payload that are still to be received and discarded.
    payload_to_discard: usize,
}

impl Session {
    /// Creates a session, with the greeting in its output.
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

    /// The bytes to send to the client; the caller removes what it has sent.
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

    /// Starts the shutdown: from now on options and requests are rejected with the shutdown errors.
    pub fn shut_down(&mut self) {
        self.is_shutting_down = true;
    }

    /// Removes the next complete message from `input` and handles it.
    ///
    /// # Errors
    /// The client violates the protocol; the connection must be closed.
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
                    Some(SessionEvent::Incomplete)
                }
            };
            if let Some(event) = event {
                return Ok(event);
            }
        }
    }
}

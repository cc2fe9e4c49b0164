//! Reading a client's messages: none is read before there is a buffer for it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;

use bytes::BytesMut;
use umbertray_nbd::{Errno, Export, SessionEvent};
use umbertray_routing::{BufferGuard, Input, Request, RequestId};

use super::exports::VolumeExports;
use super::{CloseReason, SessionTask};
use crate::buffer_budget::BufferAdmission;
use crate::event_loop::LoopEvent;
use crate::replies;

/// Bytes read at a time, at most, beyond a payload that is known to come.
const READ_BYTES: usize = 16 * 1024;

type PendingAdmission = Pin<Box<dyn Future<Output = Option<BufferAdmission>> + Send>>;

/// What may be read next.
pub(super) enum ReadState {
    /// The next header.
    Ready,
    /// Nothing: a request's header has come, and its bytes wait for a buffer.
    AwaitingBuffer(PendingAdmission),
    /// The rest of a request that has a buffer.
    BufferGranted(BufferGuard),
    /// Nothing more: the client has sent a disconnect.
    Closed,
}

impl ReadState {
    /// The admission that is waited for; never, where none is. Cancellation loses nothing: the wait goes on in the state.
    pub(super) async fn buffer_admission(&mut self) -> Option<BufferAdmission> {
        match self {
            ReadState::AwaitingBuffer(admission) => admission.await,
            _ => std::future::pending().await,
        }
    }

    fn accepts_bytes(&self) -> bool {
        matches!(self, ReadState::Ready | ReadState::BufferGranted(_))
    }

    fn is_buffer_granted(&self) -> bool {
        matches!(self, ReadState::BufferGranted(_))
    }
}

impl SessionTask {
    /// Whether the client's bytes may be read now.
    pub(super) fn may_read(&self) -> bool {
        let max_requests = self.context.settings.bounds.requests_per_session;
        self.read_state.accepts_bytes() && self.session.open_requests() < max_requests
    }

    /// Whether the client owes the rest of a message, or of its negotiation.
    pub(super) fn is_mid_message(&self) -> bool {
        self.volume.is_none() || !self.input.is_empty() || self.read_state.is_buffer_granted()
    }

    /// Reads what has come; the end of the connection is an error.
    pub(super) fn read(&mut self) -> Result<(), CloseReason> {
        // An idle session holds no buffer.
        if self.input.is_empty() {
            self.input = BytesMut::with_capacity(READ_BYTES);
        } else {
            self.input.reserve(READ_BYTES);
        }
        let is_message_start = self.input.is_empty() && !self.read_state.is_buffer_granted();
        match self.socket.try_read_buf(&mut self.input) {
            Ok(0) => return Err(CloseReason::ConnectionClosed),
            Ok(_) => {
                self.last_read_at = self.context.clock.now();
                if is_message_start && self.volume.is_some() {
                    self.message_started_at = self.last_read_at;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    /// Takes the whole messages off the input, as far as there are buffers.
    pub(super) fn receive(&mut self) -> Result<(), CloseReason> {
        while self.may_read() {
            let exports = VolumeExports(self.context.current_settings.load_full());
            match self.session.receive(&mut self.input, &exports)? {
                SessionEvent::More => break,
                SessionEvent::Attached(export) => self.on_attached(&exports, &export),
                SessionEvent::Pending { bytes } => self.request_buffer(bytes),
                SessionEvent::Request(request) => self.on_request(request),
                SessionEvent::Rejected { errno, reason, .. } => {
                    tracing::debug!(connection_id = self.id.0, ?errno, reason, "request rejected");
                    self.start_next_message();
                }
                SessionEvent::Disconnected => self.read_state = ReadState::Closed,
            }
        }
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        Ok(())
    }

    fn on_attached(&mut self, exports: &VolumeExports, export: &Export) {
        self.volume = exports.0.volume_indices.get(&export.name).copied();
        self.message_started_at = self.last_read_at;
        tracing::info!(connection_id = self.id.0, export = export.name, "session attached");
    }

    fn request_buffer(&mut self, bytes: u32) {
        let Some(volume) = self.volume else { return };
        let settings = self.context.current_settings.load_full();
        let admission = self.budget.clone().request(volume, settings, bytes);
        self.read_state = ReadState::AwaitingBuffer(Box::pin(admission));
    }

    pub(super) fn on_buffer_admission(&mut self, admission: Option<BufferAdmission>) {
        match admission {
            Some(BufferAdmission::Granted(guard)) => self.read_state = ReadState::BufferGranted(guard),
            Some(BufferAdmission::Rejected { retry_after }) => {
                let milliseconds = retry_after.as_millis().max(1);
                let text = format!("throttled retry_after_ms={milliseconds} no_room");
                if self.session.reject(Errno::NoMem, text) {
                    self.start_next_message();
                } else {
                    // A disconnect, or a client that breaks the protocol: it holds nothing but its record.
                    self.read_state = ReadState::BufferGranted(Arc::new(()));
                }
            }
            None => self.read_state = ReadState::Closed,
        }
    }

    /// What follows a whole request in the input came with the last read.
    fn start_next_message(&mut self) {
        self.message_started_at = self.last_read_at;
        self.read_state = ReadState::Ready;
    }

    fn on_request(&mut self, request: umbertray_nbd::Request) {
        let started_at = self.message_started_at;
        let read_state = std::mem::replace(&mut self.read_state, ReadState::Ready);
        let ReadState::BufferGranted(hold) = read_state else { return };
        self.start_next_message();
        let Some(volume) = self.volume else { return };
        let Some(kind) = replies::operation_kind(request.command) else { return };
        self.replies.open(&request, self.session.has_structured_replies());
        let request = Request {
            id: RequestId(self.id, request.cookie),
            volume,
            kind,
            offset: request.offset,
            length: request.length,
            durable: replies::is_durable(&request),
            data: request.payload,
            started_at,
            hold,
        };
        _ = self.context.events.send(LoopEvent::CoreInput(Input::Request(request)));
    }
}

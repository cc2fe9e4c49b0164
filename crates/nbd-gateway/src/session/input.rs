//! Reads a client's messages. A request's payload is read only after a buffer was granted for it.

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

/// Maximum number of bytes read at a time, apart from a payload of known length.
const READ_BYTES: usize = 16 * 1024;

type PendingAdmission = Pin<Box<dyn Future<Output = Option<BufferAdmission>> + Send>>;

/// What may be read from the client next.
pub(super) enum ReadState {
    /// The next header.
    Ready,
    /// Nothing: a request's header was read, and the request waits for a buffer.
    AwaitingBuffer(PendingAdmission),
    /// The rest of a request for which a buffer was granted.
    BufferGranted(BufferGuard),
    /// Nothing any more: the client has sent a disconnect, or its volume is unknown.
    Closed,
}

impl ReadState {
    /// Waits for the pending admission; never returns if there is none. Cancel safe: the wait continues in
    /// the read state.
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

    /// Whether the rest of a message, or of the negotiation, is outstanding from the client.
    pub(super) fn is_mid_message(&self) -> bool {
        self.volume.is_none() || !self.input.is_empty() || self.read_state.is_buffer_granted()
    }

    /// Reads the bytes that have arrived. The end of the connection is returned as an error.
    pub(super) fn read(&mut self) -> Result<(), CloseReason> {
        // An idle session holds no input buffer, so it is allocated here.
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

    /// Processes the complete messages in the input, as long as buffers are granted.
    pub(super) fn receive(&mut self) -> Result<(), CloseReason> {
        while self.may_read() {
            let exports = VolumeExports(self.context.current_settings.load_full());
            match self.session.receive(&mut self.input, &exports)? {
                SessionEvent::Incomplete => break,
                SessionEvent::ExportSelected(export) => self.on_export_selected(&exports, &export),
                SessionEvent::HeaderReceived { bytes } => self.request_buffer(bytes),
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

    fn on_export_selected(&mut self, exports: &VolumeExports, export: &Export) {
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
                    // The message is a disconnect, or the client violates the protocol. Such a message holds
                    // no memory beyond its record, so it is not charged to the budget.
                    self.read_state = ReadState::BufferGranted(Arc::new(()));
                }
            }
            None => self.read_state = ReadState::Closed,
        }
    }

    /// The next message starts in the input already read, so its first byte came with the last read.
    fn start_next_message(&mut self) {
        self.message_started_at = self.last_read_at;
        self.read_state = ReadState::Ready;
    }

    fn on_request(&mut self, request: umbertray_nbd::Request) {
        let started_at = self.message_started_at;
        let read_state = std::mem::replace(&mut self.read_state, ReadState::Ready);
        let ReadState::BufferGranted(buffer_guard) = read_state else { return };
        self.start_next_message();
        let Some(volume) = self.volume else { return };
        let Some(kind) = replies::operation_kind(request.command) else { return };
        self.replies.register(&request, self.session.has_structured_replies());
        let request = Request {
            id: RequestId(self.id, request.cookie),
            volume,
            kind,
            offset: request.offset,
            length: request.length,
            durable: replies::is_durable(&request),
            data: request.payload,
            started_at,
            buffer_guard,
        };
        _ = self.context.events.send(LoopEvent::CoreInput(Input::Request(request)));
    }
}

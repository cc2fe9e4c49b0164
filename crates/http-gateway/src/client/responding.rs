//! Submitting requests, writing their responses, and the lingering close.

use std::future::ready;
use std::time::Instant;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::yield_now;
use tokio::time::{timeout, timeout_at};
use umbertray_http::EncodedMessage;
use umbertray_http::connection::{CloseDemand, Event, ResponseKind};
use umbertray_http::server::{self, Request, RequestEvent};
use umbertray_http_api::{AdmissionError, AdmittedRequest, FinalResponse, RequestError, protocol};
use umbertray_lifecycle::reason::{CloseReason, RejectionReason};
use umbertray_lifecycle::{connection, request};

use super::read_ahead::Behind;
use super::{ClientConnection, PendingOp, PreparedResponse, ReadRequest, if_ready};
use crate::event_loop::SubmittedOp;
use crate::response;

/// Number of bytes that are discarded before other connections are served.
const DISCARD_SIZE: usize = 4096;
/// HTTP status of a request whose id is already in use by an open request.
const DUPLICATE_ID: u16 = 409;

impl ClientConnection {
    /// Submits the request that was read, then waits for its response or for the client to disconnect.
    pub(super) async fn await_response(&mut self) -> Event {
        if let Some(read) = self.request.take() {
            match self.read_behind() {
                Behind::Closed => return Event::PeerClosed,
                Behind::AllRead if !self.discarded.is_discarding() => {}
                Behind::AllRead | Behind::TooMuch => {
                    self.start_discarding();
                    self.reject(RejectionReason::ReadAheadExceeded);
                    return self.response_ready();
                }
            }
            if let Some(event) = self.submit(&read) {
                return event;
            }
        }
        let Some(mut op) = self.op.take() else { return self.response_ready() };
        let response = tokio::select! {
            biased;
            // The operation is put back below; the state machine decides to cancel it.
            () = self.client_disconnected() => None,
            response = &mut op.response => Some(response),
        };
        let Some(response) = response else {
            self.op = Some(op);
            return Event::PeerClosed;
        };
        let elapsed = op.submitted_at.elapsed();
        // Hazard: if the channel is closed without a response, the operation may have been executed.
        let response = response.unwrap_or(FinalResponse::Failed);
        tracing::debug!(
            connection_id = self.id, request_id = %op.id, client = ?op.client, ?elapsed, %response,
            "request answered"
        );
        self.observe_rule(&op.id, request::answered_in_time(op.submitted_at.elapsed(), op.time_left));
        self.prepared_response = PreparedResponse::Final(response);
        self.response_ready()
    }

    /// Looks for a further request behind this one, and reports that the response is ready.
    ///
    /// Hazard: bytes after a parse error cannot be interpreted as a request, so the result of parsing is kept
    /// as it is.
    fn response_ready(&mut self) -> Event {
        if self.discarded.has_unanswered() {
            return Event::ResponseReady { has_next_request: true };
        }
        let read_ahead = self.read_ahead.take().unwrap_or_else(|| self.input.borrow_mut().next_event());
        let has_next_request =
            matches!(read_ahead, Ok(RequestEvent::Request(_) | RequestEvent::Discarded { .. }));
        self.read_ahead = (read_ahead != Ok(RequestEvent::More)).then_some(read_ahead);
        Event::ResponseReady { has_next_request }
    }

    /// Submits an operation. Returns an event if the response to the request is already known.
    fn submit(&mut self, read: &ReadRequest) -> Option<Event> {
        let ReadRequest { request, started_at } = read;
        if let Some(status) = self.health_status(request) {
            self.prepared_response = PreparedResponse::Health(status);
            return Some(self.response_ready());
        }
        let SubmittedOp { client, request: admitted, response } =
            match self.event_loop.submit(request, *started_at) {
                Ok(submitted) => submitted,
                Err(error) => return Some(self.not_admitted(error)),
            };
        let AdmittedRequest { id, shard, time_left } = admitted;
        let phase = self.event_loop.phase();
        tracing::debug!(
            connection_id = self.id, request_id = id, ?client, target = %request.target, shard,
            ?time_left, ?phase, "request admitted"
        );
        let event_loop = self.event_loop.clone();
        let submitted_at = Instant::now();
        self.op = Some(PendingOp { event_loop, id, submitted_at, time_left, client, response });
        None
    }

    /// Prepares the response to a request that is not admitted.
    fn not_admitted(&mut self, error: AdmissionError) -> Event {
        match error {
            AdmissionError::Invalid(error) => {
                let is_duplicate = error.status == DUPLICATE_ID;
                let reason =
                    if is_duplicate { RejectionReason::DuplicateId } else { RejectionReason::NotAnOperation };
                self.prepared_response = PreparedResponse::Error(error, reason);
                Event::RequestInvalid
            }
            AdmissionError::TooManyIds | AdmissionError::TooManyVolumes => {
                self.reject(RejectionReason::NoMemory);
                self.response_ready()
            }
        }
    }

    /// Prepares the rejection of a complete request that was not submitted.
    pub(super) fn reject(&mut self, reason: RejectionReason) {
        self.event_loop.counters.count(reason);
        tracing::debug!(connection_id = self.id, %reason, "request rejected");
        let retry_after = self.event_loop.limits().retry_after;
        self.prepared_response = PreparedResponse::Final(FinalResponse::Rejected { retry_after });
    }

    /// The response status if the request is a health check; `None` for any other request.
    pub(super) fn health_status(&self, request: &Request) -> Option<u16> {
        match (&*request.method, &*request.target) {
            ("GET", protocol::READY) => Some(if self.event_loop.is_ready() { 200 } else { 503 }),
            ("GET", protocol::LIVE) => Some(200),
            _ => None,
        }
    }

    pub(super) async fn write(&mut self, message: EncodedMessage) -> Event {
        let response_write = self.event_loop.limits().timeouts.response_write;
        let demand = self.state.demand();
        let write = timeout(response_write, self.write_message(message));
        let written = match demand {
            // Another connection waits for the file descriptor. A response this short is written at once,
            // unless the client has not read the response before it.
            CloseDemand::ForCapacity => if_ready(write).await,
            _ => Some(write.await),
        };
        self.event_loop.clients.set_output_memory(self.id, 0);
        if written == Some(Ok(true)) { Event::Written } else { Event::WriteFailed }
    }

    /// Writes a message. Returns false if the connection is broken, or if the memory is needed for another
    /// response because the client does not read this one.
    async fn write_message(&mut self, message: EncodedMessage) -> bool {
        let size = message.body.len();
        let mut bytes = message.into_buf();
        while bytes.has_remaining() {
            self.event_loop.clients.set_output_memory(self.id, size);
            let must_stop_writing = self.must_stop_writing();
            tokio::select! {
                biased;
                written = self.stream.write_buf(&mut bytes) => match written {
                    Ok(1..) => {}
                    _ => return false,
                },
                () = must_stop_writing => return false,
            }
        }
        true
    }

    pub(super) async fn respond(&mut self, kind: ResponseKind, is_last: bool) -> Event {
        let prepared_response = std::mem::replace(&mut self.prepared_response, PreparedResponse::Unknown);
        let bytes = match (kind, prepared_response) {
            (ResponseKind::Rejection, _) => self.rejection(is_last),
            (ResponseKind::RequestTimeout, _) => self.request_timeout(),
            (_, PreparedResponse::Error(error, reason)) => self.error_response(&error, reason),
            (_, PreparedResponse::Health(status)) => {
                server::encode_response(status, &[], Bytes::new(), is_last)
            }
            (_, PreparedResponse::Final(response)) => response::encode(response, is_last),
            (_, PreparedResponse::Unknown) => response::encode(FinalResponse::Failed, is_last),
        };
        let event = self.write(bytes).await;
        self.input.borrow_mut().release_unused();
        event
    }

    fn rejection(&self, is_last: bool) -> EncodedMessage {
        let is_draining = self.close_reason == Some(CloseReason::Draining);
        let reason = if is_draining { RejectionReason::Draining } else { RejectionReason::NoCapacity };
        self.event_loop.counters.count(reason);
        let open = self.event_loop.clients.len();
        let demand = self.state.demand();
        tracing::debug!(connection_id = self.id, open, ?demand, %reason, "request rejected");
        let retry_after = self.event_loop.limits().retry_after;
        response::encode(FinalResponse::Rejected { retry_after }, is_last)
    }

    fn request_timeout(&self) -> EncodedMessage {
        self.observe_rule("", connection::misbehaving_client_wait_holds(self.reading_since.elapsed()));
        let message = "the request did not come whole in its time".into();
        let error = RequestError { status: 408, message };
        self.error_response(&error, RejectionReason::RequestReadTimeout)
    }

    fn error_response(&self, error: &RequestError, reason: RejectionReason) -> EncodedMessage {
        self.event_loop.counters.count(reason);
        tracing::debug!(
            connection_id = self.id, status = error.status, error = error.message, %reason,
            "request rejected"
        );
        response::encode_error(error)
    }

    /// Shuts down sending and discards further input, so that the client can read what was written. Input
    /// that is already available is read first, even if capacity is demanded. Cancelling the read only loses
    /// bytes that would be discarded anyway.
    pub(super) async fn linger(&mut self) -> Event {
        // Fails if the client has closed the connection, which the read below reports.
        _ = self.stream.shutdown().await;
        let demand = self.state.demand();
        let greater_demand = self.greater_demand();
        let deadline = self.state_deadline.into();
        self.input.borrow_mut().clear();
        let event_loop = self.event_loop.clone();
        let id = self.id;
        let discard = async {
            let mut discarded = BytesMut::with_capacity(DISCARD_SIZE);
            while matches!(self.stream.read_buf(&mut discarded).await, Ok(1..)) {
                if discarded.len() < discarded.capacity() {
                    continue;
                }
                discarded.clear();
                // A client that sends without a pause must not keep the others waiting.
                //
                // Hazard: the close for capacity follows as soon as this waits, and what is unread then
                // resets the connection.
                if super::demand(&event_loop, id) < CloseDemand::ForCapacity {
                    yield_now().await;
                }
            }
        };
        tokio::select! {
            biased;
            end = timeout_at(deadline, discard) => match end {
                Ok(()) => Event::PeerClosed,
                Err(_) => Event::TimedOut,
            },
            () = ready(()), if demand == CloseDemand::ForCapacity => Event::DemandChanged,
            () = greater_demand => Event::DemandChanged,
        }
    }
}

//! Reading requests from a client connection.

use bytes::Bytes;
use tokio::task::yield_now;
use tokio::time::timeout_at;
use umbertray_http::EncodedMessage;
use umbertray_http::connection::{Event, State};
use umbertray_http::server::{self, RequestEvent};
use umbertray_lifecycle::reason::RejectionReason;

use super::read_ahead::Behind;
use super::{ClientConnection, PreparedResponse, ReadRequest};
use crate::client_input::Received;
use crate::response::malformed_request;

/// The interim response to a client that waits for it before it sends its body.
const CONTINUE: EncodedMessage =
    EncodedMessage { head: Bytes::from_static(server::CONTINUE), body: Bytes::new() };

impl ClientConnection {
    /// Waits for a request. This future is never cancelled; the bytes that were received are kept in
    /// `input`.
    pub(super) async fn read(&mut self) -> Event {
        if self.state.state() == State::Idle {
            // A client that sends request after request must not keep the others waiting.
            yield_now().await;
        }
        if let Some(event) = self.next_request().await {
            return event;
        }
        loop {
            let state = self.state.state();
            if self.input.borrow().has_begun() && !matches!(state, State::ReadingRequest { .. }) {
                return Event::PartialRead;
            }
            let mut limits_changes = self.event_loop.limits_changes();
            let deadline = self.state_deadline.into();
            let greater_demand = self.greater_demand();
            tokio::select! {
                biased;
                received = timeout_at(deadline, self.receive()) => match received {
                    Ok(Received::Bytes) => {}
                    Ok(Received::Closed) => return Event::PeerClosed,
                    Err(_) => return Event::TimedOut,
                },
                () = greater_demand => return Event::DemandChanged,
                _ = limits_changes.changed() => self.on_limits_changed(state),
            }
            if let Some(event) = self.next_request().await {
                return event;
            }
        }
    }

    /// Reads the bytes that are already available.
    pub(super) async fn read_available(&mut self) -> Event {
        yield_now().await;
        match self.try_receive() {
            None => Event::NothingRead,
            Some(Received::Closed) => Event::PeerClosed,
            Some(Received::Bytes) => self.next_request().await.unwrap_or(Event::PartialRead),
        }
    }

    /// The next complete request, or the error in the bytes read; `None` until more bytes have been received.
    async fn next_request(&mut self) -> Option<Event> {
        loop {
            if let Some(persists) = self.reject_discarded() {
                return Some(Event::RequestRead { is_op: true, persists });
            }
            let next = self.read_ahead.take().unwrap_or_else(|| self.input.borrow_mut().next_event());
            match next {
                Ok(RequestEvent::More) if self.discarded.is_discarding() => {
                    let unparsed = self.input.borrow().unparsed();
                    let behind = self.read_behind();
                    if behind == Behind::Closed {
                        return Some(Event::PeerClosed);
                    }
                    if self.stop_discarding(behind) || self.input.borrow().unparsed() == unparsed {
                        return None;
                    }
                    yield_now().await;
                }
                Ok(RequestEvent::More) => return None,
                Ok(RequestEvent::Continue) => _ = self.write(CONTINUE).await,
                Ok(RequestEvent::Request(mut request)) => {
                    self.account_body(&mut request);
                    let is_op = self.health_status(&request).is_none();
                    let persists = request.persists;
                    self.request = Some(ReadRequest { request, started_at: self.request_started_at });
                    return Some(Event::RequestRead { is_op, persists });
                }
                Ok(RequestEvent::Discarded { persists }) => {
                    let is_excess = self.discarded.is_discarding();
                    self.reject(if is_excess {
                        RejectionReason::ReadAheadExceeded
                    } else {
                        RejectionReason::NoMemory
                    });
                    return Some(Event::RequestRead { is_op: true, persists });
                }
                Err(error) => {
                    let error = malformed_request(&error);
                    self.prepared_response = PreparedResponse::Error(error, RejectionReason::Malformed);
                    return Some(Event::RequestInvalid);
                }
            }
        }
    }

    /// Waits for bytes and reads them. Cancel safe.
    pub(super) async fn receive(&mut self) -> Received {
        loop {
            if self.stream.readable().await.is_err() {
                return Received::Closed;
            }
            if let Some(received) = self.try_receive() {
                return received;
            }
        }
    }

    /// Reads bytes that are available; `None` if there are none.
    pub(super) fn try_receive(&mut self) -> Option<Received> {
        self.reserve_input();
        let is_first = !self.input.borrow().has_begun();
        let received = self.input.borrow_mut().receive(&self.stream);
        if is_first && received == Some(Received::Bytes) {
            self.request_started_at = self.event_loop.clock.now();
        }
        received
    }
}

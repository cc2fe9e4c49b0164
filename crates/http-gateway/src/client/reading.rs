//! Reading requests from a client connection.

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::task::yield_now;
use tokio::time::timeout_at;
use umbertray_http::connection::{Event, State};
use umbertray_http::server::{self, RequestEvent};
use umbertray_lifecycle::reason::RejectionReason;

use super::{ClientConnection, PreparedResponse, if_ready};
use crate::response::malformed_request;

impl ClientConnection {
    /// Waits for a request. This future is never cancelled; the bytes read by `read_some` are kept in
    /// `requests`.
    pub(super) async fn read(&mut self) -> Event {
        if let Some(event) = self.next_request().await {
            return event;
        }
        loop {
            let state = self.state.state();
            if self.requests.has_begun() && !matches!(state, State::ReadingRequest { .. }) {
                return Event::PartialRead;
            }
            let mut limits_changes = self.event_loop.limits_changes();
            let deadline = self.state_deadline.into();
            let greater_demand = self.greater_demand();
            tokio::select! {
                biased;
                read = timeout_at(deadline, self.read_some()) => match read {
                    Ok(true) => {}
                    Ok(false) => return Event::PeerClosed,
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
        match if_ready(self.read_some()).await {
            None => Event::NothingRead,
            Some(false) => Event::PeerClosed,
            Some(true) => self.next_request().await.unwrap_or(Event::PartialRead),
        }
    }

    /// The next complete request, or the error in the bytes read; `None` until more bytes have been received.
    async fn next_request(&mut self) -> Option<Event> {
        loop {
            match self.read_ahead.take().unwrap_or_else(|| self.requests.next_event()) {
                Ok(RequestEvent::More) => return None,
                Ok(RequestEvent::Continue) => _ = self.write(Bytes::from_static(server::CONTINUE)).await,
                Ok(RequestEvent::Request(request)) => {
                    let is_op = self.health_status(&request).is_none();
                    let persists = request.persists;
                    self.request = Some(request);
                    return Some(Event::RequestRead { is_op, persists });
                }
                Err(error) => {
                    let error = malformed_request(&error);
                    self.prepared_response = PreparedResponse::Error(error, RejectionReason::Malformed);
                    return Some(Event::RequestInvalid);
                }
            }
        }
    }

    /// Waits for bytes and reads them. Returns false once the client has closed the connection. Cancel safe.
    pub(super) async fn read_some(&mut self) -> bool {
        let is_first = !self.requests.has_begun();
        self.requests.bytes.reserve(self.event_loop.limits().http.head / 2);
        let read = self.stream.read_buf(&mut self.requests.bytes).await;
        if is_first {
            self.request_started_at = self.event_loop.clock.now();
        }
        matches!(read, Ok(1..))
    }
}

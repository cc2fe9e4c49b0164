//! What a client sends behind a request that is not answered yet.
//!
//! Up to a limit, it is kept and served in order. Beyond the limit everything is still read, because the end
//! of the connection is behind it, but the requests are discarded and rejected.
//!
//! Hazard: a client that has closed its connection must not be served any more (rule 1), however much it sent
//! before. So an operation is submitted only if everything that its client has sent is known.

use umbertray_http::server::RequestEvent;
use umbertray_lifecycle::reason::RejectionReason;

use super::ClientConnection;
use crate::client_input::Received;

/// Number of requests that are discarded before other connections are served.
const MAX_DISCARDED_AT_ONCE: usize = 16;

/// What is known of a client behind a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Behind {
    /// Everything that it has sent was read.
    AllRead,
    /// It has closed the connection.
    Closed,
    /// It has sent more than is kept.
    TooMuch,
}

/// Requests that were read behind another one, beyond the limit, and discarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DiscardedRequests {
    /// Whether requests are being discarded.
    is_discarding: bool,
    /// Number of discarded requests that are not answered yet.
    unanswered: u64,
    /// Whether the client announced that it sends no request after the last one of them.
    is_last: bool,
    /// Whether the bytes after the last one of them are not a valid request.
    is_unreadable: bool,
}

impl DiscardedRequests {
    pub(super) fn is_discarding(&self) -> bool {
        self.is_discarding
    }

    pub(super) fn has_unanswered(&self) -> bool {
        self.unanswered > 0
    }

    /// Takes a request to be answered; `Some` says whether the client accepts another response after it.
    fn take(&mut self) -> Option<bool> {
        self.unanswered = self.unanswered.checked_sub(1)?;
        Some(self.unanswered > 0 || !self.is_last)
    }

    fn add(&mut self, persists: bool) {
        self.unanswered += 1;
        self.is_last |= !persists;
    }
}

impl ClientConnection {
    /// Reads what the client has sent so far, up to the limit.
    pub(super) fn read_behind(&mut self) -> Behind {
        let max_length = self.event_loop.limits().read_ahead;
        loop {
            let mut input = self.input.borrow_mut();
            if !input.try_reserve_behind(max_length) {
                return Behind::TooMuch;
            }
            let is_first = !input.has_begun();
            let received = input.receive_behind(&self.stream);
            drop(input);
            match received {
                None => return Behind::AllRead,
                Some(Received::Closed) => return Behind::Closed,
                Some(Received::Bytes) if is_first => {
                    self.request_started_at = self.event_loop.clock.now();
                }
                Some(Received::Bytes) => {}
            }
        }
    }

    /// Discards the requests that follow, until the client sends nothing more.
    pub(super) fn start_discarding(&mut self) {
        self.discarded.is_discarding = true;
        self.input.borrow_mut().discard_requests(true);
    }

    /// Discards some of the requests read so far.
    fn discard_some(&mut self) {
        self.start_discarding();
        for _ in 0..MAX_DISCARDED_AT_ONCE {
            if self.discarded.is_last {
                break;
            }
            let next = self.read_ahead.take().unwrap_or_else(|| self.input.borrow_mut().next_event());
            match next {
                Ok(RequestEvent::Request(request)) => self.discarded.add(request.persists),
                Ok(RequestEvent::Discarded { persists }) => self.discarded.add(persists),
                Ok(RequestEvent::Continue) => {}
                Ok(RequestEvent::More) => return,
                Err(error) => {
                    self.read_ahead = Some(Err(error));
                    self.discarded.is_unreadable = true;
                    break;
                }
            }
        }
        if self.discarded.is_last || self.discarded.is_unreadable {
            // No request can follow.
            self.input.borrow_mut().drop_unparsed();
        }
    }

    /// Prepares the rejection of the next request that was discarded. `Some` says whether the client accepts
    /// another response after it.
    pub(super) fn reject_discarded(&mut self) -> Option<bool> {
        let persists = self.discarded.take()?;
        self.reject(RejectionReason::ReadAheadExceeded);
        Some(persists)
    }

    /// Keeps requests again if the client has sent nothing more. Returns whether it has not.
    pub(super) fn stop_discarding(&mut self, behind: Behind) -> bool {
        if behind != Behind::AllRead || self.input.borrow().has_begun() {
            return false;
        }
        self.discarded = DiscardedRequests::default();
        self.input.borrow_mut().discard_requests(false);
        true
    }

    /// Returns when the client has closed the connection. What it sends meanwhile is read.
    pub(super) async fn client_disconnected(&mut self) {
        loop {
            if self.stream.readable().await.is_err() {
                return;
            }
            match self.read_behind() {
                Behind::Closed => return,
                Behind::AllRead if !self.discarded.is_discarding => {}
                Behind::AllRead | Behind::TooMuch => self.discard_some(),
            }
            // A client that sends without a pause must not keep the others waiting.
            tokio::task::yield_now().await;
        }
    }
}

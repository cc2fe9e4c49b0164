//! Memory accounting for the part of store responses that exceeds the platform's maximum body length.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use bytes::Bytes;
use umbertray_http_api::protocol;

use crate::event_loop::EventLoop;

/// The memory reserved for one response. Dropping it frees the reservation.
///
/// Invariant: `total` is the sum over all responses.
pub(crate) struct ResponseMemory {
    total: Arc<AtomicUsize>,
    max_total: usize,
    reserved: usize,
}

impl ResponseMemory {
    pub(crate) fn new(event_loop: &EventLoop) -> ResponseMemory {
        ResponseMemory {
            total: event_loop.response_bytes.clone(),
            max_total: event_loop.limits().all_responses,
            reserved: 0,
        }
    }

    /// Reserves memory for a response of `size` bytes. Returns false if the limit is reached. The part up to
    /// the platform's maximum body length is always available.
    pub(crate) fn reserve(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(protocol::MAX_BODY).saturating_sub(self.reserved);
        let total = self.total.load(Relaxed).saturating_add(more);
        let fits = more == 0 || total <= self.max_total;
        if fits {
            self.reserved += more;
            self.total.store(total, Relaxed);
        }
        fits
    }

    /// Ties the reservation to a body, so that it is freed when the last reference to the body is dropped.
    pub(crate) fn attach_to(self, body: Bytes) -> Bytes {
        if self.reserved == 0 { body } else { Bytes::from_owner(AccountedBody { body, _memory: self }) }
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        self.total.fetch_sub(self.reserved, Relaxed);
    }
}

/// A body with its memory reservation.
struct AccountedBody {
    body: Bytes,
    _memory: ResponseMemory,
}

impl AsRef<[u8]> for AccountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

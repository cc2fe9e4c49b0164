//! Which connection gives way when there is no memory for another one.
//!
//! A request that is not complete may be discarded, and is rejected at its end. A response that its client
//! does not read may be cut off (rule 1). A complete request keeps its memory until its final response.
//! Nobody has to give way who holds no more than [`ALWAYS_AVAILABLE`].
//!
//! [`EvictionRank`]: crate::client_input::EvictionRank

use std::time::Instant;

use umbertray_lifecycle::connection::Obligation;
use umbertray_lifecycle::limits::MAX_PROCESS_PAUSE;

use super::ClientConnections;
use crate::memory_budget::ALWAYS_AVAILABLE;

/// Who gives way for a response that needs memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputDemand {
    /// Another connection was told to free its memory.
    Requested,
    /// At this time a client counts as not reading its response, unless it reads until then.
    StalledAt(Instant),
    /// All memory is held for responses that are still being received.
    Unavailable,
}

impl ClientConnections {
    /// Records that a connection has begun or continued to write a response of this size, or ended it (0).
    pub(crate) fn set_output_memory(&self, id: u64, bytes: usize) {
        if let Some(entry) = self.open.borrow_mut().get_mut(&id) {
            entry.must_stop_writing &= entry.large_output_since.is_none();
            entry.large_output_since = (bytes > ALWAYS_AVAILABLE).then(Instant::now);
        }
    }

    /// Whether a connection has to give up the response that it writes.
    pub(crate) fn must_stop_writing(&self, id: u64) -> bool {
        self.open.borrow().get(&id).is_some_and(|entry| entry.must_stop_writing)
    }

    /// Discards a partial request, the first in the order of [`EvictionRank`], so that `requester` can read
    /// on.
    /// Returns false if that is the requester's own, or if there is none.
    pub(crate) fn evict_partial_request(&self, requester: u64) -> bool {
        let open = self.open.borrow();
        let partial = open.iter().filter(|(_, entry)| entry.obligation == Obligation::None);
        let ranked =
            partial.filter_map(|(id, entry)| Some((entry.input.borrow().eviction_rank()?, *id, entry)));
        match ranked.min_by_key(|(rank, id, _)| (*rank, *id)) {
            Some((_, id, entry)) if id != requester => {
                entry.input.borrow_mut().evict();
                true
            }
            _ => false,
        }
    }

    /// Demands memory for a response: the response whose client has read nothing for the longest time is cut
    /// off. A client gets [`MAX_PROCESS_PAUSE`] to read on.
    pub(crate) fn demand_output_memory(&self) -> OutputDemand {
        let mut open = self.open.borrow_mut();
        if open.values().any(|entry| entry.must_stop_writing && entry.large_output_since.is_some()) {
            return OutputDemand::Requested;
        }
        let unread = open.values_mut().filter_map(|entry| Some((entry.large_output_since?, entry)));
        let Some((since, entry)) = unread.min_by_key(|(since, _)| *since) else {
            return OutputDemand::Unavailable;
        };
        let stalled_at = since + MAX_PROCESS_PAUSE;
        if stalled_at > Instant::now() {
            return OutputDemand::StalledAt(stalled_at);
        }
        entry.must_stop_writing = true;
        entry.signals.memory_demanded.notify_one();
        OutputDemand::Requested
    }
}

#[cfg(test)]
mod tests;

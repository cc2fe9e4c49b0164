//! Memory accounting for what is held for all clients together.
//!
//! A [`MemoryBudget`] has a limit that the configured memory determines. Whoever holds bytes for a client has
//! a [`Reservation`] of their size.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use bytes::Bytes;
use tokio::sync::Notify;

/// Size up to which a reservation always succeeds, in bytes. A usual client's request and response are
/// smaller, and need no wait however much others hold.
pub(crate) const ALWAYS_AVAILABLE: usize = 4096;

/// A limited amount of memory.
///
/// Invariant: `used` is the sum of all reservations. It exceeds `limit` by no more than the reservations of
/// up to [`ALWAYS_AVAILABLE`] bytes, and by what was accounted for after the fact.
pub(crate) struct MemoryBudget {
    used: AtomicUsize,
    limit: AtomicUsize,
    /// Notified when memory was freed.
    freed: Notify,
}

impl MemoryBudget {
    pub(crate) fn new(limit: usize) -> Arc<MemoryBudget> {
        let limit = AtomicUsize::new(limit);
        Arc::new(MemoryBudget { used: AtomicUsize::new(0), limit, freed: Notify::new() })
    }

    /// Changes the limit. Existing reservations stay.
    pub(crate) fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Relaxed);
        self.freed.notify_waiters();
    }

    /// Bytes reserved.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Relaxed)
    }

    /// The limit in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.limit.load(Relaxed)
    }

    /// Completes when memory is freed after this call.
    pub(crate) fn freed(&self) -> tokio::sync::futures::Notified<'_> {
        self.freed.notified()
    }

    /// Creates a reservation of no bytes.
    pub(crate) fn reservation(self: &Arc<MemoryBudget>) -> Reservation {
        Reservation { budget: self.clone(), size: 0 }
    }

    fn change(&self, from: usize, to: usize) {
        self.used.store(self.used() + to - from, Relaxed);
        if to < from {
            self.freed.notify_waiters();
        }
    }
}

/// Memory reserved for one holder. Dropping it frees the memory.
pub(crate) struct Reservation {
    budget: Arc<MemoryBudget>,
    size: usize,
}

impl Reservation {
    /// Changes the size if all reservations together stay within the budget divided by `divisor`. A
    /// reservation that does not grow, or that is small, always succeeds.
    pub(crate) fn try_resize_part(&mut self, size: usize, divisor: usize) -> bool {
        let limit = self.budget.limit() / divisor;
        let used_by_others = self.budget.used() - self.size;
        let fits =
            size <= self.size || size <= ALWAYS_AVAILABLE || used_by_others.saturating_add(size) <= limit;
        if fits {
            self.resize(size);
        }
        fits
    }

    /// Changes the size if the budget has capacity for it.
    pub(crate) fn try_resize(&mut self, size: usize) -> bool {
        self.try_resize_part(size, 1)
    }

    /// Changes the size to that of memory which is already held.
    pub(crate) fn resize(&mut self, size: usize) {
        let previous = std::mem::replace(&mut self.size, size);
        self.budget.change(previous, size);
    }

    /// Ties the reservation to a body, so that it is freed when the last reference to the body is dropped.
    pub(crate) fn attach_to(self, body: Bytes) -> Bytes {
        if self.size == 0 { body } else { Bytes::from_owner(AccountedBody { body, _reservation: self }) }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// A body with its reservation.
struct AccountedBody {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for AccountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

#[cfg(test)]
mod tests;

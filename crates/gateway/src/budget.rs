//! Bytes granted to sessions before their requests are read.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use umbertray_routing::Hold;
use umbertray_routing::settings::Bounds;

/// Permits count blocks of so many bytes; a request costs one at least, for its records.
const BLOCK: usize = 1024;

#[derive(Clone)]
pub struct Budget {
    all: Arc<Semaphore>,
    a_session: usize,
}

/// One session's part.
#[derive(Clone)]
pub struct Part {
    all: Arc<Semaphore>,
    own: Arc<Semaphore>,
}

struct Grant {
    _own: OwnedSemaphorePermit,
    _all: OwnedSemaphorePermit,
}

impl Budget {
    pub fn new(bounds: &Bounds) -> Budget {
        let all = Arc::new(Semaphore::new(bounds.bytes / BLOCK));
        Budget { all, a_session: bounds.bytes_a_session / BLOCK }
    }

    pub fn part(&self) -> Part {
        Part { all: self.all.clone(), own: Arc::new(Semaphore::new(self.a_session)) }
    }
}

impl Part {
    /// Waits until so many bytes may be held, first within the session's bound, so that one that waits for itself
    /// takes nothing from others. Cancelling the wait gives back what it had.
    pub async fn grant(self, bytes: u32) -> Option<Hold> {
        let blocks = (bytes as usize).div_ceil(BLOCK).max(1) as u32;
        let own = self.own.acquire_many_owned(blocks).await.ok()?;
        let all = self.all.acquire_many_owned(blocks).await.ok()?;
        Some(Arc::new(Grant { _own: own, _all: all }))
    }
}

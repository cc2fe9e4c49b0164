//! Bytes granted to sessions before their requests are read: a session waits for its own bound, and is rejected where the
//! gateway has no capacity for its volume. docs/room.md is the design note.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use umbertray_admission::{Admission, ByteBudget, VolumeShare};
use umbertray_clock::Clock;
use umbertray_routing::settings::Bounds;
use umbertray_routing::{BufferGuard, Settings};

/// The least that a request is counted with, for its records, bytes; a session's bound is counted in blocks of this size.
const BLOCK: usize = 1024;

/// The bytes of a gateway, shared by all its sessions.
#[derive(Clone)]
pub(crate) struct BufferBudget {
    gateway_budget: Arc<Mutex<ByteBudget>>,
    blocks_per_session: usize,
    clock: Clock,
}

/// One session's view of the budget, with its own bound.
#[derive(Clone)]
pub(crate) struct SessionBudget {
    budget: BufferBudget,
    own_blocks: Arc<Semaphore>,
    session: u64,
}

/// Result of a request for bytes.
pub(crate) enum BufferAdmission {
    /// The bytes are held until the guard is dropped.
    Granted(BufferGuard),
    /// There is no capacity for this volume.
    Rejected {
        /// When a retry is worthwhile.
        retry_after: Duration,
    },
}

/// What a request holds; dropping it gives it back.
struct Reservation {
    _own_blocks: OwnedSemaphorePermit,
    budget: BufferBudget,
    volume: usize,
    bytes: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = self.budget.clock.now();
        if let Ok(mut gateway_budget) = self.budget.gateway_budget.lock() {
            gateway_budget.release(now, self.volume, self.bytes);
        }
    }
}

impl BufferBudget {
    /// A budget within the bounds of the settings.
    pub(crate) fn new(bounds: &Bounds, max_retry_after: Duration, clock: Clock) -> BufferBudget {
        let gateway_budget = Arc::new(Mutex::new(ByteBudget::new(bounds.bytes as u64, max_retry_after)));
        BufferBudget { gateway_budget, blocks_per_session: bounds.bytes_per_session / BLOCK, clock }
    }

    /// The view of a new session.
    pub(crate) fn session_budget(&self, session: u64) -> SessionBudget {
        let own_blocks = Arc::new(Semaphore::new(self.blocks_per_session));
        SessionBudget { budget: self.clone(), own_blocks, session }
    }
}

impl SessionBudget {
    /// Waits until the bytes are within the session's own bound, then asks once for capacity for the volume: a session that
    /// waits for itself takes nothing from others. Cancelling the wait gives back what it had. Nothing where the settings do
    /// not have the volume.
    pub(crate) async fn request(
        self,
        volume: usize,
        settings: Arc<Settings>,
        bytes: u32,
    ) -> Option<BufferAdmission> {
        let blocks = (bytes as usize).div_ceil(BLOCK).max(1) as u32;
        let own_blocks = self.own_blocks.acquire_many_owned(blocks).await.ok()?;
        let plan = &settings.plans[settings.volumes.get(volume)?.plan];
        let share = VolumeShare { weight: plan.weight, reserve: plan.reserve };
        let now = self.budget.clock.now();
        let bytes = u64::from(blocks) * BLOCK as u64;
        let fraction = random_fraction(self.session, now);
        let admission = self.budget.gateway_budget.lock().ok()?.request(now, volume, share, bytes, fraction);
        Some(match admission {
            Admission::Granted => {
                let budget = self.budget;
                let reservation = Reservation { _own_blocks: own_blocks, budget, volume, bytes };
                BufferAdmission::Granted(Arc::new(reservation))
            }
            Admission::Rejected { retry_after } => BufferAdmission::Rejected { retry_after },
        })
    }
}

/// From 0 to 1, by which retries of sessions that are rejected together are spread.
fn random_fraction(session: u64, now: Duration) -> f64 {
    let mut hasher = DefaultHasher::new();
    (session, now).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

//! Grants bytes to sessions before their requests are read. A session that has reached its own bound waits; a
//! request is rejected if the gateway has no capacity for its volume. docs/room.md is the design note.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use umbertray_admission::{Admission, ByteBudget, VolumeShare};
use umbertray_clock::Clock;
use umbertray_routing::settings::Bounds;
use umbertray_routing::{BufferGuard, Settings};

/// The minimum charged for a request, for its records, in bytes. A session's bound is counted in blocks of
/// this size.
const BLOCK_BYTES: usize = 1024;

/// The byte budget of a gateway, shared by all its sessions.
#[derive(Clone)]
pub(crate) struct BufferBudget {
    gateway_budget: Arc<Mutex<ByteBudget>>,
    blocks_per_session: usize,
    clock: Clock,
}

/// The byte budget of one session: access to the gateway's budget, with the session's own bound.
#[derive(Clone)]
pub(crate) struct SessionBudget {
    budget: BufferBudget,
    session_blocks: Arc<Semaphore>,
    session: u64,
}

/// Result of a request for bytes.
pub(crate) enum BufferAdmission {
    /// Granted; the bytes are reserved until the guard is dropped.
    Granted(BufferGuard),
    /// The gateway has no capacity for this volume.
    Rejected {
        /// How long the client should wait before a retry.
        retry_after: Duration,
    },
}

/// The bytes reserved for a request; released when dropped.
struct Reservation {
    _session_blocks: OwnedSemaphorePermit,
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
    /// Creates a budget with the bounds of the settings.
    pub(crate) fn new(bounds: &Bounds, max_retry_after: Duration, clock: Clock) -> BufferBudget {
        let gateway_budget = Arc::new(Mutex::new(ByteBudget::new(bounds.bytes as u64, max_retry_after)));
        BufferBudget { gateway_budget, blocks_per_session: bounds.bytes_per_session / BLOCK_BYTES, clock }
    }

    /// Creates the budget of a new session.
    pub(crate) fn session_budget(&self, session: u64) -> SessionBudget {
        let session_blocks = Arc::new(Semaphore::new(self.blocks_per_session));
        SessionBudget { budget: self.clone(), session_blocks, session }
    }
}

impl SessionBudget {
    /// Waits until the bytes fit within the session's own bound, then requests capacity for the volume once,
    /// so that a session waiting for its own bound takes no capacity from others. Cancelling the wait
    /// releases what was acquired. Returns `None` if the settings do not contain the volume.
    pub(crate) async fn request(
        self,
        volume: usize,
        settings: Arc<Settings>,
        bytes: u32,
    ) -> Option<BufferAdmission> {
        let blocks = (bytes as usize).div_ceil(BLOCK_BYTES).max(1) as u32;
        let session_blocks = self.session_blocks.acquire_many_owned(blocks).await.ok()?;
        let plan = &settings.plans[settings.volumes.get(volume)?.plan];
        let share = VolumeShare { weight: plan.weight, reserve: plan.reserve };
        let now = self.budget.clock.now();
        let bytes = u64::from(blocks) * BLOCK_BYTES as u64;
        let fraction = random_fraction(self.session, now);
        let admission = self.budget.gateway_budget.lock().ok()?.request(now, volume, share, bytes, fraction);
        Some(match admission {
            Admission::Granted => {
                let budget = self.budget;
                let reservation = Reservation { _session_blocks: session_blocks, budget, volume, bytes };
                BufferAdmission::Granted(Arc::new(reservation))
            }
            Admission::Rejected { retry_after } => BufferAdmission::Rejected { retry_after },
        })
    }
}

/// A fraction from 0 to 1 that spreads the retries of sessions that are rejected at the same time.
fn random_fraction(session: u64, now: Duration) -> f64 {
    let mut hasher = DefaultHasher::new();
    (session, now).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

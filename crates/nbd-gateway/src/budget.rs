//! Bytes granted to sessions before their requests are read: a session waits for its own bound, and is turned away where the
//! gateway has no room for its volume.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use umbertray_admission::{Admission, ByteBudget, VolumeShare};
use umbertray_routing::settings::Bounds;
use umbertray_routing::{BufferGuard, Settings};

use umbertray_clock::Clock;

/// What a request costs at least, for its records; a session's bound is counted in blocks of so many bytes.
const BLOCK: usize = 1024;

#[derive(Clone)]
pub struct Budget {
    room: Arc<Mutex<ByteBudget>>,
    a_session: usize,
    clock: Clock,
}

/// One session's part.
#[derive(Clone)]
pub struct Part {
    budget: Budget,
    own: Arc<Semaphore>,
    session: u64,
}

/// What became of a wish for room.
pub enum Granted {
    Held(BufferGuard),
    /// There is none for this volume; the client may come again after so long.
    Away(Duration),
}

struct Grant {
    _own: OwnedSemaphorePermit,
    budget: Budget,
    volume: usize,
    bytes: u64,
}

impl Drop for Grant {
    fn drop(&mut self) {
        let now = self.budget.clock.now();
        if let Ok(mut room) = self.budget.room.lock() {
            room.release(now, self.volume, self.bytes);
        }
    }
}

impl Budget {
    pub fn new(bounds: &Bounds, longest: Duration, clock: Clock) -> Budget {
        let room = Arc::new(Mutex::new(ByteBudget::new(bounds.bytes as u64, longest)));
        Budget { room, a_session: bounds.bytes_per_session / BLOCK, clock }
    }

    pub fn part(&self, session: u64) -> Part {
        Part { budget: self.clone(), own: Arc::new(Semaphore::new(self.a_session)), session }
    }
}

impl Part {
    /// Waits until so many bytes are within the session's bound, so that one that waits for itself takes nothing from
    /// others; then asks for room for its volume, once. Cancelling the wait gives back what it had.
    pub async fn grant(self, volume: usize, settings: Arc<Settings>, bytes: u32) -> Option<Granted> {
        let blocks = (bytes as usize).div_ceil(BLOCK).max(1) as u32;
        let own = self.own.acquire_many_owned(blocks).await.ok()?;
        let plan = &settings.plans[settings.volumes.get(volume)?.plan];
        let claim = VolumeShare { weight: plan.weight, reserve: plan.reserve };
        let (now, bytes) = (self.budget.clock.now(), u64::from(blocks) * BLOCK as u64);
        let mut hasher = DefaultHasher::new();
        (self.session, now).hash(&mut hasher);
        let chance = hasher.finish() as f64 / u64::MAX as f64;
        let answer = self.budget.room.lock().ok()?.request(now, volume, claim, bytes, chance);
        Some(match answer {
            Admission::Granted => {
                Granted::Held(Arc::new(Grant { _own: own, budget: self.budget, volume, bytes }))
            }
            Admission::Rejected { retry_after } => Granted::Away(retry_after),
        })
    }
}

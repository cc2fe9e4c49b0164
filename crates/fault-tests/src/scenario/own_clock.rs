//! Whether this process itself was held up: what it measured then is late by as much.

use std::sync::Arc;
use std::time::Duration;

use crate::load::Shared;
use crate::record::HeldUp;

/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(5);
/// A tick that is later than this is recorded, microseconds.
const MIN_LATENESS: u64 = 20_000;

/// Records when a timer of this process fired late; it never ends by itself.
pub(super) async fn watch(shared: Arc<Shared>) {
    let tick = TICK.as_micros() as u64;
    let mut last = shared.book.now();
    loop {
        tokio::time::sleep(TICK).await;
        let now = shared.book.now();
        let late = now.saturating_sub(last + tick);
        if late > MIN_LATENESS
            && let Ok(mut record) = shared.record.lock()
        {
            record.held_up.push(HeldUp { from: now - late, to: now });
        }
        last = now;
    }
}

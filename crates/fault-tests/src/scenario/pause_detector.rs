//! Detects pauses of this process, in which the system did not run it: its measurements are late by the
//! length of the pause.

use std::sync::Arc;
use std::time::Duration;

use crate::load::ClientContext;
use crate::record::HeldUp;

/// Interval of the timer whose lateness is measured.
const TIMER_INTERVAL: Duration = Duration::from_millis(5);
/// Lateness of a timer, in microseconds, beyond which it is recorded.
const MIN_LATENESS_MICROS: u64 = 20_000;

/// Records a pause whenever a timer of this process fires late. Never returns.
pub(super) async fn record_pauses(context: Arc<ClientContext>) {
    let interval = TIMER_INTERVAL.as_micros() as u64;
    let mut last = context.store_record.now();
    loop {
        tokio::time::sleep(TIMER_INTERVAL).await;
        let now = context.store_record.now();
        let late = now.saturating_sub(last + interval);
        if late > MIN_LATENESS_MICROS
            && let Ok(mut record) = context.record.lock()
        {
            record.held_up.push(HeldUp { from: now - late, to: now });
        }
        last = now;
    }
}

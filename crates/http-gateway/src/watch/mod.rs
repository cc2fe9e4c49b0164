//! Discovery: fetches the complete endpoint list, then watches its changes, for as long as the gateway runs.

mod attempt;
mod error;
#[cfg(test)]
pub(crate) mod tests;
mod transfer;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use umbertray_http_api::{Config, Input};

use self::attempt::{Attempt, until_failed, wait_or_promote_slow};
use self::transfer::WatchState;
use crate::backoff::{ConsecutiveFailures, Delivery};
use crate::event_loop::EventLoop;

/// Numbers of consecutive failed attempts.
#[derive(Clone, Copy, Default)]
struct FailureCounts {
    /// Consecutive attempts that received nothing. Determines the timeout of a response.
    connection: ConsecutiveFailures,
    /// Consecutive attempts whose watch received nothing. Determines the backoff.
    ///
    /// Hazard: without a separate count, the list would be fetched in an endless loop if it can be fetched
    /// but the watch cannot be opened.
    watch: ConsecutiveFailures,
}

/// The source of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DiscoverySource {
    address: SocketAddr,
    delivery: Delivery,
}

impl DiscoverySource {
    pub(crate) fn from_config(config: &Config) -> DiscoverySource {
        let is_polled = config.settings.get("discovery").is_some_and(|word| word == "asked");
        let delivery = if is_polled { Delivery::Polled } else { Delivery::Pushed };
        DiscoverySource { address: config.discovery, delivery }
    }
}

/// Follows the endpoint list at the current source. If the source is polled, the watch starts when the
/// scheduler requests it; from then on it is kept open.
///
/// Hazard: the scheduler requests a watch again some time after each failure, and may wait for much longer
/// than a change may remain unknown. Only the waits of [`crate::backoff`] may pass between two attempts.
///
/// Cancelled `select!` branches drop an attempt on purpose if its source has changed or the complete list has
/// to be fetched.
pub(crate) async fn follow<S: AsyncRead + AsyncWrite + Unpin>(
    connect: impl AsyncFn(SocketAddr) -> io::Result<S>,
    event_loop: Rc<EventLoop>,
    mut source: watch::Receiver<DiscoverySource>,
    known_version: u64,
    seed: u64,
) {
    let state = WatchState::new(event_loop.clone());
    tracing::debug!(known_version, "watch started");
    let mut counts = FailureCounts::default();
    let mut draws = 0;
    // `slow` is an attempt that continues alongside the current one. `next` is a slow attempt that has
    // received something, and becomes the current one.
    let mut slow = None;
    let mut next = None;
    if source.borrow().delivery == Delivery::Polled {
        wait_for_request(&event_loop, &mut source).await;
    }
    loop {
        let DiscoverySource { address, delivery } = *source.borrow_and_update();
        let started_at = Instant::now();
        tracing::debug!(discovery = %address, stale_for = ?state.stale_for(), "endpoint list queried");
        let attempt =
            next.take().unwrap_or_else(|| Attempt::new(&state, &connect, address, counts.connection));
        let error = tokio::select! {
            error = until_failed(attempt, &mut slow) => error,
            changed = source.changed() => {
                if changed.is_err() {
                    return;
                }
                // Hazard: the latest changes of the old address may arrive only from the new one, where they
                // would look new. The watch is reported as failed, so that they count as notified earlier.
                event_loop.post(Input::EndpointListFailed);
                state.reset_on_success(counts);
                (counts, slow) = (FailureCounts::default(), None);
                continue;
            }
            () = event_loop.fetch_requested.notified() => {
                state.forget_version();
                (counts, slow) = (state.reset_on_success(counts), None);
                continue;
            }
        };
        state.mark_stale();
        if error.invalidates_list() {
            state.forget_version();
        }
        event_loop.post(Input::EndpointListFailed);
        counts = state.count_failure(counts);
        draws += 1;
        let attempt_duration = started_at.elapsed();
        let jitter = random_fraction(seed, draws);
        let backoff = counts.watch.backoff_after(attempt_duration, delivery, error.failure_kind(), jitter);
        tracing::warn!(discovery = %address, %error, ?attempt_duration, ?backoff, "endpoint list stale");
        tokio::select! {
            () = wait_or_promote_slow(&mut slow, &mut next, sleep(backoff)) => {}
            _ = source.changed() => (counts, slow) = (FailureCounts::default(), None),
        }
    }
}

/// Waits until the scheduler requests a watch, or until the source changes.
async fn wait_for_request(event_loop: &EventLoop, source: &mut watch::Receiver<DiscoverySource>) {
    tokio::select! {
        () = event_loop.watch_requested.notified() => {}
        _ = source.changed() => {}
    }
}

/// A pseudo-random number from 0 to 1 for the jitter of a backoff.
fn random_fraction(seed: u64, draws: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, "watch", draws).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

//! Discovery: the whole endpoint list, then a watch of its changes, for as long as the gateway runs.

mod attempt;
mod error;
#[cfg(test)]
mod tests;
mod transfer;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use umbertray_http_api::{Config, Input};

use self::attempt::{Attempt, until_failed, wait_beside};
use self::transfer::WatchState;
use crate::backoff::Failures;
use crate::event_loop::EventLoop;

/// Failures in a row.
#[derive(Clone, Copy, Default)]
struct FailureCounts {
    /// Of attempts by which nothing came.
    connection: Failures,
    /// Of attempts by whose watch nothing came.
    ///
    /// Hazard: where the list can be fetched and the watch cannot be opened, the list would be fetched without end.
    watch: Failures,
}

/// Where the endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DiscoverySource {
    address: SocketAddr,
    /// Whether each watch is requested by the scheduler; otherwise changes are pushed.
    is_polled: bool,
}

impl DiscoverySource {
    pub(crate) fn from_config(config: &Config) -> DiscoverySource {
        let is_polled = config.settings.get("discovery").is_some_and(|word| word == "asked");
        DiscoverySource { address: config.discovery, is_polled }
    }
}

/// Follows the endpoint list at the source of the time. Where it is polled, the first watch begins when the scheduler requests
/// it, and so does the next after one that failed.
///
/// What a cancelled `select!` branch loses: an attempt whose source has changed or that has to fetch the whole list, on
/// purpose; a requested watch stays requested.
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
    let mut is_requested = !source.borrow().is_polled;
    // A slow attempt that goes on beside the present one, and one that has received something and is the next.
    let mut slow = None;
    let mut next = None;
    loop {
        // Hazard: the scheduler, once it has requested a watch, does not request it again where the source only changes, or the
        // watch begins with the whole list.
        if !std::mem::replace(&mut is_requested, true) && next.is_none() {
            tokio::select! {
                () = wait_beside(&mut slow, &mut next, event_loop.watch_requested.notified()) => {}
                // Hazard: a change notified at the new address counts soon, however long the scheduler waits for the old one.
                _ = source.changed() => (counts, slow) = (FailureCounts::default(), None),
            }
        }
        let DiscoverySource { address, is_polled } = *source.borrow_and_update();
        let started_at = Instant::now();
        let attempt =
            next.take().unwrap_or_else(|| Attempt::new(&state, &connect, address, counts.connection));
        let error = tokio::select! {
            error = until_failed(attempt, &mut slow) => error,
            changed = source.changed() => {
                if changed.is_err() {
                    return;
                }
                // Hazard: the last changes of the old address are received from the new one, as if they were new.
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
        tracing::warn!(discovery = %address, %error, "endpoint list stale");
        if error.invalidates_list() {
            state.forget_version();
        }
        event_loop.post(Input::EndpointListFailed);
        is_requested = !is_polled;
        counts = state.count_failure(counts);
        draws += 1;
        let max_backoff = counts.watch.max_backoff_after(started_at.elapsed(), error.failure_kind(is_polled));
        let backoff = max_backoff.mul_f64(0.5 + random_fraction(seed, draws) / 2.0);
        tokio::select! {
            () = wait_beside(&mut slow, &mut next, sleep(backoff)) => {}
            _ = source.changed() => {
                is_requested = true;
                (counts, slow) = (FailureCounts::default(), None);
            }
        }
    }
}

/// A number from 0 to 1 for the jitter of a backoff.
fn random_fraction(seed: u64, draws: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, "watch", draws).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

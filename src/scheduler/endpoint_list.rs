//! The endpoint list: applying updates, and subscribing again after a failure.

use std::collections::BTreeSet;
use std::time::Duration;

use super::SchedulerState;
use super::store::Store;
use super::sweep::SWEEP_INTERVAL_PER_OBJECTIVE;
use crate::interface::{Endpoint, EndpointListUpdate, StoreId, StoreState};

/// The backoff doubles with each failure up to this count; from then on it is half of the maximum backoff,
/// before jitter.
const MAX_BACKOFF_FAILURES: u32 = 4;
/// A store that returns to service is first used after a random wait, which is at most the slow start window
/// times the slow start progress that the store still lacks, or times this fraction if that is greater.
const MIN_MISSING_PROGRESS: f64 = SWEEP_INTERVAL_PER_OBJECTIVE;

/// When to subscribe to the endpoint list.
pub(super) struct EndpointWatch {
    failures: u32,
    /// When to subscribe; absent: no subscription is needed.
    retry_at: Option<Duration>,
}

impl EndpointWatch {
    pub(super) fn new(subscribe_at: Option<Duration>) -> Self {
        Self { failures: 0, retry_at: subscribe_at }
    }

    /// Exponential backoff with jitter: the list service handles only few calls at once, so gateways must not
    /// retry in step.
    fn on_failure(&mut self, max_backoff: Duration, now: Duration, random_fraction: f64) {
        self.failures += 1;
        let halvings = MAX_BACKOFF_FAILURES + 1 - self.failures.min(MAX_BACKOFF_FAILURES);
        let backoff = max_backoff / 2u32.pow(halvings);
        self.retry_at = Some(now + backoff.mul_f64(1.0 + random_fraction));
    }

    fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Whether the gateway must subscribe now; true once for each scheduled time.
    pub(super) fn take_due_retry(&mut self, now: Duration) -> bool {
        self.retry_at.take_if(|at| now >= *at).is_some()
    }
}

impl SchedulerState {
    pub(super) fn on_endpoint_list(&mut self, update: EndpointListUpdate) {
        let endpoints = match update {
            EndpointListUpdate::Failed => {
                let random_fraction = self.random.random_fraction();
                let max_backoff = self.settings.max_watch_backoff;
                self.endpoint_watch.on_failure(max_backoff, self.now, random_fraction);
                return;
            }
            EndpointListUpdate::Changes(endpoints) => endpoints,
            EndpointListUpdate::Complete(endpoints) | EndpointListUpdate::Cached(endpoints) => {
                self.remove_unlisted(&endpoints);
                endpoints
            }
        };
        self.endpoint_watch.on_success();
        for endpoint in endpoints {
            self.on_endpoint(endpoint);
        }
    }

    /// Marks stores that a complete list does not name as gone.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<StoreId> = endpoints.iter().map(|endpoint| endpoint.store).collect();
        let known = self.stores.iter().map(|(id, _)| id);
        let unlisted: Vec<StoreId> = known.filter(|id| !listed.contains(id)).collect();
        for id in unlisted {
            if let Some(store) = self.stores.activate(id, self.now, &self.settings) {
                store.endpoint.state = StoreState::Gone;
            }
        }
    }

    fn on_endpoint(&mut self, endpoint: Endpoint) {
        let known = self.stores.get(endpoint.store);
        let has_returned = has_returned(known, &endpoint);
        let starts_draining = known.is_some_and(Store::is_ready) && endpoint.state == StoreState::Draining;
        let first_use_at = self.draw_first_use(&endpoint);
        let baseline = self.store_baseline();
        let Some(store) = self.stores.insert_listed(&endpoint, baseline, self.now, &self.settings) else {
            return;
        };
        if starts_draining {
            store.draining_since = Some(self.now);
        }
        if has_returned {
            store.returned_at = self.now;
            store.outlier.on_store_returned(first_use_at);
        }
        store.endpoint = endpoint;
    }

    /// Draws the time at which a store is first used if it has just returned to service. All gateways notice
    /// it at the same time; a random wait, longer for a store that can carry less, spreads their first ops.
    fn draw_first_use(&mut self, endpoint: &Endpoint) -> Duration {
        let progress = self.slow_start_progress(endpoint);
        let missing_progress =
            progress.map_or(MIN_MISSING_PROGRESS, |progress| (1.0 - progress).max(MIN_MISSING_PROGRESS));
        let random_fraction = self.random.random_fraction();
        self.now + self.settings.slow_start.window.mul_f64(missing_progress * random_fraction)
    }
}

/// Whether a store that was unknown, not ready or in another incarnation is ready now. A store without a
/// start time has been running for long and does not count.
fn has_returned(known: Option<&Store>, endpoint: &Endpoint) -> bool {
    let is_new_incarnation_or_state =
        known.is_none_or(|store| store.endpoint.started_at != endpoint.started_at || !store.is_ready());
    is_new_incarnation_or_state && endpoint.state == StoreState::Ready && endpoint.started_at.is_some()
}

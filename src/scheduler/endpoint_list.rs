//! The list of stores: updates to it, and asking for it again after a failure.

use std::collections::BTreeSet;
use std::time::Duration;

use super::SchedulerState;
use super::store::Store;
use super::sweep::SWEEP_INTERVAL_PER_OBJECTIVE;
use crate::interface::{Endpoint, EndpointListUpdate, StoreId, StoreState};

/// The backoff doubles with each failure up to this one; from there on it is half the time within which to ask again.
const MAX_BACKOFF_FAILURES: u32 = 4;
/// A store that is back is first used within the window of the rule on slow starts times the progress that it lacks,
/// and at least this part of it.
const MIN_MISSING_PROGRESS: f64 = SWEEP_INTERVAL_PER_OBJECTIVE;

/// When to ask for the endpoint list.
pub(super) struct EndpointWatch {
    failures: u32,
    /// Absent: there is no need to ask.
    retry_at: Option<Duration>,
}

impl EndpointWatch {
    pub(super) fn new(first_at: Option<Duration>) -> Self {
        Self { failures: 0, retry_at: first_at }
    }

    /// Asks again later after each failure, and not in step with other gateways, as the list serves few calls at once.
    fn on_failure(&mut self, retry_within: Duration, now: Duration, random_fraction: f64) {
        self.failures += 1;
        let halvings = MAX_BACKOFF_FAILURES + 1 - self.failures.min(MAX_BACKOFF_FAILURES);
        let backoff = retry_within / 2u32.pow(halvings);
        self.retry_at = Some(now + backoff.mul_f64(1.0 + random_fraction));
    }

    fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Whether the list must be asked for now; once for each time that was set.
    pub(super) fn take_due_retry(&mut self, now: Duration) -> bool {
        self.retry_at.take_if(|at| now >= *at).is_some()
    }
}

impl SchedulerState {
    pub(super) fn on_endpoint_list(&mut self, update: EndpointListUpdate) {
        let endpoints = match update {
            EndpointListUpdate::Failed => {
                let random_fraction = self.random.random_fraction();
                let retry_within = self.settings.watch_retry_within;
                self.endpoint_watch.on_failure(retry_within, self.now, random_fraction);
                return;
            }
            EndpointListUpdate::Changes(endpoints) => endpoints,
            EndpointListUpdate::Whole(endpoints) | EndpointListUpdate::Cached(endpoints) => {
                self.remove_unlisted(&endpoints);
                endpoints
            }
        };
        self.endpoint_watch.on_success();
        for endpoint in endpoints {
            self.on_endpoint(endpoint);
        }
    }

    /// Stores that a whole list does not name are gone.
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
        let is_back = is_back(known, &endpoint);
        let starts_draining = known.is_some_and(Store::is_ready) && endpoint.state == StoreState::Draining;
        let first_use_at = self.draw_first_use(&endpoint);
        let baseline = self.store_baseline();
        let Some(store) = self.stores.list(&endpoint, baseline, self.now, &self.settings) else { return };
        if starts_draining {
            store.draining_since = Some(self.now);
        }
        if is_back {
            store.back_at = self.now;
            store.outlier.restart(first_use_at);
        }
        store.endpoint = endpoint;
    }

    /// A store just back meets all gateways at once: a random wait, longer for one that can carry less, spreads them.
    fn draw_first_use(&mut self, endpoint: &Endpoint) -> Duration {
        let progress = self.slow_start_progress(endpoint);
        let missing =
            progress.map_or(MIN_MISSING_PROGRESS, |progress| (1.0 - progress).max(MIN_MISSING_PROGRESS));
        let random_fraction = self.random.random_fraction();
        self.now + self.settings.slow_start.window.mul_f64(missing * random_fraction)
    }
}

/// Whether a store that was not known, not ready or of another start is ready now. Without a time of its start it has
/// been there for long.
fn is_back(known: Option<&Store>, endpoint: &Endpoint) -> bool {
    let is_new =
        known.is_none_or(|store| store.endpoint.started_at != endpoint.started_at || !store.is_ready());
    is_new && endpoint.state == StoreState::Ready && endpoint.started_at.is_some()
}

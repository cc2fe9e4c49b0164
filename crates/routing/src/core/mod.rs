//! The routing core. It hosts one scheduler and keeps one record for each open request, one for each fragment
//! and one for each attempt.
//!
//! Its methods are grouped by concern: `requests` splits requests into fragments, `results` completes them,
//! `attempts` sends attempts to stores, `stores` handles connections to stores and their messages,
//! `directory` handles the endpoint list and the extent map, and `relocation` resumes operations that a store
//! rejected with a stale epoch.

mod attempts;
mod directory;
mod relocation;
mod requests;
mod results;
mod stores;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use umbertray::interface::{Action, Event, Outcome, VolumeId};
use umbertray::scheduler::Scheduler;
use umbertray_store_protocol::list::ToList;
use umbertray_store_protocol::store::ToStore;
use umbertray_store_protocol::volume_id;

use self::attempts::StoreReply;
use crate::fragment::{AttemptStatus, Fragment, FragmentState, InFlightAttempt, OpenRequest};
use crate::locations::Locations;
use crate::reply::FinalResult;
use crate::restore::{self, PendingRestore};
use crate::settings::{Settings, SettingsChange};
use crate::store_membership::StoreMembership;
use crate::timers::{Timer, Timers};
use crate::{Input, Output, RequestHandler, RequestId};

/// Routes requests to stores around one scheduler.
///
/// Invariant: each open request has a record in `requests`, each of its fragments one in `fragments`, and
/// each attempt without an outcome one in `attempts`. A fragment's record is removed once the fragment is
/// finished and none of its attempts is in flight.
pub struct Core {
    settings: Arc<Settings>,
    /// Lasting ids of the volumes, indexed as in the settings.
    volumes: Vec<u64>,
    scheduler: Scheduler,
    now: Duration,
    stores: StoreMembership,
    locations: Locations,
    requests: BTreeMap<RequestId, OpenRequest>,
    fragments: HashMap<u32, Fragment>,
    attempts: HashMap<u64, InFlightAttempt>,
    timers: Timers,
    /// Whether the timer that resends open directory queries is set.
    retry_scheduled: bool,
    /// Whether the extent map cannot be queried because the coordinator is disconnected.
    map_unavailable: bool,
    /// For the snapshot that is being taken: how long its reserved tokens stay reserved.
    promise_duration: Duration,
    pending_restore: Option<PendingRestore>,
    next_fragment: u32,
    last_sequence: u64,
    last_attempt: u64,
    /// Events for the scheduler, collected during the current call of `handle`.
    events: Vec<Event>,
    /// Outputs collected during the current call of `handle`.
    outputs: Vec<Output>,
}

impl RequestHandler for Core {
    fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        self.now = now.max(self.now);
        inputs.into_iter().for_each(|input| self.on_input(input));
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.on_timer(timer);
        }
        // Applying an action may add further events.
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let actions = self.scheduler.handle(self.now, events);
            actions.into_iter().for_each(|action| self.apply_action(action));
        }
        if let Some(at) = self.timers.next_request() {
            self.outputs.push(Output::SetTimer(at));
        }
        std::mem::take(&mut self.outputs)
    }
}

impl Core {
    /// Creates the core at the gateway's start. `now` must be on a clock whose zero precedes the start of
    /// every store, because the ages of stores are subtracted from it.
    pub fn new(settings: Arc<Settings>, seed: u64, now: Duration) -> Core {
        let start = Event::Start { seed, settings: settings.scheduler_settings() };
        Core {
            volumes: settings.volumes.iter().map(|volume| volume_id(&volume.name)).collect(),
            scheduler: Scheduler::default(),
            now,
            stores: StoreMembership::default(),
            locations: Locations::new(settings.bounds.locations),
            requests: BTreeMap::new(),
            fragments: HashMap::new(),
            attempts: HashMap::new(),
            timers: Timers::default(),
            retry_scheduled: false,
            map_unavailable: false,
            promise_duration: Duration::ZERO,
            pending_restore: None,
            next_fragment: 0,
            last_sequence: 0,
            last_attempt: 0,
            events: vec![start],
            outputs: Vec::new(),
            settings,
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Request(request) => self.on_request(request),
            Input::SessionClosed(session) => self.on_session_closed(session),
            Input::StoreConnected { store, lasting_id, shard, clock } => {
                self.on_store_connected(store, lasting_id, shard, clock);
            }
            Input::StoreUnreachable { store } | Input::StoreDisconnected { store } => {
                self.on_store_disconnected(store);
            }
            Input::FromStore { store, message, received_at } => {
                self.on_store_message(store, message, received_at);
            }
            Input::FromList(message) => self.on_list_message(message),
            Input::ListDisconnected => self.on_list_failed(),
            Input::CoordinatorDisconnected => self.on_coordinator_disconnected(),
            Input::SettingsChanged { settings, changes } => self.on_settings_changed(settings, &changes),
            Input::TakeSnapshot { promise_duration } => {
                self.promise_duration = promise_duration;
                self.events.push(Event::TakeSnapshot { promise_duration });
            }
            Input::Restore { snapshot, age } => {
                let (event, pending) = PendingRestore::new(self.now, snapshot, age, &self.volumes);
                self.events.push(event);
                self.pending_restore = Some(pending);
            }
            Input::TimerExpired => self.timers.on_expired(),
        }
    }

    /// Open requests continue unchanged: their deadline, operation type and volume stay the same. The
    /// scheduler is given new settings before it is given the volumes that use them.
    fn on_settings_changed(&mut self, settings: Arc<Settings>, changes: &[SettingsChange]) {
        let new_volumes = settings.volumes.iter().skip(self.volumes.len());
        self.volumes.extend(new_volumes.map(|volume| volume_id(&volume.name)));
        let has_new_parameters =
            |change: &SettingsChange| matches!(change, SettingsChange::Parameters | SettingsChange::Plan(_));
        if changes.iter().any(has_new_parameters) {
            self.events.push(Event::SettingsChanged { settings: settings.scheduler_settings() });
        }
        for change in changes {
            let SettingsChange::Volume(index) = change else { continue };
            let Some(volume) = settings.volumes.get(*index) else { continue };
            self.events.push(Event::VolumeMoved {
                volume: VolumeId(*index as u32),
                plan: volume.plan,
                gateways: f64::from(volume.gateways),
            });
        }
        self.settings = settings;
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Scheduler(token) => self.events.push(Event::Timer { token }),
            Timer::Attempt(number) => {
                // An attempt that was not sent was not executed. One that was sent may still be executed, but
                // only until its time fence.
                let attempt = self.attempts.get(&number);
                let is_unsent = attempt.is_none_or(|attempt| attempt.status != AttemptStatus::Sent);
                let outcome = if is_unsent { Outcome::ConnectFailed } else { Outcome::TimedOut };
                self.finish_attempt(number, outcome, StoreReply::default());
            }
            Timer::Fragment(id) => match self.fragments.get(&id).map(|fragment| fragment.state) {
                // The directory has not responded in time. Nothing was sent to a store, so a retry is
                // harmless.
                Some(FragmentState::Locating) => {
                    self.complete(id, FinalResult::Rejected { retry_after: Duration::ZERO });
                }
                Some(FragmentState::AwaitingDelivery(_)) => self.deliver_result(id),
                Some(FragmentState::Scheduled | FragmentState::Finished) | None => {}
            },
            Timer::RetryQueries => {
                self.retry_scheduled = false;
                let queries = self.locations.open_queries();
                queries.into_iter().for_each(|query| self.send_query(query));
            }
            Timer::ForgetStores => {
                let gone_before = self.now.saturating_sub(self.gone_store_retention());
                let forgotten = self.stores.forget(gone_before).into_iter();
                self.outputs.extend(forgotten.map(|store| Output::DisconnectStore { store }));
            }
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::StartAttempt { op, store, timeout } => self.start_attempt(op.0, store, timeout),
            Action::Reject { op, retry_after } => self.complete(op.0, FinalResult::Rejected { retry_after }),
            Action::Fail { op } => self.complete(op.0, FinalResult::Failed),
            Action::Cancel { op, attempt } => self.cancel_attempt(op.0, attempt),
            Action::SetTimer { token, at } => self.timers.set(at, Timer::Scheduler(token)),
            Action::WatchEndpoints => self.send_query(ToList::Watch),
            Action::FetchEndpoints => self.send_query(ToList::Fetch),
            Action::Snapshot { stores, volumes } => {
                let endpoint_list = self.stores.endpoint_list(self.now);
                let snapshot =
                    restore::snapshot(endpoint_list, stores, volumes, &self.volumes, self.promise_duration);
                self.outputs.push(Output::SaveSnapshot(snapshot));
            }
            Action::CheckHealth { store } => {
                let message = ToStore::HealthCheck { token: self.now.as_micros() as u64 };
                self.outputs.push(Output::ToStore { store, message, buffer_guard: None });
            }
            Action::Log(text) => self.outputs.push(Output::Log(text)),
            Action::Fatal(text) => self.outputs.push(Output::Fatal(text)),
        }
    }
}

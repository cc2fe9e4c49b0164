//! The event loop: owns the core, passes all pending inputs to it in one turn, and applies the resulting
//! effects.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot, watch};
use tokio::task::{AbortHandle, yield_now};
use tokio::time::sleep_until;
use umbertray_clock::Clock;
use umbertray_http::EncodedMessage;
use umbertray_http::server::Request;
use umbertray_http_api::{
    AdmissionError, AdmittedRequest, AttemptId, AttemptOutcome, ClientId, Config, Core, Effect,
    FinalResponse, Input, SettingsError, StoreId,
};
use umbertray_lifecycle::Counters;
use umbertray_lifecycle::reason::{DenialReason, RetryReason, StoreCloseReason};
use umbertray_lifecycle::timeouts::Timeouts;

use crate::attempt;
use crate::client_connections::ClientConnections;
use crate::memory_budget::MemoryBudget;
use crate::resource_limits::{LimitsError, ResourceLimits};
use crate::store_pool::StorePools;

/// Shutdown phase of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serving normally.
    Serving,
    /// After SIGTERM: requests are still accepted, and answered before the exit.
    Draining,
    /// No new connections are accepted, and connections without an open request are closed.
    Closing,
}

/// The scheduler cannot continue, with the reason that it reported.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct FatalError(String);

/// A configuration cannot be put in force.
#[derive(Debug, thiserror::Error)]
pub enum ReconfigureError {
    /// Limits cannot be derived from the configuration.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// The core cannot run with the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Minimum time between two log lines on a lack of memory.
const SHORTAGE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryKind {
    /// Requests of clients.
    Requests,
    /// Responses to clients.
    Responses,
}

/// The task of an attempt.
struct RunningAttempt {
    task: AbortHandle,
    /// Whether the last byte of the request was written. From then on, the attempt may be executed.
    written: Rc<Cell<bool>>,
}

/// An operation that was admitted and awaits its final response.
pub(crate) struct SubmittedOp {
    pub(crate) client: ClientId,
    pub(crate) request: AdmittedRequest,
    pub(crate) response: oneshot::Receiver<FinalResponse>,
}

/// State shared by all tasks of the gateway.
pub(crate) struct EventLoop {
    core: RefCell<Core>,
    /// Inputs for the next turn.
    inputs: RefCell<Vec<Input>>,
    /// Whether `inputs` contains an endpoint list.
    has_queued_list: Cell<bool>,
    /// Notified when a turn has ended.
    turn_ended: Notify,
    wake: Notify,
    waiting_clients: RefCell<HashMap<ClientId, oneshot::Sender<FinalResponse>>>,
    attempts: RefCell<HashMap<AttemptId, RunningAttempt>>,
    next_client: Cell<u64>,
    phase: watch::Sender<Phase>,
    /// The gateway's clock.
    pub(crate) clock: Clock,
    limits: Rc<watch::Sender<ResourceLimits>>,
    /// Timeouts that a drain must not exceed, regardless of the settings in force when it begins. `None` if
    /// there is no such limit.
    drain_bound: Cell<Option<Timeouts>>,
    /// Connections to stores.
    pub(crate) pools: StorePools,
    /// Connections of clients.
    pub(crate) clients: ClientConnections,
    /// Counts of connection closes, rejected requests, retries and denied attempts, by reason.
    pub(crate) counters: Rc<Counters>,
    /// Memory held for the requests of all clients.
    pub(crate) request_memory: Arc<MemoryBudget>,
    /// Memory held for all responses.
    pub(crate) response_memory: Arc<MemoryBudget>,
    /// When a lack of memory was last logged.
    shortage_logged_at: Cell<Option<Instant>>,
    /// Notified when the scheduler requests a watch on the endpoint list. The first request opens it.
    pub(crate) watch_requested: Notify,
    /// Notified when the scheduler requests the complete endpoint list.
    pub(crate) fetch_requested: Notify,
}

impl EventLoop {
    pub(crate) fn new(core: Core, clock: Clock, limits: ResourceLimits) -> EventLoop {
        let counters = Rc::new(Counters::default());
        let request_memory = MemoryBudget::new(limits.request_memory);
        let response_memory = MemoryBudget::new(limits.response_memory);
        let limits = Rc::new(watch::channel(limits).0);
        EventLoop {
            core: RefCell::new(core),
            inputs: RefCell::default(),
            has_queued_list: Cell::new(false),
            turn_ended: Notify::new(),
            wake: Notify::new(),
            waiting_clients: RefCell::default(),
            attempts: RefCell::default(),
            next_client: Cell::new(0),
            phase: watch::channel(Phase::Serving).0,
            clock,
            pools: StorePools::new(limits.clone(), counters.clone()),
            limits,
            drain_bound: Cell::new(None),
            clients: ClientConnections::default(),
            counters,
            request_memory,
            response_memory,
            shortage_logged_at: Cell::new(None),
            watch_requested: Notify::new(),
            fetch_requested: Notify::new(),
        }
    }

    /// Logs that a budget is used up, at most once in [`SHORTAGE_LOG_INTERVAL`].
    pub(crate) fn log_memory_shortage(&self, kind: MemoryKind) {
        let now = Instant::now();
        let last = self.shortage_logged_at.get();
        if last.is_some_and(|last| now < last + SHORTAGE_LOG_INTERVAL) {
            return;
        }
        self.shortage_logged_at.set(Some(now));
        let budget = match kind {
            MemoryKind::Requests => &self.request_memory,
            MemoryKind::Responses => &self.response_memory,
        };
        let (used, limit, counters) = (budget.used(), budget.limit(), &self.counters);
        let clients = self.clients.len();
        tracing::warn!(?kind, used, limit, clients, %counters, "client memory exhausted");
    }

    /// The limits currently in force.
    pub(crate) fn limits(&self) -> ResourceLimits {
        *self.limits.borrow()
    }

    /// The timeouts of a drain that begins now.
    pub(crate) fn drain_timeouts(&self) -> Timeouts {
        let timeouts = self.limits().timeouts;
        self.drain_bound.get().map_or(timeouts, |bound| timeouts.with_earlier_drain(&bound))
    }

    /// Sets an upper limit for a later drain: it ends by the timeouts in force now, or by those of later
    /// settings if they end it earlier.
    pub(crate) fn bound_drain(&self) {
        self.drain_bound.set(Some(self.drain_timeouts()));
    }

    /// Subscribes to changes of the limits from now on.
    pub(crate) fn limits_changes(&self) -> watch::Receiver<ResourceLimits> {
        self.limits.subscribe()
    }

    /// Puts a new configuration in force: both limits and scheduler settings, or neither.
    ///
    /// Invariant: everything derived from the settings changes only here. A request, an attempt or a drain
    /// that has begun keeps the deadlines that it was given.
    pub(crate) fn reconfigure(&self, config: &Config) -> Result<(), ReconfigureError> {
        let limits = ResourceLimits::from_config(config)?;
        let mut core = self.core.borrow_mut();
        core.reconfigure(&config.settings)?;
        core.set_table_limits(limits.tables);
        drop(core);
        self.request_memory.set_limit(limits.request_memory);
        self.response_memory.set_limit(limits.response_memory);
        self.limits.send_replace(limits);
        self.wake.notify_one();
        Ok(())
    }

    /// Queues an input for the next turn of the core, which processes all queued inputs together.
    pub(crate) fn post(&self, input: Input) {
        if matches!(input, Input::EndpointList(_)) {
            self.has_queued_list.set(true);
        }
        self.inputs.borrow_mut().push(input);
        self.wake.notify_one();
    }

    /// Admits a request as an operation. Its final response is sent through the returned channel.
    pub(crate) fn submit(
        &self,
        request: &Request,
        started_at: Duration,
    ) -> Result<SubmittedOp, AdmissionError> {
        let client = ClientId(self.next_client.replace(self.next_client.get() + 1));
        let request = self.core.borrow_mut().admit(client, request, self.clock.now())?;
        let (sender, response) = oneshot::channel();
        self.waiting_clients.borrow_mut().insert(client, sender);
        self.post(Input::Request { client, started_at });
        Ok(SubmittedOp { client, request, response })
    }

    /// Reports that a client disconnected while waiting for its response.
    pub(crate) fn client_disconnected(&self, client: ClientId) {
        self.waiting_clients.borrow_mut().remove(&client);
        self.post(Input::ClientDisconnected(client));
    }

    /// Returns once no endpoint list waits for the next turn.
    pub(crate) async fn queued_list_applied(&self) {
        while self.has_queued_list.get() {
            self.turn_ended.notified().await;
        }
    }

    /// The encoded request of an attempt whose connection is established, or the reason why it must not
    /// start.
    ///
    /// Hazard: the core is notified of a client's disconnect only at its next turn, so this is checked here
    /// as well.
    pub(crate) fn start_attempt(&self, attempt: AttemptId) -> Result<EncodedMessage, DenialReason> {
        let mut core = self.core.borrow_mut();
        let client = core.waiting_client(attempt).ok_or(DenialReason::RequestEnded)?;
        if !self.waiting_clients.borrow().contains_key(&client) {
            return Err(DenialReason::ClientGone);
        }
        core.start_attempt(attempt, self.clock.now())
    }

    /// The reason why an attempt is a retry; `None` for the first attempt.
    pub(crate) fn retry_reason(&self, attempt: AttemptId) -> Option<RetryReason> {
        self.core.borrow().retry_reason(attempt)
    }

    /// The request id of an attempt's operation.
    pub(crate) fn request_id(&self, attempt: AttemptId) -> Option<Box<str>> {
        self.core.borrow().request_id(attempt).map(Box::from)
    }

    /// Number of operations without a final response.
    pub(crate) fn open_requests(&self) -> usize {
        self.core.borrow().open_requests()
    }

    /// Whether the gateway is serving: it knows stores and is not shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        self.core.borrow().endpoints_known() && self.phase() == Phase::Serving
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.phase() == Phase::Closing
    }

    /// Subscribes to changes of the phase from now on.
    pub(crate) fn phase_changes(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn enter_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits for an input that no turn has processed yet.
    #[cfg(test)]
    pub(crate) async fn posted(&self, is_wanted: impl Fn(&Input) -> bool) {
        while !self.has_posted(&is_wanted) {
            self.wake.notified().await;
        }
    }

    /// Whether there is such an input that no turn has processed yet.
    #[cfg(test)]
    pub(crate) fn has_posted(&self, is_wanted: impl Fn(&Input) -> bool) -> bool {
        self.inputs.borrow().iter().any(is_wanted)
    }

    /// Processes the queued inputs and the timers that are due at `now`.
    pub(crate) fn turn_at(self: &Rc<EventLoop>, now: Duration) -> Result<(), FatalError> {
        let inputs = self.inputs.take();
        self.has_queued_list.set(false);
        let effects = self.core.borrow_mut().handle(now, inputs);
        let applied = effects.into_iter().try_for_each(|effect| self.apply(effect));
        self.turn_ended.notify_waiters();
        applied
    }

    fn apply(self: &Rc<EventLoop>, effect: Effect) -> Result<(), FatalError> {
        match effect {
            Effect::Respond { client, response } => self.respond(client, response),
            Effect::StartAttempt { attempt, store, address, deadline } => {
                self.spawn_attempt(attempt, store, address, deadline);
            }
            Effect::Cancel { attempt } => self.cancel(attempt),
            Effect::CancelUnlessWritten { attempt } => self.cancel_unless_written(attempt),
            Effect::CheckHealth { store, address } => self.spawn_health_check(store, address),
            Effect::CloseIdleConnections { address } => self.close_idle_connections(address),
            Effect::WatchEndpoints => self.watch_requested.notify_one(),
            Effect::FetchEndpoints => self.fetch_requested.notify_one(),
            Effect::Log(text) => tracing::info!(text, "core message"),
            Effect::Fatal(reason) => return Err(FatalError(reason)),
        }
        Ok(())
    }

    fn respond(&self, client: ClientId, response: FinalResponse) {
        if let Some(sender) = self.waiting_clients.borrow_mut().remove(&client) {
            // Fails if the client has disconnected, which has already been posted as an input.
            _ = sender.send(response);
        }
    }

    fn spawn_attempt(
        self: &Rc<EventLoop>,
        attempt: AttemptId,
        store: StoreId,
        address: SocketAddr,
        deadline: Duration,
    ) {
        let written = Rc::new(Cell::new(false));
        let event_loop = self.clone();
        let is_written = written.clone();
        let task = tokio::task::spawn_local(async move {
            let finished =
                attempt::run_attempt(&event_loop, attempt, store, address, deadline, &is_written).await;
            event_loop.attempts.borrow_mut().remove(&attempt);
            event_loop.post_finished(attempt, finished.outcome, finished.at);
        });
        let running = RunningAttempt { task: task.abort_handle(), written };
        self.attempts.borrow_mut().insert(attempt, running);
    }

    fn cancel(&self, attempt: AttemptId) {
        let Some(running) = self.attempts.borrow_mut().remove(&attempt) else { return };
        running.task.abort();
        let outcome =
            if running.written.get() { AttemptOutcome::Cancelled } else { AttemptOutcome::NeverWritten };
        self.post_finished(attempt, outcome, self.clock.now());
    }

    fn cancel_unless_written(&self, attempt: AttemptId) {
        let mut attempts = self.attempts.borrow_mut();
        if let Entry::Occupied(running) = attempts.entry(attempt)
            && !running.get().written.get()
        {
            running.remove().task.abort();
            self.post_finished(attempt, AttemptOutcome::Withheld, self.clock.now());
        }
    }

    fn post_finished(&self, attempt: AttemptId, outcome: AttemptOutcome, finished_at: Duration) {
        self.post(Input::AttemptFinished { attempt, outcome, finished_at });
    }

    fn spawn_health_check(self: &Rc<EventLoop>, store: StoreId, address: SocketAddr) {
        let event_loop = self.clone();
        tokio::task::spawn_local(async move {
            let outcome = attempt::check_health(&event_loop, address).await;
            event_loop.post(Input::HealthChecked { store, outcome });
        });
    }

    fn close_idle_connections(&self, address: SocketAddr) {
        let reason = StoreCloseReason::StoreGoneOrMoved;
        let closed = self.pools.close_idle(address);
        (0..closed).for_each(|_| self.counters.count(reason));
        tracing::debug!(store = %address, closed, %reason, "store connections closed");
    }
}

/// Runs turns of the core until the scheduler cannot continue.
pub(crate) async fn run(event_loop: Rc<EventLoop>) -> Result<(), FatalError> {
    loop {
        event_loop.turn_at(event_loop.clock.now())?;
        let deadline = event_loop.core.borrow().next_deadline();
        let timer = async {
            match deadline {
                Some(at) => sleep_until(event_loop.clock.instant(at).into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = event_loop.wake.notified() => {}
            () = timer => {}
        }
        // Events of other tasks that are ready now belong to the same turn.
        yield_now().await;
    }
}

#[cfg(test)]
mod tests;

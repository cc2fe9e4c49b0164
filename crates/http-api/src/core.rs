//! Runs one scheduler behind the platform's protocol: converts inputs to scheduler events, and scheduler
//! actions to effects.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{
    Action, AttemptResult, EndpointListUpdate, Event, LoadReport, Op, OpId, Outcome, Settings, StoreId,
    StoreState,
};
use umbertray::scheduler::Scheduler;
use umbertray_http::{EncodedMessage, client, server};
use umbertray_lifecycle::attempt::{self, AttemptStart, RequestStatus};
use umbertray_lifecycle::reason::{DenialReason, RetryReason};

use crate::active_settings::{ActiveSettings, SettingsError, StartError, comma_separated};
use crate::config::Config;
use crate::endpoint_list::EndpointList;
use crate::messages::{
    AdmissionError, AdmittedRequest, AttemptId, AttemptOutcome, ClientId, Effect, FinalResponse, Input,
    TableLimits,
};
use crate::outcomes::{header_number, may_have_run, parse_load_report, retry_reason, scheduler_outcome};
use crate::pending::PendingRequests;
use crate::protocol;
use crate::request::{ClientRequest, RequestError};
use crate::stores::{ListChanges, Stores};
use crate::volumes::Volumes;

/// State of the gateway: the scheduler, the open operations and the known stores.
pub struct Core {
    scheduler: Scheduler,
    now: Duration,
    settings: ActiveSettings,
    pending: PendingRequests,
    stores: Stores,
    endpoints_known: bool,
    volumes: Volumes,
    timers: BTreeSet<(Duration, u64)>,
    /// Events that the scheduler receives in the current turn.
    events: Vec<Event>,
    /// Effects produced in the current turn.
    effects: Vec<Effect>,
}

impl Core {
    /// Creates the core at the start of a gateway. `now` is the time since the Unix epoch, like the boot
    /// timestamps in endpoint lists.
    ///
    /// # Errors
    /// The settings cannot be put in force.
    pub fn start(config: &Config, table_limits: TableLimits, now: Duration) -> Result<Core, StartError> {
        let settings = ActiveSettings::new(&config.settings)?;
        let start = Event::Start { seed: config.seed, settings: settings.for_scheduler() };
        let mut core = Core {
            scheduler: Scheduler::default(),
            now,
            settings,
            pending: PendingRequests::new(table_limits.request_ids),
            stores: Stores::new(comma_separated(&config.settings, "failure_domains")),
            endpoints_known: config
                .cached_endpoints
                .stores
                .iter()
                .any(|endpoint| endpoint.state == StoreState::Ready),
            volumes: Volumes::new(table_limits.volumes),
            timers: BTreeSet::new(),
            events: vec![start],
            effects: Vec::new(),
        };
        let cached = core.apply_list(&config.cached_endpoints);
        core.events.push(Event::EndpointList(EndpointListUpdate::Cached(cached.endpoints)));
        Ok(core)
    }

    /// Validates a request and converts it to an operation, without admitting it.
    ///
    /// # Errors
    /// The request is not a valid operation, or its request id is in use.
    pub fn parse_request(&self, request: &server::Request) -> Result<ClientRequest, RequestError> {
        let request = self.settings.request_parser.parse(request)?;
        if self.pending.ids.contains(request.id_number) {
            let message = format!("{}: an open request has this id", protocol::REQUEST_ID);
            return Err(RequestError { status: 409, message });
        }
        Ok(request)
    }

    /// Admits a request as the operation that `client` waits for. [`Input::Request`] has to follow.
    ///
    /// Hazard: the next turn may come after further requests were read. Whatever they are checked against is
    /// therefore changed here, and not in that turn.
    ///
    /// # Errors
    /// The request is not a valid operation, its request id is in use, or there is no capacity for it.
    pub fn admit(
        &mut self,
        client: ClientId,
        request: &server::Request,
        now: Duration,
    ) -> Result<AdmittedRequest, AdmissionError> {
        let request = self.parse_request(request)?;
        let retention = self.settings.request_parser.longest_deadline();
        if !self.pending.ids.has_capacity(now, retention) {
            return Err(AdmissionError::TooManyIds);
        }
        let ClientRequest { id, shard, time_left, .. } = &request;
        let admitted = AdmittedRequest { id: id.clone(), shard: *shard, time_left: *time_left };
        let Some(volume) = self.volumes.id(request.volume) else {
            return Err(AdmissionError::TooManyVolumes);
        };
        self.pending.add(client, request, volume);
        Ok(admitted)
    }

    /// Whether any store is known that attempts can be sent to.
    pub fn endpoints_known(&self) -> bool {
        self.endpoints_known
    }

    /// The request id that the client assigned to the operation of an attempt; `None` once the operation is
    /// forgotten.
    pub fn request_id(&self, attempt: AttemptId) -> Option<&str> {
        self.pending.get(attempt.op).map(|pending| &*pending.request.id)
    }

    /// Number of operations without a final response.
    pub fn open_requests(&self) -> usize {
        self.pending.open()
    }

    /// When the earliest timer expires; [`Input::TimerExpired`] is due then. `None` if no timer is set.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Processes all inputs up to `now` as simultaneous, and returns the effects for the caller to perform.
    pub fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Effect> {
        self.now = now.max(self.now);
        inputs.into_iter().for_each(|input| self.on_input(input));
        self.fire_timers();
        let events = std::mem::take(&mut self.events);
        if !events.is_empty() {
            let actions = self.scheduler.handle(self.now, events);
            actions.into_iter().for_each(|action| self.apply_action(action));
        }
        self.volumes.forget_idle(&mut self.scheduler, self.now, || self.pending.volumes());
        std::mem::take(&mut self.effects)
    }

    /// The client that waits for the response to the operation of an attempt.
    pub fn waiting_client(&self, attempt: AttemptId) -> Option<ClientId> {
        let pending = self.pending.get(attempt.op).filter(|pending| !pending.has_ended)?;
        Some(pending.client)
    }

    /// Encodes the request of an attempt, once a connection for it is established.
    ///
    /// # Errors
    /// The reason why the attempt must not start any more ([`attempt::may_begin`]).
    pub fn start_attempt(&mut self, id: AttemptId, now: Duration) -> Result<EncodedMessage, DenialReason> {
        let pending = self.pending.get_mut(id.op).ok_or(DenialReason::RequestEnded)?;
        let idempotency = self.settings.idempotency(pending.request.op_type);
        let may_have_run_since = pending.may_have_run_since;
        let request = if pending.has_ended { RequestStatus::Ended } else { RequestStatus::Open };
        let in_flight = pending.attempt_mut(id.attempt).ok_or(DenialReason::RequestEnded)?;
        let deadline = in_flight.deadline;
        let store_id = in_flight.store;
        let address = self.stores.address(store_id).ok_or(DenialReason::StoreGone)?;
        let store = self.stores.status(store_id, self.settings.drain_grace).ok_or(DenialReason::StoreGone)?;
        attempt::may_begin(&AttemptStart { now, deadline, request, store, idempotency, may_have_run_since })?;
        in_flight.started_at = Some(now);
        let time_left = deadline - now;
        Ok(encode_attempt(&pending.request, &address.to_string(), time_left))
    }

    /// The reason why an attempt is a retry; `None` for the first attempt of an operation.
    pub fn retry_reason(&self, id: AttemptId) -> Option<RetryReason> {
        let pending = self.pending.get(id.op).filter(|_| id.attempt > 0)?;
        let is_hedged = pending.in_flight.iter().any(|attempt| attempt.number != id.attempt);
        if is_hedged { Some(RetryReason::Hedged) } else { pending.last_outcome }
    }

    /// Changes the maximum sizes of the tables. Entries in use stay.
    pub fn set_table_limits(&mut self, limits: TableLimits) {
        self.pending.ids.set_capacity(limits.request_ids);
        self.volumes.set_limit(limits.volumes);
    }

    /// Puts new settings in force from the next turn on. Operation types and plans keep their positions,
    /// which open operations refer to.
    ///
    /// # Errors
    /// The scheduler does not accept the settings. The old settings stay in force.
    pub fn reconfigure(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        self.settings = self.settings.replaced_by(settings)?;
        self.events.push(Event::SettingsChanged { settings: self.settings.for_scheduler() });
        Ok(())
    }

    fn fire_timers(&mut self) {
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
            self.timers.remove(&(at, token));
            self.events.push(Event::Timer { token });
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Request { client, started_at } => self.on_request(client, started_at),
            Input::ClientDisconnected(client) => self.on_client_disconnected(client),
            Input::AttemptFinished { attempt, outcome, finished_at } => {
                self.on_attempt_finished(attempt, outcome, finished_at);
            }
            Input::HealthChecked { store, outcome } => self.on_health_checked(store, &outcome),
            Input::EndpointList(list) => self.on_endpoint_list(&list),
            Input::EndpointListFailed => {
                self.stores.watch_failed();
                self.events.push(Event::EndpointList(EndpointListUpdate::Failed));
            }
            Input::SettingsChanged(settings) => {
                if let Err(error) = self.reconfigure(&settings) {
                    self.effects.push(Effect::Log(format!("settings rejected: {error}")));
                }
            }
            Input::ShuttingDown(at) => self.events.push(Event::ShuttingDown { at }),
            Input::TimerExpired => {}
        }
    }

    fn on_request(&mut self, client: ClientId, started_at: Duration) {
        let Some(id) = self.pending.op_of(client) else { return };
        let Some(pending) = self.pending.get(id) else { return };
        let request = &pending.request;
        let waited = self.now.saturating_sub(started_at);
        let op = Op {
            id,
            units: request.units,
            volume: pending.volume,
            volume_name: request.volume,
            key: (request.key != 0).then_some(request.key),
            shard: request.shard,
            time_left: request.time_left.saturating_sub(waited),
            plan: request.plan,
            op_type: request.op_type,
            gateways: request.gateways,
        };
        self.events.push(Event::OpArrived(op));
    }

    fn on_client_disconnected(&mut self, client: ClientId) {
        if let Some(op) = self.pending.op_of(client) {
            self.events.push(Event::ClientDisconnected { op });
            self.end(op);
        }
    }

    fn on_attempt_finished(&mut self, id: AttemptId, outcome: AttemptOutcome, finished_at: Duration) {
        let Some(pending) = self.pending.get_mut(id.op) else { return };
        let Some(attempt) = pending.finish_attempt(id.attempt) else { return };
        let scheduler_outcome = scheduler_outcome(&outcome);
        if may_have_run(scheduler_outcome) {
            pending.may_have_run_since = pending.may_have_run_since.or(attempt.started_at);
        }
        pending.last_outcome = retry_reason(&outcome);
        let had_ended = pending.has_ended;
        let mut result = AttemptResult {
            op: id.op,
            attempt: id.attempt,
            store: attempt.store,
            outcome: scheduler_outcome,
            latency: finished_at.saturating_sub(attempt.decided_at),
            op_ended: had_ended,
            plan_rate_used: None,
            units_elsewhere: 0.0,
            report: LoadReport::new(),
        };
        if let AttemptOutcome::Response(response) = outcome {
            self.on_response(id.op, response, &mut result);
        }
        self.events.push(Event::AttemptFinished(result));
        if had_ended {
            self.end(id.op);
        }
    }

    /// Reads the scheduling fields of a store's response, and forwards it to the client if it is the final
    /// response.
    fn on_response(&mut self, op: OpId, response: client::Response, result: &mut AttemptResult) {
        let headers = &response.head.headers;
        result.plan_rate_used =
            header_number(headers, protocol::PLAN_RATE_USED).map(|percent| percent / 100.0);
        result.units_elsewhere = header_number(headers, protocol::UNITS_ELSEWHERE).unwrap_or_default();
        let report = headers.single(protocol::LOAD_REPORT).ok().flatten().unwrap_or_default();
        result.report = parse_load_report(report, &self.settings.report_fields);
        if result.outcome == Outcome::Succeeded {
            let content_type = headers.single("Content-Type").ok().flatten().map(Bytes::copy_from_slice);
            self.respond(op, FinalResponse::Succeeded { content_type, body: response.body });
            result.op_ended = true;
        }
    }

    fn on_health_checked(&mut self, store: StoreId, outcome: &AttemptOutcome) {
        let (outcome, report) = match outcome {
            AttemptOutcome::Response(response) if response.head.status == 200 => {
                let report = response.head.headers.single(protocol::LOAD_REPORT).ok().flatten();
                let report = report.unwrap_or(&response.body);
                (Outcome::Succeeded, parse_load_report(report, &self.settings.report_fields))
            }
            other => (scheduler_outcome(other), LoadReport::new()),
        };
        self.events.push(Event::HealthChecked { store, outcome, report });
    }

    fn on_endpoint_list(&mut self, list: &EndpointList) {
        let changes = self.apply_list(list);
        self.stores.watch_recovered();
        self.endpoints_known |= !list.stores.is_empty();
        let update = if list.is_complete {
            EndpointListUpdate::Complete(changes.endpoints)
        } else {
            EndpointListUpdate::Changes(changes.endpoints)
        };
        self.events.push(Event::EndpointList(update));
    }

    /// Applies an endpoint list: updates the stores, closes idle connections to addresses without a store,
    /// and logs unknown values.
    fn apply_list(&mut self, list: &EndpointList) -> ListChanges {
        let changes = self.stores.apply(list, self.now, self.settings.drain_grace);
        self.close_idle_connections(&changes.unlisted_addresses);
        self.effects.extend(list.unknown.iter().cloned().map(Effect::Log));
        self.close_idle_connections(&changes.abandoned_addresses);
        changes
    }

    fn close_idle_connections(&mut self, addresses: &[SocketAddr]) {
        self.effects
            .extend(addresses.iter().map(|address| Effect::CloseIdleConnections { address: *address }));
    }

    fn respond(&mut self, op: OpId, response: FinalResponse) {
        if let Some(pending) = self.pending.get(op).filter(|pending| !pending.has_ended) {
            self.effects.push(Effect::Respond { client: pending.client, response });
            self.end(op);
        }
    }

    /// Ends an operation and cancels those of its attempts that have not been written completely.
    fn end(&mut self, op: OpId) {
        let in_flight = self.pending.end(op, self.now);
        self.effects.extend(in_flight.into_iter().map(|attempt| Effect::CancelUnlessWritten { attempt }));
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::StartAttempt { op, store, timeout } => self.add_attempt(op, store, timeout),
            Action::Reject { op, retry_after } => self.respond(op, FinalResponse::Rejected { retry_after }),
            Action::Fail { op } => self.respond(op, FinalResponse::Failed),
            Action::Cancel { op, attempt } => {
                self.effects.push(Effect::Cancel { attempt: AttemptId { op, attempt } });
            }
            Action::SetTimer { token, at } => _ = self.timers.insert((at, token)),
            Action::WatchEndpoints => self.effects.push(Effect::WatchEndpoints),
            Action::FetchEndpoints => self.effects.push(Effect::FetchEndpoints),
            Action::CheckHealth { store } => {
                let address = self.stores.address(store);
                self.effects.extend(address.map(|address| Effect::CheckHealth { store, address }));
            }
            // Gateways of the platform keep no state across restarts.
            Action::Snapshot { .. } => {}
            Action::Log(text) => self.effects.push(Effect::Log(text)),
            Action::Fatal(text) => self.effects.push(Effect::Fatal(text)),
        }
    }

    fn add_attempt(&mut self, op: OpId, store: StoreId, timeout: Duration) {
        let Some(pending) = self.pending.get_mut(op) else { return };
        let Some(address) = self.stores.address(store) else { return };
        let deadline = self.now + timeout;
        let attempt = AttemptId { op, attempt: pending.add_attempt(store, self.now, deadline) };
        self.effects.push(Effect::StartAttempt { attempt, store, address, deadline });
    }
}

/// Encodes the request of an attempt for its store.
///
/// Hazard: without the idempotency key, stores would execute a retry a second time (rule 2), and would not
/// receive what the client sent.
fn encode_attempt(request: &ClientRequest, host: &str, time_left: Duration) -> EncodedMessage {
    let time_left = time_left.as_millis().to_string();
    let mut headers =
        vec![(protocol::REQUEST_ID, request.id.as_bytes()), (protocol::TIME_LEFT, time_left.as_bytes())];
    let idempotency_key = request.idempotency_key.as_ref();
    headers.extend(idempotency_key.map(|key| (protocol::IDEMPOTENCY_KEY, &key[..])));
    client::encode_request(request.method, &request.target, host, &headers, request.body.clone())
}

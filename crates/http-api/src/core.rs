//! The core: one module, one record an op, one a store.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{
    Action, AttemptResult, Endpoint, EndpointListUpdate, Event, Op, OpId, Outcome, Report, Settings, StoreId,
    StoreState, VolumeId,
};
use umbertray::scheduler::Scheduler;
use umbertray_http::Headers;
use umbertray_http::{client, server};
use umbertray_lifecycle::attempt::{self, AttemptStart, Idempotency, RequestStatus, StoreStatus};
use umbertray_lifecycle::reason::{DenialReason, RetryReason};

use crate::boot_timestamp::{BootTimestamp, StampClock};
use crate::config::{Config, duration_setting};
use crate::endpoint_list::{DiscoveredEndpoint, EndpointList};
use crate::fields;
use crate::request::{ClientRequest, Names, RequestError};
use crate::stable_positions;

/// Who waits for an answer: one request of one connection, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// One dispatch of an op: how many of it went before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    pub op: OpId,
    pub attempt: u32,
}

/// What became of a dispatch or probe.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// A whole answer.
    Response(client::Response),
    /// Not all of the request was written: it never ran.
    NeverWritten,
    /// Written whole, then the connection broke, ended, or carried what cannot be read: it may have run.
    Broken,
    /// Written whole, and nothing came in its time: it may have run, or may yet.
    TimedOut,
    /// Called off after it was written whole.
    Cancelled,
    /// Called off by this gateway before it was written whole: it never ran, and that tells nothing of the store.
    Withheld,
}

impl std::fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AttemptOutcome::Response(client::Response { head, body }) => {
                write!(f, "answered {} with {} bytes", head.status, body.len())
            }
            AttemptOutcome::NeverWritten => write!(f, "never written"),
            AttemptOutcome::Broken => write!(f, "broken"),
            AttemptOutcome::TimedOut => write!(f, "timed out"),
            AttemptOutcome::Cancelled => write!(f, "cancelled"),
            AttemptOutcome::Withheld => write!(f, "withheld"),
        }
    }
}

/// What happened. Times are when it happened, as spans since 1970.
#[derive(Debug)]
pub enum Input {
    /// An op whose request's first byte came at that time.
    Request {
        client: ClientId,
        ask: ClientRequest,
        begun: Duration,
    },
    /// Nobody waits for the answer any more.
    ClientDisconnected(ClientId),
    AttemptFinished {
        call: AttemptId,
        returned: AttemptOutcome,
        at: Duration,
    },
    HealthChecked {
        store: StoreId,
        returned: AttemptOutcome,
    },
    EndpointList(EndpointList),
    /// A call for the list failed, or the watch broke.
    EndpointListFailed,
    /// The settings from now on.
    SettingsChanged(Settings),
    /// This gateway ends: each op is to have its final answer by then.
    ShuttingDown(Duration),
    /// Time has passed up to what [`Core::next_deadline`] told.
    TimerExpired,
}

/// The final answer to an op.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    Succeeded { kind: Option<Bytes>, body: Bytes },
    Rejected { retry_after: Duration },
    Failed,
}

impl std::fmt::Display for FinalResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FinalResponse::Succeeded { body, .. } => write!(f, "acked with {} bytes", body.len()),
            FinalResponse::Rejected { retry_after } => write!(f, "throttled for {retry_after:?}"),
            FinalResponse::Failed => write!(f, "aborted"),
        }
    }
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    Respond {
        client: ClientId,
        reply: FinalResponse,
    },
    /// To be sent to the store now; [`Core::start_attempt`] gives the bytes once a connection stands.
    StartAttempt {
        call: AttemptId,
        store: StoreId,
        address: SocketAddr,
        until: Duration,
    },
    Cancel {
        call: AttemptId,
    },
    /// To be called off, unless it has been written whole.
    CancelUnlessWritten {
        call: AttemptId,
    },
    CheckHealth {
        store: StoreId,
        address: SocketAddr,
    },
    /// No store that is of use listens there any more: connections to it can go.
    CloseIdleConnections {
        address: SocketAddr,
    },
    WatchEndpoints,
    FetchEndpoints,
    Log(String),
    /// The module cannot run.
    Fatal(String),
}

struct Door {
    client: ClientId,
    ask: ClientRequest,
    /// Dispatches without an outcome: their number, store, when they were sent and until when they may take.
    out: Vec<Out>,
    sent: u32,
    /// When the first dispatch that may have run began.
    ran_at: Option<Duration>,
    /// How the attempt that came back last ended.
    previous: Option<RetryReason>,
    ended: bool,
}

struct Out {
    dispatch: u32,
    store: StoreId,
    at: Duration,
    until: Duration,
    /// When its bytes were given out.
    begun_at: Option<Duration>,
}

struct Store {
    uid: String,
    /// Its start as discovery stamps it, and as the module knows it: the same for as long as the stamp is.
    start: Option<(BootTimestamp, Duration)>,
    address: SocketAddr,
    state: StoreState,
    /// When this gateway was told that it drains or is gone.
    left_at: Option<Duration>,
}

impl Store {
    fn status(&self, drain_grace: Duration) -> StoreStatus {
        StoreStatus { is_gone: self.state == StoreState::Gone, draining_since: self.left_at, drain_grace }
    }
}

/// Hosts one module behind the platform's protocol.
pub struct Core {
    module: Scheduler,
    now: Duration,
    names: Names,
    settings: Settings,
    /// By the numbers that the module knows them by: a name keeps its own, whatever the settings name later.
    zones: Vec<String>,
    /// Of stores that drain, by the settings.
    grace: Duration,
    fields: Vec<String>,
    ops: HashMap<OpId, Door>,
    clients: HashMap<ClientId, OpId>,
    /// Ids of ops that wait for their final answer.
    open: BTreeSet<Box<str>>,
    next_op: u32,
    stores: HashMap<StoreId, Store>,
    store_ids: HashMap<String, StoreId>,
    next_store: u32,
    volume_ids: HashMap<u64, VolumeId>,
    next_volume: u32,
    listed: bool,
    /// The watch broke, or none has told a thing yet: when what it tells next was told is not known.
    unheard: bool,
    stamps: StampClock,
    timers: BTreeSet<(Duration, u64)>,
    events: Vec<Event>,
    deeds: Vec<Effect>,
}

fn words_of(list: Option<&String>) -> Vec<String> {
    let words = list.map_or("", String::as_str).split(',');
    words.filter(|word| !word.is_empty()).map(String::from).collect()
}

/// What requests may name by these settings, if the module can act on them: a module that is asked once and dropped says.
fn names(settings: &Settings) -> Result<Names, String> {
    let names = Names::of(settings).map_err(|name| format!("{name} is missing or unreadable"))?;
    let start = Event::Start { seed: 0, settings: settings.clone() };
    let said = Scheduler::default().handle(Duration::ZERO, vec![start]);
    let refused = said.into_iter().find_map(|action| match action {
        Action::Fatal(text) => Some(text),
        _ => None,
    });
    refused.map_or(Ok(names), Err)
}

/// What the settings say of running an op type twice. Stores remember the mark of one for a span, and tell its end apart
/// by a tick of the settings.
fn repeats(settings: &Settings, op_type: usize) -> Idempotency {
    match settings.get(&format!("op_types.{op_type}.repeats")).map(String::as_str) {
        Some("replayable") => Idempotency::Idempotent,
        Some("deduplicated") => {
            let remembered =
                duration_setting(settings, &format!("op_types.{op_type}.dedup_span")).unwrap_or_default();
            Idempotency::DeduplicatedFor(
                remembered.saturating_sub(duration_setting(settings, "tick").unwrap_or_default()),
            )
        }
        _ => Idempotency::NotIdempotent,
    }
}

const DRAIN_GRACE: &str = "rules.drain_grace";

/// How long a store may be sent to after this gateway was notified that it drains, by the settings.
fn drain_grace(settings: &Settings) -> Duration {
    duration_setting(settings, DRAIN_GRACE).unwrap_or_default()
}

/// The settings as the module decides by them: a grace that it may use whole. Hazard: what it decides on beyond that is
/// denied at the first byte, again and again.
fn for_module(settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    if let Some(grace) = duration_setting(&settings, DRAIN_GRACE) {
        let usable = attempt::usable_drain_grace(grace).as_secs_f64().to_string();
        settings.insert(DRAIN_GRACE.into(), usable);
    }
    settings
}

impl Core {
    /// A core at its start; `now` is a span since 1970, as the list tells starts.
    pub fn start(config: &Config, now: Duration) -> Result<Core, String> {
        let settings = &config.settings;
        let names = names(settings).map_err(|why| format!("settings: {why}"))?;
        let mut core = Core {
            module: Scheduler::default(),
            now,
            names,
            settings: settings.clone(),
            zones: words_of(settings.get("failure_domains")),
            grace: drain_grace(settings),
            fields: words_of(settings.get("telemetry.fields")),
            ops: HashMap::new(),
            clients: HashMap::new(),
            open: BTreeSet::new(),
            next_op: 0,
            stores: HashMap::new(),
            store_ids: HashMap::new(),
            next_store: 0,
            volume_ids: HashMap::new(),
            next_volume: 0,
            listed: false,
            unheard: true,
            stamps: StampClock::default(),
            timers: BTreeSet::new(),
            events: vec![Event::Start { seed: config.seed, settings: for_module(settings) }],
            deeds: Vec::new(),
        };
        let cached = core.listings(&config.known);
        core.listed = config.known.stores.iter().any(|entry| entry.state == StoreState::Ready);
        core.events.push(Event::EndpointList(EndpointListUpdate::Cached(cached)));
        Ok(core)
    }

    /// Reads a request as an op; its id must not be that of an open one.
    pub fn check(&self, request: &server::Request) -> Result<ClientRequest, RequestError> {
        let ask = self.names.ask(request)?;
        if self.open.contains(&ask.id) {
            return Err(RequestError {
                status: 409,
                message: format!("{}: an open request has this id", fields::REQUEST_ID),
            });
        }
        Ok(ask)
    }

    /// The module knows stores to decide on.
    pub fn endpoints_known(&self) -> bool {
        self.listed
    }

    /// The id that its client gave the op, for as long as the op is known here.
    pub fn request_id(&self, call: AttemptId) -> Option<&str> {
        self.ops.get(&call.op).map(|door| &*door.ask.id)
    }

    /// Ops without their final answer.
    pub fn open_requests(&self) -> usize {
        self.clients.len()
    }

    /// When to come back with [`Input::TimerExpired`] at the latest.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes all that happened up to now, at one moment.
    pub fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Effect> {
        self.now = now.max(self.now);
        inputs.into_iter().for_each(|input| self.take(input));
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
            self.timers.remove(&(at, token));
            self.events.push(Event::Timer { token });
        }
        let events = std::mem::take(&mut self.events);
        if !events.is_empty() {
            let actions = self.module.handle(self.now, events);
            actions.into_iter().for_each(|action| self.act(action));
        }
        std::mem::take(&mut self.deeds)
    }

    /// Who waits for the answer to this op.
    pub fn client(&self, call: AttemptId) -> Option<ClientId> {
        self.ops.get(&call.op).filter(|door| !door.ended).map(|door| door.client)
    }

    /// The bytes of an attempt, once a connection for it stands; or why it must not begin any more ([`attempt`]).
    pub fn start_attempt(&mut self, call: AttemptId, now: Duration) -> Result<Bytes, DenialReason> {
        let door = self.ops.get_mut(&call.op).ok_or(DenialReason::RequestEnded)?;
        let out = door.out.iter_mut().find(|out| out.dispatch == call.attempt);
        let out = out.ok_or(DenialReason::RequestEnded)?;
        let store = self.stores.get(&out.store).ok_or(DenialReason::StoreGone)?;
        attempt::may_begin(&AttemptStart {
            now,
            deadline: out.until,
            request: if door.ended { RequestStatus::Ended } else { RequestStatus::Open },
            store: store.status(self.grace),
            idempotency: repeats(&self.settings, door.ask.op_type),
            may_have_run_since: door.ran_at,
        })?;
        out.begun_at = Some(now);
        let left = (out.until - now).as_millis().to_string();
        let (host, ask) = (store.address.to_string(), &door.ask);
        let mut told = vec![(fields::REQUEST_ID, ask.id.as_bytes()), (fields::TIME_LEFT, left.as_bytes())];
        // Danger: without its mark a repeat is a second effect (rule 2), and to the store not what its client sent.
        told.extend(ask.idempotency_key.as_ref().map(|mark| (fields::IDEMPOTENCY_KEY, &mark[..])));
        Ok(client::request(ask.method, &ask.target, &host, &told, &ask.body))
    }

    /// Why this attempt is not the first of its request; nothing for the first.
    pub fn retry_reason(&self, call: AttemptId) -> Option<RetryReason> {
        let door = self.ops.get(&call.op).filter(|_| call.attempt > 0)?;
        let another_out = door.out.iter().any(|out| out.dispatch != call.attempt);
        if another_out { Some(RetryReason::Hedged) } else { door.previous }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request { client, ask, begun } => self.asked(client, ask, begun),
            Input::ClientDisconnected(client) => {
                if let Some(op) = self.clients.get(&client).copied() {
                    self.events.push(Event::ClientDisconnected { op });
                    self.ended(op);
                }
            }
            Input::AttemptFinished { call, returned, at } => self.returned(call, returned, at),
            Input::HealthChecked { store, returned } => {
                let (outcome, report) = match &returned {
                    AttemptOutcome::Response(answer) if answer.head.status == 200 => {
                        (Outcome::Succeeded, self.probe_report(answer))
                    }
                    other => (outcome(other), Report::new()),
                };
                self.events.push(Event::HealthChecked { store, outcome, report });
            }
            Input::EndpointList(list) => {
                let listings = self.listings(&list);
                self.unheard = false;
                self.listed |= !list.stores.is_empty();
                let news = if list.is_whole {
                    EndpointListUpdate::Whole(listings)
                } else {
                    EndpointListUpdate::Changes(listings)
                };
                self.events.push(Event::EndpointList(news));
            }
            Input::EndpointListFailed => {
                self.unheard = true;
                self.events.push(Event::EndpointList(EndpointListUpdate::Failed));
            }
            Input::SettingsChanged(settings) => {
                if let Err(why) = self.reconfigure(settings) {
                    self.deeds.push(Effect::Log(format!("settings not taken: {why}")));
                }
            }
            Input::ShuttingDown(at) => self.events.push(Event::ShuttingDown { at }),
            Input::TimerExpired => {}
        }
    }

    /// Puts new settings in force, from the next turn on; an error, and no change, where the module cannot act on them.
    /// What is open goes on under its numbers.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), String> {
        // Danger: only what has been read once is sorted, or a count of nothing would be walked through.
        let in_places = |_| {
            let placed = stable_positions::in_places(&self.settings, &settings);
            names(&placed).map(|names| (names, placed))
        };
        let (names, settings) = names(&settings).and_then(in_places)?;
        self.names = names;
        self.settings = settings.clone();
        self.grace = drain_grace(&settings);
        self.fields = words_of(settings.get("telemetry.fields"));
        self.events.push(Event::SettingsChanged { settings: for_module(&settings) });
        Ok(())
    }

    fn asked(&mut self, client: ClientId, ask: ClientRequest, begun: Duration) {
        let id = OpId(self.next_op);
        self.next_op = self.next_op.wrapping_add(1);
        let next_volume = VolumeId(self.next_volume);
        let volume = *self.volume_ids.entry(ask.volume).or_insert(next_volume);
        if volume == next_volume {
            self.next_volume += 1;
        }
        self.events.push(Event::OpArrived(Op {
            id,
            units: ask.units,
            volume,
            volume_name: ask.volume,
            key: (ask.key != 0).then_some(ask.key),
            shard: ask.shard,
            time_left: ask.time_left.saturating_sub(self.now.saturating_sub(begun)),
            plan: ask.plan,
            op_type: ask.op_type,
            gateways: ask.gateways,
        }));
        self.open.insert(ask.id.clone());
        self.clients.insert(client, id);
        self.ops.insert(
            id,
            Door { client, ask, out: Vec::new(), sent: 0, ran_at: None, previous: None, ended: false },
        );
    }

    /// The op has its final answer, or nobody waits for one.
    fn ended(&mut self, op: OpId) {
        let Some(door) = self.ops.get_mut(&op) else { return };
        if !std::mem::replace(&mut door.ended, true) {
            self.open.remove(&door.ask.id);
            self.clients.remove(&door.client);
        }
        let unwritten = door.out.iter().map(|out| AttemptId { op, attempt: out.dispatch });
        self.deeds.extend(unwritten.map(|call| Effect::CancelUnlessWritten { call }));
        if door.out.is_empty() {
            self.ops.remove(&op);
        }
    }

    fn answer(&mut self, op: OpId, reply: FinalResponse) {
        if let Some(door) = self.ops.get(&op).filter(|door| !door.ended) {
            self.deeds.push(Effect::Respond { client: door.client, reply });
            self.ended(op);
        }
    }

    fn returned(&mut self, call: AttemptId, returned: AttemptOutcome, at: Duration) {
        let Some(door) = self.ops.get_mut(&call.op) else { return };
        let Some(place) = door.out.iter().position(|out| out.dispatch == call.attempt) else { return };
        let out = door.out.swap_remove(place);
        if !matches!(outcome(&returned), Outcome::ConnectFailed | Outcome::Rejected | Outcome::NotSent) {
            door.ran_at = door.ran_at.or(out.begun_at);
        }
        door.previous = retry_reason(&returned);
        let was_ended = door.ended;
        let mut answer = AttemptResult {
            op: call.op,
            attempt: call.attempt,
            store: out.store,
            outcome: outcome(&returned),
            latency: at.saturating_sub(out.at),
            op_ended: was_ended,
            plan_rate_used: None,
            units_elsewhere: 0.0,
            report: Report::new(),
        };
        if let AttemptOutcome::Response(from) = returned {
            let headers = &from.head.headers;
            answer.plan_rate_used = number(headers, fields::PLAN_RATE_USED).map(|percent| percent / 100.0);
            answer.units_elsewhere = number(headers, fields::UNITS_ELSEWHERE).unwrap_or_default();
            answer.report = self.report(headers.one(fields::LOAD_REPORT).ok().flatten().unwrap_or_default());
            if answer.outcome == Outcome::Succeeded {
                let kind = headers.one("Content-Type").ok().flatten().map(Bytes::copy_from_slice);
                self.answer(call.op, FinalResponse::Succeeded { kind, body: from.body });
                answer.op_ended = true;
            }
        }
        self.events.push(Event::AttemptFinished(answer));
        if was_ended {
            self.ended(call.op);
        }
    }

    /// A load report; fields that settings do not name or that cannot be read are passed over.
    fn report(&self, text: &[u8]) -> Report {
        let parts = std::str::from_utf8(text).unwrap_or_default().split(',');
        let pairs = parts.filter_map(|part| part.trim().split_once('='));
        let read = |(name, value): (&str, &str)| {
            let value = value.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)?;
            self.fields.iter().any(|own| own == name).then(|| (name.to_string(), value))
        };
        pairs.filter_map(read).collect()
    }

    fn probe_report(&self, answer: &client::Response) -> Report {
        let told = answer.head.headers.one(fields::LOAD_REPORT).ok().flatten();
        self.report(told.unwrap_or(&answer.body))
    }

    fn listings(&mut self, list: &EndpointList) -> Vec<Endpoint> {
        let told = self.told_at();
        let newest = list.stores.iter().filter_map(|entry| entry.started).max();
        _ = newest.map(|stamp| self.stamps.see(stamp, self.now));
        if list.is_whole {
            let named: HashSet<&str> = list.stores.iter().map(|entry| &*entry.uid).collect();
            for store in self.stores.values_mut().filter(|store| !named.contains(&*store.uid)) {
                if store.state != StoreState::Gone {
                    self.deeds.push(Effect::CloseIdleConnections { address: store.address });
                }
                (store.state, store.left_at) = (StoreState::Gone, store.left_at.or(Some(told)));
            }
        }
        self.deeds.extend(list.unknown.iter().cloned().map(Effect::Log));
        list.stores.iter().map(|entry| self.listing(entry)).collect()
    }

    /// When a store started, on the module's clock, as far as it is certain.
    fn started(&self, store: StoreId, stamp: BootTimestamp) -> Duration {
        let known = self.stores.get(&store).and_then(|known| known.start);
        let known = known.filter(|(before, _)| *before == stamp).map(|(_, at)| at);
        known.unwrap_or_else(|| self.now.saturating_sub(self.stamps.age(stamp, self.now)))
    }

    /// Rule 3. Danger: what was missed counts as told although it did not come, also what an earlier process missed. A drain
    /// that is heard of only after a silence may have had its grace by then, and a second one would be sent past it.
    fn told_at(&self) -> Duration {
        if self.unheard { self.now.saturating_sub(self.grace) } else { self.now }
    }

    fn listing(&mut self, entry: &DiscoveredEndpoint) -> Endpoint {
        let next = StoreId(self.next_store);
        let store = *self.store_ids.entry(entry.uid.clone()).or_insert(next);
        if store == next {
            self.next_store += 1;
        }
        let (uid, address, state) = (entry.uid.clone(), entry.address, entry.state);
        let left_at = self.stores.get(&store).and_then(|known| known.left_at).or(Some(self.told_at()));
        let left_at = left_at.filter(|_| state != StoreState::Ready);
        // The module counts a grace from when it hears: where there is none left, the store is gone to it.
        let over = left_at.is_some_and(|at| at + attempt::usable_drain_grace(self.grace) <= self.now);
        let to_module = if over { StoreState::Gone } else { state };
        let start = entry.started.map(|stamp| (stamp, self.started(store, stamp)));
        let before = self.stores.insert(store, Store { uid, start, address, state, left_at });
        let left = before.map(|before| before.address).filter(|before| *before != address);
        let left = left.or((state == StoreState::Gone).then_some(address));
        self.deeds.extend(left.map(|address| Effect::CloseIdleConnections { address }));
        // Danger: taken for one zone, two that settings do not name would get an op twice.
        let zone = self.zones.iter().position(|zone| *zone == entry.zone).unwrap_or_else(|| {
            self.zones.push(entry.zone.clone());
            self.zones.len() - 1
        });
        Endpoint {
            store,
            shard: entry.shard,
            zone: zone as u32,
            started_at: start.map(|(_, at)| at),
            state: to_module,
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { op, store, timeout } => {
                let (at, until) = (self.now, self.now + timeout);
                let Some((door, address)) =
                    self.ops.get_mut(&op).zip(self.stores.get(&store).map(|store| store.address))
                else {
                    return;
                };
                let call = AttemptId { op, attempt: door.sent };
                door.out.push(Out { dispatch: door.sent, store, at, until, begun_at: None });
                door.sent += 1;
                self.deeds.push(Effect::StartAttempt { call, store, address, until });
            }
            Action::Reject { op, retry_after } => self.answer(op, FinalResponse::Rejected { retry_after }),
            Action::Fail { op } => self.answer(op, FinalResponse::Failed),
            Action::Cancel { op, attempt: dispatch } => {
                self.deeds.push(Effect::Cancel { call: AttemptId { op, attempt: dispatch } })
            }
            Action::SetTimer { token, at } => _ = self.timers.insert((at, token)),
            Action::WatchEndpoints => self.deeds.push(Effect::WatchEndpoints),
            Action::FetchEndpoints => self.deeds.push(Effect::FetchEndpoints),
            Action::CheckHealth { store } => {
                if let Some(address) = self.stores.get(&store).map(|store| store.address) {
                    self.deeds.push(Effect::CheckHealth { store, address });
                }
            }
            // Nothing here survives the process.
            Action::Snapshot { .. } => {}
            Action::Log(text) => self.deeds.push(Effect::Log(text)),
            Action::Fatal(text) => self.deeds.push(Effect::Fatal(text)),
        }
    }
}

/// A figure that may be missing; what cannot be read is taken as missing.
fn number(headers: &Headers, name: &str) -> Option<f64> {
    let text = std::str::from_utf8(headers.one(name).ok().flatten()?).ok()?;
    text.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)
}

/// How an attempt ended, as the reason of the next one; nothing where it was served.
fn retry_reason(returned: &AttemptOutcome) -> Option<RetryReason> {
    match returned {
        AttemptOutcome::Response(_) => match outcome(returned) {
            Outcome::Succeeded => None,
            Outcome::Rejected => Some(RetryReason::Rejected),
            _ => Some(RetryReason::StoreError),
        },
        AttemptOutcome::NeverWritten => Some(RetryReason::NotSent),
        AttemptOutcome::Broken => Some(RetryReason::ConnectionLost),
        AttemptOutcome::TimedOut => Some(RetryReason::TimedOut),
        AttemptOutcome::Cancelled => Some(RetryReason::Cancelled),
        AttemptOutcome::Withheld => Some(RetryReason::Denied),
    }
}

fn outcome(returned: &AttemptOutcome) -> Outcome {
    match returned {
        AttemptOutcome::Response(answer) => {
            let unrun = answer.head.headers.one(fields::NOT_EXECUTED);
            let unrun = unrun.is_ok_and(|value| value.is_some_and(|value| value.trim_ascii() == b"1"));
            match answer.head.status {
                200 => Outcome::Succeeded,
                503 | 504 if unrun => Outcome::Rejected,
                _ => Outcome::Failed,
            }
        }
        AttemptOutcome::NeverWritten => Outcome::ConnectFailed,
        AttemptOutcome::Broken => Outcome::Reset,
        AttemptOutcome::TimedOut => Outcome::TimedOut,
        AttemptOutcome::Cancelled => Outcome::Cancelled,
        AttemptOutcome::Withheld => Outcome::NotSent,
    }
}

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
use umbertray_lifecycle::attempt::{self, AttemptStart, Repeats, RequestStatus, StoreStatus};
use umbertray_lifecycle::reason::{DenialReason, RetryReason};

use crate::ask::{Ask, Names, Refused};
use crate::config::{Config, span};
use crate::list::{Entry, List};
use crate::places;
use crate::starts::{BootTimestamp, StampClock};
use crate::words;

/// Who waits for an answer: one request of one connection, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// One dispatch of an op: how many of it went before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call {
    pub op: OpId,
    pub dispatch: u32,
}

/// What became of a dispatch or probe.
#[derive(Debug)]
pub enum Returned {
    /// A whole answer.
    Answer(client::Answer),
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

impl std::fmt::Display for Returned {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Returned::Answer(client::Answer { head, body }) => {
                write!(f, "answered {} with {} bytes", head.status, body.len())
            }
            Returned::NeverWritten => write!(f, "never written"),
            Returned::Broken => write!(f, "broken"),
            Returned::TimedOut => write!(f, "timed out"),
            Returned::Cancelled => write!(f, "cancelled"),
            Returned::Withheld => write!(f, "withheld"),
        }
    }
}

/// What happened. Times are when it happened, as spans since 1970.
#[derive(Debug)]
pub enum Input {
    /// An op whose request's first byte came at that time.
    Ask {
        client: ClientId,
        ask: Ask,
        begun: Duration,
    },
    /// Nobody waits for the answer any more.
    Left(ClientId),
    Returned {
        call: Call,
        returned: Returned,
        at: Duration,
    },
    Probed {
        store: StoreId,
        returned: Returned,
    },
    List(List),
    /// A call for the list failed, or the watch broke.
    ListFailed,
    /// The settings from now on.
    Changed(Settings),
    /// This gateway ends: each op is to have its final answer by then.
    Ends(Duration),
    /// Time has passed up to what [`Core::wake`] told.
    Woken,
}

/// The final answer to an op.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Acked { kind: Option<Bytes>, body: Bytes },
    Throttled { retry_after: Duration },
    Aborted,
}

impl std::fmt::Display for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reply::Acked { body, .. } => write!(f, "acked with {} bytes", body.len()),
            Reply::Throttled { retry_after } => write!(f, "throttled for {retry_after:?}"),
            Reply::Aborted => write!(f, "aborted"),
        }
    }
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Deed {
    Answer {
        client: ClientId,
        reply: Reply,
    },
    /// To be sent to the store now; [`Core::begin`] gives the bytes once a connection stands.
    Send {
        call: Call,
        store: StoreId,
        address: SocketAddr,
        until: Duration,
    },
    Cancel {
        call: Call,
    },
    /// To be called off, unless it has been written whole.
    Withhold {
        call: Call,
    },
    Probe {
        store: StoreId,
        address: SocketAddr,
    },
    /// No store that is of use listens there any more: connections to it can go.
    Drop {
        address: SocketAddr,
    },
    Subscribe,
    FetchList,
    Log(String),
    /// The module cannot run.
    Fatal(String),
}

struct Door {
    client: ClientId,
    ask: Ask,
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
        StoreStatus { gone: self.state == StoreState::Gone, drains_since: self.left_at, drain_grace }
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
    deeds: Vec<Deed>,
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
fn repeats(settings: &Settings, op_type: usize) -> Repeats {
    match settings.get(&format!("op_types.{op_type}.repeats")).map(String::as_str) {
        Some("replayable") => Repeats::Always,
        Some("deduplicated") => {
            let remembered = span(settings, &format!("op_types.{op_type}.dedup_span")).unwrap_or_default();
            Repeats::Within(remembered.saturating_sub(span(settings, "tick").unwrap_or_default()))
        }
        _ => Repeats::Never,
    }
}

const DRAIN_GRACE: &str = "rules.drain_grace";

/// How long a store may be sent to after this gateway was notified that it drains, by the settings.
fn drain_grace(settings: &Settings) -> Duration {
    span(settings, DRAIN_GRACE).unwrap_or_default()
}

/// The settings as the module decides by them: a grace that it may use whole. Hazard: what it decides on beyond that is
/// denied at the first byte, again and again.
fn for_module(settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    if let Some(grace) = span(&settings, DRAIN_GRACE) {
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
    pub fn check(&self, request: &server::Request) -> Result<Ask, Refused> {
        let ask = self.names.ask(request)?;
        if self.open.contains(&ask.id) {
            return Err(Refused { status: 409, what: format!("{}: an open request has this id", words::ID) });
        }
        Ok(ask)
    }

    /// The module knows stores to decide on.
    pub fn ready(&self) -> bool {
        self.listed
    }

    /// The id that its client gave the op, for as long as the op is known here.
    pub fn id(&self, call: Call) -> Option<&str> {
        self.ops.get(&call.op).map(|door| &*door.ask.id)
    }

    /// Ops without their final answer.
    pub fn open(&self) -> usize {
        self.clients.len()
    }

    /// When to come back with [`Input::Woken`] at the latest.
    pub fn wake(&self) -> Option<Duration> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes all that happened up to now, at one moment.
    pub fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Deed> {
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
    pub fn client(&self, call: Call) -> Option<ClientId> {
        self.ops.get(&call.op).filter(|door| !door.ended).map(|door| door.client)
    }

    /// The bytes of an attempt, once a connection for it stands; or why it must not begin any more ([`attempt`]).
    pub fn begin(&mut self, call: Call, now: Duration) -> Result<Bytes, DenialReason> {
        let door = self.ops.get_mut(&call.op).ok_or(DenialReason::RequestEnded)?;
        let out = door.out.iter_mut().find(|out| out.dispatch == call.dispatch);
        let out = out.ok_or(DenialReason::RequestEnded)?;
        let store = self.stores.get(&out.store).ok_or(DenialReason::StoreGone)?;
        attempt::may_begin(&AttemptStart {
            now,
            until: out.until,
            request: if door.ended { RequestStatus::Ended } else { RequestStatus::Open },
            store: store.status(self.grace),
            repeats: repeats(&self.settings, door.ask.op_type),
            may_have_run_since: door.ran_at,
        })?;
        out.begun_at = Some(now);
        let left = (out.until - now).as_millis().to_string();
        let (host, ask) = (store.address.to_string(), &door.ask);
        let mut told = vec![(words::ID, ask.id.as_bytes()), (words::TIME_LEFT, left.as_bytes())];
        // Danger: without its mark a repeat is a second effect (rule 2), and to the store not what its client sent.
        told.extend(ask.mark.as_ref().map(|mark| (words::MARK, &mark[..])));
        Ok(client::request(ask.method, &ask.target, &host, &told, &ask.body))
    }

    /// Why this attempt is not the first of its request; nothing for the first.
    pub fn retry_reason(&self, call: Call) -> Option<RetryReason> {
        let door = self.ops.get(&call.op).filter(|_| call.dispatch > 0)?;
        let another_out = door.out.iter().any(|out| out.dispatch != call.dispatch);
        if another_out { Some(RetryReason::Hedged) } else { door.previous }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Ask { client, ask, begun } => self.asked(client, ask, begun),
            Input::Left(client) => {
                if let Some(op) = self.clients.get(&client).copied() {
                    self.events.push(Event::ClientDisconnected { op });
                    self.ended(op);
                }
            }
            Input::Returned { call, returned, at } => self.returned(call, returned, at),
            Input::Probed { store, returned } => {
                let (outcome, report) = match &returned {
                    Returned::Answer(answer) if answer.head.status == 200 => {
                        (Outcome::Succeeded, self.probe_report(answer))
                    }
                    other => (outcome(other), Report::new()),
                };
                self.events.push(Event::HealthChecked { store, outcome, report });
            }
            Input::List(list) => {
                let listings = self.listings(&list);
                self.unheard = false;
                self.listed |= !list.stores.is_empty();
                let news = if list.whole {
                    EndpointListUpdate::Whole(listings)
                } else {
                    EndpointListUpdate::Changes(listings)
                };
                self.events.push(Event::EndpointList(news));
            }
            Input::ListFailed => {
                self.unheard = true;
                self.events.push(Event::EndpointList(EndpointListUpdate::Failed));
            }
            Input::Changed(settings) => {
                if let Err(why) = self.reconfigure(settings) {
                    self.deeds.push(Deed::Log(format!("settings not taken: {why}")));
                }
            }
            Input::Ends(at) => self.events.push(Event::ShuttingDown { at }),
            Input::Woken => {}
        }
    }

    /// Puts new settings in force, from the next turn on; an error, and no change, where the module cannot act on them.
    /// What is open goes on under its numbers.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), String> {
        // Danger: only what has been read once is sorted, or a count of nothing would be walked through.
        let in_places = |_| {
            let placed = places::in_places(&self.settings, &settings);
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

    fn asked(&mut self, client: ClientId, ask: Ask, begun: Duration) {
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
            time_left: ask.left.saturating_sub(self.now.saturating_sub(begun)),
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
        let unwritten = door.out.iter().map(|out| Call { op, dispatch: out.dispatch });
        self.deeds.extend(unwritten.map(|call| Deed::Withhold { call }));
        if door.out.is_empty() {
            self.ops.remove(&op);
        }
    }

    fn answer(&mut self, op: OpId, reply: Reply) {
        if let Some(door) = self.ops.get(&op).filter(|door| !door.ended) {
            self.deeds.push(Deed::Answer { client: door.client, reply });
            self.ended(op);
        }
    }

    fn returned(&mut self, call: Call, returned: Returned, at: Duration) {
        let Some(door) = self.ops.get_mut(&call.op) else { return };
        let Some(place) = door.out.iter().position(|out| out.dispatch == call.dispatch) else { return };
        let out = door.out.swap_remove(place);
        if !matches!(outcome(&returned), Outcome::ConnectFailed | Outcome::Rejected | Outcome::NotSent) {
            door.ran_at = door.ran_at.or(out.begun_at);
        }
        door.previous = retry_reason(&returned);
        let was_ended = door.ended;
        let mut answer = AttemptResult {
            op: call.op,
            attempt: call.dispatch,
            store: out.store,
            outcome: outcome(&returned),
            latency: at.saturating_sub(out.at),
            op_ended: was_ended,
            plan_rate_used: None,
            units_elsewhere: 0.0,
            report: Report::new(),
        };
        if let Returned::Answer(from) = returned {
            let headers = &from.head.headers;
            answer.plan_rate_used = number(headers, words::USED).map(|percent| percent / 100.0);
            answer.units_elsewhere = number(headers, words::ELSEWHERE).unwrap_or_default();
            answer.report = self.report(headers.one(words::LOAD).ok().flatten().unwrap_or_default());
            if answer.outcome == Outcome::Succeeded {
                let kind = headers.one("Content-Type").ok().flatten().map(Bytes::copy_from_slice);
                self.answer(call.op, Reply::Acked { kind, body: from.body });
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

    fn probe_report(&self, answer: &client::Answer) -> Report {
        let told = answer.head.headers.one(words::LOAD).ok().flatten();
        self.report(told.unwrap_or(&answer.body))
    }

    fn listings(&mut self, list: &List) -> Vec<Endpoint> {
        let told = self.told_at();
        let newest = list.stores.iter().filter_map(|entry| entry.started).max();
        _ = newest.map(|stamp| self.stamps.see(stamp, self.now));
        if list.whole {
            let named: HashSet<&str> = list.stores.iter().map(|entry| &*entry.uid).collect();
            for store in self.stores.values_mut().filter(|store| !named.contains(&*store.uid)) {
                if store.state != StoreState::Gone {
                    self.deeds.push(Deed::Drop { address: store.address });
                }
                (store.state, store.left_at) = (StoreState::Gone, store.left_at.or(Some(told)));
            }
        }
        self.deeds.extend(list.unknown.iter().cloned().map(Deed::Log));
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

    fn listing(&mut self, entry: &Entry) -> Endpoint {
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
        self.deeds.extend(left.map(|address| Deed::Drop { address }));
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
                let call = Call { op, dispatch: door.sent };
                door.out.push(Out { dispatch: door.sent, store, at, until, begun_at: None });
                door.sent += 1;
                self.deeds.push(Deed::Send { call, store, address, until });
            }
            Action::Reject { op, retry_after } => self.answer(op, Reply::Throttled { retry_after }),
            Action::Fail { op } => self.answer(op, Reply::Aborted),
            Action::Cancel { op, attempt: dispatch } => {
                self.deeds.push(Deed::Cancel { call: Call { op, dispatch } })
            }
            Action::SetTimer { token, at } => _ = self.timers.insert((at, token)),
            Action::WatchEndpoints => self.deeds.push(Deed::Subscribe),
            Action::FetchEndpoints => self.deeds.push(Deed::FetchList),
            Action::CheckHealth { store } => {
                if let Some(address) = self.stores.get(&store).map(|store| store.address) {
                    self.deeds.push(Deed::Probe { store, address });
                }
            }
            // Nothing here survives the process.
            Action::Snapshot { .. } => {}
            Action::Log(text) => self.deeds.push(Deed::Log(text)),
            Action::Fatal(text) => self.deeds.push(Deed::Fatal(text)),
        }
    }
}

/// A figure that may be missing; what cannot be read is taken as missing.
fn number(headers: &Headers, name: &str) -> Option<f64> {
    let text = std::str::from_utf8(headers.one(name).ok().flatten()?).ok()?;
    text.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)
}

/// How an attempt ended, as the reason of the next one; nothing where it was served.
fn retry_reason(returned: &Returned) -> Option<RetryReason> {
    match returned {
        Returned::Answer(_) => match outcome(returned) {
            Outcome::Succeeded => None,
            Outcome::Rejected => Some(RetryReason::TurnedAway),
            _ => Some(RetryReason::StoreError),
        },
        Returned::NeverWritten => Some(RetryReason::NotSent),
        Returned::Broken => Some(RetryReason::ConnectionLost),
        Returned::TimedOut => Some(RetryReason::TimedOut),
        Returned::Cancelled => Some(RetryReason::Cancelled),
        Returned::Withheld => Some(RetryReason::Denied),
    }
}

fn outcome(returned: &Returned) -> Outcome {
    match returned {
        Returned::Answer(answer) => {
            let unrun = answer.head.headers.one(words::NEVER_RAN);
            let unrun = unrun.is_ok_and(|value| value.is_some_and(|value| value.trim_ascii() == b"1"));
            match answer.head.status {
                200 => Outcome::Succeeded,
                503 | 504 if unrun => Outcome::Rejected,
                _ => Outcome::Failed,
            }
        }
        Returned::NeverWritten => Outcome::ConnectFailed,
        Returned::Broken => Outcome::Reset,
        Returned::TimedOut => Outcome::TimedOut,
        Returned::Cancelled => Outcome::Cancelled,
        Returned::Withheld => Outcome::NotSent,
    }
}

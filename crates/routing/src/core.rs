//! The hub: one module, one record an open request, one a piece, one a dispatch out.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{
    Action, AttemptResult, Endpoint, EndpointListUpdate, Event, Op, OpId, Outcome, Report, StoreId,
    StoreState, VolumeId,
};
use umbertray::scheduler::Scheduler;
use umbertray_store_protocol::list::{FromList, ListedStore, Location, ToList};
use umbertray_store_protocol::store::{
    self, Attempt, DataRange, FromStore, OperationKind, ResultCode, ToStore,
};
use umbertray_store_protocol::volume_id;

use crate::fence::Reading;
use crate::members::{Link, Members};
use crate::piece::{OpenRequest, Piece, Sent, Stage, Way};
use crate::places::{Asked, Places};
use crate::recall::{self, Recall};
use crate::settings::{Settings, SettingsChange};
use crate::split::cuts;
use crate::stale::goes_on;
use crate::timers::{Timer, Timers};
use crate::verdict::{FinalResult, PieceEnd, whole};
use crate::{Input, Output, ReplyPart, Request, RequestHandler, RequestId, SessionId};

/// A piece that has no place yet is answered so many ticks before its client's time is up: one for this gateway's
/// timer, one for the reply to be written, one for it to be read, one to spare.
const ANSWER_TICKS: u32 = 4;

pub struct Core {
    settings: Arc<Settings>,
    /// Lasting ids of the volumes, by index.
    volumes: Vec<u64>,
    module: Scheduler,
    now: Duration,
    members: Members,
    places: Places,
    requests: BTreeMap<RequestId, OpenRequest>,
    pieces: HashMap<u32, Piece>,
    sent: HashMap<u64, Sent>,
    timers: Timers,
    asking_again: bool,
    /// The map cannot be asked.
    unmapped: bool,
    promised: Duration,
    recall: Option<Recall>,
    next_op: u32,
    next_mark: u64,
    next_number: u64,
    events: Vec<Event>,
    out: Vec<Output>,
}

/// What a store said with an outcome; nothing where the outcome is the gateway's own finding.
#[derive(Default)]
struct Said {
    at: Option<Duration>,
    used: Option<f64>,
    elsewhere: f64,
    report: Report,
}

impl RequestHandler for Core {
    fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        self.now = now.max(self.now);
        inputs.into_iter().for_each(|input| self.take(input));
        while let Some(timer) = self.timers.due(self.now) {
            self.ring(timer);
        }
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let actions = self.module.handle(self.now, events);
            actions.into_iter().for_each(|action| self.act(action));
        }
        if let Some(at) = self.timers.wake() {
            self.out.push(Output::SetTimer(at));
        }
        std::mem::take(&mut self.out)
    }
}

impl Core {
    /// A core at its start; `now` is on a clock whose zero lies far enough back for any store's start.
    pub fn new(settings: Arc<Settings>, seed: u64, now: Duration) -> Core {
        let start = Event::Start { seed, settings: settings.scheduler_settings() };
        Core {
            volumes: settings.volumes.iter().map(|volume| volume_id(&volume.name)).collect(),
            module: Scheduler::default(),
            now,
            members: Members::default(),
            places: Places::new(settings.bounds.locations),
            requests: BTreeMap::new(),
            pieces: HashMap::new(),
            sent: HashMap::new(),
            timers: Timers::default(),
            asking_again: false,
            unmapped: false,
            promised: Duration::ZERO,
            recall: None,
            next_op: 0,
            next_mark: 0,
            next_number: 0,
            events: vec![start],
            out: Vec::new(),
            settings,
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(request) => self.request(request),
            Input::SessionClosed(session) => self.closed(session),
            Input::StoreConnected { store, lasting, shard, clock } => {
                self.linked(store, lasting, shard, clock)
            }
            Input::StoreUnreachable { store } | Input::StoreDisconnected { store } => self.unlinked(store),
            Input::FromStore { store, message, at } => self.store_said(store, message, at),
            Input::FromList(message) => self.list_said(message),
            Input::ListDisconnected => self.list_failed(),
            Input::CoordinatorDisconnected => self.map_lost(),
            Input::SettingsChanged { settings, steps } => self.changed(settings, &steps),
            Input::TakeSnapshot { promise_duration: promised } => {
                self.promised = promised;
                self.events.push(Event::TakeSnapshot { promise_duration: promised });
            }
            Input::Restore { snapshot: saved, age } => {
                let (event, recall) = Recall::new(self.now, saved, age, &self.volumes);
                self.events.push(event);
                self.recall = Some(recall);
            }
            Input::TimerExpired => self.timers.woken(),
        }
    }

    /// What is open goes on as it came: its time, its kind and its volume's place do not change. The module is told of
    /// figures before it is told of volumes that go by them.
    fn changed(&mut self, settings: Arc<Settings>, steps: &[SettingsChange]) {
        let new = settings.volumes.iter().skip(self.volumes.len());
        self.volumes.extend(new.map(|volume| volume_id(&volume.name)));
        if steps.iter().any(|step| matches!(step, SettingsChange::Figures | SettingsChange::Plan(_))) {
            self.events.push(Event::SettingsChanged { settings: settings.scheduler_settings() });
        }
        for step in steps {
            let SettingsChange::Volume(place) = step else { continue };
            let Some(volume) = settings.volumes.get(*place) else { continue };
            let (plan, gateways) = (volume.plan, f64::from(volume.gateways));
            self.events.push(Event::VolumeMoved { volume: VolumeId(*place as u32), plan, gateways });
        }
        self.settings = settings;
    }

    fn ring(&mut self, timer: Timer) {
        match timer {
            Timer::Module(token) => self.events.push(Event::Timer { token }),
            Timer::Dispatch(number) => {
                // What was never sent has surely not run; what was may still run, but not past its fence.
                let unsent = self.sent.get(&number).is_none_or(|sent| sent.way != Way::Out);
                let outcome = if unsent { Outcome::ConnectFailed } else { Outcome::TimedOut };
                self.ended(number, outcome, Said::default());
            }
            Timer::Piece(op) => match self.pieces.get(&op).map(|piece| piece.stage) {
                // The directory has not said where the data lies. Nothing was sent: trying again does no harm.
                Some(Stage::Placing) => {
                    self.settle(op, FinalResult::Rejected { retry_after: Duration::ZERO })
                }
                Some(Stage::Answered(_)) => self.close(op),
                _ => {}
            },
            Timer::AskAgain => {
                self.asking_again = false;
                let questions = self.places.again();
                questions.into_iter().for_each(|question| self.ask(question));
            }
            Timer::Forget => {
                for store in self.members.forget(self.now.saturating_sub(self.memory_of_gone())) {
                    self.out.push(Output::DisconnectStore { store });
                }
            }
        }
    }

    // Requests.

    fn request(&mut self, request: Request) {
        let op_type = self.settings.op_type(request.kind, request.length);
        let ends = request.started_at + self.settings.op_types[op_type].op_timeout;
        let open = OpenRequest {
            volume: request.volume,
            work: request.kind,
            op_type,
            durable: request.durable,
            ends,
            hold: request.hold.clone(),
            open: 0,
            ops: Vec::new(),
            pieces: Vec::new(),
            stretches: BTreeMap::new(),
        };
        self.requests.insert(request.id, open);
        if request.kind == OperationKind::Flush {
            let cut = crate::split::Cut { extent: 0, offset: 0, length: 0 };
            let op = self.piece(request.id, cut, Bytes::new());
            if self.unmapped {
                return self.flush_everywhere(op);
            }
            let question = self.places.shards(self.volumes[request.volume], op);
            return self.place_later(op, question);
        }
        let mut data = request.data;
        for cut in cuts(request.offset, request.length, self.settings.extent_bytes) {
            let part =
                data.split_to(if request.kind == OperationKind::Write { cut.length as usize } else { 0 });
            let op = self.piece(request.id, cut, part);
            let extent = (self.volumes[request.volume], cut.extent);
            match self.places.place(extent) {
                Some(place) => self.arrive(op, Some(place)),
                None => {
                    let question = self.places.look_up(extent, op, 0);
                    self.place_later(op, question);
                }
            }
        }
    }

    fn piece(&mut self, id: RequestId, cut: crate::split::Cut, data: Bytes) -> u32 {
        while self.pieces.contains_key(&self.next_op) {
            self.next_op = self.next_op.wrapping_add(1);
        }
        let op = self.next_op;
        self.next_op = op.wrapping_add(1);
        self.next_mark += 1;
        let request = self.requests.get_mut(&id).expect("a piece's request is open");
        request.open += 1;
        request.ops.push(op);
        let piece = Piece {
            request: id,
            mark: self.next_mark,
            volume: request.volume,
            work: request.work,
            cut,
            op_type: request.op_type,
            place: None,
            data,
            durable: request.durable,
            ends: request.ends,
            stage: Stage::Placing,
            delivered: 0,
            dispatches: Vec::new(),
            unsettled: Vec::new(),
            out: 0,
            ran_at: None,
        };
        self.pieces.insert(op, piece);
        op
    }

    /// When a piece that has no place yet is answered without one.
    fn placed_by(&self, ends: Duration) -> Duration {
        ends.saturating_sub(self.settings.tick * ANSWER_TICKS)
    }

    fn place_later(&mut self, op: u32, question: Option<ToList>) {
        self.timers.set(self.placed_by(self.pieces[&op].ends), Timer::Piece(op));
        question.into_iter().for_each(|question| self.ask(question));
    }

    /// Hands a piece to the module as an op; without a place it is a new object.
    fn arrive(&mut self, op: u32, place: Option<Location>) {
        let Some(piece) = self.pieces.get_mut(&op).filter(|piece| piece.stage == Stage::Placing) else {
            return;
        };
        (piece.stage, piece.place) = (Stage::Deciding, place);
        let repeats = self.settings.op_types[piece.op_type].idempotency;
        let until = goes_on(repeats, piece.ran_at, self.settings.tick).unwrap_or_default();
        let (index, length, extent) = (piece.volume, piece.cut.length, piece.cut.extent);
        let (work, op_type, ends) = (piece.work, piece.op_type, piece.ends);
        self.timers.unset(self.placed_by(ends), Timer::Piece(op));
        let (volume, name) = (&self.settings.volumes[index], self.volumes[index]);
        self.events.push(Event::OpArrived(Op {
            id: OpId(op),
            units: self.settings.units(length),
            volume: VolumeId(index as u32),
            volume_name: name,
            key: (work != OperationKind::Flush).then(|| key(name, extent)),
            shard: place.map(|place| place.shard),
            time_left: ends.min(until).saturating_sub(self.now),
            plan: volume.plan,
            op_type,
            gateways: f64::from(volume.gateways),
        }));
    }

    fn closed(&mut self, session: SessionId) {
        let all = RequestId(session, 0)..=RequestId(session, u64::MAX);
        let ids: Vec<RequestId> = self.requests.range(all).map(|(id, _)| *id).collect();
        for id in ids {
            let Some(request) = self.requests.remove(&id) else { continue };
            for op in request.ops {
                let Some(piece) = self.pieces.get_mut(&op) else { continue };
                if piece.stage == Stage::Deciding {
                    self.events.push(Event::ClientDisconnected { op: OpId(op) });
                }
                piece.data = Bytes::new();
                piece.stage = Stage::Over;
                self.drop_if_over(op);
            }
        }
        let pieces = &self.pieces;
        self.places.give_up(|asked| match asked {
            Asked::Lookup(_, ops, _) => {
                ops.retain(|op| pieces.contains_key(op));
                ops.is_empty()
            }
            Asked::Shards(_, op) => !pieces.contains_key(op),
            // A claim may have won: its answer is worth knowing.
            Asked::Claim(..) => false,
        });
    }

    // Final answers.

    /// A piece has its final answer; it goes out once nothing of the piece can undo what comes after it.
    fn settle(&mut self, op: u32, verdict: FinalResult) {
        let Some(piece) = self.pieces.get_mut(&op) else { return };
        if !matches!(piece.stage, Stage::Placing | Stage::Deciding) {
            return;
        }
        piece.stage = Stage::Answered(verdict);
        // Danger: a write given up while a dispatch of it may still run. Once told, the client writes anew, perhaps
        // through another gateway, and the late one would undo that. Its answer waits until the fence in time has
        // passed, which is before the client's own time is up. An acked write's earlier dispatches were voided
        // by the one that was acked.
        let out = piece.dispatches.iter().filter_map(|number| self.sent.get(number));
        let out = out.filter(|sent| sent.way == Way::Out).map(|sent| sent.ends).max();
        let fenced = piece.may_run_until().max(out).filter(|at| *at > self.now);
        match fenced.filter(|_| piece.work.writes() && verdict != FinalResult::Succeeded) {
            Some(at) => self.timers.set(at, Timer::Piece(op)),
            None => self.close(op),
        }
    }

    fn close(&mut self, op: u32) {
        let Some(piece) = self.pieces.get_mut(&op) else { return };
        let Stage::Answered(verdict) = piece.stage else { return };
        piece.stage = Stage::Over;
        piece.data = Bytes::new();
        let (id, end) = (piece.request, PieceEnd { verdict, may_have_run: piece.ran_at.is_some() });
        self.drop_if_over(op);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.open -= 1;
        request.pieces.push(end);
        if request.open > 0 {
            return;
        }
        let Some(request) = self.requests.remove(&id) else { return };
        let repeats = self.settings.op_types[request.op_type].idempotency;
        let verdict = whole(request.pieces.iter().copied(), repeats);
        if verdict == FinalResult::Succeeded && request.work == OperationKind::Status {
            let stretches = request.stretches.into_values().flatten().collect();
            self.out.push(Output::Reply {
                id,
                part: ReplyPart::DataRanges(stretches),
                hold: request.hold.clone(),
            });
        }
        self.out.push(Output::Reply { id, part: ReplyPart::Final(verdict), hold: request.hold });
    }

    fn drop_if_over(&mut self, op: u32) {
        if self.pieces.get(&op).is_some_and(|piece| piece.stage == Stage::Over && piece.out == 0) {
            self.pieces.remove(&op);
        }
    }

    fn reply(&mut self, id: RequestId, part: ReplyPart) {
        if let Some(request) = self.requests.get(&id) {
            self.out.push(Output::Reply { id, part, hold: request.hold.clone() });
        }
    }

    // The module's actions.

    fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { op, store, timeout } => self.dispatch(op.0, store, timeout),
            Action::Reject { op, retry_after } => self.settle(op.0, FinalResult::Rejected { retry_after }),
            Action::Fail { op } => self.settle(op.0, FinalResult::Failed),
            Action::Cancel { op, attempt: dispatch } => self.cancel(op.0, dispatch),
            Action::SetTimer { token, at } => self.timers.set(at, Timer::Module(token)),
            Action::WatchEndpoints => self.ask(ToList::Watch),
            Action::FetchEndpoints => self.ask(ToList::Fetch),
            Action::Snapshot { stores, volumes } => {
                let entries = self.members.entries(self.now);
                let saved = recall::saved(entries, stores, volumes, &self.volumes, self.promised);
                self.out.push(Output::SaveSnapshot(saved));
            }
            Action::CheckHealth { store } => {
                let message = ToStore::HealthCheck { token: self.now.as_micros() as u64 };
                self.out.push(Output::ToStore { store, message, hold: None });
            }
            Action::Log(text) => self.out.push(Output::Log(text)),
            Action::Fatal(text) => self.out.push(Output::Fatal(text)),
        }
    }

    fn dispatch(&mut self, op: u32, store: StoreId, timeout: Duration) {
        let Some(piece) = self.pieces.get_mut(&op) else { return };
        self.next_number += 1;
        let (number, index) = (self.next_number, piece.dispatches.len() as u32);
        let ends = self.now + timeout;
        piece.dispatches.push(number);
        piece.out += 1;
        self.sent.insert(number, Sent { op, index, store, at: self.now, ends, way: Way::Claiming });
        self.timers.set(ends, Timer::Dispatch(number));
        let new = piece.place.is_none().then_some((self.volumes[piece.volume], piece.cut.extent));
        match new.zip(self.members.get(store).map(|member| member.shard)) {
            Some((extent, shard)) => {
                let question = self.places.claim(extent, shard, number);
                question.into_iter().for_each(|question| self.ask(question));
            }
            None => self.send(number),
        }
    }

    /// Sends a dispatch, or lets it wait for its link.
    fn send(&mut self, number: u64) {
        let Some(sent) = self.sent.get_mut(&number) else { return };
        let (store, op, ends) = (sent.store, sent.op, sent.ends);
        let deciding = |piece: &&mut Piece| piece.stage == Stage::Deciding;
        let member = self.members.get_mut(store).filter(|member| member.state == StoreState::Ready);
        // Danger: it was decided before it waited. A store that drains by now gets nothing new, nor does an op that
        // has had its final answer.
        let (Some(member), Some(piece)) = (member, self.pieces.get_mut(&op).filter(deciding)) else {
            return self.ended(number, Outcome::ConnectFailed, Said::default());
        };
        match &mut member.link {
            Link::Down => {
                sent.way = Way::Linking;
                member.link = Link::Making(vec![number]);
                self.out.push(Output::ConnectStore { store, address: member.address });
            }
            Link::Making(waiting) => {
                sent.way = Way::Linking;
                waiting.push(number);
            }
            Link::Up(reading) => {
                sent.way = Way::Out;
                let message = ToStore::Attempt(Attempt {
                    number,
                    op: piece.mark,
                    volume: self.volumes[piece.volume],
                    extent: piece.cut.extent,
                    epoch: piece.place.map_or(0, |place| place.epoch),
                    kind: piece.work,
                    offset: piece.cut.offset + piece.delivered,
                    length: piece.cut.length - piece.delivered,
                    units: self.settings.units(piece.cut.length),
                    not_after: reading.not_after(ends),
                    supersedes: piece.unsettled.iter().map(|(number, _)| *number).collect(),
                    durable: piece.durable,
                    data: piece.data.clone(),
                });
                let hold = self.requests.get(&piece.request).map(|request| request.hold.clone());
                self.out.push(Output::ToStore { store, message, hold });
            }
        }
    }

    fn cancel(&mut self, op: u32, dispatch: u32) {
        let number = self.pieces.get(&op).and_then(|piece| piece.dispatches.get(dispatch as usize)).copied();
        let Some((number, sent)) = number.and_then(|n| Some((n, self.sent.get(&n)?))) else { return };
        if sent.way == Way::Out {
            let message = ToStore::Cancel { number };
            self.out.push(Output::ToStore { store: sent.store, message, hold: None });
        } else {
            self.ended(number, Outcome::ConnectFailed, Said::default());
        }
    }

    // Stores.

    fn linked(&mut self, store: StoreId, lasting: u64, shard: u32, clock: u64) {
        let Some(member) = self.members.get_mut(store) else {
            return self.out.push(Output::DisconnectStore { store });
        };
        // Another process listens there by now: the list is behind.
        if member.lasting != lasting || member.shard != shard {
            self.out.push(Output::DisconnectStore { store });
            self.out
                .push(Output::Log(format!("store {lasting} of shard {shard} answers at {}", member.address)));
            return self.unlinked(store);
        }
        let link = std::mem::replace(&mut member.link, Link::Up(Reading { clock, at: self.now }));
        if let Link::Making(waiting) = link {
            waiting.into_iter().for_each(|number| self.send(number));
        }
    }

    /// No link stands: what was out may have run, what waited was never sent.
    fn unlinked(&mut self, store: StoreId) {
        if let Some(member) = self.members.get_mut(store) {
            member.link = Link::Down;
        }
        let there = self.sent.iter().filter(|(_, sent)| sent.store == store && sent.way != Way::Claiming);
        let mut lost: Vec<(u64, Way)> = there.map(|(number, sent)| (*number, sent.way)).collect();
        lost.sort_unstable_by_key(|(number, _)| *number);
        for (number, way) in lost {
            let outcome = if way == Way::Out { Outcome::Reset } else { Outcome::ConnectFailed };
            self.ended(number, outcome, Said::default());
        }
    }

    fn store_said(&mut self, store: StoreId, message: FromStore, at: Duration) {
        match message {
            FromStore::Welcome { .. } => {}
            FromStore::Data { number, offset, data } => {
                let length = data.len() as u32;
                self.read_part(store, number, offset, length, |offset| ReplyPart::Data { offset, data });
            }
            FromStore::Hole { number, offset, length } => {
                self.read_part(store, number, offset, length, |offset| ReplyPart::Hole { offset, length });
            }
            FromStore::AttemptResult(answer) => self.answered(store, answer, at),
            // To a coordinator; this gateway gives no orders.
            FromStore::OrderReply { .. } => {}
            // A link's own sign of life: it tells the time.
            FromStore::Healthy { token: 0, clock, .. } => self.read_clock(store, clock),
            FromStore::Healthy { clock, load_report: report, .. } => {
                self.read_clock(store, clock);
                self.events.push(Event::HealthChecked { store, outcome: Outcome::Succeeded, report });
            }
        }
    }

    fn read_clock(&mut self, store: StoreId, clock: u64) {
        if let Some(Link::Up(reading)) = self.members.get_mut(store).map(|member| &mut member.link) {
            *reading = Reading { clock, at: self.now };
        }
    }

    /// Read data goes to the client as it comes; after a store's death the next one is asked for the rest only.
    fn read_part(
        &mut self,
        store: StoreId,
        number: u64,
        offset: u32,
        length: u32,
        part: impl FnOnce(u64) -> ReplyPart,
    ) {
        let Some(sent) = self.sent.get(&number).filter(|sent| sent.store == store) else { return };
        let Some(piece) = self.pieces.get_mut(&sent.op).filter(|piece| piece.stage == Stage::Deciding) else {
            return;
        };
        let left = piece.cut.length - piece.delivered;
        if piece.work != OperationKind::Read || offset != piece.cut.offset + piece.delivered || length > left
        {
            self.out.push(Output::Log(format!("dispatch {number}: data at {offset} that was not asked for")));
            self.out.push(Output::DisconnectStore { store });
            return self.unlinked(store);
        }
        piece.delivered += length;
        let id = piece.request;
        let extent = piece.cut.extent;
        let at = self.start(extent, offset);
        self.reply(id, part(at));
    }

    fn answered(&mut self, store: StoreId, answer: store::AttemptResult, at: Duration) {
        self.read_clock(store, answer.clock);
        if answer.code == Ok(ResultCode::StaleEpoch) {
            return self.stale(store, answer.number, answer.epoch);
        }
        // An answer after the dispatch was given up finds no record and is swallowed.
        let Some(sent) = self.sent.get(&answer.number).filter(|sent| sent.store == store) else { return };
        let Some(piece) = self.pieces.get_mut(&sent.op) else { return };
        let (work, id, place) = (piece.work, piece.request, (piece.cut.extent, piece.cut.offset));
        let whole = match piece.work {
            OperationKind::Read => piece.delivered == piece.cut.length || piece.stage != Stage::Deciding,
            OperationKind::Status => {
                answer.data_ranges.iter().map(|s| u64::from(s.length)).sum::<u64>()
                    == u64::from(piece.cut.length)
            }
            _ => true,
        };
        let outcome = match answer.code {
            Ok(ResultCode::Succeeded) if whole => Outcome::Succeeded,
            Ok(ResultCode::Succeeded | ResultCode::Failed) => Outcome::Failed,
            Ok(ResultCode::Rejected) => Outcome::Rejected,
            Ok(ResultCode::Fenced | ResultCode::StaleEpoch) => Outcome::NotSent,
            Ok(ResultCode::Cancelled) => Outcome::Cancelled,
            Ok(ResultCode::NotHere) => {
                self.places.doubt((self.volumes[piece.volume], piece.cut.extent));
                Outcome::NotSent
            }
            Err(_) => Outcome::Unknown,
        };
        if outcome == Outcome::Succeeded && work == OperationKind::Status {
            self.stretches(id, place, answer.data_ranges);
        }
        let said = Said {
            at: Some(at),
            used: answer.plan_rate_used,
            elsewhere: answer.units_elsewhere,
            report: answer.load_report,
        };
        self.ended(answer.number, outcome, said);
    }

    /// Where a place within an extent lies in its volume, bytes.
    fn start(&self, extent: u64, offset: u32) -> u64 {
        extent * u64::from(self.settings.extent_bytes) + u64::from(offset)
    }

    fn stretches(&mut self, id: RequestId, (extent, offset): (u64, u32), stretches: Vec<DataRange>) {
        let at = self.start(extent, offset);
        if let Some(request) = self.requests.get_mut(&id) {
            request.stretches.insert(at, stretches);
        }
    }

    /// A dispatch has its outcome, which the module is told once and truthfully.
    fn ended(&mut self, number: u64, outcome: Outcome, said: Said) {
        let Some(sent) = self.sent.remove(&number) else { return };
        self.timers.unset(sent.ends, Timer::Dispatch(number));
        let Some(piece) = self.pieces.get_mut(&sent.op) else { return };
        piece.out -= 1;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        piece.ran_at = piece.ran_at.or((!never_ran).then_some(sent.at));
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::Unknown) {
            piece.unsettled.push((number, sent.ends));
        }
        if outcome == Outcome::Succeeded {
            self.settle(sent.op, FinalResult::Succeeded);
        }
        let ended = self.pieces.get(&sent.op).is_none_or(|piece| piece.stage != Stage::Deciding);
        self.events.push(Event::AttemptFinished(AttemptResult {
            op: OpId(sent.op),
            attempt: sent.index,
            store: sent.store,
            outcome,
            latency: said.at.unwrap_or(self.now).saturating_sub(sent.at),
            op_ended: ended,
            plan_rate_used: said.used,
            units_elsewhere: said.elsewhere,
            report: said.report,
        }));
        self.drop_if_over(sent.op);
    }

    /// The range has moved since this gateway's map: what was turned away, and what is held for the same extent, is placed
    /// anew and goes on in what is left of its time. It is no further dispatch, as nothing was dispatched in vain.
    fn stale(&mut self, store: StoreId, number: u64, epoch: u64) {
        let Some(op) = self.sent.get(&number).filter(|sent| sent.store == store).map(|sent| sent.op) else {
            return;
        };
        let Some(piece) = self.pieces.get_mut(&op) else { return };
        let (volume, extent, used) = (piece.volume, piece.cut.extent, piece.place);
        if piece.stage == Stage::Deciding && piece.out == 1 {
            // Told as ended, the module forgets the op without an answer; it comes to it anew once it has a place.
            piece.stage = Stage::Placing;
        }
        self.ended(number, Outcome::NotSent, Said::default());
        let alike = |piece: &Piece| (piece.volume, piece.cut.extent) == (volume, extent) && piece.out == 0;
        let moves = |(other, piece): (&u32, &Piece)| {
            let held = *other == op && piece.stage == Stage::Placing || piece.stage == Stage::Deciding;
            (alike(piece) && held && piece.work != OperationKind::Flush).then_some((piece.mark, *other))
        };
        let mut again: Vec<(u64, u32)> = self.pieces.iter().filter_map(moves).collect();
        again.sort_unstable();
        let place = (self.volumes[volume], extent);
        // What the store says may be no newer than what was used: it is wrong all the same.
        if self.places.place(place).is_none_or(|known| known.epoch < epoch || Some(known) == used) {
            self.places.doubt(place);
        }
        for (_, op) in again {
            self.place_anew(op, place, epoch);
        }
    }

    fn place_anew(&mut self, op: u32, place: (u64, u64), least: u64) {
        let Some(piece) = self.pieces.get_mut(&op) else { return };
        let repeats = self.settings.op_types[piece.op_type].idempotency;
        let until = goes_on(repeats, piece.ran_at, self.settings.tick);
        let held = std::mem::replace(&mut piece.stage, Stage::Placing) == Stage::Deciding;
        // The module counts the dispatches of an op that comes to it anew from the first again.
        piece.dispatches.clear();
        if held {
            self.events.push(Event::ClientDisconnected { op: OpId(op) });
        }
        if until.is_none_or(|until| until <= self.now) {
            return self.settle(op, FinalResult::Failed);
        }
        match self.places.place(place) {
            Some(known) => self.arrive(op, Some(known)),
            None => {
                let question = self.places.look_up(place, op, least);
                self.place_later(op, question);
            }
        }
    }

    // The list and the map.

    /// Danger: a flush that leaves out a shard promises what is not kept. Whoever cannot ask where the volume lies flushes
    /// at all shards of the list.
    fn flush_everywhere(&mut self, op: u32) {
        let shards: Vec<u32> = self.members.shards().into_iter().collect();
        self.flush_at(op, &shards);
    }

    /// What is known goes on being served; new places and moves wait for the coordinator.
    fn map_lost(&mut self) {
        self.unmapped = true;
        let flushes = self.places.flushes();
        self.places.give_up(|asked| matches!(asked, Asked::Shards(..)));
        flushes.into_iter().for_each(|op| self.flush_everywhere(op));
        self.ask_later();
    }

    fn ask(&mut self, question: ToList) {
        self.out.push(Output::ToList(question));
    }

    /// Danger: each question may come back as failed. If each failure asked all anew, questions would multiply until the
    /// directory does nothing else and news of drains is stuck behind them; all together are asked again once.
    fn ask_later(&mut self) {
        if self.places.waits() && !std::mem::replace(&mut self.asking_again, true) {
            self.timers.set(self.now + self.settings.connect_timeout, Timer::AskAgain);
        }
    }

    fn list_said(&mut self, message: FromList) {
        match message {
            FromList::Welcome { .. } | FromList::Move { .. } | FromList::MoveStatus { .. } => {}
            FromList::Full(entries) => self.listed(&entries, true),
            FromList::Changes(entries) => self.listed(&entries, false),
            FromList::Failed => self.list_failed(),
            FromList::Location { token, place } => {
                self.unmapped = false;
                match self.places.answered(token) {
                    Some(Asked::Lookup(extent, ops, _)) => self.looked_up(extent, ops, place),
                    Some(Asked::Claim(extent, wanted, number)) => self.claimed(extent, wanted, number, place),
                    Some(Asked::Shards(..)) | None => {}
                }
            }
            FromList::Shards { token, shards } => {
                self.unmapped = false;
                if let Some(Asked::Shards(_, op)) = self.places.answered(token) {
                    self.flush_at(op, &shards);
                }
            }
        }
    }

    /// Without the list, the one that an earlier run saved must do until it can be had.
    fn list_failed(&mut self) {
        if let Some(entries) = self.recall.as_mut().and_then(|recall| recall.list(self.now)) {
            let news = EndpointListUpdate::Cached(self.named(&entries));
            self.events.push(Event::EndpointList(news));
        }
        self.events.push(Event::EndpointList(EndpointListUpdate::Failed));
        self.ask_later();
    }

    fn listed(&mut self, entries: &[ListedStore], whole: bool) {
        let listings = self.named(entries);
        if whole {
            self.members.unnamed(self.now, &listings);
        }
        self.timers.set(self.now + self.memory_of_gone() + self.settings.tick, Timer::Forget);
        let learned = self.recall.as_mut().and_then(|recall| recall.learned(self.now, entries, &listings));
        let news =
            if whole { EndpointListUpdate::Whole(listings) } else { EndpointListUpdate::Changes(listings) };
        self.events.push(Event::EndpointList(news));
        self.events.extend(learned);
    }

    /// Small ids for the stores that a list names, and links to them.
    fn named(&mut self, entries: &[ListedStore]) -> Vec<Endpoint> {
        let listings: Vec<_> = entries.iter().map(|entry| self.members.listed(self.now, entry)).collect();
        for listing in &listings {
            let member = self.members.get_mut(listing.store).expect("a listed store is known");
            // A link made ahead saves the first op its time.
            if listing.state == StoreState::Ready && matches!(member.link, Link::Down) {
                member.link = Link::Making(Vec::new());
                self.out.push(Output::ConnectStore { store: listing.store, address: member.address });
            }
        }
        listings
    }

    /// What a store gone was sent counts against its next start, and a dispatch to it may still be out.
    fn memory_of_gone(&self) -> Duration {
        let longest = self.settings.op_types.iter().map(|op_type| op_type.op_timeout).max();
        2 * (self.settings.rules.slow_start_duration + self.settings.rules.slow_start_window)
            + longest.unwrap_or_default()
    }

    /// Danger: of those that wait, some were turned away and are older than others that came meanwhile; out of order they
    /// would undo each other.
    fn looked_up(&mut self, extent: (u64, u64), mut ops: Vec<u32>, place: Option<Location>) {
        place.into_iter().for_each(|place| self.places.learn(extent, place));
        ops.sort_by_key(|op| self.pieces.get(op).map(|piece| piece.mark));
        ops.into_iter().for_each(|op| self.placed(op, place));
    }

    /// The map has said where a piece's extent lies, if anywhere.
    fn placed(&mut self, op: u32, place: Option<Location>) {
        let Some(piece) = self.pieces.get(&op).filter(|piece| piece.stage == Stage::Placing) else { return };
        let (id, cut) = (piece.request, piece.cut);
        let offset = self.start(cut.extent, cut.offset);
        match (place, piece.work) {
            // Nothing was ever written there: no store is needed to say so.
            (None, OperationKind::Read) => self.reply(id, ReplyPart::Hole { offset, length: cut.length }),
            (None, OperationKind::Status) => {
                let hole = DataRange { length: cut.length, has_data: false };
                self.stretches(id, (cut.extent, cut.offset), vec![hole]);
            }
            (None, OperationKind::Trim) => {}
            (place, _) => return self.arrive(op, place),
        }
        self.settle(op, FinalResult::Succeeded);
    }

    /// The extent lies where this gateway's first write was to go, or another's claim was first.
    fn claimed(&mut self, extent: (u64, u64), wanted: u32, number: u64, place: Option<Location>) {
        let Some(place) = place else {
            return self.ended(number, Outcome::ConnectFailed, Said::default());
        };
        let shard = place.shard;
        self.places.learn(extent, place);
        let Some(sent) = self.sent.get(&number) else { return };
        let op = sent.op;
        if let Some(piece) = self.pieces.get_mut(&op) {
            piece.place = Some(place);
        }
        self.events.push(Event::OpPlaced { op: OpId(op), shard });
        if shard == wanted {
            self.send(number);
        } else {
            self.ended(number, Outcome::NotSent, Said::default());
        }
    }

    /// A flush is one op at each shard that holds extents of the volume, whoever wrote them.
    fn flush_at(&mut self, op: u32, shards: &[u32]) {
        let Some(id) = self.pieces.get(&op).filter(|p| p.stage == Stage::Placing).map(|p| p.request) else {
            return;
        };
        let Some((first, rest)) = shards.split_first() else {
            return self.settle(op, FinalResult::Succeeded);
        };
        // A flush is about all that a shard acked, whatever has moved.
        let at = |shard: u32| Some(Location { shard, epoch: 0 });
        self.arrive(op, at(*first));
        for shard in rest {
            let cut = self.pieces[&op].cut;
            let other = self.piece(id, cut, Bytes::new());
            self.arrive(other, at(*shard));
        }
    }
}

/// The same at every gateway.
fn key(volume: u64, extent: u64) -> u64 {
    (volume ^ extent).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31) ^ extent
}

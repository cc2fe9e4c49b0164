//! The loop that hosts the core: one task, which alone touches it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use umbertray_routing::{
    BufferGuard, Input, Output, ReplyPart, RequestHandler, RequestId, SessionId, Settings, StoreId,
};
use umbertray_store_protocol::list::ToList;
use umbertray_store_protocol::store::ToStore;

use crate::list::Service;
use crate::snapshot_writer::SnapshotWriter;
use crate::{link, list};
use umbertray_clock::Clock;
use umbertray_snapshot::Stamp;
use umbertray_snapshot::decide::{EVERY, PROMISED};
use umbertray_snapshot::folder::{self, LoadResult};

/// A part of a reply on its way to its session.
pub struct SessionReply {
    pub tag: u64,
    pub part: ReplyPart,
    pub hold: BufferGuard,
}

pub enum LoopEvent {
    Attach(SessionId, mpsc::UnboundedSender<SessionReply>),
    Input(Input),
    /// From the link of this generation to the store; what an earlier one still says is not heard.
    Link(StoreId, u64, Input),
    /// The coordinator has written, or failed to, what it was given.
    Kept,
}

struct LinkEnd {
    generation: u64,
    /// Dropping it ends the link.
    to_link: mpsc::UnboundedSender<(ToStore, Option<BufferGuard>)>,
}

pub struct EventLoop {
    core: Box<dyn RequestHandler>,
    clock: Clock,
    settings: Arc<Settings>,
    /// The longest op timeout that was in force since the start: what is open may have it.
    longest_timeout: Duration,
    run: u64,
    to_hub: mpsc::UnboundedSender<LoopEvent>,
    to_list: mpsc::UnboundedSender<ToList>,
    /// Where the map is another service than the list.
    to_keeper: Option<mpsc::UnboundedSender<ToList>>,
    sessions: HashMap<SessionId, mpsc::UnboundedSender<SessionReply>>,
    links: HashMap<StoreId, LinkEnd>,
    generation: u64,
    wake_at: Duration,
    keeper: Option<SnapshotWriter>,
    /// What an earlier run saved, until the core has it.
    recalled: Option<LoadResult>,
    /// The moment that the next save speaks of.
    saving: Option<Stamp>,
    save_at: Duration,
}

/// So many messages are taken at a time; the module sees them as one moment.
const TURN: usize = 128;

impl EventLoop {
    pub fn new(
        core: Box<dyn RequestHandler>,
        clock: Clock,
        settings: Arc<Settings>,
        (list, keeper): (SocketAddr, Option<SocketAddr>),
        run: u64,
        to_hub: mpsc::UnboundedSender<LoopEvent>,
    ) -> EventLoop {
        let ask = |service, address| {
            let (to_service, from_hub) = mpsc::unbounded_channel();
            let patience = settings.connect_timeout;
            tokio::spawn(list::run(service, address, run, patience, from_hub, to_hub.clone()));
            to_service
        };
        let to_list = ask(Service::List, list);
        let to_keeper = keeper.map(|address| ask(Service::Keeper, address));
        EventLoop {
            core,
            clock,
            longest_timeout: settings.longest_timeout(),
            settings,
            run,
            to_hub,
            to_list,
            to_keeper,
            sessions: HashMap::new(),
            links: HashMap::new(),
            generation: 0,
            wake_at: clock.now(),
            keeper: None,
            recalled: None,
            saving: None,
            save_at: clock.now() + EVERY,
        }
    }

    /// Keeps state with a coordinator, and recalls what it found.
    pub fn keeping(self, keeper: Option<SnapshotWriter>, recalled: Option<LoadResult>) -> EventLoop {
        EventLoop { keeper, recalled, ..self }
    }

    /// Runs until told to stop and all is answered, at most the longest op timeout after that.
    pub async fn run(
        mut self,
        mut from_all: mpsc::UnboundedReceiver<LoopEvent>,
        mut changed: mpsc::Receiver<Input>,
        mut stopping: watch::Receiver<bool>,
    ) -> Result<(), String> {
        let mut messages = Vec::with_capacity(TURN);
        let mut end_at = None;
        let recalled = self
            .recalled
            .take()
            .map(|recalled| Input::Restore { snapshot: recalled.snapshot, age: recalled.age.known() });
        self.turn(recalled.into_iter().collect())?;
        loop {
            let wake_at = tokio::time::Instant::from_std(self.clock.instant(self.wake_at));
            tokio::select! {
                biased;
                _ = stopping.wait_for(|stop| *stop), if end_at.is_none() => {
                    end_at = Some(self.clock.now() + self.longest_timeout);
                    tracing::info!(open = self.core.open_requests(), sessions = self.sessions.len(), "stopping");
                }
                // One part of a change a turn: however long it is, what flows goes on between them.
                Some(change) = changed.recv() => {
                    if let Input::SettingsChanged { settings, .. } = &change {
                        self.longest_timeout = self.longest_timeout.max(settings.longest_timeout());
                    }
                    self.turn(vec![change])?;
                }
                _ = from_all.recv_many(&mut messages, TURN) => {
                    let inputs = messages.drain(..).filter_map(|message| self.heard(message)).collect();
                    self.turn(inputs)?;
                }
                () = tokio::time::sleep_until(wake_at) => self.turn(vec![Input::TimerExpired])?,
            }
            self.save()?;
            let over = |end: Duration| self.sessions.is_empty() || self.clock.now() >= end;
            if end_at.is_some_and(over) {
                self.save_at = Duration::ZERO;
                self.save()?;
                return Ok(());
            }
        }
    }

    /// Asks the core what is to be saved, when it is time to and the coordinator is idle: a slow disk is not waited for. The
    /// sweep wakes this loop often enough.
    fn save(&mut self) -> Result<(), String> {
        let now = self.clock.now();
        if now < self.save_at
            || self.saving.is_some()
            || !self.keeper.as_ref().is_some_and(SnapshotWriter::idle)
        {
            return Ok(());
        }
        // The moment is taken first: what is kept is then never younger than it says.
        self.saving = Some(folder::current_stamp());
        self.save_at = now + EVERY;
        self.turn(vec![Input::TakeSnapshot { promise_duration: PROMISED }])
    }

    fn heard(&mut self, message: LoopEvent) -> Option<Input> {
        match message {
            LoopEvent::Kept => {
                self.keeper.iter_mut().for_each(SnapshotWriter::kept);
                None
            }
            LoopEvent::Attach(session, sender) => {
                self.sessions.insert(session, sender);
                None
            }
            LoopEvent::Input(input) => {
                if let Input::SessionClosed(session) = &input {
                    self.sessions.remove(session);
                }
                Some(input)
            }
            LoopEvent::Link(store, generation, input) => {
                self.links.get(&store).filter(|link| link.generation == generation)?;
                if matches!(input, Input::StoreUnreachable { .. } | Input::StoreDisconnected { .. }) {
                    self.links.remove(&store);
                }
                Some(input)
            }
        }
    }

    fn turn(&mut self, inputs: Vec<Input>) -> Result<(), String> {
        let outputs = self.core.handle(self.clock.now(), inputs);
        outputs.into_iter().try_for_each(|output| self.act(output))
    }

    fn act(&mut self, output: Output) -> Result<(), String> {
        match output {
            Output::Reply { id: RequestId(session, tag), part, hold } => {
                if let Some(sender) = self.sessions.get(&session) {
                    _ = sender.send(SessionReply { tag, part, hold });
                }
            }
            Output::ConnectStore { store, address } => {
                self.generation += 1;
                let (to_link, from_hub) = mpsc::unbounded_channel();
                self.links.insert(store, LinkEnd { generation: self.generation, to_link });
                let link = link::Link {
                    store,
                    generation: self.generation,
                    run: self.run,
                    connect_timeout: self.settings.connect_timeout,
                    clock: self.clock,
                    to_hub: self.to_hub.clone(),
                };
                tokio::spawn(link.run(address, from_hub));
            }
            Output::DisconnectStore { store } => _ = self.links.remove(&store),
            Output::ToStore { store, message, hold } => {
                if let Some(link) = self.links.get(&store) {
                    _ = link.to_link.send((message, hold));
                }
            }
            Output::ToList(message) => {
                let to = self.to_keeper.as_ref().filter(|_| message.concerns_map()).unwrap_or(&self.to_list);
                _ = to.send(message);
            }
            Output::SaveSnapshot(saved) => {
                if let Some((keeper, stamp)) = self.keeper.as_mut().zip(self.saving.take()) {
                    keeper.keep(self.clock.now(), stamp, saved);
                }
            }
            Output::SetTimer(at) => self.wake_at = at,
            Output::Log(text) => tracing::info!(text, "said"),
            Output::Fatal(text) => return Err(text),
        }
        Ok(())
    }
}

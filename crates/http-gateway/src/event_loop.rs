//! The core's turns: all that came at one moment goes in together, what comes back is done.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::{AbortHandle, yield_now};
use tokio::time::sleep_until;
use umbertray_clock::Clock;
use umbertray_http::server::Request;
use umbertray_http_api::{
    AttemptId, AttemptOutcome, ClientId, ClientRequest, Config, Core, Effect, FinalResponse, Input,
    RequestError,
};
use umbertray_lifecycle::Counters;
use umbertray_lifecycle::reason::{DenialReason, RetryReason, StoreCloseReason};

use crate::bounds::Bounds;
use crate::client_connections::ClientConnections;
use crate::store::{self, Pools};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// SIGTERM has come: all goes on, and is answered before the end.
    Leaving,
    /// No new connections, and those that were answered end.
    Closing,
}

/// A dispatch at work.
struct Work {
    task: AbortHandle,
    written: Rc<Cell<bool>>,
}

pub struct EventLoop {
    core: RefCell<Core>,
    inputs: RefCell<Vec<Input>>,
    news: Notify,
    answers: RefCell<HashMap<ClientId, oneshot::Sender<FinalResponse>>>,
    work: RefCell<HashMap<AttemptId, Work>>,
    next_client: Cell<u64>,
    phase: watch::Sender<Phase>,
    pub clock: Clock,
    bounds: Rc<watch::Sender<Bounds>>,
    pub pools: Pools,
    pub clients: ClientConnections,
    /// How often each reason for a close, refusal, retry or denial came up.
    pub counters: Rc<Counters>,
    /// Bytes that large answers hold.
    pub held: Arc<AtomicUsize>,
    /// The module asks to be told of changes, or for the whole list.
    pub subscribe: Notify,
    pub fetch: Notify,
}

impl EventLoop {
    pub fn new(core: Core, clock: Clock, bounds: Bounds) -> EventLoop {
        let counters = Rc::new(Counters::default());
        let bounds = Rc::new(watch::channel(bounds).0);
        EventLoop {
            core: RefCell::new(core),
            inputs: RefCell::default(),
            news: Notify::new(),
            answers: RefCell::default(),
            work: RefCell::default(),
            next_client: Cell::new(0),
            phase: watch::channel(Phase::Serving).0,
            clock,
            pools: Pools::new(bounds.clone(), counters.clone()),
            bounds,
            clients: ClientConnections::default(),
            counters,
            held: Arc::default(),
            subscribe: Notify::new(),
            fetch: Notify::new(),
        }
    }

    /// The bounds in force.
    pub fn bounds(&self) -> Bounds {
        *self.bounds.borrow()
    }

    /// Tells of each change of the bounds from now on.
    pub fn bounds_changes(&self) -> watch::Receiver<Bounds> {
        self.bounds.subscribe()
    }

    /// Puts a new configuration in force: bounds and module, or neither. Invariant: what is made of the settings has
    /// this one way to change; what a request, an attempt or a drain was promised when it began keeps its time.
    pub fn reconfigure(&self, config: &Config) -> Result<(), String> {
        let bounds = Bounds::of(config)?;
        self.core.borrow_mut().reconfigure(&config.settings).map_err(|error| error.to_string())?;
        self.bounds.send_replace(bounds);
        self.news.notify_one();
        Ok(())
    }

    /// Has the core told at its next turn, together with all else of this moment.
    pub fn post(&self, input: Input) {
        self.inputs.borrow_mut().push(input);
        self.news.notify_one();
    }

    pub fn check(&self, request: &Request) -> Result<ClientRequest, RequestError> {
        self.core.borrow().check(request)
    }

    /// Hands over an op; its final answer comes through the channel.
    pub fn ask(&self, ask: ClientRequest, begun: Duration) -> (ClientId, oneshot::Receiver<FinalResponse>) {
        let client = ClientId(self.next_client.replace(self.next_client.get() + 1));
        let (answer, answered) = oneshot::channel();
        self.answers.borrow_mut().insert(client, answer);
        self.post(Input::Request { client, request: ask, started_at: begun });
        (client, answered)
    }

    pub fn left(&self, client: ClientId) {
        self.answers.borrow_mut().remove(&client);
        self.post(Input::ClientDisconnected(client));
    }

    /// The bytes of an attempt whose connection stands; or why it must not begin. Hazard: the core hears only at its
    /// next turn that a client has left.
    pub fn begin(&self, call: AttemptId) -> Result<Bytes, DenialReason> {
        let mut core = self.core.borrow_mut();
        let client = core.client(call).ok_or(DenialReason::RequestEnded)?;
        if !self.answers.borrow().contains_key(&client) {
            return Err(DenialReason::ClientGone);
        }
        core.start_attempt(call, self.clock.now())
    }

    pub fn retry_reason(&self, call: AttemptId) -> Option<RetryReason> {
        self.core.borrow().retry_reason(call)
    }

    pub fn id(&self, call: AttemptId) -> Option<Box<str>> {
        self.core.borrow().request_id(call).map(Box::from)
    }

    pub fn open(&self) -> usize {
        self.core.borrow().open_requests()
    }

    pub fn ready(&self) -> bool {
        self.core.borrow().endpoints_known() && self.phase() == Phase::Serving
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub fn closing(&self) -> bool {
        self.phase() == Phase::Closing
    }

    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits for an input that no turn has taken.
    #[cfg(test)]
    pub async fn posted(&self, so: impl Fn(&Input) -> bool) {
        while !self.inputs.borrow().iter().any(&so) {
            self.news.notified().await;
        }
    }

    fn turn(self: &Rc<EventLoop>) -> Result<(), String> {
        let inputs = self.inputs.take();
        let deeds = self.core.borrow_mut().handle(self.clock.now(), inputs);
        deeds.into_iter().try_for_each(|deed| self.perform(deed))
    }

    fn perform(self: &Rc<EventLoop>, deed: Effect) -> Result<(), String> {
        match deed {
            Effect::Respond { client, response: reply } => {
                if let Some(answer) = self.answers.borrow_mut().remove(&client) {
                    // A client that left meanwhile has told so itself.
                    _ = answer.send(reply);
                }
            }
            Effect::StartAttempt { attempt: call, store, address, deadline: until } => {
                let written = Rc::new(Cell::new(false));
                let (hub, done) = (self.clone(), written.clone());
                let task = tokio::task::spawn_local(async move {
                    let (returned, at) = store::call(&hub, call, store, address, until, &done).await;
                    hub.work.borrow_mut().remove(&call);
                    hub.post(Input::AttemptFinished { attempt: call, outcome: returned, finished_at: at });
                });
                self.work.borrow_mut().insert(call, Work { task: task.abort_handle(), written });
            }
            Effect::Cancel { attempt: call } => {
                if let Some(Work { task, written }) = self.work.borrow_mut().remove(&call) {
                    task.abort();
                    let returned =
                        if written.get() { AttemptOutcome::Cancelled } else { AttemptOutcome::NeverWritten };
                    self.post(Input::AttemptFinished {
                        attempt: call,
                        outcome: returned,
                        finished_at: self.clock.now(),
                    });
                }
            }
            Effect::CancelUnlessWritten { attempt: call } => {
                let mut work = self.work.borrow_mut();
                if let Entry::Occupied(entry) = work.entry(call)
                    && !entry.get().written.get()
                {
                    entry.remove().task.abort();
                    self.post(Input::AttemptFinished {
                        attempt: call,
                        outcome: AttemptOutcome::Withheld,
                        finished_at: self.clock.now(),
                    });
                }
            }
            Effect::CheckHealth { store, address } => {
                let hub = self.clone();
                tokio::task::spawn_local(async move {
                    let returned = store::probe(&hub, address).await;
                    hub.post(Input::HealthChecked { store, outcome: returned });
                });
            }
            Effect::CloseIdleConnections { address } => {
                let closed = self.pools.forget(address);
                (0..closed).for_each(|_| self.counters.count(StoreCloseReason::StoreLeft));
                tracing::debug!(store = %address, closed, reason = %StoreCloseReason::StoreLeft, "store connections closed");
            }
            Effect::WatchEndpoints => self.subscribe.notify_one(),
            Effect::FetchEndpoints => self.fetch.notify_one(),
            Effect::Log(text) => tracing::info!(text, "said"),
            Effect::Fatal(text) => return Err(text),
        }
        Ok(())
    }
}

/// Turns the core until it cannot go on.
pub async fn run(hub: Rc<EventLoop>) -> Result<(), String> {
    loop {
        hub.turn()?;
        let wake = hub.core.borrow().next_deadline();
        let woken = async {
            match wake {
                Some(at) => sleep_until(hub.clock.instant(at).into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = hub.news.notified() => {}
            () = woken => {}
        }
        // What else can be read by now belongs to the same moment.
        yield_now().await;
    }
}

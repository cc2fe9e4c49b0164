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

use crate::bounds::ResourceLimits;
use crate::client_connections::ClientConnections;
use crate::store::{self, StorePools};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// SIGTERM has come: all goes on, and is answered before the end.
    Draining,
    /// No new connections, and those that were answered end.
    Closing,
}

/// A dispatch at work.
struct RunningAttempt {
    task: AbortHandle,
    written: Rc<Cell<bool>>,
}

pub struct EventLoop {
    core: RefCell<Core>,
    inputs: RefCell<Vec<Input>>,
    wake: Notify,
    waiting_clients: RefCell<HashMap<ClientId, oneshot::Sender<FinalResponse>>>,
    attempts: RefCell<HashMap<AttemptId, RunningAttempt>>,
    next_client: Cell<u64>,
    phase: watch::Sender<Phase>,
    pub clock: Clock,
    limits: Rc<watch::Sender<ResourceLimits>>,
    pub pools: StorePools,
    pub clients: ClientConnections,
    /// How often each reason for a close, refusal, retry or denial came up.
    pub counters: Rc<Counters>,
    /// Bytes that large answers hold.
    pub response_bytes: Arc<AtomicUsize>,
    /// The module asks to be told of changes, or for the whole list.
    pub watch_requested: Notify,
    pub fetch_requested: Notify,
}

impl EventLoop {
    pub fn new(core: Core, clock: Clock, bounds: ResourceLimits) -> EventLoop {
        let counters = Rc::new(Counters::default());
        let limits = Rc::new(watch::channel(bounds).0);
        EventLoop {
            core: RefCell::new(core),
            inputs: RefCell::default(),
            wake: Notify::new(),
            waiting_clients: RefCell::default(),
            attempts: RefCell::default(),
            next_client: Cell::new(0),
            phase: watch::channel(Phase::Serving).0,
            clock,
            pools: StorePools::new(limits.clone(), counters.clone()),
            limits,
            clients: ClientConnections::default(),
            counters,
            response_bytes: Arc::default(),
            watch_requested: Notify::new(),
            fetch_requested: Notify::new(),
        }
    }

    /// The bounds in force.
    pub fn limits(&self) -> ResourceLimits {
        *self.limits.borrow()
    }

    /// Tells of each change of the bounds from now on.
    pub fn limits_changes(&self) -> watch::Receiver<ResourceLimits> {
        self.limits.subscribe()
    }

    /// Puts a new configuration in force: bounds and module, or neither. Invariant: what is made of the settings has
    /// this one way to change; what a request, an attempt or a drain was promised when it began keeps its time.
    pub fn reconfigure(&self, config: &Config) -> Result<(), String> {
        let bounds = ResourceLimits::from_config(config)?;
        self.core.borrow_mut().reconfigure(&config.settings).map_err(|error| error.to_string())?;
        self.limits.send_replace(bounds);
        self.wake.notify_one();
        Ok(())
    }

    /// Has the core told at its next turn, together with all else of this moment.
    pub fn post(&self, input: Input) {
        self.inputs.borrow_mut().push(input);
        self.wake.notify_one();
    }

    pub fn check(&self, request: &Request) -> Result<ClientRequest, RequestError> {
        self.core.borrow().check(request)
    }

    /// Hands over an op; its final answer comes through the channel.
    pub fn submit(
        &self,
        ask: ClientRequest,
        begun: Duration,
    ) -> (ClientId, oneshot::Receiver<FinalResponse>) {
        let client = ClientId(self.next_client.replace(self.next_client.get() + 1));
        let (answer, answered) = oneshot::channel();
        self.waiting_clients.borrow_mut().insert(client, answer);
        self.post(Input::Request { client, request: ask, started_at: begun });
        (client, answered)
    }

    pub fn client_disconnected(&self, client: ClientId) {
        self.waiting_clients.borrow_mut().remove(&client);
        self.post(Input::ClientDisconnected(client));
    }

    /// The bytes of an attempt whose connection stands; or why it must not begin. Hazard: the core hears only at its
    /// next turn that a client has left.
    pub fn start_attempt(&self, call: AttemptId) -> Result<Bytes, DenialReason> {
        let mut core = self.core.borrow_mut();
        let client = core.client(call).ok_or(DenialReason::RequestEnded)?;
        if !self.waiting_clients.borrow().contains_key(&client) {
            return Err(DenialReason::ClientGone);
        }
        core.start_attempt(call, self.clock.now())
    }

    pub fn retry_reason(&self, call: AttemptId) -> Option<RetryReason> {
        self.core.borrow().retry_reason(call)
    }

    pub fn request_id(&self, call: AttemptId) -> Option<Box<str>> {
        self.core.borrow().request_id(call).map(Box::from)
    }

    pub fn open_requests(&self) -> usize {
        self.core.borrow().open_requests()
    }

    pub fn is_ready(&self) -> bool {
        self.core.borrow().endpoints_known() && self.phase() == Phase::Serving
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub fn is_closing(&self) -> bool {
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
            self.wake.notified().await;
        }
    }

    fn turn(self: &Rc<EventLoop>) -> Result<(), String> {
        let inputs = self.inputs.take();
        let deeds = self.core.borrow_mut().handle(self.clock.now(), inputs);
        deeds.into_iter().try_for_each(|deed| self.apply(deed))
    }

    fn apply(self: &Rc<EventLoop>, deed: Effect) -> Result<(), String> {
        match deed {
            Effect::Respond { client, response: reply } => {
                if let Some(answer) = self.waiting_clients.borrow_mut().remove(&client) {
                    // A client that left meanwhile has told so itself.
                    _ = answer.send(reply);
                }
            }
            Effect::StartAttempt { attempt: call, store, address, deadline: until } => {
                let written = Rc::new(Cell::new(false));
                let (hub, done) = (self.clone(), written.clone());
                let task = tokio::task::spawn_local(async move {
                    let (returned, at) = store::run_attempt(&hub, call, store, address, until, &done).await;
                    hub.attempts.borrow_mut().remove(&call);
                    hub.post(Input::AttemptFinished { attempt: call, outcome: returned, finished_at: at });
                });
                self.attempts
                    .borrow_mut()
                    .insert(call, RunningAttempt { task: task.abort_handle(), written });
            }
            Effect::Cancel { attempt: call } => {
                if let Some(RunningAttempt { task, written }) = self.attempts.borrow_mut().remove(&call) {
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
                let mut work = self.attempts.borrow_mut();
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
                    let returned = store::check_health(&hub, address).await;
                    hub.post(Input::HealthChecked { store, outcome: returned });
                });
            }
            Effect::CloseIdleConnections { address } => {
                let closed = self.pools.close_idle(address);
                (0..closed).for_each(|_| self.counters.count(StoreCloseReason::StoreLeft));
                tracing::debug!(store = %address, closed, reason = %StoreCloseReason::StoreLeft, "store connections closed");
            }
            Effect::WatchEndpoints => self.watch_requested.notify_one(),
            Effect::FetchEndpoints => self.fetch_requested.notify_one(),
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
            () = hub.wake.notified() => {}
            () = woken => {}
        }
        // What else can be read by now belongs to the same moment.
        yield_now().await;
    }
}

//! The event loop: one task that owns the core and alone accesses it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use umbertray_clock::Clock;
use umbertray_lifecycle::list_retry;
use umbertray_routing::{
    BufferGuard, Input, Output, ReplyPart, RequestHandler, RequestId, SessionId, Settings, Snapshot, StoreId,
};
use umbertray_snapshot::Stamp;
use umbertray_snapshot::decide::{PROMISE_DURATION, SAVE_INTERVAL};
use umbertray_snapshot::folder::{self, LoadResult};
use umbertray_store_protocol::list::ToList;

use crate::error::GatewayError;
use crate::service_connection::{self, Service, ServiceContext};
use crate::snapshot_writer::{OpenedSnapshots, SnapshotWriter};
use crate::store_connection::{StoreConnection, StoreMessage};

/// Maximum number of events taken from the queue at once. The scheduler sees them as simultaneous.
const MAX_EVENTS_PER_STEP: usize = 128;

/// A part of a reply, sent to its session.
pub(crate) struct SessionReply {
    /// The request's cookie.
    pub(crate) cookie: u64,
    /// The part.
    pub(crate) part: ReplyPart,
    /// To be kept until the part is sent.
    pub(crate) buffer_guard: BufferGuard,
}

/// Events that other tasks send to the loop.
pub(crate) enum LoopEvent {
    /// A client has connected; its replies go to this sender.
    SessionOpened { session: SessionId, replies: mpsc::UnboundedSender<SessionReply> },
    /// An input for the core, from a session or from a service.
    CoreInput(Input),
    /// An input for the core from a store's connection. Inputs of an earlier connection to the store are
    /// dropped.
    FromStoreConnection { store: StoreId, connection_id: u64, input: Input },
    /// The snapshot writer has written its snapshot, or failed to.
    SnapshotFinished,
}

/// The channels that the loop receives from.
pub(crate) struct LoopChannels {
    /// Events from other tasks.
    pub(crate) events: mpsc::UnboundedReceiver<LoopEvent>,
    /// Changes of the settings, split into parts.
    pub(crate) changes: mpsc::Receiver<Input>,
    /// Becomes true once, when the gateway must drain.
    pub(crate) stop_signal: watch::Receiver<bool>,
}

/// The services that the loop connects to.
#[derive(Clone, Copy)]
pub(crate) struct ServiceAddresses {
    /// The list service, which has the endpoint list.
    pub(crate) endpoint_list: SocketAddr,
    /// The coordinator, if it serves the extent map.
    pub(crate) coordinator: Option<SocketAddr>,
}

struct StoreConnectionHandle {
    connection_id: u64,
    /// Dropping the sender closes the connection after the queued messages are written.
    messages: mpsc::UnboundedSender<StoreMessage>,
}

/// The core, and the channels and tasks that carry out its outputs.
pub(crate) struct EventLoop {
    core: Box<dyn RequestHandler>,
    clock: Clock,
    settings: Arc<Settings>,
    /// The longest operation timeout in force at any time since the start; open requests may still have it.
    longest_timeout: Duration,
    run_id: u64,
    events: mpsc::UnboundedSender<LoopEvent>,
    endpoint_list: mpsc::UnboundedSender<ToList>,
    /// Present if the extent map is served by the coordinator instead of the list service.
    coordinator: Option<mpsc::UnboundedSender<ToList>>,
    sessions: HashMap<SessionId, mpsc::UnboundedSender<SessionReply>>,
    store_connections: HashMap<StoreId, StoreConnectionHandle>,
    last_connection_id: u64,
    /// When the core's timer expires; set by [`Output::SetTimer`].
    timer_at: Duration,
    snapshot_writer: Option<SnapshotWriter>,
    /// The snapshot of an earlier run, until it is passed to the core.
    loaded_snapshot: Option<LoadResult>,
    /// The timestamp of the snapshot that was requested from the core and not returned yet.
    snapshot_stamp: Option<Stamp>,
    next_snapshot_at: Duration,
}

impl EventLoop {
    /// Creates a loop that hosts `core`, and starts the tasks that connect to the services.
    pub(crate) fn new(
        core: Box<dyn RequestHandler>,
        clock: Clock,
        settings: Arc<Settings>,
        services: ServiceAddresses,
        run_id: u64,
        events: mpsc::UnboundedSender<LoopEvent>,
    ) -> EventLoop {
        let connect_timeout = list_retry::connect_timeout(settings.connect_timeout);
        let connect = |service, address| {
            let (sender, messages) = mpsc::unbounded_channel();
            let context =
                ServiceContext { service, address, run_id, connect_timeout, events: events.clone() };
            tokio::spawn(service_connection::run(context, messages));
            sender
        };
        let endpoint_list = connect(Service::EndpointList, services.endpoint_list);
        let coordinator = services.coordinator.map(|address| connect(Service::Coordinator, address));
        EventLoop {
            core,
            clock,
            longest_timeout: settings.longest_timeout(),
            settings,
            run_id,
            events,
            endpoint_list,
            coordinator,
            sessions: HashMap::new(),
            store_connections: HashMap::new(),
            last_connection_id: 0,
            timer_at: clock.now(),
            snapshot_writer: None,
            loaded_snapshot: None,
            snapshot_stamp: None,
            next_snapshot_at: clock.now() + SAVE_INTERVAL,
        }
    }

    /// Adds a snapshot writer, and restores the snapshot that was loaded with it.
    pub(crate) fn with_snapshots(self, snapshots: Option<OpenedSnapshots>) -> EventLoop {
        let Some(OpenedSnapshots { writer, loaded }) = snapshots else { return self };
        EventLoop { snapshot_writer: Some(writer), loaded_snapshot: loaded, ..self }
    }

    /// Runs until a stop was requested and all sessions have ended, or until the longest operation timeout
    /// has passed since the stop was requested.
    ///
    /// # Errors
    /// The core cannot continue.
    pub(crate) async fn run(mut self, mut channels: LoopChannels) -> Result<(), GatewayError> {
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_STEP);
        let mut drain_deadline = None;
        let restored = self.loaded_snapshot.take().map(restore_input);
        self.handle(restored.into_iter().collect())?;
        loop {
            let timer_at = tokio::time::Instant::from_std(self.clock.instant(self.timer_at));
            // Cancel safe: events and changes stay in their channels.
            tokio::select! {
                biased;
                _ = channels.stop_signal.wait_for(|stop| *stop), if drain_deadline.is_none() => {
                    drain_deadline = Some(self.start_drain());
                }
                // One part of a change per step, so that requests are processed between the parts of a large
                // change.
                Some(change) = channels.changes.recv() => self.on_change(change)?,
                _ = channels.events.recv_many(&mut events, MAX_EVENTS_PER_STEP) => {
                    let inputs = events.drain(..).filter_map(|event| self.on_loop_event(event)).collect();
                    self.handle(inputs)?;
                }
                () = tokio::time::sleep_until(timer_at) => self.handle(vec![Input::TimerExpired])?,
            }
            self.request_snapshot()?;
            if drain_deadline.is_some_and(|deadline| self.is_drained(deadline)) {
                self.next_snapshot_at = Duration::ZERO;
                return self.request_snapshot();
            }
        }
    }

    /// Starts the drain and returns its deadline.
    fn start_drain(&self) -> Duration {
        let open_requests = self.core.open_requests();
        tracing::info!(open_requests, sessions = self.sessions.len(), "drain started");
        self.clock.now() + self.longest_timeout
    }

    fn is_drained(&self, deadline: Duration) -> bool {
        self.sessions.is_empty() || self.clock.now() >= deadline
    }

    fn on_change(&mut self, change: Input) -> Result<(), GatewayError> {
        if let Input::SettingsChanged { settings, .. } = &change {
            self.longest_timeout = self.longest_timeout.max(settings.longest_timeout());
        }
        self.handle(vec![change])
    }

    /// Requests a snapshot from the core when one is due and the writer is idle, so that a slow disk never
    /// delays the loop. The core's own timers wake the loop often enough for this check.
    fn request_snapshot(&mut self) -> Result<(), GatewayError> {
        let now = self.clock.now();
        let is_due = now >= self.next_snapshot_at && self.snapshot_stamp.is_none();
        if !is_due || !self.snapshot_writer.as_ref().is_some_and(SnapshotWriter::is_idle) {
            return Ok(());
        }
        // The timestamp is taken first, so that a snapshot is never newer than its timestamp.
        self.snapshot_stamp = Some(folder::current_stamp());
        self.next_snapshot_at = now + SAVE_INTERVAL;
        self.handle(vec![Input::TakeSnapshot { promise_duration: PROMISE_DURATION }])
    }

    /// Handles an event and returns the resulting input for the core, if any.
    fn on_loop_event(&mut self, event: LoopEvent) -> Option<Input> {
        match event {
            LoopEvent::SnapshotFinished => {
                self.snapshot_writer.iter_mut().for_each(SnapshotWriter::on_finished);
                None
            }
            LoopEvent::SessionOpened { session, replies } => {
                self.sessions.insert(session, replies);
                None
            }
            LoopEvent::CoreInput(input) => {
                if let Input::SessionClosed(session) = &input {
                    self.sessions.remove(session);
                }
                Some(input)
            }
            LoopEvent::FromStoreConnection { store, connection_id, input } => {
                self.store_connections
                    .get(&store)
                    .filter(|connection| connection.connection_id == connection_id)?;
                if matches!(input, Input::StoreUnreachable { .. } | Input::StoreDisconnected { .. }) {
                    self.store_connections.remove(&store);
                }
                Some(input)
            }
        }
    }

    fn handle(&mut self, inputs: Vec<Input>) -> Result<(), GatewayError> {
        let outputs = self.core.handle(self.clock.now(), inputs);
        outputs.into_iter().try_for_each(|output| self.apply_output(output))
    }

    fn apply_output(&mut self, output: Output) -> Result<(), GatewayError> {
        match output {
            Output::Reply { id: RequestId(session, cookie), part, buffer_guard } => {
                if let Some(replies) = self.sessions.get(&session) {
                    _ = replies.send(SessionReply { cookie, part, buffer_guard });
                }
            }
            Output::ConnectStore { store, address } => self.connect_store(store, address),
            Output::DisconnectStore { store } => _ = self.store_connections.remove(&store),
            Output::ToStore { store, message, buffer_guard } => {
                if let Some(connection) = self.store_connections.get(&store) {
                    _ = connection.messages.send(StoreMessage { message, buffer_guard });
                }
            }
            Output::ToList(message) => self.send_service(message),
            Output::SaveSnapshot(snapshot) => self.save_snapshot(snapshot),
            Output::SetTimer(at) => self.timer_at = at,
            Output::Log(text) => tracing::info!(text, "routing event"),
            Output::Fatal(text) => return Err(GatewayError::Core(text)),
        }
        Ok(())
    }

    fn connect_store(&mut self, store: StoreId, address: SocketAddr) {
        self.last_connection_id += 1;
        let connection_id = self.last_connection_id;
        let (sender, messages) = mpsc::unbounded_channel();
        self.store_connections.insert(store, StoreConnectionHandle { connection_id, messages: sender });
        let connection = StoreConnection {
            store,
            connection_id,
            run_id: self.run_id,
            connect_timeout: self.settings.connect_timeout,
            clock: self.clock,
            events: self.events.clone(),
        };
        tokio::spawn(connection.run(address, messages));
    }

    /// Sends a message to the coordinator if it concerns the extent map and there is a coordinator, otherwise
    /// to the list service.
    fn send_service(&self, message: ToList) {
        let coordinator = self.coordinator.as_ref().filter(|_| message.concerns_map());
        _ = coordinator.unwrap_or(&self.endpoint_list).send(message);
    }

    fn save_snapshot(&mut self, snapshot: Snapshot) {
        let stamp = self.snapshot_stamp.take();
        if let Some((writer, stamp)) = self.snapshot_writer.as_mut().zip(stamp) {
            writer.save(self.clock.now(), stamp, snapshot);
        }
    }
}

fn restore_input(loaded: LoadResult) -> Input {
    Input::Restore { snapshot: loaded.snapshot, age: loaded.age.known() }
}

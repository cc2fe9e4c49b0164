//! An NBD session. One task transfers its bytes in both directions, so that neither direction blocks the
//! other.

mod close_reason;
mod exports;
mod input;
mod write_queue;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::BytesMut;
use tokio::sync::{mpsc, watch};
use umbertray_clock::Clock;
use umbertray_lifecycle::timeouts;
use umbertray_nbd::{Limits, Session};
use umbertray_routing::{Input, SessionId, Settings};
use umbertray_socket::Socket;

use self::close_reason::CloseReason;
use self::input::ReadState;
use self::write_queue::WriteQueue;
use crate::buffer_budget::{BufferBudget, SessionBudget};
use crate::event_loop::{LoopEvent, SessionReply};
use crate::replies::OpenReplies;

/// Maximum number of reply parts taken from the queue at once.
const MAX_PARTS_PER_STEP: usize = 64;

static NEXT_SESSION: AtomicU64 = AtomicU64::new(0);

/// State shared by all sessions of a gateway.
pub(crate) struct SessionContext {
    /// The settings in force. A session keeps the export that it attached with.
    pub(crate) current_settings: Arc<ArcSwap<Settings>>,
    /// Number of volumes removed so far; a change wakes the sessions.
    pub(crate) removed_volumes: watch::Receiver<u64>,
    /// Byte budget for requests.
    pub(crate) budget: BufferBudget,
    /// The settings that the gateway started with.
    pub(crate) settings: Arc<Settings>,
    /// The gateway's clock.
    pub(crate) clock: Clock,
    /// Sends requests to the event loop.
    pub(crate) events: mpsc::UnboundedSender<LoopEvent>,
    /// Becomes true once, when the gateway must drain.
    pub(crate) stop_signal: watch::Receiver<bool>,
}

impl SessionContext {
    /// Timeout for a negotiation, or for the rest of a request, by the settings in force.
    fn message_timeout(&self) -> Duration {
        timeouts::bounded_wait(self.current_settings.load().longest_timeout())
    }
}

struct SessionTask {
    context: Arc<SessionContext>,
    id: SessionId,
    socket: Socket,
    session: Session,
    replies: OpenReplies,
    reply_receiver: mpsc::UnboundedReceiver<SessionReply>,
    budget: SessionBudget,
    read_state: ReadState,
    /// Index of the volume that the client has attached to.
    volume: Option<usize>,
    input: BytesMut,
    /// When the first byte of the message in `input` was read.
    message_started_at: Duration,
    /// When the last byte was read.
    last_read_at: Duration,
    write_queue: WriteQueue,
    stop_signal: watch::Receiver<bool>,
    is_stopping: bool,
    removed_volumes: watch::Receiver<u64>,
}

/// Serves one client until its session ends.
pub(crate) async fn run(context: Arc<SessionContext>, socket: Socket, peer: SocketAddr) {
    let id = SessionId(NEXT_SESSION.fetch_add(1, Ordering::Relaxed));
    let (replies, reply_receiver) = mpsc::unbounded_channel();
    let mut task = SessionTask::new(context, id, socket, reply_receiver);
    let events = task.context.events.clone();
    _ = events.send(LoopEvent::SessionOpened { session: id, replies });
    let reason = task.run().await;
    _ = events.send(LoopEvent::CoreInput(Input::SessionClosed(id)));
    if reason.is_fault() {
        tracing::warn!(connection_id = id.0, %peer, %reason, "session closed");
    } else {
        tracing::info!(connection_id = id.0, %peer, %reason, "session closed");
    }
}

impl SessionTask {
    fn new(
        context: Arc<SessionContext>,
        id: SessionId,
        socket: Socket,
        reply_receiver: mpsc::UnboundedReceiver<SessionReply>,
    ) -> SessionTask {
        let now = context.clock.now();
        let mut stop_signal = context.stop_signal.clone();
        let is_stopping = *stop_signal.borrow_and_update();
        SessionTask {
            id,
            socket,
            session: Session::new(Limits::default()),
            replies: OpenReplies::default(),
            reply_receiver,
            budget: context.budget.session_budget(id.0),
            read_state: ReadState::Ready,
            volume: None,
            input: BytesMut::new(),
            message_started_at: now,
            last_read_at: now,
            write_queue: WriteQueue::default(),
            stop_signal,
            is_stopping,
            removed_volumes: context.removed_volumes.clone(),
            context,
        }
    }

    async fn run(&mut self) -> CloseReason {
        if let Err(error) = self.socket.set_nodelay(true) {
            return error.into();
        }
        let mut parts = Vec::new();
        loop {
            if let Err(reason) = self.step(&mut parts).await {
                return reason;
            }
        }
    }

    /// Processes the available input and output, then waits for one event. An error ends the session.
    async fn step(&mut self, parts: &mut Vec<SessionReply>) -> Result<(), CloseReason> {
        // Open requests to a removed volume still get their replies, but no new requests are accepted.
        let is_ending = self.is_stopping || self.is_volume_removed();
        if is_ending {
            self.session.shut_down();
        }
        self.receive()?;
        self.flush()?;
        let is_idle = self.session.open_requests() == 0 && self.write_queue.is_empty();
        if is_idle && (matches!(self.read_state, ReadState::Closed) || is_ending) {
            return Err(self.idle_close_reason(is_ending));
        }
        let may_read = self.may_read();
        let message_timeout = self.context.message_timeout();
        let deadline = self.context.clock.instant(self.message_started_at + message_timeout);
        let has_deadline = may_read && self.is_mid_message();
        // Cancel safe: bytes, reply parts and changes stay where they are, and the wait for a buffer
        // continues in the read state.
        tokio::select! {
            ready = self.socket.readable(), if may_read => {
                ready?;
                self.read()
            }
            ready = self.socket.writable(), if !self.write_queue.is_empty() => {
                ready?;
                Ok(self.write_queue.write(&self.socket)?)
            }
            count = self.reply_receiver.recv_many(parts, MAX_PARTS_PER_STEP) => {
                if count == 0 {
                    return Err(CloseReason::EventLoopEnded);
                }
                parts.drain(..).for_each(|part| self.on_reply(part));
                Ok(())
            }
            admission = self.read_state.buffer_admission() => {
                self.on_buffer_admission(admission);
                Ok(())
            }
            changed = self.stop_signal.changed(), if !self.is_stopping => {
                self.is_stopping = changed.is_err() || *self.stop_signal.borrow();
                Ok(())
            }
            Ok(()) = self.removed_volumes.changed() => Ok(()),
            () = tokio::time::sleep_until(deadline.into()), if has_deadline => {
                Err(CloseReason::MessageTimeout)
            }
        }
    }

    fn idle_close_reason(&self, is_ending: bool) -> CloseReason {
        match (self.is_stopping, is_ending) {
            (true, _) => CloseReason::GatewayStopping,
            (false, true) => CloseReason::VolumeRemoved,
            (false, false) => CloseReason::ClientDisconnected,
        }
    }

    fn is_volume_removed(&self) -> bool {
        let settings = self.context.current_settings.load();
        let is_removed = |volume: usize| settings.volumes.get(volume).is_none_or(|volume| volume.is_removed);
        self.volume.is_some_and(is_removed)
    }

    fn on_reply(&mut self, SessionReply { cookie, part, buffer_guard }: SessionReply) {
        let data = self.replies.write_part(&mut self.session, cookie, part);
        self.write_queue.push(self.session.output().split().freeze());
        if let Some(data) = data {
            self.write_queue.push(data);
        }
        self.write_queue.hold_until_written(buffer_guard);
    }

    fn flush(&mut self) -> Result<(), CloseReason> {
        self.write_queue.push(self.session.output().split().freeze());
        Ok(self.write_queue.write(&self.socket)?)
    }
}

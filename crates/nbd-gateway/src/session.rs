//! One NBD session: one task moves its bytes both ways, so that neither waits for the other.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::{Bytes, BytesMut};
use tokio::sync::{mpsc, watch};
use umbertray_lifecycle::timeouts;
use umbertray_nbd::proto::*;
use umbertray_nbd::{BlockSizes, Export, Exports, Limits, Session, SessionEvent};
use umbertray_routing::{BufferGuard, Input, Request, RequestId, SessionId, Settings};

use crate::budget::{Budget, Granted, Part};
use crate::event_loop::{LoopEvent, SessionReply};
use crate::link::consume;
use crate::reply::{self, Replies};
use umbertray_clock::Clock;
use umbertray_socket::Socket;

/// The smallest range that a request may name, and the one that clients do best to use.
const MINIMUM_BLOCK: u32 = 512;
const PREFERRED_BLOCK: u32 = 4096;
/// What is read at a time at most beyond a payload that is known to come.
const READ: usize = 16 * 1024;
/// So many slices go to the system at a time.
const SLICES: usize = 64;

static NEXT: AtomicU64 = AtomicU64::new(0);

/// What all sessions of a gateway share.
pub struct Shared {
    /// The settings that hold now; what a session has begun with is its own.
    pub present: Arc<ArcSwap<Settings>>,
    /// Counts the volumes that were removed.
    pub removed: watch::Receiver<u64>,
    pub budget: Budget,
    pub settings: Arc<Settings>,
    pub clock: Clock,
    pub to_hub: mpsc::UnboundedSender<LoopEvent>,
    pub stopping: watch::Receiver<bool>,
}

impl Shared {
    /// How long a negotiation or half a request may take, by the settings in force.
    fn half_message_timeout(&self) -> Duration {
        timeouts::bounded_wait(self.present.load().longest_timeout())
    }
}

/// The volumes there are, as clients see them.
struct Volumes(Arc<Settings>);

impl Volumes {
    fn export(&self, volume: &umbertray_routing::settings::Volume) -> Export {
        // A flush reaches all shards that hold extents of the volume, whichever gateway wrote them, so that several
        // connections may be used as one.
        let flags = SEND_FLUSH | SEND_FUA | SEND_TRIM | SEND_WRITE_ZEROES | SEND_DF | CAN_MULTI_CONN;
        let (minimum, maximum) = (MINIMUM_BLOCK, self.0.bounds.request_bytes);
        Export {
            name: volume.name.clone(),
            description: format!("plan {}", self.0.plans[volume.plan].name),
            size: volume.size,
            flags,
            blocks: BlockSizes { minimum, preferred: PREFERRED_BLOCK.min(maximum), maximum },
        }
    }
}

impl Exports for Volumes {
    fn find(&self, name: &str) -> Option<Export> {
        self.0.volume_indices.get(name).map(|place| self.export(&self.0.volumes[*place]))
    }

    fn names(&self) -> Vec<String> {
        self.0.volumes.iter().filter(|volume| !volume.is_removed).map(|volume| volume.name.clone()).collect()
    }
}

type Granting = Pin<Box<dyn Future<Output = Option<Granted>> + Send>>;

/// What may be read next.
enum Door {
    Open,
    /// A request's header has come; its bytes wait for room.
    Waiting(Granting),
    /// There is room for it.
    Granted(BufferGuard),
    /// Nothing more is read: the client has said goodbye.
    Shut,
}

struct Running {
    shared: Arc<Shared>,
    id: SessionId,
    stream: Socket,
    session: Session,
    replies: Replies,
    part: Part,
    door: Door,
    volume: Option<usize>,
    input: BytesMut,
    /// When the first byte in `input`, and the last, were read.
    begun: Duration,
    read_at: Duration,
    /// Bytes to write, and what is held until so many have been.
    queue: VecDeque<Bytes>,
    holds: VecDeque<(usize, BufferGuard)>,
    queued: usize,
}

pub async fn run(shared: Arc<Shared>, stream: Socket, peer: SocketAddr) {
    let id = SessionId(NEXT.fetch_add(1, Ordering::Relaxed));
    let (to_session, mut from_hub) = mpsc::unbounded_channel();
    let now = shared.clock.now();
    let mut running = Running {
        id,
        stream,
        session: Session::new(Limits::default()),
        replies: Replies::default(),
        part: shared.budget.part(id.0),
        door: Door::Open,
        volume: None,
        input: BytesMut::new(),
        begun: now,
        read_at: now,
        queue: VecDeque::new(),
        holds: VecDeque::new(),
        queued: 0,
        shared,
    };
    _ = running.shared.to_hub.send(LoopEvent::Attach(id, to_session));
    let ended = running.talk(&mut from_hub).await;
    _ = running.shared.to_hub.send(LoopEvent::Input(Input::SessionClosed(id)));
    match ended {
        Ok(why) => tracing::info!(session = id.0, %peer, why, "session closed"),
        Err(error) => tracing::warn!(session = id.0, %peer, %error, "session closed"),
    }
}

impl Running {
    async fn talk(
        &mut self,
        from_hub: &mut mpsc::UnboundedReceiver<SessionReply>,
    ) -> io::Result<&'static str> {
        self.stream.set_nodelay(true)?;
        let mut stopping = self.shared.stopping.clone();
        let mut stopped = *stopping.borrow_and_update();
        let mut removed = self.shared.removed.clone();
        let mut parts = Vec::new();
        loop {
            // What is open of a volume that was removed gets its answers; nothing more is taken.
            let over = stopped || self.gone();
            if over {
                self.session.shut_down();
            }
            self.receive()?;
            self.flush()?;
            let idle = self.session.open_requests() == 0 && self.queue.is_empty();
            if idle && (matches!(self.door, Door::Shut) || over) {
                return Ok(if stopped {
                    "stopping"
                } else if over {
                    "its volume was removed"
                } else {
                    "goodbye"
                });
            }
            let may_read = matches!(self.door, Door::Open | Door::Granted(_))
                && self.session.open_requests() < self.shared.settings.bounds.requests_per_session;
            // A peer that sends half a request, or negotiates for ever, is not waited for.
            let half =
                self.volume.is_none() || !self.input.is_empty() || matches!(self.door, Door::Granted(_));
            let deadline = self.shared.clock.instant(self.begun + self.shared.half_message_timeout());
            tokio::select! {
                ready = self.stream.readable(), if may_read => {
                    ready?;
                    if !self.read()? {
                        return Ok("the client left");
                    }
                }
                ready = self.stream.writable(), if !self.queue.is_empty() => {
                    ready?;
                    self.write()?;
                }
                count = from_hub.recv_many(&mut parts, SLICES) => {
                    if count == 0 {
                        return Ok("the gateway ended");
                    }
                    parts.drain(..).for_each(|part| self.part(part));
                }
                granted = granted(&mut self.door) => {
                    self.granted(granted);
                }
                changed = stopping.changed(), if !stopped => {
                    stopped = changed.is_err() || *stopping.borrow();
                }
                Ok(()) = removed.changed() => {}
                () = tokio::time::sleep_until(deadline.into()), if may_read && half => {
                    return Err(io::Error::new(io::ErrorKind::TimedOut, "the client's bytes came too slowly"));
                }
            }
        }
    }

    fn gone(&self) -> bool {
        let removed = |place: usize| {
            self.shared.present.load().volumes.get(place).is_none_or(|volume| volume.is_removed)
        };
        self.volume.is_some_and(removed)
    }

    /// Reads what is there; false at the end.
    fn read(&mut self) -> io::Result<bool> {
        // An idle session holds no buffer.
        if self.input.is_empty() {
            self.input = BytesMut::with_capacity(READ);
        } else {
            self.input.reserve(READ);
        }
        let fresh = self.input.is_empty() && !matches!(self.door, Door::Granted(_));
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => return Ok(false),
            Ok(_) => {
                self.read_at = self.shared.clock.now();
                if fresh && self.volume.is_some() {
                    self.begun = self.read_at;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        Ok(true)
    }

    /// Takes what is whole off the input, as far as there is room.
    fn receive(&mut self) -> io::Result<()> {
        let most = self.shared.settings.bounds.requests_per_session;
        while matches!(self.door, Door::Open | Door::Granted(_)) && self.session.open_requests() < most {
            let exports = Volumes(self.shared.present.load_full());
            let step = self.session.receive(&mut self.input, &exports);
            match step.map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault))? {
                SessionEvent::More => break,
                SessionEvent::Attached(export) => {
                    self.volume = exports.0.volume_indices.get(&export.name).copied();
                    self.begun = self.read_at;
                    tracing::info!(session = self.id.0, export = export.name, "session attached");
                }
                SessionEvent::Pending { bytes } => {
                    let (part, present) = (self.part.clone(), self.shared.present.load_full());
                    let Some(volume) = self.volume else { continue };
                    self.door = Door::Waiting(Box::pin(part.grant(volume, present, bytes)));
                }
                SessionEvent::Request(request) => self.request(request),
                SessionEvent::Rejected { errno, reason: why, .. } => {
                    tracing::debug!(session = self.id.0, ?errno, why, "request refused");
                    self.next_begins();
                }
                SessionEvent::Disconnected => self.door = Door::Shut,
            }
        }
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        Ok(())
    }

    fn granted(&mut self, granted: Option<Granted>) {
        match granted {
            Some(Granted::Held(hold)) => self.door = Door::Granted(hold),
            Some(Granted::Away(retry_after)) => {
                let ms = retry_after.as_millis().max(1);
                let text = format!("throttled retry_after_ms={ms} no_room");
                if self.session.reject(umbertray_nbd::Errno::NoMem, text) {
                    self.next_begins();
                } else {
                    // A goodbye, or a broken client: it holds nothing but its record.
                    self.door = Door::Granted(Arc::new(()));
                }
            }
            None => self.door = Door::Shut,
        }
    }

    /// What follows a whole request in the input came with the last read.
    fn next_begins(&mut self) {
        self.begun = self.read_at;
        self.door = Door::Open;
    }

    fn request(&mut self, request: umbertray_nbd::Request) {
        let begun = self.begun;
        let Door::Granted(hold) = std::mem::replace(&mut self.door, Door::Open) else { return };
        self.next_begins();
        let (Some(volume), Some(work)) = (self.volume, reply::work(request.command)) else { return };
        self.replies.opened(&request, self.session.structured());
        let durable = reply::durable(&request);
        let request = Request {
            id: RequestId(self.id, request.cookie),
            volume,
            kind: work,
            offset: request.offset,
            length: request.length,
            durable,
            data: request.payload,
            started_at: begun,
            hold,
        };
        _ = self.shared.to_hub.send(LoopEvent::Input(Input::Request(request)));
    }

    fn part(&mut self, SessionReply { tag, part, hold }: SessionReply) {
        let data = self.replies.part(&mut self.session, tag, part);
        let head = self.session.output().split().freeze();
        std::iter::once(head).chain(data).for_each(|bytes| self.enqueue(bytes));
        self.holds.push_back((self.queued, hold));
    }

    fn enqueue(&mut self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.queued += bytes.len();
            self.queue.push_back(bytes);
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        let bytes = self.session.output().split().freeze();
        self.enqueue(bytes);
        if self.queue.is_empty() { Ok(()) } else { self.write() }
    }

    /// Writes what the socket takes.
    fn write(&mut self) -> io::Result<()> {
        while !self.queue.is_empty() {
            let slices: Vec<io::IoSlice> =
                self.queue.iter().take(SLICES).map(|bytes| io::IoSlice::new(bytes)).collect();
            let written = match self.stream.try_write_vectored(&slices) {
                Ok(written) => written,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            };
            consume(&mut self.queue, written);
            self.queued -= written;
            for (until, _) in &mut self.holds {
                *until = until.saturating_sub(written);
            }
            while self.holds.front().is_some_and(|(until, _)| *until == 0) {
                self.holds.pop_front();
            }
        }
        Ok(())
    }
}

/// The grant that the door waits for; never, where it waits for none.
async fn granted(door: &mut Door) -> Option<Granted> {
    match door {
        Door::Waiting(granting) => granting.await,
        _ => std::future::pending().await,
    }
}

//! Discovery: the whole list, then a watch of its changes, for as long as the gateway runs.

use std::cell::Cell;
use std::future::pending;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use umbertray_http::client::{self, ResponseReader};
use umbertray_http::{Limits, Malformed};
use umbertray_http_api::endpoint_list::{EndpointList, EndpointListError, WatchEvent, WatchReader};
use umbertray_http_api::fields;
use umbertray_http_api::{Config, Input};

use crate::event_loop::EventLoop;
use crate::patience::{self, FailureKind, Failures};

#[cfg(test)]
mod tests;

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("not reached: {0}")]
    Connect(io::Error),
    #[error("lost: {0}")]
    ConnectionLost(io::Error),
    #[error("ended")]
    Ended,
    #[error("silent")]
    Silent,
    #[error("answered {0}")]
    Status(u16),
    #[error(transparent)]
    Http(#[from] Malformed),
    #[error(transparent)]
    Malformed(#[from] EndpointListError),
    #[error("version {told} came after {held}")]
    OlderVersion { held: u64, told: u64 },
}

impl WatchError {
    fn failure_kind(&self, asked: bool) -> FailureKind {
        match self {
            WatchError::Silent => FailureKind::TimedOut,
            WatchError::Connect(_) | WatchError::ConnectionLost(_) | WatchError::Ended if !asked => {
                FailureKind::ClosedLocally
            }
            _ => FailureKind::Immediate,
        }
    }
}

/// Of failures, one after the other.
#[derive(Clone, Copy, Default)]
struct FailureCounts {
    /// Nothing came.
    connection: Failures,
    /// No watch brought a thing. Danger: a list that can be had beside a watch that cannot would be asked for without end.
    watch: Failures,
}

/// What all attempts share.
struct WatchState {
    event_loop: Rc<EventLoop>,
    /// The version held, if the list held is known to be whole.
    known_version: Cell<Option<u64>>,
    /// Something came since the last failure.
    has_received: Cell<bool>,
    /// A watch brought it.
    watch_has_received: Cell<bool>,
}

/// One connection to discovery, from the dial on.
struct Attempt<'a> {
    progress: Rc<AttemptProgress>,
    run: Pin<Box<dyn Future<Output = WatchError> + 'a>>,
}

/// Where the list of stores is had from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoverySource {
    pub address: SocketAddr,
    /// Each watch has to be asked for by the module; else changes are pushed.
    pub is_polled: bool,
}

impl DiscoverySource {
    pub fn from_config(config: &Config) -> DiscoverySource {
        let asked = config.settings.get("discovery").is_some_and(|word| word == "asked");
        DiscoverySource { address: config.discovery, is_polled: asked }
    }
}

/// How far an attempt has come.
struct AttemptProgress {
    /// When its next answer has to be whole; once its watch is open, the watch itself sees to that.
    deadline: Cell<Option<Instant>>,
    /// Some of that answer has come.
    is_receiving: Cell<bool>,
    /// Something of it was whole.
    completed: Notify,
}

/// What an attempt has come to.
enum AttemptEvent {
    Received,
    TimedOut,
    Failed(WatchError),
}

/// Follows the list at the address that holds at the time. Where it has to be asked for, the first watch begins when the
/// module asks, and so does the next after one that failed.
pub async fn follow<S: AsyncRead + AsyncWrite + Unpin>(
    dial: impl AsyncFn(SocketAddr) -> io::Result<S>,
    event_loop: Rc<EventLoop>,
    mut source: watch::Receiver<DiscoverySource>,
    known: u64,
    seed: u64,
) {
    let own = WatchState::new(event_loop.clone());
    tracing::debug!(known, "following the list");
    let (mut rows, mut draws, mut wanted) = (FailureCounts::default(), 0u64, !source.borrow().is_polled);
    let (mut next, mut slow) = (None, None);
    loop {
        // Danger: the module that has asked does not ask again where the watch only moves, or begins with the whole list.
        if !std::mem::replace(&mut wanted, true) && next.is_none() {
            tokio::select! {
                asked = while_continuing(&mut slow, event_loop.watch_requested.notified()) => if asked.is_none() { next = slow.take() },
                // Danger: what is told at the new address counts soon, however long the module waits for the old one.
                _ = source.changed() => (rows, slow) = (FailureCounts::default(), None),
            }
        }
        let DiscoverySource { address: at, is_polled: asked } = *source.borrow_and_update();
        let begun = Instant::now();
        let attempt = next.take().unwrap_or_else(|| own.attempt(&dial, at, rows.connection));
        let broken = tokio::select! {
            broken = until_failed(attempt, &mut slow) => broken,
            changed = source.changed() => match changed {
                Ok(()) => {
                    // Danger: what the old address had last is heard from the new one, as if it were new.
                    event_loop.post(Input::EndpointListFailed);
                    own.reset_on_success(rows);
                    (rows, slow) = (FailureCounts::default(), None);
                    continue;
                }
                Err(_) => return,
            },
            () = event_loop.fetch_requested.notified() => {
                own.known_version.set(None);
                (rows, slow) = (own.reset_on_success(rows), None);
                continue;
            }
        };
        tracing::warn!(discovery = %at, why = %broken, "list lost");
        if matches!(
            broken,
            WatchError::Malformed(_) | WatchError::OlderVersion { .. } | WatchError::Status(_)
        ) {
            own.known_version.set(None);
        }
        event_loop.post(Input::EndpointListFailed);
        wanted = !asked;
        rows = own.count_failure(rows);
        draws += 1;
        let longest = rows.watch.max_backoff_after(begun.elapsed(), broken.failure_kind(asked));
        let wait = longest.mul_f64(0.5 + random_fraction(seed, draws) / 2.0);
        tokio::select! {
            waited = while_continuing(&mut slow, sleep(wait)) => if waited.is_none() { next = slow.take() },
            _ = source.changed() => (wanted, rows, slow) = (true, FailureCounts::default(), None),
        }
    }
}

/// Waits while a slow attempt goes on; nothing, if that one tells something first.
async fn while_continuing<T>(slow: &mut Option<Attempt<'_>>, done: impl Future<Output = T>) -> Option<T> {
    let mut done = pin!(done);
    while let Some(attempt) = slow {
        tokio::select! {
            biased;
            done = &mut done => return Some(done),
            came = attempt.failed_or_received() => match came {
                AttemptEvent::Failed(_) => *slow = None,
                _ => return None,
            },
        }
    }
    Some(done.await)
}

/// Danger: what is heard by way of a list that trickles may come late by all its time. One that is late while it comes
/// goes on beside the next attempts; the first of them to tell something is the one that stays.
async fn until_failed<'a>(mut attempt: Attempt<'a>, slow: &mut Option<Attempt<'a>>) -> WatchError {
    loop {
        match while_continuing(slow, attempt.next_event()).await {
            None => attempt = slow.take().unwrap_or(attempt),
            Some(AttemptEvent::Received) => *slow = None,
            Some(AttemptEvent::Failed(broken)) => return broken,
            Some(AttemptEvent::TimedOut) => {
                if attempt.progress.is_receiving.get() {
                    slow.get_or_insert(attempt);
                }
                return WatchError::Silent;
            }
        }
    }
}

impl Attempt<'_> {
    async fn next_event(&mut self) -> AttemptEvent {
        let stage = self.progress.clone();
        tokio::select! {
            biased; // What has come by the moment in which it is due is not late.
            came = self.failed_or_received() => came,
            () = stage.timed_out() => AttemptEvent::TimedOut,
        }
    }

    async fn failed_or_received(&mut self) -> AttemptEvent {
        tokio::select! {
            biased;
            broken = &mut self.run => AttemptEvent::Failed(broken),
            () = self.progress.completed.notified() => AttemptEvent::Received,
        }
    }
}

impl AttemptProgress {
    fn new(failures: Failures) -> AttemptProgress {
        let stage = AttemptProgress {
            deadline: Cell::default(),
            is_receiving: Cell::default(),
            completed: Notify::new(),
        };
        stage.restart(failures);
        stage
    }

    fn restart(&self, failures: Failures) {
        self.deadline.set(Some(Instant::now() + failures.response_timeout()));
        self.is_receiving.set(false);
    }

    async fn timed_out(&self) {
        while let Some(due) = self.deadline.get() {
            if due <= Instant::now() {
                return;
            }
            sleep_until(due).await;
        }
        pending().await
    }
}

fn random_fraction(seed: u64, draws: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, "watch", draws).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Until when something, and all of it, has to come.
#[derive(Clone, Copy)]
struct ReadDeadline {
    idle_timeout: Duration,
    transfer_deadline: Instant,
}

impl ReadDeadline {
    fn for_attempt() -> ReadDeadline {
        ReadDeadline {
            idle_timeout: patience::longest_response_timeout(),
            transfer_deadline: Instant::now() + patience::transfer_timeout(),
        }
    }

    /// Only a whole line counts, however many bytes of it come.
    fn for_line() -> ReadDeadline {
        let silence = patience::watch_idle_timeout();
        ReadDeadline { idle_timeout: silence, transfer_deadline: Instant::now() + silence }
    }

    async fn wait<T>(self, done: impl Future<Output = io::Result<T>>) -> Result<io::Result<T>, WatchError> {
        let until = self.transfer_deadline.min(Instant::now() + self.idle_timeout);
        timeout_at(until, done).await.map_err(|_| WatchError::Silent)
    }
}

impl WatchState {
    fn new(event_loop: Rc<EventLoop>) -> WatchState {
        WatchState {
            event_loop: event_loop,
            known_version: Cell::default(),
            has_received: Cell::default(),
            watch_has_received: Cell::default(),
        }
    }

    /// What has come ends a row.
    fn reset_on_success(&self, rows: FailureCounts) -> FailureCounts {
        FailureCounts {
            connection: if self.has_received.take() { Failures::default() } else { rows.connection },
            watch: if self.watch_has_received.take() { Failures::default() } else { rows.watch },
        }
    }

    fn count_failure(&self, rows: FailureCounts) -> FailureCounts {
        let (heard, opened, rows) =
            (self.has_received.get(), self.watch_has_received.get(), self.reset_on_success(rows));
        FailureCounts {
            connection: if heard { rows.connection } else { rows.connection.plus_one() },
            watch: if opened { rows.watch } else { rows.watch.plus_one() },
        }
    }

    fn attempt<'a, S: AsyncRead + AsyncWrite + Unpin + 'a>(
        &'a self,
        dial: &'a impl AsyncFn(SocketAddr) -> io::Result<S>,
        address: SocketAddr,
        failures: Failures,
    ) -> Attempt<'a> {
        let stage = Rc::new(AttemptProgress::new(failures));
        let own = stage.clone();
        let run = async move { self.run(dial, address, &own).await.err().unwrap_or(WatchError::Ended) };
        Attempt { progress: stage, run: Box::pin(run) }
    }

    async fn run<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        dial: &impl AsyncFn(SocketAddr) -> io::Result<S>,
        address: SocketAddr,
        stage: &AttemptProgress,
    ) -> Result<(), WatchError> {
        let mut due = ReadDeadline::for_attempt();
        let mut stream = due.wait(dial(address)).await?.map_err(WatchError::Connect)?;
        let host = address.to_string();
        if self.known_version.get().is_none() {
            self.fetch_list(&mut stream, &host, due, stage).await?;
            due = ReadDeadline::for_attempt();
            stage.restart(Failures::default());
            stage.completed.notify_waiters();
        }
        self.follow_changes(&mut stream, &host, due, stage).await
    }

    async fn fetch_list<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        host: &str,
        due: ReadDeadline,
        stage: &AttemptProgress,
    ) -> Result<(), WatchError> {
        send_request(stream, fields::ENDPOINT_LIST, host, due).await?;
        let mut answers = ResponseReader::new(Limits {
            body: self.event_loop.limits().endpoint_list,
            ..self.event_loop.limits().http
        });
        let answer = loop {
            if let Some(answer) = answers.response()? {
                break answer;
            }
            read_some(stream, &mut answers, due, stage).await?;
        };
        if answer.head.status != 200 {
            return Err(WatchError::Status(answer.head.status));
        }
        self.apply(EndpointList::read(&answer.body)?)
    }

    async fn follow_changes<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        host: &str,
        mut due: ReadDeadline,
        stage: &AttemptProgress,
    ) -> Result<(), WatchError> {
        send_request(stream, &fields::watch(self.known_version.get().unwrap_or_default()), host, due).await?;
        let mut answers = ResponseReader::new(Limits { body: usize::MAX, ..self.event_loop.limits().http });
        let (mut lines, mut opened) = (WatchReader::new(self.event_loop.limits().endpoint_list), false);
        loop {
            if let Some(head) = answers.head()?
                && head.status != 200
            {
                return Err(WatchError::Status(head.status));
            }
            let begun = !lines.bytes.is_empty();
            let ended = answers.stream(&mut lines.bytes)?;
            let whole = self.take_events(&mut lines)?;
            if ended {
                return Ok(());
            }
            if whole {
                opened = true;
                stage.deadline.set(None);
                stage.completed.notify_waiters();
            }
            if whole || opened && !begun && !lines.bytes.is_empty() {
                due = ReadDeadline::for_line();
            }
            read_some(stream, &mut answers, due, stage).await?;
        }
    }

    /// Tells whether any came whole.
    fn take_events(&self, lines: &mut WatchReader) -> Result<bool, WatchError> {
        let mut any = false;
        while let Some(line) = lines.next_event()? {
            self.has_received.set(true);
            if let WatchEvent::List(list) = line {
                self.apply(list)?;
            }
            self.watch_has_received.set(true);
            any = true;
        }
        Ok(any)
    }

    /// Danger: an older version must not bring back stores that are gone.
    fn apply(&self, list: EndpointList) -> Result<(), WatchError> {
        if let Some(held) = self.known_version.get().filter(|held| list.version < *held) {
            return Err(WatchError::OlderVersion { held, told: list.version });
        }
        self.known_version.set(Some(list.version));
        self.has_received.set(true);
        for store in &list.stores {
            let (uid, shard, state) = (&store.uid, store.shard, store.state);
            tracing::debug!(version = list.version, uid, shard, ?state, started = ?store.started, "store listed");
        }
        self.event_loop.post(Input::EndpointList(list));
        Ok(())
    }
}

async fn send_request(
    stream: &mut (impl AsyncWrite + Unpin),
    target: &str,
    host: &str,
    due: ReadDeadline,
) -> Result<(), WatchError> {
    let bytes = client::request("GET", target, host, &[], b"");
    due.wait(stream.write_all(&bytes)).await?.map_err(WatchError::ConnectionLost)
}

async fn read_some(
    stream: &mut (impl AsyncRead + Unpin),
    answers: &mut ResponseReader,
    due: ReadDeadline,
    stage: &AttemptProgress,
) -> Result<(), WatchError> {
    answers.bytes.reserve(4096);
    match due.wait(stream.read_buf(&mut answers.bytes)).await? {
        Ok(0) => Err(WatchError::Ended),
        Ok(_) => {
            stage.is_receiving.set(true);
            Ok(())
        }
        Err(error) => Err(WatchError::ConnectionLost(error)),
    }
}

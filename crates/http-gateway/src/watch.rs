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
use crate::patience::{self, Failed, Failures};

#[cfg(test)]
mod tests;

#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("not reached: {0}")]
    Connect(io::Error),
    #[error("lost: {0}")]
    Lost(io::Error),
    #[error("ended")]
    Ended,
    #[error("silent")]
    Silent,
    #[error("answered {0}")]
    Status(u16),
    #[error(transparent)]
    Http(#[from] Malformed),
    #[error(transparent)]
    Unreadable(#[from] EndpointListError),
    #[error("version {told} came after {held}")]
    Older { held: u64, told: u64 },
}

impl Broken {
    fn how(&self, asked: bool) -> Failed {
        match self {
            Broken::Silent => Failed::Hung,
            Broken::Connect(_) | Broken::Lost(_) | Broken::Ended if !asked => Failed::Closed,
            _ => Failed::AtOnce,
        }
    }
}

/// Of failures, one after the other.
#[derive(Clone, Copy, Default)]
struct Rows {
    /// Nothing came.
    failed: Failures,
    /// No watch brought a thing. Danger: a list that can be had beside a watch that cannot would be asked for without end.
    unopened: Failures,
}

/// What all attempts share.
struct Watch {
    hub: Rc<EventLoop>,
    /// The version held, if the list held is known to be whole.
    held: Cell<Option<u64>>,
    /// Something came since the last failure.
    heard: Cell<bool>,
    /// A watch brought it.
    opened: Cell<bool>,
}

/// One connection to discovery, from the dial on.
struct Attempt<'a> {
    stage: Rc<Stage>,
    run: Pin<Box<dyn Future<Output = Broken> + 'a>>,
}

/// Where the list of stores is had from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    pub address: SocketAddr,
    /// Each watch has to be asked for by the module; else changes are pushed.
    pub asked: bool,
}

impl Source {
    pub fn of(config: &Config) -> Source {
        let asked = config.settings.get("discovery").is_some_and(|word| word == "asked");
        Source { address: config.discovery, asked }
    }
}

/// How far an attempt has come.
struct Stage {
    /// When its next answer has to be whole; once its watch is open, the watch itself sees to that.
    due: Cell<Option<Instant>>,
    /// Some of that answer has come.
    coming: Cell<bool>,
    /// Something of it was whole.
    told: Notify,
}

/// What an attempt has come to.
enum Came {
    Told,
    Late,
    Broken(Broken),
}

/// Follows the list at the address that holds at the time. Where it has to be asked for, the first watch begins when the
/// module asks, and so does the next after one that failed.
pub async fn follow<S: AsyncRead + AsyncWrite + Unpin>(
    dial: impl AsyncFn(SocketAddr) -> io::Result<S>,
    hub: Rc<EventLoop>,
    mut source: watch::Receiver<Source>,
    known: u64,
    seed: u64,
) {
    let own = Watch::new(hub.clone());
    tracing::debug!(known, "following the list");
    let (mut rows, mut draws, mut wanted) = (Rows::default(), 0u64, !source.borrow().asked);
    let (mut next, mut slow) = (None, None);
    loop {
        // Danger: the module that has asked does not ask again where the watch only moves, or begins with the whole list.
        if !std::mem::replace(&mut wanted, true) && next.is_none() {
            tokio::select! {
                asked = beside(&mut slow, hub.subscribe.notified()) => if asked.is_none() { next = slow.take() },
                // Danger: what is told at the new address counts soon, however long the module waits for the old one.
                _ = source.changed() => (rows, slow) = (Rows::default(), None),
            }
        }
        let Source { address: at, asked } = *source.borrow_and_update();
        let begun = Instant::now();
        let attempt = next.take().unwrap_or_else(|| own.attempt(&dial, at, rows.failed));
        let broken = tokio::select! {
            broken = until_broken(attempt, &mut slow) => broken,
            changed = source.changed() => match changed {
                Ok(()) => {
                    // Danger: what the old address had last is heard from the new one, as if it were new.
                    hub.post(Input::EndpointListFailed);
                    own.ended(rows);
                    (rows, slow) = (Rows::default(), None);
                    continue;
                }
                Err(_) => return,
            },
            () = hub.fetch.notified() => {
                own.held.set(None);
                (rows, slow) = (own.ended(rows), None);
                continue;
            }
        };
        tracing::warn!(discovery = %at, why = %broken, "list lost");
        if matches!(broken, Broken::Unreadable(_) | Broken::Older { .. } | Broken::Status(_)) {
            own.held.set(None);
        }
        hub.post(Input::EndpointListFailed);
        wanted = !asked;
        rows = own.failed(rows);
        draws += 1;
        let longest = rows.unopened.wait_after(begun.elapsed(), broken.how(asked));
        let wait = longest.mul_f64(0.5 + chance(seed, draws) / 2.0);
        tokio::select! {
            waited = beside(&mut slow, sleep(wait)) => if waited.is_none() { next = slow.take() },
            _ = source.changed() => (wanted, rows, slow) = (true, Rows::default(), None),
        }
    }
}

/// Waits while a slow attempt goes on; nothing, if that one tells something first.
async fn beside<T>(slow: &mut Option<Attempt<'_>>, done: impl Future<Output = T>) -> Option<T> {
    let mut done = pin!(done);
    while let Some(attempt) = slow {
        tokio::select! {
            biased;
            done = &mut done => return Some(done),
            came = attempt.broken_or_told() => match came {
                Came::Broken(_) => *slow = None,
                _ => return None,
            },
        }
    }
    Some(done.await)
}

/// Danger: what is heard by way of a list that trickles may come late by all its time. One that is late while it comes
/// goes on beside the next attempts; the first of them to tell something is the one that stays.
async fn until_broken<'a>(mut attempt: Attempt<'a>, slow: &mut Option<Attempt<'a>>) -> Broken {
    loop {
        match beside(slow, attempt.came()).await {
            None => attempt = slow.take().unwrap_or(attempt),
            Some(Came::Told) => *slow = None,
            Some(Came::Broken(broken)) => return broken,
            Some(Came::Late) => {
                if attempt.stage.coming.get() {
                    slow.get_or_insert(attempt);
                }
                return Broken::Silent;
            }
        }
    }
}

impl Attempt<'_> {
    async fn came(&mut self) -> Came {
        let stage = self.stage.clone();
        tokio::select! {
            biased; // What has come by the moment in which it is due is not late.
            came = self.broken_or_told() => came,
            () = stage.late() => Came::Late,
        }
    }

    async fn broken_or_told(&mut self) -> Came {
        tokio::select! {
            biased;
            broken = &mut self.run => Came::Broken(broken),
            () = self.stage.told.notified() => Came::Told,
        }
    }
}

impl Stage {
    fn new(failures: Failures) -> Stage {
        let stage = Stage { due: Cell::default(), coming: Cell::default(), told: Notify::new() };
        stage.next(failures);
        stage
    }

    fn next(&self, failures: Failures) {
        self.due.set(Some(Instant::now() + failures.still()));
        self.coming.set(false);
    }

    async fn late(&self) {
        while let Some(due) = self.due.get() {
            if due <= Instant::now() {
                return;
            }
            sleep_until(due).await;
        }
        pending().await
    }
}

fn chance(seed: u64, draws: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, "watch", draws).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Until when something, and all of it, has to come.
#[derive(Clone, Copy)]
struct Due {
    still: Duration,
    whole: Instant,
}

impl Due {
    fn first() -> Due {
        Due { still: patience::stillest(), whole: Instant::now() + patience::whole() }
    }

    /// Only a whole line counts, however many bytes of it come.
    fn line() -> Due {
        let silence = patience::silence();
        Due { still: silence, whole: Instant::now() + silence }
    }

    async fn wait<T>(self, done: impl Future<Output = io::Result<T>>) -> Result<io::Result<T>, Broken> {
        let until = self.whole.min(Instant::now() + self.still);
        timeout_at(until, done).await.map_err(|_| Broken::Silent)
    }
}

impl Watch {
    fn new(hub: Rc<EventLoop>) -> Watch {
        Watch { hub, held: Cell::default(), heard: Cell::default(), opened: Cell::default() }
    }

    /// What has come ends a row.
    fn ended(&self, rows: Rows) -> Rows {
        Rows {
            failed: if self.heard.take() { Failures::default() } else { rows.failed },
            unopened: if self.opened.take() { Failures::default() } else { rows.unopened },
        }
    }

    fn failed(&self, rows: Rows) -> Rows {
        let (heard, opened, rows) = (self.heard.get(), self.opened.get(), self.ended(rows));
        Rows {
            failed: if heard { rows.failed } else { rows.failed.one_more() },
            unopened: if opened { rows.unopened } else { rows.unopened.one_more() },
        }
    }

    fn attempt<'a, S: AsyncRead + AsyncWrite + Unpin + 'a>(
        &'a self,
        dial: &'a impl AsyncFn(SocketAddr) -> io::Result<S>,
        address: SocketAddr,
        failures: Failures,
    ) -> Attempt<'a> {
        let stage = Rc::new(Stage::new(failures));
        let own = stage.clone();
        let run = async move { self.watch(dial, address, &own).await.err().unwrap_or(Broken::Ended) };
        Attempt { stage, run: Box::pin(run) }
    }

    async fn watch<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        dial: &impl AsyncFn(SocketAddr) -> io::Result<S>,
        address: SocketAddr,
        stage: &Stage,
    ) -> Result<(), Broken> {
        let mut due = Due::first();
        let mut stream = due.wait(dial(address)).await?.map_err(Broken::Connect)?;
        let host = address.to_string();
        if self.held.get().is_none() {
            self.whole(&mut stream, &host, due, stage).await?;
            due = Due::first();
            stage.next(Failures::default());
            stage.told.notify_waiters();
        }
        self.changes(&mut stream, &host, due, stage).await
    }

    async fn whole<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        host: &str,
        due: Due,
        stage: &Stage,
    ) -> Result<(), Broken> {
        ask(stream, fields::ENDPOINT_LIST, host, due).await?;
        let mut answers =
            ResponseReader::new(Limits { body: self.hub.bounds().list, ..self.hub.bounds().http });
        let answer = loop {
            if let Some(answer) = answers.response()? {
                break answer;
            }
            read(stream, &mut answers, due, stage).await?;
        };
        if answer.head.status != 200 {
            return Err(Broken::Status(answer.head.status));
        }
        self.told(EndpointList::read(&answer.body)?)
    }

    async fn changes<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        host: &str,
        mut due: Due,
        stage: &Stage,
    ) -> Result<(), Broken> {
        ask(stream, &fields::watch(self.held.get().unwrap_or_default()), host, due).await?;
        let mut answers = ResponseReader::new(Limits { body: usize::MAX, ..self.hub.bounds().http });
        let (mut lines, mut opened) = (WatchReader::new(self.hub.bounds().list), false);
        loop {
            if let Some(head) = answers.head()?
                && head.status != 200
            {
                return Err(Broken::Status(head.status));
            }
            let begun = !lines.bytes.is_empty();
            let ended = answers.stream(&mut lines.bytes)?;
            let whole = self.lines(&mut lines)?;
            if ended {
                return Ok(());
            }
            if whole {
                opened = true;
                stage.due.set(None);
                stage.told.notify_waiters();
            }
            if whole || opened && !begun && !lines.bytes.is_empty() {
                due = Due::line();
            }
            read(stream, &mut answers, due, stage).await?;
        }
    }

    /// Tells whether any came whole.
    fn lines(&self, lines: &mut WatchReader) -> Result<bool, Broken> {
        let mut any = false;
        while let Some(line) = lines.next_event()? {
            self.heard.set(true);
            if let WatchEvent::List(list) = line {
                self.told(list)?;
            }
            self.opened.set(true);
            any = true;
        }
        Ok(any)
    }

    /// Danger: an older version must not bring back stores that are gone.
    fn told(&self, list: EndpointList) -> Result<(), Broken> {
        if let Some(held) = self.held.get().filter(|held| list.version < *held) {
            return Err(Broken::Older { held, told: list.version });
        }
        self.held.set(Some(list.version));
        self.heard.set(true);
        for store in &list.stores {
            let (uid, shard, state) = (&store.uid, store.shard, store.state);
            tracing::debug!(version = list.version, uid, shard, ?state, started = ?store.started, "store listed");
        }
        self.hub.post(Input::EndpointList(list));
        Ok(())
    }
}

async fn ask(
    stream: &mut (impl AsyncWrite + Unpin),
    target: &str,
    host: &str,
    due: Due,
) -> Result<(), Broken> {
    let bytes = client::request("GET", target, host, &[], b"");
    due.wait(stream.write_all(&bytes)).await?.map_err(Broken::Lost)
}

async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    answers: &mut ResponseReader,
    due: Due,
    stage: &Stage,
) -> Result<(), Broken> {
    answers.bytes.reserve(4096);
    match due.wait(stream.read_buf(&mut answers.bytes)).await? {
        Ok(0) => Err(Broken::Ended),
        Ok(_) => {
            stage.coming.set(true);
            Ok(())
        }
        Err(error) => Err(Broken::Lost(error)),
    }
}

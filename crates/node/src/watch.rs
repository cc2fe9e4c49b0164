//! Discovery: the whole list, then a watch of its changes, for as long as the gateway runs.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};
use umbertray_http::client::{self, Answers};
use umbertray_http::{Limits, Malformed};
use umbertray_platform::Input;
use umbertray_platform::list::{Line, Lines, List, Unreadable};
use umbertray_platform::words;

use crate::hub::Hub;
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
    Unreadable(#[from] Unreadable),
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

struct Watch {
    hub: Rc<Hub>,
    /// The version held, if the list held is known to be whole.
    held: Option<u64>,
    /// Something came since the last failure.
    heard: bool,
    /// A watch brought it.
    opened: bool,
}

/// Follows the list at the address that holds at the time. Where it has to be asked for, the first watch begins when the
/// module asks, and so does the next after one that failed.
pub async fn follow<S: AsyncRead + AsyncWrite + Unpin>(
    dial: impl AsyncFn(SocketAddr) -> io::Result<S>,
    hub: Rc<Hub>,
    mut address: watch::Receiver<SocketAddr>,
    known: u64,
    seed: u64,
    asked: bool,
) {
    let mut own = Watch { hub: hub.clone(), held: None, heard: false, opened: false };
    tracing::debug!(known, "following the list");
    let (mut rows, mut draws, mut wanted) = (Rows::default(), 0u64, !asked);
    loop {
        // Danger: the module that has asked does not ask again where the watch only moves, or begins with the whole list.
        if !std::mem::replace(&mut wanted, true) {
            tokio::select! {
                () = hub.subscribe.notified() => {}
                // Danger: what is told at the new address counts soon, however long the module waits for the old one.
                _ = address.changed() => rows = Rows::default(),
            }
        }
        let at = *address.borrow_and_update();
        let broken = tokio::select! {
            broken = own.watch(&dial, at, rows.failed) => broken,
            changed = address.changed() => match changed {
                Ok(()) => {
                    // Danger: what the old address had last is heard from the new one, as if it were new.
                    hub.post(Input::ListFailed);
                    (own.heard, own.opened, rows) = (false, false, Rows::default());
                    continue;
                }
                Err(_) => return,
            },
            () = hub.fetch.notified() => {
                own.held = None;
                rows = own.ended(rows);
                continue;
            }
        };
        tracing::warn!(discovery = %at, why = %broken, "list lost");
        if matches!(broken, Broken::Unreadable(_) | Broken::Older { .. } | Broken::Status(_)) {
            own.held = None;
        }
        hub.post(Input::ListFailed);
        wanted = !asked;
        rows = own.failed(rows);
        draws += 1;
        let wait = rows.unopened.wait(broken.how(asked)).mul_f64(0.5 + chance(seed, draws) / 2.0);
        tokio::select! {
            () = sleep(wait) => {}
            _ = address.changed() => (wanted, rows) = (true, Rows::default()),
        }
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
    fn first(failures: Failures) -> Due {
        Due { still: failures.still(), whole: Instant::now() + failures.whole() }
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
    /// What has come ends a row.
    fn ended(&mut self, rows: Rows) -> Rows {
        Rows {
            failed: if std::mem::take(&mut self.heard) { Failures::default() } else { rows.failed },
            unopened: if std::mem::take(&mut self.opened) { Failures::default() } else { rows.unopened },
        }
    }

    fn failed(&mut self, rows: Rows) -> Rows {
        let (heard, opened, rows) = (self.heard, self.opened, self.ended(rows));
        Rows {
            failed: if heard { rows.failed } else { rows.failed.one_more() },
            unopened: if opened { rows.unopened } else { rows.unopened.one_more() },
        }
    }

    async fn watch<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        dial: &impl AsyncFn(SocketAddr) -> io::Result<S>,
        address: SocketAddr,
        failures: Failures,
    ) -> Broken {
        match self.try_watch(dial, address, failures).await {
            Ok(()) => Broken::Ended,
            Err(broken) => broken,
        }
    }

    async fn try_watch<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        dial: &impl AsyncFn(SocketAddr) -> io::Result<S>,
        address: SocketAddr,
        failures: Failures,
    ) -> Result<(), Broken> {
        let mut due = Due::first(failures);
        let mut stream = due.wait(dial(address)).await?.map_err(Broken::Connect)?;
        let host = address.to_string();
        if self.held.is_none() {
            self.whole(&mut stream, &host, due).await?;
            due = Due::first(failures);
        }
        self.changes(&mut stream, &host, due).await
    }

    async fn whole<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        stream: &mut S,
        host: &str,
        due: Due,
    ) -> Result<(), Broken> {
        ask(stream, words::STORES, host, due).await?;
        let mut answers = Answers::new(Limits { body: self.hub.bounds.list, ..self.hub.bounds.http });
        let answer = loop {
            if let Some(answer) = answers.answer()? {
                break answer;
            }
            read(stream, &mut answers, due).await?;
        };
        if answer.head.status != 200 {
            return Err(Broken::Status(answer.head.status));
        }
        self.told(List::read(&answer.body)?)
    }

    async fn changes<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        stream: &mut S,
        host: &str,
        mut due: Due,
    ) -> Result<(), Broken> {
        ask(stream, &words::watch(self.held.unwrap_or_default()), host, due).await?;
        let mut answers = Answers::new(Limits { body: usize::MAX, ..self.hub.bounds.http });
        let (mut lines, mut opened) = (Lines::new(self.hub.bounds.list), false);
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
            opened |= whole;
            if whole || opened && !begun && !lines.bytes.is_empty() {
                due = Due::line();
            }
            read(stream, &mut answers, due).await?;
        }
    }

    /// Tells whether any came whole.
    fn lines(&mut self, lines: &mut Lines) -> Result<bool, Broken> {
        let mut any = false;
        while let Some(line) = lines.line()? {
            (self.heard, any) = (true, true);
            if let Line::List(list) = line {
                self.told(list)?;
            }
            self.opened = true;
        }
        Ok(any)
    }

    /// Danger: an older version must not bring back stores that are gone.
    fn told(&mut self, list: List) -> Result<(), Broken> {
        if let Some(held) = self.held.filter(|held| list.version < *held) {
            return Err(Broken::Older { held, told: list.version });
        }
        (self.held, self.heard) = (Some(list.version), true);
        for store in &list.stores {
            let (uid, shard, state) = (&store.uid, store.shard, store.state);
            tracing::debug!(version = list.version, uid, shard, ?state, started = ?store.started, "store listed");
        }
        self.hub.post(Input::List(list));
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

async fn read(stream: &mut (impl AsyncRead + Unpin), answers: &mut Answers, due: Due) -> Result<(), Broken> {
    answers.bytes.reserve(4096);
    match due.wait(stream.read_buf(&mut answers.bytes)).await? {
        Ok(0) => Err(Broken::Ended),
        Ok(_) => Ok(()),
        Err(error) => Err(Broken::Lost(error)),
    }
}

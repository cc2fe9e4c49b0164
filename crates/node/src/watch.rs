//! Discovery: the whole list, then a watch of its changes, for as long as the gateway runs.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use umbertray_http::client::{self, Answers};
use umbertray_http::{Limits, Malformed};
use umbertray_platform::Input;
use umbertray_platform::list::{Line, Lines, List, Unreadable};
use umbertray_platform::words;

use crate::hub::Hub;

/// Signs of life that may be missing before a watch is taken for broken.
const MISSING: f64 = 1.5;
/// The wait before the first try again, and at most, against the time between signs of life.
const FIRST_WAIT: f64 = 0.05;
const LONGEST_WAIT: f64 = 0.5;

#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("not reached: {0}")]
    Connect(std::io::Error),
    #[error("lost: {0}")]
    Lost(std::io::Error),
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

struct Watch {
    hub: Rc<Hub>,
    /// The version held, if the list held is known to be whole.
    held: Option<u64>,
    /// Something came since the last failure.
    heard: bool,
}

/// Follows the list at the address that holds at the time. Where it has to be asked for, the first watch begins when the
/// module asks, and so does the next after one that failed.
pub async fn follow(
    hub: Rc<Hub>,
    mut address: watch::Receiver<SocketAddr>,
    known: u64,
    seed: u64,
    asked: bool,
) {
    let mut own = Watch { hub: hub.clone(), held: None, heard: false };
    tracing::debug!(known, "following the list");
    let (mut failures, mut draws, mut wanted) = (0u32, 0u64, !asked);
    loop {
        // Danger: the module that has asked does not ask again where the watch only moves, or begins with the whole list.
        if !std::mem::replace(&mut wanted, true) {
            hub.subscribe.notified().await;
        }
        let at = *address.borrow_and_update();
        let broken = tokio::select! {
            broken = own.watch(at) => broken,
            changed = address.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            () = hub.fetch.notified() => {
                own.held = None;
                continue;
            }
        };
        tracing::warn!(discovery = %at, why = %broken, "list lost");
        if matches!(broken, Broken::Unreadable(_) | Broken::Older { .. } | Broken::Status(_)) {
            own.held = None;
        }
        hub.post(Input::ListFailed);
        wanted = !asked;
        failures = if std::mem::take(&mut own.heard) { 0 } else { (failures + 1).min(8) };
        draws += 1;
        let wait = (FIRST_WAIT * f64::from(1 << failures)).min(LONGEST_WAIT);
        let wait = words::SIGN_OF_LIFE.mul_f64(wait * (0.5 + chance(seed, draws) / 2.0));
        tokio::select! {
            () = sleep(wait) => {}
            _ = address.changed() => {}
        }
    }
}

fn chance(seed: u64, draws: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, "watch", draws).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

impl Watch {
    async fn watch(&mut self, address: SocketAddr) -> Broken {
        match self.try_watch(address).await {
            Ok(()) => Broken::Ended,
            Err(broken) => broken,
        }
    }

    async fn try_watch(&mut self, address: SocketAddr) -> Result<(), Broken> {
        let patience = words::SIGN_OF_LIFE.mul_f64(MISSING);
        let connected = timeout(patience, TcpStream::connect(address)).await.map_err(|_| Broken::Silent)?;
        let mut stream = connected.map_err(Broken::Connect)?;
        let host = address.to_string();
        let limits = Limits { body: usize::MAX, ..self.hub.bounds.http };
        if self.held.is_none() {
            ask(&mut stream, words::STORES, &host).await?;
            let mut answers = Answers::new(Limits { body: self.hub.bounds.list, ..limits });
            let answer = loop {
                if let Some(answer) = answers.answer()? {
                    break answer;
                }
                read(&mut stream, &mut answers, patience).await?;
            };
            if answer.head.status != 200 {
                return Err(Broken::Status(answer.head.status));
            }
            self.told(List::read(&answer.body)?)?;
        }
        ask(&mut stream, &words::watch(self.held.unwrap_or_default()), &host).await?;
        let (mut answers, mut lines) = (Answers::new(limits), Lines::new(self.hub.bounds.list));
        loop {
            if let Some(head) = answers.head()?
                && head.status != 200
            {
                return Err(Broken::Status(head.status));
            }
            let ended = answers.stream(&mut lines.bytes)?;
            while let Some(line) = lines.line()? {
                self.heard = true;
                if let Line::List(list) = line {
                    self.told(list)?;
                }
            }
            if ended {
                return Ok(());
            }
            read(&mut stream, &mut answers, patience).await?;
        }
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

async fn ask(stream: &mut TcpStream, target: &str, host: &str) -> Result<(), Broken> {
    let bytes = client::request("GET", target, host, &[], b"");
    stream.write_all(&bytes).await.map_err(Broken::Lost)
}

async fn read(stream: &mut TcpStream, answers: &mut Answers, patience: Duration) -> Result<(), Broken> {
    answers.bytes.reserve(4096);
    match timeout(patience, stream.read_buf(&mut answers.bytes)).await {
        Ok(Ok(0)) => Err(Broken::Ended),
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(Broken::Lost(error)),
        Err(_) => Err(Broken::Silent),
    }
}

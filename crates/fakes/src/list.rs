//! The list of stores and the directory of extents, as one scripted service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, mpsc};
use tokio::task::JoinHandle;
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, Location, ToList};
use umbertray_store_protocol::{Message, next_frame};

use crate::traffic::Traffic;

/// One store as the list has it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Where the store listens.
    pub address: SocketAddr,
    /// Shard that it serves.
    pub shard: u32,
    /// Zone that it runs in.
    pub zone: u32,
    /// Its published state.
    pub state: EndpointState,
    /// Incarnation: how often its process has started.
    pub start: u64,
    /// Absent: long ago.
    pub started: Option<Instant>,
}

#[derive(Default)]
struct Known {
    stores: BTreeMap<u64, Listed>,
    places: HashMap<(u64, u64), u32>,
    shards: HashMap<u64, BTreeSet<u32>>,
    /// Calls are turned away.
    failing: bool,
    /// Answers wait for so long.
    delay: Duration,
}

/// The service at work; dropping it ends it.
pub struct Running {
    /// Where the service listens.
    pub address: SocketAddr,
    /// Of all its connections.
    pub traffic: Arc<Traffic>,
    known: Arc<Mutex<Known>>,
    changes: broadcast::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts the service on `address`.
///
/// # Errors
/// Fails when the address can not be bound.
pub async fn start(address: SocketAddr) -> io::Result<Running> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (changes, _) = broadcast::channel(1024);
    let known: Arc<Mutex<Known>> = Arc::default();
    let (shared, sender) = (known.clone(), changes.clone());
    let traffic: Arc<Traffic> = Arc::default();
    let counted = traffic.clone();
    let task = tokio::spawn(async move {
        let mut links = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            links.spawn(serve(stream, shared.clone(), sender.subscribe(), counted.clone()));
        }
    });
    Ok(Running { address, traffic, known, changes, task })
}

impl Running {
    fn with<T>(&self, change: impl FnOnce(&mut Known) -> T) -> T {
        change(&mut self.known.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Lists a store, or lists it anew, and tells all who watch.
    pub fn list(&self, store: u64, listed: Listed) {
        self.with(|known| known.stores.insert(store, listed));
        _ = self.changes.send(store);
    }

    /// Changes the published state of a store and notifies all watchers.
    pub fn state(&self, store: u64, state: EndpointState) {
        self.with(|known| known.stores.get_mut(&store).map(|listed| listed.state = state));
        _ = self.changes.send(store);
    }

    /// The store's process has started again, just now.
    pub fn restarted(&self, store: u64, address: SocketAddr) {
        self.with(|known| {
            known.stores.get_mut(&store).map(|listed| {
                listed.start += 1;
                (listed.started, listed.address) = (Some(Instant::now()), address);
                listed.state = EndpointState::Ready;
            })
        });
        _ = self.changes.send(store);
    }

    /// Sets whether all calls are answered with a failure.
    pub fn fail(&self, failing: bool) {
        self.with(|known| known.failing = failing);
    }

    /// Sets by how much each answer is delayed.
    pub fn delay(&self, delay: Duration) {
        self.with(|known| known.delay = delay);
    }

    /// How many extents have a place.
    pub fn places(&self) -> usize {
        self.with(|known| known.places.len())
    }

    /// Where an extent lies.
    pub fn place(&self, volume: u64, extent: u64) -> Option<u32> {
        self.with(|known| known.places.get(&(volume, extent)).copied())
    }
}

fn entry(store: u64, listed: &Listed) -> ListedStore {
    ListedStore {
        store,
        address: listed.address,
        shard: listed.shard,
        zone: listed.zone,
        state: listed.state,
        incarnation: listed.start,
        age: listed.started.map(|at| at.elapsed().as_micros() as u64),
    }
}

fn at(shard: u32) -> Location {
    Location { shard, epoch: 0 }
}

impl Known {
    fn full(&self) -> FromList {
        FromList::Full(self.stores.iter().map(|(store, listed)| entry(*store, listed)).collect())
    }

    fn answer(&mut self, message: &ToList) -> Option<FromList> {
        Some(match *message {
            ToList::Hello { .. } => FromList::Welcome { term: 0 },
            _ if self.failing => FromList::Failed,
            ToList::Watch | ToList::Fetch => self.full(),
            ToList::Lookup { token, volume, extent, .. } => FromList::Location {
                token,
                place: self.places.get(&(volume, extent)).map(|shard| at(*shard)),
            },
            ToList::Claim { token, volume, extent, shard } => {
                // The first claim wins, for ever.
                let shard = *self.places.entry((volume, extent)).or_insert(shard);
                self.shards.entry(volume).or_default().insert(shard);
                FromList::Location { token, place: Some(at(shard)) }
            }
            ToList::Shards { token, volume } => {
                let shards = self.shards.get(&volume).into_iter().flatten().copied().collect();
                FromList::Shards { token, shards }
            }
            // It has no map that could change.
            ToList::Move { .. } | ToList::MoveStatus { .. } => FromList::Failed,
        })
    }
}

async fn serve(
    stream: TcpStream,
    known: Arc<Mutex<Known>>,
    mut changes: broadcast::Receiver<u64>,
    traffic: Arc<Traffic>,
) {
    _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    // Each answer and when it is due: a late list is late with each, not with one after another.
    let (to_client, mut answers) = mpsc::unbounded_channel::<(Instant, FromList)>();
    let counted = traffic.clone();
    let writing = async move {
        while let Some((due, answer)) = answers.recv().await {
            tokio::time::sleep_until(due.into()).await;
            let frame = answer.frame();
            if writer.write_all(&frame).await.is_err() {
                return;
            }
            counted.wrote(frame.len(), 1);
        }
    };
    tokio::select! {
        () = writing => {}
        () = hear(&mut reader, &known, &mut changes, &to_client, &traffic) => {}
    }
}

async fn hear(
    reader: &mut OwnedReadHalf,
    known: &Mutex<Known>,
    changes: &mut broadcast::Receiver<u64>,
    to_client: &mpsc::UnboundedSender<(Instant, FromList)>,
    traffic: &Traffic,
) {
    let mut input = BytesMut::new();
    let mut watching = false;
    let lock = || known.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    loop {
        tokio::select! {
            read = reader.read_buf(&mut input) => {
                let Some(count) = read.ok().filter(|count| *count > 0) else { return };
                traffic.read(count);
                while let Ok(Some(message)) = next_frame::<ToList>(&mut input) {
                    watching |= message == ToList::Watch;
                    let mut known = lock();
                    let due = Instant::now() + known.delay;
                    known.answer(&message).into_iter().for_each(|answer| _ = to_client.send((due, answer)));
                }
            }
            changed = changes.recv(), if watching => {
                let answer = match changed {
                    Ok(store) => lock().stores.get(&store).map(|listed| FromList::Changes(vec![entry(store, listed)])),
                    // Too far behind: the whole list says it all.
                    Err(broadcast::error::RecvError::Lagged(_)) => Some(lock().full()),
                    Err(broadcast::error::RecvError::Closed) => return,
                };
                let due = Instant::now() + lock().delay;
                answer.into_iter().for_each(|answer| _ = to_client.send((due, answer)));
            }
        }
    }
}

//! The list of stores, and links to the stores that orders go to.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use umbertray_control_plane::Input;
use umbertray_socket::Socket;
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, ToList};
use umbertray_store_protocol::orders::{Order, OrderReply};
use umbertray_store_protocol::store::{FromStore, ToStore};
use umbertray_store_protocol::{Message, next_frame};

use crate::event_loop::LoopEvent;

/// The list is asked again after so long where it cannot be had.
const AGAIN: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_secs(1);
/// An order without an answer by then is given up, and its link with it: what is still on it must not be waited for.
const ANSWER: Duration = Duration::from_secs(2);

/// Who serves which shard.
#[derive(Default)]
pub struct Stores {
    entries: BTreeMap<u64, ListedStore>,
}

impl Stores {
    pub fn listed(&mut self, entries: Vec<ListedStore>, whole: bool) {
        if whole {
            self.entries.clear();
        }
        self.entries.extend(entries.into_iter().map(|entry| (entry.store, entry)));
        self.entries.retain(|_, entry| entry.state != EndpointState::Gone);
    }

    pub fn has(&self, store: u64) -> bool {
        self.entries.contains_key(&store)
    }

    pub fn shards(&self) -> BTreeSet<u32> {
        self.entries.values().map(|entry| entry.shard).collect()
    }

    /// The store that has served a shard longest, of those that do not drain if there are any.
    pub fn of_shard(&self, shard: u32) -> Option<&ListedStore> {
        let there = self.entries.values().filter(|entry| entry.shard == shard);
        there.min_by_key(|entry| {
            (entry.state == EndpointState::Draining, std::cmp::Reverse(entry.age.unwrap_or(u64::MAX)))
        })
    }
}

/// Follows the list for as long as the coordinator runs.
pub async fn follow(list: SocketAddr, to_hub: mpsc::UnboundedSender<LoopEvent>) {
    loop {
        let ended = watch(list, &to_hub).await;
        let why = ended.err().map_or("closed".into(), |error| error.to_string());
        tracing::warn!(%list, why, "list lost");
        tokio::time::sleep(AGAIN).await;
    }
}

async fn watch(list: SocketAddr, to_hub: &mpsc::UnboundedSender<LoopEvent>) -> io::Result<()> {
    let mut stream = connect(list, &ToList::Hello { run: 0 }).await?;
    stream.write_all(&ToList::Watch.frame()).await?;
    let mut input = BytesMut::new();
    loop {
        while let Some(message) = next_frame::<FromList>(&mut input).map_err(io::Error::other)? {
            let listed = match message {
                FromList::Full(entries) => LoopEvent::Listed { entries, whole: true },
                FromList::Changes(entries) => LoopEvent::Listed { entries, whole: false },
                FromList::Failed => return Err(io::Error::other("the list turned the call away")),
                _ => continue,
            };
            _ = to_hub.send(listed);
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

/// One order on its way.
pub struct Sent {
    pub token: u64,
    pub term: u64,
    pub number: u64,
    pub order: Order,
}

/// A store's link: it takes orders one after the other, on a new connection after one that was not answered, and ends when
/// nobody gives any.
pub async fn link(
    address: SocketAddr,
    run: u64,
    mut orders: mpsc::UnboundedReceiver<Sent>,
    to_hub: mpsc::UnboundedSender<LoopEvent>,
) {
    let mut open: Option<(Socket, BytesMut)> = None;
    while let Some(Sent { token, term, number, order }) = orders.recv().await {
        let asked = async {
            let (stream, input) = match &mut open {
                Some(open) => open,
                None => open.insert((connect(address, &ToStore::Hello { run }).await?, BytesMut::new())),
            };
            stream.write_all(&ToStore::Order { token, term, number, order }.frame()).await?;
            answer(stream, input, token).await
        };
        let answered = tokio::time::timeout(ANSWER, asked).await;
        let answered = answered.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let reply = match answered {
            Ok(reply) => Some(reply),
            Err(error) => {
                tracing::info!(%address, %error, "order not answered");
                open = None;
                None
            }
        };
        if to_hub.send(LoopEvent::Input(Input::OrderFinished { token, reply })).is_err() {
            return;
        }
    }
}

async fn connect(address: SocketAddr, hello: &impl Message) -> io::Result<Socket> {
    let connected = tokio::time::timeout(CONNECT, Socket::connect(address)).await;
    let mut stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    stream.write_all(&hello.frame()).await?;
    Ok(stream)
}

async fn answer(stream: &mut Socket, input: &mut BytesMut, token: u64) -> io::Result<OrderReply> {
    loop {
        while let Some(message) = next_frame::<FromStore>(input).map_err(io::Error::other)? {
            if let FromStore::OrderReply { token: answered, reply } = message
                && answered == token
            {
                return Ok(reply);
            }
        }
        if stream.read_buf(input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

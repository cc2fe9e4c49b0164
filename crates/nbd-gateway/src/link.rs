//! A connection to a store. What is written never waits for what is read, nor the other way round.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use umbertray_routing::{BufferGuard, Input, StoreId};
use umbertray_store_protocol::store::{FromStore, ToStore};
use umbertray_store_protocol::{Message, next_frame};

use crate::event_loop::LoopEvent;
use umbertray_clock::Clock;
use umbertray_socket::{ReadHalf, Socket, WriteHalf};

/// A link silent for so long asks for a sign of life: it finds a half-open connection, and a fresh reading of the store's
/// clock keeps the fence in time sharp.
const SILENT: Duration = Duration::from_secs(5);
/// What is read at a time at least.
const READ: usize = 64 * 1024;

pub struct Link {
    pub store: StoreId,
    pub generation: u64,
    pub run: u64,
    pub connect_timeout: Duration,
    pub clock: Clock,
    pub to_hub: mpsc::UnboundedSender<LoopEvent>,
}

type FromHub = mpsc::UnboundedReceiver<(ToStore, Option<BufferGuard>)>;

impl Link {
    pub async fn run(self, address: SocketAddr, from_hub: FromHub) {
        let store = self.store;
        let opened = tokio::time::timeout(self.connect_timeout, self.open(address)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let (stream, input, linked) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                tracing::info!(%address, %error, "store not linked");
                return self.say(Input::StoreUnreachable { store });
            }
        };
        tracing::info!(%address, "store linked");
        self.say(linked);
        let (reader, writer) = stream.into_split();
        let ended = tokio::select! {
            ended = self.read(reader, input) => ended,
            ended = write(writer, from_hub) => ended,
        };
        let why = ended.err().map_or("closed".into(), |error| error.to_string());
        tracing::info!(%address, why, "store unlinked");
        self.say(Input::StoreDisconnected { store });
    }

    fn say(&self, input: Input) {
        _ = self.to_hub.send(LoopEvent::Link(self.store, self.generation, input));
    }

    async fn open(&self, address: SocketAddr) -> io::Result<(Socket, BytesMut, Input)> {
        let mut stream = Socket::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(&ToStore::Hello { run: self.run }.frame()).await?;
        let mut input = BytesMut::new();
        loop {
            match next_frame(&mut input).map_err(io::Error::other)? {
                Some(FromStore::Welcome { store: lasting, shard, clock }) => {
                    let linked = Input::StoreConnected { store: self.store, lasting, shard, clock };
                    return Ok((stream, input, linked));
                }
                Some(_) => return Err(io::Error::other("the store's first frame is not its welcome")),
                None if stream.read_buf(&mut input).await? == 0 => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                None => {}
            }
        }
    }

    async fn read(&self, mut reader: ReadHalf, mut input: BytesMut) -> io::Result<()> {
        loop {
            let at = self.clock.now();
            while let Some(message) = next_frame(&mut input).map_err(io::Error::other)? {
                self.say(Input::FromStore { store: self.store, message, at });
            }
            input.reserve(READ);
            // Three signs of life may be missed.
            match tokio::time::timeout(SILENT * 3, reader.read_buf(&mut input)).await {
                Ok(Ok(0)) => return Ok(()),
                Ok(read) => _ = read?,
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}

async fn write(mut writer: WriteHalf, mut from_hub: FromHub) -> io::Result<()> {
    let (mut messages, mut holds) = (Vec::new(), Vec::new());
    loop {
        tokio::select! {
            count = from_hub.recv_many(&mut messages, 64) => if count == 0 {
                return Ok(());
            },
            () = tokio::time::sleep(SILENT) => messages.push((ToStore::HealthCheck { token: 0 }, None)),
        }
        let (mut head, mut queue) = (BytesMut::new(), VecDeque::new());
        for (message, hold) in messages.drain(..) {
            message.put(&mut head);
            if let Some(data) = message.payload().filter(|data| !data.is_empty()) {
                queue.push_back(head.split().freeze());
                queue.push_back(data.clone());
            }
            holds.push(hold);
        }
        queue.push_back(head.freeze());
        while !queue.is_empty() {
            let slices: Vec<io::IoSlice> =
                queue.iter().take(64).map(|bytes| io::IoSlice::new(bytes)).collect();
            let written = writer.write_vectored(&slices).await?;
            consume(&mut queue, written);
        }
        holds.clear();
    }
}

/// Takes so many bytes off the queue's front, and empty ones after them.
pub fn consume(queue: &mut VecDeque<Bytes>, mut written: usize) {
    while let Some(front) = queue.front_mut() {
        if front.len() > written {
            _ = front.split_to(written);
            return;
        }
        written -= front.len();
        queue.pop_front();
    }
}

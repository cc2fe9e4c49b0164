//! The loop that hosts the core: one task, which alone touches it, its log and its lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use umbertray_clock::Clock;
use umbertray_control_plane::{ConnectionId, Coordinator, Input, Output, Record};
use umbertray_store_protocol::list::{FromList, ListedStore};

use crate::CoordinatorError;
use crate::lease::Lease;
use crate::log::Log;
use crate::stores::{self, Sent, Stores};

pub enum LoopEvent {
    Opened(ConnectionId, mpsc::Sender<FromList>),
    Closed(ConnectionId),
    Input(Input),
    Listed { entries: Vec<ListedStore>, whole: bool },
}

/// So many messages are taken at a time: what they log is synced once.
const TURN: usize = 256;

struct Link {
    address: SocketAddr,
    orders: mpsc::UnboundedSender<Sent>,
}

pub struct EventLoop {
    core: Coordinator,
    log: Log,
    lease: Lease,
    clock: Clock,
    run: u64,
    to_hub: mpsc::UnboundedSender<LoopEvent>,
    peers: HashMap<ConnectionId, mpsc::Sender<FromList>>,
    stores: Stores,
    links: HashMap<u64, Link>,
    wake: Option<Duration>,
}

impl EventLoop {
    pub fn new(
        core: Coordinator,
        log: Log,
        lease: Lease,
        to_hub: mpsc::UnboundedSender<LoopEvent>,
    ) -> EventLoop {
        let clock = Clock::start();
        let run = clock.now().as_nanos() as u64;
        let (peers, links, stores) = (HashMap::new(), HashMap::new(), Stores::default());
        EventLoop { core, log, lease, clock, run, to_hub, peers, stores, links, wake: None }
    }

    pub async fn run(
        mut self,
        first: Vec<Output>,
        mut from_all: mpsc::UnboundedReceiver<LoopEvent>,
    ) -> Result<(), CoordinatorError> {
        self.act(first)?;
        let mut messages = Vec::with_capacity(TURN);
        loop {
            let renew = tokio::time::sleep(self.lease.renew_in());
            let wake = self.wake.map_or(Duration::MAX, |at| at.saturating_sub(self.clock.now()));
            tokio::select! {
                biased;
                () = renew => self.renewed()?,
                count = from_all.recv_many(&mut messages, TURN) => {
                    if count == 0 {
                        return Ok(());
                    }
                    let inputs = messages.drain(..).filter_map(|message| self.heard(message)).collect();
                    self.turn(inputs)?;
                }
                () = tokio::time::sleep(wake), if self.wake.is_some() => self.turn(vec![Input::TimerExpired])?,
            }
        }
    }

    /// Danger: a lease that has run out may be another's by now. Renewed over it, both would speak.
    fn renewed(&mut self) -> Result<(), CoordinatorError> {
        if !self.lease.holds() || self.lease.lost() {
            return Err(CoordinatorError::TakenOver);
        }
        if let Err(error) = self.lease.renew() {
            tracing::error!(%error, "the lease cannot be renewed");
            return Err(CoordinatorError::TakenOver);
        }
        Ok(())
    }

    fn heard(&mut self, message: LoopEvent) -> Option<Input> {
        match message {
            LoopEvent::Opened(link, peer) => {
                self.peers.insert(link, peer);
                None
            }
            LoopEvent::Closed(link) => {
                self.peers.remove(&link);
                Some(Input::Closed(link))
            }
            LoopEvent::Input(input) => Some(input),
            LoopEvent::Listed { entries, whole } => {
                self.stores.listed(entries, whole);
                // Its link ends once what was given is answered.
                self.links.retain(|store, _| self.stores.has(*store));
                Some(Input::Shards(self.stores.shards()))
            }
        }
    }

    fn turn(&mut self, inputs: Vec<Input>) -> Result<(), CoordinatorError> {
        let outputs = self.core.handle(self.clock.now(), inputs);
        self.act(outputs)
    }

    /// In order: what was logged is safe, and this coordinator surely the one at work when it was, before any of it is said.
    fn act(&mut self, outputs: Vec<Output>) -> Result<(), CoordinatorError> {
        self.wake = None;
        for output in outputs {
            match output {
                Output::Log(records) => self.log(&records)?,
                Output::SetTimer(at) => self.wake = Some(at),
                Output::Superseded { term } => {
                    return Err(CoordinatorError::Superseded { ours: self.core.state().term, theirs: term });
                }
                Output::Send { connection: link, message } => {
                    self.sure()?;
                    // A peer that reads nothing loses its connection, and asks again on the next.
                    if self.peers.get(&link).is_some_and(|peer| peer.try_send(message).is_err()) {
                        self.peers.remove(&link);
                    }
                }
                Output::Order { token, shard, term, number, order } => {
                    self.sure()?;
                    self.order(shard, Sent { token, term, number, order });
                }
            }
        }
        Ok(())
    }

    fn log(&mut self, records: &[Record]) -> Result<(), CoordinatorError> {
        let written = tokio::task::block_in_place(|| self.log.append(records, self.core.state()));
        written.map_err(|error| {
            tracing::error!(%error, "the log cannot be written; nothing that depends on it is said");
            crate::disk(self.lease.folder())(error)
        })
    }

    fn sure(&self) -> Result<(), CoordinatorError> {
        if self.lease.holds() { Ok(()) } else { Err(CoordinatorError::TakenOver) }
    }

    fn order(&mut self, shard: u32, sent: Sent) {
        tracing::debug!(shard, number = sent.number, order = sent.order.name(), "order");
        let token = sent.token;
        let given = self.link(shard).is_some_and(|orders| orders.send(sent).is_ok());
        if !given {
            _ = self.to_hub.send(LoopEvent::Input(Input::OrderFinished { token, reply: None }));
        }
    }

    /// The link to the store that serves a shard.
    fn link(&mut self, shard: u32) -> Option<mpsc::UnboundedSender<Sent>> {
        let entry = self.stores.of_shard(shard)?;
        let (store, address) = (entry.store, entry.address);
        if let Some(link) = self.links.get(&store).filter(|link| link.address == address) {
            return Some(link.orders.clone());
        }
        let (orders, from_hub) = mpsc::unbounded_channel();
        tokio::spawn(stores::link(address, self.run, from_hub, self.to_hub.clone()));
        self.links.insert(store, Link { address, orders: orders.clone() });
        Some(orders)
    }
}

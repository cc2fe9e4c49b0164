//! What goes into the coordinator and comes out of it.

use std::collections::BTreeSet;
use std::time::Duration;

use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::orders::{Order, OrderReply};

use crate::state::Record;

/// A connection of a peer. An id is never used twice in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What has happened, as the coordinator's owner tells it.
#[derive(Clone, Debug)]
pub enum Input {
    /// A peer sent a request.
    Request {
        /// The connection it came over, which the answer goes to.
        connection: ConnectionId,
        /// The request.
        message: ToList,
    },
    /// A peer's connection has ended.
    Closed(ConnectionId),
    /// The shards that have a store, also one that is draining.
    Shards(BTreeSet<u32>),
    /// An order was answered, or has failed.
    OrderFinished {
        /// The token of [`Output::Order`].
        token: u64,
        /// The store's reply; none where it was not reached, or its answer was lost or late.
        reply: Option<OrderReply>,
    },
    /// The time of [`Output::SetTimer`] has come.
    TimerExpired,
}

/// What the coordinator's owner has to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Append records to the log.
    ///
    /// Hazard: they have to be durable before anything that follows is done.
    Log(Vec<Record>),
    /// Send a message to a peer.
    Send {
        /// The connection to it.
        connection: ConnectionId,
        /// The message.
        message: FromList,
    },
    /// Send an order to the store that serves a shard; the answer is [`Input::OrderFinished`].
    Order {
        /// Identifies the order in this run.
        token: u64,
        /// The shard.
        shard: u32,
        /// The term of this run.
        term: u64,
        /// The move that the order is part of.
        number: u64,
        /// The order.
        order: Order,
    },
    /// Send [`Input::TimerExpired`] at this time; it replaces an earlier timer.
    SetTimer(Duration),
    /// A later run of the coordinator is at work: this one has to end, and gives out nothing more.
    Superseded {
        /// The term of the later run.
        term: u64,
    },
}

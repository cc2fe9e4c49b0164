//! Inputs and outputs of the coordinator.

use std::collections::BTreeSet;
use std::time::Duration;

use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::orders::{Order, OrderReply};

use crate::state::Record;

/// Identifies a connection of a peer. An id is not reused within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An event that the coordinator's owner reports.
#[derive(Clone, Debug)]
pub enum Input {
    /// A peer sent a request.
    Request {
        /// The connection that the request came over; the response is sent to it.
        connection: ConnectionId,
        /// The request.
        message: ToList,
    },
    /// A peer's connection has ended.
    Closed(ConnectionId),
    /// The shards that have a store, including stores that are draining.
    Shards(BTreeSet<u32>),
    /// An order was answered, or has failed.
    OrderFinished {
        /// The token of [`Output::Order`].
        token: u64,
        /// The store's reply; `None` if the store was not reached, or its reply was lost or late.
        reply: Option<OrderReply>,
    },
    /// The time of [`Output::SetTimer`] was reached.
    TimerExpired,
}

/// An action that the coordinator's owner has to perform, in the order given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Append records to the log.
    ///
    /// Hazard: the records have to be durable before any later output is performed.
    Log(Vec<Record>),
    /// Send a message to a peer.
    Send {
        /// The connection to it.
        connection: ConnectionId,
        /// The message.
        message: FromList,
    },
    /// Send an order to the store that serves a shard; the result is reported by [`Input::OrderFinished`].
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
    /// Pass [`Input::TimerExpired`] in at this time. This timer replaces an earlier one.
    SetTimer(Duration),
    /// A later run of the coordinator is active: this run has to terminate, and returns no further outputs.
    Superseded {
        /// The term of the later run.
        term: u64,
    },
}

//! The parts of a world: orders, ops, remaining faults, and events.

use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::Order;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SentOrder {
    pub token: u64,
    pub shard: u32,
    pub term: u64,
    pub number: u64,
    pub order: Order,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Stage {
    Unsent,
    InTransit(Location),
    Queued(Location),
    /// The store's response is in transit: the epoch of the store if the op was rejected as stale, `None` if
    /// it has run.
    Answered {
        stale: Option<u64>,
    },
    /// The gateway waits for the coordinator's response to a lookup.
    LookingUp {
        min_epoch: u64,
    },
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Op {
    pub gateway: usize,
    pub stage: Stage,
}

/// The faults that may still occur in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Faults {
    pub loss: bool,
    pub duplication: bool,
    pub coordinator: bool,
    pub store: bool,
    pub abandon: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Coordinator(CoordinatorEvent, Option<usize>),
    CoordinatorCrash,
    DeliverOrder { duplicated: bool },
    DeliverLateOrder(usize),
    DeliverFormerOrder(usize),
    RunOp { op: usize, duplicated: bool },
    RunLateOp(usize),
    Acked(usize),
    TimedOut(usize),
    Read { gateway: usize },
    StoreCrash(u32),
}

/// An event that the coordinator handles. A crash may follow after some of its outputs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CoordinatorEvent {
    Reply(usize),
    ReplyLost(usize),
    OrderLost,
    TimerExpired,
    Abandon,
    Lookup(usize),
}

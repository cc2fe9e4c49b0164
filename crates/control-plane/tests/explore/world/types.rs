//! The parts of a world: orders, ops, faults that may still come, and events.

use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::Order;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Sent {
    pub token: u64,
    pub shard: u32,
    pub term: u64,
    pub number: u64,
    pub order: Order,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Stage {
    Unsent,
    Net(Location),
    Queued(Location),
    /// An answer on its way: stale with an epoch, or none where the op has run.
    Answered {
        stale: Option<u64>,
    },
    Asking {
        min_epoch: u64,
    },
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Op {
    pub gateway: usize,
    pub stage: Stage,
}

/// The faults that may still come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Faults {
    pub loss: bool,
    pub double: bool,
    pub coordinator: bool,
    pub store: bool,
    pub abandon: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Coordinator(CoordinatorEvent, Option<usize>),
    CoordinatorCrash,
    Order { doubled: bool },
    Late(usize),
    Former(usize),
    Run { op: usize, doubled: bool },
    Stray(usize),
    Acked(usize),
    TimedOut(usize),
    Read { gateway: usize },
    StoreCrash(u32),
}

/// An event for the coordinator. A crash may follow after some of its outputs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CoordinatorEvent {
    Reply(usize),
    ReplyLost(usize),
    OrderLost,
    TimerExpired,
    Abandon,
    Lookup(usize),
}

//! Decides at a store which orders of a coordinator are accepted and which ops may run. The fences are stored
//! with the shard's data, and are checked in the same step that applies an op.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::orders::{ExtentRange, Order, OrderReply};

use crate::ranges::RangeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
enum FenceState {
    /// Ops are accepted.
    Serving,
    /// Content from a move's source is accepted; ops are not.
    Incoming,
    /// Neither is accepted: the extents have moved to another shard, or a move to this one was abandoned or
    /// rolled back.
    Closed,
}

/// The fence of a range of extents. The order of the fields is part of the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
struct Fence {
    state: FenceState,
    epoch: u64,
    /// The last move that the extents took part in.
    move_number: u64,
    /// An epoch that the map has, or will reach whether the move is committed or not.
    settled_epoch: u64,
}

/// The fence of extents that no move has included: the store that holds them serves them at epoch 0.
const UNTOUCHED: Fence = Fence { state: FenceState::Serving, epoch: 0, move_number: 0, settled_epoch: 0 };

/// The fences of a shard.
///
/// Invariant: an extent's epoch never decreases. Within one epoch a store goes from incoming to serving to
/// closed and never back. A delayed order of an earlier move, or of an earlier term, changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fences {
    /// The highest term among the orders received.
    pub term: u64,
    volumes: BTreeMap<u64, RangeMap<Fence>>,
}

/// Whether an op may run at this store now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochCheck {
    /// The gateway's map is up to date: the op may run.
    Current,
    /// The gateway's map is stale: the range has this epoch, or a higher one.
    Stale(u64),
    /// The gateway's map is newer than the fence: the coordinator's order has not arrived yet. The op may
    /// wait until its deadline.
    NotActiveYet,
}

/// How an accepted order is applied to the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderCheck {
    /// The order is new and is applied.
    Apply,
    /// The order was applied before. Hazard: applying it again must not discard data that was written since.
    Repeated,
}

impl Fences {
    /// Whether an op that was sent with this epoch may run on an extent.
    pub fn check_epoch(&self, volume: u64, extent: u64, epoch: u64) -> EpochCheck {
        let fence = self.volumes.get(&volume).and_then(|ranges| ranges.get(extent)).unwrap_or(UNTOUCHED);
        match fence.state {
            // Hazard: the target's epoch enters the map only when the move is committed. A gateway that
            // learned it earlier would wait for a map version that never exists if the move is abandoned.
            _ if epoch < fence.epoch => EpochCheck::Stale(fence.settled_epoch),
            FenceState::Serving if epoch == fence.epoch => EpochCheck::Current,
            FenceState::Closed if epoch == fence.epoch => EpochCheck::Stale(fence.settled_epoch),
            _ => EpochCheck::NotActiveYet,
        }
    }

    /// Applies an order of a move to the fences, and returns how the order is applied to the data.
    ///
    /// # Errors
    /// The reply to send to the coordinator if the order is not accepted.
    pub fn apply_order(&mut self, term: u64, number: u64, order: &Order) -> Result<OrderCheck, OrderReply> {
        if term < self.term {
            return Err(OrderReply::StaleTerm(self.term));
        }
        self.term = term;
        let range = *order.range();
        let current = self.fences_within(&range);
        if current.iter().any(|(_, fence)| fence.move_number > number) {
            return Err(OrderReply::WrongState);
        }
        let next: Option<Vec<Fence>> =
            current.iter().map(|(_, fence)| fence.after_order(number, order)).collect();
        let next = next.ok_or(OrderReply::WrongState)?;
        let is_changed = current.iter().zip(&next).any(|((_, fence), next)| fence != next);
        let ranges = self.volumes.entry(range.volume).or_default();
        for ((part, _), fence) in current.into_iter().zip(next) {
            ranges.set(part, fence);
        }
        Ok(if is_changed { OrderCheck::Apply } else { OrderCheck::Repeated })
    }

    /// Whether this store serves no extent of a range, and the present move will not make it serve one.
    pub fn is_closed(&self, range: &ExtentRange) -> bool {
        self.fences_within(range).iter().all(|(_, fence)| fence.state == FenceState::Closed)
    }

    /// The fences of a range, including [`UNTOUCHED`] for the parts that have no stored fence.
    fn fences_within(&self, range: &ExtentRange) -> Vec<(Range<u64>, Fence)> {
        let mut fences = Vec::new();
        let mut covered_to = range.start;
        let ranges = self.volumes.get(&range.volume).into_iter();
        for (run, fence) in ranges.flat_map(|ranges| ranges.overlapping(range.start..range.end)) {
            if covered_to < run.start {
                fences.push((covered_to..run.start, UNTOUCHED));
            }
            covered_to = run.end;
            fences.push((run, fence));
        }
        if covered_to < range.end {
            fences.push((covered_to..range.end, UNTOUCHED));
        }
        fences
    }
}

impl Fence {
    /// The fence after an order of a move that is not older than the fence's last one; `None` if the order
    /// does not fit its state.
    fn after_order(self, number: u64, order: &Order) -> Option<Fence> {
        let is_same_move = self.move_number == number;
        let is_at = |state, epoch| is_same_move && self.state == state && self.epoch == epoch;
        match order {
            Order::Prepare { epoch, .. } => self.after_prepare(number, *epoch),
            Order::TrackChanges { .. } => (self.state == FenceState::Serving)
                .then(|| Fence::settled(FenceState::Serving, self.epoch, number)),
            Order::FetchNext { .. } => (is_same_move && self.state != FenceState::Incoming).then_some(self),
            Order::Put { epoch, .. } | Order::RecordExecuted { epoch, .. } => {
                is_at(FenceState::Incoming, *epoch).then_some(self)
            }
            Order::Fence { epoch, .. } => self.after_fence(number, *epoch),
            Order::FetchExecuted { .. } => (is_same_move && self.state == FenceState::Closed).then_some(self),
            Order::Sync { epoch, .. } => {
                let is_in_place = is_at(FenceState::Incoming, *epoch) || is_at(FenceState::Serving, *epoch);
                is_in_place.then_some(self)
            }
            Order::Activate { epoch, .. } if is_at(FenceState::Serving, *epoch) => Some(self),
            Order::Activate { epoch, .. } => is_at(FenceState::Incoming, *epoch)
                .then(|| Fence::settled(FenceState::Serving, *epoch, number)),
            Order::Reactivate { epoch, .. } => self.after_reactivate(number, *epoch),
            Order::Clear { epoch, .. } => self.after_clear(number, *epoch),
            Order::StopTracking { .. } => Some(Fence { move_number: number, ..self }),
        }
    }

    /// A fence whose epoch the map has, or will reach whether the move is committed or not.
    fn settled(state: FenceState, epoch: u64, move_number: u64) -> Fence {
        Fence { state, epoch, move_number, settled_epoch: epoch }
    }

    /// A fence at an epoch that the map reaches only if the move is committed.
    fn unsettled(self, state: FenceState, epoch: u64, move_number: u64) -> Fence {
        Fence { state, epoch, move_number, settled_epoch: self.settled_epoch }
    }

    fn after_prepare(self, number: u64, epoch: u64) -> Option<Fence> {
        // Hazard: a delayed order must not clear the data of a store that serves at this epoch or a higher
        // one.
        if self.move_number == number {
            return (self.state == FenceState::Incoming && self.epoch == epoch).then_some(self);
        }
        if self.state == FenceState::Serving && self.epoch >= epoch {
            return None;
        }
        Some(self.unsettled(FenceState::Incoming, epoch, number))
    }

    fn after_fence(self, number: u64, epoch: u64) -> Option<Fence> {
        if self.move_number != number {
            return None;
        }
        if self.state == FenceState::Closed && self.epoch == epoch {
            return Some(self);
        }
        let may_fence = self.state == FenceState::Serving && self.epoch < epoch;
        may_fence.then(|| Fence::settled(FenceState::Closed, epoch, number))
    }

    fn after_reactivate(self, number: u64, epoch: u64) -> Option<Fence> {
        if self.move_number != number {
            return None;
        }
        if self.state == FenceState::Serving && self.epoch == epoch {
            return Some(self);
        }
        let may_reactivate = self.state != FenceState::Incoming && self.epoch < epoch;
        may_reactivate.then(|| Fence::settled(FenceState::Serving, epoch, number))
    }

    fn after_clear(self, number: u64, epoch: u64) -> Option<Fence> {
        if self.move_number != number {
            // The range was never prepared for this move. With the move's number recorded, a delayed prepare
            // order of the move is rejected from now on.
            return Some(Fence { move_number: number, ..self });
        }
        if self.state == FenceState::Incoming && self.epoch == epoch {
            return Some(self.unsettled(FenceState::Closed, epoch, number));
        }
        // Hazard: a range that an earlier move closed, at that move's epoch, has to accept every clear order
        // of this move. Otherwise an abandoned move would never finish.
        (self.state != FenceState::Incoming).then_some(self)
    }
}

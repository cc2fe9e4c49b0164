//! Which orders of a coordinator a store accepts, and which ops it may serve. The fences are stored with the shard's data, and
//! checked in the same step that applies an op.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::orders::{ExtentRange, Order, OrderReply};

use crate::ranges::RangeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
enum FenceState {
    Serving,
    /// Content is accepted, and no op.
    Incoming,
    /// The extents have moved elsewhere, or never came.
    Closed,
}

/// The fence of some extents. The order of the fields is part of the format.

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
struct Fence {
    state: FenceState,
    epoch: u64,
    /// The last move that the extents took part in.
    move_number: u64,
    /// The map has this epoch, or will have it however the move ends.
    settled_epoch: u64,
}

/// Extents that no move has touched are served at epoch 0 by the store that holds them.
const UNTOUCHED: Fence = Fence { state: FenceState::Serving, epoch: 0, move_number: 0, settled_epoch: 0 };

/// The fences of a shard.
///
/// Invariant: an extent's epoch never falls. At one epoch a store goes from incoming to serving to closed and never back, and
/// an order of an earlier move, or of an earlier term, changes nothing, however late it comes.

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fences {
    /// The highest term of a coordinator whose order was received.
    pub term: u64,
    volumes: BTreeMap<u64, RangeMap<Fence>>,
}

/// Whether an op may run here now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochCheck {
    /// The gateway's map is right.
    Current,
    /// The gateway's map is old; the range has this epoch, or a higher one.
    Stale(u64),
    /// The gateway's map is newer: the coordinator's order is on its way. The op may wait as long as it has time.
    NotActiveYet,
}

/// How an accepted order is applied to the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderCheck {
    /// For the first time.
    Apply,
    /// It was applied before. Hazard: what was written since must not be lost by applying it twice.
    Repeated,
}

impl Fences {
    /// Whether an op that names this epoch may run on an extent.
    pub fn check(&self, volume: u64, extent: u64, epoch: u64) -> EpochCheck {
        let fence = self.volumes.get(&volume).and_then(|ranges| ranges.get(extent)).unwrap_or(UNTOUCHED);
        match fence.state {
            // Hazard: a target's epoch is the map's only once the move is committed. A gateway that was told of it before
            // would wait for a map that never comes if the move is abandoned.
            _ if epoch < fence.epoch => EpochCheck::Stale(fence.settled_epoch),
            FenceState::Serving if epoch == fence.epoch => EpochCheck::Current,
            FenceState::Closed if epoch == fence.epoch => EpochCheck::Stale(fence.settled_epoch),
            _ => EpochCheck::NotActiveYet,
        }
    }

    /// Takes an order of a move: how it is applied to the data.
    ///
    /// # Errors
    /// The reply for the coordinator where the order is not accepted.
    pub fn take(&mut self, term: u64, number: u64, order: &Order) -> Result<OrderCheck, OrderReply> {
        if term < self.term {
            return Err(OrderReply::StaleTerm(self.term));
        }
        self.term = term;
        let span = *order.span();
        let current = self.fences_within(&span);
        if current.iter().any(|(_, fence)| fence.move_number > number) {
            return Err(OrderReply::WrongState);
        }
        let next: Option<Vec<Fence>> =
            current.iter().map(|(_, fence)| fence.after_order(number, order)).collect();
        let next = next.ok_or(OrderReply::WrongState)?;
        let is_changed = current.iter().zip(&next).any(|((_, fence), next)| fence != next);
        let ranges = self.volumes.entry(span.volume).or_default();
        for ((part, _), fence) in current.into_iter().zip(next) {
            ranges.set(part, fence);
        }
        Ok(if is_changed { OrderCheck::Apply } else { OrderCheck::Repeated })
    }

    /// Whether nothing of a span is served here, or will be by the move under way.
    pub fn closed(&self, span: &ExtentRange) -> bool {
        self.fences_within(span).iter().all(|(_, fence)| fence.state == FenceState::Closed)
    }

    /// The fences of a span, those of untouched parts among them.
    fn fences_within(&self, span: &ExtentRange) -> Vec<(Range<u64>, Fence)> {
        let mut fences = Vec::new();
        let mut covered_to = span.start;
        let ranges = self.volumes.get(&span.volume).into_iter();
        for (run, fence) in ranges.flat_map(|ranges| ranges.overlapping(span.start..span.end)) {
            if covered_to < run.start {
                fences.push((covered_to..run.start, UNTOUCHED));
            }
            covered_to = run.end;
            fences.push((run, fence));
        }
        if covered_to < span.end {
            fences.push((covered_to..span.end, UNTOUCHED));
        }
        fences
    }
}

impl Fence {
    /// The fence after an order of a move that is not older than its last one; none where the order does not fit.
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

    /// A fence whose epoch the map has, or will have however the move ends.
    fn settled(state: FenceState, epoch: u64, move_number: u64) -> Fence {
        Fence { state, epoch, move_number, settled_epoch: epoch }
    }

    /// A fence at an epoch that the map has only if the move is committed.
    fn unsettled(self, state: FenceState, epoch: u64, move_number: u64) -> Fence {
        Fence { state, epoch, move_number, settled_epoch: self.settled_epoch }
    }

    fn after_prepare(self, number: u64, epoch: u64) -> Option<Fence> {
        // Hazard: a store that serves at this epoch or a higher one must not be emptied by a delayed order.
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
            // It was never prepared for this move; from now on it cannot be.
            return Some(Fence { move_number: number, ..self });
        }
        if self.state == FenceState::Incoming && self.epoch == epoch {
            return Some(self.unsettled(FenceState::Closed, epoch, number));
        }
        // Hazard: what an earlier move closed, at its epoch, is cleared by this one as often as it is ordered, or the move
        // that was abandoned would never finish.
        (self.state != FenceState::Incoming).then_some(self)
    }
}

//! What a store makes of a coordinator's orders, and which ops it may serve: kept with the shard's data, and looked at in the same
//! moment as the data is.
//!
//! Invariant: an extent's epoch never falls. At one epoch a store goes from incoming to serving to closed and never back,
//! and an order of an earlier move, or of an earlier term, changes nothing, however late it comes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::orders::{ExtentRange, Order, OrderReply};

use crate::ranges::Ranges;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
enum Stand {
    Serving,
    /// It takes content and no op.
    Incoming,
    /// It has gone elsewhere, or never came.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
struct Fence {
    stand: Stand,
    epoch: u64,
    /// The last move that the extents had part in.
    number: u64,
    /// The map is as new as this, or will be whatever becomes of the move.
    sure: u64,
}

/// What no move has touched is served at epoch 0 by whoever holds it.
const UNTOUCHED: Fence = Fence { stand: Stand::Serving, epoch: 0, number: 0, sure: 0 };

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fences {
    /// The highest that was heard of.
    pub term: u64,
    volumes: BTreeMap<u64, Ranges<Fence>>,
}

/// Whether an op may run here now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochCheck {
    Current,
    /// Its gateway's map is old; the range has this epoch, or a higher.
    Stale(u64),
    /// Its gateway's map is newer: the coordinator's word is on its way. It may wait as long as it has time.
    NotActiveYet,
}

/// What is to be done with the data, once an order fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderCheck {
    Apply,
    /// It was done before: what came since must not be lost by doing it twice.
    Repeated,
}

impl Fences {
    pub fn check(&self, volume: u64, extent: u64, epoch: u64) -> EpochCheck {
        let fence = self.volumes.get(&volume).and_then(|ranges| ranges.get(extent)).unwrap_or(UNTOUCHED);
        match fence.stand {
            // Danger: a target's epoch is the map's only once the move is committed. Told of it before, a gateway would
            // wait for a map that never comes if the move is given up.
            _ if epoch < fence.epoch => EpochCheck::Stale(fence.sure),
            Stand::Serving if epoch == fence.epoch => EpochCheck::Current,
            Stand::Closed if epoch == fence.epoch => EpochCheck::Stale(fence.sure),
            _ => EpochCheck::NotActiveYet,
        }
    }

    /// Takes an order for the move of this number: how its part on the data is to be done, or what is answered instead.
    pub fn take(&mut self, term: u64, number: u64, order: &Order) -> Result<OrderCheck, OrderReply> {
        if term < self.term {
            return Err(OrderReply::StaleTerm(self.term));
        }
        self.term = term;
        let span = *order.span();
        let known = self.known(&span);
        if known.iter().any(|(_, fence)| fence.number > number) {
            return Err(OrderReply::WrongState);
        }
        let news: Option<Vec<Fence>> = known.iter().map(|(_, fence)| after(*fence, number, order)).collect();
        let news = news.ok_or(OrderReply::WrongState)?;
        let changed = known.iter().zip(&news).any(|((_, fence), new)| fence != new);
        let ranges = self.volumes.entry(span.volume).or_default();
        for ((part, _), new) in known.into_iter().zip(news) {
            ranges.set(part, new);
        }
        Ok(if changed { OrderCheck::Apply } else { OrderCheck::Repeated })
    }

    /// Nothing of the span is served here, nor is it to be.
    pub fn closed(&self, span: &ExtentRange) -> bool {
        self.known(span).iter().all(|(_, fence)| fence.stand == Stand::Closed)
    }

    /// The fences of a span, untouched parts among them.
    fn known(&self, span: &ExtentRange) -> Vec<(std::ops::Range<u64>, Fence)> {
        let (mut all, mut at) = (Vec::new(), span.start);
        let met =
            self.volumes.get(&span.volume).into_iter().flat_map(|ranges| ranges.within(span.start..span.end));
        for (run, fence) in met {
            if at < run.start {
                all.push((at..run.start, UNTOUCHED));
            }
            at = run.end;
            all.push((run, fence));
        }
        if at < span.end {
            all.push((at..span.end, UNTOUCHED));
        }
        all
    }
}

/// A fence after an order of a move that is not older than its last; nothing where the order does not fit.
fn after(fence: Fence, number: u64, order: &Order) -> Option<Fence> {
    let known = fence.number == number;
    let stands = |stand, epoch| fence.stand == stand && fence.epoch == epoch && known;
    let now = |stand, epoch| Some(Fence { stand, epoch, number, sure: epoch });
    let unsure = |stand, epoch| Some(Fence { stand, epoch, number, ..fence });
    match order {
        // Danger: one that serves at this epoch or a higher must not be emptied by an order that lay about.
        Order::Prepare { epoch, .. } if known => stands(Stand::Incoming, *epoch).then_some(fence),
        Order::Prepare { epoch, .. } if fence.stand == Stand::Serving && fence.epoch >= *epoch => None,
        Order::Prepare { epoch, .. } => unsure(Stand::Incoming, *epoch),
        Order::TrackChanges { .. } if fence.stand == Stand::Serving => now(Stand::Serving, fence.epoch),
        Order::TrackChanges { .. } => None,
        Order::FetchNext { .. } => (known && fence.stand != Stand::Incoming).then_some(fence),
        Order::Put { epoch, .. } | Order::RecordExecuted { epoch, .. } => {
            stands(Stand::Incoming, *epoch).then_some(fence)
        }
        Order::Fence { epoch, .. } if stands(Stand::Closed, *epoch) => Some(fence),
        Order::Fence { epoch, .. } if known && fence.stand == Stand::Serving && fence.epoch < *epoch => {
            now(Stand::Closed, *epoch)
        }
        Order::Fence { .. } => None,
        Order::FetchExecuted { .. } => (known && fence.stand == Stand::Closed).then_some(fence),
        Order::Sync { epoch, .. } => {
            (stands(Stand::Incoming, *epoch) || stands(Stand::Serving, *epoch)).then_some(fence)
        }
        Order::Activate { epoch, .. } if stands(Stand::Serving, *epoch) => Some(fence),
        Order::Activate { epoch, .. } if stands(Stand::Incoming, *epoch) => now(Stand::Serving, *epoch),
        Order::Activate { .. } => None,
        Order::Reactivate { epoch, .. } if stands(Stand::Serving, *epoch) => Some(fence),
        Order::Reactivate { epoch, .. }
            if known && fence.stand != Stand::Incoming && fence.epoch < *epoch =>
        {
            now(Stand::Serving, *epoch)
        }
        Order::Reactivate { .. } => None,
        Order::Clear { epoch, .. } if stands(Stand::Incoming, *epoch) => unsure(Stand::Closed, *epoch),
        // It was never prepared for this move; from now on it cannot be.
        Order::Clear { .. } if !known => Some(Fence { number, ..fence }),
        // Danger: what an earlier move closed, at its epoch, is cleared by this one as often as it is asked, or the move
        // that was given up would never be over.
        Order::Clear { .. } => (fence.stand != Stand::Incoming).then_some(fence),
        Order::StopTracking { .. } => Some(Fence { number, ..fence }),
    }
}

//! What a store makes of a keeper's orders, and which ops it may serve: kept with the shard's data, and looked at in the same
//! moment as the data is.
//!
//! Invariant: an extent's epoch never falls. At one epoch a store goes from incoming to serving to closed and never back,
//! and an order of an earlier move, or of an earlier term, changes nothing, however late it comes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::orders::{Order, Reply, Span};

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
pub enum Look {
    Serve,
    /// Its gateway's map is old; the range has this epoch, or a higher.
    Stale(u64),
    /// Its gateway's map is newer: the keeper's word is on its way. It may wait as long as it has time.
    Early,
}

/// What is to be done with the data, once an order fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fits {
    Now,
    /// It was done before: what came since must not be lost by doing it twice.
    Again,
}

impl Fences {
    pub fn look(&self, volume: u64, extent: u64, epoch: u64) -> Look {
        let fence = self.volumes.get(&volume).and_then(|ranges| ranges.get(extent)).unwrap_or(UNTOUCHED);
        match fence.stand {
            // Danger: a target's epoch is the map's only once the move is committed. Told of it before, a gateway would
            // wait for a map that never comes if the move is given up.
            _ if epoch < fence.epoch => Look::Stale(fence.sure),
            Stand::Serving if epoch == fence.epoch => Look::Serve,
            Stand::Closed if epoch == fence.epoch => Look::Stale(fence.sure),
            _ => Look::Early,
        }
    }

    /// Takes an order for the move of this number: how its part on the data is to be done, or what is answered instead.
    pub fn take(&mut self, term: u64, number: u64, order: &Order) -> Result<Fits, Reply> {
        if term < self.term {
            return Err(Reply::OldTerm(self.term));
        }
        self.term = term;
        let span = *order.span();
        let known = self.known(&span);
        if known.iter().any(|(_, fence)| fence.number > number) {
            return Err(Reply::Unfit);
        }
        let news: Option<Vec<Fence>> = known.iter().map(|(_, fence)| after(*fence, number, order)).collect();
        let news = news.ok_or(Reply::Unfit)?;
        let changed = known.iter().zip(&news).any(|((_, fence), new)| fence != new);
        let ranges = self.volumes.entry(span.volume).or_default();
        for ((part, _), new) in known.into_iter().zip(news) {
            ranges.set(part, new);
        }
        Ok(if changed { Fits::Now } else { Fits::Again })
    }

    /// Nothing of the span is served here, nor is it to be.
    pub fn closed(&self, span: &Span) -> bool {
        self.known(span).iter().all(|(_, fence)| fence.stand == Stand::Closed)
    }

    /// The fences of a span, untouched parts among them.
    fn known(&self, span: &Span) -> Vec<(std::ops::Range<u64>, Fence)> {
        let (mut all, mut at) = (Vec::new(), span.from);
        let met =
            self.volumes.get(&span.volume).into_iter().flat_map(|ranges| ranges.within(span.from..span.to));
        for (run, fence) in met {
            if at < run.start {
                all.push((at..run.start, UNTOUCHED));
            }
            at = run.end;
            all.push((run, fence));
        }
        if at < span.to {
            all.push((at..span.to, UNTOUCHED));
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
        Order::Follow { .. } if fence.stand == Stand::Serving => now(Stand::Serving, fence.epoch),
        Order::Follow { .. } => None,
        Order::Fetch { .. } => (known && fence.stand != Stand::Incoming).then_some(fence),
        Order::Put { epoch, .. } | Order::Mark { epoch, .. } => {
            stands(Stand::Incoming, *epoch).then_some(fence)
        }
        Order::Raise { epoch, .. } if stands(Stand::Closed, *epoch) => Some(fence),
        Order::Raise { epoch, .. } if known && fence.stand == Stand::Serving && fence.epoch < *epoch => {
            now(Stand::Closed, *epoch)
        }
        Order::Raise { .. } => None,
        Order::Marks { .. } => (known && fence.stand == Stand::Closed).then_some(fence),
        Order::Seal { epoch, .. } => {
            (stands(Stand::Incoming, *epoch) || stands(Stand::Serving, *epoch)).then_some(fence)
        }
        Order::Open { epoch, .. } if stands(Stand::Serving, *epoch) => Some(fence),
        Order::Open { epoch, .. } if stands(Stand::Incoming, *epoch) => now(Stand::Serving, *epoch),
        Order::Open { .. } => None,
        Order::Reopen { epoch, .. } if stands(Stand::Serving, *epoch) => Some(fence),
        Order::Reopen { epoch, .. } if known && fence.stand != Stand::Incoming && fence.epoch < *epoch => {
            now(Stand::Serving, *epoch)
        }
        Order::Reopen { .. } => None,
        Order::Clear { epoch, .. } if stands(Stand::Incoming, *epoch) => unsure(Stand::Closed, *epoch),
        // It was never prepared for this move; from now on it cannot be.
        Order::Clear { .. } if !known => Some(Fence { number, ..fence }),
        // Danger: what an earlier move closed, at its epoch, is cleared by this one as often as it is asked, or the move
        // that was given up would never be over.
        Order::Clear { .. } => (fence.stand != Stand::Incoming).then_some(fence),
        Order::Leave { .. } => Some(Fence { number, ..fence }),
    }
}

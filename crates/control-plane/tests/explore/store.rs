//! A store: the product's fences before a small medium that applies orders to data.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use umbertray_control_plane::Fences;
use umbertray_control_plane::fence::{EpochCheck, OrderCheck};
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::{ExecutedOp, ExtentContent, Order, OrderReply};

use crate::{EXTENT, PlantedBug, SPAN, VOLUME};

#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Store {
    pub fences: Fences,
    /// The writes that were applied; one that was applied twice is here twice.
    pub data: Vec<u64>,
    pub stamp: u64,
    /// Moves that copy the extent, and whether it has to be copied again.
    pub following: BTreeMap<u64, bool>,
    /// The move that put content here, and the content's change count.
    pub held: Option<(u64, u64)>,
    pub marks: BTreeSet<u64>,
}

impl Store {
    pub(crate) fn order(
        &mut self,
        term: u64,
        number: u64,
        order: &Order,
        planted_bug: PlantedBug,
    ) -> OrderReply {
        let fits = match self.fences.take(term, number, order) {
            Ok(fits) => fits,
            Err(refusal) => return refusal,
        };
        match order {
            Order::Prepare { epoch, .. } if planted_bug == PlantedBug::ActivatedBeforeFenced => {
                _ = self.fences.take(term, number, &Order::Activate { span: SPAN, epoch: *epoch });
            }
            Order::Prepare { .. } if fits == OrderCheck::Apply => (self.data, self.held) = (Vec::new(), None),
            Order::TrackChanges { .. } => {
                let dirty = self.following.entry(number).or_default();
                *dirty |= !self.data.is_empty();
                return OrderReply::ExtentsLeft(u64::from(*dirty));
            }
            Order::FetchNext { copied, .. } => return OrderReply::NextExtent(self.fetch(number, *copied)),
            Order::Put { content, .. } => self.put(number, content),
            Order::Fence { .. } => {
                return OrderReply::ExtentsLeft(u64::from(self.following.get(&number) == Some(&true)));
            }
            Order::FetchExecuted { .. } => {
                let mark =
                    |op: &u64| ExecutedOp { gateway_run: *op, op: *op, extent: EXTENT, remembered_for: 1 };
                return OrderReply::ExecutedOps(self.marks.iter().map(mark).collect());
            }
            Order::RecordExecuted { marks, .. } if planted_bug != PlantedBug::ExecutedOpsNotMoved => {
                self.marks.extend(marks.iter().map(|mark| mark.op));
            }
            Order::Clear { .. } if self.fences.closed(&SPAN) => (self.data, self.held) = (Vec::new(), None),
            Order::StopTracking { .. } => _ = self.following.remove(&number),
            _ => {}
        }
        OrderReply::Done
    }

    pub(crate) fn fetch(&mut self, number: u64, copied: Option<(u64, u64)>) -> Option<ExtentContent> {
        let dirty = self.following.get_mut(&number)?;
        *dirty &= copied != Some((EXTENT, self.stamp));
        let pages = vec![(0, self.data.iter().map(|id| *id as u8).collect::<Bytes>())];
        dirty.then_some(ExtentContent { extent: EXTENT, change_count: self.stamp, pages })
    }

    pub(crate) fn put(&mut self, number: u64, content: &ExtentContent) {
        let newer = |(by, stamp)| by == number && stamp > content.change_count;
        if !self.held.is_some_and(newer) {
            self.held = Some((number, content.change_count));
            self.data = content.pages.iter().flat_map(|(_, page)| page).map(|id| u64::from(*id)).collect();
            self.stamp += 1;
        }
    }

    pub(crate) fn write(&mut self, op: u64) {
        if self.marks.insert(op) {
            self.data.push(op);
            self.data.sort_unstable();
            self.stamp += 1;
            self.following.values_mut().for_each(|dirty| *dirty = true);
        }
    }

    pub(crate) fn check_epoch(&self, epoch: u64) -> EpochCheck {
        self.fences.check(VOLUME, EXTENT, epoch)
    }

    pub(crate) fn serves(&self, shard: u32, known_by_gateway: &BTreeSet<Location>) -> bool {
        known_by_gateway
            .iter()
            .any(|place| place.shard == shard && self.check_epoch(place.epoch) == EpochCheck::Current)
    }
}

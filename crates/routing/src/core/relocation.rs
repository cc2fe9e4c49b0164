//! Relocation: operations that a store rejected because the extent's range has moved resume at the range's
//! new location.

use umbertray::interface::{Event, OpId, Outcome, StoreId};
use umbertray_store_protocol::store::OperationKind;

use super::Core;
use super::attempts::StoreReply;
use crate::fragment::{Fragment, FragmentState};
use crate::locations::ExtentId;
use crate::reply::FinalResult;
use crate::stale_epoch::may_resume_until;

impl Core {
    /// Handles a rejection due to a stale epoch: the range has moved since this gateway read the map. The
    /// locations of the rejected fragment and of the queued fragments of the same extent are looked up again,
    /// and the fragments continue within their remaining time. This does not count as a retry, because the
    /// store did not attempt the operation.
    pub(super) fn on_stale_epoch(&mut self, store: StoreId, number: u64, epoch: u64) {
        let Some(attempt) = self.attempts.get(&number).filter(|attempt| attempt.store == store) else {
            return;
        };
        let rejected_id = attempt.fragment;
        let Some(fragment) = self.fragments.get_mut(&rejected_id) else { return };
        let volume = fragment.volume;
        let extent = fragment.range.extent;
        let used_location = fragment.location;
        if fragment.state == FragmentState::Scheduled && fragment.in_flight == 1 {
            // The scheduler is notified that the operation has ended and removes it. The operation arrives
            // again once it has a location.
            fragment.state = FragmentState::Locating;
        }
        self.finish_attempt(number, Outcome::NotSent, StoreReply::default());
        let relocated = self.fragments_to_relocate(rejected_id, volume, extent);
        let extent_id = (self.volumes[volume], extent);
        // The location is wrong even if the store's epoch is not newer than the one that was used.
        let known = self.locations.get(extent_id);
        if known.is_none_or(|known| known.epoch < epoch || Some(known) == used_location) {
            self.locations.forget(extent_id);
        }
        relocated.into_iter().for_each(|id| self.relocate(id, extent_id, epoch));
    }

    /// The fragments of an extent that have no attempt in flight: the rejected one and the queued ones, in
    /// order of arrival.
    fn fragments_to_relocate(&self, rejected_id: u32, volume: usize, extent: u64) -> Vec<u32> {
        let is_affected = |id: u32, fragment: &Fragment| {
            let is_rejected = id == rejected_id && fragment.state == FragmentState::Locating;
            let is_of_extent = fragment.volume == volume && fragment.range.extent == extent;
            is_of_extent
                && fragment.in_flight == 0
                && fragment.kind != OperationKind::Flush
                && (is_rejected || fragment.state == FragmentState::Scheduled)
        };
        let affected = self.fragments.iter().filter(|(id, fragment)| is_affected(**id, fragment));
        let mut affected: Vec<(u64, u32)> = affected.map(|(id, fragment)| (fragment.sequence, *id)).collect();
        affected.sort_unstable();
        affected.into_iter().map(|(_, id)| id).collect()
    }

    /// Looks up a fragment's location again, from a map that knows at least this epoch of the extent.
    fn relocate(&mut self, id: u32, extent: ExtentId, min_epoch: u64) {
        let Some(fragment) = self.fragments.get_mut(&id) else { return };
        let idempotency = self.settings.op_types[fragment.op_type].idempotency;
        let resume_until = may_resume_until(idempotency, fragment.may_have_run_since, self.settings.tick);
        let was_scheduled = fragment.state == FragmentState::Scheduled;
        fragment.state = FragmentState::Locating;
        // The scheduler counts attempts from zero for an operation that arrives again.
        fragment.attempts.clear();
        if was_scheduled {
            self.events.push(Event::ClientDisconnected { op: OpId(id) });
        }
        if resume_until.is_none_or(|until| until <= self.now) {
            return self.complete(id, FinalResult::Failed);
        }
        match self.locations.get(extent) {
            Some(location) => self.schedule(id, Some(location)),
            None => {
                let query = self.locations.look_up(extent, id, min_epoch);
                self.wait_for_location(id, query);
            }
        }
    }
}

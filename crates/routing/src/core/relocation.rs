//! Relocation: what a store rejects because the extent's range has moved resumes where the range is now.

use umbertray::interface::{Event, OpId, Outcome, StoreId};
use umbertray_store_protocol::store::OperationKind;

use super::Core;
use super::attempts::StoreReply;
use crate::fragment::{Fragment, FragmentState};
use crate::locations::ExtentId;
use crate::reply::FinalResult;
use crate::stale_epoch::may_resume_until;

impl Core {
    /// The range has moved since this gateway read the map: what was rejected, and what is queued for the same extent, is
    /// located anew and goes on in what is left of its time. That is no retry, as nothing was attempted in vain.
    pub(super) fn on_stale_epoch(&mut self, store: StoreId, number: u64, epoch: u64) {
        let Some(attempt) = self.attempts.get(&number).filter(|attempt| attempt.store == store) else {
            return;
        };
        let rejected = attempt.fragment;
        let Some(fragment) = self.fragments.get_mut(&rejected) else { return };
        let volume = fragment.volume;
        let extent = fragment.span.extent;
        let used_location = fragment.location;
        if fragment.state == FragmentState::Scheduled && fragment.in_flight == 1 {
            // The scheduler hears that the operation has ended and forgets it; it arrives anew once it is located.
            fragment.state = FragmentState::Locating;
        }
        self.finish_attempt(number, Outcome::NotSent, StoreReply::default());
        let relocated = self.fragments_to_relocate(rejected, volume, extent);
        let extent_id = (self.volumes[volume], extent);
        // The store's epoch may be no newer than the one that was used: the location is wrong all the same.
        let known = self.locations.get(extent_id);
        if known.is_none_or(|known| known.epoch < epoch || Some(known) == used_location) {
            self.locations.forget(extent_id);
        }
        relocated.into_iter().for_each(|id| self.relocate(id, extent_id, epoch));
    }

    /// The fragments of an extent with nothing in flight: the rejected one and those that are queued, in the order they came.
    fn fragments_to_relocate(&self, rejected: u32, volume: usize, extent: u64) -> Vec<u32> {
        let is_affected = |id: u32, fragment: &Fragment| {
            let is_rejected = id == rejected && fragment.state == FragmentState::Locating;
            let is_of_extent = fragment.volume == volume && fragment.span.extent == extent;
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

    /// Locates a fragment anew, at a map that has at least this epoch of the extent.
    fn relocate(&mut self, id: u32, extent: ExtentId, min_epoch: u64) {
        let Some(fragment) = self.fragments.get_mut(&id) else { return };
        let idempotency = self.settings.op_types[fragment.op_type].idempotency;
        let resume_until = may_resume_until(idempotency, fragment.may_have_run_since, self.settings.tick);
        let was_scheduled = fragment.state == FragmentState::Scheduled;
        fragment.state = FragmentState::Locating;
        // The scheduler counts the attempts of an operation that arrives anew from zero.
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

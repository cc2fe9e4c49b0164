//! Final results of fragments, and the final reply of a request, which combines the results of its fragments.

use bytes::Bytes;
use umbertray_store_protocol::store::{DataRange, OperationKind};

use super::Core;
use crate::extent_range::ExtentRange;
use crate::fragment::{AttemptStatus, FragmentState};
use crate::reply::{FinalResult, FragmentResult, combine};
use crate::timers::Timer;
use crate::{Output, ReplyPart, RequestId};

impl Core {
    /// Sets a fragment's final result and delivers it, for a write that did not succeed only once no attempt
    /// of the fragment can take effect any more.
    ///
    /// Hazard: an attempt of an abandoned write may still be executed. If the client were notified at once,
    /// it could write again, perhaps through another gateway, and the late attempt would overwrite that newer
    /// write. The result is therefore withheld until the time fence has passed, which is before the request's
    /// deadline. A write that succeeded needs no wait: its successful attempt supersedes the earlier ones.
    pub(super) fn complete(&mut self, id: u32, result: FinalResult) {
        let Some(fragment) = self.fragments.get_mut(&id) else { return };
        if !matches!(fragment.state, FragmentState::Locating | FragmentState::Scheduled) {
            return;
        }
        fragment.state = FragmentState::AwaitingDelivery(result);
        let in_flight = fragment.attempts.iter().filter_map(|number| self.attempts.get(number));
        let sent = in_flight.filter(|attempt| attempt.status == AttemptStatus::Sent);
        let sent_until = sent.map(|attempt| attempt.deadline).max();
        let may_run_until = fragment.may_run_until().max(sent_until).filter(|at| *at > self.now);
        let must_wait = fragment.kind.modifies_extent() && result != FinalResult::Succeeded;
        match may_run_until.filter(|_| must_wait) {
            Some(at) => self.timers.set(at, Timer::Fragment(id)),
            None => self.deliver_result(id),
        }
    }

    /// Adds a fragment's result to its request, and sends the final reply once all fragments have a result.
    pub(super) fn deliver_result(&mut self, id: u32) {
        let Some(fragment) = self.fragments.get_mut(&id) else { return };
        let FragmentState::AwaitingDelivery(result) = fragment.state else { return };
        fragment.state = FragmentState::Finished;
        fragment.data = Bytes::new();
        let request_id = fragment.request;
        let may_have_run = fragment.may_have_run_since.is_some();
        self.remove_if_finished(id);
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        request.open_fragments -= 1;
        request.results.push(FragmentResult { result, may_have_run });
        if request.open_fragments == 0 {
            self.send_final_reply(request_id);
        }
    }

    fn send_final_reply(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let idempotency = self.settings.op_types[request.op_type].idempotency;
        let result = combine(request.results.iter().copied(), idempotency);
        if result == FinalResult::Succeeded && request.kind == OperationKind::Status {
            let ranges = request.data_ranges.into_values().flatten().collect();
            let buffer_guard = request.buffer_guard.clone();
            self.outputs.push(Output::Reply { id, part: ReplyPart::DataRanges(ranges), buffer_guard });
        }
        let buffer_guard = request.buffer_guard;
        self.outputs.push(Output::Reply { id, part: ReplyPart::Final(result), buffer_guard });
    }

    pub(super) fn remove_if_finished(&mut self, id: u32) {
        let fragment = self.fragments.get(&id);
        if fragment
            .is_some_and(|fragment| fragment.state == FragmentState::Finished && fragment.in_flight == 0)
        {
            self.fragments.remove(&id);
        }
    }

    /// Sends a part of a reply, if the request is open.
    pub(super) fn reply(&mut self, id: RequestId, part: ReplyPart) {
        if let Some(request) = self.requests.get(&id) {
            self.outputs.push(Output::Reply { id, part, buffer_guard: request.buffer_guard.clone() });
        }
    }

    /// Records which parts of an extent range hold data, for the reply to a status request.
    pub(super) fn record_data_ranges(&mut self, id: RequestId, range: ExtentRange, ranges: Vec<DataRange>) {
        let offset = self.volume_offset(range.extent, range.offset);
        if let Some(request) = self.requests.get_mut(&id) {
            request.data_ranges.insert(offset, ranges);
        }
    }
}

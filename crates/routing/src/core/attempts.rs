//! Starts, sends, cancels and finishes attempts. Each attempt is sent with its fences, and its outcome is
//! reported to the scheduler exactly once.

use std::time::Duration;

use umbertray::interface::{AttemptResult, Event, LoadReport, OpId, Outcome, StoreId, StoreState};
use umbertray_store_protocol::store::{Attempt, ToStore};

use super::Core;
use crate::Output;
use crate::fence::ClockReading;
use crate::fragment::{AttemptStatus, Fragment, FragmentState, InFlightAttempt};
use crate::reply::FinalResult;
use crate::store_membership::Connection;
use crate::timers::Timer;

/// What a store reported along with an outcome; empty if the gateway determined the outcome itself.
#[derive(Default)]
pub(super) struct StoreReply {
    /// When the store's message was received.
    pub(super) received_at: Option<Duration>,
    pub(super) plan_rate_used: Option<f64>,
    pub(super) units_elsewhere: f64,
    pub(super) report: LoadReport,
}

impl Core {
    /// Starts an attempt that the scheduler decided on. For a new object the extent is claimed in the map
    /// first.
    pub(super) fn start_attempt(&mut self, id: u32, store: StoreId, timeout: Duration) {
        let Some(fragment) = self.fragments.get_mut(&id) else { return };
        self.last_attempt += 1;
        let number = self.last_attempt;
        let deadline = self.now + timeout;
        let attempt = InFlightAttempt {
            fragment: id,
            index: fragment.attempts.len() as u32,
            store,
            decided_at: self.now,
            deadline,
            status: AttemptStatus::Claiming,
        };
        fragment.attempts.push(number);
        fragment.in_flight += 1;
        let extent = (self.volumes[fragment.volume], fragment.range.extent);
        let is_new_object = fragment.location.is_none();
        self.attempts.insert(number, attempt);
        self.timers.set(deadline, Timer::Attempt(number));
        let shard = self.stores.get(store).map(|store| store.shard);
        match shard.filter(|_| is_new_object) {
            Some(shard) => {
                if let Some(query) = self.locations.claim(extent, shard, number) {
                    self.send_query(query);
                }
            }
            None => self.send(number),
        }
    }

    /// Sends an attempt, or queues it until the store's connection is established.
    ///
    /// Hazard: the state may have changed since the scheduler decided on the attempt. No new attempt may be
    /// sent to a store that is draining by now, nor for an operation that already has its final result.
    pub(super) fn send(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        let store_id = attempt.store;
        let store = self.stores.get_mut(store_id).filter(|store| store.state == StoreState::Ready);
        let fragment = self.fragments.get(&attempt.fragment);
        let fragment = fragment.filter(|fragment| fragment.state == FragmentState::Scheduled);
        let (Some(store), Some(fragment)) = (store, fragment) else {
            return self.finish_attempt(number, Outcome::ConnectFailed, StoreReply::default());
        };
        match &mut store.connection {
            Connection::Down => {
                attempt.status = AttemptStatus::Connecting;
                store.connection = Connection::Connecting(vec![number]);
                self.outputs.push(Output::ConnectStore { store: store_id, address: store.address });
            }
            Connection::Connecting(waiting) => {
                attempt.status = AttemptStatus::Connecting;
                waiting.push(number);
            }
            Connection::Up(clock) => {
                attempt.status = AttemptStatus::Sent;
                let volume = self.volumes[fragment.volume];
                let units = self.settings.units(fragment.range.length);
                let message = attempt_message(number, fragment, volume, units, clock, attempt.deadline);
                let request = self.requests.get(&fragment.request);
                let buffer_guard = request.map(|request| request.buffer_guard.clone());
                self.outputs.push(Output::ToStore { store: store_id, message, buffer_guard });
            }
        }
    }

    /// Cancels an attempt, given by its index among the fragment's attempts.
    pub(super) fn cancel_attempt(&mut self, id: u32, index: u32) {
        let fragment = self.fragments.get(&id);
        let number = fragment.and_then(|fragment| fragment.attempts.get(index as usize)).copied();
        let Some(number) = number else { return };
        let Some(attempt) = self.attempts.get(&number) else { return };
        if attempt.status == AttemptStatus::Sent {
            let message = ToStore::Cancel { number };
            self.outputs.push(Output::ToStore { store: attempt.store, message, buffer_guard: None });
        } else {
            self.finish_attempt(number, Outcome::ConnectFailed, StoreReply::default());
        }
    }

    /// Records an attempt's outcome and reports it to the scheduler, exactly once and without changing it.
    pub(super) fn finish_attempt(&mut self, number: u64, outcome: Outcome, reply: StoreReply) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        self.timers.unset(attempt.deadline, Timer::Attempt(number));
        let id = attempt.fragment;
        let Some(fragment) = self.fragments.get_mut(&id) else { return };
        fragment.in_flight -= 1;
        if may_have_run(outcome) {
            fragment.may_have_run_since = fragment.may_have_run_since.or(Some(attempt.decided_at));
        }
        if may_still_take_effect(outcome) {
            fragment.unknown_outcomes.push((number, attempt.deadline));
        }
        if outcome == Outcome::Succeeded {
            self.complete(id, FinalResult::Succeeded);
        }
        let fragment = self.fragments.get(&id);
        let op_ended = fragment.is_none_or(|fragment| fragment.state != FragmentState::Scheduled);
        let finished_at = reply.received_at.unwrap_or(self.now);
        self.events.push(Event::AttemptFinished(AttemptResult {
            op: OpId(id),
            attempt: attempt.index,
            store: attempt.store,
            outcome,
            latency: finished_at.saturating_sub(attempt.decided_at),
            op_ended,
            plan_rate_used: reply.plan_rate_used,
            units_elsewhere: reply.units_elsewhere,
            report: reply.report,
        }));
        self.remove_if_finished(id);
    }
}

/// Whether an attempt with this outcome may have been executed.
fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}

/// Whether an attempt with this outcome may still take effect later.
fn may_still_take_effect(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::Unknown)
}

/// The message that sends an attempt to its store. It carries two fences: `not_after`, the time fence by the
/// store's clock, and `supersedes`, the earlier attempts that must not take effect after this one. A read
/// that was partly delivered requests only the rest.
fn attempt_message(
    number: u64,
    fragment: &Fragment,
    volume: u64,
    units: f64,
    clock: &ClockReading,
    deadline: Duration,
) -> ToStore {
    ToStore::Attempt(Attempt {
        number,
        op: fragment.sequence,
        volume,
        extent: fragment.range.extent,
        epoch: fragment.location.map_or(0, |location| location.epoch),
        kind: fragment.kind,
        offset: fragment.range.offset + fragment.delivered_bytes,
        length: fragment.range.length - fragment.delivered_bytes,
        units,
        not_after: clock.not_after(deadline),
        supersedes: fragment.unknown_outcomes.iter().map(|(number, _)| *number).collect(),
        durable: fragment.durable,
        data: fragment.data.clone(),
    })
}

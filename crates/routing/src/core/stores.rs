//! Connections to stores, readings of their clocks, read data and results of attempts.

use std::time::Duration;

use umbertray::interface::{Event, Outcome, StoreId};
use umbertray_store_protocol::store::{AttemptResult, FromStore, OperationKind, ResultCode};

use super::Core;
use super::attempts::StoreReply;
use crate::fence::ClockReading;
use crate::fragment::{AttemptStatus, Fragment, FragmentState};
use crate::store_membership::Connection;
use crate::{Output, ReplyPart};

impl Core {
    /// Handles an established connection: the attempts that waited for it are sent.
    pub(super) fn on_store_connected(&mut self, id: StoreId, lasting_id: u64, shard: u32, clock: u64) {
        let Some(store) = self.stores.get_mut(id) else {
            return self.outputs.push(Output::DisconnectStore { store: id });
        };
        // Another process listens at this address by now: the endpoint list is outdated.
        if store.lasting_id != lasting_id || store.shard != shard {
            let text = format!(
                "store {lasting_id} of shard {shard} answered at {}, \
                 where the endpoint list names another store; closing the connection",
                store.address
            );
            self.outputs.push(Output::DisconnectStore { store: id });
            self.outputs.push(Output::Log(text));
            return self.on_store_disconnected(id);
        }
        let up = Connection::Up(ClockReading { clock, read_at: self.now });
        let previous = std::mem::replace(&mut store.connection, up);
        if let Connection::Connecting(waiting) = previous {
            waiting.into_iter().for_each(|number| self.send(number));
        }
    }

    /// Handles a failed or broken connection. Attempts that were sent may have been executed; attempts that
    /// waited for the connection were never sent.
    pub(super) fn on_store_disconnected(&mut self, id: StoreId) {
        if let Some(store) = self.stores.get_mut(id) {
            store.connection = Connection::Down;
        }
        let of_store = self.attempts.iter().filter(|(_, attempt)| attempt.store == id);
        let lost = of_store.filter(|(_, attempt)| attempt.status != AttemptStatus::Claiming);
        let mut lost: Vec<(u64, AttemptStatus)> =
            lost.map(|(number, attempt)| (*number, attempt.status)).collect();
        lost.sort_unstable_by_key(|(number, _)| *number);
        for (number, status) in lost {
            let was_sent = status == AttemptStatus::Sent;
            let outcome = if was_sent { Outcome::Reset } else { Outcome::ConnectFailed };
            self.finish_attempt(number, outcome, StoreReply::default());
        }
    }

    pub(super) fn on_store_message(&mut self, store: StoreId, message: FromStore, received_at: Duration) {
        match message {
            FromStore::Welcome { .. } => {}
            FromStore::Data { number, offset, data } => {
                let length = data.len() as u32;
                let part = |offset| ReplyPart::Data { offset, data };
                self.forward_read_data(store, number, offset, length, part);
            }
            FromStore::Hole { number, offset, length } => {
                let part = |offset| ReplyPart::Hole { offset, length };
                self.forward_read_data(store, number, offset, length, part);
            }
            FromStore::AttemptResult(result) => self.on_attempt_result(store, result, received_at),
            // Sent to coordinators only; a gateway sends no orders.
            FromStore::OrderReply { .. } => {}
            // Response to the connection's own heartbeat; the core uses it only to read the store's clock.
            FromStore::Healthy { token: 0, clock, .. } => self.read_clock(store, clock),
            FromStore::Healthy { clock, load_report: report, .. } => {
                self.read_clock(store, clock);
                self.events.push(Event::HealthChecked { store, outcome: Outcome::Succeeded, report });
            }
        }
    }

    fn read_clock(&mut self, store: StoreId, clock: u64) {
        let connection = self.stores.get_mut(store).map(|store| &mut store.connection);
        if let Some(Connection::Up(reading)) = connection {
            *reading = ClockReading { clock, read_at: self.now };
        }
    }

    /// Forwards read data to the client as it arrives. If the store fails midway, the next attempt requests
    /// only the rest.
    fn forward_read_data(
        &mut self,
        store: StoreId,
        number: u64,
        offset: u32,
        length: u32,
        part: impl FnOnce(u64) -> ReplyPart,
    ) {
        let Some(attempt) = self.attempts.get(&number).filter(|attempt| attempt.store == store) else {
            return;
        };
        let Some(fragment) = self.fragments.get_mut(&attempt.fragment) else { return };
        if fragment.state != FragmentState::Scheduled {
            return;
        }
        let remaining = fragment.range.length - fragment.delivered_bytes;
        let is_expected = fragment.kind == OperationKind::Read
            && offset == fragment.range.offset + fragment.delivered_bytes
            && length <= remaining;
        if !is_expected {
            let text = format!(
                "attempt {number}: unexpected read data at offset {offset}; closing the store's connection"
            );
            self.outputs.push(Output::Log(text));
            self.outputs.push(Output::DisconnectStore { store });
            return self.on_store_disconnected(store);
        }
        fragment.delivered_bytes += length;
        let request = fragment.request;
        let extent = fragment.range.extent;
        let volume_offset = self.volume_offset(extent, offset);
        self.reply(request, part(volume_offset));
    }

    fn on_attempt_result(&mut self, store: StoreId, result: AttemptResult, received_at: Duration) {
        self.read_clock(store, result.clock);
        if result.code == Ok(ResultCode::StaleEpoch) {
            return self.on_stale_epoch(store, result.number, result.epoch);
        }
        // The attempt may have been abandoned already; its late result is ignored.
        let attempt = self.attempts.get(&result.number).filter(|attempt| attempt.store == store);
        let Some(attempt) = attempt else { return };
        let Some(fragment) = self.fragments.get(&attempt.fragment) else { return };
        let request = fragment.request;
        let range = fragment.range;
        let kind = fragment.kind;
        let volume = fragment.volume;
        let outcome = outcome(&result, fragment);
        if result.code == Ok(ResultCode::ExtentNotHeld) {
            self.locations.forget((self.volumes[volume], range.extent));
        }
        if outcome == Outcome::Succeeded && kind == OperationKind::Status {
            self.record_data_ranges(request, range, result.data_ranges);
        }
        let reply = StoreReply {
            received_at: Some(received_at),
            plan_rate_used: result.plan_rate_used,
            units_elsewhere: result.units_elsewhere,
            report: result.load_report,
        };
        self.finish_attempt(result.number, outcome, reply);
    }
}

/// Maps a store's result code to the scheduler's outcomes.
fn outcome(result: &AttemptResult, fragment: &Fragment) -> Outcome {
    match result.code {
        Ok(ResultCode::Succeeded) if is_complete(result, fragment) => Outcome::Succeeded,
        Ok(ResultCode::Succeeded | ResultCode::Failed) => Outcome::Failed,
        Ok(ResultCode::Rejected) => Outcome::Rejected,
        Ok(ResultCode::Fenced | ResultCode::StaleEpoch | ResultCode::ExtentNotHeld) => Outcome::NotSent,
        Ok(ResultCode::Cancelled) => Outcome::Cancelled,
        Err(_) => Outcome::Unknown,
    }
}

/// Whether a successful result covers the fragment's full range.
fn is_complete(result: &AttemptResult, fragment: &Fragment) -> bool {
    match fragment.kind {
        OperationKind::Read => {
            fragment.delivered_bytes == fragment.range.length || fragment.state != FragmentState::Scheduled
        }
        OperationKind::Status => {
            let covered: u64 = result.data_ranges.iter().map(|range| u64::from(range.length)).sum();
            covered == u64::from(fragment.range.length)
        }
        OperationKind::Write | OperationKind::Zero | OperationKind::Trim | OperationKind::Flush => true,
    }
}

//! Attempts at a scripted store: their arrival, their execution by the model and the disk, and their result.

use std::ops::ControlFlow;
use std::time::Duration;

use bytes::BytesMut;
use rand::Rng;
use umbertray_store_protocol::store::{AttemptResult, DataRange, FromStore, ResultCode};

use super::CHUNK_BYTES;
use super::process::Process;
use super::records::{received_event, recorded_code};
use crate::disk::{Applied, Content, ReadPart};
use crate::event_log::StoreEvent;
use crate::model::{Admission, Job};

/// Delay after which the store retries an attempt that depends on a move which the store does not know yet.
const EARLY_RETRY_INTERVAL: Duration = Duration::from_millis(1);

impl Process {
    /// Records an attempt, and queues it or responds to it immediately.
    pub(super) fn receive(&mut self, job: Job) {
        self.record(received_event(job.run, &job.attempt));
        if let Ok(mut disk) = self.identity.disk.lock() {
            disk.supersede(job.run, &job.attempt);
        }
        if self.rng.random_bool(self.model.fault.error_fraction) {
            return self.send_result(&job, ResultCode::Failed);
        }
        let number = job.attempt.number;
        match self.model.admit(job.arrived, job) {
            Admission::Accepted => {}
            Admission::QueueFull(job) => self.send_result(&job, ResultCode::Rejected),
            Admission::Crashed => {
                tracing::warn!(
                    store = self.identity.store,
                    number,
                    "store crashed: more work arrived than a cold store can handle"
                );
                self.record(StoreEvent::Fell);
                self.is_down = true;
            }
        }
    }

    /// Applies the attempts whose work has ended by now, and sends their results.
    pub(super) fn finish_due_attempts(&mut self) {
        let (now, clock) = (self.now(), self.clock());
        let disk = self.identity.disk.clone();
        let is_fenced =
            |job: &Job| disk.lock().is_ok_and(|disk| disk.is_fenced(clock, job.run, &job.attempt));
        for job in self.model.advance(now, is_fenced) {
            let Ok(applied) = disk.lock().map(|mut disk| disk.apply(clock, job.run, &job.attempt)) else {
                return;
            };
            if matches!(applied, Applied::Read(_) | Applied::Status(_) | Applied::Done) {
                self.record(StoreEvent::Ran { run: job.run, number: job.attempt.number });
            }
            if self.send_outcome(now, job, applied).is_break() {
                return;
            }
        }
    }

    /// Sends the result of an applied attempt. Breaks if the store ended while it sent the attempt's data.
    fn send_outcome(&mut self, now: Duration, job: Job, applied: Applied) -> ControlFlow<()> {
        match applied {
            Applied::Read(parts) => {
                for part in parts {
                    self.send_part(&job, part);
                }
                if self.is_down {
                    return ControlFlow::Break(());
                }
                self.send_result(&job, ResultCode::Succeeded);
            }
            Applied::Status(ranges) => self.send_result_with(&job, ResultCode::Succeeded, 0, ranges),
            Applied::Done | Applied::AlreadyExecuted => self.send_result(&job, ResultCode::Succeeded),
            Applied::Fenced => self.send_result(&job, ResultCode::Fenced),
            Applied::StaleEpoch(epoch) => {
                self.send_result_with(&job, ResultCode::StaleEpoch, epoch, Vec::new());
            }
            // Retried until the coordinator's order arrives or the attempt's time limit passes.
            Applied::NotActiveYet => self.model.defer(now + EARLY_RETRY_INTERVAL, job),
        }
        ControlFlow::Continue(())
    }

    pub(super) fn send_result(&mut self, job: &Job, code: ResultCode) {
        self.send_result_with(job, code, 0, Vec::new());
    }

    /// Records the result of an attempt and sends it, unless the `lost` fault drops it.
    fn send_result_with(&mut self, job: &Job, code: ResultCode, epoch: u64, data_ranges: Vec<DataRange>) {
        let (run, number) = (job.run, job.attempt.number);
        self.record(StoreEvent::Answered { run, number, code: recorded_code(code).into() });
        if self.rng.random_bool(self.model.fault.lost_fraction) {
            return;
        }
        let now = self.now();
        let units_elsewhere =
            if code == ResultCode::Succeeded { self.model.count_served(now, job) } else { 0.0 };
        let result = AttemptResult {
            number,
            code: Ok(code),
            clock: self.clock(),
            epoch,
            plan_rate_used: None,
            units_elsewhere,
            load_report: self.model.load_report(),
            data_ranges,
        };
        self.send(job.connection, FromStore::AttemptResult(result));
    }

    fn send_part(&mut self, job: &Job, part: ReadPart) {
        let (number, offset) = (job.attempt.number, part.offset);
        match part.content {
            Content::Data(data) => self.send_data(job, offset, data),
            Content::Hole(length) => self.send(job.connection, FromStore::Hole { number, offset, length }),
        }
    }

    /// Sends data in chunks. Stops after the chunk with which the store is to end.
    fn send_data(&mut self, job: &Job, mut offset: u32, mut data: BytesMut) {
        let number = job.attempt.number;
        while !data.is_empty() && !self.is_down {
            let chunk = data.split_to(CHUNK_BYTES.min(data.len())).freeze();
            let length = chunk.len() as u32;
            self.send(job.connection, FromStore::Data { number, offset, data: chunk });
            offset += length;
            if let Some(remaining) = &mut self.chunks_until_exit {
                *remaining = remaining.saturating_sub(1);
                self.is_down = *remaining == 0;
            }
        }
    }
}

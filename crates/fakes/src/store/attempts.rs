//! Attempts at a scripted store: from their arrival over the model and the disk to their result.

use std::ops::ControlFlow;
use std::time::Duration;

use bytes::BytesMut;
use rand::Rng;
use umbertray_store_protocol::store::{AttemptResult, DataRange, FromStore, ResultCode};

use super::CHUNK_BYTES;
use super::process::Process;
use super::records::{received, recorded_code};
use crate::book::Seen;
use crate::disk::{Applied, Content, ReadPart};
use crate::model::{Admission, Job};

/// How often an attempt is applied again that knows of a move before the store does.
const EARLY_RETRY_INTERVAL: Duration = Duration::from_millis(1);

impl Process {
    /// Records an attempt, and queues it or answers it at once.
    pub(super) fn receive(&mut self, job: Job) {
        self.record(received(job.run, &job.attempt));
        if let Ok(mut disk) = self.identity.medium.lock() {
            disk.supersede(job.run, &job.attempt);
        }
        if self.rng.random_bool(self.model.fault.errors) {
            return self.answer(&job, ResultCode::Failed);
        }
        let number = job.attempt.number;
        match self.model.arrive(job.arrived, job) {
            Admission::Queued => {}
            Admission::Full(job) => self.answer(&job, ResultCode::Rejected),
            Admission::Crashed => {
                tracing::warn!(store = self.identity.store, number, "store pushed over");
                self.record(Seen::Fell);
                self.down = true;
            }
        }
    }

    /// Applies and answers the attempts whose work is done by now.
    pub(super) fn advance(&mut self) {
        let (now, clock) = (self.now(), self.clock());
        let disk = self.identity.medium.clone();
        let fenced = |job: &Job| disk.lock().is_ok_and(|disk| disk.fenced(clock, job.run, &job.attempt));
        for job in self.model.advance(now, fenced) {
            let Ok(applied) = disk.lock().map(|mut disk| disk.apply(clock, job.run, &job.attempt)) else {
                return;
            };
            if matches!(applied, Applied::Read(_) | Applied::Status(_) | Applied::Done) {
                self.record(Seen::Ran { run: job.run, number: job.attempt.number });
            }
            if self.conclude(now, job, applied).is_break() {
                return;
            }
        }
    }

    /// Answers an attempt as it was applied; breaks when the store ended in the midst of its data.
    fn conclude(&mut self, now: Duration, job: Job, applied: Applied) -> ControlFlow<()> {
        match applied {
            Applied::Read(parts) => {
                for part in parts {
                    self.send_part(&job, part);
                }
                if self.down {
                    return ControlFlow::Break(());
                }
                self.answer(&job, ResultCode::Succeeded);
            }
            Applied::Status(ranges) => self.answer_with(&job, ResultCode::Succeeded, 0, ranges),
            Applied::Done | Applied::Repeat => self.answer(&job, ResultCode::Succeeded),
            Applied::Fenced => self.answer(&job, ResultCode::Fenced),
            Applied::Stale(epoch) => self.answer_with(&job, ResultCode::StaleEpoch, epoch, Vec::new()),
            // It waits for the coordinator's order for as long as it has time.
            Applied::Early => self.model.defer(now + EARLY_RETRY_INTERVAL, job),
        }
        ControlFlow::Continue(())
    }

    pub(super) fn answer(&mut self, job: &Job, code: ResultCode) {
        self.answer_with(job, code, 0, Vec::new());
    }

    /// Records the result of an attempt and sends it, unless it is to be lost.
    fn answer_with(&mut self, job: &Job, code: ResultCode, epoch: u64, data_ranges: Vec<DataRange>) {
        let (run, number) = (job.run, job.attempt.number);
        self.record(Seen::Answered { run, number, code: recorded_code(code).into() });
        if self.rng.random_bool(self.model.fault.lost) {
            return;
        }
        let now = self.now();
        let units_elsewhere = if code == ResultCode::Succeeded { self.model.served(now, job) } else { 0.0 };
        let result = AttemptResult {
            number,
            code: Ok(code),
            clock: self.clock(),
            epoch,
            plan_rate_used: None,
            units_elsewhere,
            load_report: self.model.report(),
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

    /// Sends data in chunks, until the chunk with which the script ends the store.
    fn send_data(&mut self, job: &Job, mut offset: u32, mut data: BytesMut) {
        let number = job.attempt.number;
        while !data.is_empty() && !self.down {
            let chunk = data.split_to(CHUNK_BYTES.min(data.len())).freeze();
            let length = chunk.len() as u32;
            self.send(job.connection, FromStore::Data { number, offset, data: chunk });
            offset += length;
            if let Some(left) = &mut self.chunks_to_live {
                *left = left.saturating_sub(1);
                self.down = *left == 0;
            }
        }
    }
}

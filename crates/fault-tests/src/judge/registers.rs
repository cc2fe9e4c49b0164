//! Checks each block as a register: a read may return only a value that a write left there and that may not
//! have been overwritten yet.
//!
//! Marks are unique, so a read identifies its write. A write with a final response has run by the time of the
//! response if it runs at all. This holds for throttled and aborted writes too, since a gateway does not
//! respond to a write while an attempt of it may still run. A write without a response may run at any later
//! time. The checks are necessary conditions of correct behaviour, so that no correct record is rejected:
//! - a read returns zeros or the mark of a write that had begun;
//! - a read does not return the value of a write that certainly ran before another write began, if that other
//!   write had been acked, or its value read, before the read began;
//! - no value is read again after another value was read in between, since each write takes effect once.

use std::collections::BTreeMap;

use super::Finding;
use super::rules::IndexedRecord;
use crate::load::BLOCK_BYTES;
use crate::record::{Outcome, RequestKind};

#[derive(Clone, Copy, Debug)]
struct Write {
    began: u64,
    /// Latest time at which it can have run.
    ran_by: u64,
    /// Time from which it certainly has run, because it was acked or its value was read.
    seen_by: u64,
}

#[derive(Clone, Copy, Debug)]
struct Read {
    mark: u64,
    began: u64,
    ended: u64,
}

#[derive(Default)]
struct Register {
    writes: BTreeMap<u64, Write>,
    reads: Vec<Read>,
}

pub(crate) fn registers(indexed: &IndexedRecord) -> Finding {
    let mut finding = Finding::new("reads return what stands", "most writes a block had");
    let mut registers: BTreeMap<(usize, u64), Register> = BTreeMap::new();
    for request in &indexed.record.client_requests {
        let first = request.offset / u64::from(BLOCK_BYTES);
        for i in 0..u64::from(request.length / BLOCK_BYTES) {
            let register = registers.entry((request.volume, first + i)).or_default();
            match request.kind {
                RequestKind::Write => {
                    let lost = matches!(request.outcome, Outcome::Lost | Outcome::Silent);
                    let ran_by = if lost { u64::MAX } else { request.ended };
                    let seen_by = if request.outcome == Outcome::Acked { request.ended } else { u64::MAX };
                    register.writes.insert(request.mark, Write { began: request.sent, ran_by, seen_by });
                }
                RequestKind::Read if request.outcome == Outcome::Acked => {
                    match request.found.get(i as usize).copied().flatten() {
                        Some(mark) => {
                            register.reads.push(Read { mark, began: request.sent, ended: request.ended });
                        }
                        None => finding.breach(|| {
                            let block = first + i;
                            format!("block {block} is torn or holds data that no client wrote: {request:?}")
                        }),
                    }
                }
                _ => {}
            }
        }
    }
    for ((volume, block), register) in registers {
        finding.cases_checked += register.reads.len() as u64;
        finding.record_max(register.writes.len() as f64);
        if let Some(violation) = register.violation() {
            finding.breach(|| format!("volume {volume} block {block}: {violation}"));
        }
    }
    finding
}

impl Register {
    /// The first violation of the conditions above, as text.
    fn violation(mut self) -> Option<String> {
        // A block holds zeros before its first write.
        self.writes.insert(0, Write { began: 0, ran_by: 0, seen_by: 0 });
        for read in &self.reads {
            let Some(write) = self.writes.get_mut(&read.mark).filter(|write| write.began <= read.ended)
            else {
                return Some(format!("{read:?} returns a value whose write had not begun"));
            };
            write.seen_by = write.seen_by.min(read.ended);
        }
        for read in &self.reads {
            let write = self.writes[&read.mark];
            let overwritten_by = |other: &Write| write.ran_by < other.began && other.seen_by < read.began;
            if let Some((mark, other)) = self.writes.iter().find(|(_, other)| overwritten_by(other)) {
                return Some(format!(
                    "{read:?} returns {write:?}, which write {mark} had overwritten: {other:?}"
                ));
            }
        }
        self.reappeared_value()
    }

    /// Finds a value that was read, then certainly replaced by another that was read, then read again.
    fn reappeared_value(&mut self) -> Option<String> {
        self.reads.sort_by_key(|read| read.began);
        let mut first_ended: BTreeMap<u64, u64> = BTreeMap::new();
        for read in &self.reads {
            let ended = first_ended.entry(read.mark).or_insert(read.ended);
            *ended = (*ended).min(read.ended);
        }
        for read in &self.reads {
            let first = first_ended[&read.mark];
            let between =
                |other: &&Read| other.mark != read.mark && other.began > first && other.ended < read.began;
            if let Some(other) = self.reads.iter().find(between) {
                return Some(format!("{read:?} returns an earlier value after {other:?}"));
            }
        }
        None
    }
}

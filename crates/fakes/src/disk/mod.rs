//! A shard's data in memory, which outlives the stores that serve it, and what keeps late attempts from it.

mod moves;
mod pages;

use std::collections::{BTreeMap, HashMap, HashSet};

use umbertray_control_plane::fence::{EpochCheck, Fences};
use umbertray_store_protocol::store::{Attempt, DataRange, OperationKind};

use self::moves::TrackedRange;
use self::pages::Page;
pub(crate) use self::pages::{Content, ReadPart};

/// How long superseded attempts and executed operations are remembered after their time limit, in microseconds.
const RETENTION_US: u64 = 10_000_000;

/// A volume and an extent of it.
type ExtentKey = (u64, u64);
/// A gateway's run, and the number of an attempt or operation in it.
type RunKey = (u64, u64);

/// Data of one shard in memory, with the fences that protect it from late attempts.
#[derive(Default)]
pub struct InMemoryDisk {
    /// Pages by their number within the extent.
    pages: HashMap<ExtentKey, BTreeMap<u32, Page>>,
    /// Attempts that must not run.
    superseded: HashSet<RunKey>,
    /// Operations that have run.
    executed: HashMap<RunKey, ExecutedAt>,
    /// What is forgotten once the store's clock has passed a time.
    expiries: BTreeMap<u64, Vec<Expiry>>,
    fences: Fences,
    /// What is to be copied for moves from here, by their number.
    tracked: BTreeMap<u64, TrackedRange>,
    /// How often anything has changed.
    changes: u64,
    /// Each extent's last change; while a range is incoming, that of its source.
    change_counts: HashMap<ExtentKey, u64>,
}

/// Where an operation was executed, and until when that is remembered.
#[derive(Clone, Copy)]
struct ExecutedAt {
    volume: u64,
    extent: u64,
    until: u64,
}

enum Expiry {
    Superseded(RunKey),
    Executed(RunKey),
}

/// What applying an attempt came to.
pub(crate) enum Applied {
    Read(Vec<ReadPart>),
    /// Which parts of the range hold data.
    Status(Vec<DataRange>),
    Done,
    /// The operation was executed before, by another attempt: a repeat changes nothing.
    Repeat,
    /// It is superseded, or past its time limit.
    Fenced,
    /// The range has moved, and has this epoch.
    Stale(u64),
    /// The gateway knows of a move of which the coordinator's order has not come yet.
    Early,
}

impl InMemoryDisk {
    /// Marks the attempts that this one supersedes, on its arrival.
    pub(crate) fn supersede(&mut self, run: u64, attempt: &Attempt) {
        for number in &attempt.supersedes {
            let key = (run, *number);
            self.superseded.insert(key);
            let expiry = attempt.not_after + RETENTION_US;
            self.expiries.entry(expiry).or_default().push(Expiry::Superseded(key));
        }
    }

    /// Whether an attempt may no longer run: past its time limit, or superseded.
    pub(crate) fn fenced(&self, clock: u64, run: u64, attempt: &Attempt) -> bool {
        clock > attempt.not_after || self.superseded.contains(&(run, attempt.number))
    }

    /// Applies an attempt at the store's time `clock`, unless it is fenced off.
    pub(crate) fn apply(&mut self, clock: u64, run: u64, attempt: &Attempt) -> Applied {
        self.expire(clock);
        if self.fenced(clock, run, attempt) {
            return Applied::Fenced;
        }
        if let Some(refusal) = self.check_epoch(attempt) {
            return refusal;
        }
        match attempt.kind {
            OperationKind::Read => Applied::Read(self.read(attempt)),
            OperationKind::Status => Applied::Status(self.status(attempt)),
            OperationKind::Flush => Applied::Done,
            OperationKind::Write | OperationKind::Zero | OperationKind::Trim => self.change(run, attempt),
        }
    }

    fn expire(&mut self, clock: u64) {
        while let Some(first) = self.expiries.first_entry().filter(|first| *first.key() < clock) {
            for expiry in first.remove() {
                match expiry {
                    Expiry::Superseded(key) => _ = self.superseded.remove(&key),
                    Expiry::Executed(key) => {
                        // A later record of the same operation keeps it for longer.
                        if self.executed.get(&key).is_some_and(|executed| executed.until < clock) {
                            self.executed.remove(&key);
                        }
                    }
                }
            }
        }
    }

    /// Why the epoch of an attempt's range forbids it; a flush addresses no range.
    fn check_epoch(&self, attempt: &Attempt) -> Option<Applied> {
        if attempt.kind == OperationKind::Flush {
            return None;
        }
        match self.fences.check(attempt.volume, attempt.extent, attempt.epoch) {
            EpochCheck::Current => None,
            EpochCheck::Stale(epoch) => Some(Applied::Stale(epoch)),
            EpochCheck::NotActiveYet => Some(Applied::Early),
        }
    }

    fn change(&mut self, run: u64, attempt: &Attempt) -> Applied {
        let key = (run, attempt.op);
        if self.executed.contains_key(&key) {
            return Applied::Repeat;
        }
        let (volume, extent) = (attempt.volume, attempt.extent);
        let until = attempt.not_after + RETENTION_US;
        self.remember_executed(key, ExecutedAt { volume, extent, until });
        self.change_pages(attempt);
        self.count_change(volume, extent);
        Applied::Done
    }

    fn remember_executed(&mut self, key: RunKey, executed: ExecutedAt) {
        self.expiries.entry(executed.until).or_default().push(Expiry::Executed(key));
        self.executed.insert(key, executed);
    }
}

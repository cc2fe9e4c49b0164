//! A shard's data in memory, and the fences that protect it from late attempts. Both outlive the stores that
//! serve the shard.

mod moves;
mod pages;

use std::collections::{BTreeMap, HashMap, HashSet};

use umbertray_control_plane::fence::{EpochCheck, Fences};
use umbertray_store_protocol::store::{Attempt, DataRange, OperationKind};

use self::moves::TrackedRange;
use self::pages::Page;
pub(crate) use self::pages::{Content, ReadPart};

/// How long superseded attempts and executed operations are remembered after the attempt's time limit, in
/// microseconds.
const RETENTION_US: u64 = 10_000_000;

/// A volume and an extent within it.
type ExtentKey = (u64, u64);
/// A gateway's run, and the number of an attempt or operation in it.
type RunKey = (u64, u64);

/// Data of one shard in memory, with the fences that protect it from late attempts.
#[derive(Default)]
pub struct InMemoryDisk {
    /// Pages that hold data, by their number within the extent.
    pages: HashMap<ExtentKey, BTreeMap<u32, Page>>,
    /// Attempts that must not be executed.
    superseded: HashSet<RunKey>,
    /// Operations that have been executed.
    executed: HashMap<RunKey, ExecutedAt>,
    /// Entries to forget once the store's clock has passed the time in the key.
    expiries: BTreeMap<u64, Vec<Expiry>>,
    fences: Fences,
    /// Ranges that are being moved away from this disk, by the number of the move.
    tracked: BTreeMap<u64, TrackedRange>,
    /// Counter of changes, over all extents.
    change_count: u64,
    /// The value of `change_count` at each extent's last change; for an extent that was copied from the
    /// source of a move, the value at the source.
    change_counts: HashMap<ExtentKey, u64>,
}

/// Extent on which an operation was executed, and until when this is remembered.
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

/// Outcome of applying an attempt.
pub(crate) enum Applied {
    Read(Vec<ReadPart>),
    /// Which parts of the range hold data and which are holes.
    Status(Vec<DataRange>),
    Done,
    /// Another attempt has already executed the operation; this one changed nothing.
    AlreadyExecuted,
    /// It was superseded, or its time limit has passed.
    Fenced,
    /// The range has been moved and now has this epoch.
    StaleEpoch(u64),
    /// The gateway already knows of a move for which this store has not received the coordinator's order.
    NotActiveYet,
}

impl InMemoryDisk {
    /// Records the attempts that an arriving attempt supersedes.
    pub(crate) fn supersede(&mut self, run: u64, attempt: &Attempt) {
        for number in &attempt.supersedes {
            let key = (run, *number);
            self.superseded.insert(key);
            let expiry = attempt.not_after + RETENTION_US;
            self.expiries.entry(expiry).or_default().push(Expiry::Superseded(key));
        }
    }

    /// Whether an attempt may no longer be executed: its time limit has passed, or it was superseded.
    pub(crate) fn is_fenced(&self, clock: u64, run: u64, attempt: &Attempt) -> bool {
        clock > attempt.not_after || self.superseded.contains(&(run, attempt.number))
    }

    /// Applies an attempt at the store's time `clock`, unless it is fenced.
    pub(crate) fn apply(&mut self, clock: u64, run: u64, attempt: &Attempt) -> Applied {
        self.expire(clock);
        if self.is_fenced(clock, run, attempt) {
            return Applied::Fenced;
        }
        if let Some(rejection) = self.check_epoch(attempt) {
            return rejection;
        }
        match attempt.kind {
            OperationKind::Read => Applied::Read(self.read(attempt)),
            OperationKind::Status => Applied::Status(self.data_ranges(attempt)),
            OperationKind::Flush => Applied::Done,
            OperationKind::Write | OperationKind::Zero | OperationKind::Trim => {
                self.execute_change(run, attempt)
            }
        }
    }

    fn expire(&mut self, clock: u64) {
        while let Some(first) = self.expiries.first_entry().filter(|first| *first.key() < clock) {
            for expiry in first.remove() {
                match expiry {
                    Expiry::Superseded(key) => _ = self.superseded.remove(&key),
                    Expiry::Executed(key) => {
                        // The operation was recorded again later, which extended its expiry.
                        if self.executed.get(&key).is_some_and(|executed| executed.until < clock) {
                            self.executed.remove(&key);
                        }
                    }
                }
            }
        }
    }

    /// The outcome of an attempt whose epoch is not the current one of its range; `None` if the attempt may
    /// run. A flush addresses no range, so it always may.
    fn check_epoch(&self, attempt: &Attempt) -> Option<Applied> {
        if attempt.kind == OperationKind::Flush {
            return None;
        }
        match self.fences.check_epoch(attempt.volume, attempt.extent, attempt.epoch) {
            EpochCheck::Current => None,
            EpochCheck::Stale(epoch) => Some(Applied::StaleEpoch(epoch)),
            EpochCheck::NotActiveYet => Some(Applied::NotActiveYet),
        }
    }

    fn execute_change(&mut self, run: u64, attempt: &Attempt) -> Applied {
        let key = (run, attempt.op);
        if self.executed.contains_key(&key) {
            return Applied::AlreadyExecuted;
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

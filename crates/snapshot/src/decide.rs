//! What is believed of what is found, and when to write what. No I/O and no clock: callers bring both.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::format::{FileHeader, FormatError, ParsedFile};

/// A moment, by clocks that outlive the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Microseconds since 1970 by the system's clock, which may be set.
    pub wall: u64,
    /// Which boot of the machine; 0 where it cannot be told.
    pub boot: u128,
    /// Microseconds since that boot, suspended time included.
    pub since_boot: u64,
}

/// How old knowledge is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    Known(Duration),
    /// The clocks cannot be trusted: as old as can be.
    Unknown,
}

impl Age {
    pub fn known(self) -> Option<Duration> {
        match self {
            Age::Known(age) => Some(age),
            Age::Unknown => None,
        }
    }
}

/// Knowledge of another boot is aged by the system's clock alone; beyond this it is very old whatever the clock says.
const OTHER_BOOT: Duration = Duration::from_secs(24 * 3600);

/// Within one boot the time since boot counts, which nobody can set. Across boots only the system's clock is left: gone
/// backwards, or ahead by more than a day, it is not believed.
pub fn age(then: Stamp, now: Stamp) -> Age {
    let passed = |from: u64, to: u64| to.checked_sub(from).map(Duration::from_micros);
    let passed = if then.boot == now.boot && now.boot != 0 {
        passed(then.since_boot, now.since_boot)
    } else {
        passed(then.wall, now.wall).filter(|age| *age <= OTHER_BOOT)
    };
    passed.map_or(Age::Unknown, Age::Known)
}

/// Something an operator should know of what was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadNote {
    NoSnapshot,
    Rejected {
        file: String,
        why: FormatError,
    },
    /// What was being written when the process or machine died.
    TornWrite {
        file: String,
        bytes: usize,
    },
    OtherSettings,
    UnknownAge,
}

/// What may be done with a folder.
#[derive(Clone, Debug, PartialEq)]
pub enum FolderState {
    /// Believe this, if anything; write from this generation on.
    Usable {
        read: Option<Box<ParsedFile>>,
        next: u64,
        notes: Vec<LoadNote>,
    },
    Foreign {
        found: u64,
    },
    Newer {
        file: String,
        version: u16,
    },
}

/// A file's name, its generation by that name, and what is in it.
pub type FoundFile = (String, u64, Result<ParsedFile, FormatError>);

/// Looks through the files, newest generation first: the first that is whole is believed. A folder of another gateway, or with
/// a newer version's file, is left alone.
pub fn find(files: Vec<FoundFile>, gateway: u64, digest: u64) -> FolderState {
    let mut files = files;
    files.sort_by_key(|(_, generation, _)| std::cmp::Reverse(*generation));
    let next = files.first().map_or(1, |(_, generation, _)| generation + 1);
    for (file, _, found) in &files {
        match found {
            Ok(read) if read.head.gateway != gateway => {
                return FolderState::Foreign { found: read.head.gateway };
            }
            Err(FormatError::NewerVersion(version)) => {
                return FolderState::Newer { file: file.clone(), version: *version };
            }
            _ => {}
        }
    }
    let mut notes = Vec::new();
    for (file, generation, found) in files {
        match found {
            // A file under another generation's name was put there by hand: its place in time is not known.
            Ok(read) if read.head.generation != generation => {
                notes.push(LoadNote::Rejected { file, why: FormatError::NoHeader });
            }
            Ok(read) => {
                if read.torn_bytes > 0 {
                    notes.push(LoadNote::TornWrite { file, bytes: read.torn_bytes });
                }
                if read.head.digest != digest {
                    notes.push(LoadNote::OtherSettings);
                }
                return FolderState::Usable { read: Some(Box::new(read)), next, notes };
            }
            Err(why) => notes.push(LoadNote::Rejected { file, why }),
        }
    }
    if notes.is_empty() {
        notes.push(LoadNote::NoSnapshot);
    }
    FolderState::Usable { read: None, next, notes }
}

/// What to do with the next entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDecision {
    Append,
    /// A new generation, with this number.
    NewFile(u64),
    /// Not before it is time to try again.
    Wait,
}

/// How often what is known is saved, and how long its floors hold. A gateway keeps the floors of its last two saves: they
/// cover a save for as long as it is promised while saves come no more often than half of that.
pub const EVERY: Duration = Duration::from_secs(1);
pub const PROMISED: Duration = Duration::from_secs(2);

/// When to write where: bounded in size, and slower after failures.
#[derive(Clone, Debug)]
pub struct WritePolicy {
    pub head: FileHeader,
    /// Bytes in the present file; absent: there is none that may be appended to.
    size: Option<usize>,
    /// A file grows to so many bytes before a new one is begun.
    most_grown: usize,
    /// Bytes of the file's first, whole entry.
    base: usize,
    failures: u32,
    /// Until when what was written would have taken at the bounded rate.
    paid_until: Duration,
    wait_until: Duration,
}

/// Writing goes on no faster than this in the long run, bytes a second, whatever there is to be said.
const RATE: f64 = (2 << 20) as f64;

/// What it may be ahead of that, so that a file begun anew does not let promises run out.
const AHEAD: Duration = Duration::from_secs(3);
const FIRST_WAIT: Duration = Duration::from_secs(1);
const MOST_WAIT: Duration = Duration::from_secs(60);

impl WritePolicy {
    pub fn new(head: FileHeader, most_grown: usize) -> WritePolicy {
        let (paid_until, wait_until) = (Duration::ZERO, Duration::ZERO);
        WritePolicy { head, size: None, most_grown, base: 0, failures: 0, paid_until, wait_until }
    }

    pub fn next(&self, now: Duration) -> WriteDecision {
        match self.size {
            _ if now < self.wait_until => WriteDecision::Wait,
            // As much again as its first entry, or a large state would be written whole again and again.
            Some(size) if size < self.most_grown.max(2 * self.base) => WriteDecision::Append,
            // The first file is the generation that was planned; others follow.
            Some(_) => WriteDecision::NewFile(self.head.generation + 1),
            None => WriteDecision::NewFile(self.head.generation),
        }
    }

    pub fn written(&mut self, now: Duration, what: WriteDecision, bytes: usize) {
        self.failures = 0;
        self.paid_until = self.paid_until.max(now) + Duration::from_secs_f64(bytes as f64 / RATE);
        self.wait_until = self.paid_until.saturating_sub(AHEAD);
        match what {
            WriteDecision::NewFile(generation) => {
                (self.head.generation, self.size, self.base) = (generation, Some(bytes), bytes);
            }
            _ => self.size = self.size.map(|size| size + bytes),
        }
    }

    /// Danger: after a failed sync nobody can tell what of the file is on the disk, and a second sync may say "done" of what was
    /// dropped. The file is never touched again: the next write begins a new one, later each time.
    pub fn failed(&mut self, now: Duration) {
        let wait = FIRST_WAIT * 2u32.pow(self.failures.min(6));
        self.failures += 1;
        self.wait_until = now + wait.min(MOST_WAIT);
        self.head.generation += 1;
        self.size = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: u64 = 3_600_000_000;

    fn stamp(wall: u64, boot: u128, since_boot: u64) -> Stamp {
        Stamp { wall, boot, since_boot }
    }

    #[test]
    fn age_is_by_the_clock_that_cannot_be_set_and_else_doubted() {
        let then = stamp(100 * HOUR, 1, HOUR);
        let aged = |now| age(then, now);
        assert_eq!(aged(stamp(100 * HOUR, 1, HOUR + 5)), Age::Known(Duration::from_micros(5)));
        assert_eq!(
            aged(stamp(900 * HOUR, 1, HOUR + 5)),
            Age::Known(Duration::from_micros(5)),
            "the wall jumped"
        );
        assert_eq!(aged(stamp(101 * HOUR, 1, HOUR - 5)), Age::Unknown, "since boot went backwards");
        assert_eq!(aged(stamp(101 * HOUR, 2, 9)), Age::Known(Duration::from_micros(HOUR)));
        assert_eq!(aged(stamp(99 * HOUR, 2, 9)), Age::Unknown, "the wall went backwards");
        assert_eq!(aged(stamp(130 * HOUR, 2, 9)), Age::Unknown, "over a day on another boot");
        assert_eq!(age(stamp(5, 0, 7), stamp(9, 0, 1)), Age::Known(Duration::from_micros(4)), "boot unknown");
    }

    #[test]
    fn failures_begin_a_new_file_ever_later_and_success_ends_that() {
        let mut plan = WritePolicy::new(FileHeader { gateway: 1, digest: 2, generation: 5 }, 4 << 20);
        let second = Duration::from_secs(1);
        assert_eq!(plan.next(Duration::ZERO), WriteDecision::NewFile(5));
        plan.written(Duration::ZERO, WriteDecision::NewFile(5), 100);
        assert_eq!(plan.next(second), WriteDecision::Append);
        plan.failed(second);
        assert_eq!(
            (plan.next(second), plan.next(2 * second)),
            (WriteDecision::Wait, WriteDecision::NewFile(6))
        );
        plan.failed(2 * second);
        assert_eq!(
            (plan.next(3 * second), plan.next(4 * second)),
            (WriteDecision::Wait, WriteDecision::NewFile(7))
        );
        plan.written(4 * second, WriteDecision::NewFile(7), 100);
        plan.written(5 * second, WriteDecision::Append, 12 << 20);
        assert_eq!(
            plan.next(7 * second),
            WriteDecision::Wait,
            "twelve mebibytes take six seconds, three of them ahead"
        );
        assert_eq!(plan.next(8 * second), WriteDecision::NewFile(8));
        plan.written(20 * second, WriteDecision::NewFile(8), 5 << 20);
        assert_eq!(
            plan.next(21 * second),
            WriteDecision::Append,
            "a large state is not written whole each time"
        );
        plan.written(21 * second, WriteDecision::Append, 6 << 20);
        assert_eq!(plan.next(30 * second), WriteDecision::NewFile(9));
        (0..20).for_each(|_| plan.failed(8 * second));
        assert_eq!(plan.next(8 * second + MOST_WAIT), WriteDecision::NewFile(28));
    }
}

//! Counters by reason. They are logged at an interval, on a signal and at exit, and never sent over a wire.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::reason::{Category, Reason};

/// Occurrences of each reason. The size is bounded, since all names are those of the program's own enums.
#[derive(Debug, Default)]
pub struct Counters(Mutex<BTreeMap<(Category, &'static str), u64>>);

impl Counters {
    /// Counts a reason once.
    pub fn count<R: Reason>(&self, reason: R) {
        *self.counts().entry((R::CATEGORY, reason.name())).or_default() += 1;
    }

    /// How often a reason was counted.
    pub fn get<R: Reason>(&self, reason: R) -> u64 {
        self.counts().get(&(R::CATEGORY, reason.name())).copied().unwrap_or_default()
    }

    fn counts(&self) -> MutexGuard<'_, BTreeMap<(Category, &'static str), u64>> {
        // A poisoned lock is safe to use: each update is a single increment, so the counts are always
        // consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes `category.reason=count` for each reason, sorted and separated by spaces.
impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, ((category, name), count)) in self.counts().iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(formatter, "{separator}{}.{name}={count}", category.name())?;
        }
        Ok(())
    }
}

//! Counters by reason, logged at an interval, on a signal and at exit; never sent on a wire.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::reason::{Category, Reason};

/// Occurrences of each reason. Bounded in size: the names are those of the program's own enums.
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
        // A count is whole whatever its holder did after it.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `category.reason=count`, in order, with spaces between.
impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, ((category, name), count)) in self.counts().iter().enumerate() {
            let space = if place == 0 { "" } else { " " };
            write!(formatter, "{space}{}.{name}={count}", category.name())?;
        }
        Ok(())
    }
}

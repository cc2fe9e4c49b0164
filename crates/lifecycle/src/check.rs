//! Rules checked once more where their effect happens: a violation is counted and logged.

use crate::reason::Violation;
use crate::{Counters, Decision};

/// Counts a violation of ordering, if the decision is one, and passes it to `log`.
///
/// # Panics
/// In debug builds, on a violation: whatever peers and system do, it is a fault of this program.
pub fn check(counters: &Counters, decision: Decision<Violation>, log: impl FnOnce(Violation)) {
    observe(counters, decision, log);
    debug_assert!(decision.is_ok(), "lifecycle rule violated: {decision:?}");
}

/// Counts a violation of timing, if the decision is one, and passes it to `log`. The cause may be a process that was held
/// up for longer than the rules allow for.
pub fn observe(counters: &Counters, decision: Decision<Violation>, log: impl FnOnce(Violation)) {
    let Err(violation) = decision else { return };
    counters.count(violation);
    log(violation);
}

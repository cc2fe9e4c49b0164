//! Checks of rules at the point where they take effect: a violation is counted and logged.

use crate::reason::Violation;
use crate::{Counters, Decision};

/// Counts a violation of an ordering rule, if the decision is one, and passes it to `log`.
///
/// # Panics
/// In debug builds, on a violation, since it is a bug of this program, regardless of peers and system.
pub fn assert_rule(counters: &Counters, decision: Decision<Violation>, log: impl FnOnce(Violation)) {
    record_violation(counters, decision, log);
    debug_assert!(decision.is_ok(), "lifecycle rule violated: {decision:?}");
}

/// Counts a violation of a time limit, if the decision is one, and passes it to `log`. The cause may be that
/// the process was paused for longer than the rules allow for.
pub fn record_violation(counters: &Counters, decision: Decision<Violation>, log: impl FnOnce(Violation)) {
    let Err(violation) = decision else { return };
    counters.count(violation);
    log(violation);
}

//! What happened around a breach, so that its text alone tells the product's fault from the test's own lateness.

use crate::record::{Deed, Record};

/// The stops of a gateway, what was done to the coordinator and to limits, and hold-ups of the test itself between two
/// times, in microseconds.
pub(crate) fn surroundings(record: &Record, gateway: usize, from: u64, to: u64) -> String {
    let deeds = record.deeds.iter().filter(|(at, deed)| *at <= to && end_of(*at, deed) >= from);
    let deeds =
        deeds.filter(|(_, deed)| concerns(deed, gateway)).map(|(at, deed)| format!("{deed:?} at {at}"));
    let held_up = record.held_up.iter().filter(|held_up| held_up.from <= to && held_up.to >= from);
    let held_up =
        held_up.map(|held_up| format!("the test itself was held up from {} to {}", held_up.from, held_up.to));
    let all: Vec<String> = deeds.chain(held_up).collect();
    if all.is_empty() { "nothing else happened then".into() } else { all.join(", ") }
}

fn end_of(at: u64, deed: &Deed) -> u64 {
    match deed {
        Deed::Stalled { until, .. } | Deed::CoordinatorStalled { until } => *until,
        _ => at,
    }
}

fn concerns(deed: &Deed, gateway: usize) -> bool {
    match deed {
        Deed::Stalled { gateway: other, .. }
        | Deed::Killed { gateway: other }
        | Deed::Returned { gateway: other } => *other == gateway,
        Deed::Limit { .. }
        | Deed::CoordinatorKilled
        | Deed::CoordinatorStalled { .. }
        | Deed::CoordinatorStarted { .. } => true,
        Deed::Barred { .. } | Deed::Ready { .. } | Deed::ListDelay { .. } => false,
    }
}

//! Events at the time of a breach. They are part of its text, so that a reader can tell a fault of the
//! product from a delay of the test itself.

use crate::record::{Record, TestEvent};

/// Text listing the stalls, kills and returns of a gateway, the events of the coordinator and of limits, and
/// the pauses of the test process, between two times in microseconds.
pub(crate) fn concurrent_events(record: &Record, gateway: usize, from: u64, to: u64) -> String {
    let events = record.events.iter().filter(|(at, event)| *at <= to && end_time(*at, event) >= from);
    let events =
        events.filter(|(_, event)| concerns(event, gateway)).map(|(at, event)| format!("{event:?} at {at}"));
    let held_up = record.held_up.iter().filter(|held_up| held_up.from <= to && held_up.to >= from);
    let held_up =
        held_up.map(|held_up| format!("the test process paused from {} to {}", held_up.from, held_up.to));
    let all: Vec<String> = events.chain(held_up).collect();
    if all.is_empty() { "no other events at that time".into() } else { all.join(", ") }
}

fn end_time(at: u64, event: &TestEvent) -> u64 {
    match event {
        TestEvent::Stalled { until, .. } | TestEvent::CoordinatorStalled { until } => *until,
        _ => at,
    }
}

/// Whether an event can affect the timing of requests at this gateway.
fn concerns(event: &TestEvent, gateway: usize) -> bool {
    match event {
        TestEvent::Stalled { gateway: other, .. }
        | TestEvent::Killed { gateway: other }
        | TestEvent::Returned { gateway: other } => *other == gateway,
        TestEvent::Limit { .. }
        | TestEvent::CoordinatorKilled
        | TestEvent::CoordinatorStalled { .. }
        | TestEvent::CoordinatorStarted { .. } => true,
        TestEvent::Barred { .. } | TestEvent::Ready { .. } | TestEvent::ListDelay { .. } => false,
    }
}

//! Running gateways, tested through real sockets between the project's own fakes.

mod changes;
mod common;
mod days;
mod failing_calls;
mod hard_cases;
mod moves;
mod relays;
mod restarts;
mod scale;
mod sessions;
mod slow_disks;

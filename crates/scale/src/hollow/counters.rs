//! Counters of the inputs and calls of a gateway's core.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use umbertray_routing::Input;
use umbertray_store_protocol::list::{EndpointState, FromList};

/// Records that a gateway applied a version of the configuration, so that its core uses these settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedVersion {
    /// Number of the gateway in the run.
    pub gateway: u32,
    /// Version of the configuration.
    pub version: u64,
    /// When its core had handled the settings, in microseconds since 1970 by this machine's clock.
    pub at: u64,
}

/// Microseconds since 1970 by the machine's clock, which all processes of a run share.
pub(crate) fn unix_time_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// A snapshot of one hollow gateway's counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterSnapshot {
    /// Number of the gateway in the run.
    pub gateway: u32,
    /// Calls of its core by its event loop, including those before its restarts.
    #[serde(rename = "turns")]
    pub core_calls: u64,
    /// Stores in the last complete list, without those marked as gone.
    pub listed: u64,
    /// Complete lists received since its start.
    #[serde(rename = "whole_lists")]
    pub complete_lists: u64,
    /// Entries received in changes of the list since its start.
    pub deltas: u64,
    /// Connections to stores that were made.
    #[serde(rename = "linked")]
    pub connected: u64,
    /// Connections to stores that could not be made.
    #[serde(rename = "refused")]
    pub failed_connections: u64,
    /// Last applied version of the configuration.
    pub version: u64,
    /// Whether the gateway has ended.
    #[serde(rename = "over")]
    pub is_finished: bool,
}

/// Counters of the inputs and calls of a gateway's core since the gateway's start, except for `turns`.
#[derive(Default)]
pub(crate) struct Counters {
    /// Calls of the core by the gateway's event loop, including those before the gateway's restarts.
    pub(super) core_calls: AtomicU64,
    /// Stores in the last complete list, without those marked as gone.
    pub(super) listed: AtomicU64,
    /// Complete lists received.
    pub(super) complete_lists: AtomicU64,
    /// Entries received in changes of the list.
    pub(super) deltas: AtomicU64,
    /// Connections to stores that were made.
    pub(super) connected: AtomicU64,
    /// Connections to stores that could not be made.
    pub(super) failed_connections: AtomicU64,
    /// Last applied version of the configuration.
    pub(super) version: AtomicU64,
}

impl Counters {
    /// Counts one input of the core.
    pub(super) fn count_input(&self, input: &Input) {
        match input {
            Input::FromList(FromList::Complete(entries)) => {
                let present = entries.iter().filter(|entry| entry.state != EndpointState::Gone).count();
                self.listed.store(present as u64, Ordering::Relaxed);
                increase(&self.complete_lists, 1);
            }
            Input::FromList(FromList::Changes(entries)) => increase(&self.deltas, entries.len()),
            Input::StoreConnected { .. } => increase(&self.connected, 1),
            Input::StoreUnreachable { .. } => increase(&self.failed_connections, 1),
            _ => {}
        }
    }
}

/// Adds to a counter.
pub(super) fn increase(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}

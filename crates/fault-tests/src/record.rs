//! The record of a scenario that the judge reads.

use serde::{Deserialize, Serialize};
use umbertray_fakes::event_log::Entry;
use umbertray_store_protocol::store::OperationKind;

/// Kind of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// Reads data.
    Read,
    /// Writes data.
    Write,
    /// Makes earlier writes durable.
    Flush,
}

impl RequestKind {
    /// The kind of operation that stores execute for this request.
    pub fn operation_kind(self) -> OperationKind {
        match self {
            RequestKind::Read => OperationKind::Read,
            RequestKind::Write => OperationKind::Write,
            RequestKind::Flush => OperationKind::Flush,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Acknowledged.
    Acked,
    /// Rejected without an effect.
    Throttled,
    /// Failed.
    Aborted,
    /// Rejected because the gateway was shutting down.
    Shutdown,
    /// The connection ended without a response.
    Lost,
    /// No response arrived before the client's response timeout, which is well beyond the op timeout.
    Silent,
}

/// One request, as its client saw it. Times are in microseconds since the record began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    /// Number of the client.
    pub client: u32,
    /// Index of the gateway.
    pub gateway: usize,
    /// Index of the volume.
    pub volume: usize,
    /// Kind of request.
    pub kind: RequestKind,
    /// Offset in the volume, in bytes.
    pub offset: u64,
    /// Length in bytes.
    pub length: u32,
    /// Unique mark that a write stores in each of its blocks; 0 for other kinds.
    pub mark: u64,
    /// When it was sent.
    pub sent: u64,
    /// When it ended.
    pub ended: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// What an acked read found in each block: a write's mark, 0 for zeros, or `None` where the block is
    /// torn.
    pub found: Vec<Option<u64>>,
}

/// An injected fault or other event that the judge's limits count from: what was done to gateways, the
/// coordinator, the list service and the shared settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TestEvent {
    /// The endpoint list began to report the store as draining or gone.
    Barred {
        /// The store's id.
        store: u64,
    },
    /// The store is ready again.
    Ready {
        /// The store's id.
        store: u64,
    },
    /// A gateway was stalled: SIGSTOP was sent at the event's time, SIGCONT at `until`.
    Stalled {
        /// Index of the gateway.
        gateway: usize,
        /// When SIGCONT was sent.
        until: u64,
    },
    /// A gateway was killed.
    Killed {
        /// Index of the gateway.
        gateway: usize,
    },
    /// A gateway was started again after it was killed, and reported the address that it listens on.
    Returned {
        /// Index of the gateway.
        gateway: usize,
    },
    /// A change of a plan's limit was committed and synced. Gateways that follow the change log apply it a
    /// little later.
    Limit {
        /// The plan's name.
        plan: String,
        /// New rate, in units per second.
        rate: f64,
        /// New burst, in units.
        burst: f64,
        /// When the commit began; the event's own time is when the commit was synced.
        began: u64,
    },
    /// The coordinator was killed.
    CoordinatorKilled,
    /// The coordinator was stalled from the event's time (SIGSTOP) to `until`.
    CoordinatorStalled {
        /// When SIGCONT was sent.
        until: u64,
    },
    /// A coordinator reported that it has started.
    CoordinatorStarted {
        /// The term of its run.
        term: u64,
    },
    /// The list service delays its responses by this much from now on.
    ListDelay {
        /// Delay in microseconds.
        delay: u64,
    },
}

/// A pause of the test process, in which the system did not run it: its actions and measurements are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldUp {
    /// Start, in microseconds since the record began.
    pub from: u64,
    /// End, in microseconds since the record began.
    pub to: u64,
}

/// A step of a fault that began later than planned by more than the scenario's slack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateStep {
    /// Kind of the fault.
    pub fault: String,
    /// Planned time, in microseconds since fault injection began.
    pub planned: u64,
    /// How much later the step began, in microseconds.
    pub late: u64,
}

/// Everything that was observed in a scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Client requests, ordered by send time.
    #[serde(rename = "asked")]
    pub client_requests: Vec<Asked>,
    /// Events at the stores.
    pub stores: Vec<Entry>,
    /// Injected faults and other events, each with its time in microseconds since the record began.
    #[serde(rename = "deeds")]
    pub events: Vec<(u64, TestEvent)>,
    /// Replies that matched no pending request, and bytes that were not valid replies.
    #[serde(rename = "strays")]
    pub unmatched_replies: Vec<String>,
    /// Pauses of the test process.
    pub held_up: Vec<HeldUp>,
    /// Steps of faults that began late.
    pub late_steps: Vec<LateStep>,
}

//! The scheduler's input events and output actions, independent of any wire format.
//!
//! The caller assigns ids of ops, stores and volumes as small indices when it first sees them. Times are
//! durations since the zero of the caller's clock, which must never run backwards.

use std::collections::BTreeMap;
use std::time::Duration;

/// Setting names mapped to their values as text; durations are in seconds.
pub type Settings = BTreeMap<String, String>;

/// Identifies an op while its client waits or one of its attempts is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(
    /// The caller's index.
    pub u32,
);

/// Identifies a store across all its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreId(
    /// The caller's index.
    pub u32,
);

/// Identifies a volume within this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(
    /// The caller's index.
    pub u32,
);

/// A store's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreState {
    /// The store accepts ops.
    Ready,
    /// The store is shutting down gracefully: it still responds, but may be sent ops only during the drain
    /// grace (rule 3 of docs/design.md).
    Draining,
    /// The store is not in service.
    #[default]
    Gone,
}

/// One store's entry in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Which store.
    pub store: StoreId,
    /// The shard of the data that the store holds.
    pub shard: u32,
    /// The store's failure domain.
    pub zone: u32,
    /// When the store last started; absent: long ago.
    pub started_at: Option<Duration>,
    /// Whether the store accepts ops.
    pub state: StoreState,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    /// Only the stores that changed; all others keep their entries.
    Changes(Vec<Endpoint>),
    /// The complete list: a store that it does not name is gone.
    Complete(Vec<Endpoint>),
    /// The complete list as this gateway last held it, possibly outdated.
    Cached(Vec<Endpoint>),
    /// A request for the list failed or a subscription broke; the previous list stays in use.
    Failed,
}

/// An op that a client has submitted to this gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Op {
    /// Which op.
    pub id: OpId,
    /// Size of the op in units of work.
    pub units: f64,
    /// The volume that the op accesses.
    pub volume: VolumeId,
    /// The volume's lasting id, the same at every gateway.
    pub volume_name: u64,
    /// The piece of data that the op accesses; absent: none.
    pub key: Option<u64>,
    /// The shard that holds the data; absent: a new object.
    pub shard: Option<u32>,
    /// How long the client will still wait.
    pub time_left: Duration,
    /// The volume's plan, by its index in the settings.
    pub plan: usize,
    /// The op's type, by its index in the settings.
    pub op_type: usize,
    /// Number of gateways through which the volume's ops arrive.
    pub gateways: f64,
}

/// The outcome of an attempt or of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store executed the op.
    Succeeded,
    /// The store responded with an error; the op may have been executed.
    Failed,
    /// The store had no capacity; the op was not executed.
    Rejected,
    /// No response within the attempt's timeout; the op may have been executed.
    TimedOut,
    /// No connection to the store; the op was not sent.
    ConnectFailed,
    /// The connection broke after the op was sent; it may have been executed.
    Reset,
    /// The attempt was cancelled; the op may have been executed.
    Cancelled,
    /// The op was not sent, for a reason on the side of this gateway.
    NotSent,
    /// An outcome code that this version does not know; the op may have been executed.
    Unknown,
}

/// A store's load report: pairs of field name and value.
pub type LoadReport = Vec<(String, f64)>;

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Which op.
    pub op: OpId,
    /// Index of the attempt among the op's attempts, from 0.
    pub attempt: u32,
    /// The store to which the attempt was sent.
    pub store: StoreId,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Time from the attempt's start to its end.
    pub latency: Duration,
    /// Whether the op has ended, by this response or earlier.
    pub op_ended: bool,
    /// The volume's rate of service through all gateways in a completed period, as a ratio to its plan's
    /// rate; absent: not reported.
    pub plan_rate_used: Option<f64>,
    /// Units that the store's shard served for the volume through other gateways since its previous response
    /// to this gateway.
    pub units_elsewhere: f64,
    /// The store's load report; empty: none received.
    pub report: LoadReport,
}

/// What a gateway has learned about a store and may keep across a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSnapshot {
    /// Which store.
    pub store: StoreId,
    /// Average response latency in seconds.
    pub latency: f64,
    /// Concurrency limit: maximum units in flight.
    pub concurrency_limit: f64,
    /// Each volume's virtual time at the store: units served divided by the weight of the volume's plan.
    pub virtual_times: Vec<(VolumeId, f64)>,
}

/// What a gateway has learned about a volume over all stores.
#[derive(Clone, Debug, PartialEq)]
pub struct VolumeSnapshot {
    /// Which volume.
    pub volume: VolumeId,
    /// Recent rate of units sent through this gateway, in units per second.
    pub rate: f64,
    /// Rate over all gateways as reported by stores, in units per second.
    pub reported_rate: f64,
    /// Units of this gateway's part of the plan's limit that are promised to stay undrawn for the promise
    /// duration.
    pub reserved_tokens: f64,
}

/// An input event of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The gateway starts; all earlier state is discarded.
    Start {
        /// Seed of the scheduler's random draws.
        seed: u64,
        /// Settings that apply from now on.
        settings: Settings,
    },
    /// An update of the endpoint list was received.
    EndpointList(EndpointListUpdate),
    /// A client has submitted an op.
    OpArrived(Op),
    /// The response to an op of a streamed type has begun: from now on the client alone decides how long the
    /// attempt lasts.
    StreamStarted {
        /// Which op.
        op: OpId,
    },
    /// An attempt has finished.
    AttemptFinished(AttemptResult),
    /// The client no longer waits for its op.
    ClientDisconnected {
        /// The client's op.
        op: OpId,
    },
    /// The shard of an op that arrived as a new object is decided, by this gateway's claim or by an earlier
    /// claim of another gateway.
    OpPlaced {
        /// Which op.
        op: OpId,
        /// The shard to which further attempts must go.
        shard: u32,
    },
    /// New settings of plans, op types and rules apply from now on. Existing plans and op types keep their
    /// indices and new ones are appended; a plan that is no longer offered has no weight.
    SettingsChanged {
        /// The complete settings, not only those that changed.
        settings: Settings,
    },
    /// The volume, including its queued ops, belongs to this plan and arrives through this many gateways from
    /// now on.
    VolumeMoved {
        /// Which volume.
        volume: VolumeId,
        /// The plan's index in the settings.
        plan: usize,
        /// Number of gateways through which the volume's ops arrive.
        gateways: f64,
    },
    /// This gateway shuts down: ops without a final response by then are abandoned, including ops that arrive
    /// after this event.
    ShuttingDown {
        /// When the gateway terminates.
        at: Duration,
    },
    /// Requests an [`Action::Snapshot`] of the current state.
    TakeSnapshot {
        /// How long the snapshot's reserved tokens will stay undrawn.
        promise_duration: Duration,
    },
    /// Restores what an earlier run of this gateway had learned. A store may be named only once the endpoint
    /// list has named it, and only if it is still in the incarnation in which the data was learned.
    Restore {
        /// Age of the snapshot; absent: unknown.
        age: Option<Duration>,
        /// How long its reserved tokens were promised to stay undrawn.
        promise_duration: Duration,
        /// State of the stores.
        stores: Vec<StoreSnapshot>,
        /// State of the volumes.
        volumes: Vec<VolumeSnapshot>,
    },
    /// A timer that was set has fired.
    Timer {
        /// The token of the [`Action::SetTimer`].
        token: u64,
    },
    /// A requested health check has finished.
    HealthChecked {
        /// Which store.
        store: StoreId,
        /// The outcome of the check.
        outcome: Outcome,
        /// The store's load report; empty: none received.
        report: LoadReport,
    },
}

/// An action that the scheduler requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the op to the store. The result must be delivered as an [`Event::AttemptFinished`].
    StartAttempt {
        /// Which op.
        op: OpId,
        /// The store that receives the op.
        store: StoreId,
        /// Without a response within this time the attempt has timed out.
        timeout: Duration,
    },
    /// Final response: the op is rejected, and it is safe for the client to retry it.
    Reject {
        /// Which op.
        op: OpId,
        /// How long the client must wait before it retries.
        retry_after: Duration,
    },
    /// Final response: the op failed. It may have been executed, so a retry is not known to be safe.
    Fail {
        /// Which op.
        op: OpId,
    },
    /// Abandon an attempt that is in flight: stop waiting for its response.
    Cancel {
        /// Which op.
        op: OpId,
        /// Index of the attempt among the op's attempts, from 0.
        attempt: u32,
    },
    /// Set a timer; when it fires, an [`Event::Timer`] must be delivered.
    SetTimer {
        /// Returned with the event.
        token: u64,
        /// When it must fire.
        at: Duration,
    },
    /// The response to [`Event::TakeSnapshot`].
    Snapshot {
        /// State of the stores that are ready.
        stores: Vec<StoreSnapshot>,
        /// State of all volumes.
        volumes: Vec<VolumeSnapshot>,
    },
    /// Subscribe to the endpoint list.
    WatchEndpoints,
    /// Request the complete endpoint list once.
    FetchEndpoints,
    /// Check a store's health; the result must be delivered as an [`Event::HealthChecked`].
    CheckHealth {
        /// Which store.
        store: StoreId,
    },
    /// A log line for the operator.
    Log(String),
    /// The scheduler cannot run; the text says why.
    Fatal(String),
}

//! The events that the scheduler takes and the actions that it asks for, free of any wire.
//!
//! Ids are small indices that the caller hands out where ops, stores and volumes enter. Times are durations since the
//! zero of the caller's clock, which must not run backwards.

use std::collections::BTreeMap;
use std::time::Duration;

/// Names of settings and their values as text; durations are in seconds.
pub type Settings = BTreeMap<String, String>;

/// An op, for as long as its client waits or one of its attempts is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(
    /// The caller's index.
    pub u32,
);

/// A store, over all its starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreId(
    /// The caller's index.
    pub u32,
);

/// A volume, at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(
    /// The caller's index.
    pub u32,
);

/// What the endpoint list says of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreState {
    /// It takes ops.
    Ready,
    /// It shuts down gracefully: it still answers, and must get no more ops than the rule's grace allows.
    Draining,
    /// It is not there.
    #[default]
    Gone,
}

/// One store as the endpoint list has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Which store.
    pub store: StoreId,
    /// The part of the data that it holds.
    pub shard: u32,
    /// The failure domain that it is in.
    pub zone: u32,
    /// When it last started; absent: long ago.
    pub started_at: Option<Duration>,
    /// Whether it takes ops.
    pub state: StoreState,
}

/// News of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    /// Stores that changed; the others stay as they are.
    Changes(Vec<Endpoint>),
    /// All stores: those that it does not name are gone.
    Whole(Vec<Endpoint>),
    /// The whole list as this gateway last held it, possibly old.
    Cached(Vec<Endpoint>),
    /// A call failed or a subscription broke; the list held before remains.
    Failed,
}

/// An op that a client has handed to this gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Op {
    /// Which op.
    pub id: OpId,
    /// How much work it is.
    pub units: f64,
    /// The volume that it is on.
    pub volume: VolumeId,
    /// The volume's lasting name, the same at every gateway.
    pub volume_name: u64,
    /// The piece of data; absent: none.
    pub key: Option<u64>,
    /// The shard that holds the data; absent: a new object.
    pub shard: Option<u32>,
    /// How long the client still waits.
    pub time_left: Duration,
    /// The volume's plan, by its index in the settings.
    pub plan: usize,
    /// The op's type, by its index in the settings.
    pub op_type: usize,
    /// Through how many gateways the volume's ops come.
    pub gateways: f64,
}

/// How an attempt, or a health check, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store did it.
    Succeeded,
    /// The store answered with an error; the op may have been executed.
    Failed,
    /// The store had no capacity; the op was not executed.
    Rejected,
    /// No answer within the attempt's timeout; the op may have been executed.
    TimedOut,
    /// There was no connection; the op was not sent.
    ConnectFailed,
    /// The connection broke after the op was sent; it may have been executed.
    Reset,
    /// The attempt was cancelled; the op may have been executed.
    Cancelled,
    /// The op was not sent, for a reason of this gateway.
    NotSent,
    /// A code that this version does not know; the op may have been executed.
    Unknown,
}

/// A store's load report: names of fields and values.
pub type Report = Vec<(String, f64)>;

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Which op.
    pub op: OpId,
    /// Which of the op's attempts, from 0.
    pub attempt: u32,
    /// The store that the attempt was at.
    pub store: StoreId,
    /// How it ended.
    pub outcome: Outcome,
    /// From the attempt's start to its end.
    pub latency: Duration,
    /// The op has ended, by this answer or before.
    pub op_ended: bool,
    /// The volume's service everywhere in a finished period, as a ratio to its plan's rate.
    pub plan_rate_used: Option<f64>,
    /// Units that the store's shard served for the volume through other gateways since its last answer here.
    pub units_elsewhere: f64,
    /// The store's load report; empty: none came.
    pub report: Report,
}

/// What a gateway has learned of a store, as far as it may outlive the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSnapshot {
    /// Which store.
    pub store: StoreId,
    /// Seconds of an average answer.
    pub latency: f64,
    /// Units in flight at most.
    pub concurrency_limit: f64,
    /// How much each volume was served there: units over the weight of its plan.
    pub virtual_times: Vec<(VolumeId, f64)>,
}

/// What a gateway has learned of a volume over all stores.
#[derive(Clone, Debug, PartialEq)]
pub struct VolumeSnapshot {
    /// Which volume.
    pub volume: VolumeId,
    /// Units a second lately sent from this gateway.
    pub rate: f64,
    /// Units a second over all gateways, as stores reported it.
    pub reported_rate: f64,
    /// Units of its part of the plan's limit that stay undrawn for as long as was promised.
    pub reserved_tokens: f64,
}

/// Something that happened, as the scheduler takes it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The gateway starts; what was known before is forgotten.
    Start {
        /// Of the scheduler's random draws.
        seed: u64,
        /// In force from now on.
        settings: Settings,
    },
    /// News of the endpoint list.
    EndpointList(EndpointListUpdate),
    /// A client has handed over an op.
    OpArrived(Op),
    /// The answer of a streamed op type has begun: the attempt now belongs to the client.
    StreamStarted {
        /// Which op.
        op: OpId,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptResult),
    /// The client waits no longer.
    ClientDisconnected {
        /// Its op.
        op: OpId,
    },
    /// An op that came as a new object lies at this shard: this gateway's claim was first there, or another's was.
    OpPlaced {
        /// Which op.
        op: OpId,
        /// The shard that binds its further attempts.
        shard: u32,
    },
    /// The figures of plans, op types and rules from now on. Those in force stay in their places, new ones follow; a
    /// plan that is no more has no weight.
    SettingsChanged {
        /// All settings, not only those that changed.
        settings: Settings,
    },
    /// The volume is of this plan, through so many gateways, from now on, its queued ops too.
    VolumeMoved {
        /// Which volume.
        volume: VolumeId,
        /// The plan's index in the settings.
        plan: usize,
        /// Through how many gateways the volume's ops come.
        gateways: f64,
    },
    /// This gateway ends: ops without their final answer by then, those that still come among them, are abandoned.
    ShuttingDown {
        /// When the gateway ends.
        at: Duration,
    },
    /// Asks for an [`Action::Snapshot`] of what is known now.
    TakeSnapshot {
        /// For how long the snapshot's reserved tokens stay undrawn.
        promise_duration: Duration,
    },
    /// What an earlier run of this gateway knew. A store is named only after the list has, in the same life that it was
    /// known in.
    Restore {
        /// How long ago the snapshot was taken; absent: nobody can tell.
        age: Option<Duration>,
        /// For how long its reserved tokens were promised to stay undrawn.
        promise_duration: Duration,
        /// What was known of stores.
        stores: Vec<StoreSnapshot>,
        /// What was known of volumes.
        volumes: Vec<VolumeSnapshot>,
    },
    /// A timer that was set has fired.
    Timer {
        /// Of the [`Action::SetTimer`].
        token: u64,
    },
    /// A health check that was asked for has ended.
    HealthChecked {
        /// Which store.
        store: StoreId,
        /// How it ended.
        outcome: Outcome,
        /// The store's load report; empty: none came.
        report: Report,
    },
}

/// Something that the scheduler asks its caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the op to the store. Its end must come as an [`Event::AttemptFinished`].
    StartAttempt {
        /// Which op.
        op: OpId,
        /// Where to.
        store: StoreId,
        /// After so long without an answer the attempt has timed out.
        timeout: Duration,
    },
    /// Final: trying again does no harm.
    Reject {
        /// Which op.
        op: OpId,
        /// How long the client must wait before it tries again.
        retry_after: Duration,
    },
    /// Final: promises nothing.
    Fail {
        /// Which op.
        op: OpId,
    },
    /// Abandon an attempt that is in flight.
    Cancel {
        /// Which op.
        op: OpId,
        /// Which of the op's attempts, from 0.
        attempt: u32,
    },
    /// Set a timer; when it fires an [`Event::Timer`] must come.
    SetTimer {
        /// Comes back with the event.
        token: u64,
        /// When it must fire.
        at: Duration,
    },
    /// The answer to [`Event::TakeSnapshot`].
    Snapshot {
        /// What is known of stores that are ready.
        stores: Vec<StoreSnapshot>,
        /// What is known of all volumes.
        volumes: Vec<VolumeSnapshot>,
    },
    /// Subscribe to the endpoint list.
    WatchEndpoints,
    /// Ask for the whole endpoint list once.
    FetchEndpoints,
    /// Check a store's health; the result comes as an [`Event::HealthChecked`].
    CheckHealth {
        /// Which store.
        store: StoreId,
    },
    /// A line for the operator.
    Log(String),
    /// The scheduler cannot run; the text says why.
    Fatal(String),
}

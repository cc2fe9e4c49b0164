//! What the decision module is told and what it asks for, free of any wire.
//!
//! Ids are small indices that the caller hands out at the door. Times are spans since the clock's zero.

use std::collections::BTreeMap;
use std::time::Duration;

/// Names of settings and their values as text; spans are in seconds.
pub type Settings = BTreeMap<String, String>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u32);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u32);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One store as the list tells it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    pub store: StoreId,
    pub shard: u32,
    pub zone: u32,
    /// When it last started; absent: long ago.
    pub started_at: Option<Duration>,
    pub state: StoreState,
}

#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    Changes(Vec<Endpoint>),
    Whole(Vec<Endpoint>),
    /// The whole list as this gateway last held it, possibly old.
    Cached(Vec<Endpoint>),
    /// A call failed or a subscription broke; the list held before remains.
    Failed,
}

/// An op that a client has handed to this gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Op {
    pub id: OpId,
    pub units: f64,
    pub volume: VolumeId,
    /// The volume's lasting name, the same at every gateway.
    pub volume_name: u64,
    /// The piece of data; absent: none.
    pub key: Option<u64>,
    /// The shard that holds the data; absent: a new object.
    pub shard: Option<u32>,
    /// How long the client still waits.
    pub time_left: Duration,
    pub plan: usize,
    pub op_type: usize,
    /// Through how many gateways the volume's ops come.
    pub gateways: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Failed,
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
    /// A code that this version does not know.
    Unknown,
}

/// A store's load report: names of fields and values.
pub type Report = Vec<(String, f64)>;

#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    pub op: OpId,
    /// Which of the op's dispatches, from 0.
    pub attempt: u32,
    pub store: StoreId,
    pub outcome: Outcome,
    pub latency: Duration,
    /// The op has ended, by this answer or before.
    pub op_ended: bool,
    /// The volume's service everywhere in a finished period, as a ratio to its plan's rate.
    pub plan_rate_used: Option<f64>,
    /// Units that the store's shard served for the volume through other gateways since its last answer here.
    pub units_elsewhere: f64,
    pub report: Report,
}

/// What a gateway has learned of a store, as far as it may outlive the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSnapshot {
    pub store: StoreId,
    /// Seconds of an average answer, and units out at most.
    pub latency: f64,
    pub concurrency_limit: f64,
    /// Volumes' tags there.
    pub virtual_times: Vec<(VolumeId, f64)>,
}

/// What a gateway has learned of a volume over all stores.
#[derive(Clone, Debug, PartialEq)]
pub struct VolumeSnapshot {
    pub volume: VolumeId,
    /// Units a second, lately sent from here, and told as the whole.
    pub rate: f64,
    pub reported_rate: f64,
    /// Units of its part of the plan's limit that stay undrawn for as long as was promised.
    pub reserved_tokens: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Start {
        seed: u64,
        settings: Settings,
    },
    EndpointList(EndpointListUpdate),
    OpArrived(Op),
    /// The answer of a streamed op type has begun: the dispatch now belongs to the client.
    StreamStarted {
        op: OpId,
    },
    AttemptFinished(AttemptResult),
    ClientDisconnected {
        op: OpId,
    },
    /// An op that came as a new object lies at this shard: this gateway's claim was first there, or another's was.
    OpPlaced {
        op: OpId,
        shard: u32,
    },
    /// The figures of plans, op types and rules from now on. Those in force stay in their places, new ones follow; a plan
    /// that is no more has no weight.
    SettingsChanged {
        settings: Settings,
    },
    /// The volume is of this plan, through so many gateways, from now on, its held ops too.
    VolumeMoved {
        volume: VolumeId,
        plan: usize,
        gateways: f64,
    },
    /// This gateway ends: ops without their final answer by then, those that still come among them, are given up.
    ShuttingDown {
        at: Duration,
    },
    /// What is known now is to be told for keeping; its floors hold for so long.
    TakeSnapshot {
        promise_duration: Duration,
    },
    /// What an earlier run of this gateway knew, and how long ago; absent: nobody can tell. A store is named only
    /// after the list has, in the same life that it was known in.
    Restore {
        age: Option<Duration>,
        promise_duration: Duration,
        stores: Vec<StoreSnapshot>,
        volumes: Vec<VolumeSnapshot>,
    },
    Timer {
        token: u64,
    },
    HealthChecked {
        store: StoreId,
        outcome: Outcome,
        report: Report,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    StartAttempt {
        op: OpId,
        store: StoreId,
        timeout: Duration,
    },
    /// Final: trying again does no harm; the client is told how long to keep away.
    Reject {
        op: OpId,
        retry_after: Duration,
    },
    /// Final: promises nothing.
    Fail {
        op: OpId,
    },
    Cancel {
        op: OpId,
        attempt: u32,
    },
    SetTimer {
        token: u64,
        at: Duration,
    },
    /// The answer to `Remember`.
    Snapshot {
        stores: Vec<StoreSnapshot>,
        volumes: Vec<VolumeSnapshot>,
    },
    WatchEndpoints,
    FetchEndpoints,
    CheckHealth {
        store: StoreId,
    },
    Log(String),
    /// The module cannot run; the text says why.
    Fatal(String),
}

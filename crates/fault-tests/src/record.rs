//! What a rehearsal leaves for the judge.

use serde::{Deserialize, Serialize};
use umbertray_fakes::book::Entry;
use umbertray_store_protocol::store::OperationKind;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// To read.
    Read,
    /// To write.
    Write,
    /// To make writes durable.
    Flush,
}

impl Kind {
    /// The same as stores name it.
    pub fn work(self) -> OperationKind {
        match self {
            Kind::Read => OperationKind::Read,
            Kind::Write => OperationKind::Write,
            Kind::Flush => OperationKind::Flush,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Acknowledged.
    Acked,
    /// Refused without an effect.
    Throttled,
    /// Failed.
    Aborted,
    /// Refused while the gateway shut down.
    Shutdown,
    /// The connection ended without an answer.
    Lost,
    /// No answer had come long after the client's time was up.
    Silent,
}

/// One request, as its client saw it. Times are microseconds since the rehearsal began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    /// Number of the client.
    pub client: u32,
    /// Index of the gateway.
    pub gateway: usize,
    /// Index of the volume.
    pub volume: usize,
    /// What was asked for.
    pub kind: Kind,
    /// Where in the volume, bytes.
    pub offset: u64,
    /// Length in bytes.
    pub length: u32,
    /// What a write wrote; unique.
    pub mark: u64,
    /// When it was sent.
    pub sent: u64,
    /// When it ended.
    pub ended: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// What an acked read found in each block: a write's mark, 0 for zeros, or nothing where the block is torn.
    pub found: Vec<Option<u64>>,
}

/// What was done to gateways and the list, which the rules' figures count from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Deed {
    /// The list named a store draining or gone, or ready again.
    Barred {
        /// The store's id.
        store: u64,
    },
    /// The store is ready again.
    Ready {
        /// The store's id.
        store: u64,
    },
    /// SIGSTOP was sent to a gateway; until then, when SIGCONT was.
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
    /// Started again after it was killed, and heard.
    Returned {
        /// Index of the gateway.
        gateway: usize,
    },
    /// A plan's limit is another from now on, safely committed; gateways that follow the log act on it a little later.
    Limit {
        /// The plan's name.
        plan: String,
        /// Units a second.
        rate: f64,
        /// Units at once.
        burst: f64,
        /// When its commit began; the deed's own time is the commit's synced end.
        began: u64,
    },
    /// The coordinator was killed.
    CoordinatorKilled,
    /// The coordinator was stopped until then.
    CoordinatorStalled {
        /// When SIGCONT was sent.
        until: u64,
    },
    /// A coordinator said that it is at work.
    CoordinatorStarted {
        /// The term of its run.
        term: u64,
    },
    /// The list answers later by so much, microseconds.
    ListDelay {
        /// Microseconds.
        delay: u64,
    },
}

/// This process itself was held up between these times, microseconds: what it did or measured then is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldUp {
    /// Since the record began.
    pub from: u64,
    /// Since the record began.
    pub to: u64,
}

/// A step of a fault that began later than the day's slack, microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateStep {
    /// Name of the fault.
    pub fault: String,
    /// Since the day's faults began to be played.
    pub planned: u64,
    /// How much later it began.
    pub late: u64,
}

/// All that was seen of a scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Requests, by when they were sent.
    pub asked: Vec<Asked>,
    /// What stores saw.
    pub stores: Vec<Entry>,
    /// What was done, each with its time.
    pub deeds: Vec<(u64, Deed)>,
    /// Replies that belonged to no open request, and bytes that were no replies.
    pub strays: Vec<String>,
    /// When the test itself was held up.
    pub held_up: Vec<HeldUp>,
    /// Steps of faults that began late.
    pub late_steps: Vec<LateStep>,
}

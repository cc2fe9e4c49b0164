//! What a rehearsal leaves for the judge.

use serde::{Deserialize, Serialize};
use umbertray_fakes::book::Entry;
use umbertray_store_protocol::store::OperationKind;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    Read,
    Write,
    Flush,
}

impl Kind {
    pub fn work(self) -> OperationKind {
        match self {
            Kind::Read => OperationKind::Read,
            Kind::Write => OperationKind::Write,
            Kind::Flush => OperationKind::Flush,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Acked,
    Throttled,
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
    pub client: u32,
    pub gateway: usize,
    pub volume: usize,
    pub kind: Kind,
    pub offset: u64,
    pub length: u32,
    /// What a write wrote; unique.
    pub mark: u64,
    pub sent: u64,
    pub ended: u64,
    pub outcome: Outcome,
    /// What an acked read found in each block: a write's mark, 0 for zeros, or nothing where the block is torn.
    pub found: Vec<Option<u64>>,
}

/// What was done to gateways and the list, which the rules' figures count from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Deed {
    /// The list named a store draining or gone, or ready again.
    Barred {
        store: u64,
    },
    Ready {
        store: u64,
    },
    /// SIGSTOP was sent to a gateway; until then, when SIGCONT was.
    Stalled {
        gateway: usize,
        until: u64,
    },
    Killed {
        gateway: usize,
    },
    /// Started again after it was killed, and heard.
    Returned {
        gateway: usize,
    },
    /// A plan's limit is another from now on, safely committed; gateways that follow the log act on it a little later.
    Limit {
        plan: String,
        rate: f64,
        burst: f64,
        /// When its commit began; the deed's own time is the commit's synced end.
        began: u64,
    },
    /// The coordinator was killed.
    CoordinatorKilled,
    /// The coordinator was stopped until then.
    CoordinatorStalled {
        until: u64,
    },
    /// A coordinator said that it is at work.
    CoordinatorStarted {
        term: u64,
    },
    /// The list answers later by so much, microseconds.
    ListDelay {
        delay: u64,
    },
}

/// This process itself was held up between these times, microseconds: what it did or measured then is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldUp {
    pub from: u64,
    pub to: u64,
}

/// A step of a fault that began later than the day's slack, microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateStep {
    pub fault: String,
    /// Since the day's faults began to be played.
    pub planned: u64,
    pub late: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub asked: Vec<Asked>,
    pub stores: Vec<Entry>,
    pub deeds: Vec<(u64, Deed)>,
    /// Replies that belonged to no open request, and bytes that were no replies.
    pub strays: Vec<String>,
    pub held_up: Vec<HeldUp>,
    pub late_steps: Vec<LateStep>,
}

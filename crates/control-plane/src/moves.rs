//! One move of a range from a shard to another, as a state machine.
//!
//! What a crash must not lose is the phase, logged before it is acted on; the step within it is found again by asking
//! anew, since every order may be repeated. What holds in each phase:
//!
//! - *Copying*: the source serves; the target refuses the range. May be given up.
//! - *Raised*: the source may refuse for good; the target refuses still. Nobody serves: the pause. May be taken back,
//!   by an epoch that is higher still, since the source has all data.
//! - *Committed*: the map says the target. The source never serves again at this or a lower epoch. Only forward.
//! - *Back*: the source serves again, at the epoch after the one that was meant for the target.
//! - *GivenUp*: the source serves as before; what the target holds goes.
//!
//! So at any epoch at most one store serves the range, whoever has crashed or fallen silent: a store serves at an epoch
//! that it was opened at, an epoch is opened at one store, and the source is raised before the target is opened.

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::orders::{ExecutedOp, ExtentContent, ExtentRange, Order, OrderReply};

/// What is written while it is copied is copied again, up to so many times the range; the rest within the pause.
const PASSES: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    Copying,
    Fenced,
    Committed,
    RolledBack,
    Abandoned,
    Finished,
}

/// What is asked next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Step {
    /// Where a run of the coordinator begins a phase anew.
    #[default]
    First,
    Follow,
    Fetch(Option<(u64, u64)>),
    Put(ExtentContent),
    Marks,
    Mark(Vec<ExecutedOp>),
    Seal,
    Clear,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Move {
    pub span: ExtentRange,
    pub source: u32,
    pub target: u32,
    /// At which the target is to serve.
    pub epoch: u64,
    pub phase: Phase,
    #[serde(skip)]
    step: Step,
    /// Extents that the source had to copy at first, and copies made.
    #[serde(skip)]
    pub extents_left: u64,
    #[serde(skip)]
    pub copies: u64,
}

impl Move {
    pub fn new(span: ExtentRange, source: u32, target: u32, epoch: u64) -> Move {
        Move {
            span,
            source,
            target,
            epoch,
            phase: Phase::Copying,
            step: Step::First,
            extents_left: 0,
            copies: 0,
        }
    }

    /// The epoch at which the source serves again if the move is taken back after the raise.
    pub fn back_epoch(&self) -> u64 {
        self.epoch + 1
    }

    /// A logged phase begins.
    pub fn enter(&mut self, phase: Phase) {
        (self.phase, self.step) = (phase, Step::First);
    }

    /// What is to be asked of which shard now; nothing once it is over.
    pub fn order(&self) -> Option<(u32, Order)> {
        let (span, epoch) = (self.span, self.epoch);
        let (source, target) = (self.source, self.target);
        Some(match (self.phase, &self.step) {
            (Phase::Finished, _) => return None,
            (Phase::Copying, Step::First) => (target, Order::Prepare { span, epoch }),
            (Phase::Copying, Step::Follow) => (source, Order::TrackChanges { span }),
            (Phase::Copying | Phase::Fenced, Step::Fetch(copied)) => {
                (source, Order::FetchNext { span, copied: *copied })
            }
            (_, Step::Put(content)) => (target, Order::Put { span, epoch, content: content.clone() }),
            (Phase::Fenced, Step::First) => (source, Order::Fence { span, epoch }),
            (_, Step::Marks) => (source, Order::FetchExecuted { span }),
            (_, Step::Mark(marks)) => (target, Order::RecordExecuted { span, epoch, marks: marks.clone() }),
            (_, Step::Seal) => (target, Order::Sync { span, epoch }),
            (Phase::Committed, Step::First) => (target, Order::Activate { span, epoch }),
            (Phase::Committed, _) => (source, Order::Clear { span, epoch }),
            (Phase::RolledBack, Step::First) => {
                (source, Order::Reactivate { span, epoch: self.back_epoch() })
            }
            (Phase::Abandoned, Step::First) => (source, Order::StopTracking { span }),
            (Phase::RolledBack | Phase::Abandoned, _) => (target, Order::Clear { span, epoch }),
            // No such step is ever entered in these phases; asking for the phase's first again does no harm.
            (Phase::Copying, _) => (target, Order::Prepare { span, epoch }),
            (Phase::Fenced, _) => (source, Order::Fence { span, epoch }),
        })
    }

    /// Takes the answer to the last order; the phase that is to be logged and entered next, if one ends.
    pub fn heard(&mut self, reply: OrderReply) -> Option<Phase> {
        let (next, ends) = match (self.phase, std::mem::take(&mut self.step), reply) {
            // The target was started anew or another move's leavings are there: from the phase's beginning.
            (_, _, OrderReply::WrongState) => (Step::First, None),
            (Phase::Copying, Step::First, OrderReply::Done) => (Step::Follow, None),
            (Phase::Copying, Step::Follow, OrderReply::ExtentsLeft(left)) => {
                (self.extents_left, self.copies) = (left, 0);
                (Step::Fetch(None), None)
            }
            (Phase::Copying, Step::Fetch(_), OrderReply::NextExtent(Some(content)))
                if self.copies < PASSES * self.extents_left.max(1) =>
            {
                (Step::Put(content), None)
            }
            (Phase::Copying, Step::Fetch(_), OrderReply::NextExtent(_)) => (Step::First, Some(Phase::Fenced)),
            (Phase::Fenced, Step::First, OrderReply::ExtentsLeft(_)) => (Step::Fetch(None), None),
            (Phase::Fenced, Step::Fetch(_), OrderReply::NextExtent(Some(content))) => {
                (Step::Put(content), None)
            }
            (Phase::Fenced, Step::Fetch(_), OrderReply::NextExtent(None)) => (Step::Marks, None),
            (Phase::Copying | Phase::Fenced, Step::Put(content), OrderReply::Done) => {
                self.copies += 1;
                (Step::Fetch(Some((content.extent, content.change_count))), None)
            }
            (Phase::Fenced, Step::Marks, OrderReply::ExecutedOps(marks)) => (Step::Mark(marks), None),
            (Phase::Fenced, Step::Mark(_), OrderReply::Done) => (Step::Seal, None),
            (Phase::Fenced, Step::Seal, OrderReply::Done) => (Step::First, Some(Phase::Committed)),
            (Phase::Committed | Phase::RolledBack | Phase::Abandoned, Step::First, OrderReply::Done) => {
                (Step::Clear, None)
            }
            (Phase::Committed | Phase::RolledBack | Phase::Abandoned, Step::Clear, OrderReply::Done) => {
                (Step::First, Some(Phase::Finished))
            }
            // An answer to something else, or one that makes no sense here: asked again.
            (_, step, _) => (step, None),
        };
        self.step = next;
        ends
    }

    /// The phase that giving it up leads to; none where it can only go on.
    pub fn given_up(&self) -> Option<Phase> {
        match self.phase {
            Phase::Copying => Some(Phase::Abandoned),
            Phase::Fenced => Some(Phase::RolledBack),
            Phase::Committed | Phase::RolledBack | Phase::Abandoned | Phase::Finished => None,
        }
    }

    /// How far it is, for people.
    pub fn state(&self) -> String {
        match self.phase {
            Phase::Copying => format!("copying: {} of about {} extents", self.copies, self.extents_left),
            Phase::Fenced => "paused: the rest is copied".into(),
            Phase::Committed => "moved: the source is cleared".into(),
            Phase::RolledBack => "taken back: the source serves again".into(),
            Phase::Abandoned => "given up: the target is cleared".into(),
            Phase::Finished => "over".into(),
        }
    }
}

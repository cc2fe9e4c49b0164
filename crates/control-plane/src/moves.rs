//! One move of a range from a shard to another, as a state machine.
//!
//! What a crash must not lose is the phase, which is logged before it is acted on. The step within it is not stored: a new run
//! begins the phase again, since every order may be repeated. What holds in each phase:
//!
//! - *Copying*: the source serves; the target refuses the range. It may be abandoned.
//! - *Fenced*: the source may refuse for good, and the target still refuses: nobody serves. It may be rolled back, at a higher
//!   epoch still, since the source has all data.
//! - *Committed*: the map says the target. The source never serves again at this or a lower epoch; the move only goes on.
//! - *Rolled back*: the source serves again, at the epoch after the one that was meant for the target.
//! - *Abandoned*: the source serves as before; what the target holds is cleared.
//!
//! Invariant: at any epoch at most one store serves the range, whoever has crashed or cannot be reached. A store serves at an
//! epoch at which it was activated, an epoch is activated at one store, and the source is fenced before the target is
//! activated.

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::orders::{ExecutedOp, ExtentContent, ExtentRange, Order, OrderReply};

/// Extents written while the range is copied are copied again, up to so many times the range; the rest while it is fenced.
const MAX_COPY_PASSES: u64 = 3;

/// How far a move is. The order of the variants is part of the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Extents are copied while the source serves.
    Copying,
    /// The source is fenced, and the rest is copied.
    Fenced,
    /// The target serves; the source is cleared.
    Committed,
    /// The source serves again; the target is cleared.
    RolledBack,
    /// The source serves still; the target is cleared.
    Abandoned,
    /// Nothing is left to do.
    Finished,
}

/// Which order is sent next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Step {
    /// The first of the phase, where a new run of the coordinator begins.
    #[default]
    First,
    TrackChanges,
    /// With the extent that was copied last, and its change count.
    Fetch(Option<(u64, u64)>),
    Put(ExtentContent),
    FetchExecuted,
    RecordExecuted(Vec<ExecutedOp>),
    Sync,
    Clear,
}

/// What an answer leads to.
struct Transition {
    step: Step,
    /// The phase that is logged and entered next, if the present one ends.
    next_phase: Option<Phase>,
}

impl Transition {
    fn step(step: Step) -> Transition {
        Transition { step, next_phase: None }
    }

    fn phase(phase: Phase) -> Transition {
        Transition { step: Step::First, next_phase: Some(phase) }
    }
}

/// An order, and the shard whose store it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedOrder {
    /// The shard.
    pub shard: u32,
    /// The order.
    pub order: Order,
}

/// One move. The order of the fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Move {
    /// The extents that are moved.
    pub span: ExtentRange,
    /// The shard they are moved from.
    pub source: u32,
    /// The shard they are moved to.
    pub target: u32,
    /// The epoch at which the target will serve.
    pub epoch: u64,
    /// The phase that was logged last.
    pub phase: Phase,
    #[serde(skip)]
    step: Step,
    /// Extents that the source had to copy when this run began to copy.
    #[serde(skip)]
    pub extents_left: u64,
    /// Copies made since.
    #[serde(skip)]
    pub copies: u64,
}

impl Move {
    /// A move in its first phase.
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

    /// The epoch at which the source serves again if the move is rolled back.
    pub fn rollback_epoch(&self) -> u64 {
        self.epoch + 1
    }

    /// Begins a phase that was logged.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.step = Step::First;
    }

    /// The order that has to be sent now; none once the move is finished.
    pub fn order(&self) -> Option<AddressedOrder> {
        let Move { span, epoch, .. } = *self;
        let to_source = |order| Some(AddressedOrder { shard: self.source, order });
        let to_target = |order| Some(AddressedOrder { shard: self.target, order });
        match (self.phase, &self.step) {
            (Phase::Finished, _) => None,
            (Phase::Copying, Step::First) => to_target(Order::Prepare { span, epoch }),
            (Phase::Copying, Step::TrackChanges) => to_source(Order::TrackChanges { span }),
            (Phase::Copying | Phase::Fenced, Step::Fetch(copied)) => {
                to_source(Order::FetchNext { span, copied: *copied })
            }
            (_, Step::Put(content)) => to_target(Order::Put { span, epoch, content: content.clone() }),
            (Phase::Fenced, Step::First) => to_source(Order::Fence { span, epoch }),
            (_, Step::FetchExecuted) => to_source(Order::FetchExecuted { span }),
            (_, Step::RecordExecuted(marks)) => {
                to_target(Order::RecordExecuted { span, epoch, marks: marks.clone() })
            }
            (_, Step::Sync) => to_target(Order::Sync { span, epoch }),
            (Phase::Committed, Step::First) => to_target(Order::Activate { span, epoch }),
            (Phase::Committed, _) => to_source(Order::Clear { span, epoch }),
            (Phase::RolledBack, Step::First) => {
                to_source(Order::Reactivate { span, epoch: self.rollback_epoch() })
            }
            (Phase::Abandoned, Step::First) => to_source(Order::StopTracking { span }),
            (Phase::RolledBack | Phase::Abandoned, _) => to_target(Order::Clear { span, epoch }),
            // No other step is entered in these phases; sending the phase's first order again does no harm.
            (Phase::Copying, _) => to_target(Order::Prepare { span, epoch }),
            (Phase::Fenced, _) => to_source(Order::Fence { span, epoch }),
        }
    }

    /// Takes the answer to the last order. Returns the phase that has to be logged and entered next, if the present one ends.
    pub fn on_reply(&mut self, reply: OrderReply) -> Option<Phase> {
        let step = std::mem::take(&mut self.step);
        let transition = match self.phase {
            // The target has restarted, or what another move left is there: the phase begins again.
            _ if reply == OrderReply::WrongState => Transition::step(Step::First),
            Phase::Copying => self.on_copying_reply(step, reply),
            Phase::Fenced => self.on_fenced_reply(step, reply),
            Phase::Committed | Phase::RolledBack | Phase::Abandoned => clearing_transition(step, &reply),
            Phase::Finished => Transition::step(step),
        };
        self.step = transition.step;
        transition.next_phase
    }

    fn on_copying_reply(&mut self, step: Step, reply: OrderReply) -> Transition {
        match (step, reply) {
            (Step::First, OrderReply::Done) => Transition::step(Step::TrackChanges),
            (Step::TrackChanges, OrderReply::ExtentsLeft(left)) => {
                self.extents_left = left;
                self.copies = 0;
                Transition::step(Step::Fetch(None))
            }
            (Step::Fetch(_), OrderReply::NextExtent(Some(content))) if self.may_copy_more() => {
                Transition::step(Step::Put(content))
            }
            (Step::Fetch(_), OrderReply::NextExtent(_)) => Transition::phase(Phase::Fenced),
            (Step::Put(content), OrderReply::Done) => self.on_copied(&content),
            (step, _) => unexpected_reply(step),
        }
    }

    fn on_fenced_reply(&mut self, step: Step, reply: OrderReply) -> Transition {
        match (step, reply) {
            (Step::First, OrderReply::ExtentsLeft(_)) => Transition::step(Step::Fetch(None)),
            (Step::Fetch(_), OrderReply::NextExtent(Some(content))) => Transition::step(Step::Put(content)),
            (Step::Fetch(_), OrderReply::NextExtent(None)) => Transition::step(Step::FetchExecuted),
            (Step::Put(content), OrderReply::Done) => self.on_copied(&content),
            (Step::FetchExecuted, OrderReply::ExecutedOps(marks)) => {
                Transition::step(Step::RecordExecuted(marks))
            }
            (Step::RecordExecuted(_), OrderReply::Done) => Transition::step(Step::Sync),
            (Step::Sync, OrderReply::Done) => Transition::phase(Phase::Committed),
            (step, _) => unexpected_reply(step),
        }
    }

    fn may_copy_more(&self) -> bool {
        self.copies < MAX_COPY_PASSES * self.extents_left.max(1)
    }

    fn on_copied(&mut self, content: &ExtentContent) -> Transition {
        self.copies += 1;
        Transition::step(Step::Fetch(Some((content.extent, content.change_count))))
    }

    /// The phase that abandoning the move leads to; none where it can only go on.
    pub fn abandoned_phase(&self) -> Option<Phase> {
        match self.phase {
            Phase::Copying => Some(Phase::Abandoned),
            Phase::Fenced => Some(Phase::RolledBack),
            Phase::Committed | Phase::RolledBack | Phase::Abandoned | Phase::Finished => None,
        }
    }

    /// How far it is, for people. The text goes over the wire.
    pub fn status_text(&self) -> String {
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

/// What an answer leads to in the phases that have two steps: the first, and clearing.
fn clearing_transition(step: Step, reply: &OrderReply) -> Transition {
    match (step, reply) {
        (Step::First, OrderReply::Done) => Transition::step(Step::Clear),
        (Step::Clear, OrderReply::Done) => Transition::phase(Phase::Finished),
        (step, _) => unexpected_reply(step),
    }
}

/// An answer to another order, or one that is not allowed here: the order is sent again.
fn unexpected_reply(step: Step) -> Transition {
    Transition::step(step)
}

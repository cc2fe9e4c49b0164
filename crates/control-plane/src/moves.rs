//! State machine of one move of a range from one shard to another.
//!
//! Only the phase has to survive a crash; it is logged before it is acted on. The step within a phase is not
//! stored: a new run of the coordinator starts the phase again, which is safe because every order may be
//! repeated. The phases are:
//!
//! - *Copying*: the source serves the range, the target rejects ops on it. The move may be abandoned.
//! - *Fenced*: the source may already reject ops on the range, which only a rollback reverses, and the target
//!   still rejects them, so possibly no store serves the range. The move may be rolled back, at a still
//!   higher epoch, since the source has all data.
//! - *Committed*: the map names the target. The source never serves again at this or a lower epoch, and the
//!   move can no longer be undone.
//! - *Rolled back*: the source serves again, at the epoch after the one that was planned for the target.
//! - *Abandoned*: the source serves as before, and the target's copy is cleared.
//!
//! Invariant: at any epoch at most one store serves the range, whichever processes have crashed or are
//! unreachable. A store serves only at an epoch at which it was activated, each epoch is activated at one
//! store only, and the source is fenced before the target is activated.

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::orders::{ExecutedOp, ExtentContent, ExtentRange, Order, OrderReply};

/// Extents that are written during the copying phase are copied again. The total of copies in that phase is
/// limited to this many times the number of extents; the remaining extents are copied while the range is
/// fenced.
const MAX_COPY_PASSES: u64 = 3;

/// The phase of a move. The order of the variants is part of the stored format.
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
    /// The source still serves; the target is cleared.
    Abandoned,
    /// Nothing is left to do.
    Finished,
}

/// The order to send next within a phase.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Step {
    /// The first order of the phase. A new run of the coordinator starts here.
    #[default]
    First,
    TrackChanges,
    /// Fetches the next extent. Holds the number of the extent that was copied last, and its change count.
    Fetch(Option<(u64, u64)>),
    Put(ExtentContent),
    FetchExecuted,
    RecordExecuted(Vec<ExecutedOp>),
    Sync,
    Clear,
}

/// The effect of a store's reply on the move.
struct Transition {
    step: Step,
    /// The phase to log and enter next, if the current one has ended.
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

/// An order and the shard whose store it is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedOrder {
    /// The shard.
    pub shard: u32,
    /// The order.
    pub order: Order,
}

/// One move. The order of the fields is part of the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Move {
    /// The extents that are moved.
    pub range: ExtentRange,
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
    /// Number of extents that the source had to copy when this run started copying.
    #[serde(skip)]
    pub extents_left: u64,
    /// Number of copies made since then.
    #[serde(skip)]
    pub copies: u64,
}

impl Move {
    /// Creates a move in its first phase.
    pub fn new(range: ExtentRange, source: u32, target: u32, epoch: u64) -> Move {
        Move {
            range,
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

    /// Starts a phase that was logged.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.step = Step::First;
    }

    /// The order to send now; `None` once the move is finished.
    pub fn order(&self) -> Option<AddressedOrder> {
        let Move { range, epoch, .. } = *self;
        let to_source = |order| Some(AddressedOrder { shard: self.source, order });
        let to_target = |order| Some(AddressedOrder { shard: self.target, order });
        match (self.phase, &self.step) {
            (Phase::Finished, _) => None,
            (Phase::Copying, Step::First) => to_target(Order::Prepare { range, epoch }),
            (Phase::Copying, Step::TrackChanges) => to_source(Order::TrackChanges { range }),
            (Phase::Copying | Phase::Fenced, Step::Fetch(copied)) => {
                to_source(Order::FetchNext { range, copied: *copied })
            }
            (_, Step::Put(content)) => to_target(Order::Put { range, epoch, content: content.clone() }),
            (Phase::Fenced, Step::First) => to_source(Order::Fence { range, epoch }),
            (_, Step::FetchExecuted) => to_source(Order::FetchExecuted { range }),
            (_, Step::RecordExecuted(executed)) => {
                to_target(Order::RecordExecuted { range, epoch, executed_ops: executed.clone() })
            }
            (_, Step::Sync) => to_target(Order::Sync { range, epoch }),
            (Phase::Committed, Step::First) => to_target(Order::Activate { range, epoch }),
            (Phase::Committed, _) => to_source(Order::Clear { range, epoch }),
            (Phase::RolledBack, Step::First) => {
                to_source(Order::Reactivate { range, epoch: self.rollback_epoch() })
            }
            (Phase::Abandoned, Step::First) => to_source(Order::StopTracking { range }),
            (Phase::RolledBack | Phase::Abandoned, _) => to_target(Order::Clear { range, epoch }),
            // These steps do not occur in these phases; if one did, repeating the phase's first order would
            // be safe.
            (Phase::Copying, _) => to_target(Order::Prepare { range, epoch }),
            (Phase::Fenced, _) => to_source(Order::Fence { range, epoch }),
        }
    }

    /// Handles a store's reply to the last order. Returns the phase to log and enter next, if the current one
    /// has ended.
    pub fn on_reply(&mut self, reply: OrderReply) -> Option<Phase> {
        let step = std::mem::take(&mut self.step);
        let transition = match self.phase {
            // The target has restarted, or holds the remains of another move: the phase starts again.
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
            (Step::FetchExecuted, OrderReply::ExecutedOps(executed)) => {
                Transition::step(Step::RecordExecuted(executed))
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

    /// The phase that the move enters if it is abandoned now; `None` if it can no longer be abandoned.
    pub fn abandoned_phase(&self) -> Option<Phase> {
        match self.phase {
            Phase::Copying => Some(Phase::Abandoned),
            Phase::Fenced => Some(Phase::RolledBack),
            Phase::Committed | Phase::RolledBack | Phase::Abandoned | Phase::Finished => None,
        }
    }

    /// The status of the move as text for operators. It is sent over the wire.
    pub fn status_text(&self) -> String {
        match self.phase {
            Phase::Copying => format!("copying: {} of about {} extents", self.copies, self.extents_left),
            Phase::Fenced => "paused: the rest is copied".into(),
            Phase::Committed => "moved: the source is cleared".into(),
            Phase::RolledBack => "rolled back: the source serves again".into(),
            Phase::Abandoned => "given up: the target is cleared".into(),
            Phase::Finished => "over".into(),
        }
    }
}

/// The transition after a reply in the phases that have two steps: the first one, and clearing.
fn clearing_transition(step: Step, reply: &OrderReply) -> Transition {
    match (step, reply) {
        (Step::First, OrderReply::Done) => Transition::step(Step::Clear),
        (Step::Clear, OrderReply::Done) => Transition::phase(Phase::Finished),
        (step, _) => unexpected_reply(step),
    }
}

/// The transition after a reply that does not fit the order: the order is sent again.
fn unexpected_reply(step: Step) -> Transition {
    Transition::step(step)
}

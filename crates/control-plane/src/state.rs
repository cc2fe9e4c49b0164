//! The coordinator's durable state, and the log records that change it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::ExtentRange;

use crate::map::ExtentMap;
use crate::moves::{Move, Phase};

/// One change of the state, which is logged before it is acted on. The order of variants and fields is part
/// of the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A run of the coordinator has started with this term. Stores reject its orders once they have received
    /// an order with a higher term.
    Term(u64),
    /// An extent was placed at a shard.
    Claimed {
        /// The volume.
        volume: u64,
        /// The extent's number in the volume.
        extent: u64,
        /// The shard that holds the extent from now on, at epoch 0.
        shard: u32,
    },
    /// A move was planned.
    Planned {
        /// The number of the move.
        number: u64,
        /// The move, in its first phase.
        planned: Move,
    },
    /// A move entered a phase.
    Entered {
        /// The number of the move.
        number: u64,
        /// The phase.
        phase: Phase,
    },
}

/// Maximum number of finished moves whose result is kept for status requests.
const MAX_ENDED_MOVES: usize = 1024;

/// The state that survives a restart of the coordinator. The order of the fields is part of the stored
/// format.
///
/// Invariant: it is changed only by [`CoordinatorState::apply`], so that replaying the log restores it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CoordinatorState {
    /// The term of the last run.
    pub term: u64,
    /// The location of every extent that was claimed.
    pub map: ExtentMap,
    /// Moves that are not finished, by number.
    pub moves: BTreeMap<u64, Move>,
    /// The phase that each finished move was in before [`Phase::Finished`], by the number of the move.
    pub ended_moves: BTreeMap<u64, Phase>,
    /// The number of the move that was planned last; numbers start at 1.
    pub last_move_number: u64,
}

/// The result of a gateway's claim of an extent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The extent's location.
    pub location: Location,
    /// The record to log before the response, if this claim placed the extent.
    pub record: Option<Record>,
}

/// Why a move is rejected, and what the operator can do about it. The texts are sent over the wire.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MoveRejected {
    /// The range has no extents.
    #[error("the range is empty: its end has to lie after its beginning")]
    Empty,
    /// The extents of the range lie at different shards.
    #[error(
        "extent {extent} lies at shard {shard}, others of the range at {other}: move each part separately"
    )]
    Split {
        /// The first extent that lies at another shard.
        extent: u64,
        /// The shard of that extent.
        shard: u32,
        /// The shard of the extents before it.
        other: u32,
    },
    /// No extent of the range was claimed.
    #[error("no extent of the range is placed yet: the first write to an extent places it")]
    NotPlaced,
    /// The range already lies at the target.
    #[error("the range already lies at shard {0}")]
    AlreadyAtTarget(u32),
    /// The move with this number covers a part of the range and is not finished.
    #[error("move {0} of a part of the range is not finished: wait for it, or give it up")]
    InProgress(u64),
    /// This shard has no store.
    #[error("no store serves shard {0}: check the endpoint list")]
    NoStore(u32),
    /// The maximum number of unfinished moves is reached; the value is their current number.
    #[error("{0} moves are unfinished, which is the maximum: retry when one has finished")]
    TooManyMoves(usize),
}

impl CoordinatorState {
    /// Decodes a state; `None` if the bytes are not a valid encoding.
    pub fn decode(bytes: &[u8]) -> Option<CoordinatorState> {
        postcard::from_bytes(bytes).ok()
    }

    /// Encodes the state, as a checkpoint of the log.
    pub fn encode(&self) -> Vec<u8> {
        // Invariant: the state holds only numbers and maps of numbers, whose encoding into memory cannot
        // fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Applies a logged record.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Term(term) => self.term = *term,
            Record::Claimed { volume, extent, shard } => {
                let range = ExtentRange { volume: *volume, start: *extent, end: *extent + 1 };
                self.map.set(&range, Location { shard: *shard, epoch: 0 });
            }
            Record::Planned { number, planned } => {
                self.moves.insert(*number, planned.clone());
                self.last_move_number = *number;
            }
            Record::Entered { number, phase } => self.enter_phase(*number, *phase),
        }
    }

    fn enter_phase(&mut self, number: u64, phase: Phase) {
        let Some(moving) = self.moves.get_mut(&number) else { return };
        let previous = moving.phase;
        moving.enter(phase);
        let location = match phase {
            Phase::Committed => Some(Location { shard: moving.target, epoch: moving.epoch }),
            Phase::RolledBack => Some(Location { shard: moving.source, epoch: moving.rollback_epoch() }),
            _ => None,
        };
        if let Some(location) = location {
            self.map.set(&moving.range, location);
        }
        if phase == Phase::Finished {
            self.finish(number, previous);
        }
    }

    fn finish(&mut self, number: u64, last_phase: Phase) {
        self.moves.remove(&number);
        self.ended_moves.insert(number, last_phase);
        while self.ended_moves.len() > MAX_ENDED_MOVES {
            self.ended_moves.pop_first();
        }
    }

    /// Places an extent that a gateway claims for `shard`. An extent that is already placed keeps its
    /// location. One whose range is being moved is placed at the source of that move, any other at `shard`.
    pub fn claim(&self, volume: u64, extent: u64, shard: u32) -> Claim {
        if let Some(location) = self.map.location(volume, extent) {
            return Claim { location, record: None };
        }
        // Hazard: if an extent were placed at another shard while its range is being moved, the move would
        // not copy it, and the map would then have a wrong location for it.
        let moving = self.moves.values().find(|moving| moving.range.contains(volume, extent));
        let shard = moving.map_or(shard, |moving| moving.source);
        Claim {
            location: Location { shard, epoch: 0 },
            record: Some(Record::Claimed { volume, extent, shard }),
        }
    }

    /// Plans a move of a range to a shard, without changing the state.
    ///
    /// # Errors
    /// [`MoveRejected`] if the range is empty, not placed, split over shards, already at the target or being
    /// moved.
    pub fn plan(&self, range: ExtentRange, target: u32) -> Result<Move, MoveRejected> {
        if range.start >= range.end {
            return Err(MoveRejected::Empty);
        }
        if let Some((number, _)) = self.moves.iter().find(|(_, moving)| moving.range.overlaps(&range)) {
            return Err(MoveRejected::InProgress(*number));
        }
        let source = self.single_location(&range)?;
        if source.shard == target {
            return Err(MoveRejected::AlreadyAtTarget(target));
        }
        Ok(Move::new(range, source.shard, target, source.epoch + 1))
    }

    /// The one shard that holds all placed extents of a range, and the highest of their epochs.
    fn single_location(&self, range: &ExtentRange) -> Result<Location, MoveRejected> {
        let mut parts = self.map.overlapping(range);
        let (_, first) = parts.next().ok_or(MoveRejected::NotPlaced)?;
        let mut epoch = first.epoch;
        for (part, location) in parts {
            if location.shard != first.shard {
                return Err(MoveRejected::Split {
                    extent: part.start,
                    shard: location.shard,
                    other: first.shard,
                });
            }
            epoch = epoch.max(location.epoch);
        }
        Ok(Location { shard: first.shard, epoch })
    }
}

//! What outlives a run of the coordinator, and the records that change it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::ExtentRange;

use crate::map::ExtentMap;
use crate::moves::{Move, Phase};

/// One step, which is logged before it is acted on. The order of variants and fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A run of the coordinator begins, with this term. Its orders are refused once a store has received one of a later run.
    Term(u64),
    /// An extent was placed.
    Claimed {
        /// The volume.
        volume: u64,
        /// The extent's number in it.
        extent: u64,
        /// Where it lies from now on, at epoch 0.
        shard: u32,
    },
    /// A move was planned.
    Planned {
        /// Its number.
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

/// Finished moves whose result is kept for those who ask.
const MAX_ENDED_MOVES: usize = 1024;

/// What outlives a run of the coordinator. The order of the fields is part of the format.
///
/// Invariant: it changes by [`CoordinatorState::apply`] alone, so that the log gives it again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CoordinatorState {
    /// The term of the last run.
    pub term: u64,
    /// Where extents lie.
    pub map: ExtentMap,
    /// Moves that are not finished, by number.
    pub moves: BTreeMap<u64, Move>,
    /// The phase in which finished moves ended, by number.
    pub ended: BTreeMap<u64, Phase>,
    /// The number of the last move planned; the first has number 1.
    pub last_move_number: u64,
}

/// The location of an extent that a gateway claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Where the extent lies.
    pub location: Location,
    /// What has to be logged first, where it was placed by this claim.
    pub record: Option<Record>,
}

/// Why a move is rejected, and what can be done. The texts go over the wire.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MoveRejected {
    /// The range has no extents.
    #[error("the range is empty: its end has to lie after its beginning")]
    Empty,
    /// Extents of the range lie at different shards.
    #[error(
        "extent {extent} lies at shard {shard}, others of the range at {other}: move each part by itself"
    )]
    Split {
        /// The first extent that lies at another shard.
        extent: u64,
        /// Its shard.
        shard: u32,
        /// The shard of the extents before it.
        other: u32,
    },
    /// No extent of the range was claimed.
    #[error("nothing of the range lies anywhere yet: its first write places it")]
    NotPlaced,
    /// The range lies at the target.
    #[error("the range lies at shard {0} already")]
    AlreadyThere(u32),
    /// This move of a part of the range is not finished.
    #[error("move {0} of a part of the range is not over: wait for it, or give it up")]
    InProgress(u64),
    /// This shard has no store.
    #[error("no store serves shard {0}: see the list of stores")]
    NoStore(u32),
    /// So many moves are under way.
    #[error("{0} moves wait already: come back when one is over")]
    TooManyMoves(usize),
}

impl CoordinatorState {
    /// Decodes a state; none where the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<CoordinatorState> {
        postcard::from_bytes(bytes).ok()
    }

    /// Encodes the state, as a checkpoint of the log.
    pub fn encode(&self) -> Vec<u8> {
        // Invariant: encoding numbers and maps of them into memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Applies a logged record.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Term(term) => self.term = *term,
            Record::Claimed { volume, extent, shard } => {
                let span = ExtentRange { volume: *volume, start: *extent, end: *extent + 1 };
                self.map.set(&span, Location { shard: *shard, epoch: 0 });
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
            self.map.set(&moving.span, location);
        }
        if phase == Phase::Finished {
            self.finish(number, previous);
        }
    }

    fn finish(&mut self, number: u64, last_phase: Phase) {
        self.moves.remove(&number);
        self.ended.insert(number, last_phase);
        while self.ended.len() > MAX_ENDED_MOVES {
            self.ended.pop_first();
        }
    }

    /// Where an extent lies that a gateway wants at this shard: where it was placed, where its range is being moved from, or
    /// at that shard.
    pub fn claim(&self, volume: u64, extent: u64, shard: u32) -> Claim {
        if let Some(location) = self.map.location(volume, extent) {
            return Claim { location, record: None };
        }
        // Hazard: an extent placed elsewhere during a move of its range would be left out of the move, and the map would be
        // wrong about it.
        let moving = self.moves.values().find(|moving| moving.span.contains(volume, extent));
        let shard = moving.map_or(shard, |moving| moving.source);
        Claim {
            location: Location { shard, epoch: 0 },
            record: Some(Record::Claimed { volume, extent, shard }),
        }
    }

    /// A move of a range to a shard.
    ///
    /// # Errors
    /// [`MoveRejected`] where the range is empty, not placed, split over shards, at the target or being moved.
    pub fn plan(&self, span: ExtentRange, target: u32) -> Result<Move, MoveRejected> {
        if span.start >= span.end {
            return Err(MoveRejected::Empty);
        }
        if let Some((number, _)) = self.moves.iter().find(|(_, moving)| moving.span.overlaps(&span)) {
            return Err(MoveRejected::InProgress(*number));
        }
        let source = self.single_location(&span)?;
        if source.shard == target {
            return Err(MoveRejected::AlreadyThere(target));
        }
        Ok(Move::new(span, source.shard, target, source.epoch + 1))
    }

    /// The one shard that holds all placed extents of a span, and the highest of their epochs.
    fn single_location(&self, span: &ExtentRange) -> Result<Location, MoveRejected> {
        let mut parts = self.map.overlapping(span);
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

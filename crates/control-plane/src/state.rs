//! What outlives a run of the coordinator, and the records that change it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::ExtentRange;

use crate::map::ExtentMap;
use crate::moves::{Move, Phase};

/// One step that is logged before it is acted on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A run of the coordinator begins. Its orders are refused once a store has heard of a later one.
    Term(u64),
    Claimed {
        volume: u64,
        extent: u64,
        shard: u32,
    },
    Planned {
        number: u64,
        planned: Move,
    },
    Entered {
        number: u64,
        phase: Phase,
    },
}

/// So many moves that are over are remembered, for those who ask how theirs went.
const REMEMBERED: usize = 1024;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CoordinatorState {
    pub term: u64,
    pub map: ExtentMap,
    pub moves: BTreeMap<u64, Move>,
    /// How moves ended that are no more: the phase before the last.
    pub ended: BTreeMap<u64, Phase>,
    /// How many moves were ever planned; the first has number 1.
    pub planned: u64,
}

/// Why a range cannot be moved; each says what can be done.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MoveRejected {
    #[error("the range is empty: its end has to lie after its beginning")]
    Empty,
    #[error(
        "extent {extent} lies at shard {shard}, others of the range at {other}: move each part by itself"
    )]
    Split { extent: u64, shard: u32, other: u32 },
    #[error("nothing of the range lies anywhere yet: its first write places it")]
    NotPlaced,
    #[error("the range lies at shard {0} already")]
    AlreadyThere(u32),
    #[error("move {0} of a part of the range is not over: wait for it, or give it up")]
    InProgress(u64),
    #[error("no store serves shard {0}: see the list of stores")]
    NoStore(u32),
    #[error("{0} moves wait already: come back when one is over")]
    TooManyMoves(usize),
}

impl CoordinatorState {
    pub fn read(bytes: &[u8]) -> Option<CoordinatorState> {
        postcard::from_bytes(bytes).ok()
    }

    pub fn bytes(&self) -> Vec<u8> {
        // Numbers and maps of them cannot fail to be written to memory.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Term(term) => self.term = *term,
            Record::Claimed { volume, extent, shard } => {
                let span = ExtentRange { volume: *volume, start: *extent, end: *extent + 1 };
                self.map.set(&span, Location { shard: *shard, epoch: 0 });
            }
            Record::Planned { number, planned } => {
                self.moves.insert(*number, planned.clone());
                self.planned = *number;
            }
            Record::Entered { number, phase } => self.entered(*number, *phase),
        }
    }

    fn entered(&mut self, number: u64, phase: Phase) {
        let Some(moving) = self.moves.get_mut(&number) else { return };
        let ended = moving.phase;
        moving.enter(phase);
        let place = match phase {
            Phase::Committed => Some(Location { shard: moving.target, epoch: moving.epoch }),
            Phase::RolledBack => Some(Location { shard: moving.source, epoch: moving.back_epoch() }),
            _ => None,
        };
        let span = moving.span;
        place.into_iter().for_each(|place| self.map.set(&span, place));
        if phase == Phase::Finished {
            self.moves.remove(&number);
            self.ended.insert(number, ended);
            while self.ended.len() > REMEMBERED {
                self.ended.pop_first();
            }
        }
    }

    /// Where an extent is to lie that a gateway wants at this shard: where it lies, where its range is being moved from,
    /// or there.
    pub fn claim(&self, volume: u64, extent: u64, shard: u32) -> (Location, Option<Record>) {
        if let Some(place) = self.map.location(volume, extent) {
            return (place, None);
        }
        let moving = self.moves.values().find(|moving| moving.span.contains(volume, extent));
        // Danger: an extent placed beside a move of its range would be left out of it, and lie where the map never says.
        let shard = moving.map_or(shard, |moving| moving.source);
        (Location { shard, epoch: 0 }, Some(Record::Claimed { volume, extent, shard }))
    }

    /// A move of the range to a shard, if it can be made.
    pub fn plan(&self, span: ExtentRange, target: u32) -> Result<Move, MoveRejected> {
        if span.start >= span.end {
            return Err(MoveRejected::Empty);
        }
        if let Some((number, _)) = self.moves.iter().find(|(_, moving)| moving.span.overlaps(&span)) {
            return Err(MoveRejected::InProgress(*number));
        }
        let mut parts = self.map.within(&span);
        let (_, first) = parts.next().ok_or(MoveRejected::NotPlaced)?;
        let mut epoch = first.epoch;
        for (part, place) in parts {
            if place.shard != first.shard {
                return Err(MoveRejected::Split {
                    extent: part.start,
                    shard: place.shard,
                    other: first.shard,
                });
            }
            epoch = epoch.max(place.epoch);
        }
        if first.shard == target {
            return Err(MoveRejected::AlreadyThere(target));
        }
        Ok(Move::new(span, first.shard, target, epoch + 1))
    }
}

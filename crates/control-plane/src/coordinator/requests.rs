//! Requests of gateways and operators.

use umbertray_store_protocol::list::{FromList, Location, ToList};
use umbertray_store_protocol::orders::ExtentRange;

use super::{ConnectionId, Coordinator};
use crate::moves::Phase;
use crate::state::{MoveRejected, Record};

/// Maximum number of unfinished moves.
const MAX_MOVES: usize = 4096;
/// Maximum number of lookups that wait for a newer map.
const MAX_DEFERRED_LOOKUPS: usize = 1 << 16;

/// A lookup that waits until the extent's epoch in the map is at least `min_epoch`.
#[derive(Clone, Hash)]
pub(super) struct DeferredLookup {
    pub(super) connection: ConnectionId,
    token: u64,
    volume: u64,
    extent: u64,
    min_epoch: u64,
}

/// The response to a deferred lookup.
struct LookupResponse {
    connection: ConnectionId,
    token: u64,
    location: Location,
}

/// The status of a move.
struct MoveStatus {
    /// Text for operators, which is sent over the wire.
    text: String,
    has_ended: bool,
}

impl Coordinator {
    pub(super) fn on_request(&mut self, connection: ConnectionId, message: &ToList) {
        let response = match *message {
            ToList::Hello { .. } => FromList::Welcome { term: self.state.term },
            // The endpoint list is served by the list service, not by the coordinator.
            ToList::Watch | ToList::Fetch => FromList::Failed,
            ToList::Lookup { token, volume, extent, min_epoch } => {
                let lookup = DeferredLookup { connection, token, volume, extent, min_epoch };
                return self.on_lookup(lookup);
            }
            ToList::Claim { token, volume, extent, shard } => {
                let claim = self.state.claim(volume, extent, shard);
                if let Some(record) = claim.record {
                    self.log(record);
                }
                FromList::Location { token, location: Some(claim.location) }
            }
            ToList::Shards { token, volume } => {
                FromList::Shards { token, shards: self.state.map.shards(volume).into_iter().collect() }
            }
            ToList::Move { token, range, shard } => {
                let number = self.plan_move(range, shard).map_err(|rejected| rejected.to_string());
                FromList::Move { token, number }
            }
            ToList::MoveStatus { token, number, abandon } => {
                if abandon {
                    self.abandon_move(number);
                }
                let status = self.move_status(number);
                FromList::MoveStatus { token, state: status.text, is_finished: status.has_ended }
            }
        };
        self.send(connection, response);
    }

    /// Answers a lookup at once if the map is as new as the lookup requires, and defers it otherwise. If
    /// [`MAX_DEFERRED_LOOKUPS`] are deferred already, the lookup fails, and the peer retries later.
    fn on_lookup(&mut self, lookup: DeferredLookup) {
        let location = self.state.map.location(lookup.volume, lookup.extent);
        if location.map_or(0, |location| location.epoch) >= lookup.min_epoch {
            let response = FromList::Location { token: lookup.token, location };
            return self.send(lookup.connection, response);
        }
        if self.deferred_lookups.len() >= MAX_DEFERRED_LOOKUPS {
            return self.send(lookup.connection, FromList::Failed);
        }
        self.deferred_lookups.push(lookup);
    }

    /// Answers the deferred lookups for which the map is now new enough.
    pub(super) fn answer_deferred_lookups(&mut self) {
        let map = &self.state.map;
        let mut ready = Vec::new();
        self.deferred_lookups.retain(|lookup| {
            let location = map.location(lookup.volume, lookup.extent);
            let Some(location) = location.filter(|location| location.epoch >= lookup.min_epoch) else {
                return true;
            };
            ready.push(LookupResponse { connection: lookup.connection, token: lookup.token, location });
            false
        });
        for LookupResponse { connection, token, location } in ready {
            self.send(connection, FromList::Location { token, location: Some(location) });
        }
    }

    /// Plans and logs a move, and returns its number.
    fn plan_move(&mut self, range: ExtentRange, target: u32) -> Result<u64, MoveRejected> {
        let planned = self.state.plan(range, target)?;
        let shards = [planned.source, target];
        if let Some(shard) = shards.into_iter().find(|shard| !self.shards.contains(shard)) {
            return Err(MoveRejected::NoStore(shard));
        }
        if self.state.moves.len() >= MAX_MOVES {
            return Err(MoveRejected::TooManyMoves(self.state.moves.len()));
        }
        let number = self.state.last_move_number + 1;
        self.log(Record::Planned { number, planned });
        Ok(number)
    }

    fn abandon_move(&mut self, number: u64) {
        let phase = self.state.moves.get(&number).and_then(|moving| moving.abandoned_phase());
        if let Some(phase) = phase {
            self.enter_phase(number, phase);
        }
    }

    fn move_status(&self, number: u64) -> MoveStatus {
        if let Some(moving) = self.state.moves.get(&number) {
            let is_running = self.running.contains_key(&number);
            let prefix = if is_running { "" } else { "waiting for its shards; " };
            return MoveStatus { text: format!("{prefix}{}", moving.status_text()), has_ended: false };
        }
        let text = match self.state.ended_moves.get(&number) {
            Some(Phase::Committed) => "moved, the source is cleared",
            Some(_) => "given up, the source serves",
            None => "no such move",
        };
        MoveStatus { text: text.into(), has_ended: true }
    }
}

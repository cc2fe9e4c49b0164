//! Locations of extents: what the directory has answered, and the queries that it has not.
//!
//! A known location is cached, within a bound, and may be old: the epoch that goes with each attempt makes the store say so.
//! That an extent has no location yet is true only for the moment and is never cached, or a read through this gateway could
//! miss a first write through another.

use std::collections::{HashMap, VecDeque};

use umbertray_store_protocol::list::{Location, ToList};

/// A volume's lasting id and the extent's index.
pub(crate) type ExtentId = (u64, u64);

/// A query to the directory, and who waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DirectoryQuery {
    /// Fragments of one extent, at this epoch at least.
    Lookup(ExtentId, Vec<u32>, u64),
    /// A claim of an extent for a shard, for the attempt that will be its first.
    Claim(ExtentId, u32, u64),
    /// The shards that hold extents of a volume, for the fragment that flushes it.
    Shards(u64, u32),
}

/// Known locations and open queries.
///
/// Invariant: at most one lookup an extent is open; `by_age` holds the keys of `known`, oldest first.
#[derive(Default)]
pub(crate) struct Locations {
    known: HashMap<ExtentId, Location>,
    by_age: VecDeque<ExtentId>,
    max: usize,
    queries: HashMap<u64, DirectoryQuery>,
    lookups: HashMap<ExtentId, u64>,
    next_token: u64,
}

impl Locations {
    pub(crate) fn new(max: usize) -> Locations {
        Locations { max, ..Locations::default() }
    }

    pub(crate) fn get(&self, extent: ExtentId) -> Option<Location> {
        self.known.get(&extent).copied()
    }

    /// Records a location, unless a later epoch of it is known.
    pub(crate) fn record(&mut self, extent: ExtentId, location: Location) {
        match self.known.get_mut(&extent) {
            Some(known) if known.epoch > location.epoch => {}
            Some(known) => *known = location,
            None => {
                self.known.insert(extent, location);
                self.by_age.push_back(extent);
            }
        }
        while self.by_age.len() > self.max {
            if let Some(old) = self.by_age.pop_front() {
                self.known.remove(&old);
            }
        }
    }

    /// A store does not hold the extent, or not any more: its location has to be queried again.
    pub(crate) fn forget(&mut self, extent: ExtentId) {
        if self.known.remove(&extent).is_some() {
            self.by_age.retain(|known| *known != extent);
        }
    }

    /// Adds a fragment to those that wait for an extent's location; returns the query to send, unless one is open.
    pub(crate) fn look_up(&mut self, extent: ExtentId, fragment: u32, least: u64) -> Option<ToList> {
        let open = self.lookups.get(&extent).and_then(|token| self.queries.get_mut(token));
        if let Some(DirectoryQuery::Lookup(_, waiting, _)) = open {
            waiting.push(fragment);
            return None;
        }
        let token = self.ask(DirectoryQuery::Lookup(extent, vec![fragment], least));
        self.lookups.insert(extent, token);
        self.question(token)
    }

    pub(crate) fn claim(&mut self, extent: ExtentId, shard: u32, attempt: u64) -> Option<ToList> {
        let token = self.ask(DirectoryQuery::Claim(extent, shard, attempt));
        self.question(token)
    }

    pub(crate) fn query_shards(&mut self, volume: u64, fragment: u32) -> Option<ToList> {
        let token = self.ask(DirectoryQuery::Shards(volume, fragment));
        self.question(token)
    }

    fn ask(&mut self, query: DirectoryQuery) -> u64 {
        self.next_token += 1;
        self.queries.insert(self.next_token, query);
        self.next_token
    }

    fn question(&self, token: u64) -> Option<ToList> {
        Some(match self.queries.get(&token)? {
            DirectoryQuery::Lookup((volume, extent), _, least) => {
                ToList::Lookup { token, volume: *volume, extent: *extent, min_epoch: *least }
            }
            DirectoryQuery::Claim((volume, extent), shard, _) => {
                ToList::Claim { token, volume: *volume, extent: *extent, shard: *shard }
            }
            DirectoryQuery::Shards(volume, _) => ToList::Shards { token, volume: *volume },
        })
    }

    /// Takes the query of a token; nothing if it was answered or dropped.
    pub(crate) fn take_query(&mut self, token: u64) -> Option<DirectoryQuery> {
        let query = self.queries.remove(&token)?;
        if let DirectoryQuery::Lookup(extent, ..) = &query {
            self.lookups.remove(extent);
        }
        Some(query)
    }

    /// Drops the queries for which `is_obsolete` is true: nobody waits for them any more.
    pub(crate) fn drop_queries(&mut self, mut is_obsolete: impl FnMut(&mut DirectoryQuery) -> bool) {
        let over: Vec<u64> = self
            .queries
            .iter_mut()
            .filter_map(|(token, query)| is_obsolete(query).then_some(*token))
            .collect();
        over.into_iter().for_each(|token| _ = self.take_query(token));
    }

    /// The fragments that flush and wait for the shards of their volume.
    pub(crate) fn waiting_flushes(&self) -> Vec<u32> {
        let op =
            |query: &DirectoryQuery| if let DirectoryQuery::Shards(_, op) = query { Some(*op) } else { None };
        self.queries.values().filter_map(op).collect()
    }

    /// All open queries, oldest first, to be sent again: that does no harm, as a repeated claim names the same winner.
    pub(crate) fn open_queries(&self) -> Vec<ToList> {
        let mut tokens: Vec<u64> = self.queries.keys().copied().collect();
        tokens.sort_unstable();
        tokens.into_iter().filter_map(|token| self.question(token)).collect()
    }

    pub(crate) fn has_open_queries(&self) -> bool {
        !self.queries.is_empty()
    }
}

#[cfg(test)]
mod tests;

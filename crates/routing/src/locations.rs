//! Locations of extents: a cache of those that the directory (the service that has the extent map) has
//! returned, and the open queries.
//!
//! Known locations are cached, up to a bound, and may be outdated; a store detects that by the epoch that is
//! sent with each attempt. The absence of a location holds only for the moment and is never cached: otherwise
//! a read through this gateway could miss a first write through another gateway.

use std::collections::{HashMap, VecDeque};

use umbertray_store_protocol::list::{Location, ToList};

/// A volume's lasting id and the index of an extent in it.
pub(crate) type ExtentId = (u64, u64);

/// A query to the directory, and what waits for its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DirectoryQuery {
    /// Lookup of an extent's location: the fragments that wait for it, and the lowest epoch that the response
    /// may have.
    Lookup(ExtentId, Vec<u32>, u64),
    /// Claim of an extent for a shard, and the number of the attempt that will be the first one there.
    Claim(ExtentId, u32, u64),
    /// The shards that hold extents of a volume, and the fragment that flushes the volume.
    Shards(u64, u32),
}

/// Known locations and open queries.
///
/// Invariant: at most one lookup per extent is open; `insertion_order` holds the keys of `known`, oldest
/// first.
#[derive(Default)]
pub(crate) struct Locations {
    known: HashMap<ExtentId, Location>,
    insertion_order: VecDeque<ExtentId>,
    max: usize,
    queries: HashMap<u64, DirectoryQuery>,
    lookups: HashMap<ExtentId, u64>,
    last_token: u64,
}

impl Locations {
    pub(crate) fn new(max: usize) -> Locations {
        Locations { max, ..Locations::default() }
    }

    pub(crate) fn get(&self, extent: ExtentId) -> Option<Location> {
        self.known.get(&extent).copied()
    }

    /// Records a location, unless a location of a later epoch is known.
    pub(crate) fn record(&mut self, extent: ExtentId, location: Location) {
        match self.known.get_mut(&extent) {
            Some(known) if known.epoch > location.epoch => {}
            Some(known) => *known = location,
            None => {
                self.known.insert(extent, location);
                self.insertion_order.push_back(extent);
            }
        }
        while self.insertion_order.len() > self.max {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// Removes the location of an extent that the store there does not hold (any more); it has to be looked
    /// up again.
    pub(crate) fn forget(&mut self, extent: ExtentId) {
        if self.known.remove(&extent).is_some() {
            self.insertion_order.retain(|known| *known != extent);
        }
    }

    /// Adds a fragment to those that wait for an extent's location. Returns the query to send, or `None` if a
    /// lookup of the extent is already open.
    pub(crate) fn look_up(&mut self, extent: ExtentId, fragment: u32, min_epoch: u64) -> Option<ToList> {
        let open = self.lookups.get(&extent).and_then(|token| self.queries.get_mut(token));
        if let Some(DirectoryQuery::Lookup(_, waiting, _)) = open {
            waiting.push(fragment);
            return None;
        }
        let token = self.open_query(DirectoryQuery::Lookup(extent, vec![fragment], min_epoch));
        self.lookups.insert(extent, token);
        self.query_message(token)
    }

    pub(crate) fn claim(&mut self, extent: ExtentId, shard: u32, attempt: u64) -> Option<ToList> {
        let token = self.open_query(DirectoryQuery::Claim(extent, shard, attempt));
        self.query_message(token)
    }

    pub(crate) fn query_shards(&mut self, volume: u64, fragment: u32) -> Option<ToList> {
        let token = self.open_query(DirectoryQuery::Shards(volume, fragment));
        self.query_message(token)
    }

    fn open_query(&mut self, query: DirectoryQuery) -> u64 {
        self.last_token += 1;
        self.queries.insert(self.last_token, query);
        self.last_token
    }

    fn query_message(&self, token: u64) -> Option<ToList> {
        Some(match self.queries.get(&token)? {
            DirectoryQuery::Lookup((volume, extent), _, min_epoch) => {
                ToList::Lookup { token, volume: *volume, extent: *extent, min_epoch: *min_epoch }
            }
            DirectoryQuery::Claim((volume, extent), shard, _) => {
                ToList::Claim { token, volume: *volume, extent: *extent, shard: *shard }
            }
            DirectoryQuery::Shards(volume, _) => ToList::Shards { token, volume: *volume },
        })
    }

    /// Removes and returns the query of a token; `None` if it was already answered or dropped.
    pub(crate) fn take_query(&mut self, token: u64) -> Option<DirectoryQuery> {
        let query = self.queries.remove(&token)?;
        if let DirectoryQuery::Lookup(extent, ..) = &query {
            self.lookups.remove(extent);
        }
        Some(query)
    }

    /// Drops the queries for which `is_obsolete` returns true, because nothing waits for their responses any
    /// more.
    pub(crate) fn drop_queries(&mut self, mut is_obsolete: impl FnMut(&mut DirectoryQuery) -> bool) {
        let obsolete: Vec<u64> = self
            .queries
            .iter_mut()
            .filter_map(|(token, query)| is_obsolete(query).then_some(*token))
            .collect();
        obsolete.into_iter().for_each(|token| _ = self.take_query(token));
    }

    /// The flush fragments that wait for the shards of their volume.
    pub(crate) fn waiting_flushes(&self) -> Vec<u32> {
        let flush_fragment = |query: &DirectoryQuery| {
            if let DirectoryQuery::Shards(_, fragment) = query { Some(*fragment) } else { None }
        };
        self.queries.values().filter_map(flush_fragment).collect()
    }

    /// All open queries, oldest first, to be resent. Resending is harmless: a repeated claim returns the same
    /// winner.
    pub(crate) fn open_queries(&self) -> Vec<ToList> {
        let mut tokens: Vec<u64> = self.queries.keys().copied().collect();
        tokens.sort_unstable();
        tokens.into_iter().filter_map(|token| self.query_message(token)).collect()
    }

    pub(crate) fn has_open_queries(&self) -> bool {
        !self.queries.is_empty()
    }
}

#[cfg(test)]
mod tests;

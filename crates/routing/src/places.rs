//! Where extents lie, as far as this gateway knows: what the directory said, and what it is being asked.
//!
//! An extent's first claim wins for ever, so a known place stays true and is kept, within a bound. That an extent has no
//! place yet is true only for the moment: it is never kept, or a read through this gateway could miss a first write
//! through another.

use std::collections::{HashMap, VecDeque};

use umbertray_store_wire::list::ToList;

/// A volume's lasting id and the extent's index.
pub(crate) type Extent = (u64, u64);

/// Who waits for an answer of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    /// Pieces of one extent.
    Lookup(Extent, Vec<u32>),
    /// The dispatch that is to be the extent's first.
    Claim(Extent, u32, u64),
    /// The piece that flushes this volume.
    Shards(u64, u32),
}

#[derive(Default)]
pub(crate) struct Places {
    known: HashMap<Extent, u32>,
    oldest: VecDeque<Extent>,
    most: usize,
    asked: HashMap<u64, Asked>,
    lookups: HashMap<Extent, u64>,
    next_token: u64,
}

impl Places {
    pub fn new(most: usize) -> Places {
        Places { most, ..Places::default() }
    }

    pub fn shard(&self, extent: Extent) -> Option<u32> {
        self.known.get(&extent).copied()
    }

    pub fn learn(&mut self, extent: Extent, shard: u32) {
        if self.known.insert(extent, shard).is_none() {
            self.oldest.push_back(extent);
        }
        while self.oldest.len() > self.most {
            if let Some(old) = self.oldest.pop_front() {
                self.known.remove(&old);
            }
        }
    }

    /// A store said that it does not hold the extent: the directory is to be asked again.
    pub fn doubt(&mut self, extent: Extent) {
        if self.known.remove(&extent).is_some() {
            self.oldest.retain(|known| *known != extent);
        }
    }

    /// Adds a piece to those that wait for an extent's place; a question, if none is out.
    pub fn look_up(&mut self, extent: Extent, piece: u32) -> Option<ToList> {
        if let Some(Asked::Lookup(_, waiting)) = self.lookups.get(&extent).and_then(|t| self.asked.get_mut(t))
        {
            waiting.push(piece);
            return None;
        }
        let token = self.ask(Asked::Lookup(extent, vec![piece]));
        self.lookups.insert(extent, token);
        self.question(token)
    }

    pub fn claim(&mut self, extent: Extent, shard: u32, dispatch: u64) -> Option<ToList> {
        let token = self.ask(Asked::Claim(extent, shard, dispatch));
        self.question(token)
    }

    pub fn shards(&mut self, volume: u64, piece: u32) -> Option<ToList> {
        let token = self.ask(Asked::Shards(volume, piece));
        self.question(token)
    }

    fn ask(&mut self, asked: Asked) -> u64 {
        self.next_token += 1;
        self.asked.insert(self.next_token, asked);
        self.next_token
    }

    fn question(&self, token: u64) -> Option<ToList> {
        Some(match self.asked.get(&token)? {
            Asked::Lookup((volume, extent), _) => ToList::Lookup { token, volume: *volume, extent: *extent },
            Asked::Claim((volume, extent), shard, _) => {
                ToList::Claim { token, volume: *volume, extent: *extent, shard: *shard }
            }
            Asked::Shards(volume, _) => ToList::Shards { token, volume: *volume },
        })
    }

    /// Takes the question that this token belongs to; none if it was answered or given up.
    pub fn answered(&mut self, token: u64) -> Option<Asked> {
        let asked = self.asked.remove(&token)?;
        if let Asked::Lookup(extent, _) = &asked {
            self.lookups.remove(extent);
        }
        Some(asked)
    }

    /// Nobody waits any more for what `gone` says.
    pub fn give_up(&mut self, mut gone: impl FnMut(&mut Asked) -> bool) {
        let over: Vec<u64> =
            self.asked.iter_mut().filter_map(|(token, asked)| gone(asked).then_some(*token)).collect();
        over.into_iter().for_each(|token| _ = self.answered(token));
    }

    /// All open questions again, oldest first: asking twice does no harm, as a repeated claim names the same winner.
    pub fn again(&self) -> Vec<ToList> {
        let mut tokens: Vec<u64> = self.asked.keys().copied().collect();
        tokens.sort_unstable();
        tokens.into_iter().filter_map(|token| self.question(token)).collect()
    }

    pub fn waits(&self) -> bool {
        !self.asked.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_place_is_kept_within_the_bound_and_an_absent_one_never() {
        let mut places = Places::new(2);
        (0..3).for_each(|extent| places.learn((1, extent), 5));
        assert_eq!([0, 1, 2].map(|extent| places.shard((1, extent))), [None, Some(5), Some(5)]);
        assert!(places.look_up((1, 9), 7).is_some());
        assert!(places.look_up((1, 9), 8).is_none(), "one question an extent");
        assert_eq!(places.answered(1), Some(Asked::Lookup((1, 9), vec![7, 8])));
        assert!(places.look_up((1, 9), 9).is_some(), "asked anew");
        assert_eq!(places.again().len(), 1);
        places.give_up(|_| true);
        assert!(!places.waits() && places.answered(2).is_none());
    }
}

//! Where extents lie, as far as this gateway knows: what the directory said, and what it is being asked.
//!
//! A known place is kept, within a bound, and may be old: the epoch that goes with each dispatch makes the store say so. That
//! an extent has no place yet is true only for the moment: it is never kept, or a read through this gateway could miss
//! a first write through another.

use std::collections::{HashMap, VecDeque};

use umbertray_store_protocol::list::{Location, ToList};

/// A volume's lasting id and the extent's index.
pub(crate) type Extent = (u64, u64);

/// Who waits for an answer of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    /// Pieces of one extent, whose range has moved so often at least.
    Lookup(Extent, Vec<u32>, u64),
    /// The dispatch that is to be the extent's first.
    Claim(Extent, u32, u64),
    /// The piece that flushes this volume.
    Shards(u64, u32),
}

#[derive(Default)]
pub(crate) struct Places {
    known: HashMap<Extent, Location>,
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

    pub fn place(&self, extent: Extent) -> Option<Location> {
        self.known.get(&extent).copied()
    }

    /// An older word than one that was heard changes nothing.
    pub fn learn(&mut self, extent: Extent, place: Location) {
        match self.known.get_mut(&extent) {
            Some(known) if known.epoch > place.epoch => {}
            Some(known) => *known = place,
            None => {
                self.known.insert(extent, place);
                self.oldest.push_back(extent);
            }
        }
        while self.oldest.len() > self.most {
            if let Some(old) = self.oldest.pop_front() {
                self.known.remove(&old);
            }
        }
    }

    /// A store said that it does not hold the extent, or not any more: the map is to be asked again.
    pub fn doubt(&mut self, extent: Extent) {
        if self.known.remove(&extent).is_some() {
            self.oldest.retain(|known| *known != extent);
        }
    }

    /// Adds a piece to those that wait for an extent's place; a question, if none is out.
    pub fn look_up(&mut self, extent: Extent, piece: u32, least: u64) -> Option<ToList> {
        let open = self.lookups.get(&extent).and_then(|token| self.asked.get_mut(token));
        if let Some(Asked::Lookup(_, waiting, _)) = open {
            waiting.push(piece);
            return None;
        }
        let token = self.ask(Asked::Lookup(extent, vec![piece], least));
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
            Asked::Lookup((volume, extent), _, least) => {
                ToList::Lookup { token, volume: *volume, extent: *extent, min_epoch: *least }
            }
            Asked::Claim((volume, extent), shard, _) => {
                ToList::Claim { token, volume: *volume, extent: *extent, shard: *shard }
            }
            Asked::Shards(volume, _) => ToList::Shards { token, volume: *volume },
        })
    }

    /// Takes the question that this token belongs to; none if it was answered or given up.
    pub fn answered(&mut self, token: u64) -> Option<Asked> {
        let asked = self.asked.remove(&token)?;
        if let Asked::Lookup(extent, ..) = &asked {
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

    /// The pieces that flush and have not been told where.
    pub fn flushes(&self) -> Vec<u32> {
        let op = |asked: &Asked| if let Asked::Shards(_, op) = asked { Some(*op) } else { None };
        self.asked.values().filter_map(op).collect()
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
        let at = |epoch| Location { shard: 5, epoch };
        (0..3).for_each(|extent| places.learn((1, extent), at(1)));
        assert_eq!([0, 1, 2].map(|extent| places.place((1, extent))), [None, Some(at(1)), Some(at(1))]);
        places.learn((1, 2), at(0));
        assert_eq!(places.place((1, 2)), Some(at(1)), "an older word is not believed");
        assert!(places.look_up((1, 9), 7, 2).is_some());
        assert!(places.look_up((1, 9), 8, 0).is_none(), "one question an extent");
        assert_eq!(places.answered(1), Some(Asked::Lookup((1, 9), vec![7, 8], 2)));
        assert!(places.look_up((1, 9), 9, 0).is_some(), "asked anew");
        assert_eq!(places.again().len(), 1);
        places.give_up(|_| true);
        assert!(!places.waits() && places.answered(2).is_none());
    }
}

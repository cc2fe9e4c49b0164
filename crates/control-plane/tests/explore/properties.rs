//! What holds in every run.

use std::collections::{BTreeSet, HashSet};

use umbertray_control_plane::fence::EpochCheck;
use umbertray_store_protocol::list::Location;

use crate::search::print;
use crate::store::Store;
use crate::world::{Sent, Stage, World};
use crate::{EXTENT, LONGEST, VOLUME};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Property {
    OneServes,
    OldHomeIsSilent,
    AckedStays,
    TakesEffectOnce,
    OldOrderChangesNothing,
    ComesToAnEnd,
}

pub type Step<T> = Result<T, Property>;

pub fn holds(property: Property, holds: bool) -> Step<()> {
    if holds { Ok(()) } else { Err(property) }
}

/// At no time do two stores serve the extent at places that the map has had, or will have by a move under way: so at no
/// epoch, and not at an old and a new one side by side either.
pub fn one_serves(world: &World) -> Step<()> {
    let mut places = world.told.clone();
    for moving in world.core.state().moves.values() {
        places.insert(Location { shard: moving.target, epoch: moving.epoch });
        places.insert(Location { shard: moving.source, epoch: moving.back_epoch() });
    }
    let serving = (0..2).filter(|shard| world.stores[*shard as usize].serves(*shard, &places));
    holds(Property::OneServes, serving.count() <= 1)
}

/// Once the new home has applied a write, the old one answers no read and applies no write.
pub fn old_home_is_silent(at: Location, last_write: Option<Location>) -> Step<()> {
    let old = last_write.is_some_and(|last| last.shard != at.shard && last.epoch >= at.epoch);
    holds(Property::OldHomeIsSilent, !old)
}

/// A read that was sent after a write was acked returns it.
pub fn acked_stays(read: &[u64], due: &BTreeSet<u64>) -> Step<()> {
    holds(Property::AckedStays, due.iter().all(|id| read.contains(id)))
}

/// No write takes effect twice, wherever it is sent again.
pub fn takes_effect_once(data: &[u64]) -> Step<()> {
    let distinct: BTreeSet<&u64> = data.iter().collect();
    holds(Property::TakesEffectOnce, distinct.len() == data.len())
}

/// An order of a lower term, or of an older move, changes nothing.
pub fn old_order_changes_nothing(sent: &Sent, heard: (u64, u64), before: &Store, after: &Store) -> Step<()> {
    let old = sent.term < heard.0 || sent.number < heard.1;
    holds(Property::OldOrderChangesNothing, !old || before == after)
}

/// With all messages delivered and no crash from now on, the move ends, one store serves, where the map says, with all
/// that was acked, and every op is answered. What leads to a state that is known to end does so too.
pub fn comes_to_an_end(world: &World, known: &mut HashSet<u64>) -> Step<()> {
    let (mut world, mut way) = (world.clone(), Vec::new());
    for _ in 0..LONGEST {
        let print = print(&world);
        if known.contains(&print) {
            known.extend(way);
            return Ok(());
        }
        way.push(print);
        let Some(event) = world.fair() else {
            known.extend(way);
            return holds(Property::ComesToAnEnd, ended(&world));
        };
        // Any other property is broken by the same events in the search, and shown with all of them.
        if world.step(&event).is_err() {
            return Ok(());
        }
    }
    Err(Property::ComesToAnEnd)
}

pub fn ended(world: &World) -> bool {
    let Some(home) = world.core.state().map.location(VOLUME, EXTENT) else { return false };
    let serves = |shard: u32| world.stores[shard as usize].serves(shard, &world.told);
    let data = &world.stores[home.shard as usize].data;
    world.core.state().moves.is_empty()
        && world.stores[home.shard as usize].look(home.epoch) == EpochCheck::Current
        && !serves(1 - home.shard)
        && world.ops.iter().all(|op| op.stage == Stage::Done)
        && [&world.acked, &world.due].iter().all(|due| acked_stays(data, due).is_ok())
}

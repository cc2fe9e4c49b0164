//! Properties of every run.

use std::collections::{BTreeSet, HashSet};

use umbertray_control_plane::fence::EpochCheck;
use umbertray_store_protocol::list::Location;

use crate::search::fingerprint;
use crate::store::Store;
use crate::world::{Sent, Stage, World};
use crate::{EXTENT, LONGEST, VOLUME};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Property {
    AtMostOneServes,
    FormerSourceServesNothing,
    AckedWritesStay,
    WritesApplyOnce,
    OldOrderChangesNothing,
    Terminates,
}

pub(crate) type Step<T> = Result<T, Property>;

pub(crate) fn holds(property: Property, holds: bool) -> Step<()> {
    if holds { Ok(()) } else { Err(property) }
}

/// Two stores never serve the extent at locations that the map has had, or will have by a move under way: not at one
/// epoch, and not at an old and a new one either.
pub(crate) fn at_most_one_serves(world: &World) -> Step<()> {
    let mut known_by_gateway = world.known_locations.clone();
    for moving in world.core.state().moves.values() {
        known_by_gateway.insert(Location { shard: moving.target, epoch: moving.epoch });
        known_by_gateway.insert(Location { shard: moving.source, epoch: moving.rollback_epoch() });
    }
    let serving = (0..2).filter(|shard| world.stores[*shard as usize].serves(*shard, &known_by_gateway));
    holds(Property::AtMostOneServes, serving.count() <= 1)
}

/// Once the target has applied a write, the source answers no read and applies no write.
pub(crate) fn former_source_serves_nothing(at: Location, last_write: Option<Location>) -> Step<()> {
    let old = last_write.is_some_and(|last| last.shard != at.shard && last.epoch >= at.epoch);
    holds(Property::FormerSourceServesNothing, !old)
}

/// A read that was sent after a write was acknowledged returns it.
pub(crate) fn acked_writes_stay(read: &[u64], due: &BTreeSet<u64>) -> Step<()> {
    holds(Property::AckedWritesStay, due.iter().all(|id| read.contains(id)))
}

/// No write takes effect twice, wherever it is sent again.
pub(crate) fn writes_apply_once(data: &[u64]) -> Step<()> {
    let distinct: BTreeSet<&u64> = data.iter().collect();
    holds(Property::WritesApplyOnce, distinct.len() == data.len())
}

/// An order of a lower term, or of an older move, changes nothing.
pub(crate) fn old_order_changes_nothing(
    sent: &Sent,
    heard: (u64, u64),
    before: &Store,
    after: &Store,
) -> Step<()> {
    let old = sent.term < heard.0 || sent.number < heard.1;
    holds(Property::OldOrderChangesNothing, !old || before == after)
}

/// With all messages delivered and no crash from now on, the move ends, the store that the map says serves with all
/// acknowledged writes, and every op is answered. A state that leads to one known to terminate does so too.
pub(crate) fn terminates(world: &World, known: &mut HashSet<u64>) -> Step<()> {
    let (mut world, mut path) = (world.clone(), Vec::new());
    for _ in 0..LONGEST {
        let fingerprint = fingerprint(&world);
        if known.contains(&fingerprint) {
            known.extend(path);
            return Ok(());
        }
        path.push(fingerprint);
        let Some(event) = world.next_without_faults() else {
            known.extend(path);
            return holds(Property::Terminates, ended(&world));
        };
        // Any other property is violated by the same events in the search, and reported there.
        if world.step(&event).is_err() {
            return Ok(());
        }
    }
    Err(Property::Terminates)
}

pub(crate) fn ended(world: &World) -> bool {
    let Some(home) = world.core.state().map.location(VOLUME, EXTENT) else { return false };
    let serves = |shard: u32| world.stores[shard as usize].serves(shard, &world.known_locations);
    let data = &world.stores[home.shard as usize].data;
    world.core.state().moves.is_empty()
        && world.stores[home.shard as usize].check_epoch(home.epoch) == EpochCheck::Current
        && !serves(1 - home.shard)
        && world.ops.iter().all(|op| op.stage == Stage::Done)
        && [&world.acked, &world.due].iter().all(|due| acked_writes_stay(data, due).is_ok())
}

//! The properties that every run has to satisfy.

use std::collections::{BTreeSet, HashSet};

use umbertray_control_plane::fence::EpochCheck;
use umbertray_store_protocol::list::Location;

use crate::search::fingerprint;
use crate::store::Store;
use crate::world::{SentOrder, Stage, World};
use crate::{EXTENT, MAX_STEPS, VOLUME};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Property {
    AtMostOneServes,
    FormerSourceServesNothing,
    AckedWritesStay,
    WritesApplyOnce,
    OldOrderChangesNothing,
    Terminates,
}

pub(crate) type Checked<T> = Result<T, Property>;

pub(crate) fn holds(property: Property, holds: bool) -> Checked<()> {
    if holds { Ok(()) } else { Err(property) }
}

/// At most one store serves the extent, over all locations that the map has had or will have through a
/// running move. Two stores must not serve it at the same epoch, nor one at an old and the other at a new
/// epoch.
pub(crate) fn at_most_one_serves(world: &World) -> Checked<()> {
    let mut locations = world.known_locations.clone();
    for moving in world.core.state().moves.values() {
        locations.insert(Location { shard: moving.target, epoch: moving.epoch });
        locations.insert(Location { shard: moving.source, epoch: moving.rollback_epoch() });
    }
    let serving = (0..2).filter(|shard| world.stores[*shard as usize].serves(*shard, &locations));
    holds(Property::AtMostOneServes, serving.count() <= 1)
}

/// Once the target has applied a write, the source neither answers a read nor applies a write.
pub(crate) fn former_source_serves_nothing(at: Location, last_write: Option<Location>) -> Checked<()> {
    let is_outdated = last_write.is_some_and(|last| last.shard != at.shard && last.epoch >= at.epoch);
    holds(Property::FormerSourceServesNothing, !is_outdated)
}

/// A read that is sent after a write was acknowledged returns that write.
pub(crate) fn acked_writes_stay(read: &[u64], expected: &BTreeSet<u64>) -> Checked<()> {
    holds(Property::AckedWritesStay, expected.iter().all(|id| read.contains(id)))
}

/// No write is applied twice, whichever store it is sent to again.
pub(crate) fn writes_apply_once(data: &[u64]) -> Checked<()> {
    let distinct: BTreeSet<&u64> = data.iter().collect();
    holds(Property::WritesApplyOnce, distinct.len() == data.len())
}

/// An order of a lower term, or of an older move, does not change the store. `newest` is the highest term and
/// move number that the store has received.
pub(crate) fn old_order_changes_nothing(
    sent: &SentOrder,
    newest: (u64, u64),
    before: &Store,
    after: &Store,
) -> Checked<()> {
    let is_outdated = sent.term < newest.0 || sent.number < newest.1;
    holds(Property::OldOrderChangesNothing, !is_outdated || before == after)
}

/// If all messages are delivered and no process crashes from now on, the move finishes, the store that the
/// map names serves the extent with all acknowledged writes, and every op is answered. A state that leads to
/// a state in `terminating` also terminates.
pub(crate) fn terminates(world: &World, terminating: &mut HashSet<u64>) -> Checked<()> {
    let (mut world, mut path) = (world.clone(), Vec::new());
    for _ in 0..MAX_STEPS {
        let fingerprint = fingerprint(&world);
        if terminating.contains(&fingerprint) {
            terminating.extend(path);
            return Ok(());
        }
        path.push(fingerprint);
        let Some(event) = world.next_without_faults() else {
            terminating.extend(path);
            return holds(Property::Terminates, has_terminated(&world));
        };
        // The search reaches the same violation of another property by the same events, and reports it.
        if world.step(&event).is_err() {
            return Ok(());
        }
    }
    Err(Property::Terminates)
}

pub(crate) fn has_terminated(world: &World) -> bool {
    let Some(location) = world.core.state().map.location(VOLUME, EXTENT) else { return false };
    let serves = |shard: u32| world.stores[shard as usize].serves(shard, &world.known_locations);
    let data = &world.stores[location.shard as usize].data;
    world.core.state().moves.is_empty()
        && world.stores[location.shard as usize].check_epoch(location.epoch) == EpochCheck::Current
        && !serves(1 - location.shard)
        && world.ops.iter().all(|op| op.stage == Stage::Done)
        && [&world.acked, &world.acked_before_read]
            .iter()
            .all(|expected| acked_writes_stay(data, expected).is_ok())
}

//! Which events can come next.

use umbertray_control_plane::fence::EpochCheck;
use umbertray_store_protocol::list::Location;

use super::{CoordinatorEvent, Event, Op, Stage, World};

impl World {
    /// What can come next, but for crashes within the coordinator's step.
    pub(crate) fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        self.coordinator_events(&mut events);
        self.op_events(&mut events);
        events.extend((0..self.late.len()).map(Event::Late));
        if self.faults.double {
            events.extend((0..self.former.len()).map(Event::Former));
        }
        if self.faults.store {
            let queued =
                |shard| move |op: &Op| matches!(op.stage, Stage::Queued(place) if place.shard == shard);
            events.extend((0..2).filter(|shard| self.ops.iter().any(queued(*shard))).map(Event::StoreCrash));
        }
        events
    }

    pub(crate) fn coordinator_events(&self, events: &mut Vec<Event>) {
        let hears = |heard| Event::Coordinator(heard, None);
        events.extend((0..self.replies.len()).map(CoordinatorEvent::Reply).map(hears));
        events.extend(self.wake.then_some(hears(CoordinatorEvent::TimerExpired)));
        if self.order.is_some() {
            events.push(Event::Order { doubled: false });
            events.extend(self.faults.double.then_some(Event::Order { doubled: true }));
            events.extend(self.faults.loss.then_some(hears(CoordinatorEvent::OrderLost)));
        }
        if self.faults.loss {
            events.extend((0..self.replies.len()).map(CoordinatorEvent::ReplyLost).map(hears));
        }
        let moving = |number| self.core.state().moves.get(number);
        let can_give_up = moving(&self.core.state().last_move_number)
            .is_some_and(|moving| moving.abandoned_phase().is_some());
        events.extend((self.faults.abandon && can_give_up).then_some(hears(CoordinatorEvent::Abandon)));
        events.extend(self.faults.coordinator.then_some(Event::CoordinatorCrash));
    }

    pub(crate) fn op_events(&self, events: &mut Vec<Event>) {
        let early = |place: Location| {
            self.stores[place.shard as usize].check_epoch(place.epoch) == EpochCheck::NotActiveYet
        };
        for (op, Op { stage, .. }) in self.ops.iter().enumerate() {
            match *stage {
                Stage::Net(_) => {
                    events.push(Event::Run { op, doubled: false });
                    events
                        .extend((self.faults.double && op == 0).then_some(Event::Run { op, doubled: true }));
                }
                Stage::Queued(place) if !early(place) => events.push(Event::Run { op, doubled: false }),
                Stage::Answered { stale: Some(_) } => {
                    events.push(Event::Coordinator(CoordinatorEvent::Lookup(op), None));
                }
                Stage::Answered { stale: None } => events.push(Event::Acked(op)),
                Stage::Unsent if !self.acked.is_empty() => {
                    events.extend([0, 1].map(|gateway| Event::Read { gateway }));
                }
                _ => {}
            }
        }
        // A delayed op is a duplicated one; its repeat is one that arrives first.
        let waits = matches!(self.ops[0].stage, Stage::Queued(_) | Stage::Answered { stale: None });
        events.extend((self.faults.loss && waits).then_some(Event::TimedOut(0)));
        let waits = |at: &usize| early(self.stray_ops[*at].1);
        events.extend((0..self.stray_ops.len()).filter(|at| !waits(at)).map(Event::Stray));
    }

    /// The next event if all messages arrive and nothing crashes from now on.
    pub(crate) fn next_without_faults(&self) -> Option<Event> {
        if self.order.is_some() {
            return Some(Event::Order { doubled: false });
        }
        let next_without_faults = |event: &Event| {
            let heard = |heard: &CoordinatorEvent| {
                matches!(
                    heard,
                    CoordinatorEvent::Reply(_) | CoordinatorEvent::TimerExpired | CoordinatorEvent::Lookup(_)
                )
            };
            match event {
                Event::Coordinator(what, _) => heard(what),
                Event::Run { doubled, .. } => !doubled,
                Event::Acked(_) | Event::Read { .. } => true,
                _ => false,
            }
        };
        self.events().into_iter().find(next_without_faults)
    }
}

//! The events that can occur next in a world.

use umbertray_control_plane::fence::EpochCheck;
use umbertray_store_protocol::list::Location;

use super::{CoordinatorEvent, Event, Op, Stage, World};

impl World {
    /// All events that can occur next, except crashes in the middle of a step of the coordinator.
    pub(crate) fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        self.coordinator_events(&mut events);
        self.op_events(&mut events);
        events.extend((0..self.late_orders.len()).map(Event::DeliverLateOrder));
        if self.faults.duplication {
            events.extend((0..self.former_orders.len()).map(Event::DeliverFormerOrder));
        }
        if self.faults.store {
            let has_queued_op =
                |shard| move |op: &Op| matches!(op.stage, Stage::Queued(location) if location.shard == shard);
            events.extend(
                (0..2).filter(|shard| self.ops.iter().any(has_queued_op(*shard))).map(Event::StoreCrash),
            );
        }
        events
    }

    pub(crate) fn coordinator_events(&self, events: &mut Vec<Event>) {
        let to_coordinator = |event| Event::Coordinator(event, None);
        events.extend((0..self.replies.len()).map(CoordinatorEvent::Reply).map(to_coordinator));
        events.extend(self.is_timer_set.then_some(to_coordinator(CoordinatorEvent::TimerExpired)));
        if self.order.is_some() {
            events.push(Event::DeliverOrder { duplicated: false });
            events.extend(self.faults.duplication.then_some(Event::DeliverOrder { duplicated: true }));
            events.extend(self.faults.loss.then_some(to_coordinator(CoordinatorEvent::OrderLost)));
        }
        if self.faults.loss {
            events.extend((0..self.replies.len()).map(CoordinatorEvent::ReplyLost).map(to_coordinator));
        }
        let moving = |number| self.core.state().moves.get(number);
        let can_abandon = moving(&self.core.state().last_move_number)
            .is_some_and(|moving| moving.abandoned_phase().is_some());
        events.extend(
            (self.faults.abandon && can_abandon).then_some(to_coordinator(CoordinatorEvent::Abandon)),
        );
        events.extend(self.faults.coordinator.then_some(Event::CoordinatorCrash));
    }

    pub(crate) fn op_events(&self, events: &mut Vec<Event>) {
        let is_early = |location: Location| {
            self.stores[location.shard as usize].check_epoch(location.epoch) == EpochCheck::NotActiveYet
        };
        for (op, Op { stage, .. }) in self.ops.iter().enumerate() {
            match *stage {
                Stage::InTransit(_) => {
                    events.push(Event::RunOp { op, duplicated: false });
                    events.extend(
                        (self.faults.duplication && op == 0).then_some(Event::RunOp { op, duplicated: true }),
                    );
                }
                Stage::Queued(location) if !is_early(location) => {
                    events.push(Event::RunOp { op, duplicated: false });
                }
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
        // A delayed op is modelled as a duplicated one: the gateway's repetition arrives before the delayed
        // copy.
        let waits = matches!(self.ops[0].stage, Stage::Queued(_) | Stage::Answered { stale: None });
        events.extend((self.faults.loss && waits).then_some(Event::TimedOut(0)));
        let waits = |at: &usize| is_early(self.late_ops[*at].1);
        events.extend((0..self.late_ops.len()).filter(|at| !waits(at)).map(Event::RunLateOp));
    }

    /// The next event if all messages are delivered and no process crashes from now on.
    pub(crate) fn next_without_faults(&self) -> Option<Event> {
        if self.order.is_some() {
            return Some(Event::DeliverOrder { duplicated: false });
        }
        let is_without_fault = |event: &Event| {
            let is_coordinator_event_without_fault = |event: &CoordinatorEvent| {
                matches!(
                    event,
                    CoordinatorEvent::Reply(_) | CoordinatorEvent::TimerExpired | CoordinatorEvent::Lookup(_)
                )
            };
            match event {
                Event::Coordinator(event, _) => is_coordinator_event_without_fault(event),
                Event::RunOp { duplicated, .. } => !duplicated,
                Event::Acked(_) | Event::Read { .. } => true,
                _ => false,
            }
        };
        self.events().into_iter().find(is_without_fault)
    }
}

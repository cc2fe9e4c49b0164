//! Running moves: each sends one order at a time, and repeats it until the store answers.
//!
//! Invariant: a shard takes part in one running move at a time; other moves of that shard wait.

use std::collections::BTreeSet;
use std::time::Duration;

use umbertray_store_protocol::orders::OrderReply;

use super::{Coordinator, Output};
use crate::moves::Phase;
use crate::state::Record;

/// Delay before an order without a usable reply is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What a running move waits for.
#[derive(Clone, Hash)]
pub(super) enum MoveWait {
    /// The reply to the order with this token.
    Reply { token: u64 },
    /// The time at which its order is sent again.
    Retry { at: Duration },
}

impl Coordinator {
    /// Logs that a move enters a phase; the orders of the phase are sent afterwards. A late reply to an order
    /// of the previous phase is ignored.
    pub(super) fn enter_phase(&mut self, number: u64, phase: Phase) {
        self.log(Record::Entered { number, phase });
        self.running.remove(&number);
    }

    pub(super) fn on_order_finished(&mut self, token: u64, reply: Option<OrderReply>) {
        let Some(number) = self.move_waiting_for(token) else { return };
        match reply {
            Some(OrderReply::StaleTerm(term)) if term > self.state.term => {
                self.superseded = true;
                self.outputs.push(Output::Superseded { term });
            }
            // Hazard: an order that may not have arrived must not be treated as done. Otherwise a target
            // would be activated while its source still serves.
            None | Some(OrderReply::StaleTerm(_)) => self.retry_later(number),
            Some(reply) => self.on_order_reply(number, reply),
        }
    }

    fn move_waiting_for(&self, token: u64) -> Option<u64> {
        let is_waiting = |wait: &MoveWait| matches!(wait, MoveWait::Reply { token: sent } if *sent == token);
        self.running.iter().find(|(_, wait)| is_waiting(wait)).map(|(number, _)| *number)
    }

    fn on_order_reply(&mut self, number: u64, reply: OrderReply) {
        let is_wrong_state = reply == OrderReply::WrongState;
        let Some(moving) = self.state.moves.get_mut(&number) else { return };
        match moving.on_reply(reply) {
            Some(phase) => self.enter_phase(number, phase),
            None if is_wrong_state => self.retry_later(number),
            None => self.send_order(number),
        }
    }

    fn retry_later(&mut self, number: u64) {
        let at = self.now + ORDER_RETRY_INTERVAL;
        self.running.insert(number, MoveWait::Retry { at });
    }

    /// When the next order is due to be sent again; `None` if no move waits for a retry.
    pub(super) fn next_retry_at(&self) -> Option<Duration> {
        let retries = self.running.values().filter_map(|wait| match wait {
            MoveWait::Retry { at } => Some(*at),
            MoveWait::Reply { .. } => None,
        });
        retries.min()
    }

    /// Repeats the orders whose retry is due, and starts the moves whose shards are free.
    pub(super) fn run_moves(&mut self) {
        for number in self.due_retries() {
            self.send_order(number);
        }
        for number in self.startable_moves() {
            self.send_order(number);
        }
    }

    fn due_retries(&self) -> Vec<u64> {
        let is_due = |wait: &MoveWait| matches!(wait, MoveWait::Retry { at } if *at <= self.now);
        self.running.iter().filter(|(_, wait)| is_due(wait)).map(|(number, _)| *number).collect()
    }

    fn startable_moves(&self) -> Vec<u64> {
        let moves = &self.state.moves;
        let running = self.running.keys().filter_map(|number| moves.get(number));
        let mut busy: BTreeSet<u32> = running.flat_map(|moving| [moving.source, moving.target]).collect();
        let mut startable = Vec::new();
        for (number, moving) in moves.iter().filter(|(number, _)| !self.running.contains_key(number)) {
            let shards = [moving.source, moving.target];
            if shards.iter().all(|shard| !busy.contains(shard)) {
                busy.extend(shards);
                startable.push(*number);
            }
        }
        startable
    }

    fn send_order(&mut self, number: u64) {
        let addressed = self.state.moves.get(&number).and_then(|moving| moving.order());
        let Some(addressed) = addressed else { return };
        self.last_token += 1;
        let token = self.last_token;
        self.running.insert(number, MoveWait::Reply { token });
        self.outputs.push(Output::Order {
            token,
            shard: addressed.shard,
            term: self.state.term,
            number,
            order: addressed.order,
        });
    }
}

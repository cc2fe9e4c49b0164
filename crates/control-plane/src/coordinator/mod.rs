//! The coordinator's core: answers requests of gateways and operators, and carries out moves.

mod interface;
mod requests;
mod running_moves;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use umbertray_store_protocol::list::FromList;

pub use self::interface::{ConnectionId, Input, Output};
use self::requests::DeferredLookup;
use self::running_moves::MoveWait;
use crate::state::{CoordinatorState, Record};

/// One run of the coordinator, as a state machine without I/O and clock.
///
/// Invariant: the state is changed only by logged records, and [`Output::Log`] precedes every output that
/// depends on it.
#[derive(Clone, Default, Hash)]
pub struct Coordinator {
    state: CoordinatorState,
    now: Duration,
    deferred_lookups: Vec<DeferredLookup>,
    /// Shards that have a store.
    shards: BTreeSet<u32>,
    /// Moves that have sent an order, by number. The other moves wait until no running move uses their
    /// shards.
    running: BTreeMap<u64, MoveWait>,
    last_token: u64,
    /// Records of this step, which are returned before the other outputs.
    records: Vec<Record>,
    /// Other outputs of this step.
    outputs: Vec<Output>,
    superseded: bool,
}

impl Coordinator {
    /// Starts a new run from the state that earlier runs left. The output that logs its term precedes all
    /// others.
    pub fn start(state: CoordinatorState) -> (Coordinator, Vec<Output>) {
        let mut coordinator = Coordinator { state, ..Coordinator::default() };
        let term = coordinator.state.term + 1;
        coordinator.log(Record::Term(term));
        let outputs = coordinator.take_outputs();
        (coordinator, outputs)
    }

    /// The durable state.
    pub fn state(&self) -> &CoordinatorState {
        &self.state
    }

    /// Handles all inputs as one step. `now` is the time since any fixed point; if it is earlier than in a
    /// previous call, the previous time is used.
    pub fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        self.now = now.max(self.now);
        if self.superseded {
            return Vec::new();
        }
        for input in inputs {
            self.on_input(input);
        }
        self.run_moves();
        if !self.records.is_empty() {
            self.answer_deferred_lookups();
        }
        self.take_outputs()
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Request { connection, message } => self.on_request(connection, &message),
            Input::Closed(connection) => {
                self.deferred_lookups.retain(|lookup| lookup.connection != connection);
            }
            Input::Shards(shards) => self.shards = shards,
            Input::OrderFinished { token, reply } => self.on_order_finished(token, reply),
            Input::TimerExpired => {}
        }
    }

    fn take_outputs(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        if !self.records.is_empty() {
            outputs.push(Output::Log(std::mem::take(&mut self.records)));
        }
        outputs.append(&mut self.outputs);
        outputs.extend(self.next_retry_at().map(Output::SetTimer));
        outputs
    }

    fn log(&mut self, record: Record) {
        self.state.apply(&record);
        self.records.push(record);
    }

    fn send(&mut self, connection: ConnectionId, message: FromList) {
        self.outputs.push(Output::Send { connection, message });
    }
}

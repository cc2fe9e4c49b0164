//! Exhaustive search over all orders of events at the end of a client connection: the real
//! [`ConnectionState`], with models of the client, the network, the event loop and the process. The input is
//! limited, so the state space is finite and searched completely.
//!
//! At any moment the client may send complete or partial requests, also several in a row, close or reset its
//! connection, or read late. At any moment capacity may be demanded, the gateway may close, the process may
//! exit, and any timeout may expire.

use std::collections::{HashSet, VecDeque};

use umbertray_http::connection::{
    CloseDemand, ConnectionState, Event, NextStep, Obligation, ResponseKind, State,
};

/// Faults injected by this test, each of which the search has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum InjectedBug {
    None,
    ClosesWhileAwaitingResponse,
    ForwardsAfterShutdown,
    ExitsDuringLingeringClose,
    DisconnectNotReported,
    ClosesWithoutLingering,
    ClosesPartialRequestUnanswered,
    DropsReadAheadRequest,
    KeepsCapacityDemandAfterRequest,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Property {
    /// A complete request that was read before sending was shut down gets a complete response, unless its
    /// client has closed the connection.
    RequestAnswered,
    /// Nothing read after sending was shut down is forwarded.
    NothingForwardedAfterShutdown,
    /// If the client of an open operation closes its connection, this is reported immediately, and only once.
    DisconnectReported,
    /// A response is not destroyed by closing over unread bytes, unless its time has expired or capacity is
    /// demanded.
    ResponseNotReset,
    /// A client that sent part of a request gets a response before its connection ends.
    PartialRequestAnswered,
    /// The process exits before its deadline only if no response is pending and no client still has to read
    /// one.
    ExitsWithoutPendingResponses,
    /// Once the process is exiting, an idle client cannot keep a connection open.
    Terminates,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Sent {
    Complete,
    Partial,
    Remainder,
    Fin,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Send(Sent),
    /// The client resets the connection; bytes that the gateway has not read are lost.
    Reset,
    /// The client reads what was written.
    ResponseRead,
    Phase(CloseDemand),
    CapacityDemanded,
    /// The gateway reads the next item sent.
    Read,
    /// The current step of the gateway ends with this event.
    Report(Event),
    Close,
    /// The process exits because it knows of no pending obligation.
    ProcessExits,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Model {
    bug: InjectedBug,
    /// Whether the client's requests keep the connection open for further requests; `is_op` says whether they
    /// are operations.
    persists: bool,
    is_op: bool,
    connection: ConnectionState,
    next_step: NextStep,
    requests_left: u8,
    partial_sent: bool,
    /// Sent by the client and not read by the gateway.
    unread: VecDeque<Sent>,
    client_closed: bool,
    reset: bool,
    /// Complete requests read by the gateway and not processed yet; `partial_read` says whether a partial one
    /// follows.
    read_ahead: u8,
    partial_read: bool,
    /// Whether an error or the end of the connection was announced to the client after the partial request
    /// was read.
    close_announced: bool,
    /// Complete requests read before sending was shut down and not answered.
    pending_responses: u8,
    forwarded: bool,
    op_open: bool,
    /// A response was written that the client has not read.
    response_unread: bool,
    /// The client did not read a response in time.
    client_not_reading: bool,
    /// The client's time to read its last response has expired, or was cut short for capacity.
    linger_expired: bool,
    sending_shut_down: bool,
    closed: bool,
    phase: CloseDemand,
    capacity_demanded: bool,
    /// Whether capacity was demanded since the last request.
    demanded_since_request: bool,
}

type PropertyResult = Result<(), Property>;

impl Model {
    fn new(bug: InjectedBug, rejecting: bool, persists: bool, is_op: bool) -> Model {
        Model {
            bug,
            persists,
            is_op,
            connection: ConnectionState::new(rejecting),
            next_step: NextStep::Read,
            requests_left: 2,
            partial_sent: false,
            unread: VecDeque::new(),
            client_closed: false,
            reset: false,
            read_ahead: 0,
            partial_read: false,
            close_announced: false,
            pending_responses: 0,
            forwarded: false,
            op_open: false,
            response_unread: false,
            client_not_reading: false,
            linger_expired: false,
            sending_shut_down: false,
            closed: false,
            phase: CloseDemand::None,
            capacity_demanded: false,
            demanded_since_request: false,
        }
    }

    fn demand(&self) -> CloseDemand {
        if self.capacity_demanded { CloseDemand::ForCapacity } else { self.phase }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.closed {
            return steps;
        }
        self.client_steps(&mut steps);
        if !self.capacity_demanded && self.connection.obligation() != Obligation::Response {
            steps.push(Step::CapacityDemanded);
        }
        steps.extend(match self.phase {
            CloseDemand::None => Some(Step::Phase(CloseDemand::Graceful)),
            CloseDemand::Graceful => Some(Step::Phase(CloseDemand::Immediate)),
            _ => None,
        });
        // The process waits for all connections to close. With this injected bug it only waits for responses.
        if self.bug == InjectedBug::ExitsDuringLingeringClose
            && self.phase == CloseDemand::Immediate
            && self.connection.obligation() == Obligation::LingeringClose
        {
            steps.push(Step::ProcessExits);
        }
        self.gateway_steps(&mut steps);
        steps
    }

    fn client_steps(&self, steps: &mut Vec<Step>) {
        if self.client_closed {
            return;
        }
        if self.partial_sent {
            steps.push(Step::Send(Sent::Remainder));
        } else if self.requests_left > 0 {
            steps.extend([Sent::Complete, Sent::Partial].map(Step::Send));
        }
        steps.extend([Step::Send(Sent::Fin), Step::Reset]);
        steps.extend(self.response_unread.then_some(Step::ResponseRead));
    }

    fn can_read(&self) -> bool {
        self.reset || !self.unread.is_empty()
    }

    fn gateway_steps(&self, steps: &mut Vec<Step>) {
        let demand_event =
            (self.demand() > self.connection.demand()).then_some(Step::Report(Event::DemandChanged));
        let request_event = match (self.read_ahead, self.partial_read, self.connection.state()) {
            (1.., _, _) => Some(Event::RequestRead { is_op: self.is_op, persists: self.persists }),
            (0, true, State::AwaitingFirstRequest | State::Idle) => Some(Event::PartialRead),
            _ => None,
        };
        match self.next_step {
            // Requests that were read ahead are processed first.
            NextStep::Read if request_event.is_some() => steps.extend(request_event.map(Step::Report)),
            NextStep::Read if self.can_read() => {
                steps.push(Step::Read);
                steps.extend(demand_event);
            }
            NextStep::Read => {
                steps.push(Step::Report(Event::TimedOut));
                steps.extend(demand_event);
            }
            NextStep::ReadAvailable if self.can_read() => steps.push(Step::Read),
            NextStep::ReadAvailable => steps.push(Step::Report(Event::NothingRead)),
            NextStep::AwaitResponse => {
                let has_next_request = self.read_ahead > 0;
                steps.extend(
                    [Event::ResponseReady { has_next_request }, Event::RequestInvalid].map(Step::Report),
                );
                steps.extend(self.can_read().then_some(Step::Read));
                if self.bug == InjectedBug::ClosesWhileAwaitingResponse {
                    steps.extend(demand_event);
                }
            }
            NextStep::Write { .. } => {
                steps.extend((!self.reset).then_some(Step::Report(Event::Written)));
                steps.push(Step::Report(Event::WriteFailed));
            }
            NextStep::LingeringClose if self.can_read() => {
                steps.extend([Step::Read, Step::Report(Event::TimedOut)]);
            }
            NextStep::LingeringClose => {
                steps.push(Step::Report(Event::TimedOut));
                steps.extend(
                    (self.demand() == CloseDemand::ForCapacity).then_some(Step::Report(Event::DemandChanged)),
                );
                steps.extend(demand_event);
            }
            NextStep::CancelRequest | NextStep::Close => steps.push(Step::Close),
        }
    }

    fn step(&mut self, step: Step) -> PropertyResult {
        match step {
            Step::Send(sent) => {
                self.requests_left -= u8::from(matches!(sent, Sent::Complete | Sent::Partial));
                self.partial_sent = sent == Sent::Partial;
                self.client_closed |= sent == Sent::Fin;
                self.unread.push_back(sent);
            }
            Step::Reset => {
                (self.client_closed, self.reset) = (true, true);
                self.unread.clear();
            }
            Step::ResponseRead => self.response_unread = false,
            Step::Phase(demand) => self.phase = demand,
            Step::CapacityDemanded => (self.capacity_demanded, self.demanded_since_request) = (true, true),
            Step::Read => return self.read(),
            Step::Report(event) => return self.report(event),
            Step::Close => return self.close(),
            Step::ProcessExits => {
                let has_pending = !self.client_closed && (self.response_unread || self.pending_responses > 0);
                self.closed = true;
                return if has_pending { Err(Property::ExitsWithoutPendingResponses) } else { Ok(()) };
            }
        }
        Ok(())
    }

    fn read(&mut self) -> PropertyResult {
        let sent = if self.reset { Sent::Fin } else { self.unread.pop_front().expect("an unread item") };
        if self.sending_shut_down && sent != Sent::Fin {
            if self.bug == InjectedBug::ForwardsAfterShutdown && sent != Sent::Partial {
                self.next_step = NextStep::AwaitResponse;
                return self.forward();
            }
            return Ok(());
        }
        match sent {
            Sent::Fin => return self.report(Event::PeerClosed),
            Sent::Partial => (self.partial_read, self.close_announced) = (true, false),
            Sent::Complete | Sent::Remainder => {
                self.partial_read &= sent != Sent::Remainder;
                self.read_ahead += 1;
                self.pending_responses += 1;
            }
        }
        match (self.next_step, self.read_ahead) {
            (NextStep::AwaitResponse, _) => Ok(()),
            (_, 0) => self.report(Event::PartialRead),
            _ => self.report(Event::RequestRead { is_op: self.is_op, persists: self.persists }),
        }
    }

    fn forward(&mut self) -> PropertyResult {
        if self.sending_shut_down {
            return Err(Property::NothingForwardedAfterShutdown);
        }
        (self.forwarded, self.op_open) = (true, self.is_op);
        Ok(())
    }

    fn report(&mut self, event: Event) -> PropertyResult {
        let (previous_step, state) = (self.next_step, self.connection.state());
        self.connection.raise_demand(self.demand());
        if matches!(event, Event::RequestRead { .. }) {
            self.read_ahead -= 1;
        }
        if let (NextStep::Write { response, is_last }, Event::Written) = (previous_step, event) {
            self.written(response, is_last);
        }
        self.client_not_reading |= event == Event::WriteFailed;
        self.linger_expired |=
            state == State::LingeringClose && (event == Event::TimedOut || self.demanded_since_request);
        if matches!(event, Event::ResponseReady { .. } | Event::RequestInvalid) {
            self.op_open = false;
        }
        self.demanded_since_request &= !matches!(event, Event::RequestRead { .. });
        let was_open = self.op_open;
        self.next_step = self.next_step_with_bug(state, event);
        self.capacity_demanded = self.connection.demand() == CloseDemand::ForCapacity;
        if event == Event::PeerClosed && was_open && self.next_step != NextStep::CancelRequest {
            return Err(Property::DisconnectReported);
        }
        match self.next_step {
            NextStep::LingeringClose => self.sending_shut_down = true,
            NextStep::AwaitResponse if previous_step != NextStep::AwaitResponse => return self.forward(),
            _ => {}
        }
        Ok(())
    }

    fn written(&mut self, response: ResponseKind, is_last: bool) {
        self.response_unread = !self.client_closed;
        self.close_announced |= is_last;
        match response {
            ResponseKind::RequestTimeout => {}
            _ => self.pending_responses = self.pending_responses.saturating_sub(1),
        }
        if is_last && (!self.persists || response != ResponseKind::Final) {
            // The client has announced that it sends no more, or the bytes after an invalid request are no
            // request.
            self.pending_responses = 0;
        }
    }

    fn next_step_with_bug(&mut self, state: State, event: Event) -> NextStep {
        let before = self.connection.clone();
        let next_step = self.connection.on_event(event);
        match (self.bug, state, next_step) {
            (InjectedBug::ClosesWhileAwaitingResponse, State::AwaitingResponse { .. }, _)
                if event == Event::DemandChanged =>
            {
                NextStep::Close
            }
            (InjectedBug::DisconnectNotReported, _, NextStep::CancelRequest) => NextStep::Close,
            (InjectedBug::ClosesWithoutLingering, _, NextStep::LingeringClose) => NextStep::Close,
            (
                InjectedBug::ClosesPartialRequestUnanswered,
                State::ReadingRequest { .. },
                NextStep::Write { response: ResponseKind::Rejection, .. },
            ) => NextStep::Close,
            (InjectedBug::DropsReadAheadRequest, State::AwaitingResponse { .. }, _)
                if event == (Event::ResponseReady { has_next_request: true }) =>
            {
                self.connection = before;
                self.connection.on_event(Event::ResponseReady { has_next_request: false })
            }
            (InjectedBug::KeepsCapacityDemandAfterRequest, _, _)
                if before.demand() == CloseDemand::ForCapacity =>
            {
                self.connection.raise_demand(CloseDemand::ForCapacity);
                next_step
            }
            _ => next_step,
        }
    }

    fn close(&mut self) -> PropertyResult {
        self.closed = true;
        if self.next_step == NextStep::CancelRequest {
            let was_open = std::mem::take(&mut self.op_open);
            return if was_open || !self.is_op || !self.forwarded {
                Ok(())
            } else {
                Err(Property::DisconnectReported)
            };
        }
        if self.op_open {
            return Err(if self.client_closed {
                Property::DisconnectReported
            } else {
                Property::RequestAnswered
            });
        }
        if self.client_closed || self.client_not_reading {
            return Ok(());
        }
        if self.pending_responses > 0 {
            return Err(Property::RequestAnswered);
        }
        if self.response_unread && !self.linger_expired {
            return Err(Property::ResponseNotReset);
        }
        if self.partial_read && !self.close_announced {
            Err(Property::PartialRequestAnswered)
        } else {
            Ok(())
        }
    }

    /// Checks that the connection closes by the gateway's own steps once the process is exiting and the
    /// client is idle.
    fn check_termination(&self) -> PropertyResult {
        let mut model = self.clone();
        (model.phase, model.bug) = (CloseDemand::Immediate, InjectedBug::None);
        for _ in 0..40 {
            if model.closed {
                return Ok(());
            }
            let mut steps = Vec::new();
            model.gateway_steps(&mut steps);
            let Some(step) = steps.first() else { return Err(Property::Terminates) };
            model.step(*step)?;
        }
        Err(Property::Terminates)
    }
}

struct Exploration {
    states: usize,
    violation: Option<(Property, Vec<Step>)>,
}

/// Breadth-first search, so that the trace to a violation is a shortest one.
fn explore(start: Model) -> Exploration {
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([(start, Vec::new())]);
    while let Some((model, trace)) = queue.pop_front() {
        for step in model.steps() {
            let mut next = model.clone();
            let result = next.step(step).and_then(|()| next.check_termination());
            let after = || trace.iter().copied().chain([step]).collect::<Vec<_>>();
            if let Err(property) = result {
                return Exploration { states: seen.len(), violation: Some((property, after())) };
            }
            if seen.insert(next.clone()) {
                queue.push_back((next, after()));
            }
        }
    }
    Exploration { states: seen.len(), violation: None }
}

#[test]
fn every_order_of_events_ends_without_owed_response() {
    let mut states = 0;
    for rejecting in [false, true] {
        for persists in [true, false] {
            for is_op in [true, false] {
                let exploration = explore(Model::new(InjectedBug::None, rejecting, persists, is_op));
                assert_eq!(
                    exploration.violation, None,
                    "rejecting: {rejecting}, persists: {persists}, is_op: {is_op}"
                );
                states += exploration.states;
            }
        }
    }
    println!("{states} states");
    assert!(states > 10_000, "{states} states: the search is incomplete");
}

#[test]
fn injected_bugs_are_detected() {
    for (bug, property) in [
        (InjectedBug::ClosesWhileAwaitingResponse, Property::RequestAnswered),
        (InjectedBug::ForwardsAfterShutdown, Property::NothingForwardedAfterShutdown),
        (InjectedBug::ExitsDuringLingeringClose, Property::ExitsWithoutPendingResponses),
        (InjectedBug::DisconnectNotReported, Property::DisconnectReported),
        (InjectedBug::ClosesWithoutLingering, Property::ResponseNotReset),
        (InjectedBug::ClosesPartialRequestUnanswered, Property::PartialRequestAnswered),
        (InjectedBug::DropsReadAheadRequest, Property::RequestAnswered),
        (InjectedBug::KeepsCapacityDemandAfterRequest, Property::ResponseNotReset),
    ] {
        let exploration = explore(Model::new(bug, false, true, true));
        let (violation, trace) = exploration.violation.unwrap_or_else(|| panic!("{bug:?} is not detected"));
        println!("{bug:?} breaks {violation:?}: {trace:?}");
        assert_eq!(violation, property, "{bug:?}: {trace:?}");
    }
}

//! Open operations, each with the client that waits for it and its attempts in flight.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{OpId, StoreId, VolumeId};
use umbertray_lifecycle::reason::RetryReason;

use crate::messages::{AttemptId, ClientId};
use crate::request::ClientRequest;
use crate::request_ids::RequestIds;

/// An attempt that has not ended.
pub(crate) struct InFlightAttempt {
    /// Number of earlier attempts of the operation.
    pub(crate) number: u32,
    /// The store that the attempt is sent to.
    pub(crate) store: StoreId,
    /// When the scheduler decided on the attempt.
    pub(crate) decided_at: Duration,
    /// When the attempt times out.
    pub(crate) deadline: Duration,
    /// When its bytes were returned to be written; `None` before that.
    pub(crate) started_at: Option<Duration>,
}

/// An operation, kept from its arrival until its final response is sent and no attempt is in flight.
pub(crate) struct PendingRequest {
    /// The client that waits for the final response.
    pub(crate) client: ClientId,
    /// The operation.
    pub(crate) request: ClientRequest,
    /// The scheduler's id of its volume.
    pub(crate) volume: VolumeId,
    /// Attempts that have not ended.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Number of attempts decided on so far.
    pub(crate) attempts: u32,
    /// When the first attempt that may have been executed was started.
    pub(crate) may_have_run_since: Option<Duration>,
    /// The retry reason of a further attempt, derived from the outcome of the attempt that ended last; `None`
    /// if no attempt has ended or the last one succeeded.
    pub(crate) last_outcome: Option<RetryReason>,
    /// Whether the operation has its final response, or its client has disconnected.
    pub(crate) has_ended: bool,
}

impl PendingRequest {
    fn new(client: ClientId, request: ClientRequest, volume: VolumeId) -> PendingRequest {
        PendingRequest {
            client,
            request,
            volume,
            in_flight: Vec::new(),
            attempts: 0,
            may_have_run_since: None,
            last_outcome: None,
            has_ended: false,
        }
    }

    /// An attempt in flight, by its number.
    pub(crate) fn attempt_mut(&mut self, number: u32) -> Option<&mut InFlightAttempt> {
        self.in_flight.iter_mut().find(|attempt| attempt.number == number)
    }

    /// Removes an attempt that has ended.
    pub(crate) fn finish_attempt(&mut self, number: u32) -> Option<InFlightAttempt> {
        let position = self.in_flight.iter().position(|attempt| attempt.number == number)?;
        Some(self.in_flight.swap_remove(position))
    }

    /// Adds an attempt and returns its number.
    pub(crate) fn add_attempt(&mut self, store: StoreId, now: Duration, deadline: Duration) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        let started_at = None;
        self.in_flight.push(InFlightAttempt { number, store, decided_at: now, deadline, started_at });
        number
    }
}

/// All open operations.
///
/// Invariant: `clients` has an entry for each operation that has not ended, and for no other. `ids` has at
/// least the ids of all operations in `requests`.
pub(crate) struct PendingRequests {
    requests: HashMap<OpId, PendingRequest>,
    clients: HashMap<ClientId, OpId>,
    /// Request ids that a new request must not have.
    pub(crate) ids: RequestIds,
    next_op: u32,
}

impl PendingRequests {
    /// Creates an empty set with the maximum number of request ids.
    pub(crate) fn new(max_request_ids: usize) -> PendingRequests {
        PendingRequests {
            requests: HashMap::new(),
            clients: HashMap::new(),
            ids: RequestIds::new(max_request_ids),
            next_op: 0,
        }
    }

    /// Number of operations without a final response.
    pub(crate) fn open(&self) -> usize {
        self.clients.len()
    }

    /// The volumes of all operations.
    pub(crate) fn volumes(&self) -> BTreeSet<VolumeId> {
        self.requests.values().map(|pending| pending.volume).collect()
    }

    /// The operation that a client waits for.
    pub(crate) fn op_of(&self, client: ClientId) -> Option<OpId> {
        self.clients.get(&client).copied()
    }

    pub(crate) fn get(&self, op: OpId) -> Option<&PendingRequest> {
        self.requests.get(&op)
    }

    pub(crate) fn get_mut(&mut self, op: OpId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&op)
    }

    /// Adds an operation, whose request id is in use from now on.
    pub(crate) fn add(&mut self, client: ClientId, request: ClientRequest, volume: VolumeId) {
        let op = OpId(self.next_op);
        self.next_op = self.next_op.wrapping_add(1);
        self.ids.insert(request.id_number);
        self.clients.insert(client, op);
        self.requests.insert(op, PendingRequest::new(client, request, volume));
    }

    /// Ends an operation because it has its final response or its client has disconnected. Returns its
    /// attempts in flight; the record is removed once there are none.
    pub(crate) fn end(&mut self, op: OpId, now: Duration) -> Vec<AttemptId> {
        let Some(pending) = self.requests.get_mut(&op) else { return Vec::new() };
        if !pending.has_ended {
            pending.has_ended = true;
            // No further attempt can start, so only one that is being written still needs the body.
            pending.request.body = Bytes::new();
            self.clients.remove(&pending.client);
        }
        let in_flight = pending.in_flight.iter().map(|attempt| AttemptId { op, attempt: attempt.number });
        let in_flight: Vec<AttemptId> = in_flight.collect();
        if in_flight.is_empty() {
            self.remove(op, now);
        }
        in_flight
    }

    fn remove(&mut self, op: OpId, now: Duration) {
        let Some(pending) = self.requests.remove(&op) else { return };
        let id = pending.request.id_number;
        match pending.may_have_run_since {
            Some(_) => self.ids.retain(id, now),
            None => self.ids.release(id),
        }
    }
}

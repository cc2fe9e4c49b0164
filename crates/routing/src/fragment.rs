//! The records of what is open: requests, their fragments, and attempts in flight.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::StoreId;
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::store::{DataRange, OperationKind};

use crate::extent_span::ExtentSpan;
use crate::reply::FragmentResult;
use crate::{BufferGuard, FinalResult, RequestId};

/// A request without its final reply.
pub(crate) struct OpenRequest {
    pub(crate) volume: usize,
    pub(crate) kind: OperationKind,
    pub(crate) op_type: usize,
    pub(crate) durable: bool,
    /// When the client's time is up.
    pub(crate) deadline: Duration,
    pub(crate) buffer_guard: BufferGuard,
    pub(crate) open_fragments: usize,
    /// Ids of its fragments, open or not.
    pub(crate) fragments: Vec<u32>,
    pub(crate) results: Vec<FragmentResult>,
    /// For a status request: which parts hold data, by offset in the volume.
    pub(crate) data_ranges: BTreeMap<u64, Vec<DataRange>>,
}

/// Where a fragment stands.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum FragmentState {
    /// Its location is being queried; the scheduler does not know of it.
    Locating,
    /// The scheduler has it.
    Scheduled,
    /// Its final result is known; that of a write may wait for its fences.
    Answered(FinalResult),
    /// Delivered, or nobody waits; only attempts in flight keep the record.
    Finished,
}

/// The part of a request that lies in one extent: one operation to the scheduler.
pub(crate) struct Fragment {
    pub(crate) request: RequestId,
    /// What stores know the operation by; unlike the scheduler's small ids it is never used twice in a run.
    pub(crate) sequence: u64,
    pub(crate) volume: usize,
    pub(crate) kind: OperationKind,
    pub(crate) span: ExtentSpan,
    pub(crate) op_type: usize,
    /// Where it lies, as far as this gateway knows; nothing for a new object.
    pub(crate) location: Option<Location>,
    pub(crate) data: Bytes,
    pub(crate) durable: bool,
    pub(crate) deadline: Duration,
    pub(crate) state: FragmentState,
    /// Bytes of a read that were forwarded to the client.
    pub(crate) delivered_bytes: u32,
    /// Numbers of its attempts, in the scheduler's order.
    pub(crate) attempts: Vec<u64>,
    /// Attempts of unknown outcome, which may still take effect, and until when.
    pub(crate) unknown_outcomes: Vec<(u64, Duration)>,
    pub(crate) in_flight: u32,
    /// When the first attempt was decided on that may have been executed.
    pub(crate) may_have_run_since: Option<Duration>,
}

impl Fragment {
    /// Until when an attempt of it may still take effect at a store.
    pub(crate) fn may_run_until(&self) -> Option<Duration> {
        self.unknown_outcomes.iter().map(|(_, ends)| *ends).max()
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptStatus {
    /// The extent is being claimed for the store's shard; nothing was sent.
    Claiming,
    /// The connection is being made; nothing was sent.
    Connecting,
    /// Sent, without a result yet.
    Sent,
}

/// An attempt whose outcome the scheduler waits for.
pub(crate) struct InFlightAttempt {
    pub(crate) fragment: u32,
    pub(crate) index: u32,
    pub(crate) store: StoreId,
    pub(crate) decided_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) status: AttemptStatus,
}

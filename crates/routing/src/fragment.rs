//! Records of open requests, their fragments, and attempts in flight.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::StoreId;
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::store::{DataRange, OperationKind};

use crate::extent_range::ExtentRange;
use crate::reply::FragmentResult;
use crate::{BufferGuard, FinalResult, RequestId};

/// A request that has no final reply yet.
pub(crate) struct OpenRequest {
    pub(crate) volume: usize,
    pub(crate) kind: OperationKind,
    pub(crate) op_type: usize,
    pub(crate) durable: bool,
    /// When the client's operation timeout expires; the final reply must be sent before.
    pub(crate) deadline: Duration,
    pub(crate) buffer_guard: BufferGuard,
    pub(crate) open_fragments: usize,
    /// Ids of all its fragments, including finished ones.
    pub(crate) fragments: Vec<u32>,
    pub(crate) results: Vec<FragmentResult>,
    /// For a status request: ranges with and without data, by offset in the volume.
    pub(crate) data_ranges: BTreeMap<u64, Vec<DataRange>>,
}

/// The state of a fragment.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum FragmentState {
    /// Its location is being looked up; the scheduler does not know of it.
    Locating,
    /// It was passed to the scheduler as an operation.
    Scheduled,
    /// Its final result is known; the result of a write may be withheld until the time fences of its attempts
    /// have passed.
    AwaitingDelivery(FinalResult),
    /// Its result was delivered, or its session has ended. The record remains only while attempts are in
    /// flight.
    Finished,
}

/// The part of a request that lies in one extent: one operation to the scheduler.
pub(crate) struct Fragment {
    pub(crate) request: RequestId,
    /// Identifies the operation at the stores. Unlike the scheduler's small ids it is not reused within a
    /// run.
    pub(crate) sequence: u64,
    pub(crate) volume: usize,
    pub(crate) kind: OperationKind,
    pub(crate) range: ExtentRange,
    pub(crate) op_type: usize,
    /// The extent's location as known to this gateway; `None` for a new object.
    pub(crate) location: Option<Location>,
    pub(crate) data: Bytes,
    pub(crate) durable: bool,
    pub(crate) deadline: Duration,
    pub(crate) state: FragmentState,
    /// Bytes of a read that were already forwarded to the client.
    pub(crate) delivered_bytes: u32,
    /// Numbers of its attempts, indexed as by the scheduler.
    pub(crate) attempts: Vec<u64>,
    /// Attempts of unknown outcome, each with the time until which it may still take effect.
    pub(crate) unknown_outcomes: Vec<(u64, Duration)>,
    pub(crate) in_flight: u32,
    /// When the scheduler decided on the first attempt that may have been executed.
    pub(crate) may_have_run_since: Option<Duration>,
}

impl Fragment {
    /// Until when an attempt of unknown outcome may still take effect at a store.
    pub(crate) fn may_run_until(&self) -> Option<Duration> {
        self.unknown_outcomes.iter().map(|(_, until)| *until).max()
    }
}

/// The progress of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptStatus {
    /// The extent is being claimed in the map for the store's shard; nothing was sent.
    Claiming,
    /// The connection is being established; nothing was sent.
    Connecting,
    /// Sent; no result was received yet.
    Sent,
}

/// An attempt whose outcome was not reported to the scheduler yet.
pub(crate) struct InFlightAttempt {
    pub(crate) fragment: u32,
    pub(crate) index: u32,
    pub(crate) store: StoreId,
    pub(crate) decided_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) status: AttemptStatus,
}

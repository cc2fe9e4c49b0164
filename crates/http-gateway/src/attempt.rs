//! Attempts and health checks: sends one request to a store and receives its response.

use std::cell::Cell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout, timeout_at};
use umbertray_http::EncodedMessage;
use umbertray_http::client::{self, Response, ResponseReader};
use umbertray_http_api::{AttemptId, AttemptOutcome, StoreId, protocol};
use umbertray_lifecycle::attempt::propagated_deadline_holds;
use umbertray_lifecycle::check::record_violation;
use umbertray_lifecycle::reason::StoreCloseReason;

use crate::client_connections::OutputDemand;
use crate::event_loop::{EventLoop, MemoryKind};
use crate::memory_budget::Reservation;
use crate::store_pool::PooledConnection;

/// Responses beyond the platform's maximum body length get this part of the memory for all responses: a half.
const OVERSIZED_SHARE: usize = 2;

/// The outcome of an attempt, and when it became known.
pub(crate) struct Finished {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) at: Duration,
}

/// Sends an attempt and waits for its response. `written` is set once the last byte has been written.
///
/// Cancellation closes the connection. `written` then shows whether the attempt may have been executed.
pub(crate) async fn run_attempt(
    event_loop: &Rc<EventLoop>,
    attempt: AttemptId,
    store: StoreId,
    address: SocketAddr,
    deadline: Duration,
    written: &Cell<bool>,
) -> Finished {
    let started_at = event_loop.clock.now();
    let id = event_loop.request_id(attempt).unwrap_or_default();
    let op = attempt.op.0;
    let number = attempt.attempt;
    let time_left = deadline.saturating_sub(started_at);
    tracing::debug!(request_id = id, op, attempt = number, store = store.0, ?time_left, "attempt started");
    if let Some(reason) = event_loop.retry_reason(attempt) {
        event_loop.counters.count(reason);
        tracing::debug!(request_id = id, op, attempt = number, %reason, "attempt is a retry");
    }
    let timer_deadline = event_loop.clock.instant(deadline).into();
    let finished = send_and_receive(event_loop, attempt, address, timer_deadline, written).await;
    let elapsed = finished.at.saturating_sub(started_at);
    let outcome = &finished.outcome;
    tracing::debug!(
        request_id = id, op, attempt = number, store = store.0, ?elapsed, %outcome,
        "attempt finished"
    );
    finished
}

async fn send_and_receive(
    event_loop: &Rc<EventLoop>,
    attempt: AttemptId,
    address: SocketAddr,
    deadline: Instant,
    written: &Cell<bool>,
) -> Finished {
    let finished_now = |outcome| Finished { outcome, at: event_loop.clock.now() };
    let connection = match timeout_at(deadline, send(event_loop, attempt, address, written)).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(outcome)) => return finished_now(outcome),
        Err(_) => return finished_now(AttemptOutcome::NeverWritten),
    };
    match timeout_at(deadline, receive_response(event_loop, connection)).await {
        Ok(finished) => finished,
        Err(_) => {
            let reason = StoreCloseReason::AttemptEnded;
            event_loop.counters.count(reason);
            tracing::debug!(
                op = attempt.op.0, attempt = attempt.attempt, store = %address, %reason,
                "store connection closed"
            );
            finished_now(AttemptOutcome::TimedOut)
        }
    }
}

/// Acquires a connection and writes the attempt, unless it must not start any more.
async fn send<'a>(
    event_loop: &'a Rc<EventLoop>,
    attempt: AttemptId,
    address: SocketAddr,
    written: &Cell<bool>,
) -> Result<PooledConnection<'a>, AttemptOutcome> {
    let mut connection = event_loop.pools.acquire(address).await.ok_or(AttemptOutcome::NeverWritten)?;
    // Hazard: a list that was received and not applied yet may remove the store (rule 3).
    event_loop.queued_list_applied().await;
    let bytes = match event_loop.start_attempt(attempt) {
        Ok(bytes) => bytes,
        Err(reason) => {
            event_loop.counters.count(reason);
            tracing::debug!(op = attempt.op.0, attempt = attempt.attempt, %reason, "attempt denied");
            // Nothing was written, so the connection can carry the next attempt.
            event_loop.pools.release(connection);
            return Err(AttemptOutcome::Withheld);
        }
    };
    let started_at = event_loop.clock.now();
    write(&mut connection, bytes, written).await.ok_or(AttemptOutcome::NeverWritten)?;
    let write_duration = event_loop.clock.now().saturating_sub(started_at);
    check_propagated_deadline(event_loop, attempt, write_duration);
    Ok(connection)
}

/// Counts and logs a propagated deadline that no longer held when the request was written, because this
/// process was paused or the store reads slowly.
fn check_propagated_deadline(event_loop: &EventLoop, attempt: AttemptId, write_duration: Duration) {
    record_violation(&event_loop.counters, propagated_deadline_holds(write_duration), |violation| {
        let id = event_loop.request_id(attempt).unwrap_or_default();
        tracing::warn!(
            request_id = id, op = attempt.op.0, elapsed = ?write_duration, %violation,
            "lifecycle rule violated"
        );
    });
}

/// Writes a request; `None` if it was not written completely. A store executes a request only after it has
/// received the last byte.
async fn write(
    connection: &mut PooledConnection<'_>,
    message: EncodedMessage,
    written: &Cell<bool>,
) -> Option<()> {
    connection.stream.as_mut()?.write_all_buf(&mut message.into_buf()).await.ok()?;
    written.set(true);
    Some(())
}

/// Reads a complete response, and releases or closes its connection.
async fn receive_response(event_loop: &Rc<EventLoop>, mut connection: PooledConnection<'_>) -> Finished {
    let mut reader = ResponseReader::new(event_loop.limits().response);
    let mut memory = event_loop.response_memory.reservation();
    loop {
        let Some(stream) = &mut connection.stream else {
            return Finished { outcome: AttemptOutcome::NeverWritten, at: event_loop.clock.now() };
        };
        reader.bytes.reserve(event_loop.limits().http.head);
        let read = stream.read_buf(&mut reader.bytes).await;
        let at = event_loop.clock.now();
        let broken = |reason, detail: &dyn Display| {
            record_close(event_loop, &connection, reason, detail);
            Finished { outcome: AttemptOutcome::Broken, at }
        };
        let (response, is_end) = match read {
            Ok(1..) => (reader.response(), false),
            Ok(0) => (reader.on_close(), true),
            Err(error) => return broken(StoreCloseReason::ResponseMalformed, &error),
        };
        let size = match &response {
            Ok(Some(response)) => response.body.len(),
            _ => reader.body_memory(),
        };
        if !reserve_response(event_loop, &mut memory, size).await {
            return too_large(event_loop, &connection, size, at);
        }
        match response {
            Ok(None) if is_end => {
                return broken(
                    StoreCloseReason::ResponseMalformed,
                    &"closed before the response was complete",
                );
            }
            Ok(None) => {}
            Ok(Some(response)) => {
                // Hazard: bytes after the response belong to no request. On a reused connection they would be
                // taken for the response to the next one.
                let is_reusable = !is_end && response.head.persists && reader.bytes.is_empty();
                let outcome = finish_response(event_loop, connection, response, memory, is_reusable);
                return Finished { outcome, at };
            }
            Err(error) => return broken(StoreCloseReason::ResponseMalformed, &error),
        }
    }
}

/// Reserves memory for a response of which this many bytes are held. Returns false if there is none, and no
/// other response may be cut off.
async fn reserve_response(event_loop: &EventLoop, memory: &mut Reservation, size: usize) -> bool {
    let budget = &event_loop.response_memory;
    if size > protocol::MAX_BODY {
        return memory.try_resize_part(size, OVERSIZED_SHARE);
    }
    loop {
        let freed = budget.freed();
        if memory.try_resize(size) {
            return true;
        }
        event_loop.log_memory_shortage(MemoryKind::Responses);
        match event_loop.clients.demand_output_memory() {
            OutputDemand::Requested => freed.await,
            OutputDemand::StalledAt(at) => _ = timeout_at(at.into(), freed).await,
            OutputDemand::Unavailable => return false,
        }
    }
}

/// Releases or closes the connection of a complete response, and ties the reserved memory to the response
/// body.
fn finish_response(
    event_loop: &EventLoop,
    connection: PooledConnection<'_>,
    mut response: Response,
    memory: Reservation,
    is_reusable: bool,
) -> AttemptOutcome {
    response.body = memory.attach_to(response.body);
    if is_reusable {
        event_loop.pools.release(connection);
    } else {
        record_close(event_loop, &connection, StoreCloseReason::LastResponse, &"connection not reusable");
    }
    AttemptOutcome::Response(response)
}

fn too_large(
    event_loop: &EventLoop,
    connection: &PooledConnection<'_>,
    size: usize,
    at: Duration,
) -> Finished {
    let reason = StoreCloseReason::ResponseTooLarge;
    event_loop.counters.count(reason);
    if size > protocol::MAX_BODY {
        tracing::warn!(store = %connection.address, size, %reason, "store response exceeds the memory limit");
    } else {
        tracing::debug!(store = %connection.address, size, %reason, "no memory for a store response");
    }
    Finished { outcome: AttemptOutcome::Broken, at }
}

/// Counts and logs the reason for closing a connection that was in use.
fn record_close(
    event_loop: &EventLoop,
    connection: &PooledConnection<'_>,
    reason: StoreCloseReason,
    detail: &dyn Display,
) {
    event_loop.counters.count(reason);
    tracing::debug!(store = %connection.address, %reason, %detail, "store connection closed");
}

/// Requests the load report of a store.
pub(crate) async fn check_health(event_loop: &Rc<EventLoop>, address: SocketAddr) -> AttemptOutcome {
    let written = Cell::new(false);
    let check = timeout(event_loop.limits().timeouts.connect, async {
        let mut connection = event_loop.pools.acquire(address).await?;
        let host = address.to_string();
        let message = client::encode_request("GET", protocol::LOAD_REPORT_PATH, &host, &[], Bytes::new());
        write(&mut connection, message, &written).await?;
        Some(receive_response(event_loop, connection).await.outcome)
    });
    match check.await {
        Ok(Some(outcome)) => outcome,
        Err(_) if written.get() => AttemptOutcome::TimedOut,
        _ => AttemptOutcome::NeverWritten,
    }
}

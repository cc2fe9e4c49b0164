//! Graceful shutdown.

use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use umbertray_http_api::Input;
use umbertray_lifecycle::connection;

use crate::event_loop::{EventLoop, Phase};

/// Waits for the termination signal, then continues to serve as long as new requests can still be answered
/// before SIGKILL, because no other gateway serves these clients until this one is restarted. Then closes
/// idle connections, and returns once all accepted requests are answered.
pub(crate) async fn run(event_loop: &EventLoop, terminate: &Notify) {
    terminate.notified().await;
    let timeouts = event_loop.drain_timeouts();
    let now = event_loop.clock.now();
    let instant = |after: Duration| -> Instant { event_loop.clock.instant(now + after).into() };
    let accept_until = instant(timeouts.accept_until);
    let drain_deadline = instant(timeouts.drain_deadline);
    let counters = &event_loop.counters;
    let clients = event_loop.clients.len();
    tracing::info!(open = event_loop.open_requests(), clients, %counters, "drain started");
    event_loop.post(Input::ShuttingDown(now + timeouts.retry_until));
    event_loop.enter_phase(Phase::Draining);
    sleep_until(accept_until).await;
    event_loop.enter_phase(Phase::Closing);
    if timeout_at(drain_deadline, event_loop.clients.wait_until_empty()).await.is_ok() {
        tracing::info!(%counters, "lifecycle counters");
        return;
    }
    close_remaining(event_loop, timeouts.response_write, timeouts.drain_close).await;
}

/// Handles connections that remain after the drain deadline: rejects those without a complete request, waits
/// for the pending responses and for the clients to read them, and logs what is left.
///
/// Hazard: an accepted request without its complete response is lost. This process may have read the request
/// late, so that its response is still pending here.
///
/// Hazard: unread bytes on a connection reset it when the process exits, and the reset can destroy responses.
async fn close_remaining(event_loop: &EventLoop, response_write: Duration, drain_close: Duration) {
    let is_answered =
        timeout(response_write, event_loop.clients.close_unused_and_wait_until_answered()).await.is_ok();
    let is_closed = timeout(drain_close, event_loop.clients.wait_until_empty()).await.is_ok();
    let clients = event_loop.clients.len();
    let counters = &event_loop.counters;
    if let Err(violation) = connection::may_exit(event_loop.clients.obligations()) {
        counters.count(violation);
        tracing::error!(%violation, clients, "lifecycle rule violated");
    }
    tracing::info!(%counters, "lifecycle counters");
    if is_answered {
        tracing::info!(clients, is_closed, "stopped with open connections");
    } else {
        tracing::warn!(open = event_loop.open_requests(), clients, "stopped with requests unanswered");
    }
}

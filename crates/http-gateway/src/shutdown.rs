//! Graceful shutdown.

use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use umbertray_http_api::Input;
use umbertray_lifecycle::connection;

use crate::event_loop::{EventLoop, Phase};

/// Waits for the signal to terminate, then goes on serving for as long as what comes can still be answered before SIGKILL:
/// nobody else serves these clients until the gateway's next run. Then closes idle connections, and returns when all that
/// was accepted is answered.
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
    event_loop.enter(Phase::Draining);
    sleep_until(accept_until).await;
    event_loop.enter(Phase::Closing);
    if timeout_at(drain_deadline, event_loop.clients.empty()).await.is_ok() {
        tracing::info!(%counters, "lifecycle counters");
        return;
    }
    close_remaining(event_loop, timeouts.response_write, timeouts.drain_close).await;
}

/// Past the drain deadline: rejects those that have sent no whole request, waits for the responses that are owed and for the
/// clients to read them, and logs what is left.
///
/// Hazard: a request that was accepted is lost without its whole response, and this process may have come to it late.
/// Hazard: bytes that lie unread when the process ends reset their connections, and responses are lost with them.
async fn close_remaining(event_loop: &EventLoop, response_write: Duration, drain_close: Duration) {
    let is_answered = timeout(response_write, event_loop.clients.all_answered()).await.is_ok();
    let is_closed = timeout(drain_close, event_loop.clients.empty()).await.is_ok();
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

//! The listener: accepts client connections and starts a task for each.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::sleep;
use umbertray_socket::{AcceptError, classify_accept_error};

use crate::client::{ClientConnection, if_ready};
use crate::event_loop::{EventLoop, Phase};

/// Delay before the next accept after one that failed because the system lacks resources.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the gateway is closing.
///
/// Hazard: connections that the system has already accepted are reset when the listener closes, and their
/// requests are lost. So they are accepted first.
pub(crate) async fn accept(event_loop: Rc<EventLoop>, listener: TcpListener) {
    let mut phases = event_loop.phase_changes();
    for id in 0.. {
        let accepted = tokio::select! {
            biased;
            accepted = umbertray_socket::accept(&listener) => Some(accepted),
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => {
                yield_now().await;
                if_ready(umbertray_socket::accept(&listener)).await
            }
        };
        let Some(accepted) = accepted else { return };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "accepting a client connection failed");
                wait_before_retry(&event_loop, classify_accept_error(&error)).await;
                continue;
            }
        };
        let has_capacity = event_loop.clients.wait_for_capacity(&event_loop.limits()).await;
        _ = stream.set_nodelay(true);
        let client = ClientConnection::new(event_loop.clone(), id, stream, !has_capacity);
        tokio::task::spawn_local(client.serve());
    }
}

/// Waits until another accept may succeed.
///
/// Hazard: retrying immediately would be a busy loop.
async fn wait_before_retry(event_loop: &EventLoop, error: AcceptError) {
    let evicted = error == AcceptError::Descriptors && event_loop.clients.evict_one().await;
    match error {
        AcceptError::Transient => {}
        AcceptError::System => sleep(ACCEPT_RETRY_DELAY).await,
        AcceptError::Descriptors | AcceptError::Fatal if evicted => {}
        AcceptError::Descriptors | AcceptError::Fatal => sleep(event_loop.limits().timeouts.connect).await,
    }
}

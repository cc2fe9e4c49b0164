//! The listener: accepts clients' connections and starts a task for each.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::sleep;
use umbertray_socket::{AcceptError, accept_error};

use crate::client::{ClientConnection, if_ready};
use crate::event_loop::{EventLoop, Phase};

/// The delay before the next accept after one that the system could not serve.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the gateway closes.
///
/// Hazard: those that the system has accepted by then are reset with
/// the listener, their requests lost.
pub(crate) async fn accept(event_loop: Rc<EventLoop>, listener: TcpListener) {
    let mut phases = event_loop.phases();
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
                tracing::warn!(%error, "no client accepted");
                recover(&event_loop, accept_error(&error)).await;
                continue;
            }
        };
        let reject = !event_loop.clients.room(&event_loop.limits()).await;
        _ = stream.set_nodelay(true);
        let client = ClientConnection::new(event_loop.clone(), id, stream, reject);
        tokio::task::spawn_local(client.serve());
    }
}

/// Waits until another accept may succeed.
///
/// Hazard: trying again at once would spin.
async fn recover(event_loop: &EventLoop, error: AcceptError) {
    let closed_one = error == AcceptError::Descriptors && event_loop.clients.make_room().await;
    match error {
        AcceptError::Transient => {}
        AcceptError::System => sleep(ACCEPT_RETRY_DELAY).await,
        AcceptError::Descriptors | AcceptError::Fatal if closed_one => {}
        AcceptError::Descriptors | AcceptError::Fatal => sleep(event_loop.limits().timeouts.connect).await,
    }
}

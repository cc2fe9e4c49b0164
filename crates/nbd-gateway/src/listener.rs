//! Accepts connections of NBD clients.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::session::{self, SessionContext};

/// Wait after a failed accept, most likely due to a lack of descriptors or memory. An immediate retry would
/// spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Accepts connections until the task is aborted. At the session limit no further connection is accepted, and
/// clients wait in the system's backlog. A session's task outlives the listener: it ends with its client,
/// with the drain, or when the event loop ends.
pub(crate) async fn accept_sessions(
    listener: TcpListener,
    context: Arc<SessionContext>,
    session_slots: Arc<Semaphore>,
) {
    while let Ok(slot) = session_slots.clone().acquire_owned().await {
        match umbertray_socket::accept(&listener).await {
            Ok((socket, peer)) => {
                let context = context.clone();
                tokio::spawn(async move {
                    session::run(context, socket, peer).await;
                    drop(slot);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "connection accept failed");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

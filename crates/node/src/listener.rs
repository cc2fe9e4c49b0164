//! The listener: accepts clients' connections and starts a task for each.

use std::io::ErrorKind;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::client::{Client, at_once};
use crate::hub::{Hub, Phase};

/// Takes new connections until the gateway closes. Hazard: those that the system has accepted by then are reset with
/// the listener, their requests lost.
pub async fn accept(hub: Rc<Hub>, listener: TcpListener) {
    let mut phases = hub.phases();
    for id in 0.. {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => Some(accepted),
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => {
                yield_now().await;
                at_once(listener.accept()).await
            }
        };
        let Some(accepted) = accepted else { return };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            // The client's doing: no other connection has to close for it.
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
            // Out of descriptors, most likely: retry_until at once would spin.
            Err(error) => {
                tracing::warn!(%error, "no client accepted");
                if !hub.clients.make_room().await {
                    sleep(hub.bounds().timeouts.connect).await;
                }
                continue;
            }
        };
        let reject = !hub.clients.room(&hub.bounds()).await;
        _ = stream.set_nodelay(true);
        let client = Client::new(hub.clone(), id, stream, reject);
        tokio::task::spawn_local(client.serve());
    }
}

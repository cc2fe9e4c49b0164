//! Connections to the list service and to the coordinator of the extent map. A connection is established when
//! there is a message to send.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use umbertray_routing::Input;
use umbertray_socket::Socket;
use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::{Message, next_frame};

use crate::event_loop::LoopEvent;

/// The service at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// The list service: it has the endpoint list, and also the extent map if there is no coordinator.
    EndpointList,
    /// The coordinator of the extent map.
    Coordinator,
}

/// The highest coordinator term that was received. Hazard: a coordinator that was suspended while another
/// took over still sends its outdated state when it is resumed.
#[derive(Default)]
struct HighestTerm(u64);

impl HighestTerm {
    /// Records a term; rejects one that is lower than an earlier one.
    fn observe(&mut self, term: u64) -> io::Result<()> {
        if term < self.0 {
            return Err(io::Error::other(format!(
                "coordinator answered with the stale term {term}; term {} was received before",
                self.0
            )));
        }
        self.0 = term;
        Ok(())
    }
}

/// Parameters of the task that connects to a service.
pub(crate) struct ServiceContext {
    /// The service.
    pub(crate) service: Service,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Identifies this run of the gateway, in the hello.
    pub(crate) run_id: u64,
    /// Timeout for establishing a connection.
    pub(crate) connect_timeout: Duration,
    /// Receives the service's messages as events.
    pub(crate) events: mpsc::UnboundedSender<LoopEvent>,
}

/// Sends messages to the service, reconnecting for the next message after a connection has ended. Ends when
/// the sender of messages, or the event loop, is dropped.
pub(crate) async fn run(context: ServiceContext, mut messages: mpsc::UnboundedReceiver<ToList>) {
    let mut highest_term = HighestTerm::default();
    while let Some(first_message) = messages.recv().await {
        let result = context.connect_and_exchange(first_message, &mut highest_term, &mut messages).await;
        if messages.is_closed() {
            return;
        }
        context.log_disconnected(result);
        // Queued messages are dropped: the core sends its unanswered queries again.
        while messages.try_recv().is_ok() {}
        if context.events.send(LoopEvent::CoreInput(context.disconnected_input())).is_err() {
            return;
        }
    }
}

impl ServiceContext {
    async fn connect_and_exchange(
        &self,
        first_message: ToList,
        highest_term: &mut HighestTerm,
        messages: &mut mpsc::UnboundedReceiver<ToList>,
    ) -> io::Result<()> {
        let connected = tokio::time::timeout(self.connect_timeout, self.connect()).await;
        let socket = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        tracing::info!(service = ?self.service, address = %self.address, "service connected");
        self.exchange(socket, first_message, highest_term, messages).await
    }

    async fn connect(&self) -> io::Result<Socket> {
        let mut socket = Socket::connect(self.address).await?;
        socket.set_nodelay(true)?;
        socket.write_all(&ToList::Hello { run: self.run_id }.frame()).await?;
        Ok(socket)
    }

    /// Transfers messages in both directions until the connection has ended or the sender of messages is
    /// dropped.
    async fn exchange(
        &self,
        socket: Socket,
        first_message: ToList,
        highest_term: &mut HighestTerm,
        messages: &mut mpsc::UnboundedReceiver<ToList>,
    ) -> io::Result<()> {
        let (mut reader, mut writer) = socket.into_split();
        let mut input = BytesMut::new();
        writer.write_all(&first_message.frame()).await?;
        loop {
            // Cancel safe: received bytes stay in the buffer, and messages stay in their channel.
            tokio::select! {
                read = reader.read_buf(&mut input) => if read? == 0 {
                    return Ok(());
                },
                message = messages.recv() => match message {
                    Some(message) => writer.write_all(&message.frame()).await?,
                    None => return Ok(()),
                },
            }
            while let Some(message) = next_frame::<FromList>(&mut input).map_err(io::Error::other)? {
                if let FromList::Welcome { term } = &message {
                    highest_term.observe(*term)?;
                }
                _ = self.events.send(LoopEvent::CoreInput(Input::FromList(message)));
            }
        }
    }

    fn log_disconnected(&self, result: io::Result<()>) {
        let address = self.address;
        let reason = result.err().map_or("closed".into(), |error| error.to_string());
        match self.service {
            Service::EndpointList => tracing::warn!(%address, reason, "endpoint list stale"),
            Service::Coordinator => tracing::warn!(%address, reason, "coordinator disconnected"),
        }
    }

    fn disconnected_input(&self) -> Input {
        match self.service {
            Service::EndpointList => Input::ListDisconnected,
            Service::Coordinator => Input::CoordinatorDisconnected,
        }
    }
}

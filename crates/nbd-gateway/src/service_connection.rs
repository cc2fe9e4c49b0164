//! The connections to the endpoint list and to the coordinator of the map: made when there is something to ask.

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

/// The service that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// The endpoint list, and with it the directory of extents where there is no coordinator.
    EndpointList,
    /// The coordinator of the map.
    Coordinator,
}

/// The highest term of a coordinator that was heard of. Hazard: a coordinator that was suspended while another took over
/// still tells, once it is resumed, what it knew.
#[derive(Default)]
struct HighestTerm(u64);

impl HighestTerm {
    /// Rejects a term that is lower than one heard of before.
    fn observe(&mut self, term: u64) -> io::Result<()> {
        if term < self.0 {
            return Err(io::Error::other(format!(
                "a coordinator of term {term} answers, {} was heard of",
                self.0
            )));
        }
        self.0 = term;
        Ok(())
    }
}

/// What a service's task needs.
pub(crate) struct ServiceContext {
    /// The service.
    pub(crate) service: Service,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Identifies this run of the gateway, in the hello.
    pub(crate) run_id: u64,
    /// How long a connection may take to come up.
    pub(crate) connect_timeout: Duration,
    /// Where what it answers goes.
    pub(crate) events: mpsc::UnboundedSender<LoopEvent>,
}

/// Sends messages, on a new connection after one that has ended. Ends when the sender of messages, or the event loop, is
/// dropped.
pub(crate) async fn run(context: ServiceContext, mut messages: mpsc::UnboundedReceiver<ToList>) {
    let mut highest_term = HighestTerm::default();
    while let Some(first) = messages.recv().await {
        let ended = context.connect_and_exchange(first, &mut highest_term, &mut messages).await;
        if messages.is_closed() {
            return;
        }
        context.log_disconnected(ended);
        // What was asked meanwhile is asked again by the core, which still waits for it.
        while messages.try_recv().is_ok() {}
        if context.events.send(LoopEvent::CoreInput(context.disconnected_input())).is_err() {
            return;
        }
    }
}

impl ServiceContext {
    async fn connect_and_exchange(
        &self,
        first: ToList,
        highest_term: &mut HighestTerm,
        messages: &mut mpsc::UnboundedReceiver<ToList>,
    ) -> io::Result<()> {
        let connected = tokio::time::timeout(self.connect_timeout, self.connect()).await;
        let socket = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        tracing::info!(service = ?self.service, address = %self.address, "service connected");
        self.exchange(socket, first, highest_term, messages).await
    }

    async fn connect(&self) -> io::Result<Socket> {
        let mut socket = Socket::connect(self.address).await?;
        socket.set_nodelay(true)?;
        socket.write_all(&ToList::Hello { run: self.run_id }.frame()).await?;
        Ok(socket)
    }

    /// Moves messages both ways until the connection, or the sender of messages, has ended.
    async fn exchange(
        &self,
        socket: Socket,
        first: ToList,
        highest_term: &mut HighestTerm,
        messages: &mut mpsc::UnboundedReceiver<ToList>,
    ) -> io::Result<()> {
        let (mut reader, mut writer) = socket.into_split();
        let mut input = BytesMut::new();
        writer.write_all(&first.frame()).await?;
        loop {
            // A cancelled branch loses nothing: what was read is in the buffer, and a message stays in its channel.
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

    fn log_disconnected(&self, ended: io::Result<()>) {
        let address = self.address;
        let reason = ended.err().map_or("closed".into(), |error| error.to_string());
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

//! The connections to the list of stores and to the coordinator of the map: made when there is something to ask.

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

/// Whom a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// The list, and with it the directory of extents where there is no coordinator.
    List,
    Keeper,
}

/// The newest run of a coordinator that was heard of. Danger: one that stood still while another took over, and wakes, still
/// says what it knew.
#[derive(Default)]
struct Term(u64);

impl Term {
    fn heard(&mut self, term: u64) -> io::Result<()> {
        if term < self.0 {
            return Err(io::Error::other(format!(
                "a keeper of term {term} answers, {} was heard of",
                self.0
            )));
        }
        self.0 = term;
        Ok(())
    }
}

pub async fn run(
    service: Service,
    address: SocketAddr,
    run: u64,
    connect_timeout: Duration,
    mut from_hub: mpsc::UnboundedReceiver<ToList>,
    to_hub: mpsc::UnboundedSender<LoopEvent>,
) {
    let mut term = Term::default();
    while let Some(first) = from_hub.recv().await {
        let opened = tokio::time::timeout(connect_timeout, open(address, run)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let ended = match opened {
            Ok(stream) => {
                tracing::info!(?service, %address, "linked");
                converse(stream, first, &mut term, &mut from_hub, &to_hub).await
            }
            Err(error) => Err(error),
        };
        if from_hub.is_closed() {
            return;
        }
        let why = ended.err().map_or("closed".into(), |error| error.to_string());
        tracing::warn!(?service, %address, why, "lost");
        // What was asked meanwhile is asked again by whoever still waits for it.
        while from_hub.try_recv().is_ok() {}
        let lost =
            if service == Service::List { Input::ListDisconnected } else { Input::CoordinatorDisconnected };
        if to_hub.send(LoopEvent::Input(lost)).is_err() {
            return;
        }
    }
}

async fn open(address: SocketAddr, run: u64) -> io::Result<Socket> {
    let mut stream = Socket::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&ToList::Hello { run }.frame()).await?;
    Ok(stream)
}

async fn converse(
    stream: Socket,
    first: ToList,
    term: &mut Term,
    from_hub: &mut mpsc::UnboundedReceiver<ToList>,
    to_hub: &mpsc::UnboundedSender<LoopEvent>,
) -> io::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let mut input = BytesMut::new();
    writer.write_all(&first.frame()).await?;
    loop {
        tokio::select! {
            read = reader.read_buf(&mut input) => if read? == 0 {
                return Ok(());
            },
            asked = from_hub.recv() => match asked {
                Some(message) => writer.write_all(&message.frame()).await?,
                None => return Ok(()),
            },
        }
        while let Some(message) = next_frame::<FromList>(&mut input).map_err(io::Error::other)? {
            if let FromList::Welcome { term: heard } = &message {
                term.heard(*heard)?;
            }
            _ = to_hub.send(LoopEvent::Input(Input::FromList(message)));
        }
    }
}

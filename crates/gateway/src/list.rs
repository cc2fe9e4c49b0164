//! The connection to the list of stores and directory of extents: made when there is something to ask.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use umbertray_routing::Input;
use umbertray_store_wire::list::{FromList, ToList};
use umbertray_store_wire::{Message, next_frame};

use crate::hub::ToHub;

pub async fn run(
    address: SocketAddr,
    run: u64,
    connect_timeout: Duration,
    mut from_hub: mpsc::UnboundedReceiver<ToList>,
    to_hub: mpsc::UnboundedSender<ToHub>,
) {
    while let Some(first) = from_hub.recv().await {
        let opened = tokio::time::timeout(connect_timeout, open(address, run)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let ended = match opened {
            Ok(stream) => {
                tracing::info!(%address, "list linked");
                converse(stream, first, &mut from_hub, &to_hub).await
            }
            Err(error) => Err(error),
        };
        if from_hub.is_closed() {
            return;
        }
        let why = ended.err().map_or("closed".into(), |error| error.to_string());
        tracing::warn!(%address, why, "list lost");
        // What was asked meanwhile is asked again by whoever still waits for it.
        while from_hub.try_recv().is_ok() {}
        if to_hub.send(ToHub::Input(Input::ListLost)).is_err() {
            return;
        }
    }
}

async fn open(address: SocketAddr, run: u64) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&ToList::Hello { run }.frame()).await?;
    Ok(stream)
}

async fn converse(
    stream: TcpStream,
    first: ToList,
    from_hub: &mut mpsc::UnboundedReceiver<ToList>,
    to_hub: &mpsc::UnboundedSender<ToHub>,
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
            _ = to_hub.send(ToHub::Input(Input::List(message)));
        }
    }
}

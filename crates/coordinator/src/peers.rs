//! Connections of gateways, and of those who ask for moves.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use umbertray_control_plane::{ConnectionId, Input};
use umbertray_socket::Socket;
use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::{Message, next_frame};

use crate::event_loop::LoopEvent;

/// Connections at most; beyond it none is accepted until one ends.
const MOST: usize = 4096;
/// Answers that a peer has not read yet. A peer that reads none is cut off: its questions come again on its next connection.
const UNREAD: usize = 1 << 16;
/// A peer that has not said who it is by then, or takes no answer for so long, is cut off.
const PATIENCE: Duration = Duration::from_secs(10);

pub async fn accept(listener: TcpListener, to_hub: mpsc::UnboundedSender<LoopEvent>) {
    let mut links = tokio::task::JoinSet::new();
    for number in 0.. {
        while links.len() >= MOST {
            links.join_next().await;
        }
        while links.try_join_next().is_some() {}
        match umbertray_socket::accept(&listener).await {
            Ok((stream, _)) => _ = links.spawn(serve(ConnectionId(number), stream, to_hub.clone())),
            // Out of descriptors, most likely: trying at once would spin.
            Err(error) => {
                tracing::warn!(%error, "no peer accepted");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve(link: ConnectionId, stream: Socket, to_hub: mpsc::UnboundedSender<LoopEvent>) {
    _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    let (to_peer, mut from_hub) = mpsc::channel::<FromList>(UNREAD);
    let writing = async move {
        let mut messages = Vec::new();
        while from_hub.recv_many(&mut messages, 256).await > 0 {
            let mut out = BytesMut::new();
            messages.drain(..).for_each(|message| out.extend_from_slice(&message.frame()));
            if !tokio::time::timeout(PATIENCE, writer.write_all(&out))
                .await
                .is_ok_and(|written| written.is_ok())
            {
                return;
            }
        }
    };
    let to_core = to_hub.clone();
    let reading = async move {
        // Its hub has the one way to the peer from the hello on: a peer that it drops is cut off.
        let (mut input, mut unknown) = (BytesMut::new(), Some(to_peer));
        loop {
            match next_frame::<ToList>(&mut input) {
                Ok(Some(message)) => {
                    let hello = matches!(message, ToList::Hello { .. });
                    if hello != unknown.is_some() {
                        return tracing::warn!(
                            link = link.0,
                            "a peer's first frame, and no other, is its hello"
                        );
                    }
                    if let Some(to_peer) = unknown.take() {
                        _ = to_core.send(LoopEvent::Opened(link, to_peer));
                    }
                    _ = to_core.send(LoopEvent::Input(Input::Request { connection: link, message }));
                }
                Ok(None) => {
                    let read = reader.read_buf(&mut input);
                    let read = match unknown {
                        None => read.await,
                        Some(_) => tokio::time::timeout(PATIENCE, read).await.unwrap_or(Ok(0)),
                    };
                    if !read.is_ok_and(|count| count > 0) {
                        return;
                    }
                }
                Err(error) => return tracing::warn!(link = link.0, %error, "a peer's frame"),
            }
        }
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
    _ = to_hub.send(LoopEvent::Closed(link));
}

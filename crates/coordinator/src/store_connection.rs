//! A connection to a store, which orders go over.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use umbertray_store_protocol::Message;
use umbertray_store_protocol::orders::{Order, OrderReply};
use umbertray_store_protocol::store::{FromStore, ToStore};

use crate::event_loop::LoopEvent;
use crate::framed_socket::FramedSocket;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// An order without an answer by then has failed, and its connection is closed: what is still on its way over it must not be
/// waited for.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// An order, as it is sent.
pub(crate) struct SentOrder {
    pub(crate) token: u64,
    pub(crate) term: u64,
    /// The move that it is part of.
    pub(crate) number: u64,
    pub(crate) order: Order,
}

/// Sends orders one after the other, on a new connection after one that was not answered. Ends when the sender of orders is
/// dropped and all were answered.
pub(crate) async fn run(
    store: SocketAddr,
    run_id: u64,
    mut orders: mpsc::UnboundedReceiver<SentOrder>,
    events: mpsc::UnboundedSender<LoopEvent>,
) {
    let mut socket: Option<FramedSocket> = None;
    while let Some(order) = orders.recv().await {
        let token = order.token;
        // Cancelled by the timeout, it may have sent a part of the order: the socket is dropped then.
        let reply = tokio::time::timeout(ORDER_TIMEOUT, exchange(store, run_id, &mut socket, order));
        let reply = reply.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        if let Err(error) = &reply {
            tracing::info!(%store, %error, "order not answered");
            socket = None;
        }
        if events.send(LoopEvent::OrderFinished { token, reply: reply.ok() }).is_err() {
            return;
        }
    }
}

/// Sends an order and waits for its answer, on a new connection where there is none.
async fn exchange(
    store: SocketAddr,
    run_id: u64,
    socket: &mut Option<FramedSocket>,
    SentOrder { token, term, number, order }: SentOrder,
) -> io::Result<OrderReply> {
    let socket = match socket {
        Some(socket) => socket,
        None => socket.insert(connect(store, &ToStore::Hello { run: run_id }).await?),
    };
    socket.send(&ToStore::Order { token, term, number, order }).await?;
    while let Some(message) = socket.receive().await? {
        if let FromStore::OrderReply { token: answered, reply } = message
            && answered == token
        {
            return Ok(reply);
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// Connects and sends the hello.
pub(crate) async fn connect(address: SocketAddr, hello: &impl Message) -> io::Result<FramedSocket> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, FramedSocket::connect(address)).await;
    let mut socket = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    socket.set_nodelay()?;
    socket.send(hello).await?;
    Ok(socket)
}

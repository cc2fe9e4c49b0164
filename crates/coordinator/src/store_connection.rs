//! A connection to a store, over which orders are sent.

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
/// An order without a reply within this time has failed. Its connection is closed, so that the next order
/// does not wait for bytes that are still in transit on it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// An order to a store, with the fields of its frame.
pub(crate) struct OrderRequest {
    pub(crate) token: u64,
    pub(crate) term: u64,
    /// The number of the move that the order is part of.
    pub(crate) move_number: u64,
    pub(crate) order: Order,
}

/// Sends orders one at a time, each after the reply to the previous one. After an order without a reply the
/// next one uses a new connection. Returns when the order sender is dropped and the queue is empty.
pub(crate) async fn run(
    store: SocketAddr,
    run_id: u64,
    mut orders: mpsc::UnboundedReceiver<OrderRequest>,
    events: mpsc::UnboundedSender<LoopEvent>,
) {
    let mut socket: Option<FramedSocket> = None;
    while let Some(order) = orders.recv().await {
        let token = order.token;
        // An exchange cancelled by the timeout may have sent part of the order: the socket is dropped below.
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

/// Sends an order and waits for its reply; connects first if there is no connection.
async fn exchange(
    store: SocketAddr,
    run_id: u64,
    socket: &mut Option<FramedSocket>,
    OrderRequest { token, term, move_number, order }: OrderRequest,
) -> io::Result<OrderReply> {
    let socket = match socket {
        Some(socket) => socket,
        None => socket.insert(connect(store, &ToStore::Hello { run: run_id }).await?),
    };
    socket.send(&ToStore::Order { token, term, number: move_number, order }).await?;
    while let Some(message) = socket.receive().await? {
        if let FromStore::OrderReply { token: reply_token, reply } = message
            && reply_token == token
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

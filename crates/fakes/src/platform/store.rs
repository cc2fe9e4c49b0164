//! A store that speaks the platform's HTTP and responds as a script decides.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use umbertray_http::Malformed;
use umbertray_http::server::{Request, RequestEvent, RequestReader};

use super::LIMITS;

/// What a store does with a request.
#[derive(Clone, Debug)]
pub enum StoreAction {
    /// Writes these bytes unchanged.
    Write(Vec<u8>),
    /// Writes these bytes after a delay.
    WriteAfter(Duration, Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Closes the connection without a response.
    Close,
    /// Sends no response and keeps the connection open.
    Hold,
}

/// An event at a store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// A complete request was received.
    Request {
        /// Number of the connection, from zero.
        connection: u64,
        /// The request.
        request: Request,
    },
    /// The connection ended.
    Closed {
        /// Number of the connection, from zero.
        connection: u64,
    },
    /// A request was received that the platform's HTTP does not allow. The store closes the connection.
    Malformed {
        /// Number of the connection, from zero.
        connection: u64,
        /// Why it could not be parsed.
        error: Malformed,
    },
}

/// Handle of a running scripted store. Dropping it ends the store and its connections.
pub struct Store {
    /// Address at which the store listens.
    pub address: SocketAddr,
    seen: watch::Receiver<Vec<StoreEvent>>,
    task: JoinHandle<()>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Decides on a request, given the number of earlier requests over all connections.
type Script = Arc<dyn Fn(usize, &Request) -> StoreAction + Send + Sync>;

impl Store {
    /// Starts a store on a loopback port. `script` receives the number of earlier requests, over all
    /// connections, and the request.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(
        script: impl Fn(usize, &Request) -> StoreAction + Send + Sync + 'static,
    ) -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (recorder, seen) = watch::channel(Vec::new());
        let (recorder, script): (_, Script) = (Arc::new(recorder), Arc::new(script));
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            for connection in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                connections.spawn(serve(stream, connection, recorder.clone(), script.clone()));
            }
        });
        Ok(Store { address, seen, task })
    }

    /// All events so far, in order.
    pub fn seen(&self) -> Vec<StoreEvent> {
        self.seen.borrow().clone()
    }

    /// All requests so far, each with the number of its connection.
    pub fn requests(&self) -> Vec<(u64, Request)> {
        let request = |seen: StoreEvent| match seen {
            StoreEvent::Request { connection, request } => Some((connection, request)),
            _ => None,
        };
        self.seen().into_iter().filter_map(request).collect()
    }

    /// Waits until `condition` holds for all events so far.
    pub async fn until(&self, condition: impl FnMut(&Vec<StoreEvent>) -> bool) {
        _ = self.seen.clone().wait_for(condition).await;
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: u64,
    recorder: Arc<watch::Sender<Vec<StoreEvent>>>,
    script: Script,
) {
    let record = |event: StoreEvent| recorder.send_modify(|seen| seen.push(event));
    let mut requests = RequestReader::new(LIMITS);
    loop {
        let request = match requests.next_event() {
            Ok(RequestEvent::Request(request)) => request,
            Ok(_) if matches!(stream.read_buf(&mut requests.bytes).await, Ok(1..)) => continue,
            Ok(_) => break,
            Err(error) => {
                record(StoreEvent::Malformed { connection, error });
                break;
            }
        };
        let earlier_requests =
            recorder.borrow().iter().filter(|seen| matches!(seen, StoreEvent::Request { .. })).count();
        let act = script(earlier_requests, &request);
        record(StoreEvent::Request { connection, request });
        let performed = perform(&act, &mut stream).await;
        if performed.is_err() || matches!(act, StoreAction::WriteAndClose(_) | StoreAction::Close) {
            break;
        }
    }
    drop(stream);
    record(StoreEvent::Closed { connection });
}

async fn perform(act: &StoreAction, stream: &mut TcpStream) -> io::Result<()> {
    match act {
        StoreAction::Write(bytes) | StoreAction::WriteAndClose(bytes) => stream.write_all(bytes).await,
        StoreAction::WriteAfter(delay, bytes) => {
            tokio::time::sleep(*delay).await;
            stream.write_all(bytes).await
        }
        StoreAction::Close | StoreAction::Hold => Ok(()),
    }
}

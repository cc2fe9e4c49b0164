//! One connection to discovery: the whole list, then its watch.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout_at};
use umbertray_http::Limits;
use umbertray_http::client::{self, ResponseReader};
use umbertray_http_api::endpoint_list::{EndpointList, WatchEvent, WatchReader};
use umbertray_http_api::{Input, fields};

use super::FailureCounts;
use super::attempt::AttemptProgress;
use super::error::WatchError;
use crate::backoff::{self, Failures};
use crate::event_loop::EventLoop;

/// Bytes that are read at once, at least.
const READ_SIZE: usize = 4096;

/// What all attempts share.
pub(super) struct WatchState {
    event_loop: Rc<EventLoop>,
    /// The version of the known list, if that is known to be whole.
    known_version: Cell<Option<u64>>,
    /// Whether something came since the last failure.
    has_received: Cell<bool>,
    /// Whether a watch brought it.
    watch_has_received: Cell<bool>,
}

/// When something, and when all of it, has to come.
#[derive(Clone, Copy)]
struct ReadDeadline {
    idle_timeout: Duration,
    transfer_deadline: Instant,
}

impl ReadDeadline {
    /// Of an attempt's response.
    fn for_attempt() -> ReadDeadline {
        let transfer_deadline = Instant::now() + backoff::transfer_timeout();
        ReadDeadline { idle_timeout: backoff::longest_response_timeout(), transfer_deadline }
    }

    /// Of a line of an open watch: only a whole line counts, however many bytes of it come.
    fn for_line() -> ReadDeadline {
        let idle_timeout = backoff::watch_idle_timeout();
        ReadDeadline { idle_timeout, transfer_deadline: Instant::now() + idle_timeout }
    }

    async fn wait<T>(self, done: impl Future<Output = io::Result<T>>) -> Result<io::Result<T>, WatchError> {
        let until = self.transfer_deadline.min(Instant::now() + self.idle_timeout);
        timeout_at(until, done).await.map_err(|_| WatchError::Silent)
    }
}

impl WatchState {
    pub(super) fn new(event_loop: Rc<EventLoop>) -> WatchState {
        WatchState {
            event_loop,
            known_version: Cell::default(),
            has_received: Cell::default(),
            watch_has_received: Cell::default(),
        }
    }

    /// Has the whole list fetched by the next attempt.
    pub(super) fn forget_version(&self) {
        self.known_version.set(None);
    }

    /// The counts, reset where something came.
    pub(super) fn reset_on_success(&self, counts: FailureCounts) -> FailureCounts {
        let reset = |received: bool, failures| if received { Failures::default() } else { failures };
        FailureCounts {
            connection: reset(self.has_received.take(), counts.connection),
            watch: reset(self.watch_has_received.take(), counts.watch),
        }
    }

    /// The counts after one more failure: where something came before it, it is not counted.
    pub(super) fn count_failure(&self, counts: FailureCounts) -> FailureCounts {
        let has_received = self.has_received.get();
        let watch_has_received = self.watch_has_received.get();
        let counts = self.reset_on_success(counts);
        let count =
            |received: bool, failures: Failures| if received { failures } else { failures.plus_one() };
        FailureCounts {
            connection: count(has_received, counts.connection),
            watch: count(watch_has_received, counts.watch),
        }
    }

    /// Connects, fetches the whole list unless it is known, and follows its changes until the connection ends.
    pub(super) async fn run<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        connect: &impl AsyncFn(SocketAddr) -> io::Result<S>,
        address: SocketAddr,
        progress: &AttemptProgress,
    ) -> Result<(), WatchError> {
        let mut deadline = ReadDeadline::for_attempt();
        let mut stream = deadline.wait(connect(address)).await?.map_err(WatchError::Connect)?;
        let host = address.to_string();
        if self.known_version.get().is_none() {
            self.fetch_list(&mut stream, &host, deadline, progress).await?;
            deadline = ReadDeadline::for_attempt();
            progress.on_list();
        }
        self.follow_changes(&mut stream, &host, deadline, progress).await
    }

    async fn fetch_list<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        host: &str,
        deadline: ReadDeadline,
        progress: &AttemptProgress,
    ) -> Result<(), WatchError> {
        send_request(stream, fields::ENDPOINT_LIST, host, deadline).await?;
        let limits = self.event_loop.limits();
        let mut reader = ResponseReader::new(Limits { body: limits.endpoint_list, ..limits.http });
        let response = loop {
            if let Some(response) = reader.response()? {
                break response;
            }
            read_some(stream, &mut reader, deadline, progress).await?;
        };
        if response.head.status != 200 {
            return Err(WatchError::Status(response.head.status));
        }
        self.apply(EndpointList::read(&response.body)?)
    }

    async fn follow_changes<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        host: &str,
        mut deadline: ReadDeadline,
        progress: &AttemptProgress,
    ) -> Result<(), WatchError> {
        let target = fields::watch(self.known_version.get().unwrap_or_default());
        send_request(stream, &target, host, deadline).await?;
        let limits = self.event_loop.limits();
        let mut reader = ResponseReader::new(Limits { body: usize::MAX, ..limits.http });
        let mut events = WatchReader::new(limits.endpoint_list);
        let mut is_open = false;
        loop {
            if let Some(head) = reader.head()?
                && head.status != 200
            {
                return Err(WatchError::Status(head.status));
            }
            let had_partial_event = !events.bytes.is_empty();
            let has_ended = reader.stream(&mut events.bytes)?;
            let has_event = self.take_events(&mut events)?;
            if has_ended {
                return Ok(());
            }
            if has_event {
                is_open = true;
                progress.on_watch_event();
            }
            let event_begins = is_open && !had_partial_event && !events.bytes.is_empty();
            if has_event || event_begins {
                deadline = ReadDeadline::for_line();
            }
            read_some(stream, &mut reader, deadline, progress).await?;
        }
    }

    /// Takes the events that are whole; true if there were any.
    fn take_events(&self, events: &mut WatchReader) -> Result<bool, WatchError> {
        let mut has_event = false;
        while let Some(event) = events.next_event()? {
            self.has_received.set(true);
            if let WatchEvent::List(list) = event {
                self.apply(list)?;
            }
            self.watch_has_received.set(true);
            has_event = true;
        }
        Ok(has_event)
    }

    /// Hands a list to the core.
    ///
    /// Hazard: an older version must not bring back stores that are gone.
    fn apply(&self, list: EndpointList) -> Result<(), WatchError> {
        if let Some(known) = self.known_version.get().filter(|known| list.version < *known) {
            return Err(WatchError::OlderVersion { known, received: list.version });
        }
        self.known_version.set(Some(list.version));
        self.has_received.set(true);
        for store in &list.stores {
            let uid = &store.uid;
            let shard = store.shard;
            let state = store.state;
            tracing::debug!(version = list.version, uid, shard, ?state, started = ?store.started, "store listed");
        }
        self.event_loop.post(Input::EndpointList(list));
        Ok(())
    }
}

async fn send_request(
    stream: &mut (impl AsyncWrite + Unpin),
    target: &str,
    host: &str,
    deadline: ReadDeadline,
) -> Result<(), WatchError> {
    let bytes = client::request("GET", target, host, &[], b"");
    deadline.wait(stream.write_all(&bytes)).await?.map_err(WatchError::ConnectionLost)
}

async fn read_some(
    stream: &mut (impl AsyncRead + Unpin),
    reader: &mut ResponseReader,
    deadline: ReadDeadline,
    progress: &AttemptProgress,
) -> Result<(), WatchError> {
    reader.bytes.reserve(READ_SIZE);
    match deadline.wait(stream.read_buf(&mut reader.bytes)).await? {
        Ok(0) => Err(WatchError::Ended),
        Ok(_) => {
            progress.on_bytes();
            Ok(())
        }
        Err(error) => Err(WatchError::ConnectionLost(error)),
    }
}

//! One connection to discovery: fetches the complete list, then follows the watch.

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
use umbertray_http_api::{Input, protocol};

use super::FailureCounts;
use super::attempt::AttemptProgress;
use super::error::WatchError;
use crate::backoff::{self, ConsecutiveFailures};
use crate::event_loop::EventLoop;

/// Minimum buffer capacity for each read, in bytes.
const READ_SIZE: usize = 4096;

/// State shared by all attempts.
pub(super) struct WatchState {
    event_loop: Rc<EventLoop>,
    /// The version of the known list; `None` if the complete list has to be fetched.
    known_version: Cell<Option<u64>>,
    /// Whether anything was received since the last failure.
    has_received: Cell<bool>,
    /// Whether anything was received on a watch since the last failure.
    watch_has_received: Cell<bool>,
    /// Since when attempts have failed and nothing was received.
    stale_since: Cell<Option<Instant>>,
}

/// Deadlines for the next bytes and for the complete transfer.
#[derive(Clone, Copy)]
struct ReadDeadline {
    idle_timeout: Duration,
    transfer_deadline: Instant,
}

impl ReadDeadline {
    /// Deadlines for the response of an attempt.
    fn for_attempt() -> ReadDeadline {
        let transfer_deadline = Instant::now() + backoff::transfer_timeout();
        ReadDeadline { idle_timeout: backoff::longest_response_timeout(), transfer_deadline }
    }

    /// Deadlines for a line of an open watch. Only a complete line counts, regardless of the bytes received.
    fn for_line() -> ReadDeadline {
        let idle_timeout = backoff::watch_idle_timeout();
        ReadDeadline { idle_timeout, transfer_deadline: Instant::now() + idle_timeout }
    }

    async fn wait<T>(self, future: impl Future<Output = io::Result<T>>) -> Result<io::Result<T>, WatchError> {
        let deadline = self.transfer_deadline.min(Instant::now() + self.idle_timeout);
        timeout_at(deadline, future).await.map_err(|_| WatchError::Silent)
    }
}

impl WatchState {
    pub(super) fn new(event_loop: Rc<EventLoop>) -> WatchState {
        WatchState {
            event_loop,
            known_version: Cell::default(),
            has_received: Cell::default(),
            watch_has_received: Cell::default(),
            stale_since: Cell::default(),
        }
    }

    /// Records that an attempt failed.
    pub(super) fn mark_stale(&self) {
        self.stale_since.set(self.stale_since.get().or(Some(Instant::now())));
    }

    /// How long attempts have failed without anything being received.
    pub(super) fn stale_for(&self) -> Duration {
        self.stale_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Records that a complete list or line was received.
    fn mark_current(&self) {
        if let Some(since) = self.stale_since.take() {
            let version = self.known_version.get();
            tracing::info!(version, stale_for = ?since.elapsed(), "endpoint list current");
        }
    }

    /// Makes the next attempt fetch the complete list.
    pub(super) fn forget_version(&self) {
        self.known_version.set(None);
    }

    /// Returns the failure counts, reset if something was received.
    pub(super) fn reset_on_success(&self, counts: FailureCounts) -> FailureCounts {
        let reset =
            |received: bool, failures| if received { ConsecutiveFailures::default() } else { failures };
        FailureCounts {
            connection: reset(self.has_received.take(), counts.connection),
            watch: reset(self.watch_has_received.take(), counts.watch),
        }
    }

    /// Returns the counts after one more failure. The failure is not counted if something was received before
    /// it.
    pub(super) fn count_failure(&self, counts: FailureCounts) -> FailureCounts {
        let has_received = self.has_received.get();
        let watch_has_received = self.watch_has_received.get();
        let counts = self.reset_on_success(counts);
        let count = |received: bool, failures: ConsecutiveFailures| {
            if received { failures } else { failures.plus_one() }
        };
        FailureCounts {
            connection: count(has_received, counts.connection),
            watch: count(watch_has_received, counts.watch),
        }
    }

    /// Connects, fetches the complete list unless it is known, and follows its changes until the connection
    /// ends.
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
            self.mark_current();
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
        send_request(stream, protocol::ENDPOINT_LIST, host, deadline).await?;
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
        self.apply(EndpointList::parse(&response.body)?)
    }

    async fn follow_changes<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        host: &str,
        mut deadline: ReadDeadline,
        progress: &AttemptProgress,
    ) -> Result<(), WatchError> {
        let target = protocol::watch(self.known_version.get().unwrap_or_default());
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
            let has_ended = reader.read_body(&mut events.bytes)?;
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

    /// Processes the complete events. Returns whether there were any.
    fn take_events(&self, events: &mut WatchReader) -> Result<bool, WatchError> {
        let mut has_event = false;
        while let Some(event) = events.next_event()? {
            self.has_received.set(true);
            if let WatchEvent::List(list) = event {
                self.apply(list)?;
            }
            self.mark_current();
            self.watch_has_received.set(true);
            has_event = true;
        }
        Ok(has_event)
    }

    /// Passes a list to the core.
    ///
    /// Hazard: an older version must not restore stores that are gone.
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
            tracing::debug!(
                version = list.version, uid, shard, ?state, started = ?store.started, "store listed"
            );
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

//! Attempts to fetch and watch the endpoint list. A slow attempt may continue alongside the next one.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::error::WatchError;
use super::transfer::WatchState;
use crate::backoff::ConsecutiveFailures;

/// One connection to discovery, including the connect.
pub(super) struct Attempt<'a> {
    progress: Rc<AttemptProgress>,
    run: Pin<Box<dyn Future<Output = WatchError> + 'a>>,
}

/// Progress of an attempt.
pub(super) struct AttemptProgress {
    /// When the next response has to be complete. `None` once the watch is open, which has its own timeouts.
    deadline: Cell<Option<Instant>>,
    /// Whether part of the next response has been received.
    is_receiving: Cell<bool>,
    /// Notified when a list or a watch event has been received completely.
    completed: Notify,
}

/// An event in the course of an attempt.
pub(super) enum AttemptEvent {
    /// A list or a watch event was received completely.
    Received,
    /// The response was not complete by its deadline.
    TimedOut,
    /// The attempt ended.
    Failed(WatchError),
}

impl<'a> Attempt<'a> {
    pub(super) fn new<S: AsyncRead + AsyncWrite + Unpin + 'a>(
        state: &'a WatchState,
        connect: &'a impl AsyncFn(SocketAddr) -> io::Result<S>,
        address: SocketAddr,
        failures: ConsecutiveFailures,
    ) -> Attempt<'a> {
        let progress = Rc::new(AttemptProgress::new(failures));
        let own_progress = progress.clone();
        let run = async move {
            let ended = state.run(connect, address, &own_progress).await;
            ended.err().unwrap_or(WatchError::Ended)
        };
        Attempt { progress, run: Box::pin(run) }
    }

    /// The next event of the attempt. Cancel safe.
    async fn next_event(&mut self) -> AttemptEvent {
        let progress = self.progress.clone();
        tokio::select! {
            biased; // A response that arrives by its deadline is in time.
            event = self.failed_or_received() => event,
            () = progress.timed_out() => AttemptEvent::TimedOut,
        }
    }

    async fn failed_or_received(&mut self) -> AttemptEvent {
        tokio::select! {
            biased;
            error = &mut self.run => AttemptEvent::Failed(error),
            () = self.progress.completed.notified() => AttemptEvent::Received,
        }
    }
}

impl AttemptProgress {
    fn new(failures: ConsecutiveFailures) -> AttemptProgress {
        let progress = AttemptProgress {
            deadline: Cell::default(),
            is_receiving: Cell::default(),
            completed: Notify::new(),
        };
        progress.restart(failures);
        progress
    }

    /// Restarts the progress because the next response has been requested.
    fn restart(&self, failures: ConsecutiveFailures) {
        self.deadline.set(Some(Instant::now() + failures.response_timeout()));
        self.is_receiving.set(false);
    }

    /// Records that bytes were received.
    pub(super) fn on_bytes(&self) {
        self.is_receiving.set(true);
    }

    /// Records that the complete list was received; the watch is requested next.
    pub(super) fn on_list(&self) {
        self.restart(ConsecutiveFailures::default());
        self.completed.notify_waiters();
    }

    /// Records that a watch event was received: the watch is open.
    pub(super) fn on_watch_event(&self) {
        self.deadline.set(None);
        self.completed.notify_waiters();
    }

    async fn timed_out(&self) {
        while let Some(deadline) = self.deadline.get() {
            if deadline <= Instant::now() {
                return;
            }
            sleep_until(deadline).await;
        }
        pending::<()>().await;
    }
}

/// Waits for a future while a slow attempt continues. If the slow attempt receives something first, it
/// becomes the next attempt. Cancel safe, except for the future itself.
pub(super) async fn wait_or_promote_slow<'a, T>(
    slow: &mut Option<Attempt<'a>>,
    next: &mut Option<Attempt<'a>>,
    future: impl Future<Output = T>,
) {
    if wait_alongside_slow(slow, future).await.is_none() {
        *next = slow.take();
    }
}

/// Waits for a future while a slow attempt continues. Returns `None` if the slow attempt receives something
/// first. Cancel safe, except for the future itself.
async fn wait_alongside_slow<T>(
    slow: &mut Option<Attempt<'_>>,
    future: impl Future<Output = T>,
) -> Option<T> {
    let mut future = pin!(future);
    while let Some(attempt) = slow {
        tokio::select! {
            biased;
            value = &mut future => return Some(value),
            event = attempt.failed_or_received() => match event {
                AttemptEvent::Failed(_) => *slow = None,
                AttemptEvent::Received | AttemptEvent::TimedOut => return None,
            },
        }
    }
    Some(future.await)
}

/// Runs an attempt until it fails.
///
/// Hazard: while a list arrives slowly, the changes after it are delayed by its full transfer time. An
/// attempt that times out while it is receiving bytes therefore continues alongside the next attempts, and
/// the first of them that receives something complete is kept.
pub(super) async fn until_failed<'a>(mut attempt: Attempt<'a>, slow: &mut Option<Attempt<'a>>) -> WatchError {
    loop {
        match wait_alongside_slow(slow, attempt.next_event()).await {
            None => attempt = slow.take().unwrap_or(attempt),
            Some(AttemptEvent::Received) => *slow = None,
            Some(AttemptEvent::Failed(error)) => return error,
            Some(AttemptEvent::TimedOut) => {
                if attempt.progress.is_receiving.get() {
                    slow.get_or_insert(attempt);
                }
                return WatchError::Silent;
            }
        }
    }
}

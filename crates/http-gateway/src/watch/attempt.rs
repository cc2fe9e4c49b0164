//! Attempts to fetch and watch the endpoint list, of which a slow one may go on beside the next.

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
use crate::backoff::Failures;

/// One connection to discovery, from the connect on.
pub(super) struct Attempt<'a> {
    progress: Rc<AttemptProgress>,
    run: Pin<Box<dyn Future<Output = WatchError> + 'a>>,
}

/// How far an attempt has come.
pub(super) struct AttemptProgress {
    /// When its next response has to be whole; absent once its watch is open, which has timeouts of its own.
    deadline: Cell<Option<Instant>>,
    /// Whether some of that response has come.
    is_receiving: Cell<bool>,
    /// Notified when something has come whole.
    completed: Notify,
}

/// What an attempt has come to.
pub(super) enum AttemptEvent {
    /// Something has come whole.
    Received,
    /// The response is not whole at its deadline.
    TimedOut,
    /// The attempt has ended.
    Failed(WatchError),
}

impl<'a> Attempt<'a> {
    pub(super) fn new<S: AsyncRead + AsyncWrite + Unpin + 'a>(
        state: &'a WatchState,
        connect: &'a impl AsyncFn(SocketAddr) -> io::Result<S>,
        address: SocketAddr,
        failures: Failures,
    ) -> Attempt<'a> {
        let progress = Rc::new(AttemptProgress::new(failures));
        let own_progress = progress.clone();
        let run = async move {
            let ended = state.run(connect, address, &own_progress).await;
            ended.err().unwrap_or(WatchError::Ended)
        };
        Attempt { progress, run: Box::pin(run) }
    }

    /// What the attempt comes to next. Cancel safe.
    async fn next_event(&mut self) -> AttemptEvent {
        let progress = self.progress.clone();
        tokio::select! {
            biased; // What has come by its deadline is in time.
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
    fn new(failures: Failures) -> AttemptProgress {
        let progress = AttemptProgress {
            deadline: Cell::default(),
            is_receiving: Cell::default(),
            completed: Notify::new(),
        };
        progress.restart(failures);
        progress
    }

    /// The next response is requested.
    fn restart(&self, failures: Failures) {
        self.deadline.set(Some(Instant::now() + failures.response_timeout()));
        self.is_receiving.set(false);
    }

    /// Some bytes have come.
    pub(super) fn on_bytes(&self) {
        self.is_receiving.set(true);
    }

    /// The whole list has come; the watch is requested next.
    pub(super) fn on_list(&self) {
        self.restart(Failures::default());
        self.completed.notify_waiters();
    }

    /// An event of the watch has come: it is open.
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

/// Waits for a future while a slow attempt goes on, which becomes the next if it receives something first. Cancel safe but
/// for the future itself.
pub(super) async fn wait_beside<'a, T>(
    slow: &mut Option<Attempt<'a>>,
    next: &mut Option<Attempt<'a>>,
    future: impl Future<Output = T>,
) {
    if while_continuing(slow, future).await.is_none() {
        *next = slow.take();
    }
}

/// Waits for a future while a slow attempt goes on; returns nothing if that attempt receives something first. Cancel safe but
/// for the future itself.
async fn while_continuing<T>(slow: &mut Option<Attempt<'_>>, future: impl Future<Output = T>) -> Option<T> {
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
/// Hazard: what comes by way of a list that trickles may come late by all the list's time. An attempt that is late while
/// bytes come goes on beside the next ones; the first of them to receive something whole is the one that stays.
pub(super) async fn until_failed<'a>(mut attempt: Attempt<'a>, slow: &mut Option<Attempt<'a>>) -> WatchError {
    loop {
        match while_continuing(slow, attempt.next_event()).await {
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

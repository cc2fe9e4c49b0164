//! A discovery that is down for some time, in memory.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::pending;
use std::io;
use std::rc::Rc;

use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::scripted_discovery::{Behavior, list, request, response, send_heartbeats};

/// The version of the list until the end of the outage.
const FIRST_VERSION: u64 = 1;
/// The version of the list from the end of the outage on.
pub(super) const CHANGED_VERSION: u64 = 2;

/// How a call of discovery fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallFailure {
    /// The call is answered when the outage ends.
    Held,
    /// The call is accepted and never answered.
    Lost,
    /// The connection never comes up.
    Stalled,
    /// The connection is refused.
    Refused,
    /// The connection is closed at once.
    Closed,
}

pub(super) const CALL_FAILURES: [CallFailure; 5] =
    [CallFailure::Held, CallFailure::Lost, CallFailure::Stalled, CallFailure::Refused, CallFailure::Closed];

impl CallFailure {
    /// Whether open watches are closed when the outage starts; otherwise they fall silent.
    fn closes_watches(self) -> bool {
        matches!(self, CallFailure::Refused | CallFailure::Closed)
    }
}

/// Discovery, and the calls that it has received.
pub(super) struct FailingDiscovery {
    pub(super) failure: CallFailure,
    pub(super) failures_after: RefCell<VecDeque<CallFailure>>,
    pub(super) starts_at: Instant,
    pub(super) ends_at: Instant,
    pub(super) calls: RefCell<Vec<Instant>>,
}

impl FailingDiscovery {
    fn is_down(&self) -> bool {
        (self.starts_at..self.ends_at).contains(&Instant::now())
    }

    /// How a call that begins now fails.
    fn failure(&self) -> Option<CallFailure> {
        if self.is_down() {
            return Some(self.failure);
        }
        let is_over = Instant::now() >= self.ends_at;
        is_over.then(|| self.failures_after.borrow_mut().pop_front()).flatten()
    }

    fn list(&self) -> String {
        let is_changed = Instant::now() >= self.ends_at;
        list(Behavior::ListThenHeartbeats(if is_changed { CHANGED_VERSION } else { FIRST_VERSION }))
    }

    pub(super) async fn connect(self: Rc<FailingDiscovery>) -> io::Result<DuplexStream> {
        self.calls.borrow_mut().push(Instant::now());
        let failure = self.failure();
        match failure {
            Some(CallFailure::Stalled) => return pending().await,
            Some(CallFailure::Refused) => return Err(io::ErrorKind::ConnectionRefused.into()),
            _ => {}
        }
        let (client, mut server) = tokio::io::duplex(1 << 20);
        spawn_local(async move {
            if failure != Some(CallFailure::Closed) {
                _ = self.serve(&mut server, failure).await;
            }
        });
        Ok(client)
    }

    async fn serve(&self, stream: &mut DuplexStream, failure: Option<CallFailure>) -> io::Result<()> {
        loop {
            let is_watch = request(stream).await?.contains("watch=1");
            match failure {
                Some(CallFailure::Lost) => return pending().await,
                Some(_) => sleep_until(self.ends_at).await,
                None => {}
            }
            stream.write_all(response(is_watch, &self.list()).as_bytes()).await?;
            if is_watch {
                return self.keep_watch_open(stream).await;
            }
        }
    }

    /// Sends heartbeats until the outage breaks the watch.
    async fn keep_watch_open(&self, stream: &mut DuplexStream) -> io::Result<()> {
        let breaks = async {
            if Instant::now() >= self.starts_at {
                return pending().await;
            }
            sleep_until(self.starts_at).await;
        };
        tokio::select! {
            biased;
            () = breaks => {}
            ended = send_heartbeats(stream) => return ended,
        }
        if self.failure.closes_watches() { Ok(()) } else { pending().await }
    }
}

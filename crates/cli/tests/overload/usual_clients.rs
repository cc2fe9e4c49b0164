//! Clients that send one request at a time, each on a connection that it keeps. One of them writes large
//! bodies.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::bad_clients::head;
use crate::common::{ClientConnection, op};

/// Number of clients, which together have few requests open.
const CLIENTS: u64 = 8;
/// Time between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(10);
/// How long a client waits for a response.
const TIME_LEFT: Duration = Duration::from_millis(2000);
/// Length of a large body.
const LARGE_BODY: usize = 40_000;
/// The ids of usual clients start here; those of bad ones are smaller.
pub(crate) const FIRST_USUAL_ID: u64 = 1 << 60;

/// What usual clients got.
#[derive(Default)]
pub(crate) struct Outcomes {
    /// Number of requests by status; 0 stands for a connection that was closed without a response.
    by_status: BTreeMap<u16, usize>,
    latencies: Vec<Duration>,
}

impl Outcomes {
    fn record(&mut self, status: u16, latency: Duration) {
        *self.by_status.entry(status).or_default() += 1;
        self.latencies.push(latency);
    }

    fn merge(mut self, other: Outcomes) -> Outcomes {
        for (status, count) in other.by_status {
            *self.by_status.entry(status).or_default() += count;
        }
        self.latencies.extend(other.latencies);
        self
    }

    fn longest(&self) -> Duration {
        self.latencies.iter().max().copied().unwrap_or_default()
    }

    /// Whether there were requests, and each was served or rejected before its client stopped waiting.
    pub(crate) fn all_answered_in_time(&self) -> bool {
        let is_answer = |status: &u16| [200, 503].contains(status);
        self.by_status.contains_key(&200)
            && self.by_status.keys().all(is_answer)
            && self.longest() < TIME_LEFT
    }

    /// Whether there were requests, and each was served before its client stopped waiting.
    pub(crate) fn all_served_in_time(&self) -> bool {
        self.by_status.keys().eq([&200]) && self.longest() < TIME_LEFT
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
        write!(formatter, "{:?}, median {median:?}, longest {:?}", self.by_status, self.longest())
    }
}

/// Running usual clients.
pub(crate) struct UsualClients {
    clients: JoinSet<Outcomes>,
    stop: watch::Sender<bool>,
}

impl UsualClients {
    /// Starts the clients, and returns once each was served once.
    pub(crate) async fn start(address: SocketAddr) -> UsualClients {
        let stop = watch::channel(false).0;
        let mut clients = JoinSet::new();
        for client in 0..CLIENTS {
            let mut connection = ClientConnection::connect(address).await;
            let first_id = FIRST_USUAL_ID + (client << 32);
            let first = connection.request(&op("look", 0, first_id, TIME_LEFT.as_millis() as u64)).await;
            assert_eq!(first.0, 200, "before the load");
            clients.spawn(run(address, connection, first_id, stop.subscribe()));
        }
        UsualClients { clients, stop }
    }

    /// Lets each client end its open request.
    pub(crate) async fn stop(self) -> Outcomes {
        self.stop.send_replace(true);
        self.clients.join_all().await.into_iter().fold(Outcomes::default(), Outcomes::merge)
    }
}

/// The next request of the client whose first id this is.
fn request(first_id: u64, id: u64) -> Vec<u8> {
    let time_left = TIME_LEFT.as_millis() as u64;
    if first_id == FIRST_USUAL_ID {
        return [head(id, LARGE_BODY), vec![b'x'; LARGE_BODY]].concat();
    }
    let op_type = if id.is_multiple_of(2) { "look" } else { "order" };
    op(op_type, 0, id, time_left)
}

async fn run(
    address: SocketAddr,
    mut connection: ClientConnection,
    first_id: u64,
    stop: watch::Receiver<bool>,
) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut id = first_id;
    while !*stop.borrow() {
        id += 1;
        let sent_at = Instant::now();
        connection.write(&request(first_id, id)).await;
        let response = tokio::time::timeout(2 * TIME_LEFT, connection.response()).await.ok().flatten();
        outcomes.record(response.as_ref().map_or(0, |response| response.head.status), sent_at.elapsed());
        if response.is_none_or(|response| !response.head.persists) {
            connection = ClientConnection::connect(address).await;
        }
        tokio::time::sleep(INTERVAL).await;
    }
    outcomes
}

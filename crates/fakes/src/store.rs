//! A scripted store on a loopback socket.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use umbertray_store_protocol::orders::OrderReply;
use umbertray_store_protocol::store::{
    AttemptResult, DataRange, FromStore, OperationKind, ResultCode, ToStore,
};
use umbertray_store_protocol::{Message, next_frame};

use crate::book::{Book, Seen};
use crate::medium::{Applied, Medium};
use crate::model::{Fault, Job, Met, Model, Power};
use crate::traffic::Traffic;

/// How often an op is looked at that knows of a move before the store does.
const EARLY: Duration = Duration::from_millis(1);
/// Read data goes out in chunks of this size.
const CHUNK: usize = 64 * 1024;

/// Who a store is; the same over its restarts.
#[derive(Clone)]
pub struct Identity {
    /// Id of the store.
    pub store: u64,
    /// Shard that it serves.
    pub shard: u32,
    /// Its capacity.
    pub power: Power,
    /// The shard's data, shared with the store that replaces this one.
    pub medium: Arc<Mutex<Medium>>,
    /// Where its events are recorded.
    pub book: Book,
    /// Seed of its random choices.
    pub seed: u64,
}

enum Out {
    Message(FromStore),
    /// All before it has been written.
    Written(oneshot::Sender<()>),
    /// The connection ends here.
    Cut,
}

enum ToStoreTask {
    Opened(u64, u64, mpsc::UnboundedSender<Out>),
    Frame(u64, ToStore),
    Closed(u64),
    Fault(Fault),
    Pause(Duration),
    /// Ends all connections; what came over them is worked on all the same.
    Cut,
    /// Ends it after so many more data chunks, in the midst of a read.
    DieAfterChunks(u32),
}

/// A store at work; dropping it ends it as a kill would.
pub struct Running {
    /// Where the store listens.
    pub address: SocketAddr,
    /// Of all its links.
    pub traffic: Arc<Traffic>,
    to_task: mpsc::UnboundedSender<ToStoreTask>,
    tasks: [JoinHandle<()>; 2],
    identity: Identity,
}

impl Running {
    /// Sets its faults.
    pub fn fault(&self, fault: Fault) {
        _ = self.to_task.send(ToStoreTask::Fault(fault));
    }

    /// Stops work for this long.
    pub fn pause(&self, length: Duration) {
        _ = self.to_task.send(ToStoreTask::Pause(length));
    }

    /// Ends all connections; what came over them is worked on all the same.
    pub fn cut_links(&self) {
        _ = self.to_task.send(ToStoreTask::Cut);
    }

    /// Ends the store after so many more data chunks, in the midst of a read.
    pub fn die_after_chunks(&self, chunks: u32) {
        _ = self.to_task.send(ToStoreTask::DieAfterChunks(chunks));
    }

    /// It has fallen or died by its script.
    pub fn is_down(&self) -> bool {
        self.tasks[0].is_finished()
    }

    /// Ends it as a kill would, and returns when its sockets are closed.
    pub async fn kill(mut self) -> Identity {
        let identity = self.identity.clone();
        self.tasks.iter().for_each(JoinHandle::abort);
        for task in &mut self.tasks {
            _ = task.await;
        }
        identity
    }

    /// Who the store is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Starts a store; port 0 lets the system choose.
///
/// # Errors
/// Fails when the address can not be bound.
pub async fn start(identity: Identity, address: SocketAddr, cold: bool) -> io::Result<Running> {
    let listener = bind(address).await?;
    let address = listener.local_addr()?;
    let (to_task, from_all) = mpsc::unbounded_channel();
    let units_a_second = identity.power.units_a_second();
    identity.book.write(identity.store, Seen::Up { units_a_second, cold });
    let task = Task::new(identity.clone(), cold);
    let traffic: Arc<Traffic> = Arc::default();
    let links = tokio::spawn(accept(listener, to_task.clone(), traffic.clone()));
    let closing = links.abort_handle();
    let main = tokio::spawn(async move {
        task.run(from_all).await;
        closing.abort();
    });
    Ok(Running { address, traffic, to_task, tasks: [main, links], identity })
}

/// A port that was in use a moment ago by the store's former life is waited for.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

async fn accept(listener: TcpListener, to_task: mpsc::UnboundedSender<ToStoreTask>, traffic: Arc<Traffic>) {
    let mut links = tokio::task::JoinSet::new();
    for link in 0.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        links.spawn(serve(link, stream, to_task.clone(), traffic.clone()));
    }
}

async fn serve(
    link: u64,
    stream: TcpStream,
    to_task: mpsc::UnboundedSender<ToStoreTask>,
    traffic: Arc<Traffic>,
) {
    _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    let (to_link, mut from_task) = mpsc::unbounded_channel::<Out>();
    let counted = traffic.clone();
    let writing = async move {
        let mut messages = Vec::new();
        while from_task.recv_many(&mut messages, 64).await > 0 {
            let (mut out, mut told) = (BytesMut::new(), Vec::new());
            let frames = messages.iter().filter(|message| matches!(message, Out::Message(_))).count();
            for message in messages.drain(..) {
                match message {
                    Out::Message(message) => out.extend_from_slice(&message.frame()),
                    Out::Written(tell) => told.push(tell),
                    Out::Cut => return,
                }
            }
            if writer.write_all(&out).await.is_err() {
                return;
            }
            counted.wrote(out.len(), frames);
            told.into_iter().for_each(|tell| _ = tell.send(()));
        }
    };
    let to_reader = to_task.clone();
    let reading = async move {
        let mut input = BytesMut::new();
        loop {
            match next_frame::<ToStore>(&mut input) {
                Ok(Some(ToStore::Hello { run })) => {
                    _ = to_reader.send(ToStoreTask::Opened(link, run, to_link.clone()));
                }
                Ok(Some(message)) => _ = to_reader.send(ToStoreTask::Frame(link, message)),
                Ok(None) => {
                    input.reserve(CHUNK);
                    let read = reader.read_buf(&mut input).await.ok();
                    let Some(count) = read.filter(|count| *count > 0) else { return };
                    traffic.read(count);
                }
                Err(error) => return tracing::warn!(%error, "store: bad frame"),
            }
        }
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
    _ = to_task.send(ToStoreTask::Closed(link));
}

/// The store's process: its end, however it comes, is written down once.
struct Task {
    identity: Identity,
    model: Model,
    began: Instant,
    /// The store's own clock starts anywhere.
    offset: u64,
    links: HashMap<u64, (u64, mpsc::UnboundedSender<Out>)>,
    chance: StdRng,
    chunks_to_live: Option<u32>,
    down: bool,
}

impl Drop for Task {
    fn drop(&mut self) {
        self.identity.book.write(self.identity.store, Seen::Down);
    }
}

impl Task {
    fn new(identity: Identity, cold: bool) -> Task {
        let mut chance = StdRng::seed_from_u64(identity.seed ^ identity.store);
        Task {
            model: Model::new(identity.power.clone(), Duration::ZERO, cold),
            began: Instant::now(),
            offset: chance.random_range(0..1 << 40),
            links: HashMap::new(),
            chance,
            chunks_to_live: None,
            down: false,
            identity,
        }
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn clock(&self) -> u64 {
        self.offset + self.now().as_micros() as u64
    }

    async fn run(mut self, mut from_all: mpsc::UnboundedReceiver<ToStoreTask>) {
        while !self.down {
            let next = self.model.next().map(|at| tokio::time::Instant::from_std(self.began + at));
            let wait = async {
                match next {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                message = from_all.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = wait => {}
            }
            self.advance();
        }
        // One that dies in the midst of a read has sent what it read so far.
        for (_, sender) in self.links.values().filter(|_| self.chunks_to_live == Some(0)) {
            let (tell, written) = oneshot::channel();
            _ = sender.send(Out::Written(tell));
            _ = tokio::time::timeout(Duration::from_secs(1), written).await;
        }
    }

    fn take(&mut self, message: ToStoreTask) {
        match message {
            ToStoreTask::Opened(link, run, sender) => {
                if !self.model.fault.mute {
                    let (store, shard, clock) = (self.identity.store, self.identity.shard, self.clock());
                    _ = sender.send(Out::Message(FromStore::Welcome { store, shard, clock }));
                }
                self.links.insert(link, (run, sender));
            }
            ToStoreTask::Frame(link, message) => self.heard(link, message),
            ToStoreTask::Closed(link) => _ = self.links.remove(&link),
            ToStoreTask::Fault(fault) => self.model.fault = fault,
            ToStoreTask::Pause(length) => {
                let now = self.now();
                self.model.pause(now, length);
            }
            ToStoreTask::Cut => {
                self.links.drain().for_each(|(_, (_, sender))| _ = sender.send(Out::Cut));
            }
            ToStoreTask::DieAfterChunks(chunks) => self.chunks_to_live = Some(chunks),
        }
    }

    fn heard(&mut self, link: u64, message: ToStore) {
        let Some((run, _)) = self.links.get(&link) else { return };
        let (run, now, clock) = (*run, self.now(), self.clock());
        match message {
            ToStore::Hello { .. } => {}
            ToStore::Attempt(dispatch) => {
                self.identity.book.write(self.identity.store, received(run, &dispatch));
                if let Ok(mut medium) = self.identity.medium.lock() {
                    medium.void(run, &dispatch);
                }
                let number = dispatch.number;
                let job = Job { link, run, dispatch, arrived: now };
                if self.chance.random_bool(self.model.fault.errors) {
                    return self.answer(&job, ResultCode::Failed, Vec::new());
                }
                match self.model.arrive(now, job) {
                    Met::Queued => {}
                    Met::Full(job) => self.answer(&job, ResultCode::Rejected, Vec::new()),
                    Met::Fell => {
                        tracing::warn!(store = self.identity.store, number, "store pushed over");
                        self.identity.book.write(self.identity.store, Seen::Fell);
                        self.down = true;
                    }
                }
            }
            ToStore::Cancel { number } => {
                if let Some(job) = self.model.cancel(run, number) {
                    self.answer(&job, ResultCode::Cancelled, Vec::new());
                }
            }
            ToStore::Order { token, term, number, order } => {
                let taken =
                    self.identity.medium.lock().map(|mut medium| medium.order(clock, term, number, &order));
                let Ok(reply) = taken else { return };
                let (order, done) = (
                    order.name().into(),
                    !matches!(reply, OrderReply::WrongState | OrderReply::StaleTerm(_)),
                );
                self.identity.book.write(self.identity.store, Seen::Ordered { term, number, order, done });
                self.say(link, FromStore::OrderReply { token, reply });
            }
            ToStore::HealthCheck { token } => {
                let report = self.model.report();
                self.say(link, FromStore::Healthy { token, clock, load_report: report });
            }
        }
    }

    fn say(&self, link: u64, message: FromStore) {
        if let Some((_, sender)) = self.links.get(&link).filter(|_| !self.model.fault.mute) {
            _ = sender.send(Out::Message(message));
        }
    }

    fn answer(&mut self, job: &Job, code: ResultCode, stretches: Vec<DataRange>) {
        self.answer_of(job, code, 0, stretches);
    }

    fn answer_of(&mut self, job: &Job, code: ResultCode, epoch: u64, stretches: Vec<DataRange>) {
        let (run, number) = (job.run, job.dispatch.number);
        self.identity
            .book
            .write(self.identity.store, Seen::Answered { run, number, code: recorded_code(code).into() });
        if self.chance.random_bool(self.model.fault.lost) {
            return;
        }
        let now = self.now();
        let elsewhere = if code == ResultCode::Succeeded { self.model.served(now, job) } else { 0.0 };
        let (clock, report) = (self.clock(), self.model.report());
        let answer = AttemptResult {
            number,
            code: Ok(code),
            clock,
            epoch,
            plan_rate_used: None,
            units_elsewhere: elsewhere,
            load_report: report,
            data_ranges: stretches,
        };
        self.say(job.link, FromStore::AttemptResult(answer));
    }

    fn advance(&mut self) {
        let (now, clock) = (self.now(), self.clock());
        let medium = self.identity.medium.clone();
        let fenced =
            |job: &Job| medium.lock().is_ok_and(|medium| medium.fenced(clock, job.run, &job.dispatch));
        for job in self.model.advance(now, fenced) {
            let Ok(applied) = medium.lock().map(|mut medium| medium.apply(clock, job.run, &job.dispatch))
            else {
                return;
            };
            if matches!(applied, Applied::Read(_) | Applied::Status(_) | Applied::Done) {
                let ran = Seen::Ran { run: job.run, number: job.dispatch.number };
                self.identity.book.write(self.identity.store, ran);
            }
            match applied {
                Applied::Read(parts) => {
                    parts.into_iter().for_each(|(offset, part)| self.data(&job, offset, part));
                    if self.down {
                        return;
                    }
                    self.answer(&job, ResultCode::Succeeded, Vec::new());
                }
                Applied::Status(stretches) => self.answer(&job, ResultCode::Succeeded, stretches),
                Applied::Done | Applied::Repeat => self.answer(&job, ResultCode::Succeeded, Vec::new()),
                Applied::Fenced => self.answer(&job, ResultCode::Fenced, Vec::new()),
                Applied::Stale(epoch) => self.answer_of(&job, ResultCode::StaleEpoch, epoch, Vec::new()),
                // It waits for the coordinator's word for as long as it has time.
                Applied::Early => self.model.put_aside(now + EARLY, job),
            }
        }
    }

    fn data(&mut self, job: &Job, offset: u32, part: Result<bytes::Bytes, u32>) {
        let number = job.dispatch.number;
        let mut data = match part {
            Ok(data) => data,
            Err(length) => return self.say(job.link, FromStore::Hole { number, offset, length }),
        };
        let mut at = offset;
        while !data.is_empty() && !self.down {
            let chunk = data.split_to(CHUNK.min(data.len()));
            let length = chunk.len() as u32;
            self.say(job.link, FromStore::Data { number, offset: at, data: chunk });
            at += length;
            if let Some(left) = &mut self.chunks_to_live {
                *left = left.saturating_sub(1);
                self.down = *left == 0;
            }
        }
    }
}

/// The code's name in records, which judges and their readers know; it stays when the type's own names change.
fn recorded_code(code: ResultCode) -> &'static str {
    match code {
        ResultCode::Succeeded => "Acked",
        ResultCode::Failed => "Error",
        ResultCode::Rejected => "Full",
        ResultCode::Fenced => "Fenced",
        ResultCode::Cancelled => "Cancelled",
        ResultCode::NotHere => "Elsewhere",
        ResultCode::StaleEpoch => "Stale",
    }
}

/// The operation's name in records; it stays when the type's own names change.
fn recorded_kind(kind: OperationKind) -> &'static str {
    match kind {
        OperationKind::Read => "Read",
        OperationKind::Write => "Write",
        OperationKind::Zero => "Zero",
        OperationKind::Trim => "Trim",
        OperationKind::Flush => "Flush",
        OperationKind::Status => "Status",
    }
}

fn received(run: u64, dispatch: &umbertray_store_protocol::store::Attempt) -> Seen {
    let mark = dispatch.data.first_chunk::<8>().map_or(0, |bytes| u64::from_be_bytes(*bytes));
    debug_assert!(dispatch.kind != OperationKind::Write || dispatch.data.len() == dispatch.length as usize);
    Seen::Received {
        run,
        number: dispatch.number,
        op: dispatch.op,
        volume: dispatch.volume,
        extent: dispatch.extent,
        work: recorded_kind(dispatch.kind).into(),
        offset: dispatch.offset,
        length: dispatch.length,
        units: dispatch.units,
        mark,
    }
}

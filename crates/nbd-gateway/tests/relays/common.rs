//! Test fixtures: a log writer, relays and gateways in this process, and raw connections that act as a relay
//! or as a follower.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use umbertray_config::{ChangeSource as Source, Upstream};
use umbertray_config_log::change::Change;
use umbertray_config_log::guard::GUARDS;
use umbertray_config_log::log::{Log, SEGMENT_BYTES};
use umbertray_config_log::model::{Configuration, Edit, Key, Kind};
use umbertray_config_log::{FolderReader, Update};
pub(crate) use umbertray_fakes::fleet::any_port;
use umbertray_fakes::test_folder::TestFolder;
use umbertray_nbd_gateway::{
    ChangeSource, GatewayError, GatewayOptions, RelaySource, RelayedChanges, RunningGateway,
};
use umbertray_relay::{RelayError, RunningRelay as Relay};
use umbertray_snapshot::Disk;
use umbertray_store_protocol::changes::{Checkpoint, FromUpstream, Position, ToUpstream, digest};
use umbertray_store_protocol::{Message, next_frame};

const SHARED_SETTINGS: &str = r#"
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1")
op_type("get", target_latency = 0.5, op_timeout = 3.0, utility = 2)
op_type("put", target_latency = 0.3, op_timeout = 1.0, utility = 2)
request(["read", "status"], op_type = "get")
request(["write", "zero", "trim", "flush"], op_type = "put")
plan("p", rate = 1000)
volume("vol", size = 16 * MiB, plan = "p", gateways = 2)
"#;

/// Waits with a timeout. On failure, the panic message names what was waited for and includes the log.
pub(crate) async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let ended = tokio::time::timeout(Duration::from_secs(40), future).await;
    ended.unwrap_or_else(|_| panic!("{what}: not within 40 s; the log:\n{}", log_lines().join("\n")))
}

/// Creates an empty folder that is used by this run only.
pub(crate) fn test_folder(name: &str) -> TestFolder {
    TestFolder::create(env!("CARGO_TARGET_TMPDIR"), name).expect("a folder for the test")
}

/// The only writer of a change log.
pub(crate) struct Writer {
    pub(crate) folder: PathBuf,
    log: Log,
}

impl Writer {
    /// Creates a log with one version.
    pub(crate) fn create(folder: &Path) -> Writer {
        let folder = folder.join("log");
        let disk = Disk::open(&folder).expect("the folder is not locked");
        let log = Log::open(Box::new(disk), SEGMENT_BYTES).expect("a log");
        let mut writer = Writer { folder, log };
        let document = umbertray_config::read("shared.star", SHARED_SETTINGS.into()).expect("valid settings");
        let wanted = Configuration::from_calls(&document.calls());
        writer.commit(Configuration::default().diff(&wanted));
        writer
    }

    pub(crate) fn commit(&mut self, edits: Vec<Edit>) -> u64 {
        let base = self.log.head().number;
        self.log.commit(change(base, edits)).expect("a valid change").version
    }

    pub(crate) fn add_volume(&mut self, volume: &str) -> u64 {
        self.commit(vec![add_volume_edit(volume)])
    }

    /// Copies the log's folder in its current state.
    pub(crate) fn copy_folder(&self, to: &Path) -> PathBuf {
        std::fs::create_dir_all(to).expect("free disk space");
        for file in std::fs::read_dir(&self.folder).expect("the log's folder") {
            let file = file.expect("a file of the log");
            std::fs::copy(file.path(), to.join(file.file_name())).expect("free disk space");
        }
        to.into()
    }
}

pub(crate) fn change(base: u64, edits: Vec<Edit>) -> Change {
    Change {
        id: format!("c{base}"),
        base,
        actor: "ann".into(),
        reason: "to see".into(),
        at: 0,
        edits,
        allow: GUARDS.iter().map(|(_, guard)| *guard).collect(),
    }
}

pub(crate) fn add_volume_edit(volume: &str) -> Edit {
    put_volume_edit(volume, 1 << 20)
}

pub(crate) fn put_volume_edit(volume: &str, size: u64) -> Edit {
    let fields = json!({ "size": size, "plan": "p", "gateways": 1 });
    let fields = serde_json::from_value(fields).expect("an object");
    Edit::Put { key: Key::new(Kind::Volume, volume), fields }
}

pub(crate) fn upstream(name: &str, address: SocketAddr) -> Upstream {
    Upstream { name: name.into(), zone: "z".into(), address }
}

pub(crate) fn upstream_of(name: &str, relay: &Relay) -> Upstream {
    upstream(name, relay.address)
}

pub(crate) fn relay_options(name: &str, changes: Source) -> umbertray_relay::RelayOptions {
    let (name, zone) = (name.into(), "z".into());
    umbertray_relay::RelayOptions { listen: any_port(), name, zone, changes, folder: None, seed: 1 }
}

/// Starts a relay that reads the writer's folder.
pub(crate) async fn start_folder_relay(name: &str, folder: &Path) -> Relay {
    let changes = Source::Folder(folder.display().to_string());
    umbertray_relay::start(relay_options(name, changes)).await.expect("the relay starts")
}

/// Starts a relay that reads the writer's folder at the address of a relay that was dropped. The dropped
/// relay's task may not have ended yet, so binding is retried.
pub(crate) async fn restart_folder_relay(name: &str, listen: SocketAddr, folder: &Path) -> Relay {
    let starting = async {
        loop {
            let changes = Source::Folder(folder.display().to_string());
            let options = umbertray_relay::RelayOptions { listen, ..relay_options(name, changes) };
            match umbertray_relay::start(options).await {
                Err(RelayError::Listen { .. }) => tokio::time::sleep(Duration::from_millis(5)).await,
                started => return started.expect("the relay starts"),
            }
        }
    };
    within("starting a relay at the address of a dropped one", starting).await
}

/// Starts a relay that follows other relays.
pub(crate) async fn start_relay(name: &str, upstreams: Vec<Upstream>, quorum: usize) -> Relay {
    let changes = Source::Relays { upstreams, quorum };
    umbertray_relay::start(relay_options(name, changes)).await.expect("the relay starts")
}

pub(crate) fn relay_source(name: &str, upstreams: Vec<Upstream>, quorum: usize) -> RelaySource {
    let (name, zone, start_timeout) = (name.into(), "z".into(), Duration::from_secs(30));
    RelaySource { name, zone, upstreams, quorum, seed: 1, start_timeout, state_folder: None }
}

pub(crate) async fn try_start_gateway(relays: RelaySource) -> Result<RunningGateway, GatewayError> {
    let state_folder = relays.state_folder.clone();
    let relayed = RelayedChanges::start(relays).await?;
    let document = umbertray_config::read("shared.star", SHARED_SETTINGS.into()).expect("valid settings");
    let settings = relayed.replica.version.settings(&document.settings);
    let options = GatewayOptions {
        listen: vec![any_port()],
        endpoint_list: SocketAddr::from(([127, 0, 0, 1], 1)),
        coordinator: None,
        seed: 1,
        state_folder,
        changes: Some(ChangeSource::Relays(Box::new(relayed))),
    };
    Ok(umbertray_nbd_gateway::start(Arc::new(settings), options).await.expect("the gateway listens"))
}

pub(crate) async fn start_gateway(relays: RelaySource) -> RunningGateway {
    try_start_gateway(relays)
        .await
        .unwrap_or_else(|error| panic!("{error}; the log:\n{}", log_lines().join("\n")))
}

pub(crate) async fn wait_until_applied(gateway: &RunningGateway, version: u64) {
    let mut applied = gateway.applied_version();
    let applying = applied.wait_for(|applied| *applied >= version);
    within(&format!("applying version {version}"), applying).await.expect("the gateway is running");
}

pub(crate) fn exports_volume(gateway: &RunningGateway, volume: &str) -> bool {
    gateway.exports().iter().any(|export| export == volume)
}

/// The contents that a correct relay of a folder serves.
#[derive(Clone)]
pub(crate) struct RelayContents {
    pub(crate) checkpoint: Checkpoint,
    pub(crate) bytes: Bytes,
    pub(crate) head: Position,
    /// The entries since the checkpoint.
    pub(crate) entries: Vec<(Position, Vec<u8>)>,
}

/// Reads the contents of a folder: the checkpoint of its newest segment, the entries since, and the newest
/// position.
pub(crate) fn folder_contents(folder: &Path) -> RelayContents {
    let (_, updates) = FolderReader::open(&Disk::read_only(folder)).expect("a log");
    let at = |update: &Update| Position { version: update.version(), hash: update.hash() };
    let Some(Update::Checkpoint(head)) = updates.first() else { panic!("a checkpoint comes first") };
    let length = head.checkpoint.len() as u32;
    let checkpoint = Checkpoint { position: at(&updates[0]), digest: digest(&head.checkpoint), length };
    let bytes = Bytes::copy_from_slice(&head.checkpoint);
    let entries = updates.iter().filter_map(|update| match update {
        Update::Entry(entry) => Some((at(update), entry.body.clone())),
        Update::Checkpoint(_) => None,
    });
    RelayContents {
        checkpoint,
        bytes,
        head: updates.last().map(at).expect("at least a checkpoint"),
        entries: entries.collect(),
    }
}

/// Waits until a dropped gateway has unlocked its folder, as the end of a process would.
pub(crate) async fn wait_until_unlocked(state: &Path) {
    let unlocked = async {
        while [state.to_path_buf(), state.join("changes")].iter().any(|folder| Disk::open(folder).is_err()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    within("a dropped gateway to unlock its folder", unlocked).await;
}

/// Everything that this process has logged.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

static LOG: OnceLock<LogBuffer> = OnceLock::new();

/// Captures the log, which all tests of this process share.
pub(crate) fn capture_log() {
    LOG.get_or_init(|| {
        let lines = LogBuffer::default();
        let writer = lines.clone();
        let subscriber = tracing_subscriber::fmt().json().with_writer(move || writer.clone());
        subscriber.with_max_level(tracing_subscriber::filter::LevelFilter::INFO).init();
        lines
    });
}

fn log_lines() -> Vec<String> {
    let Some(lines) = LOG.get() else { return Vec::new() };
    let bytes = lines.0.lock().expect("not poisoned").clone();
    String::from_utf8_lossy(&bytes).lines().map(str::to_string).collect()
}

/// Waits for a log line whose fields contain these values.
pub(crate) async fn wait_for_log(fields: &[(&str, &str)]) {
    let matches = |line: &String| {
        let line: Value = serde_json::from_str(line).unwrap_or_default();
        fields.iter().all(|(name, value)| {
            let field = &line["fields"][name];
            field.as_str().map_or_else(|| field.to_string(), str::to_string).contains(value)
        })
    };
    let waiting = async {
        while !log_lines().iter().any(matches) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    within(&format!("a log line with {fields:?}"), waiting).await;
}

/// A raw connection that sends and receives frames.
pub(crate) struct FrameConnection {
    pub(crate) stream: TcpStream,
    input: BytesMut,
}

impl FrameConnection {
    pub(crate) fn new(stream: TcpStream) -> FrameConnection {
        FrameConnection { stream, input: BytesMut::new() }
    }

    pub(crate) async fn connect(address: SocketAddr) -> FrameConnection {
        FrameConnection::new(TcpStream::connect(address).await.expect("the address accepts connections"))
    }

    pub(crate) async fn send(&mut self, frame: impl Message) {
        // The peer may have closed the connection.
        _ = self.stream.write_all(&frame.frame()).await;
    }

    /// Receives the next frame; `None` once the connection has ended.
    pub(crate) async fn next<M: Message>(&mut self) -> Option<M> {
        loop {
            if let Some(frame) = next_frame(&mut self.input).expect("valid frames") {
                return Some(frame);
            }
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    /// Receives frames until `wanted` accepts one; other frames are ignored.
    pub(crate) async fn receive_until<T>(
        &mut self,
        what: &str,
        wanted: impl Fn(&FromUpstream) -> Option<T>,
    ) -> T {
        let receiving = async {
            loop {
                let frame = self.next::<FromUpstream>().await.expect("the connection is open");
                if let Some(found) = wanted(&frame) {
                    return found;
                }
            }
        };
        within(what, receiving).await
    }

    /// Reads until the peer has closed the connection.
    pub(crate) async fn wait_until_closed(&mut self) {
        within("the peer to close the connection", async {
            while self.next::<FromUpstream>().await.is_some() {}
        })
        .await;
    }

    pub(crate) async fn connect_as_follower(address: SocketAddr, name: &str) -> FrameConnection {
        let mut connection = FrameConnection::connect(address).await;
        let role = umbertray_store_protocol::changes::Role::Gateway;
        connection.send(ToUpstream::Hello { name: name.into(), zone: "z".into(), role }).await;
        connection
    }
}

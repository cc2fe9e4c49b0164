//! The endpoint list as discovery sends it, whole or as changes, and the reader of a watch.

use std::net::SocketAddr;

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use umbertray::interface::StoreState;

use crate::boot_timestamp::BootTimestamp;

/// The endpoint list, or changes to it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version of the list that this leads to.
    pub version: u64,
    /// Whether it names all stores; otherwise only those that changed.
    pub is_whole: bool,
    /// The stores.
    pub stores: Vec<DiscoveredEndpoint>,
    /// Messages about values that this version does not know, and where they stand.
    pub unknown: Vec<String>,
}

/// One store of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Lasting name of the store.
    pub uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// The shard whose data it holds.
    pub shard: u32,
    /// Whether it serves.
    pub state: StoreState,
    /// When it started; absent: long ago.
    pub started: Option<BootTimestamp>,
}

/// An endpoint list that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("the list, version {version}, entry {entry}: {reason}")]
pub struct EndpointListError {
    /// 0 where not even the version could be read.
    version: u64,
    entry: String,
    reason: String,
}

impl EndpointListError {
    /// The error of a list of which nothing could be read.
    fn of_list(reason: String) -> EndpointListError {
        EndpointListError { version: 0, entry: "unknown".into(), reason }
    }
}

/// The list as its JSON has it.
#[derive(Deserialize)]
struct ListJson {
    rev: u64,
    all: bool,
    targets: Vec<EndpointJson>,
}

/// An entry of the list as its JSON has it.
#[derive(Deserialize)]
struct EndpointJson {
    uid: String,
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    pod_group: u32,
    state: String,
    #[serde(default)]
    boot_ms: u64,
}

impl EndpointList {
    /// Parses one JSON object.
    ///
    /// # Errors
    /// It is no JSON of this form, or an address in it cannot be read. A state that is not known is no error.
    pub fn read(bytes: &[u8]) -> Result<EndpointList, EndpointListError> {
        let list: ListJson =
            serde_json::from_slice(bytes).map_err(|error| EndpointListError::of_list(error.to_string()))?;
        let mut unknown = Vec::new();
        let endpoint = |json: EndpointJson| DiscoveredEndpoint::from_json(json, list.rev, &mut unknown);
        let stores = list.targets.into_iter().map(endpoint).collect::<Result<_, _>>()?;
        Ok(EndpointList { version: list.rev, is_whole: list.all, stores, unknown })
    }
}

impl DiscoveredEndpoint {
    fn from_json(
        json: EndpointJson,
        version: u64,
        unknown: &mut Vec<String>,
    ) -> Result<DiscoveredEndpoint, EndpointListError> {
        let error = |reason: String| EndpointListError { version, entry: json.uid.clone(), reason };
        let address = json.endpoint.parse().map_err(|cause| error(format!("endpoint: {cause}")))?;
        let state = match json.state.as_str() {
            "ready" => StoreState::Ready,
            "draining" => StoreState::Draining,
            "gone" => StoreState::Gone,
            // Hazard: an error for one unknown word would hide the drains that the rest of the list names.
            other => {
                let message = format!("state {other:?} is not known, it is taken for gone");
                unknown.push(error(message).to_string());
                StoreState::Gone
            }
        };
        Ok(DiscoveredEndpoint {
            address,
            zone: json.az,
            shard: json.pod_group,
            state,
            started: BootTimestamp::from_millis(json.boot_ms),
            uid: json.uid,
        })
    }
}

/// Reads a watch: JSON objects on a line each or indented over several, split anywhere, and blank lines as heartbeats.
pub struct WatchReader {
    /// Bytes that were received and not read yet.
    pub bytes: BytesMut,
    /// How many of them the scanner has seen.
    scanned: usize,
    scanner: ObjectScanner,
    max_object_bytes: usize,
}

/// Position of the scan for an object's end.
#[derive(Clone, Copy, Default)]
struct ObjectScanner {
    open_brackets: usize,
    string: StringState,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum StringState {
    #[default]
    Outside,
    Inside,
    /// Behind a backslash: the next byte stands for itself.
    Escaped,
}

impl ObjectScanner {
    /// Takes one byte; true if it ends a line that belongs to no open object.
    fn ends_event(&mut self, byte: u8) -> bool {
        self.string = match (self.string, byte) {
            (StringState::Inside, b'\\') => StringState::Escaped,
            (StringState::Escaped, _) => StringState::Inside,
            (StringState::Inside, b'"') => StringState::Outside,
            (StringState::Outside, b'"') => StringState::Inside,
            (state, _) => state,
        };
        let is_outside = self.string == StringState::Outside;
        match byte {
            b'{' | b'[' if is_outside => self.open_brackets += 1,
            b'}' | b']' if is_outside => self.open_brackets = self.open_brackets.saturating_sub(1),
            // No JSON string holds a line end: one that is not closed by then never is.
            b'\n' => {
                self.string = StringState::Outside;
                return self.open_brackets == 0 || !is_outside;
            }
            _ => {}
        }
        false
    }
}

/// One event of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// Nothing has changed.
    Heartbeat,
    /// The list, or changes to it.
    List(EndpointList),
}

impl WatchReader {
    /// A reader of objects up to a length.
    pub fn new(max_object_bytes: usize) -> WatchReader {
        WatchReader {
            bytes: BytesMut::new(),
            scanned: 0,
            scanner: ObjectScanner::default(),
            max_object_bytes,
        }
    }

    /// The next whole event; nothing until more bytes have come.
    ///
    /// # Errors
    /// An object is too long or no list. The list has to be fetched anew.
    pub fn next_event(&mut self) -> Result<Option<WatchEvent>, EndpointListError> {
        let scanner = &mut self.scanner;
        let end = self.bytes[self.scanned..].iter().position(|byte| scanner.ends_event(*byte));
        let Some(end) = end else {
            self.scanned = self.bytes.len();
            if self.scanned > self.max_object_bytes {
                let reason = format!("longer than {} bytes", self.max_object_bytes);
                return Err(EndpointListError::of_list(reason));
            }
            return Ok(None);
        };
        let event = self.bytes.split_to(self.scanned + end);
        self.bytes.advance(1);
        self.scanned = 0;
        self.scanner = ObjectScanner::default();
        let event = event.trim_ascii();
        if event.is_empty() {
            return Ok(Some(WatchEvent::Heartbeat));
        }
        EndpointList::read(event).map(|list| Some(WatchEvent::List(list)))
    }
}

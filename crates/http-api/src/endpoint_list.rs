//! The endpoint list as sent by discovery, complete or as changes, and the parser of a watch stream.

use std::net::SocketAddr;

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use umbertray::interface::StoreState;

use crate::boot_timestamp::BootTimestamp;

/// A complete endpoint list, or changes to it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version of the endpoint list after this update.
    pub version: u64,
    /// Whether the update names all stores; otherwise it names only those that changed.
    pub is_complete: bool,
    /// The stores.
    pub stores: Vec<DiscoveredEndpoint>,
    /// Log messages about values unknown to this program version, with their positions.
    pub unknown: Vec<String>,
}

/// One store of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Permanent name of the store.
    pub uid: String,
    /// Address that the store listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// The shard whose data it holds.
    pub shard: u32,
    /// State of the store.
    pub state: StoreState,
    /// When the store started; `None` means long ago.
    pub started: Option<BootTimestamp>,
}

/// An endpoint list that cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("endpoint list version {version}, entry {entry}: {reason}")]
pub struct EndpointListError {
    /// 0 if even the version could not be parsed.
    version: u64,
    entry: String,
    reason: String,
}

impl EndpointListError {
    /// The error for a list of which nothing could be parsed.
    fn of_list(reason: String) -> EndpointListError {
        EndpointListError { version: 0, entry: "unknown".into(), reason }
    }
}

/// The list as deserialized from JSON.
#[derive(Deserialize)]
struct ListJson {
    rev: u64,
    all: bool,
    targets: Vec<EndpointJson>,
}

/// An entry of the list as deserialized from JSON.
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
    /// The bytes are not a JSON object of this form, or an address cannot be parsed. An unknown state is not
    /// an error.
    pub fn parse(bytes: &[u8]) -> Result<EndpointList, EndpointListError> {
        let list: ListJson =
            serde_json::from_slice(bytes).map_err(|error| EndpointListError::of_list(error.to_string()))?;
        let mut unknown = Vec::new();
        let endpoint = |json: EndpointJson| DiscoveredEndpoint::from_json(json, list.rev, &mut unknown);
        let stores = list.targets.into_iter().map(endpoint).collect::<Result<_, _>>()?;
        Ok(EndpointList { version: list.rev, is_complete: list.all, stores, unknown })
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
            // Hazard: rejecting the list for one unknown state would lose the drains that its other entries
            // report.
            other => {
                let message = format!("state {other:?} is unknown, treated as gone");
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

/// Parses a watch stream. Each JSON object ends with a line break; it may span several lines and may be split
/// anywhere across reads. Blank lines are heartbeats.
pub struct WatchReader {
    /// Bytes received and not parsed yet.
    pub bytes: BytesMut,
    /// Number of these bytes that have been scanned.
    scanned: usize,
    scanner: ObjectScanner,
    max_object_bytes: usize,
}

/// State of the scan for the end of an object.
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
    /// After a backslash: the next byte is taken literally.
    Escaped,
}

impl ObjectScanner {
    /// Processes one byte. Returns true if the byte ends a line outside of any object.
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
            // JSON strings contain no line breaks, so a string that is still open here is never closed.
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
    /// A blank line: the watch is alive, and there are no changes.
    Heartbeat,
    /// A complete list, or changes to it.
    List(EndpointList),
}

impl WatchReader {
    /// Creates a reader for objects of up to `max_object_bytes` bytes.
    pub fn new(max_object_bytes: usize) -> WatchReader {
        WatchReader {
            bytes: BytesMut::new(),
            scanned: 0,
            scanner: ObjectScanner::default(),
            max_object_bytes,
        }
    }

    /// The next complete event, or `None` until more bytes have been received.
    ///
    /// # Errors
    /// An object is too long or is not an endpoint list. The complete list has to be fetched again.
    pub fn next_event(&mut self) -> Result<Option<WatchEvent>, EndpointListError> {
        let scanner = &mut self.scanner;
        let end = self.bytes[self.scanned..].iter().position(|byte| scanner.ends_event(*byte));
        let Some(end) = end else {
            self.scanned = self.bytes.len();
            if self.scanned > self.max_object_bytes {
                let reason = format!("object longer than {} bytes", self.max_object_bytes);
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
        EndpointList::parse(event).map(|list| Some(WatchEvent::List(list)))
    }
}

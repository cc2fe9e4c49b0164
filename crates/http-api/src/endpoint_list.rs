//! The list of stores as discovery tells it: whole, or what changed.

use std::net::SocketAddr;

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use umbertray::interface::StoreState;

use crate::boot_timestamp::BootTimestamp;

#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    pub version: u64,
    pub is_whole: bool,
    pub stores: Vec<DiscoveredEndpoint>,
    /// What of it this version does not know, and where it stands.
    pub unknown: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub shard: u32,
    pub state: StoreState,
    /// Absent: long ago.
    pub started: Option<BootTimestamp>,
}

#[derive(Debug, thiserror::Error)]
#[error("the list, version {version}, entry {entry}: {what}")]
pub struct EndpointListError {
    /// 0 where not even that could be read.
    version: u64,
    entry: String,
    what: String,
}

#[derive(Deserialize)]
struct Told {
    rev: u64,
    all: bool,
    targets: Vec<ToldEntry>,
}

#[derive(Deserialize)]
struct ToldEntry {
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
    pub fn read(bytes: &[u8]) -> Result<EndpointList, EndpointListError> {
        let told: Told = serde_json::from_slice(bytes).map_err(|error| EndpointListError {
            version: 0,
            entry: "unknown".into(),
            what: error.to_string(),
        })?;
        let mut unknown = Vec::new();
        let entry = |entry: ToldEntry| {
            let wrong =
                |what: String| EndpointListError { version: told.rev, entry: entry.uid.clone(), what };
            Ok(DiscoveredEndpoint {
                address: entry.endpoint.parse().map_err(|e| wrong(format!("endpoint: {e}")))?,
                zone: entry.az,
                shard: entry.pod_group,
                state: match entry.state.as_str() {
                    "ready" => StoreState::Ready,
                    "draining" => StoreState::Draining,
                    "gone" => StoreState::Gone,
                    // Danger: refusing the list for one word would hide the drains that it tells of.
                    other => {
                        let what = format!("state {other:?} is not known, it is taken for gone");
                        unknown.push(wrong(what).to_string());
                        StoreState::Gone
                    }
                },
                started: BootTimestamp::from_millis(entry.boot_ms),
                uid: entry.uid,
            })
        };
        let stores = told.targets.into_iter().map(entry).collect::<Result<_, _>>()?;
        Ok(EndpointList { version: told.rev, is_whole: told.all, stores, unknown })
    }
}

/// What a watch tells, an object a line or indented over several; both may be split over reads.
pub struct WatchReader {
    pub bytes: BytesMut,
    searched: usize,
    within: Within,
    /// One object holds at most so many bytes.
    longest: usize,
}

/// Where in an object the search for its end has come to.
#[derive(Clone, Copy, Default)]
struct Within {
    /// Brackets that are open.
    depth: usize,
    text: Text,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Text {
    #[default]
    Outside,
    Inside,
    /// The next byte stands for itself.
    Escaped,
}

impl Within {
    /// Takes one byte; true if it ends a line that belongs to no object that is open.
    fn ends(&mut self, byte: u8) -> bool {
        self.text = match (self.text, byte) {
            (Text::Inside, b'\\') => Text::Escaped,
            (Text::Escaped, _) => Text::Inside,
            (Text::Inside, b'"') => Text::Outside,
            (Text::Outside, b'"') => Text::Inside,
            (text, _) => text,
        };
        match byte {
            b'{' | b'[' if self.text == Text::Outside => self.depth += 1,
            b'}' | b']' if self.text == Text::Outside => self.depth = self.depth.saturating_sub(1),
            // No text of an object may hold one: what is not closed by then never is.
            b'\n' => {
                let whole = self.depth == 0 || self.text != Text::Outside;
                self.text = Text::Outside;
                return whole;
            }
            _ => {}
        }
        false
    }
}

#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    Heartbeat,
    List(EndpointList),
}

impl WatchReader {
    pub fn new(longest: usize) -> WatchReader {
        WatchReader { bytes: BytesMut::new(), searched: 0, within: Within::default(), longest }
    }

    /// The next whole line. After an error the list has to be asked for anew.
    pub fn line(&mut self) -> Result<Option<WatchEvent>, EndpointListError> {
        let within = &mut self.within;
        let Some(end) = self.bytes[self.searched..].iter().position(|byte| within.ends(*byte)) else {
            self.searched = self.bytes.len();
            if self.searched > self.longest {
                let what = format!("longer than {} bytes", self.longest);
                return Err(EndpointListError { version: 0, entry: "unknown".into(), what });
            }
            return Ok(None);
        };
        let line = self.bytes.split_to(self.searched + end);
        self.bytes.advance(1);
        (self.searched, self.within) = (0, Within::default());
        let line = line.trim_ascii();
        if line.is_empty() {
            Ok(Some(WatchEvent::Heartbeat))
        } else {
            EndpointList::read(line).map(|list| Some(WatchEvent::List(list)))
        }
    }
}

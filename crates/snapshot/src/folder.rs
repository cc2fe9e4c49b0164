//! A gateway's folder: what is found at the start, and entries written from then on.

use std::io;
use std::time::Duration;

use umbertray_routing::Snapshot;

use crate::FolderError;
use crate::change::CurrentSnapshot;
use crate::decide::{self, Age, FolderState, LoadNote, Stamp, WriteDecision, WritePolicy};
use crate::format::{self, Entry, FileHeader, FileRecord, MAX_FILE_BYTES};
use crate::layer::Storage;

/// What a gateway's file grows to, bytes.
pub const FILE_BYTES: usize = 4 << 20;

const PREFIX: &str = "state-";
const SUFFIX: &str = ".umb";
const FRESH: &str = "state.new";

/// What is believed of what was found.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadResult {
    pub snapshot: Snapshot,
    pub age: Age,
}

pub struct SnapshotStore {
    layer: Box<dyn Storage>,
    plan: WritePolicy,
    /// What a reader of the present file would believe.
    written: Option<CurrentSnapshot>,
}

fn name(generation: u64) -> String {
    format!("{PREFIX}{generation:020}{SUFFIX}")
}

fn generation(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?.parse().ok()
}

/// The state files of a folder, each as read.
pub fn files(layer: &dyn Storage) -> io::Result<Vec<decide::FoundFile>> {
    let names = layer.names()?;
    let known = names.into_iter().filter_map(|name| Some((generation(&name)?, name)));
    known
        .map(|(generation, name)| {
            let found = format::parse_file(&layer.read(&name, MAX_FILE_BYTES)?);
            Ok((name, generation, found))
        })
        .collect()
}

impl SnapshotStore {
    /// Looks at a folder and takes it into use. Notes tell what was found and not believed.
    pub fn open(
        layer: Box<dyn Storage>,
        gateway: u64,
        digest: u64,
        now: Stamp,
        most_grown: usize,
    ) -> Result<(SnapshotStore, Option<LoadResult>, Vec<LoadNote>), FolderError> {
        match decide::find(files(&*layer)?, gateway, digest) {
            FolderState::Foreign { found } => Err(FolderError::Foreign { found, ours: gateway }),
            FolderState::Newer { file, version } => Err(FolderError::Newer { file, version }),
            FolderState::Usable { read, next, mut notes } => {
                let found_at = read.as_ref().map_or(now, |read| read.entry.at);
                let recalled = read.map(|read| {
                    let mut saved = read.entry.saved;
                    if read.head.digest != digest {
                        // Floors of limits that may be others now promise nothing.
                        saved.promise_duration = Duration::ZERO;
                    }
                    LoadResult { snapshot: saved, age: decide::age(read.entry.at, now) }
                });
                if recalled.as_ref().is_some_and(|recalled| recalled.age == Age::Unknown) {
                    notes.push(LoadNote::UnknownAge);
                }
                let plan = WritePolicy::new(FileHeader { gateway, digest, generation: next }, most_grown);
                let mut folder = SnapshotStore { layer, plan, written: None };
                let recalled = recalled.map(|recalled| folder.claim(recalled, found_at));
                Ok((folder, recalled, notes))
            }
        }
    }

    /// Danger: what was promised not to be drawn may be drawn by one run only. A run that dies before its first save would leave
    /// the promise to the next, and that one draw the same again: restart loops would overspend. So the promise is
    /// taken out of the folder, for sure, before it is believed; where that fails it is not believed.
    fn claim(&mut self, mut recalled: LoadResult, at: Stamp) -> LoadResult {
        let claimed = Snapshot { promise_duration: Duration::ZERO, ..recalled.snapshot.clone() };
        if recalled.snapshot.promise_duration > Duration::ZERO
            && !matches!(self.save(Duration::ZERO, at, claimed), Ok(true))
        {
            recalled.snapshot.promise_duration = Duration::ZERO;
        }
        recalled
    }

    /// Writes what is known at `at`; false where it is not time to. `now` is a steady clock. After an error the next
    /// call begins a new file, when it is time to.
    pub fn save(&mut self, now: Duration, at: Stamp, saved: Snapshot) -> io::Result<bool> {
        let what = self.plan.next(now);
        let written = match (what, self.written.take()) {
            (WriteDecision::Wait, written) => {
                self.written = written;
                return Ok(false);
            }
            (WriteDecision::Append, Some(picture)) => self.append(picture, at, saved),
            (WriteDecision::Append, None) => Err(io::ErrorKind::NotFound.into()),
            (WriteDecision::NewFile(generation), _) => self.anew(generation, Entry { at, saved }),
        };
        match written {
            Ok(bytes) => self.plan.written(now, what, bytes),
            Err(error) => {
                self.plan.failed(now);
                return Err(error);
            }
        }
        Ok(true)
    }

    fn append(&mut self, mut picture: CurrentSnapshot, at: Stamp, saved: Snapshot) -> io::Result<usize> {
        let file = name(self.plan.head.generation);
        let item = FileRecord::Change(picture.change(at, saved));
        let record = format::encode_record(&item).ok_or(io::ErrorKind::FileTooLarge)?;
        self.layer.append(&file, &record)?;
        self.layer.sync(&file)?;
        if let FileRecord::Change(change) = item {
            picture.apply(change);
        }
        self.written = Some(picture);
        Ok(record.len())
    }

    /// A new generation beside the last. The last but one goes when the new one's name is safe.
    fn anew(&mut self, generation: u64, entry: Entry) -> io::Result<usize> {
        let mut bytes = format::file_opening();
        let head = FileHeader { generation, ..self.plan.head.clone() };
        bytes.extend(format::encode_record(&head).ok_or(io::ErrorKind::FileTooLarge)?);
        bytes.extend(
            format::encode_record(&FileRecord::Snapshot(entry.clone())).ok_or(io::ErrorKind::FileTooLarge)?,
        );
        self.layer.put(FRESH, &name(generation), &bytes)?;
        let mut old: Vec<(u64, String)> =
            self.layer.names()?.into_iter().filter_map(|n| Some((self::generation(&n)?, n))).collect();
        old.sort_unstable();
        old.truncate(old.len().saturating_sub(2));
        for (_, name) in old {
            self.layer.remove(&name)?;
        }
        self.written = Some(CurrentSnapshot::new(entry));
        Ok(bytes.len())
    }
}

/// The moment by this machine's clocks.
pub fn current_stamp() -> Stamp {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let boot = u128::from_str_radix(&boot.trim().replace('-', ""), 16).unwrap_or(0);
    Stamp { wall: wall.as_micros() as u64, boot, since_boot: time_since_boot().as_micros() as u64 }
}

/// Time since this machine's start, by the clock that counts on while a process or the machine stands still.
pub fn time_since_boot() -> Duration {
    use nix::time::{ClockId, clock_gettime};
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

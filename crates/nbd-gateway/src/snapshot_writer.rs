//! The thread that writes state: whatever its disk does, the hub goes on.

use std::path::Path;
use std::sync::mpsc as blocking;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::mpsc;
use umbertray_routing::{Settings, Snapshot};
use umbertray_snapshot::folder::{self, FILE_BYTES, LoadResult, SnapshotStore};
use umbertray_snapshot::{Disk, FolderError, LoadNote, Stamp};

use crate::event_loop::LoopEvent;

/// How long the end of the gateway waits for what is being written.
const LAST: Duration = Duration::from_secs(1);

/// The hub's end of it: at most one save is with the thread.
pub struct SnapshotWriter {
    to_thread: Option<blocking::SyncSender<(Duration, Stamp, Snapshot)>>,
    thread: Option<JoinHandle<()>>,
    writing: bool,
}

/// What the settings are, for state that was promised under others. FNV-1a of the module's map and the volumes' names.
fn digest(settings: &Settings) -> u64 {
    let mut text = format!("{:?}", settings.scheduler_settings());
    settings.volumes.iter().for_each(|volume| text.push_str(&format!("\n{} {}", volume.name, volume.plan)));
    umbertray_store_protocol::volume_id(&text)
}

/// Opens a folder for this gateway; without one that can be used the gateway runs as without.
pub fn open(
    folder: &Path,
    seed: u64,
    settings: &Settings,
    to_hub: mpsc::UnboundedSender<LoopEvent>,
) -> Option<(SnapshotWriter, Option<LoadResult>)> {
    let opened = Disk::open(folder).map_err(|error| match error.kind() {
        std::io::ErrorKind::WouldBlock => FolderError::Locked,
        _ => error.into(),
    });
    let opened = opened.and_then(|disk| {
        SnapshotStore::open(Box::new(disk), seed, digest(settings), folder::current_stamp(), FILE_BYTES)
    });
    let place = folder.display();
    let (folder, recalled, notes) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            tracing::warn!(folder = %place, %error, "state not used");
            return None;
        }
    };
    for note in notes {
        match note {
            LoadNote::NoSnapshot => tracing::info!(folder = %place, "state is fresh"),
            note => tracing::warn!(folder = %place, ?note, "state not wholly believed"),
        }
    }
    if let Some(recalled) = &recalled {
        let (stores, volumes) = (recalled.snapshot.stores.len(), recalled.snapshot.volumes.len());
        tracing::info!(folder = %place, stores, volumes, age = ?recalled.age, "state recalled");
    }
    Some((SnapshotWriter::start(folder, to_hub), recalled))
}

impl SnapshotWriter {
    fn start(mut folder: SnapshotStore, to_hub: mpsc::UnboundedSender<LoopEvent>) -> SnapshotWriter {
        let (to_thread, from_hub) = blocking::sync_channel::<(Duration, Stamp, Snapshot)>(1);
        let thread = std::thread::spawn(move || {
            for (now, stamp, saved) in from_hub {
                if let Err(error) = folder.save(now, stamp, saved) {
                    tracing::warn!(%error, "state not saved");
                }
                _ = to_hub.send(LoopEvent::Kept);
            }
        });
        SnapshotWriter { to_thread: Some(to_thread), thread: Some(thread), writing: false }
    }

    pub fn idle(&self) -> bool {
        !self.writing
    }

    pub fn keep(&mut self, now: Duration, stamp: Stamp, saved: Snapshot) {
        let sent = self.to_thread.as_ref().is_some_and(|thread| thread.try_send((now, stamp, saved)).is_ok());
        self.writing |= sent;
    }

    pub fn kept(&mut self) {
        self.writing = false;
    }
}

impl Drop for SnapshotWriter {
    /// Lets the last save be finished, but does not wait for a disk that hangs.
    fn drop(&mut self) {
        self.to_thread = None;
        let ended = std::time::Instant::now() + LAST;
        if let Some(thread) = self.thread.take() {
            while !thread.is_finished() && std::time::Instant::now() < ended {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::io;
    use std::time::Instant;

    use umbertray_snapshot::Storage;

    use super::*;

    /// A disk whose first sync never comes back.
    struct Hangs(blocking::Sender<()>);

    impl Storage for Hangs {
        fn names(&self) -> io::Result<Vec<String>> {
            Ok(Vec::new())
        }
        fn read(&self, _: &str, _: usize) -> io::Result<Vec<u8>> {
            Err(io::ErrorKind::NotFound.into())
        }
        fn write(&mut self, _: &str, _: &[u8]) -> io::Result<()> {
            Ok(())
        }
        fn append(&mut self, _: &str, _: &[u8]) -> io::Result<()> {
            Ok(())
        }
        fn sync(&mut self, _: &str) -> io::Result<()> {
            _ = self.0.send(());
            loop {
                std::thread::park();
            }
        }
        fn rename(&mut self, _: &str, _: &str) -> io::Result<()> {
            Ok(())
        }
        fn remove(&mut self, _: &str) -> io::Result<()> {
            Ok(())
        }
        fn sync_folder(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn a_disk_that_hangs_costs_freshness_and_nothing_else() {
        let (hanging, hangs) = blocking::channel();
        let (folder, ..) =
            SnapshotStore::open(Box::new(Hangs(hanging)), 1, 2, folder::current_stamp(), FILE_BYTES)
                .expect("an empty folder");
        let (to_hub, mut from_keeper) = mpsc::unbounded_channel();
        let mut keeper = SnapshotWriter::start(folder, to_hub);
        let began = Instant::now();
        keeper.keep(Duration::from_secs(1), folder::current_stamp(), Snapshot::default());
        hangs.recv().expect("it came to the sync");
        assert!(!keeper.idle(), "nothing more is asked of it");
        keeper.keep(Duration::from_secs(2), folder::current_stamp(), Snapshot::default());
        keeper.keep(Duration::from_secs(3), folder::current_stamp(), Snapshot::default());
        assert!(began.elapsed() < Duration::from_secs(1) && from_keeper.try_recv().is_err());
        let began = Instant::now();
        drop(keeper);
        assert!(began.elapsed() < LAST * 3, "the end waits for it a moment only");
    }
}

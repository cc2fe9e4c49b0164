use std::io;
use std::time::Instant;

use umbertray_snapshot::Storage;

use super::{
    Duration, FILE_BYTES, FINISH_TIMEOUT, Snapshot, SnapshotStore, SnapshotWriter, blocking, folder, mpsc,
};

/// A disk whose first sync never returns.
struct StalledDisk {
    sync_started: blocking::Sender<()>,
}

impl Storage for StalledDisk {
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
        _ = self.sync_started.send(());
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
fn snapshot_writer_disk_hangs_caller_does_not_wait() {
    let (sync_started, sync_starts) = blocking::channel();
    let disk = Box::new(StalledDisk { sync_started });
    let (store, ..) =
        SnapshotStore::open(disk, 1, 2, folder::current_stamp(), FILE_BYTES).expect("an empty folder");
    let (events, mut event_receiver) = mpsc::unbounded_channel();
    let mut writer = SnapshotWriter::start(store, events);
    let started_at = Instant::now();
    writer.save(Duration::from_secs(1), folder::current_stamp(), Snapshot::default());
    sync_starts.recv().expect("the sync was started");
    assert!(!writer.is_idle(), "a writer with a stalled disk is not idle");
    writer.save(Duration::from_secs(2), folder::current_stamp(), Snapshot::default());
    writer.save(Duration::from_secs(3), folder::current_stamp(), Snapshot::default());
    assert!(started_at.elapsed() < Duration::from_secs(1) && event_receiver.try_recv().is_err());
    let started_at = Instant::now();
    drop(writer);
    assert!(started_at.elapsed() < FINISH_TIMEOUT * 3, "dropping the writer waits only for a bounded time");
}

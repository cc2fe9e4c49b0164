//! The storage operations that state files and logs require, and their implementation for a folder on a real
//! disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A folder of small files.
///
/// Invariant: nothing is guaranteed to survive a crash before it is synced: content by `sync`, names by
/// `sync_folder`. Names refer to files directly in the folder.
pub trait Storage: Send {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// Those of the file system.
    fn names(&self) -> io::Result<Vec<String>>;
    /// Reads a file, at most its first `max_bytes`.
    ///
    /// # Errors
    /// `NotFound` if there is no such file; otherwise those of the file system.
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>>;
    /// Reads at most `max_bytes` of a file from byte `from` on; fewer if the file ends before.
    ///
    /// # Errors
    /// `NotFound` if there is no such file; otherwise those of the file system.
    fn read_from(&self, name: &str, from: u64, max_bytes: usize) -> io::Result<Vec<u8>> {
        let from = from as usize;
        let bytes = self.read(name, from.saturating_add(max_bytes))?;
        Ok(bytes.get(from..).unwrap_or_default().to_vec())
    }
    /// Writes a new file with this content. It replaces an existing file of that name.
    ///
    /// # Errors
    /// Those of the file system.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Appends to an existing file.
    ///
    /// # Errors
    /// `NotFound` if there is no such file; otherwise those of the file system. Some of the bytes may have
    /// been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a file, so that its content survives a crash.
    ///
    /// # Errors
    /// Those of the file system. The content of the file on the disk is unknown then, and a later sync may
    /// report success although data was dropped. The file must not be appended to again.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file. It replaces an existing file of the new name.
    ///
    /// # Errors
    /// `NotFound` if there is no such file; otherwise those of the file system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// `NotFound` if there is no such file; otherwise those of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Syncs the folder, so that created, changed and removed names survive a crash.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Writes a file atomically. It is synced when this returns. The file is first written and synced under a
    /// temporary name, so that `name` never refers to an incomplete file.
    ///
    /// # Errors
    /// Those of the file system. `name` then refers to either the complete former file or the complete new
    /// one.
    fn put(&mut self, temporary: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write(temporary, bytes)?;
        self.sync(temporary)?;
        self.rename(temporary, name)?;
        self.sync_folder()
    }
}

/// A folder on a real disk. Unless opened read-only, it is locked against other processes until this value is
/// dropped.
pub struct Disk {
    folder: PathBuf,
    _lock: Option<File>,
}

const LOCK_FILE: &str = "lock";
const TEMPORARY_LOCK_FILE: &str = "lock.new";

/// Time between two attempts to acquire a lock held by another process.
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(1);

impl Disk {
    /// Opens a folder for writing. The folder is created if it does not exist.
    ///
    /// # Errors
    /// `WouldBlock` if another process holds the folder's lock; otherwise those of the file system.
    pub fn open(folder: &Path) -> io::Result<Disk> {
        fs::create_dir_all(folder)?;
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK_FILE))?;
        lock.try_lock().map_err(io::Error::from)?;
        Ok(Disk { folder: folder.into(), _lock: Some(lock) })
    }

    /// Opens a folder whose lock is held by another process. A new lock file replaces the former one, so that
    /// the former holder no longer excludes other processes. The caller must ensure that the former holder is
    /// stopped and writes nothing more.
    ///
    /// # Errors
    /// `WouldBlock` if a third process acquired the new lock first; otherwise those of the file system.
    pub fn open_replacing_lock(folder: &Path) -> io::Result<Disk> {
        fs::write(folder.join(TEMPORARY_LOCK_FILE), [])?;
        fs::rename(folder.join(TEMPORARY_LOCK_FILE), folder.join(LOCK_FILE))?;
        Disk::open(folder)
    }

    /// Like [`open`](Disk::open), but waits up to `timeout` for the lock.
    ///
    /// # Errors
    /// `WouldBlock` if the lock is still held after `timeout`; otherwise those of the file system.
    pub fn open_waiting(folder: &Path, timeout: Duration) -> io::Result<Disk> {
        let deadline = Instant::now() + timeout;
        loop {
            match Disk::open(folder) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && Instant::now() < deadline => {
                    std::thread::sleep(LOCK_POLL_INTERVAL);
                }
                opened => return opened,
            }
        }
    }

    /// Opens a folder without acquiring its lock, to read it while another process may write.
    pub fn read_only(folder: &Path) -> Disk {
        Disk { folder: folder.into(), _lock: None }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

impl Storage for Disk {
    fn names(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.folder)?;
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path(name))?.take(max_bytes as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn read_from(&self, name: &str, from: u64, max_bytes: usize) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.path(name))?;
        file.seek(SeekFrom::Start(from))?;
        let mut bytes = Vec::new();
        file.take(max_bytes as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.path(name))?.write_all(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new().append(true).open(self.path(name))?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        OpenOptions::new().append(true).open(self.path(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

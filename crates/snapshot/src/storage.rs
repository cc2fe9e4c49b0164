//! The few operations that are needed of a disk, and a folder on a real one.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A folder of small files.
///
/// Invariant: nothing is certain to survive a crash before it is synced: bytes by `sync`, names by `sync_folder`.
/// Names are those of files directly in the folder.
pub trait Storage: Send {
    /// Names of all files.
    ///
    /// # Errors
    /// Those of the file system.
    fn names(&self) -> io::Result<Vec<String>>;
    /// The file's content, at most its first `max_bytes`.
    ///
    /// # Errors
    /// `NotFound` where there is no such file; else those of the file system.
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>>;
    /// At most `max_bytes` of the file from byte `from` on; fewer where the file ends.
    ///
    /// # Errors
    /// `NotFound` where there is no such file; else those of the file system.
    fn read_from(&self, name: &str, from: u64, max_bytes: usize) -> io::Result<Vec<u8>> {
        let from = from as usize;
        let bytes = self.read(name, from.saturating_add(max_bytes))?;
        Ok(bytes.get(from..).unwrap_or_default().to_vec())
    }
    /// Writes a new file with this content, in place of one of that name.
    ///
    /// # Errors
    /// Those of the file system.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Appends to an existing file.
    ///
    /// # Errors
    /// `NotFound` where there is no such file; else those of the file system. A part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content survive a crash.
    ///
    /// # Errors
    /// Those of the file system. What of the file is on the disk is unknown then, and a later sync may report success for
    /// data that was dropped: the file must not be appended to again.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name, in place of the file that has it.
    ///
    /// # Errors
    /// `NotFound` where there is no such file; else those of the file system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// `NotFound` where there is no such file; else those of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes names created, changed and removed survive a crash.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Puts a whole file in place, synced when this returns. It is written and synced under a temporary name first, so
    /// that its own name never refers to half of it.
    ///
    /// # Errors
    /// Those of the file system. The file of this name is then the former or the new one, as a whole.
    fn put(&mut self, temporary: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write(temporary, bytes)?;
        self.sync(temporary)?;
        self.rename(temporary, name)?;
        self.sync_folder()
    }
}

/// A folder on a real disk, locked against other processes while this value lives (unless opened read-only).
pub struct Disk {
    folder: PathBuf,
    _lock: Option<File>,
}

const LOCK_FILE: &str = "lock";
const TEMPORARY_LOCK_FILE: &str = "lock.new";

/// Time between two attempts to take a lock that is waited for.
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(1);

impl Disk {
    /// Opens a folder for writing and creates it if need be.
    ///
    /// # Errors
    /// `WouldBlock` where another process holds the folder's lock; else those of the file system.
    pub fn open(folder: &Path) -> io::Result<Disk> {
        fs::create_dir_all(folder)?;
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK_FILE))?;
        lock.try_lock().map_err(io::Error::from)?;
        Ok(Disk { folder: folder.into(), _lock: Some(lock) })
    }

    /// Opens a folder in place of the process that holds its lock: a new lock file replaces the former one, whose
    /// holder then excludes nobody. The caller must know that the former holder is stopped and writes nothing more.
    ///
    /// # Errors
    /// `WouldBlock` where a third process took the new lock first; else those of the file system.
    pub fn open_over(folder: &Path) -> io::Result<Disk> {
        fs::write(folder.join(TEMPORARY_LOCK_FILE), [])?;
        fs::rename(folder.join(TEMPORARY_LOCK_FILE), folder.join(LOCK_FILE))?;
        Disk::open(folder)
    }

    /// As [`open`](Disk::open), but waits up to `timeout` for the lock.
    ///
    /// # Errors
    /// `WouldBlock` where the lock is still held after `timeout`; else those of the file system.
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

    /// Opens a folder without its lock, to read while another process may write.
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

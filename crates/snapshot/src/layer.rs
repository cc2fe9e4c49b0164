//! The few things asked of a disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A folder of small files. Nothing is safe before it is synced: bytes by `sync`, names by `sync_folder`.
pub trait Storage: Send {
    fn names(&self) -> io::Result<Vec<String>>;
    /// At most so many bytes.
    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>>;
    /// So many bytes from there on, or fewer where the file ends.
    fn read_from(&self, name: &str, from: u64, most: usize) -> io::Result<Vec<u8>> {
        let bytes = self.read(name, (from as usize).saturating_add(most))?;
        Ok(bytes.get(from as usize..).unwrap_or_default().to_vec())
    }
    /// A new file with this content; one of that name is replaced.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Puts a whole file in place: written and synced under another name before it has its own, so that its name never stands
    /// for half of it; safe when this returns.
    fn put(&mut self, fresh: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write(fresh, bytes)?;
        self.sync(fresh)?;
        self.rename(fresh, name)?;
        self.sync_folder()
    }
}

/// A folder on a real disk, locked against other processes for as long as this lives.
pub struct Disk {
    folder: PathBuf,
    _lock: Option<File>,
}

const LOCK: &str = "lock";
const FRESH_LOCK: &str = "lock.new";

impl Disk {
    /// Opens a folder to write in, making it if need be; `WouldBlock` where another process has it.
    pub fn open(folder: &Path) -> io::Result<Disk> {
        fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
        lock.try_lock().map_err(io::Error::from)?;
        Ok(Disk { folder: folder.into(), _lock: Some(lock) })
    }

    /// Opens a folder whose lock a process holds that stands still: a lock of another file takes its place, and the former
    /// holds nothing any more. Whoever calls this knows that the former says nothing more. `WouldBlock` where another was
    /// faster.
    pub fn open_over(folder: &Path) -> io::Result<Disk> {
        fs::write(folder.join(FRESH_LOCK), [])?;
        fs::rename(folder.join(FRESH_LOCK), folder.join(LOCK))?;
        Disk::open(folder)
    }

    /// As `open`, but waits for whoever has the folder, at most so long.
    pub fn open_waiting(folder: &Path, patience: Duration) -> io::Result<Disk> {
        let end = Instant::now() + patience;
        loop {
            match Disk::open(folder) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && Instant::now() < end => {
                    std::thread::sleep(Duration::from_millis(1));
                }
                opened => return opened,
            }
        }
    }

    /// Opens a folder to look at, whoever writes in it.
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

    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path(name))?.take(most as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn read_from(&self, name: &str, from: u64, most: usize) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.path(name))?;
        file.seek(SeekFrom::Start(from))?;
        let mut bytes = Vec::new();
        file.take(most as u64).read_to_end(&mut bytes)?;
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

//! Exclusive use of a folder by one coordinator: a file lock, and a lease that the holder renews. The lease
//! lets another coordinator take over from a process that is stopped while it holds the lock.
//!
//! The holder writes the expiry time of its lease to a file. The time is taken from this machine's boot-time
//! clock, which keeps running while a process or the machine is suspended. The holder checks that clock after
//! each sync of its log and before it sends the messages that depend on it; once the lease has expired it
//! sends nothing more. A successor waits until the lease has expired. Therefore the log that the successor
//! reads contains everything that was sent: it was synced before the check, and the check came before the
//! successor read the log.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use umbertray_snapshot::folder::{current_stamp, time_since_boot};
use umbertray_snapshot::{Disk, Storage};

use crate::CoordinatorError;

/// How long a lease lasts; it is renewed after a third of this time.
const LEASE_DURATION: Duration = Duration::from_secs(3);

const LEASE_FILE: &str = "lease";
const NEW_LEASE_FILE: &str = "lease.new";

/// Whether a coordinator may take a folder over from another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Takeover {
    /// The coordinator uses only a folder that no process has locked.
    #[default]
    Never,
    /// The coordinator also takes over a folder whose lease has expired, even if a stopped process still
    /// holds the lock.
    FromStalled,
}

/// The lease of a folder.
pub(crate) struct Lease {
    folder: PathBuf,
    files: Disk,
    /// Expiry time, since boot.
    expires_at: Duration,
}

/// A folder whose lock and lease this process holds.
pub(crate) struct LeasedFolder {
    pub(crate) lease: Lease,
    pub(crate) disk: Disk,
}

/// Writes a lease that begins now, and returns its expiry time, since boot.
///
/// The file is not synced: only processes of this machine read it, within the same boot. After a reboot the
/// lease counts as expired, and the content of the file does not matter.
fn write_lease(files: &mut Disk) -> io::Result<Duration> {
    let timestamp = current_stamp();
    let expires_at = Duration::from_micros(timestamp.since_boot) + LEASE_DURATION;
    files.write(NEW_LEASE_FILE, format!("{} {}\n", timestamp.boot, expires_at.as_micros()).as_bytes())?;
    files.rename(NEW_LEASE_FILE, LEASE_FILE)?;
    Ok(expires_at)
}

/// The expiry time of a folder's lease, since boot; `None` if the folder has no lease of the current boot.
fn read_lease(folder: &Path) -> io::Result<Option<Duration>> {
    match fs::read_to_string(folder.join(LEASE_FILE)) {
        Ok(text) => {
            let boot = current_stamp().boot.to_string();
            let mut words = text.split_whitespace();
            // A lease of an earlier boot has expired.
            let expires_at =
                words.next().filter(|word| *word == boot).and_then(|_| words.next()?.parse().ok());
            Ok(expires_at.map(Duration::from_micros))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

impl Lease {
    /// Acquires the lock and the lease of a folder.
    pub(crate) fn acquire(folder: &Path, takeover: Takeover) -> Result<LeasedFolder, CoordinatorError> {
        let disk_error = CoordinatorError::disk(folder);
        let disk = match Disk::open(folder) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => match takeover {
                Takeover::Never => return Err(CoordinatorError::Locked { folder: folder.into() }),
                Takeover::FromStalled => take_over(folder)?,
            },
            opened => opened.map_err(&disk_error)?,
        };
        let mut files = Disk::read_only(folder);
        let expires_at = write_lease(&mut files).map_err(&disk_error)?;
        let lease = Lease { folder: folder.into(), files, expires_at };
        Ok(LeasedFolder { lease, disk })
    }

    pub(crate) fn folder(&self) -> &Path {
        &self.folder
    }

    /// Time until the next renewal is due; zero if it is overdue.
    pub(crate) fn time_until_renewal(&self) -> Duration {
        self.renew_at().saturating_sub(time_since_boot())
    }

    /// How long the renewal has been overdue; zero if it is not due yet.
    pub(crate) fn renewal_overdue(&self) -> Duration {
        time_since_boot().saturating_sub(self.renew_at())
    }

    fn renew_at(&self) -> Duration {
        self.expires_at.saturating_sub(LEASE_DURATION.mul_f64(2.0 / 3.0))
    }

    /// Extends the lease to [`LEASE_DURATION`] from now.
    ///
    /// Hazard: the old lease can expire while the new one is written, on a slow disk or in a process that was
    /// stopped. Another coordinator may hold the folder by then, and the new file may have replaced that
    /// coordinator's lease. The lease then does not count as held.
    fn renew(&mut self) -> io::Result<()> {
        let expires_at = write_lease(&mut self.files)?;
        if !self.is_held() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the lease expired during its renewal"));
        }
        self.expires_at = expires_at;
        Ok(())
    }

    /// Extends the lease to [`LEASE_DURATION`] from now, if this process still holds it.
    ///
    /// Hazard: another coordinator may hold the folder once the lease has expired. If this process renewed
    /// the lease over the other's, both would send messages.
    pub(crate) fn renew_unless_lost(&mut self) -> Result<(), CoordinatorError> {
        let overdue = self.renewal_overdue();
        if !self.is_held() || self.is_taken_over() {
            tracing::error!(?overdue, is_held = self.is_held(), "lease lost");
            return Err(CoordinatorError::LeaseLost);
        }
        if let Err(error) = self.renew() {
            tracing::error!(?overdue, %error, "lease renewal failed");
            return Err(CoordinatorError::LeaseLost);
        }
        Ok(())
    }

    /// Whether the lease has not expired. Hazard: it must be checked after the log is synced, and before any
    /// message that depends on the log is sent.
    pub(crate) fn is_held(&self) -> bool {
        time_since_boot() < self.expires_at
    }

    /// Whether another process has taken the folder over: a stopped process finds this when it resumes.
    pub(crate) fn is_taken_over(&self) -> bool {
        read_lease(&self.folder)
            .is_ok_and(|expires_at| expires_at.is_some_and(|expires_at| expires_at > self.expires_at))
    }
}

/// Takes over the folder of a coordinator whose lease has expired although its process still holds the lock:
/// the lock file is replaced.
fn take_over(folder: &Path) -> Result<Disk, CoordinatorError> {
    let disk_error = CoordinatorError::disk(folder);
    if let Some(expires_at) = read_lease(folder).map_err(&disk_error)?
        && let Some(remaining) = expires_at.checked_sub(time_since_boot()).filter(|left| !left.is_zero())
    {
        return Err(CoordinatorError::LeaseNotExpired {
            folder: folder.into(),
            since_renewal: LEASE_DURATION.saturating_sub(remaining),
            lease_duration: LEASE_DURATION,
        });
    }
    let disk = Disk::open_replacing_lock(folder).map_err(|error| match error.kind() {
        // Another process took the folder over first.
        io::ErrorKind::WouldBlock => CoordinatorError::Locked { folder: folder.into() },
        _ => disk_error(error),
    })?;
    tracing::warn!(folder = %folder.display(), "coordinator taken over");
    Ok(disk)
}

#[cfg(test)]
mod tests;

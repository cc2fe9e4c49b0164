//! Who works in a folder: a lock by the system, and beside it a lease that is renewed, so that a process that stands still with
//! its lock can be taken over from.
//!
//! The one who works says in a file until when it does, by the clock of this machine that counts on while a process or the
//! machine stands still. It looks at that clock after each sync of its log and before it says what was synced: past its
//! time it says nothing more. Whoever takes over waits until that time is over. So what was said stands in the log
//! that the successor reads: it was synced before the look, and the look was before the successor's reading.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use umbertray_snapshot::folder::{current_stamp, time_since_boot};
use umbertray_snapshot::{Disk, Storage};

use crate::CoordinatorError;

/// For so long a renewal holds; it is renewed at a third of it.
const HOLDS: Duration = Duration::from_secs(3);

const LEASE: &str = "lease";
const FRESH: &str = "lease.new";

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Takeover {
    /// Only a folder that nobody has.
    #[default]
    Never,
    /// Also one whose coordinator has not renewed its lease in time, though its process still holds the lock.
    FromStalled,
}

pub struct Lease {
    folder: PathBuf,
    files: Disk,
    until: Duration,
}

/// Until when a lease that is there holds: the machine's start and the time since.
fn found(folder: &Path) -> io::Result<Option<Duration>> {
    match fs::read_to_string(folder.join(LEASE)) {
        Ok(text) => {
            let boot = current_stamp().boot.to_string();
            let mut words = text.split_whitespace();
            // One of an earlier start of the machine is over.
            let until = words.next().filter(|word| *word == boot).and_then(|_| words.next()?.parse().ok());
            Ok(until.map(Duration::from_micros))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

impl Lease {
    pub fn take(folder: &Path, takeover: Takeover) -> Result<(Lease, Disk), CoordinatorError> {
        let wrong = crate::disk(folder);
        let disk = match Disk::open(folder) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => match takeover {
                Takeover::Never => return Err(CoordinatorError::Locked { folder: folder.into() }),
                Takeover::FromStalled => taken_over(folder)?,
            },
            opened => opened.map_err(&wrong)?,
        };
        let mut lease =
            Lease { folder: folder.into(), files: Disk::read_only(folder), until: Duration::ZERO };
        lease.renew().map_err(&wrong)?;
        Ok((lease, disk))
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// When to renew it next, from now.
    pub fn renew_in(&self) -> Duration {
        (self.until.saturating_sub(HOLDS.mul_f64(2.0 / 3.0))).saturating_sub(time_since_boot())
    }

    pub fn renew(&mut self) -> io::Result<()> {
        let stamp = current_stamp();
        let until = Duration::from_micros(stamp.since_boot) + HOLDS;
        self.files.put(FRESH, LEASE, format!("{} {}\n", stamp.boot, until.as_micros()).as_bytes())?;
        self.until = until;
        Ok(())
    }

    /// Danger: to be asked after what was logged is synced, and before any of it is said.
    pub fn holds(&self) -> bool {
        time_since_boot() < self.until
    }

    /// Whether another has taken the folder: one that stood still finds it so when it wakes.
    pub fn lost(&self) -> bool {
        found(&self.folder).is_ok_and(|until| until.is_some_and(|until| until > self.until))
    }
}

/// The folder of a coordinator whose lease is over, though its process has the lock: its lock is replaced.
fn taken_over(folder: &Path) -> Result<Disk, CoordinatorError> {
    let wrong = crate::disk(folder);
    if let Some(until) = found(folder).map_err(&wrong)?
        && let Some(wait) = until.checked_sub(time_since_boot()).filter(|left| !left.is_zero())
    {
        let ago = HOLDS.saturating_sub(wait);
        return Err(CoordinatorError::Leased { folder: folder.into(), ago, wait: HOLDS });
    }
    let disk = Disk::open_over(folder).map_err(|error| match error.kind() {
        // Another was faster.
        io::ErrorKind::WouldBlock => CoordinatorError::Locked { folder: folder.into() },
        _ => wrong(error),
    })?;
    tracing::warn!(folder = %folder.display(), "taken over from a keeper that stands still");
    Ok(disk)
}

#[cfg(test)]
mod tests;

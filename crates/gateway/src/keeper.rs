//! The thread that writes state: whatever its disk does, the hub goes on.

use std::path::Path;
use std::sync::mpsc as blocking;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::mpsc;
use umbertray_routing::{Saved, Settings};
use umbertray_state::folder::{self, Folder, GROWN, Recalled};
use umbertray_state::{Disk, Note, Stamp, Unusable};

use crate::hub::ToHub;

/// How long the end of the gateway waits for what is being written.
const LAST: Duration = Duration::from_secs(1);

/// The hub's end of it: at most one save is with the thread.
pub struct Keeper {
    to_thread: Option<blocking::SyncSender<(Duration, Stamp, Saved)>>,
    thread: Option<JoinHandle<()>>,
    writing: bool,
}

/// What the settings are, for state that was promised under others. FNV-1a of the module's map and the volumes' names.
fn digest(settings: &Settings) -> u64 {
    let mut text = format!("{:?}", settings.for_module());
    settings.volumes.iter().for_each(|volume| text.push_str(&format!("\n{} {}", volume.name, volume.plan)));
    umbertray_store_wire::volume_id(&text)
}

/// Opens a folder for this gateway; without one that can be used the gateway runs as without.
pub fn open(
    folder: &Path,
    seed: u64,
    settings: &Settings,
    to_hub: mpsc::UnboundedSender<ToHub>,
) -> Option<(Keeper, Option<Recalled>)> {
    let opened = Disk::open(folder).map_err(|error| match error.kind() {
        std::io::ErrorKind::WouldBlock => Unusable::Locked,
        _ => error.into(),
    });
    let opened =
        opened.and_then(|disk| Folder::open(Box::new(disk), seed, digest(settings), folder::stamp(), GROWN));
    let place = folder.display();
    let (mut folder, recalled, notes) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            tracing::warn!(folder = %place, %error, "state not used");
            return None;
        }
    };
    for note in notes {
        match note {
            Note::Fresh => tracing::info!(folder = %place, "state is fresh"),
            note => tracing::warn!(folder = %place, ?note, "state not wholly believed"),
        }
    }
    if let Some(recalled) = &recalled {
        let (stores, volumes) = (recalled.saved.stores.len(), recalled.saved.volumes.len());
        tracing::info!(folder = %place, stores, volumes, age = ?recalled.age, "state recalled");
    }
    let (to_thread, from_hub) = blocking::sync_channel::<(Duration, Stamp, Saved)>(1);
    let thread = std::thread::spawn(move || {
        for (now, stamp, saved) in from_hub {
            if let Err(error) = folder.save(now, stamp, saved) {
                tracing::warn!(%error, "state not saved");
            }
            _ = to_hub.send(ToHub::Kept);
        }
    });
    let keeper = Keeper { to_thread: Some(to_thread), thread: Some(thread), writing: false };
    Some((keeper, recalled))
}

impl Keeper {
    pub fn idle(&self) -> bool {
        !self.writing
    }

    pub fn keep(&mut self, now: Duration, stamp: Stamp, saved: Saved) {
        let sent = self.to_thread.as_ref().is_some_and(|thread| thread.try_send((now, stamp, saved)).is_ok());
        self.writing |= sent;
    }

    pub fn kept(&mut self) {
        self.writing = false;
    }
}

impl Drop for Keeper {
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

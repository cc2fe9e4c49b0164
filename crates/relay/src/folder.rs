//! Following the writer's folder.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use umbertray_config_log::follow::FollowError;
use umbertray_config_log::{FolderReader, Update};
use umbertray_snapshot::Disk;

use crate::carry::Carried;
use crate::event_loop::LoopEvent;

/// How often the folder is looked at.
const EVERY: Duration = Duration::from_millis(20);

/// How often it is said that a log cannot be followed.
const SAY: Duration = Duration::from_secs(10);

/// Where it is in the folder, or the folder not read yet.
struct Look {
    disk: Disk,
    tail: Option<FolderReader>,
}

impl Look {
    fn look(&mut self) -> Result<Vec<Update>, FollowError> {
        match &mut self.tail {
            Some(tail) => tail.poll(&self.disk),
            None => {
                let (tail, told) = FolderReader::open(&self.disk)?;
                self.tail = Some(tail);
                Ok(told)
            }
        }
    }
}

/// Tells the hub of all that is safely committed there, written down as carried before, until the hub ends. A folder that
/// hangs holds a thread of those for blocking work, and none of the runtime's own.
pub async fn follow(folder: PathBuf, carried: Carried, to_hub: mpsc::Sender<LoopEvent>) {
    let mut look = Look { disk: Disk::read_only(&folder), tail: None };
    let mut said: Option<Instant> = None;
    loop {
        let writer = carried.clone();
        let looked = tokio::task::spawn_blocking(move || {
            let told = look.look();
            let last = told.as_ref().ok().and_then(|told| told.last());
            last.into_iter().for_each(|last| writer.write(last));
            (look, told)
        });
        let Ok(looked) = looked.await else { return };
        let told;
        (look, told) = looked;
        match told {
            Ok(told) => {
                if let Some(last) = told.last() {
                    carried.told(last);
                    if to_hub.send(LoopEvent::Folder(told)).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) if said.is_none_or(|at| at.elapsed() >= SAY) => {
                tracing::error!(folder = %folder.display(), %error, "log of changes not followed");
                said = Some(Instant::now());
            }
            Err(_) => {}
        }
        tokio::select! {
            () = tokio::time::sleep(EVERY) => {}
            () = to_hub.closed() => return,
        }
    }
}

//! Publishes changes of the change log to the event loop and the sessions.

use std::collections::BTreeSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use umbertray_config_log::follow::AppliedVersion;
use umbertray_routing::{Input, Settings, SettingsChange};

/// Maximum number of volumes in one part of a change; the event loop processes requests between the parts.
const MAX_VOLUMES_PER_PART: usize = 256;

/// The event loop has ended, so changes cannot be applied any more.
#[derive(Debug)]
pub(super) struct EventLoopEnded;

/// Publishes changed settings to the event loop and the sessions.
pub(crate) struct ChangePublisher {
    /// The gateway's own settings, which are not part of the change log.
    pub(crate) own_settings: Arc<Settings>,
    /// The settings in force.
    pub(crate) current_settings: Arc<ArcSwap<Settings>>,
    /// Number of volumes removed so far.
    pub(crate) removed_volumes: watch::Sender<u64>,
    /// The applied version.
    pub(crate) applied_version: watch::Sender<u64>,
    /// Sends parts of changes to the event loop.
    pub(crate) changes: mpsc::Sender<Input>,
}

/// The merged changes of several versions.
#[derive(Default)]
struct MergedChanges {
    has_new_parameters: bool,
    volumes: BTreeSet<usize>,
    removed_volumes: u64,
}

impl MergedChanges {
    fn from_versions(versions: &[AppliedVersion]) -> MergedChanges {
        let mut merged = MergedChanges::default();
        for change in versions.iter().flat_map(|(_, changes)| changes) {
            match change {
                SettingsChange::Parameters | SettingsChange::Plan(_) => merged.has_new_parameters = true,
                SettingsChange::Volume(volume) => _ = merged.volumes.insert(*volume),
                SettingsChange::Removed(_) => merged.removed_volumes += 1,
            }
        }
        merged
    }

    /// Splits the changes into parts that the event loop applies one by one. If volumes were only removed,
    /// there is one empty part.
    fn parts(&self) -> Vec<Vec<SettingsChange>> {
        let parameters = self.has_new_parameters.then_some(SettingsChange::Parameters);
        let volumes = self.volumes.iter().map(|volume| SettingsChange::Volume(*volume));
        let changes: Vec<SettingsChange> = parameters.into_iter().chain(volumes).collect();
        if changes.is_empty() {
            return vec![Vec::new()];
        }
        changes.chunks(MAX_VOLUMES_PER_PART).map(<[SettingsChange]>::to_vec).collect()
    }
}

impl ChangePublisher {
    /// Publishes all versions since the last call together: the newest settings, and the merged changes of
    /// all versions.
    pub(super) async fn publish(&self, versions: Vec<AppliedVersion>) -> Result<(), EventLoopEnded> {
        let Some((newest, _)) = versions.last() else { return Ok(()) };
        let merged = MergedChanges::from_versions(&versions);
        let settings = Arc::new(newest.settings(&self.own_settings));
        self.current_settings.store(settings.clone());
        for changes in merged.parts() {
            let part = Input::SettingsChanged { settings: settings.clone(), changes };
            self.changes.send(part).await.map_err(|_| EventLoopEnded)?;
        }
        if merged.removed_volumes > 0 {
            self.removed_volumes.send_modify(|count| *count += merged.removed_volumes);
        }
        self.applied_version.send_replace(newest.number);
        tracing::info!(version = newest.number, changes = versions.len(), "changes applied");
        Ok(())
    }

    /// Waits until the event loop has ended.
    pub(super) async fn event_loop_ended(&self) {
        self.changes.closed().await;
    }
}

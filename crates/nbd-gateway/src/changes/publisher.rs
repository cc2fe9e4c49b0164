//! From the log of changes to the event loop and the sessions.

use std::collections::BTreeSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use umbertray_config_log::follow::AppliedVersion;
use umbertray_routing::{Input, Settings, SettingsChange};

/// Volumes in one part of a change, at most, so that what flows goes on between parts.
const MAX_VOLUMES_PER_PART: usize = 256;

/// The event loop has ended: nobody applies changes any more.
#[derive(Debug)]
pub(super) struct EventLoopEnded;

/// Publishes settings.
pub(crate) struct ChangePublisher {
    /// The gateway's own settings, which the log does not have.
    pub(crate) own_settings: Arc<Settings>,
    /// The settings in force.
    pub(crate) current_settings: Arc<ArcSwap<Settings>>,
    /// Counts the volumes that were removed.
    pub(crate) removed_volumes: watch::Sender<u64>,
    /// The version that is applied.
    pub(crate) applied_version: watch::Sender<u64>,
    /// Parts of changes, for the event loop.
    pub(crate) changes: mpsc::Sender<Input>,
}

/// What several versions changed together.
#[derive(Default)]
struct MergedChanges {
    has_new_figures: bool,
    volumes: BTreeSet<usize>,
    removed_volumes: u64,
}

impl MergedChanges {
    fn of(versions: &[AppliedVersion]) -> MergedChanges {
        let mut merged = MergedChanges::default();
        for change in versions.iter().flat_map(|(_, changes)| changes) {
            match change {
                SettingsChange::Figures | SettingsChange::Plan(_) => merged.has_new_figures = true,
                SettingsChange::Volume(volume) => _ = merged.volumes.insert(*volume),
                SettingsChange::Removed(_) => merged.removed_volumes += 1,
            }
        }
        merged
    }

    /// The parts that the event loop applies one by one; one empty part where volumes were only removed.
    fn parts(&self) -> Vec<Vec<SettingsChange>> {
        let figures = self.has_new_figures.then_some(SettingsChange::Figures);
        let volumes = self.volumes.iter().map(|volume| SettingsChange::Volume(*volume));
        let changes: Vec<SettingsChange> = figures.into_iter().chain(volumes).collect();
        if changes.is_empty() {
            return vec![Vec::new()];
        }
        changes.chunks(MAX_VOLUMES_PER_PART).map(<[SettingsChange]>::to_vec).collect()
    }
}

impl ChangePublisher {
    /// Publishes all versions since the last call at once: the newest settings, and what any of the versions changed.
    pub(super) async fn publish(&self, versions: Vec<AppliedVersion>) -> Result<(), EventLoopEnded> {
        let Some((newest, _)) = versions.last() else { return Ok(()) };
        let merged = MergedChanges::of(&versions);
        let settings = Arc::new(newest.settings(&self.own_settings));
        self.current_settings.store(settings.clone());
        for steps in merged.parts() {
            let part = Input::SettingsChanged { settings: settings.clone(), steps };
            self.changes.send(part).await.map_err(|_| EventLoopEnded)?;
        }
        if merged.removed_volumes > 0 {
            self.removed_volumes.send_modify(|count| *count += merged.removed_volumes);
        }
        self.applied_version.send_replace(newest.number);
        tracing::info!(version = newest.number, changes = versions.len(), "changes acted on");
        Ok(())
    }

    /// Waits until the event loop has ended.
    pub(super) async fn event_loop_ended(&self) {
        self.changes.closed().await;
    }
}

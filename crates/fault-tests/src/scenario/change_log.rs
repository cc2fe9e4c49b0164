//! Changes of the shared settings, committed to the change log that the gateways follow.

use std::io;
use std::path::PathBuf;

use umbertray_config_log::guard::GUARDS;
use umbertray_config_log::log::SEGMENT_BYTES;
use umbertray_config_log::{Change, Edit, Log, Version};
use umbertray_snapshot::Disk;

use super::testbed::Testbed;
use crate::record::TestEvent;

impl Testbed {
    pub(super) fn log_folder(&self) -> PathBuf {
        self.folder.join("changes")
    }

    /// Commits edits of the shared settings, and records the plan limits that they change.
    pub(super) async fn commit(&self, edits: Vec<Edit>) -> io::Result<()> {
        let _writer = self.commit_lock.lock().await;
        tokio::task::block_in_place(|| self.commit_blocking(edits))
    }

    fn commit_blocking(&self, edits: Vec<Edit>) -> io::Result<()> {
        let disk = Disk::open(&self.log_folder())?;
        let mut log = Log::open(Box::new(disk), SEGMENT_BYTES).map_err(io::Error::other)?;
        let before = log.head().clone();
        let change = Change {
            id: format!("change-{}", before.number),
            base: before.number,
            actor: "the day".into(),
            reason: "its script says so".into(),
            at: self.client_context.store_record.now(),
            edits,
            allow: GUARDS.iter().map(|(_, guard)| *guard).collect(),
        };
        let began = self.client_context.store_record.now();
        log.commit(change).map_err(io::Error::other)?;
        let limit =
            |version: &Version, name: &str| version.plan_named(name).and_then(|plan| plan.limit.clone());
        for plan in &self.scenario.document.settings.plans {
            let new = limit(log.head(), &plan.name);
            if let Some(new) = new.filter(|new| limit(&before, &plan.name).as_ref() != Some(new)) {
                let (rate, burst) = (new.rate, new.burst);
                self.record_event(TestEvent::Limit { plan: plan.name.clone(), rate, burst, began });
            }
        }
        Ok(())
    }
}

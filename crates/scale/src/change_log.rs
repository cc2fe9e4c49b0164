//! The change log of a run: the shared settings, and changes from which the version of settings can be
//! derived.

use std::io;
use std::path::Path;

use serde_json::json;
use umbertray_config::Problem;
use umbertray_config_log::guard::GUARDS;
use umbertray_config_log::log::{Log, LogError, SEGMENT_BYTES};
use umbertray_config_log::{Change, ChangeRejected, Configuration, Edit, Key, Kind};
use umbertray_routing::Settings;
use umbertray_snapshot::Disk;

use crate::plan::Plan;
use crate::{ScaleError, script};

/// Name of the plan whose rate encodes the version, since settings do not contain their version.
const VERSION_PLAN: &str = "mark";

/// The rate of [`VERSION_PLAN`] is this plus the version.
const VERSION_RATE_BASE: f64 = 1000.0;

/// The version of the configuration from which settings were made; 0 if it is unknown.
pub(crate) fn version_of(settings: &Settings) -> u64 {
    let version_plan = settings.plans.iter().find(|plan| plan.name == VERSION_PLAN);
    version_plan.map_or(0, |plan| (plan.rate - VERSION_RATE_BASE) as u64)
}

/// Why the change log of a run could not be written.
#[derive(Debug, thiserror::Error)]
pub enum ChangeLogError {
    /// The shared settings are invalid.
    #[error("{}", .0.iter().map(|problem| format!("{problem}\n")).collect::<String>())]
    Settings(Vec<Problem>),
    /// The folder of the log cannot be opened.
    #[error("{0}")]
    Folder(io::Error),
    /// The log cannot be opened.
    #[error("{0}")]
    Open(LogError),
    /// A change was rejected.
    #[error("{0}")]
    Commit(Box<ChangeRejected>),
}

/// The writer of the run's change log.
pub(crate) struct Writer {
    log: Log,
}

impl Writer {
    /// Creates a log in an empty folder, with the plan's settings as version 1.
    pub(crate) fn create(folder: &Path, plan: &Plan) -> Result<Writer, ScaleError> {
        let document = umbertray_config::read("scale.star", script::shared_settings(plan))
            .map_err(ChangeLogError::Settings)?;
        let disk = Disk::open(folder).map_err(ChangeLogError::Folder)?;
        let log = Log::open(Box::new(disk), SEGMENT_BYTES).map_err(ChangeLogError::Open)?;
        let mut writer = Writer { log };
        let first = Configuration::from_calls(&document.calls());
        writer.commit(writer.log.head().configuration.diff(&first))?;
        Ok(writer)
    }

    /// Commits a change of one value, and returns the new version.
    pub(crate) fn commit_change(&mut self) -> Result<u64, ScaleError> {
        let next = self.log.head().number + 1;
        let edit = Edit::Set {
            key: Key::new(Kind::Plan, VERSION_PLAN),
            field: "rate".into(),
            value: json!(VERSION_RATE_BASE + next as f64),
        };
        self.commit(vec![edit])
    }

    /// The last committed version.
    pub(crate) fn version(&self) -> u64 {
        self.log.head().number
    }

    /// Commits edits on top of the last version, and returns the new version.
    fn commit(&mut self, edits: Vec<Edit>) -> Result<u64, ScaleError> {
        let base = self.log.head().number;
        let change = Change {
            id: format!("scale-{base}"),
            base,
            actor: "scale".into(),
            reason: "to measure".into(),
            at: 0,
            edits,
            allow: GUARDS.iter().map(|(_, guard)| *guard).collect(),
        };
        self.log.commit(change).map_err(|error| ChangeLogError::Commit(Box::new(error)))?;
        Ok(self.log.head().number)
    }
}

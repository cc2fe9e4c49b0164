//! Why `umbertray config` failed, and the exit statuses by which scripts tell the kinds of failure apart.

use std::io;
use std::path::PathBuf;

use thiserror::Error;
use umbertray_config::Problem;
use umbertray_config_log::change::ChangeRejected;
use umbertray_config_log::log::LogError;
use umbertray_config_log::{Conflict, InvalidConfiguration, Path};

use crate::error::CommandError;

/// The settings, the change or the arguments are wrong.
const INVALID: u8 = 2;
/// Another change was committed first.
const CONFLICT: u8 = 3;
/// The change has a guarded effect that `--allow` does not name.
const GUARDED: u8 = 4;
/// The log is damaged.
const DAMAGED: u8 = 5;
/// The disk failed or is locked; whether a change was committed is not known.
const DISK: u8 = 6;

#[derive(Debug, Error)]
pub(super) enum ConfigError {
    #[error(transparent)]
    Settings(#[from] CommandError),
    #[error("{0}")]
    Script(Problem),
    #[error("{}", .0.join("\n"))]
    Configuration(InvalidConfiguration),
    /// The script names relays, so its shared settings are available only from them.
    #[error("{file}: its shared settings are held by relays; use a script that contains the settings")]
    SettingsAtRelays { file: String },
    #[error("{}: there is no change log in this folder", folder.display())]
    NoLog { folder: PathBuf },
    #[error("{}: there is already a change log in this folder; change it with `apply`", folder.display())]
    LogExists { folder: PathBuf },
    #[error("there is no version {version}; the versions are 1 to {newest}")]
    UnknownVersion { version: u64, newest: u64 },
    #[error("{text:?} is neither a version number nor a time: {source}")]
    InvalidTime { text: String, source: humantime::TimestampError },
    #[error("no version had been committed before {text}")]
    NoVersionBefore { text: String },
    #[error("version {version} cannot be reverted; versions 2 to {newest} can")]
    NotRevertible { version: u64, newest: u64 },
    #[error("no change has affected {0}")]
    NeverChanged(Path),
    #[error("nothing would change")]
    NoEdits,
    #[error("{0}")]
    InvalidSet(String),
    /// An invalid edit on the command line, and the reason.
    #[error("{argument:?}: {reason}")]
    InvalidEdit { argument: String, reason: String },
    #[error("{}", rejection(.0))]
    Rejected(#[from] ChangeRejected),
    #[error(transparent)]
    Log(#[from] LogError),
    #[error("{}: another writer holds the lock of this folder", folder.display())]
    Locked { folder: PathBuf },
    #[error("{}: {source}", folder.display())]
    Folder { folder: PathBuf, source: io::Error },
}

impl ConfigError {
    pub(super) fn exit_status(&self) -> u8 {
        match self {
            ConfigError::Rejected(ChangeRejected::Conflict(_)) => CONFLICT,
            ConfigError::Rejected(ChangeRejected::Guarded(_)) => GUARDED,
            ConfigError::Log(LogError::Broken { .. }) => DAMAGED,
            ConfigError::Rejected(ChangeRejected::Disk(_))
            | ConfigError::Log(LogError::Disk(_))
            | ConfigError::Locked { .. }
            | ConfigError::Folder { .. } => DISK,
            _ => INVALID,
        }
    }
}

/// The message of a rejection; for a conflict, followed by a line for each change that conflicts.
fn rejection(rejected: &ChangeRejected) -> String {
    let mut text = rejected.to_string();
    if let ChangeRejected::Conflict(conflicts) = rejected {
        let lines: Vec<String> = conflicts.iter().map(conflict_line).collect();
        text.push('\n');
        text.push_str(&lines.join("\n"));
    }
    text
}

fn conflict_line(conflict: &Conflict) -> String {
    let Conflict { path, version, actor, yours, theirs, .. } = conflict;
    format!("{path}: yours is {yours}, {actor} made it {theirs} in version {version}")
}

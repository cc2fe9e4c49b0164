//! Commands that write to the change log, or show what a change would do; each takes the log folder's lock.

use std::io;
use std::path::Path as FsPath;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use umbertray_config_log::change::Change;
use umbertray_config_log::log::{self, Log, LogError, SEGMENT_BYTES};
use umbertray_config_log::model::Fields;
use umbertray_config_log::{Configuration, Edit, Path, SettingsChange};
use umbertray_snapshot::Disk;

use super::error::ConfigError;
use super::{AuthorArguments, ChangeArguments, GuardName, LogArguments, print};
use crate::error::CommandError;
use crate::output;
use crate::serve::{self, Document};

/// How long a writer waits for another to release the folder's lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(30);

pub(super) fn import(file: &FsPath, log: &LogArguments, author: AuthorArguments) -> Result<(), ConfigError> {
    let wanted = read_script(file)?;
    let mut change_log = open_log(&log.changes)?;
    let is_retry = committed_base(&change_log, &author)? == Some(0);
    if change_log.head().number > 0 && !is_retry {
        return Err(ConfigError::LogExists { folder: log.changes.clone() });
    }
    let edits = Configuration::default().diff(&wanted);
    commit(&mut change_log, log, new_change(author, 0, edits, &[]))
}

pub(super) fn apply(
    arguments: &ChangeArguments,
    log: &LogArguments,
    author: AuthorArguments,
) -> Result<(), ConfigError> {
    let mut change_log = open_log(&log.changes)?;
    // Hazard: a change that is sent again without `--base` must keep the base that it was committed with.
    // Based on the newest version, it would be a different change under the same id, and be rejected.
    let base = arguments.base.map_or_else(|| committed_base(&change_log, &author), |base| Ok(Some(base)))?;
    let edits = parse_edits(arguments, base, &change_log)?;
    let base = base.unwrap_or(change_log.head().number);
    commit(&mut change_log, log, new_change(author, base, edits, &arguments.allow))
}

pub(super) fn plan(arguments: &ChangeArguments, log: &LogArguments) -> Result<(), ConfigError> {
    let change_log = open_log(&log.changes)?;
    let edits = parse_edits(arguments, arguments.base, &change_log)?;
    let head = change_log.head();
    let base = arguments.base.unwrap_or(head.number);
    for edit in &edits {
        print::edit(log, edit, &head.configuration, head);
    }
    let author = AuthorArguments { actor: "plan".into(), reason: "dry run".into(), id: None };
    let (_, steps) = change_log.preview(&new_change(author, base, edits, &arguments.allow))?;
    if !log.json {
        let volumes = steps.iter().filter(|step| changes_a_volume(step)).count();
        output::print_line(&format!(
            "{volumes} volumes change directly, and the volumes of the plans above with their plan"
        ));
    }
    Ok(())
}

fn changes_a_volume(step: &SettingsChange) -> bool {
    matches!(step, SettingsChange::Volume(_) | SettingsChange::Removed(_))
}

/// Commits the edits that undo one version; they conflict with later changes to the same entities or fields.
pub(super) fn revert(
    version: u64,
    allow: &[GuardName],
    log: &LogArguments,
    author: AuthorArguments,
) -> Result<(), ConfigError> {
    let mut change_log = open_log(&log.changes)?;
    let newest = change_log.head().number;
    if version < 2 || version > newest {
        return Err(ConfigError::NotRevertible { version, newest });
    }
    let before = log::version(change_log.storage(), version - 1)?;
    let after = log::version(change_log.storage(), version)?;
    let edits = after.configuration.diff(&before.configuration);
    commit(&mut change_log, log, new_change(author, version, edits, allow))
}

fn open_log(folder: &FsPath) -> Result<Log, ConfigError> {
    let disk = Disk::open_waiting(folder, LOCK_TIMEOUT).map_err(|source| match source.kind() {
        io::ErrorKind::WouldBlock => ConfigError::Locked { folder: folder.into() },
        _ => ConfigError::Folder { folder: folder.into(), source },
    })?;
    Ok(Log::open(Box::new(disk), SEGMENT_BYTES)?)
}

/// The base version of the change that is already committed under the author's id, if there is one.
fn committed_base(change_log: &Log, author: &AuthorArguments) -> Result<Option<u64>, ConfigError> {
    let base = author.id.as_deref().map(|id| change_log.committed_base(id)).transpose();
    Ok(base.map_err(LogError::Disk)?.flatten())
}

fn commit(change_log: &mut Log, log: &LogArguments, change: Change) -> Result<(), ConfigError> {
    let committed = change_log.commit(change)?;
    print::commit(log, committed.version, committed.was_committed_before);
    Ok(())
}

/// Reads the shared settings of a script, also of one without `gateway(...)`, as `show` prints it.
fn read_script(file: &FsPath) -> Result<Configuration, ConfigError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(CommandError::io(&name))?;
    let calls = umbertray_config::evaluate(&name, text).map_err(ConfigError::Script)?;
    let document = if calls.iter().any(|call| call.function == "gateway") {
        match serve::read_document(file)? {
            Document::Complete(document) => document,
            Document::OwnPart(_) => return Err(ConfigError::SettingsAtRelays { file: name }),
        }
    } else {
        umbertray_config_log::version::document(&calls, &[]).map_err(ConfigError::Configuration)?
    };
    Ok(Configuration::from_calls(&document.calls()))
}

/// Parses the edits that the arguments describe, in the order script, set, put, remove.
fn parse_edits(arguments: &ChangeArguments, base: Option<u64>, log: &Log) -> Result<Vec<Edit>, ConfigError> {
    let mut edits = Vec::new();
    if let Some(file) = &arguments.file {
        edits.extend(script_edits(file, base, log)?);
    }
    for argument in &arguments.set {
        edits.push(
            Edit::parse_set_edit(argument).map_err(|error| ConfigError::InvalidSet(error.to_string()))?,
        );
    }
    for argument in &arguments.put {
        edits.push(parse_put(argument)?);
    }
    for path in &arguments.remove {
        edits.push(parse_removal(path)?);
    }
    if edits.is_empty() { Err(ConfigError::NoEdits) } else { Ok(edits) }
}

/// The differences between a script and the version that it is based on.
fn script_edits(file: &FsPath, base: Option<u64>, log: &Log) -> Result<Vec<Edit>, ConfigError> {
    let wanted = read_script(file)?;
    let older_base = base.filter(|base| *base != log.head().number);
    let older_base = older_base.map(|base| log::version(log.storage(), base)).transpose()?;
    let base = older_base.as_ref().unwrap_or(log.head());
    Ok(base.configuration.diff(&wanted))
}

fn parse_put(argument: &str) -> Result<Edit, ConfigError> {
    let (path, fields) =
        argument.split_once('=').ok_or_else(|| invalid_edit(argument, "the = is missing"))?;
    let path = path.parse::<Path>().map_err(|error| invalid_edit(argument, error.to_string()))?;
    let fields: Fields =
        serde_json::from_str(fields).map_err(|error| invalid_edit(argument, error.to_string()))?;
    Ok(Edit::Put { key: path.key, fields })
}

fn parse_removal(path: &Path) -> Result<Edit, ConfigError> {
    if path.field.is_some() {
        let reason = "only an entity can be removed; to reset a field, set it to null";
        return Err(invalid_edit(&path.to_string(), reason));
    }
    Ok(Edit::Remove { key: path.key.clone() })
}

fn invalid_edit(argument: &str, reason: impl Into<String>) -> ConfigError {
    ConfigError::InvalidEdit { argument: argument.into(), reason: reason.into() }
}

fn new_change(author: AuthorArguments, base: u64, edits: Vec<Edit>, allow: &[GuardName]) -> Change {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // The process id makes the ids of two commands distinct that start in the same nanosecond.
    let generated_id = || format!("{}-{}", now.as_nanos(), std::process::id());
    Change {
        id: author.id.unwrap_or_else(generated_id),
        base,
        actor: author.actor,
        reason: author.reason,
        at: now.as_micros() as u64,
        edits,
        allow: allow.iter().copied().map(Into::into).collect(),
    }
}

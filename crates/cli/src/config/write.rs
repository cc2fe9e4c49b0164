//! Commands that change the log of changes, or say what a change would do; each takes the folder's lock.

use std::io;
use std::path::Path as File;
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

pub(super) fn import(file: &File, log: &LogArguments, author: AuthorArguments) -> Result<(), ConfigError> {
    let wanted = read_script(file)?;
    let mut opened = open(&log.changes)?;
    let is_sent_again = former_base(&opened, &author)? == Some(0);
    if opened.head().number > 0 && !is_sent_again {
        return Err(ConfigError::LogExists { folder: log.changes.clone() });
    }
    let edits = Configuration::default().diff(&wanted);
    commit(&mut opened, log, new_change(author, 0, edits, &[]))
}

pub(super) fn apply(
    arguments: &ChangeArguments,
    log: &LogArguments,
    author: AuthorArguments,
) -> Result<(), ConfigError> {
    let mut opened = open(&log.changes)?;
    // Hazard: without a base of its own a change that is sent again would be another one, written from a later version.
    let base = arguments.base.map_or_else(|| former_base(&opened, &author), |base| Ok(Some(base)))?;
    let edits = parse_edits(arguments, base, &opened)?;
    let base = base.unwrap_or(opened.head().number);
    commit(&mut opened, log, new_change(author, base, edits, &arguments.allow))
}

pub(super) fn plan(arguments: &ChangeArguments, log: &LogArguments) -> Result<(), ConfigError> {
    let opened = open(&log.changes)?;
    let edits = parse_edits(arguments, arguments.base, &opened)?;
    let head = opened.head();
    let base = arguments.base.unwrap_or(head.number);
    for edit in &edits {
        print::edit(log, edit, &head.configuration, head);
    }
    let author = AuthorArguments { actor: "nobody".into(), reason: "to see".into(), id: None };
    let (_, steps) = opened.plan(&new_change(author, base, edits, &arguments.allow))?;
    if !log.json {
        let volumes = steps.iter().filter(|step| changes_a_volume(step)).count();
        output::print_line(&format!("{volumes} volumes themselves change, and those of the plans above"));
    }
    Ok(())
}

fn changes_a_volume(step: &SettingsChange) -> bool {
    matches!(step, SettingsChange::Volume(_) | SettingsChange::Removed(_))
}

/// Commits the edits that undo one version, as far as nothing changed the same places since.
pub(super) fn revert(
    version: u64,
    allow: &[GuardName],
    log: &LogArguments,
    author: AuthorArguments,
) -> Result<(), ConfigError> {
    let mut opened = open(&log.changes)?;
    let newest = opened.head().number;
    if version < 2 || version > newest {
        return Err(ConfigError::NotRevertible { version, newest });
    }
    let before = log::version(opened.layer(), version - 1)?;
    let after = log::version(opened.layer(), version)?;
    let edits = after.configuration.diff(&before.configuration);
    commit(&mut opened, log, new_change(author, version, edits, allow))
}

fn open(folder: &File) -> Result<Log, ConfigError> {
    let disk = Disk::open_waiting(folder, LOCK_TIMEOUT).map_err(|source| match source.kind() {
        io::ErrorKind::WouldBlock => ConfigError::Locked { folder: folder.into() },
        _ => ConfigError::Folder { folder: folder.into(), source },
    })?;
    Ok(Log::open(Box::new(disk), SEGMENT_BYTES)?)
}

/// The version that a change was written from that was committed under the author's id.
fn former_base(opened: &Log, author: &AuthorArguments) -> Result<Option<u64>, ConfigError> {
    let base = author.id.as_deref().map(|id| opened.base_of(id)).transpose();
    Ok(base.map_err(LogError::Disk)?.flatten())
}

fn commit(opened: &mut Log, log: &LogArguments, change: Change) -> Result<(), ConfigError> {
    let committed = opened.commit(change)?;
    print::commit(log, committed.version, committed.was_committed_before);
    Ok(())
}

/// The shared settings of a script; one without `gateway(...)`, as `show` prints it, is accepted too.
fn read_script(file: &File) -> Result<Configuration, ConfigError> {
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
    Ok(Configuration::of_calls(&document.calls()))
}

/// The edits that the arguments describe, in the order script, set, put, remove.
fn parse_edits(arguments: &ChangeArguments, base: Option<u64>, log: &Log) -> Result<Vec<Edit>, ConfigError> {
    let mut edits = Vec::new();
    if let Some(file) = &arguments.file {
        edits.extend(script_edits(file, base, log)?);
    }
    for argument in &arguments.set {
        edits.push(Edit::set(argument).map_err(|error| ConfigError::InvalidSet(error.to_string()))?);
    }
    for argument in &arguments.put {
        edits.push(parse_put(argument)?);
    }
    for place in &arguments.remove {
        edits.push(parse_removal(place)?);
    }
    if edits.is_empty() { Err(ConfigError::NoEdits) } else { Ok(edits) }
}

/// What differs between a script and the version that it was written from.
fn script_edits(file: &File, base: Option<u64>, log: &Log) -> Result<Vec<Edit>, ConfigError> {
    let wanted = read_script(file)?;
    let older_base = base.filter(|base| *base != log.head().number);
    let older_base = older_base.map(|base| log::version(log.layer(), base)).transpose()?;
    let base = older_base.as_ref().unwrap_or(log.head());
    Ok(base.configuration.diff(&wanted))
}

fn parse_put(argument: &str) -> Result<Edit, ConfigError> {
    let (place, fields) = argument.split_once('=').ok_or_else(|| invalid_edit(argument, "no = in it"))?;
    let place = place.parse::<Path>().map_err(|error| invalid_edit(argument, error.to_string()))?;
    let fields: Fields =
        serde_json::from_str(fields).map_err(|error| invalid_edit(argument, error.to_string()))?;
    Ok(Edit::Put { key: place.key, fields })
}

fn parse_removal(place: &Path) -> Result<Edit, ConfigError> {
    if place.field.is_some() {
        let reason = "only whole entities are removed; set a field to null";
        return Err(invalid_edit(&place.to_string(), reason));
    }
    Ok(Edit::Remove { key: place.key.clone() })
}

fn invalid_edit(argument: &str, reason: impl Into<String>) -> ConfigError {
    ConfigError::InvalidEdit { argument: argument.into(), reason: reason.into() }
}

fn new_change(author: AuthorArguments, base: u64, edits: Vec<Edit>, allow: &[GuardName]) -> Change {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // Two commands that start at the same nanosecond are two processes.
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

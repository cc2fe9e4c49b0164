//! Output of `umbertray config`, as text for people and as JSON.

use std::time::UNIX_EPOCH;

use serde_json::json;
use umbertray_config_log::log::CommittedChange;
use umbertray_config_log::{Configuration, Edit, Kind, Version};

use super::LogArguments;
use crate::output;
use crate::serve::Document;

/// Largest number of edits printed for one change in the log; of the others only the number is printed.
const MAX_EDITS_LISTED: usize = 20;

pub(super) fn document(document: &Document) {
    match document {
        Document::Complete(settings) => output::print(&settings.as_script()),
        Document::OwnPart(settings) => output::print(&settings.local_script()),
    }
}

/// Prints the value of an edited entity or field before and after the edit, and the number of volumes on a
/// plan.
pub(super) fn edit(log: &LogArguments, edit: &Edit, before: &Configuration, version: &Version) {
    let path = edit.path();
    let before = before.field(&path);
    let volumes = (path.key.kind == Kind::Plan).then(|| version.volume_count(&path.key.name));
    if log.json {
        let path = path.to_string();
        let row =
            json!({ "place": path, "before": before, "after": edit.display_value(), "volumes": volumes });
        output::print_json(&row);
        return;
    }
    let before = before.map_or("nothing".into(), |value| value.to_string());
    let affected = volumes.map_or(String::new(), |count| format!(" ({count} volumes)"));
    output::print_line(&format!("{path}: {before} -> {}{affected}", edit.display_value()));
}

pub(super) fn version(log: &LogArguments, version: &Version) {
    if log.json {
        output::print(&String::from_utf8_lossy(&version.configuration.to_bytes()));
        return;
    }
    output::print_line(&format!("# Version {}", version.number));
    for call in version.configuration.calls() {
        output::print_line(&call.as_script());
    }
}

pub(super) fn committed_change(log: &LogArguments, committed: &CommittedChange) {
    let change = &committed.change;
    let version = committed.version;
    let at = humantime::format_rfc3339_micros(UNIX_EPOCH + change.at()).to_string();
    if log.json {
        let hash: String = committed.hash.iter().map(|byte| format!("{byte:02x}")).collect();
        output::print_json(&json!({ "version": version, "hash": hash, "at": at, "change": change }));
        return;
    }
    output::print_line(&format!("{version}  {at}  {}: {}", change.actor, change.reason));
    for edit in change.edits.iter().take(MAX_EDITS_LISTED) {
        output::print_line(&format!("    {} -> {}", edit.path(), edit.display_value()));
    }
    if change.edits.len() > MAX_EDITS_LISTED {
        output::print_line(&format!("    and {} more", change.edits.len() - MAX_EDITS_LISTED));
    }
}

pub(super) fn commit(log: &LogArguments, version: u64, was_committed_before: bool) {
    if log.json {
        output::print_json(&json!({ "version": version, "again": was_committed_before }));
    } else if was_committed_before {
        output::print_line(&format!("version {version}, already committed"));
    } else {
        output::print_line(&format!("version {version}"));
    }
}

pub(super) fn verified(log: &LogArguments, versions: u64) {
    if log.json {
        output::print_json(&json!({ "verified": versions }));
    } else {
        output::print_line(&format!("all {versions} versions were rebuilt and match the stored ones"));
    }
}

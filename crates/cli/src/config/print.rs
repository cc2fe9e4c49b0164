//! What `umbertray config` prints, for people and as JSON.

use std::time::UNIX_EPOCH;

use serde_json::json;
use umbertray_config_log::log::CommittedChange;
use umbertray_config_log::{Configuration, Edit, Kind, Version};

use super::LogArguments;
use crate::output;
use crate::serve::Document;

/// Edits printed of one change of the log; the rest is counted.
const MAX_EDITS_LISTED: usize = 20;

pub(super) fn document(document: &Document) {
    match document {
        Document::Complete(settings) => output::print(&settings.as_script()),
        Document::OwnPart(settings) => output::print(&settings.own_script()),
    }
}

/// One place, before and after, and how many volumes are on it where it is a plan.
pub(super) fn edit(log: &LogArguments, edit: &Edit, before: &Configuration, version: &Version) {
    let place = edit.path();
    let before = before.field(&place);
    let volumes = (place.key.kind == Kind::Plan).then(|| version.volume_count(&place.key.name));
    if log.json {
        let place = place.to_string();
        let row = json!({ "place": place, "before": before, "after": edit.value(), "volumes": volumes });
        output::print_json(&row);
        return;
    }
    let before = before.map_or("nothing".into(), |value| value.to_string());
    let affected = volumes.map_or(String::new(), |count| format!(" ({count} volumes)"));
    output::print_line(&format!("{place}: {before} -> {}{affected}", edit.value()));
}

pub(super) fn version(log: &LogArguments, version: &Version) {
    if log.json {
        output::print(&String::from_utf8_lossy(&version.configuration.bytes()));
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
        output::print_line(&format!("    {} -> {}", edit.path(), edit.value()));
    }
    if change.edits.len() > MAX_EDITS_LISTED {
        output::print_line(&format!("    and {} more", change.edits.len() - MAX_EDITS_LISTED));
    }
}

pub(super) fn commit(log: &LogArguments, version: u64, was_committed_before: bool) {
    if log.json {
        output::print_json(&json!({ "version": version, "again": was_committed_before }));
    } else if was_committed_before {
        output::print_line(&format!("version {version}, done before"));
    } else {
        output::print_line(&format!("version {version}"));
    }
}

pub(super) fn verified(log: &LogArguments, versions: u64) {
    if log.json {
        output::print_json(&json!({ "verified": versions }));
    } else {
        output::print_line(&format!("all {versions} versions are rebuilt as they are kept"));
    }
}

//! Keeps the positions of operation types and plans when settings change at runtime.
//!
//! Hazard: open operations and the scheduler refer to types and plans by position. If positions changed, an
//! operation that must not be executed twice might be, and a rate limit would be refilled at the rate of
//! another plan.

use umbertray::interface::Settings;

/// The lists whose entries keep their positions.
const LISTS: [&str; 2] = ["op_types", "plans"];

/// Returns `new` with each operation type and plan moved to the position of its name in `current`. Names that
/// are new follow. A name that is missing from `new` keeps its position and values, marked as `gone`.
pub(crate) fn with_stable_positions(current: &Settings, new: &Settings) -> Settings {
    let is_listed = |path: &str| LISTS.iter().any(|list| strip_step(path, list).is_some());
    let others = new.iter().filter(|(path, _)| !is_listed(path));
    let mut result: Settings = others.map(|(path, value)| (path.clone(), value.clone())).collect();
    LISTS.iter().for_each(|list| merge_list(current, new, list, &mut result));
    result
}

fn merge_list(current: &Settings, new: &Settings, list: &str, result: &mut Settings) {
    let current_names = entry_names(current, list);
    let new_names = entry_names(new, list);
    for (position, name) in current_names.iter().enumerate() {
        match new_names.iter().position(|new| new == name) {
            Some(from) => copy_entry(new, list, from, result, position),
            None => {
                copy_entry(current, list, position, result, position);
                result.insert(format!("{list}.{position}.gone"), "true".into());
            }
        }
    }
    let added: Vec<usize> =
        (0..new_names.len()).filter(|from| !current_names.contains(&new_names[*from])).collect();
    for (offset, from) in added.iter().enumerate() {
        copy_entry(new, list, *from, result, current_names.len() + offset);
    }
    result.insert(format!("{list}.count"), (current_names.len() + added.len()).to_string());
}

/// The rest of a path after its first segment, if that is `step`.
fn strip_step<'a>(path: &'a str, step: &str) -> Option<&'a str> {
    path.strip_prefix(step)?.strip_prefix('.')
}

/// The number of entries of a list.
pub(crate) fn entry_count(settings: &Settings, list: &str) -> Option<usize> {
    settings.get(&format!("{list}.count"))?.parse().ok()
}

/// The names of a list's entries, by position.
fn entry_names<'a>(settings: &'a Settings, list: &str) -> Vec<&'a str> {
    let name = |position| settings.get(&format!("{list}.{position}.name")).map_or("", String::as_str);
    (0..entry_count(settings, list).unwrap_or_default()).map(name).collect()
}

/// Copies all values of a list entry to another position.
fn copy_entry(from: &Settings, list: &str, from_position: usize, to: &mut Settings, to_position: usize) {
    let step = from_position.to_string();
    for (path, value) in from {
        if let Some(field) = strip_step(path, list).and_then(|rest| strip_step(rest, &step)) {
            to.insert(format!("{list}.{to_position}.{field}"), value.clone());
        }
    }
}

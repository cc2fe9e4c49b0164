//! Positions of operation types and plans in the settings, which stay the same when settings change in service.
//!
//! Hazard: open operations and the scheduler know types and plans by their positions. At another's position, an operation
//! that must not be executed twice would be, and a limit would fill at another plan's rate.

use umbertray::interface::Settings;

/// The lists whose entries keep their positions.
const LISTS: [&str; 2] = ["op_types", "plans"];

/// `new` with each operation type and plan at the position that its name has in `current`; names that are new follow. A name
/// that `new` lacks keeps its position and its values, marked as gone.
pub(crate) fn with_stable_positions(current: &Settings, new: &Settings) -> Settings {
    let is_listed = |path: &str| LISTS.iter().any(|list| below(path, list).is_some());
    let others = new.iter().filter(|(path, _)| !is_listed(path));
    let mut result: Settings = others.map(|(path, value)| (path.clone(), value.clone())).collect();
    LISTS.iter().for_each(|list| position_list(current, new, list, &mut result));
    result
}

fn position_list(current: &Settings, new: &Settings, list: &str, result: &mut Settings) {
    let current_names = names(current, list);
    let new_names = names(new, list);
    for (position, name) in current_names.iter().enumerate() {
        match new_names.iter().position(|new| new == name) {
            Some(from) => copy(new, list, from, result, position),
            None => {
                copy(current, list, position, result, position);
                result.insert(format!("{list}.{position}.gone"), "true".into());
            }
        }
    }
    let added: Vec<usize> =
        (0..new_names.len()).filter(|from| !current_names.contains(&new_names[*from])).collect();
    for (offset, from) in added.iter().enumerate() {
        copy(new, list, *from, result, current_names.len() + offset);
    }
    result.insert(format!("{list}.count"), (current_names.len() + added.len()).to_string());
}

/// The rest of a path after its first step.
fn below<'a>(path: &'a str, step: &str) -> Option<&'a str> {
    path.strip_prefix(step)?.strip_prefix('.')
}

/// The number of entries of a list.
pub(crate) fn count(settings: &Settings, list: &str) -> Option<usize> {
    settings.get(&format!("{list}.count"))?.parse().ok()
}

/// Names of a list's entries by position.
fn names<'a>(settings: &'a Settings, list: &str) -> Vec<&'a str> {
    let name = |position| settings.get(&format!("{list}.{position}.name")).map_or("", String::as_str);
    (0..count(settings, list).unwrap_or_default()).map(name).collect()
}

/// Copies all values of a list's entry to another position.
fn copy(from: &Settings, list: &str, from_position: usize, to: &mut Settings, to_position: usize) {
    let step = from_position.to_string();
    for (path, value) in from {
        if let Some(field) = below(path, list).and_then(|rest| below(rest, &step)) {
            to.insert(format!("{list}.{to_position}.{field}"), value.clone());
        }
    }
}

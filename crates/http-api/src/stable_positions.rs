//! Settings that change in service, with op types and plans in the places that the module knows them by.

use umbertray::interface::Settings;

const LISTS: [&str; 2] = ["op_types", "plans"];

/// The settings told, with each op type and plan at the place that its name has in those held, and new ones behind. Who
/// is no more keeps its place and figures, marked as gone. Danger: ops that are open are known by these places; by
/// another's figures a once-only op would be sent twice, and a limit be filled at another's rate.
pub fn in_places(held: &Settings, told: &Settings) -> Settings {
    let listed = |path: &str| LISTS.iter().any(|list| below(path, list).is_some());
    let others = told.iter().filter(|(path, _)| !listed(path));
    let mut placed: Settings = others.map(|(path, value)| (path.clone(), value.clone())).collect();
    for list in LISTS {
        let (before, now) = (names(held, list), names(told, list));
        for (place, name) in before.iter().enumerate() {
            match now.iter().position(|told| told == name) {
                Some(at) => copy(told, list, at, &mut placed, place),
                None => {
                    copy(held, list, place, &mut placed, place);
                    placed.insert(format!("{list}.{place}.gone"), "true".into());
                }
            }
        }
        let new: Vec<usize> = (0..now.len()).filter(|at| !before.contains(&now[*at])).collect();
        for (n, at) in new.iter().enumerate() {
            copy(told, list, *at, &mut placed, before.len() + n);
        }
        placed.insert(format!("{list}.count"), (before.len() + new.len()).to_string());
    }
    placed
}

/// What follows a step at the head of a path.
fn below<'a>(path: &'a str, step: &str) -> Option<&'a str> {
    path.strip_prefix(step)?.strip_prefix('.')
}

/// How many of a list settings tell of.
pub fn count(settings: &Settings, list: &str) -> Option<usize> {
    settings.get(&format!("{list}.count"))?.parse().ok()
}

/// Those of a list by their names, in their places.
fn names<'a>(settings: &'a Settings, list: &str) -> Vec<&'a str> {
    let name = |place| settings.get(&format!("{list}.{place}.name")).map_or("", String::as_str);
    (0..count(settings, list).unwrap_or_default()).map(name).collect()
}

fn copy(from: &Settings, list: &str, at: usize, to: &mut Settings, place: usize) {
    let step = at.to_string();
    for (path, value) in from {
        if let Some(field) = below(path, list).and_then(|rest| below(rest, &step)) {
            to.insert(format!("{list}.{place}.{field}"), value.clone());
        }
    }
}

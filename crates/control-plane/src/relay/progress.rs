//! Summaries of which versions members have applied, added up on the way to the folder.

use umbertray_store_protocol::changes::{
    LaggingMember, MAX_LAGGING, MAX_MEMBERS, MAX_VERSION_COUNTS, ProgressSummary, Role, VersionCount,
};

/// Why a summary is rejected, or nothing where it is plausible.
pub(super) fn rejection_reason(summary: &ProgressSummary, role: Role, head: u64) -> Option<&'static str> {
    let is_descending = summary.levels.is_sorted_by(|one, next| one.version > next.version);
    let members: u64 = summary.levels.iter().map(|level| u64::from(level.members)).sum();
    let has_future_level = summary.levels.iter().any(|level| level.version > head);
    if has_future_level || summary.lagging.iter().any(|member| member.version > head) {
        Some("a version not yet written")
    } else if !is_descending || summary.levels.iter().any(|level| level.members == 0) {
        Some("levels out of order or empty")
    } else if members > u64::from(MAX_MEMBERS) {
        Some("more members than any fleet has")
    } else if role == Role::Gateway && (members > 1 || !summary.lagging.is_empty()) {
        Some("a gateway with members below it")
    } else if summary.lagging.len() as u64 > members {
        Some("more members behind than there are")
    } else {
        None
    }
}

/// Adds `other` to `sum`.
///
/// Invariant: a sum never says that more members have applied a version than have. Levels beyond the bound are merged into
/// lower ones.
pub(super) fn add(sum: &mut ProgressSummary, other: &ProgressSummary) {
    for level in &other.levels {
        match sum.levels.binary_search_by(|known| level.version.cmp(&known.version)) {
            Ok(index) => {
                let members = &mut sum.levels[index].members;
                *members = members.saturating_add(level.members).min(MAX_MEMBERS);
            }
            Err(index) => sum.levels.insert(index, *level),
        }
    }
    while sum.levels.len() > MAX_VERSION_COUNTS
        && let Some(lowest) = sum.levels.pop()
        && let Some(above) = sum.levels.last_mut()
    {
        let members = above.members.saturating_add(lowest.members).min(MAX_MEMBERS);
        *above = VersionCount { version: lowest.version, members };
    }
    sum.lagging.extend(other.lagging.iter().cloned());
}

/// Keeps the members that lag most, up to the bound.
pub(super) fn truncate_lagging(sum: &mut ProgressSummary) {
    let order = |member: &LaggingMember| (member.version, u32::MAX - member.lag_seconds, member.name.clone());
    sum.lagging.sort_by_cached_key(order);
    sum.lagging.truncate(MAX_LAGGING);
}

//! Progress summaries: how many members have applied which version. Each relay adds up the summaries of its
//! followers.

use umbertray_store_protocol::changes::{
    LaggingMember, MAX_LAGGING, MAX_MEMBERS, MAX_VERSION_COUNTS, ProgressSummary, Role, VersionCount,
};

/// Why a follower's summary is rejected; `None` if it is plausible.
pub(super) fn rejection_reason(summary: &ProgressSummary, role: Role, head: u64) -> Option<&'static str> {
    let is_descending = summary.version_counts.is_sorted_by(|one, next| one.version > next.version);
    let members: u64 = summary.version_counts.iter().map(|count| u64::from(count.members)).sum();
    let has_future_version = summary.version_counts.iter().any(|count| count.version > head);
    if has_future_version || summary.lagging.iter().any(|member| member.version > head) {
        Some("a version that is not written yet")
    } else if !is_descending || summary.version_counts.iter().any(|count| count.members == 0) {
        Some("version counts out of order, or a count of zero")
    } else if members > u64::from(MAX_MEMBERS) {
        Some("more members than a fleet may have")
    } else if role == Role::Gateway && (members > 1 || !summary.lagging.is_empty()) {
        Some("a gateway with members below it")
    } else if summary.lagging.len() as u64 > members {
        Some("more lagging members than members in total")
    } else {
        None
    }
}

/// Adds `other` to `sum`.
///
/// Invariant: a sum never overstates how many members have applied a version. If there are more than
/// [`MAX_VERSION_COUNTS`] version counts, the lowest ones are merged under the lowest version.
pub(super) fn add(sum: &mut ProgressSummary, other: &ProgressSummary) {
    for count in &other.version_counts {
        match sum.version_counts.binary_search_by(|known| count.version.cmp(&known.version)) {
            Ok(index) => {
                let members = &mut sum.version_counts[index].members;
                *members = members.saturating_add(count.members).min(MAX_MEMBERS);
            }
            Err(index) => sum.version_counts.insert(index, *count),
        }
    }
    while sum.version_counts.len() > MAX_VERSION_COUNTS
        && let Some(lowest) = sum.version_counts.pop()
        && let Some(above) = sum.version_counts.last_mut()
    {
        let members = above.members.saturating_add(lowest.members).min(MAX_MEMBERS);
        *above = VersionCount { version: lowest.version, members };
    }
    sum.lagging.extend(other.lagging.iter().cloned());
}

/// Keeps the members that lag most, up to [`MAX_LAGGING`].
pub(super) fn truncate_lagging(sum: &mut ProgressSummary) {
    let order = |member: &LaggingMember| (member.version, u32::MAX - member.lag_seconds, member.name.clone());
    sum.lagging.sort_by_cached_key(order);
    sum.lagging.truncate(MAX_LAGGING);
}

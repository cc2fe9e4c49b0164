//! What members have acted on, added up on the way to the folder.

use umbertray_store_protocol::changes::{
    LaggingMember, MAX_LAGGING, MAX_MEMBERS, MAX_VERSION_COUNTS, ProgressSummary, Role, VersionCount,
};

/// Why a sum is left out.
pub fn nonsense(sums: &ProgressSummary, role: Role, head: u64) -> Option<&'static str> {
    let falling = sums.levels.is_sorted_by(|one, next| one.version > next.version);
    let members: u64 = sums.levels.iter().map(|level| u64::from(level.members)).sum();
    if sums.levels.iter().any(|level| level.version > head)
        || sums.lagging.iter().any(|one| one.version > head)
    {
        Some("a version not yet written")
    } else if !falling || sums.levels.iter().any(|level| level.members == 0) {
        Some("levels out of order or empty")
    } else if members > u64::from(MAX_MEMBERS) {
        Some("more members than any fleet has")
    } else if role == Role::Gateway && (members > 1 || !sums.lagging.is_empty()) {
        Some("a gateway with members below it")
    } else if sums.lagging.len() as u64 > members {
        Some("more members behind than there are")
    } else {
        None
    }
}

/// Adds one up with another. Levels that are too many count as lower ones: a sum never says that more have acted than have.
pub fn add(sum: &mut ProgressSummary, other: &ProgressSummary) {
    for level in &other.levels {
        match sum.levels.binary_search_by(|known| level.version.cmp(&known.version)) {
            Ok(place) => {
                let members = &mut sum.levels[place].members;
                *members = members.saturating_add(level.members).min(MAX_MEMBERS);
            }
            Err(place) => sum.levels.insert(place, *level),
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

/// Names those that are furthest behind.
pub fn cut(sum: &mut ProgressSummary) {
    let order = |behind: &LaggingMember| (behind.version, u32::MAX - behind.lag_seconds, behind.name.clone());
    sum.lagging.sort_by_cached_key(order);
    sum.lagging.truncate(MAX_LAGGING);
}

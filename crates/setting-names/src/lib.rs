//! The operators' words for settings, and ours: one table for every wire that tells settings.

use umbertray::interface::Settings;

const NAMES: &[(&str, &str)] = &[
    ("capDepth", "limit_burst"),
    ("capSlack", "limit_slack"),
    ("coldS", "cold_time"),
    ("contracts", "plans"),
    ("countsOthers", "tells_elsewhere"),
    ("deadlineS", "op_timeout"),
    ("dialTimeoutS", "connect_timeout"),
    ("effect", "repeats"),
    ("fallS", "fall_time"),
    ("familyInfo", "stores"),
    ("gain", "utility"),
    ("graceToAnswerS", "answer_grace"),
    ("groupSize", "gateways"),
    ("inTurn", "in_order"),
    ("lateShare", "late_utility"),
    ("maxAttempts", "max_dispatches"),
    ("mayDuplicate", "second_copies"),
    ("profiles", "op_types"),
    ("promiseS", "target_latency"),
    ("aimStretch", "target_stretch"),
    ("repeatRatio", "further_share"),
    ("resendSpanS", "further_span"),
    ("reservation", "reserve"),
    ("shareWorth", "share_utility"),
    ("spareAttempts", "further_free"),
    ("spareWorth", "spare_utility"),
    ("tipMultiple", "fall_multiple"),
    ("windowS", "dedup_span"),
    ("worthFactor", "price"),
];

const VALUES: &[(&str, &str)] = &[
    ("free", "replayable"),
    ("guarded", "deduplicated"),
    ("single_shot", "once_only"),
    ("automatic", "pushed"),
    ("subscribe", "asked"),
];

/// One step of a path: from the table, else its own words in snake case without the mark of seconds.
fn step(wire: &str) -> String {
    if let Some((_, ours)) = NAMES.iter().find(|(name, _)| *name == wire) {
        return (*ours).into();
    }
    let bare = match wire.strip_suffix('S') {
        Some(head) if head.ends_with(|c: char| c.is_ascii_lowercase()) => head,
        _ => wire,
    };
    let mut ours = String::with_capacity(bare.len() + 4);
    for c in bare.chars() {
        if c.is_ascii_uppercase() {
            ours.push('_');
        }
        ours.push(c.to_ascii_lowercase());
    }
    ours
}

/// Settings told as paths of steps joined by dots, with their values, in our words.
pub fn from_pairs<'a>(told: impl IntoIterator<Item = (&'a str, &'a str)>) -> Settings {
    let ours = |(path, value): (&str, &str)| {
        let path = path.split('.').map(step).collect::<Vec<_>>().join(".");
        let known = path.ends_with(".repeats") || path == "discovery";
        let renamed = VALUES.iter().find(|(wire, _)| known && *wire == value);
        (path, renamed.map_or(value, |(_, ours)| ours).to_string())
    };
    told.into_iter().map(ours).collect()
}

/// Settings as lines of a path and a value; lines without a value are skipped.
pub fn from_lines(lines: &str) -> Settings {
    from_pairs(lines.lines().filter_map(|line| line.split_once('=')))
}

//! Translation of setting names from the operators' wires to the names that this project uses: one table for all wires.

use umbertray::interface::Settings;

/// Names on the wire that differ from this project's by more than their case.
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

/// Values of idempotency and discovery settings on the wire, and this project's.
const VALUES: &[(&str, &str)] = &[
    ("free", "replayable"),
    ("guarded", "deduplicated"),
    ("single_shot", "once_only"),
    ("automatic", "pushed"),
    ("subscribe", "asked"),
];

/// Translates one step of a path: by the table, otherwise to snake case without the suffix for seconds.
fn translate_step(wire: &str) -> String {
    if let Some((_, translated)) = NAMES.iter().find(|(name, _)| *name == wire) {
        return (*translated).into();
    }
    let bare = match wire.strip_suffix('S') {
        Some(head) if head.ends_with(|letter: char| letter.is_ascii_lowercase()) => head,
        _ => wire,
    };
    let mut translated = String::with_capacity(bare.len() + 4);
    for letter in bare.chars() {
        if letter.is_ascii_uppercase() {
            translated.push('_');
        }
        translated.push(letter.to_ascii_lowercase());
    }
    translated
}

/// Translates one setting.
fn translate((path, value): (&str, &str)) -> (String, String) {
    let path = path.split('.').map(translate_step).collect::<Vec<_>>().join(".");
    let has_translated_values = path.ends_with(".repeats") || path == "discovery";
    let translated = VALUES.iter().find(|(wire, _)| has_translated_values && *wire == value);
    let value = translated.map_or(value, |(_, translated)| translated);
    (path, value.to_string())
}

/// Translates settings given as paths, whose steps are joined by dots, and their values.
pub fn from_pairs<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Settings {
    pairs.into_iter().map(translate).collect()
}

/// Translates settings given as lines `path=value`; lines without `=` are skipped.
pub fn from_lines(lines: &str) -> Settings {
    from_pairs(lines.lines().filter_map(|line| line.split_once('=')))
}

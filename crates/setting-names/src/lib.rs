//! Translates setting names and values from the operators' wire formats to the names that this project uses.
//! One table serves all wire formats.

use umbertray::interface::Settings;

/// Names on the wire that a case conversion alone does not translate, and this project's names for them.
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

/// Values of the idempotency and discovery settings on the wire, and this project's values.
const VALUES: &[(&str, &str)] = &[
    ("free", "replayable"),
    ("guarded", "deduplicated"),
    ("single_shot", "once_only"),
    ("automatic", "pushed"),
    ("subscribe", "asked"),
];

/// Translates one segment of a path. A name that is not in the table is converted to snake case, without the
/// suffix `S` that marks seconds.
fn translate_segment(wire_name: &str) -> String {
    if let Some((_, translated)) = NAMES.iter().find(|(name, _)| *name == wire_name) {
        return (*translated).into();
    }
    let without_suffix = match wire_name.strip_suffix('S') {
        Some(stem) if stem.ends_with(|letter: char| letter.is_ascii_lowercase()) => stem,
        _ => wire_name,
    };
    let mut translated = String::with_capacity(without_suffix.len() + 4);
    for letter in without_suffix.chars() {
        if letter.is_ascii_uppercase() {
            translated.push('_');
        }
        translated.push(letter.to_ascii_lowercase());
    }
    translated
}

/// Translates the path and the value of one setting.
fn translate((path, value): (&str, &str)) -> (String, String) {
    let path = path.split('.').map(translate_segment).collect::<Vec<_>>().join(".");
    let has_translated_values = path.ends_with(".repeats") || path == "discovery";
    let translated = VALUES.iter().find(|(wire, _)| has_translated_values && *wire == value);
    let value = translated.map_or(value, |(_, translated)| translated);
    (path, value.to_string())
}

/// Translates settings given as pairs of a path, with segments separated by dots, and a value.
pub fn from_pairs<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Settings {
    pairs.into_iter().map(translate).collect()
}

/// Translates settings given as lines `path=value`. Lines without `=` are ignored.
pub fn from_lines(lines: &str) -> Settings {
    from_pairs(lines.lines().filter_map(|line| line.split_once('=')))
}

//! The settings in force, and the values that the core derives from them.

use std::time::Duration;

use umbertray::interface::{Action, Event, Settings};
use umbertray::scheduler::Scheduler;
use umbertray_lifecycle::attempt::{self, Idempotency};

use crate::config::duration_setting;
use crate::request::RequestParser;
use crate::stable_positions;

const DRAIN_GRACE: &str = "rules.drain_grace";

/// Settings that cannot be put in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A setting needed to check requests is missing or cannot be parsed.
    #[error("{0} is missing or unreadable")]
    Setting(String),
    /// The scheduler rejected the settings, with this reason.
    #[error("{0}")]
    Scheduler(String),
}

/// A core cannot start with the settings of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings: {0}")]
pub struct StartError(#[from] SettingsError);

/// The settings in force. The scheduler has accepted them.
///
/// Invariant: each operation type and plan in `settings` has the position that earlier settings assigned to
/// its name.
pub(crate) struct ActiveSettings {
    settings: Settings,
    /// Parser of client requests, with the names that these settings allow.
    pub(crate) request_parser: RequestParser,
    /// How long attempts may be sent to a store after the notification that it is draining.
    pub(crate) drain_grace: Duration,
    /// Names of the known load report fields.
    pub(crate) report_fields: Vec<String>,
}

impl ActiveSettings {
    /// Parses the settings that a gateway starts with.
    pub(crate) fn new(settings: &Settings) -> Result<ActiveSettings, SettingsError> {
        Ok(ActiveSettings {
            request_parser: validate(settings)?,
            drain_grace: duration_setting(settings, DRAIN_GRACE).unwrap_or_default(),
            report_fields: comma_separated(settings, "telemetry.fields"),
            settings: settings.clone(),
        })
    }

    /// Returns the settings that replace these. Operation types and plans keep their positions.
    pub(crate) fn replaced_by(&self, settings: &Settings) -> Result<ActiveSettings, SettingsError> {
        // Hazard: the new settings must be validated before they are merged; otherwise a huge count without
        // entries would be iterated over.
        validate(settings)?;
        ActiveSettings::new(&stable_positions::with_stable_positions(&self.settings, settings))
    }

    /// The settings for the scheduler. Their drain grace is reduced to the part in which attempts may begin.
    ///
    /// Hazard: an attempt that the scheduler decides on after the usable grace is denied at its first byte,
    /// and the scheduler would decide on it again and again.
    pub(crate) fn for_scheduler(&self) -> Settings {
        let mut settings = self.settings.clone();
        if let Some(grace) = duration_setting(&settings, DRAIN_GRACE) {
            let usable = attempt::usable_drain_grace(grace).as_secs_f64().to_string();
            settings.insert(DRAIN_GRACE.into(), usable);
        }
        settings
    }

    /// Whether operations of a type may be executed more than once. Stores remember an idempotency key for a
    /// window whose end they determine with the precision of one tick, so the usable window is one tick
    /// shorter.
    pub(crate) fn idempotency(&self, op_type: usize) -> Idempotency {
        let setting = |field: &str| format!("op_types.{op_type}.{field}");
        match self.settings.get(&setting("repeats")).map(String::as_str) {
            Some("replayable") => Idempotency::Idempotent,
            Some("deduplicated") => {
                let window = duration_setting(&self.settings, &setting("dedup_span")).unwrap_or_default();
                let tick = duration_setting(&self.settings, "tick").unwrap_or_default();
                Idempotency::DeduplicatedFor(window.saturating_sub(tick))
            }
            _ => Idempotency::NotIdempotent,
        }
    }
}

/// The items of a comma-separated setting.
pub(crate) fn comma_separated(settings: &Settings, name: &str) -> Vec<String> {
    let words = settings.get(name).map_or("", String::as_str).split(',');
    words.filter(|word| !word.is_empty()).map(String::from).collect()
}

/// Checks that the scheduler accepts the settings, by starting a scheduler and discarding it. Returns a
/// parser for requests under these settings.
fn validate(settings: &Settings) -> Result<RequestParser, SettingsError> {
    let parser = RequestParser::from_settings(settings)?;
    let start = Event::Start { seed: 0, settings: settings.clone() };
    let actions = Scheduler::default().handle(Duration::ZERO, vec![start]);
    let fatal_reason = actions.into_iter().find_map(|action| match action {
        Action::Fatal(reason) => Some(reason),
        _ => None,
    });
    fatal_reason.map_or(Ok(parser), |reason| Err(SettingsError::Scheduler(reason)))
}

//! The settings in force, and what the core derives from them.

use std::time::Duration;

use umbertray::interface::{Action, Event, Settings};
use umbertray::scheduler::Scheduler;
use umbertray_lifecycle::attempt::{self, Idempotency};

use crate::config::duration_setting;
use crate::request::RequestNames;
use crate::stable_positions;

const DRAIN_GRACE: &str = "rules.drain_grace";

/// Settings that cannot be put in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A setting that requests are checked by is not there, or cannot be read.
    #[error("{0} is missing or unreadable")]
    Setting(String),
    /// The scheduler refused the settings, with this reason.
    #[error("{0}")]
    Scheduler(String),
}

/// A configuration whose settings a core cannot start with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings: {0}")]
pub struct StartError(#[from] SettingsError);

/// Settings that the scheduler can run with, parsed.
///
/// Invariant: `positioned` has each operation type and plan at the position that earlier settings gave its name.
pub(crate) struct ActiveSettings {
    positioned: Settings,
    /// What requests may name.
    pub(crate) names: RequestNames,
    /// How long a store may be sent attempts after it was notified as draining.
    pub(crate) drain_grace: Duration,
    /// Names of the fields of load reports.
    pub(crate) report_fields: Vec<String>,
}

impl ActiveSettings {
    /// The settings of a gateway's start.
    pub(crate) fn new(settings: &Settings) -> Result<ActiveSettings, SettingsError> {
        Ok(ActiveSettings {
            names: check(settings)?,
            drain_grace: duration_setting(settings, DRAIN_GRACE).unwrap_or_default(),
            report_fields: words(settings, "telemetry.fields"),
            positioned: settings.clone(),
        })
    }

    /// Settings that replace these, with operation types and plans kept at their positions.
    pub(crate) fn replaced_by(&self, settings: &Settings) -> Result<ActiveSettings, SettingsError> {
        // Hazard: only settings that were read once are positioned, or a count without entries would be walked through.
        check(settings)?;
        ActiveSettings::new(&stable_positions::with_stable_positions(&self.positioned, settings))
    }

    /// The settings as the scheduler decides by them: with a drain grace that it may use whole.
    ///
    /// Hazard: what it decides on beyond the usable grace is denied at the first byte, again and again.
    pub(crate) fn for_scheduler(&self) -> Settings {
        let mut settings = self.positioned.clone();
        if let Some(grace) = duration_setting(&settings, DRAIN_GRACE) {
            let usable = attempt::usable_drain_grace(grace).as_secs_f64().to_string();
            settings.insert(DRAIN_GRACE.into(), usable);
        }
        settings
    }

    /// Whether operations of a type may be executed more than once. Stores remember an idempotency key for a window, and
    /// tell its end with the precision of a tick of the settings.
    pub(crate) fn idempotency(&self, op_type: usize) -> Idempotency {
        let setting = |field: &str| format!("op_types.{op_type}.{field}");
        match self.positioned.get(&setting("repeats")).map(String::as_str) {
            Some("replayable") => Idempotency::Idempotent,
            Some("deduplicated") => {
                let window = duration_setting(&self.positioned, &setting("dedup_span")).unwrap_or_default();
                let tick = duration_setting(&self.positioned, "tick").unwrap_or_default();
                Idempotency::DeduplicatedFor(window.saturating_sub(tick))
            }
            _ => Idempotency::NotIdempotent,
        }
    }
}

/// The words of a setting that is a list separated by commas.
pub(crate) fn words(settings: &Settings, name: &str) -> Vec<String> {
    let words = settings.get(name).map_or("", String::as_str).split(',');
    words.filter(|word| !word.is_empty()).map(String::from).collect()
}

/// What requests may name by these settings, if the scheduler can run with them: a scheduler that is started and dropped
/// tells.
fn check(settings: &Settings) -> Result<RequestNames, SettingsError> {
    let names = RequestNames::from_settings(settings)?;
    let start = Event::Start { seed: 0, settings: settings.clone() };
    let actions = Scheduler::default().handle(Duration::ZERO, vec![start]);
    let refusal = actions.into_iter().find_map(|action| match action {
        Action::Fatal(reason) => Some(reason),
        _ => None,
    });
    refusal.map_or(Ok(names), |reason| Err(SettingsError::Scheduler(reason)))
}

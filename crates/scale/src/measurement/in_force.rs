//! When changes of the configuration were in force.

use std::collections::BTreeMap;
use std::time::Instant;

use super::Stage;
use super::stage::{POLL_INTERVAL, STEADY_TIMEOUT};
use crate::ScaleError;
use crate::fit::Quantiles;
use crate::hollow::Acted;

/// Microseconds of a second.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

impl Stage {
    /// Waits until all hollow gateways have acted on the last change; returns those that have not when the
    /// time is up.
    pub(crate) async fn wait_until_in_force(&mut self) -> Result<Vec<u32>, ScaleError> {
        let started_at = Instant::now();
        let version = self.writer.version();
        loop {
            let (seen, _) = self.look().await?;
            let behind = seen.iter().filter(|seen| seen.version < version).map(|seen| seen.gateway);
            let behind: Vec<u32> = behind.collect();
            if behind.is_empty() || started_at.elapsed() > STEADY_TIMEOUT {
                return Ok(behind);
            }
            tokio::time::sleep(POLL_INTERVAL / 10).await;
        }
    }

    /// What real gateways acted on, from their logs.
    pub(super) fn acted_by_logs(&self) -> Vec<Acted> {
        let of = |gateway: u32| {
            let file = self.folder.join(format!("gateway-{gateway}.log"));
            let text = std::fs::read_to_string(file).unwrap_or_default();
            let acted = text.lines().filter_map(|line| acted_by_log_line(gateway, line));
            acted.collect::<Vec<_>>()
        };
        (0..self.plan.real).flat_map(of).collect()
    }
}

/// What a line of a real gateway's log says that it acted on, if it says so.
fn acted_by_log_line(gateway: u32, line: &str) -> Option<Acted> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = line.get("fields").filter(|fields| fields["message"] == "changes acted on")?;
    let at = humantime::parse_rfc3339(line["timestamp"].as_str()?).ok()?;
    let at = at.duration_since(std::time::UNIX_EPOCH).ok()?.as_micros() as u64;
    Some(Acted { gateway, version: fields["version"].as_u64()?, at })
}

/// Quantiles over each change and each gateway of the seconds until the gateway had acted on that change or a
/// later one.
///
/// A gateway that never did is left out; the caller finds it by other means.
pub fn spans(committed_at: &BTreeMap<u64, u64>, acted: &[Acted]) -> Option<Quantiles> {
    let mut by_gateway = BTreeMap::<u32, Vec<(u64, u64)>>::new();
    acted
        .iter()
        .for_each(|acted| by_gateway.entry(acted.gateway).or_default().push((acted.at, acted.version)));
    let mut all = Vec::new();
    for acted in by_gateway.values_mut() {
        acted.sort_unstable();
        let mut later = acted.iter().peekable();
        for (version, at) in committed_at {
            // Acting on a later version includes this one.
            while later.next_if(|(_, acted_on)| acted_on < version).is_some() {}
            let Some((acted_at, _)) = later.peek() else { break };
            all.push(acted_at.saturating_sub(*at) as f64 / MICROSECONDS_PER_SECOND);
        }
    }
    Quantiles::of(&all)
}

/// A message about the real gateways whose logs do not say that they acted on the last change.
pub(super) fn unapplied_messages(
    real: u32,
    committed_at: &BTreeMap<u64, u64>,
    logged: &[Acted],
) -> Vec<String> {
    let Some(last) = committed_at.keys().last() else { return Vec::new() };
    let has_acted =
        |gateway: &u32| logged.iter().any(|acted| acted.gateway == *gateway && acted.version >= *last);
    let unapplied: Vec<u32> = (0..real).filter(|gateway| !has_acted(gateway)).collect();
    match unapplied.len() {
        0 => Vec::new(),
        count => vec![format!("{count} real gateways did not act on the last change: {unapplied:?}")],
    }
}

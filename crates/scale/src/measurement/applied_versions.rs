//! Delays until changes of the configuration are in force. A change is in force once the gateways apply it.

use std::collections::BTreeMap;
use std::time::Instant;

use super::Testbed;
use super::testbed::{POLL_INTERVAL, STEADY_TIMEOUT};
use crate::ScaleError;
use crate::fit::Quantiles;
use crate::hollow::AppliedVersion;

/// Microseconds in a second.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

impl Testbed {
    /// Waits until all hollow gateways have applied the last change; returns those that have not after
    /// [`STEADY_TIMEOUT`].
    pub(crate) async fn wait_until_applied(&mut self) -> Result<Vec<u32>, ScaleError> {
        let started_at = Instant::now();
        let version = self.writer.version();
        loop {
            let (seen, _) = self.observe().await?;
            let behind = seen.iter().filter(|seen| seen.version < version).map(|seen| seen.gateway);
            let behind: Vec<u32> = behind.collect();
            if behind.is_empty() || started_at.elapsed() > STEADY_TIMEOUT {
                return Ok(behind);
            }
            tokio::time::sleep(POLL_INTERVAL / 10).await;
        }
    }

    /// The versions that real gateways applied, from their logs.
    pub(super) fn applied_versions_from_logs(&self) -> Vec<AppliedVersion> {
        let applied_by = |gateway: u32| {
            let file = self.folder.join(format!("gateway-{gateway}.log"));
            let text = std::fs::read_to_string(file).unwrap_or_default();
            let applied = text.lines().filter_map(|line| parse_applied_version(gateway, line));
            applied.collect::<Vec<_>>()
        };
        (0..self.plan.real_gateways).flat_map(applied_by).collect()
    }
}

/// The applied version that a line of a real gateway's log reports; `None` for other lines.
fn parse_applied_version(gateway: u32, line: &str) -> Option<AppliedVersion> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = line.get("fields").filter(|fields| fields["message"] == "changes applied")?;
    let at = humantime::parse_rfc3339(line["timestamp"].as_str()?).ok()?;
    let at = at.duration_since(std::time::UNIX_EPOCH).ok()?.as_micros() as u64;
    Some(AppliedVersion { gateway, version: fields["version"].as_u64()?, at })
}

/// Quantiles of the seconds from the commit of a change until a gateway had applied it or a later one, over
/// all changes and gateways.
///
/// A gateway that did not apply a change is left out; the caller detects it by other means.
pub fn apply_delays(committed_at: &BTreeMap<u64, u64>, applied: &[AppliedVersion]) -> Option<Quantiles> {
    let mut by_gateway = BTreeMap::<u32, Vec<(u64, u64)>>::new();
    applied.iter().for_each(|applied| {
        by_gateway.entry(applied.gateway).or_default().push((applied.at, applied.version));
    });
    let mut delays = Vec::new();
    for applied in by_gateway.values_mut() {
        applied.sort_unstable();
        let mut later = applied.iter().peekable();
        for (version, at) in committed_at {
            // A gateway that applied a later version has applied this one too.
            while later.next_if(|(_, applied_version)| applied_version < version).is_some() {}
            let Some((applied_at, _)) = later.peek() else { break };
            delays.push(applied_at.saturating_sub(*at) as f64 / MICROSECONDS_PER_SECOND);
        }
    }
    Quantiles::of(&delays)
}

/// A message about the real gateways that did not apply the last change, according to their logs.
pub(super) fn unapplied_messages(
    real: u32,
    committed_at: &BTreeMap<u64, u64>,
    logged: &[AppliedVersion],
) -> Vec<String> {
    let Some(last) = committed_at.keys().last() else { return Vec::new() };
    let has_applied =
        |gateway: &u32| logged.iter().any(|applied| applied.gateway == *gateway && applied.version >= *last);
    let unapplied: Vec<u32> = (0..real).filter(|gateway| !has_applied(gateway)).collect();
    match unapplied.len() {
        0 => Vec::new(),
        count => vec![format!("{count} real gateways did not apply the last change: {unapplied:?}")],
    }
}

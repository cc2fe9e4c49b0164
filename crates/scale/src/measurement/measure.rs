//! Measurement of a running fleet.

use std::time::Duration;

use super::line_builder::LineBuilder;
use super::{Line, Testbed};
use crate::ScaleError;
use crate::hollow::CounterSnapshot;

/// Pause before a measurement, in which the after-effects of the start, such as late connections, end.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Number of changes that are made after the measured time if the plan has no changes.
const PROBE_CHANGES: u32 = 8;

/// Pause after each of those changes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of gateways that a message names.
const MAX_NAMED_GATEWAYS: usize = 5;

impl Testbed {
    /// Measures the fleet for the plan's duration, and returns a line for each role.
    ///
    /// # Errors
    /// [`ScaleError`] if a worker process does not execute a command, or the change log cannot be written.
    pub async fn measure(&mut self, point: &str, repeat: u32) -> Result<Vec<Line>, ScaleError> {
        tokio::time::sleep(SETTLE_TIME).await;
        let before = self.sample().await?;
        self.run_schedule().await?;
        let after = self.sample().await?;
        if self.plan.changes_per_second == 0.0 {
            for _ in 0..PROBE_CHANGES {
                self.commit_change()?;
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        }
        let behind = self.wait_until_applied().await?;
        let (seen, _) = self.observe().await?;
        let broken = self.broken_properties(&behind, &seen);
        Ok(LineBuilder::new(self, point, repeat, &before, &after).lines(broken))
    }

    /// A message for each property that did not hold at the hollow gateways. Those in `behind` did not apply
    /// the last change.
    fn broken_properties(&self, behind: &[u32], seen: &[CounterSnapshot]) -> Vec<String> {
        let mut broken = Vec::new();
        if !behind.is_empty() {
            let named = &behind[..behind.len().min(MAX_NAMED_GATEWAYS)];
            broken.push(format!("{} gateways did not apply the last change: {named:?}, ...", behind.len()));
        }
        let ended = seen.iter().filter(|seen| seen.is_finished).count();
        if ended > 0 {
            broken.push(format!("{ended} gateways ended early"));
        }
        let incomplete = seen.iter().filter(|seen| seen.listed != u64::from(self.plan.stores)).count();
        if incomplete > 0 {
            broken.push(format!("{incomplete} gateways do not hold all listed stores"));
        }
        broken
    }
}

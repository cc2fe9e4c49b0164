//! The measurement of a running fleet.

use std::time::Duration;

use super::line_builder::LineBuilder;
use super::{Line, Stage};
use crate::ScaleError;
use crate::hollow::Seen;

/// Pause before a measurement, in which what follows a start, such as late connections, finishes.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Changes made after the idle time of a plan that has none of its own.
const PROBE_CHANGES: u32 = 8;

/// Pause after each of those changes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Gateways that a message names at most.
const NAMED_AT_MOST: usize = 5;

impl Stage {
    /// Measures the fleet over the plan's time; returns a line for each role.
    ///
    /// # Errors
    /// [`ScaleError`] if a process does not follow its orders or the change log cannot be written.
    pub async fn measure(&mut self, point: &str, repeat: u32) -> Result<Vec<Line>, ScaleError> {
        tokio::time::sleep(SETTLE_TIME).await;
        let before = self.sample().await?;
        self.run_schedule().await?;
        let after = self.sample().await?;
        if self.plan.changes_per_second == 0.0 {
            for _ in 0..PROBE_CHANGES {
                self.change()?;
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        }
        let behind = self.wait_until_in_force().await?;
        let (seen, _) = self.look().await?;
        let broken = self.broken_properties(&behind, &seen);
        Ok(LineBuilder::new(self, point, repeat, &before, &after).lines(broken))
    }

    /// A message about each property that did not hold at the hollow gateways; those in `behind` did not act
    /// on the last change.
    fn broken_properties(&self, behind: &[u32], seen: &[Seen]) -> Vec<String> {
        let mut broken = Vec::new();
        if !behind.is_empty() {
            let some = &behind[..behind.len().min(NAMED_AT_MOST)];
            broken.push(format!("{} gateways did not act on the last change: {some:?}, ...", behind.len()));
        }
        let ended = seen.iter().filter(|seen| seen.over).count();
        if ended > 0 {
            broken.push(format!("{ended} gateways ended early"));
        }
        let wrong = seen.iter().filter(|seen| seen.listed != u64::from(self.plan.stores)).count();
        if wrong > 0 {
            broken.push(format!("{wrong} gateways do not hold what is listed"));
        }
        broken
    }
}

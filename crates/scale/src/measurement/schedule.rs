//! The measured time: its changes, restarts and fault.

use std::time::{Duration, Instant};

use rand::Rng;

use super::Stage;
use super::stage::LOOK;
use crate::ScaleError;
use crate::relays::Fault;
use crate::worker::Order;

impl Stage {
    /// Lets the measured time pass, with the plan's changes, restarts and fault.
    pub(super) async fn pass(&mut self) -> Result<(), ScaleError> {
        let began = Instant::now();
        let end = Duration::from_secs_f64(self.plan.seconds);
        let every = |a_second: f64| match a_second {
            rate if rate > 0.0 => Duration::from_secs_f64(1.0 / rate),
            _ => Duration::MAX,
        };
        let (change, restart) =
            (every(self.plan.changes_per_second), every(self.plan.restarts_per_hour / 3600.0));
        let (mut changing, mut restarting, mut looking) = (change / 2, restart / 2, LOOK);
        let fault = self.plan.fault;
        let (mut failing, mut healing) = match fault {
            Some(_) => (end / 3, end / 3 * 2),
            None => (Duration::MAX, Duration::MAX),
        };
        loop {
            let next = changing.min(restarting).min(looking).min(failing).min(healing).min(end);
            tokio::time::sleep(next.saturating_sub(began.elapsed())).await;
            if next == end {
                return Ok(());
            } else if next == changing {
                changing = changing.saturating_add(change);
                self.change()?;
            } else if next == failing {
                failing = Duration::MAX;
                self.fail(fault).await?;
            } else if next == healing {
                healing = Duration::MAX;
                self.heal(fault)?;
            } else if next == restarting {
                restarting = restarting.saturating_add(restart);
                self.restart().await?;
            } else {
                looking += LOOK;
                self.look().await?;
            }
        }
    }

    /// Restarts one hollow gateway, chosen at random.
    async fn restart(&mut self) -> Result<(), ScaleError> {
        let worker = self.draw.random_range(0..self.workers.len());
        let share = &self.shares[worker];
        let gateway = share[self.draw.random_range(0..share.len())];
        self.restarts += 1;
        self.workers[worker].ask(&Order::Restart { gateway }).await.map(drop)
    }

    /// Brings a fault on the first relay of each zone.
    async fn fail(&mut self, fault: Option<Fault>) -> Result<(), ScaleError> {
        match self.relays.as_mut().zip(fault) {
            Some((relays, fault)) => relays.fail(fault).await,
            None => Ok(()),
        }
    }

    /// Ends a fault, as far as it can be ended.
    fn heal(&mut self, fault: Option<Fault>) -> Result<(), ScaleError> {
        self.relays.as_mut().zip(fault).map_or(Ok(()), |(relays, fault)| relays.heal(fault))
    }
}

//! The schedule of a measurement: changes, restarts and a fault during the measured time.

use std::time::{Duration, Instant};

use rand::Rng;

use super::Testbed;
use super::testbed::POLL_INTERVAL;
use crate::ScaleError;
use crate::plan::Plan;
use crate::relays::Fault;
use crate::worker::WorkerCommand;

/// Seconds in an hour.
const SECONDS_PER_HOUR: f64 = 3600.0;

/// An event in the measured time.
#[derive(Clone, Copy)]
enum Event {
    /// The measured time ends.
    End,
    /// A change of the configuration is committed.
    Change,
    /// The fault of the relays begins.
    Fault,
    /// The fault of the relays ends.
    Recovery,
    /// A gateway restarts.
    Restart,
    /// The gateways are polled.
    Poll,
}

/// Due times of the events, since the start of the measured time. `Duration::MAX` means never.
struct Schedule {
    end: Duration,
    change_interval: Duration,
    restart_interval: Duration,
    next_change: Duration,
    next_restart: Duration,
    next_poll: Duration,
    next_fault: Duration,
    next_recovery: Duration,
}

/// The interval between events at a rate per second; `Duration::MAX` if the rate is zero.
fn interval(per_second: f64) -> Duration {
    if per_second > 0.0 { Duration::from_secs_f64(1.0 / per_second) } else { Duration::MAX }
}

impl Schedule {
    fn new(plan: &Plan) -> Schedule {
        let end = Duration::from_secs_f64(plan.seconds);
        let change_interval = interval(plan.changes_per_second);
        let restart_interval = interval(plan.restarts_per_hour / SECONDS_PER_HOUR);
        let (next_fault, next_recovery) = match plan.fault {
            Some(_) => (end / 3, end / 3 * 2),
            None => (Duration::MAX, Duration::MAX),
        };
        Schedule {
            end,
            change_interval,
            restart_interval,
            next_change: change_interval / 2,
            next_restart: restart_interval / 2,
            next_poll: POLL_INTERVAL,
            next_fault,
            next_recovery,
        }
    }

    /// The next event and its due time. Of events that are due at the same time, the first in the order of
    /// [`Event`].
    fn next(&self) -> (Duration, Event) {
        let events = [
            (self.next_change, Event::Change),
            (self.next_fault, Event::Fault),
            (self.next_recovery, Event::Recovery),
            (self.next_restart, Event::Restart),
            (self.next_poll, Event::Poll),
        ];
        let earlier = |first: (Duration, Event), second: (Duration, Event)| {
            if second.0 < first.0 { second } else { first }
        };
        events.into_iter().fold((self.end, Event::End), earlier)
    }

    /// Sets the time at which an event is due again.
    fn advance(&mut self, event: Event) {
        match event {
            Event::End => {}
            Event::Change => self.next_change = self.next_change.saturating_add(self.change_interval),
            Event::Fault => self.next_fault = Duration::MAX,
            Event::Recovery => self.next_recovery = Duration::MAX,
            Event::Restart => self.next_restart = self.next_restart.saturating_add(self.restart_interval),
            Event::Poll => self.next_poll += POLL_INTERVAL,
        }
    }
}

impl Testbed {
    /// Runs for the measured time, and causes the plan's changes, restarts and fault.
    pub(super) async fn run_schedule(&mut self) -> Result<(), ScaleError> {
        let started_at = Instant::now();
        let mut schedule = Schedule::new(&self.plan);
        loop {
            let (due, event) = schedule.next();
            tokio::time::sleep(due.saturating_sub(started_at.elapsed())).await;
            schedule.advance(event);
            match event {
                Event::End => return Ok(()),
                Event::Change => self.commit_change()?,
                Event::Fault => self.inject_fault(self.plan.fault).await?,
                Event::Recovery => self.end_fault(self.plan.fault)?,
                Event::Restart => self.restart_random_gateway().await?,
                Event::Poll => self.observe().await.map(drop)?,
            }
        }
    }

    /// Restarts one hollow gateway, chosen at random.
    async fn restart_random_gateway(&mut self) -> Result<(), ScaleError> {
        let worker = self.rng.random_range(0..self.workers.len());
        let gateways = &self.gateways_of_workers[worker];
        let gateway = gateways[self.rng.random_range(0..gateways.len())];
        self.restarts += 1;
        self.workers[worker].request(&WorkerCommand::Restart { gateway }).await.map(drop)
    }

    /// Injects a fault into the first relay of each zone; does nothing without relays or a fault.
    async fn inject_fault(&mut self, fault: Option<Fault>) -> Result<(), ScaleError> {
        match self.relays.as_mut().zip(fault) {
            Some((relays, fault)) => relays.inject_fault(fault).await,
            None => Ok(()),
        }
    }

    /// Resumes relays that are paused. Relays that were killed are not restarted.
    fn end_fault(&mut self, fault: Option<Fault>) -> Result<(), ScaleError> {
        self.relays.as_mut().zip(fault).map_or(Ok(()), |(relays, fault)| relays.end_fault(fault))
    }
}

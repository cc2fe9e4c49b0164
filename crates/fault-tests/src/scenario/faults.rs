//! Fault injection: one task runs one fault of a scenario from beginning to end.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep_until};
use umbertray_config_log::Edit;
use umbertray_fakes::model;
use umbertray_store_protocol::list::EndpointState;

use super::gateways::LockedGateway;
use super::testbed::{Testbed, poisoned_lock};
use crate::coordinator::CoordinatorProcess;
use crate::load::ClientFaults;
use crate::record::{LateStep, TestEvent};
use crate::script::{FaultKind, ScriptedFault};

/// Time between two resets of connections during a reset fault.
const RESET_INTERVAL: Duration = Duration::from_millis(40);
/// Time between the beginnings of two pauses, as a multiple of the length of a pause.
const PAUSE_PERIOD: u32 = 8;
/// Steps in which an ageing store gets slower. The fault's duration has one step more, after which the store
/// is replaced.
const AGEING_STEPS: u32 = 4;
/// Waves in which preempted stores are replaced, spread evenly over the fault's duration.
const PREEMPT_STEPS: u32 = 4;
/// Range from which a number is drawn that changes the seed of a restarted gateway if it keeps no state. 0 is
/// the number of the first start.
const START_SEEDS: std::ops::Range<u64> = 1..256;

/// The task of one fault, with its random number generator.
pub(super) struct FaultTask {
    testbed: Arc<Testbed>,
    spec: ScriptedFault,
    /// When fault injection began.
    started: Instant,
    rng: StdRng,
}

impl FaultTask {
    /// The fault at this index of the scenario's script. Its random draws depend only on the scenario's seed
    /// and on the index.
    pub(super) fn new(testbed: Arc<Testbed>, index: usize, started: Instant) -> FaultTask {
        let spec = testbed.scenario.faults[index].clone();
        let rng = StdRng::seed_from_u64(testbed.seed ^ (index as u64 + 1) << 32);
        FaultTask { testbed, spec, started, rng }
    }

    /// Runs the fault from beginning to end.
    pub(super) async fn run(self) -> io::Result<()> {
        if !self.await_step(self.spec.at).await {
            return Ok(());
        }
        match self.spec.kind {
            FaultKind::ReportLate => self.delay_list().await,
            FaultKind::ListDown => self.fail_list().await,
            FaultKind::GatewayCrash => self.crash_gateways().await,
            FaultKind::GatewayDown => self.take_gateways_down().await,
            FaultKind::GatewayLoop => self.crash_gateways_in_turn().await,
            FaultKind::GatewayStall => self.stall_gateways().await,
            FaultKind::Change => self.change_settings().await,
            FaultKind::Reconnect
            | FaultKind::Burst
            | FaultKind::Surge
            | FaultKind::HotKey
            | FaultKind::Scan => self.disturb_clients().await,
            FaultKind::Move => self.move_range().await,
            FaultKind::KeeperCrash => self.crash_coordinator().await,
            FaultKind::KeeperStall => self.stall_coordinator().await,
            FaultKind::KeeperSecond => self.supersede_coordinator().await,
            _ => self.run_on_stores().await,
        }
    }

    async fn run_on_stores(self) -> io::Result<()> {
        match self.spec.kind {
            FaultKind::Crash => self.crash_stores().await,
            FaultKind::Reset => self.reset_connections().await,
            FaultKind::Pauses => self.pause_stores().await,
            FaultKind::Ageing => self.age_stores().await,
            FaultKind::Preempt => self.preempt_stores().await,
            FaultKind::Deploy => self.deploy_stores().await,
            _ => self.disturb_stores().await,
        }
    }

    /// End of the fault, from the start of the scenario.
    fn end_offset(&self) -> Duration {
        self.spec.at + self.spec.duration
    }

    fn scenario_end(&self) -> Instant {
        self.started + self.testbed.scenario.duration
    }

    /// Waits until a step is due, and records it if it begins late by more than the scenario's slack. Returns
    /// false without waiting for a step after the end of the scenario.
    async fn await_step(&self, at: Duration) -> bool {
        if at > self.testbed.scenario.duration {
            return false;
        }
        sleep_until(self.started + at).await;
        self.record_lateness(at);
        true
    }

    fn record_lateness(&self, planned: Duration) {
        let late = self.started.elapsed().saturating_sub(planned);
        if late <= self.testbed.scenario.slack {
            return;
        }
        if let Ok(mut record) = self.testbed.client_context.record.lock() {
            let fault = format!("{:?}", self.spec.kind);
            let (planned, late) = (planned.as_micros() as u64, late.as_micros() as u64);
            record.late_steps.push(LateStep { fault, planned, late });
        }
    }

    /// Draws the fault's fraction of `all` at random, at least one.
    fn draw_subset<T: Clone>(&mut self, all: &[T]) -> Vec<T> {
        let mut drawn = all.to_vec();
        drawn.shuffle(&mut self.rng);
        drawn.truncate(self.subset_size(all.len()));
        drawn
    }

    fn subset_size(&self, all: usize) -> usize {
        ((all as f64 * self.spec.fraction).round() as usize).max(1)
    }

    async fn draw_stores(&mut self) -> Vec<u64> {
        let ids = self.testbed.fleet.lock().await.ids();
        self.draw_subset(&ids)
    }

    /// Draws and locks gateways that no other fault holds. They stay locked while the returned values exist.
    async fn lock_gateways(&mut self) -> Vec<LockedGateway> {
        let mut order: Vec<usize> = (0..self.testbed.gateways.len()).collect();
        order.shuffle(&mut self.rng);
        let locked = self.testbed.lock_gateways(&order, self.subset_size(order.len())).await;
        self.record_lateness(self.spec.at);
        locked
    }

    async fn set_store_fault(&self, stores: &[u64], fault: model::Fault) {
        let fleet = self.testbed.fleet.lock().await;
        stores.iter().for_each(|id| fleet.set_fault(*id, fault.clone()));
    }

    async fn disturb_stores(mut self) -> io::Result<()> {
        let stores = self.draw_stores().await;
        self.set_store_fault(&stores, store_fault(&self.spec)).await;
        if self.await_step(self.end_offset()).await {
            self.set_store_fault(&stores, model::Fault::default()).await;
        }
        Ok(())
    }

    /// Kills stores, and restarts them cold at the end of the fault.
    async fn crash_stores(mut self) -> io::Result<()> {
        let stores = self.draw_stores().await;
        let mut killed = Vec::new();
        for id in stores {
            killed.extend(self.testbed.fleet.lock().await.kill(id).await);
        }
        if !self.await_step(self.end_offset()).await {
            return Ok(());
        }
        for identity in killed {
            let store = identity.store;
            self.testbed.fleet.lock().await.restart(identity).await?;
            self.testbed.record_event(TestEvent::Ready { store });
        }
        Ok(())
    }

    async fn reset_connections(mut self) -> io::Result<()> {
        let mut at = self.spec.at;
        while at < self.end_offset() && self.await_step(at).await {
            let stores = self.draw_stores().await;
            let fleet = self.testbed.fleet.lock().await;
            stores.iter().filter_map(|id| fleet.get(*id)).for_each(|store| store.close_connections());
            at += RESET_INTERVAL;
        }
        Ok(())
    }

    async fn pause_stores(mut self) -> io::Result<()> {
        let length = Duration::from_secs_f64(self.spec.magnitude / 1000.0);
        let mut at = self.spec.at;
        loop {
            let stores = self.draw_stores().await;
            let fleet = self.testbed.fleet.lock().await;
            stores.iter().filter_map(|id| fleet.get(*id)).for_each(|store| store.pause(length));
            drop(fleet);
            at += length * PAUSE_PERIOD;
            if length.is_zero() || at >= self.end_offset() || !self.await_step(at).await {
                return Ok(());
            }
        }
    }

    async fn age_stores(mut self) -> io::Result<()> {
        let stores = self.draw_stores().await;
        for step in 0..AGEING_STEPS {
            if !self.await_step(self.spec.at + self.spec.duration * step / (AGEING_STEPS + 1)).await {
                return Ok(());
            }
            let slowdown = self.spec.magnitude.powf(f64::from(step + 1) / f64::from(AGEING_STEPS));
            self.set_store_fault(&stores, model::Fault { slowdown, ..model::Fault::default() }).await;
        }
        let replacements = stores.into_iter().map(|id| (self.end_offset(), id)).collect();
        self.replace_stores(replacements).await
    }

    async fn preempt_stores(mut self) -> io::Result<()> {
        let stores = self.draw_stores().await;
        let step = self.spec.duration / PREEMPT_STEPS;
        let at = |n: usize| self.spec.at + step * (n as u32 % PREEMPT_STEPS);
        let replacements = stores.into_iter().enumerate().map(|(n, id)| (at(n), id)).collect();
        self.replace_stores(replacements).await
    }

    async fn deploy_stores(mut self) -> io::Result<()> {
        let stores = self.draw_stores().await;
        let gap = self.spec.duration / stores.len() as u32;
        let at = |n: usize| self.spec.at + gap * n as u32;
        let replacements = stores.into_iter().enumerate().map(|(n, id)| (at(n), id)).collect();
        self.replace_stores(replacements).await
    }

    /// Starts a cold successor for each store at its time and drains the store, which is gone some time
    /// later.
    async fn replace_stores(&self, mut replacements: Vec<(Duration, u64)>) -> io::Result<()> {
        replacements.sort_unstable();
        let grace = self.testbed.scenario.document.settings.rules.drain_grace;
        // The store keeps serving well beyond the grace, so that only the gateways themselves keep new work
        // from it.
        let gone_after = grace * 3 + self.testbed.scenario.slack * 2;
        let mut draining = Vec::new();
        for (at, id) in replacements {
            if !self.await_step(at).await {
                break;
            }
            if self.drain_store(id).await? {
                draining.push((at + gone_after, id));
            }
        }
        for (at, id) in draining {
            if self.await_step(at).await {
                let mut fleet = self.testbed.fleet.lock().await;
                fleet.list.set_state(id, EndpointState::Gone);
                fleet.kill(id).await;
            }
        }
        Ok(())
    }

    /// Starts a successor and lets the store drain. Returns false if the store does not run.
    async fn drain_store(&self, id: u64) -> io::Result<bool> {
        let mut fleet = self.testbed.fleet.lock().await;
        let Some(shard) = fleet.shard(id) else { return Ok(false) };
        fleet.add(shard, true).await?;
        fleet.list.set_state(id, EndpointState::Draining);
        self.testbed.record_event(TestEvent::Barred { store: id });
        Ok(true)
    }

    async fn delay_list(self) -> io::Result<()> {
        self.set_list_delay(Duration::from_secs_f64(self.spec.magnitude)).await;
        if self.await_step(self.end_offset()).await {
            self.set_list_delay(Duration::ZERO).await;
        }
        Ok(())
    }

    async fn set_list_delay(&self, delay: Duration) {
        self.testbed.fleet.lock().await.list.set_delay(delay);
        self.testbed.record_event(TestEvent::ListDelay { delay: delay.as_micros() as u64 });
    }

    async fn fail_list(self) -> io::Result<()> {
        self.testbed.fleet.lock().await.list.set_failing(true);
        if self.await_step(self.end_offset()).await {
            self.testbed.fleet.lock().await.list.set_failing(false);
        }
        Ok(())
    }

    async fn crash_gateways(mut self) -> io::Result<()> {
        for mut gateway in self.lock_gateways().await {
            gateway.kill(&self.testbed).await?;
            let start = self.rng.random_range(START_SEEDS);
            gateway.restart(&self.testbed, start).await?;
        }
        Ok(())
    }

    async fn take_gateways_down(mut self) -> io::Result<()> {
        let mut gateways = self.lock_gateways().await;
        for gateway in &mut gateways {
            gateway.kill(&self.testbed).await?;
        }
        // A gateway that is down at the end of the scenario is started again then, so that it can be stopped
        // with SIGTERM.
        sleep_until((self.started + self.end_offset()).min(self.scenario_end())).await;
        for gateway in &mut gateways {
            let start = self.rng.random_range(START_SEEDS);
            gateway.restart(&self.testbed, start).await?;
        }
        Ok(())
    }

    /// Kills and restarts one gateway after another, drawn anew each time.
    async fn crash_gateways_in_turn(mut self) -> io::Result<()> {
        let interval = Duration::from_secs_f64(self.spec.magnitude);
        let mut at = self.spec.at;
        loop {
            let mut order: Vec<usize> = (0..self.testbed.gateways.len()).collect();
            order.shuffle(&mut self.rng);
            for mut gateway in self.testbed.lock_gateways(&order, 1).await {
                gateway.kill(&self.testbed).await?;
                let start = self.rng.random_range(START_SEEDS);
                gateway.restart(&self.testbed, start).await?;
            }
            at += interval;
            if interval.is_zero() || at >= self.end_offset() || !self.await_step(at).await {
                return Ok(());
            }
        }
    }

    /// Stalls each gateway in its own task, so that it resumes at the end of the fault, no matter what
    /// other faults wait for.
    async fn stall_gateways(mut self) -> io::Result<()> {
        let gateways = self.lock_gateways().await;
        // The duration counts from now, since this fault may have waited for another to release the gateways.
        let until = (Instant::now() + self.spec.duration).min(self.scenario_end());
        let mut stalled = Vec::new();
        for gateway in gateways {
            let testbed = self.testbed.clone();
            stalled.push(tokio::spawn(async move { gateway.stall_until(&testbed, until).await }));
        }
        for gateway in stalled {
            gateway.await.map_err(io::Error::other)??;
        }
        Ok(())
    }

    async fn change_settings(self) -> io::Result<()> {
        let edits = self.spec.edits.iter().map(|text| Edit::parse_set_edit(text)).collect::<Result<_, _>>();
        self.testbed.commit(edits.map_err(io::Error::other)?).await
    }

    async fn disturb_clients(self) -> io::Result<()> {
        self.testbed.client_faults.send_modify(|faults| begin_client_fault(faults, &self.spec));
        if self.await_step(self.end_offset()).await {
            self.testbed.client_faults.send_modify(|faults| end_client_fault(faults, &self.spec));
        }
        Ok(())
    }

    async fn move_range(mut self) -> io::Result<()> {
        let deadline = self.scenario_end();
        self.testbed.request_move(&self.spec, &mut self.rng, deadline).await
    }

    async fn crash_coordinator(self) -> io::Result<()> {
        let Some(coordinator) = &self.testbed.coordinator else { return Ok(()) };
        let mut coordinator = coordinator.lock().await;
        self.record_lateness(self.spec.at);
        self.testbed.record_event(TestEvent::CoordinatorKilled);
        coordinator.kill().await?;
        sleep_until((self.started + self.end_offset()).min(self.scenario_end())).await;
        coordinator.restart().await?;
        self.testbed.record_event(TestEvent::CoordinatorStarted { term: coordinator.term });
        Ok(())
    }

    async fn stall_coordinator(self) -> io::Result<()> {
        let Some(coordinator) = &self.testbed.coordinator else { return Ok(()) };
        let coordinator = coordinator.lock().await;
        self.record_lateness(self.spec.at);
        let until = (Instant::now() + self.spec.duration).min(self.scenario_end());
        let from = self.testbed.client_context.store_record.now();
        coordinator.signal(Signal::SIGSTOP)?;
        sleep_until(until).await;
        coordinator.signal(Signal::SIGCONT)?;
        self.testbed.record_event_at(
            from,
            TestEvent::CoordinatorStalled { until: self.testbed.client_context.store_record.now() },
        );
        Ok(())
    }

    async fn supersede_coordinator(self) -> io::Result<()> {
        let Some(coordinator) = &self.testbed.coordinator else { return Ok(()) };
        let mut coordinator = coordinator.lock().await;
        self.record_lateness(self.spec.at);
        let former = CoordinatorProcess::take_over(&mut coordinator).await?;
        self.testbed.set_coordinator_address(coordinator.address)?;
        self.testbed.record_event(TestEvent::CoordinatorStarted { term: coordinator.term });
        self.testbed.superseded.lock().map_err(poisoned_lock)?.push(former);
        Ok(())
    }
}

/// The fault of the store model by which a scripted fault of stores is injected; none for other kinds.
fn store_fault(fault: &ScriptedFault) -> model::Fault {
    let share = fault.magnitude.clamp(0.0, 1.0);
    let none = model::Fault::default();
    match fault.kind {
        FaultKind::Slow => model::Fault { slowdown: fault.magnitude.max(1.0), ..none },
        FaultKind::FastErrors => model::Fault { error_fraction: share, ..none },
        FaultKind::AnswerLost => model::Fault { lost_fraction: share, ..none },
        FaultKind::Full => model::Fault { rejects_all: true, ..none },
        FaultKind::Neighbour => model::Fault { slowdown: 1.0 / (1.0 - share.min(0.95)), ..none },
        FaultKind::Mute => model::Fault { is_mute: true, ..none },
        FaultKind::Sit => model::Fault { write_delay: Duration::from_secs_f64(fault.magnitude), ..none },
        _ => none,
    }
}

fn begin_client_fault(faults: &mut ClientFaults, fault: &ScriptedFault) {
    let volume = fault.volume;
    match fault.kind {
        FaultKind::Reconnect => {
            faults.disconnects += 1;
            faults.disconnect_fraction = fault.fraction;
        }
        FaultKind::Burst => faults.rate_factors.fill(fault.magnitude),
        FaultKind::Surge => faults.rate_factors[volume] = fault.magnitude,
        FaultKind::HotKey => (faults.hot_key[volume], faults.rate_factors[volume]) = (true, fault.magnitude),
        FaultKind::Scan => faults.scan[volume] = true,
        _ => {}
    }
}

fn end_client_fault(faults: &mut ClientFaults, fault: &ScriptedFault) {
    let volume = fault.volume;
    match fault.kind {
        FaultKind::Burst => faults.rate_factors.fill(1.0),
        FaultKind::Surge | FaultKind::HotKey | FaultKind::Scan => {
            faults.rate_factors[volume] = 1.0;
            (faults.hot_key[volume], faults.scan[volume]) = (false, false);
        }
        _ => {}
    }
}

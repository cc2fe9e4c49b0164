//! The gateways of a scenario: starting, killing, stalling, restarting and stopping them.

use std::io;
use std::sync::Arc;

use nix::sys::signal::Signal;
use tokio::sync::OwnedMutexGuard;
use tokio::time::Instant;
use umbertray_config::{ChangeSource, FunctionCall};
use umbertray_fakes::fleet::any_port;

use super::testbed::{Testbed, poisoned_lock};
use crate::process::Gateway;
use crate::record::TestEvent;

/// Script calls that stay in a gateway's own script when all other settings are in the change log.
const GATEWAY_CALLS: [&str; 2] = ["gateway", "bounds"];

/// A gateway that a fault has locked for its whole duration.
pub(super) struct LockedGateway {
    pub(super) number: usize,
    gateway: OwnedMutexGuard<Gateway>,
}

impl Testbed {
    /// Starts a gateway. `start` varies the seed from start to start, for gateways that keep no state.
    pub(super) async fn start_gateway(&self, number: usize, start: u64) -> io::Result<Gateway> {
        let mut document = self.scenario.document.clone();
        document.endpoint_list = self.fleet.lock().await.list.address;
        document.coordinator = self.coordinator_address();
        // State belongs to a seed, so all starts of a gateway that keeps state use the same seed.
        let start = if self.scenario.keeps_state { 0 } else { start };
        document.seed = (self.seed << 16 ^ number as u64 ^ start << 8) & ((1 << 53) - 1);
        let folder = std::path::absolute(self.folder.join(format!("state-{number}")))?;
        document.state = self.scenario.keeps_state.then(|| folder.display().to_string());
        document.listen = vec![any_port()];
        if self.scenario.uses_change_log {
            let folder = std::path::absolute(self.log_folder())?.display().to_string();
            document.changes = Some(ChangeSource::Folder(folder));
        }
        let is_own =
            |call: &&FunctionCall| !self.scenario.uses_change_log || GATEWAY_CALLS.contains(&call.function);
        let script: String =
            document.calls().iter().filter(is_own).map(|call| call.as_script() + "\n").collect();
        Gateway::start(&self.program, &self.folder, &format!("gateway-{number}"), &script).await
    }

    /// Locks the first `count` gateways in `order` that no other fault holds. Waits for the first gateway in
    /// `order` if none is free.
    pub(super) async fn lock_gateways(&self, order: &[usize], count: usize) -> Vec<LockedGateway> {
        let free = order.iter().filter_map(|number| {
            let gateway = self.gateways[*number].clone().try_lock_owned().ok()?;
            Some(LockedGateway { number: *number, gateway })
        });
        let locked: Vec<LockedGateway> = free.take(count).collect();
        match order.first().filter(|_| locked.is_empty()) {
            Some(number) => {
                let gateway = Arc::clone(&self.gateways[*number]).lock_owned().await;
                vec![LockedGateway { number: *number, gateway }]
            }
            None => locked,
        }
    }

    /// Stops all gateways with SIGTERM; each must exit with success.
    pub(super) async fn stop_gateways(&self) -> io::Result<()> {
        for (number, gateway) in self.gateways.iter().enumerate() {
            let mut gateway = gateway.lock().await;
            if !gateway.stop_in_place(self.client_context.response_timeout).await? {
                let message = format!("gateway {number} exited with an error after SIGTERM; see its log");
                return Err(io::Error::other(message));
            }
        }
        Ok(())
    }
}

impl LockedGateway {
    pub(super) async fn kill(&mut self, testbed: &Testbed) -> io::Result<()> {
        testbed.record_event(TestEvent::Killed { gateway: self.number });
        self.gateway.kill().await
    }

    /// Starts the gateway again after it was killed.
    pub(super) async fn restart(&mut self, testbed: &Testbed, start: u64) -> io::Result<()> {
        *self.gateway = testbed.start_gateway(self.number, start).await?;
        testbed.client_context.gateway_addresses.lock().map_err(poisoned_lock)?[self.number] =
            self.gateway.address;
        testbed.record_event(TestEvent::Returned { gateway: self.number });
        Ok(())
    }

    /// Stalls the gateway with SIGSTOP until the given time, and records when the stall really began and
    /// ended.
    pub(super) async fn stall_until(&self, testbed: &Testbed, until: Instant) -> io::Result<()> {
        let from = testbed.client_context.store_record.now();
        self.gateway.signal(Signal::SIGSTOP)?;
        tokio::time::sleep_until(until).await;
        self.gateway.signal(Signal::SIGCONT)?;
        let until = testbed.client_context.store_record.now();
        testbed.record_event_at(from, TestEvent::Stalled { gateway: self.number, until });
        Ok(())
    }
}

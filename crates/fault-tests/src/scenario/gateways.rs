//! The gateways of a scenario: started, killed, stopped and started again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use nix::sys::signal::Signal;
use tokio::sync::OwnedMutexGuard;
use tokio::time::Instant;
use umbertray_config::{ChangeSource, FunctionCall};

use super::stage::{Stage, poisoned};
use crate::process::Gateway;
use crate::record::Deed;

/// Calls of a script that stay the gateway's own where the rest is in the log.
const OWN_CALLS: [&str; 2] = ["gateway", "bounds"];

/// A gateway that a fault has for as long as it lasts.
pub(super) struct HeldGateway {
    pub(super) number: usize,
    gateway: OwnedMutexGuard<Gateway>,
}

impl Stage {
    /// Starts a gateway; one that keeps no state gets a seed of its own with each start.
    pub(super) async fn start_gateway(&self, number: usize, start: u64) -> io::Result<Gateway> {
        let mut document = self.day.document.clone();
        document.endpoint_list = self.fleet.lock().await.list.address;
        document.coordinator = self.coordinator_address();
        // A gateway's state is that of its seed, so its starts share one where state is kept.
        let start = if self.day.state { 0 } else { start };
        document.seed = (self.seed << 16 ^ number as u64 ^ start << 8) & ((1 << 53) - 1);
        let folder = std::path::absolute(self.folder.join(format!("state-{number}")))?;
        document.state = self.day.state.then(|| folder.display().to_string());
        document.listen = vec![SocketAddr::from(([127, 0, 0, 1], 0))];
        if self.day.changes {
            let folder = std::path::absolute(self.log_folder())?.display().to_string();
            document.changes = Some(ChangeSource::Folder(folder));
        }
        let is_own = |call: &&FunctionCall| !self.day.changes || OWN_CALLS.contains(&call.function);
        let script: String =
            document.calls().iter().filter(is_own).map(|call| call.as_script() + "\n").collect();
        Gateway::start(&self.program, &self.folder, &format!("gateway-{number}"), &script).await
    }

    /// So many of the gateways in this order, of those that no other fault has; the first of them all if none is free.
    pub(super) async fn hold_gateways(&self, order: &[usize], count: usize) -> Vec<HeldGateway> {
        let free = order.iter().filter_map(|number| {
            let gateway = self.gateways[*number].clone().try_lock_owned().ok()?;
            Some(HeldGateway { number: *number, gateway })
        });
        let held: Vec<HeldGateway> = free.take(count).collect();
        match order.first().filter(|_| held.is_empty()) {
            Some(number) => {
                let gateway = Arc::clone(&self.gateways[*number]).lock_owned().await;
                vec![HeldGateway { number: *number, gateway }]
            }
            None => held,
        }
    }

    /// Asks all gateways to stop; each has to end well.
    pub(super) async fn stop_gateways(&self) -> io::Result<()> {
        for gateway in &self.gateways {
            let mut gateway = gateway.lock().await;
            if !gateway.stop_in_place(self.shared.patience).await? {
                return Err(io::Error::other("a gateway did not end well when asked to stop"));
            }
        }
        Ok(())
    }
}

impl HeldGateway {
    pub(super) async fn kill(&mut self, stage: &Stage) -> io::Result<()> {
        stage.note(Deed::Killed { gateway: self.number });
        self.gateway.kill().await
    }

    /// Starts it again after it was killed.
    pub(super) async fn start_again(&mut self, stage: &Stage, start: u64) -> io::Result<()> {
        *self.gateway = stage.start_gateway(self.number, start).await?;
        stage.shared.gateways.lock().map_err(poisoned)?[self.number] = self.gateway.address;
        stage.note(Deed::Returned { gateway: self.number });
        Ok(())
    }

    /// Stops it with SIGSTOP until a moment, and records from when to when it really stood still.
    pub(super) async fn stop_until(&self, stage: &Stage, until: Instant) -> io::Result<()> {
        let from = stage.shared.book.now();
        self.gateway.signal(Signal::SIGSTOP)?;
        tokio::time::sleep_until(until).await;
        self.gateway.signal(Signal::SIGCONT)?;
        let until = stage.shared.book.now();
        stage.note_at(from, Deed::Stalled { gateway: self.number, until });
        Ok(())
    }
}

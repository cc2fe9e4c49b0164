//! Moves of ranges between shards, requested as an operator would request them.

use std::io;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::rngs::StdRng;
use umbertray_coordinator::client::{self, RequestError};
use umbertray_store_protocol::orders::ExtentRange;
use umbertray_store_protocol::volume_id;

use super::testbed::{Testbed, poisoned_lock};
use crate::coordinator::await_move;
use crate::process::START_TIMEOUT;
use crate::script::ScriptedFault;

/// Time that a move may take to finish after the last fault.
const MOVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two requests for a move to a coordinator that does not respond.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Testbed {
    /// Requests a move of a random range of a volume to a random shard. Tries smaller ranges after a
    /// rejection, since the extents of a large range may not lie on one shard. Retries until `deadline` while
    /// the coordinator does not respond.
    pub(super) async fn request_move(
        &self,
        fault: &ScriptedFault,
        rng: &mut StdRng,
        deadline: tokio::time::Instant,
    ) -> io::Result<()> {
        let settings = &self.scenario.document.settings;
        let volume = &settings.volumes[fault.volume];
        let extents = volume.size.div_ceil(settings.extent_bytes.into());
        for size in [fault.magnitude, fault.magnitude / 2.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0] {
            let start = rng.random_range(0..extents);
            let end = (start + size.max(1.0) as u64).min(extents);
            let shard = rng.random_range(0..self.scenario.stores);
            let range = ExtentRange { volume: volume_id(&volume.name), start, end };
            loop {
                let Some(address) = self.coordinator_address() else { return Ok(()) };
                match client::request_move(address, range, shard).await {
                    Ok(number) => {
                        self.accepted_moves.lock().map_err(poisoned_lock)?.push(number);
                        return Ok(());
                    }
                    Err(RequestError::Rejected(_)) => break,
                    Err(_) if tokio::time::Instant::now() >= deadline => return Ok(()),
                    Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
                }
            }
        }
        Ok(())
    }

    /// Waits until all accepted moves have finished. Then resumes the superseded coordinators, each of which
    /// must exit with an error.
    ///
    /// Hazard: a move that never finishes leaves a range that no store serves, or that two stores serve.
    pub(super) async fn await_moves(&self) -> io::Result<()> {
        let Some(address) = self.coordinator_address() else { return Ok(()) };
        let moves = self.accepted_moves.lock().map_err(poisoned_lock)?.clone();
        for number in moves {
            await_move(address, number, MOVE_TIMEOUT).await?;
        }
        let superseded = std::mem::take(&mut *self.superseded.lock().map_err(poisoned_lock)?);
        for mut former in superseded {
            former.signal(Signal::SIGCONT)?;
            if former.await_exit(START_TIMEOUT).await? {
                let message = "a superseded coordinator exited with success; it must exit with an error";
                return Err(io::Error::other(message));
            }
        }
        Ok(())
    }
}

//! Moves of ranges between shards, asked for as an operator would.

use std::io;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::rngs::StdRng;
use umbertray_coordinator::client::{self, RequestError};
use umbertray_store_protocol::orders::ExtentRange;
use umbertray_store_protocol::volume_id;

use super::stage::{Stage, poisoned};
use crate::coordinator::await_move;
use crate::day::Trouble;
use crate::process::START_TIMEOUT;

/// After a day's faults a move may take this long to its end.
const MOVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Between two requests for a move to a coordinator that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Stage {
    /// Moves some extents of a volume to a shard: fewer, where so many do not lie together. A coordinator that does not
    /// answer is asked again until the day is over.
    pub(super) async fn request_move(
        &self,
        trouble: &Trouble,
        draw: &mut StdRng,
        day_ends: tokio::time::Instant,
    ) -> io::Result<()> {
        let settings = &self.day.document.settings;
        let volume = &settings.volumes[trouble.volume];
        let extents = volume.size.div_ceil(settings.extent_bytes.into());
        for size in [trouble.size, trouble.size / 2.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0] {
            let start = draw.random_range(0..extents);
            let end = (start + size.max(1.0) as u64).min(extents);
            let shard = draw.random_range(0..self.day.stores);
            let range = ExtentRange { volume: volume_id(&volume.name), start, end };
            loop {
                let Some(address) = self.coordinator_address() else { return Ok(()) };
                match client::request_move(address, range, shard).await {
                    Ok(number) => {
                        self.moves.lock().map_err(poisoned)?.push(number);
                        return Ok(());
                    }
                    Err(RequestError::Rejected(_)) => break,
                    Err(_) if tokio::time::Instant::now() >= day_ends => return Ok(()),
                    Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
                }
            }
        }
        Ok(())
    }

    /// Hazard: a move that never ends is a range that nobody serves, or two homes of one.
    pub(super) async fn await_moves(&self) -> io::Result<()> {
        let Some(address) = self.coordinator_address() else { return Ok(()) };
        let moves = self.moves.lock().map_err(poisoned)?.clone();
        for number in moves {
            await_move(address, number, MOVE_TIMEOUT).await?;
        }
        let superseded = std::mem::take(&mut *self.superseded.lock().map_err(poisoned)?);
        for mut former in superseded {
            former.signal(Signal::SIGCONT)?;
            if former.ended(START_TIMEOUT).await? {
                let text = "a coordinator that was taken over from ended as if nothing had happened";
                return Err(io::Error::other(text));
            }
        }
        Ok(())
    }
}

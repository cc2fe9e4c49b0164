//! Admission control of requests by their size in bytes, decided before the bytes are read. There is no I/O,
//! clock or randomness; the caller passes time and random numbers in.
//!
//! Half of the budget is open to all volumes, first come, first served. The other half is guaranteed: each
//! active volume has a share of it, one part of which depends on its reserve and the other on its weight, so
//! that a flood of requests on one volume cannot use the share of another. A request that does not fit is
//! rejected at once with a time to retry after; it is never queued.

use std::collections::HashMap;
use std::time::Duration;

/// The fraction of the budget that any volume may fill.
const OPEN_FRACTION: f64 = 0.5;

/// The fraction of the guaranteed part that is divided in proportion to the reserves; the rest is divided by
/// weight.
const RESERVE_FRACTION: f64 = 0.5;

/// A volume that holds no bytes counts as active for this long after its last request.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// Retry times are spread uniformly over the computed time plus or minus this fraction of it.
const RETRY_SPREAD: f64 = 0.5;

/// The resources that a volume's plan grants it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VolumeShare {
    /// Weight of the volume, relative to other volumes, in the division of what is not reserved.
    pub weight: f64,
    /// Reserved rate in units per second.
    pub reserve: f64,
}

/// The result of a request for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The bytes are held until they are released.
    Granted,
    /// No bytes are held.
    Rejected {
        /// How long to wait before a retry is likely to succeed.
        retry_after: Duration,
    },
}

struct VolumeUsage {
    held_bytes: u64,
    share: VolumeShare,
    last_request_at: Duration,
}

/// The byte budget of one gateway, with the bytes held by each volume.
///
/// Invariant: `held_bytes` is the sum over the volumes and at most `max_bytes`.
pub struct ByteBudget {
    max_bytes: u64,
    max_retry_after: Duration,
    held_bytes: u64,
    volumes: HashMap<usize, VolumeUsage>,
    /// Sum of the weights of the active volumes.
    total_weight: f64,
    /// Sum of the reserves of the active volumes.
    total_reserve: f64,
    /// Recent release rate in bytes per second: a sum of released bytes that decays exponentially with a time
    /// constant of one second.
    release_rate: f64,
    updated_at: Duration,
    swept_at: Duration,
}

impl ByteBudget {
    /// Creates an empty budget of `max_bytes`. The computed retry time of a rejection is at most
    /// `max_retry_after`, before it is spread.
    pub fn new(max_bytes: u64, max_retry_after: Duration) -> ByteBudget {
        ByteBudget {
            max_bytes,
            max_retry_after,
            held_bytes: 0,
            volumes: HashMap::new(),
            total_weight: 0.0,
            total_reserve: 0.0,
            release_rate: 0.0,
            updated_at: Duration::ZERO,
            swept_at: Duration::ZERO,
        }
    }

    /// Bytes that are granted and not released.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Grants `bytes` to a volume, or rejects the request. `random_fraction` is drawn by the caller,
    /// uniformly from 0 to 1.
    pub fn request(
        &mut self,
        now: Duration,
        volume: usize,
        share: VolumeShare,
        bytes: u64,
        random_fraction: f64,
    ) -> Admission {
        self.advance(now);
        self.record_request(now, volume, share);
        let guaranteed = self.guaranteed_bytes(share);
        let open = self.max_bytes as f64 * OPEN_FRACTION;
        let volume_bytes = self.volumes.get(&volume).map_or(0, |usage| usage.held_bytes) + bytes;
        let total_bytes = self.held_bytes + bytes;
        let fits_share = total_bytes as f64 <= open || volume_bytes as f64 <= guaranteed;
        if total_bytes <= self.max_bytes && fits_share {
            self.held_bytes = total_bytes;
            self.volumes.entry(volume).and_modify(|usage| usage.held_bytes = volume_bytes);
            return Admission::Granted;
        }
        // The bytes that have to be released before the request fits into the open part or into the volume's
        // guaranteed part, and into the total budget.
        let share_excess = (total_bytes as f64 - open).min(volume_bytes as f64 - guaranteed);
        let excess = share_excess.max(total_bytes as f64 - self.max_bytes as f64);
        let wait = self.time_to_release(excess.max(bytes as f64));
        Admission::Rejected { retry_after: add_jitter(wait, random_fraction) }
    }

    /// Releases bytes that were granted to a volume.
    pub fn release(&mut self, now: Duration, volume: usize, bytes: u64) {
        self.advance(now);
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        self.release_rate += bytes as f64;
        if let Some(usage) = self.volumes.get_mut(&volume) {
            usage.held_bytes = usage.held_bytes.saturating_sub(bytes);
        }
    }

    /// The guaranteed bytes of a volume with this share. Invariant: over all active volumes they add up to
    /// the guaranteed part of the budget, so that every volume still has capacity when the open part is full.
    fn guaranteed_bytes(&self, share: VolumeShare) -> f64 {
        let guaranteed = self.max_bytes as f64 * (1.0 - OPEN_FRACTION);
        let by_weight = fraction(share.weight, self.total_weight);
        if self.total_reserve <= 0.0 {
            return guaranteed * by_weight;
        }
        let by_reserve = fraction(share.reserve, self.total_reserve);
        guaranteed * (RESERVE_FRACTION * by_reserve + (1.0 - RESERVE_FRACTION) * by_weight)
    }

    /// How long it takes until `bytes` are released at the current rate, at most `max_retry_after`.
    fn time_to_release(&self, bytes: f64) -> Duration {
        let wait = Duration::try_from_secs_f64(bytes / self.release_rate.max(1.0));
        wait.unwrap_or(self.max_retry_after).min(self.max_retry_after)
    }

    fn record_request(&mut self, now: Duration, volume: usize, share: VolumeShare) {
        let usage = self.volumes.entry(volume).or_insert(VolumeUsage {
            held_bytes: 0,
            share: VolumeShare { weight: 0.0, reserve: 0.0 },
            last_request_at: now,
        });
        // The volume's plan may have changed since its last request.
        self.total_weight += share.weight - usage.share.weight;
        self.total_reserve += share.reserve - usage.share.reserve;
        usage.share = share;
        usage.last_request_at = now;
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.release_rate *= (-elapsed).exp();
        self.updated_at = self.updated_at.max(now);
        if now >= self.swept_at + ACTIVE_TIME {
            self.sweep(now);
        }
    }

    /// Drops volumes that are no longer active.
    fn sweep(&mut self, now: Duration) {
        self.swept_at = now;
        self.volumes.retain(|_, usage| usage.held_bytes > 0 || usage.last_request_at + ACTIVE_TIME > now);
        // The sums are computed anew, since rounding errors of additions and subtractions would accumulate.
        self.total_weight = self.volumes.values().map(|usage| usage.share.weight).sum();
        self.total_reserve = self.volumes.values().map(|usage| usage.share.reserve).sum();
    }
}

fn fraction(part: f64, total: f64) -> f64 {
    if total > 0.0 { part / total } else { 0.0 }
}

/// Adds jitter to a wait, so that clients that were rejected at the same time do not retry at the same time.
fn add_jitter(wait: Duration, random_fraction: f64) -> Duration {
    wait.mul_f64(1.0 - RETRY_SPREAD + 2.0 * RETRY_SPREAD * random_fraction.clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests;

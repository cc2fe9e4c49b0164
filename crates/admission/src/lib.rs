//! Admission of requests by their bytes, decided before the bytes are read. No I/O, no clock, no randomness of its own.
//!
//! Half of the budget is open to whoever comes first. The other half is guaranteed: each active volume has a share of it, by
//! reserve and then by weight, so that a flood on one volume cannot take another's. What does not fit is rejected at once,
//! with a time to retry after, and never queued.

use std::collections::HashMap;
use std::time::Duration;

/// The fraction of the budget that any volume may fill.
const OPEN_FRACTION: f64 = 0.5;

/// The fraction of the guaranteed part that is shared by reserve; the rest is shared by weight.
const RESERVE_FRACTION: f64 = 0.5;

/// A volume that holds nothing counts as active for this long after its last request.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// Retry times are spread evenly over this fraction of the computed time, to either side of it.
const RETRY_SPREAD: f64 = 0.5;

/// What its plan grants a volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VolumeShare {
    /// Share of what is not reserved, relative to other volumes.
    pub weight: f64,
    /// Reserved rate, units per second.
    pub reserve: f64,
}

/// Result of a request for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The bytes are held until they are released.
    Granted,
    /// Nothing is held.
    Rejected {
        /// When a retry is worthwhile.
        retry_after: Duration,
    },
}

struct VolumeUsage {
    held_bytes: u64,
    share: VolumeShare,
    last_request_at: Duration,
}

/// The bytes that one gateway holds, by volume.
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
    /// Bytes per second released lately: a sum that decays within a second.
    release_rate: f64,
    updated_at: Duration,
    swept_at: Duration,
}

impl ByteBudget {
    /// An empty budget of `max_bytes`, whose rejections name `max_retry_after` at most.
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

    /// Bytes granted and not released.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Grants `bytes` to a volume, or rejects them. `random_fraction` is drawn evenly from 0 to 1 by the caller.
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
        let own = self.volumes.get(&volume).map_or(0, |usage| usage.held_bytes) + bytes;
        let all = self.held_bytes + bytes;
        let fits = all as f64 <= open || own as f64 <= guaranteed;
        if all <= self.max_bytes && fits {
            self.held_bytes = all;
            self.volumes.entry(volume).and_modify(|usage| usage.held_bytes = own);
            return Admission::Granted;
        }
        // What has to be released before it fits: into the open part or the volume's own, and into the whole.
        let excess = (all as f64 - open).min(own as f64 - guaranteed).max(all as f64 - self.max_bytes as f64);
        let wait = self.time_to_release(excess.max(bytes as f64));
        Admission::Rejected { retry_after: spread(wait, random_fraction) }
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

    /// The part of the guaranteed bytes that a share is entitled to. Invariant: over the active volumes these add up to the
    /// guaranteed part, so that with the open part full there is still room for each.
    fn guaranteed_bytes(&self, share: VolumeShare) -> f64 {
        let guaranteed = self.max_bytes as f64 * (1.0 - OPEN_FRACTION);
        let by_weight = fraction(share.weight, self.total_weight);
        if self.total_reserve <= 0.0 {
            return guaranteed * by_weight;
        }
        let by_reserve = fraction(share.reserve, self.total_reserve);
        guaranteed * (RESERVE_FRACTION * by_reserve + (1.0 - RESERVE_FRACTION) * by_weight)
    }

    /// How long releases take to add up to so many bytes at the present rate.
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
        // Summed anew: rounding errors of additions and subtractions would add up.
        self.total_weight = self.volumes.values().map(|usage| usage.share.weight).sum();
        self.total_reserve = self.volumes.values().map(|usage| usage.share.reserve).sum();
    }
}

fn fraction(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Spreads a wait, so that those who were rejected together do not return together.
fn spread(wait: Duration, random_fraction: f64) -> Duration {
    wait.mul_f64(1.0 - RETRY_SPREAD + 2.0 * RETRY_SPREAD * random_fraction.clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests;

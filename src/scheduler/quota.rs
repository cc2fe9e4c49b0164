//! Plan limits: this gateway's part of each volume's limit as a token bucket, and the volume's recent rate.
//!
//! Invariant: the gateways of a volume together draw no more than its plan's limit (rule 7). Each fills an even part,
//! from empty at its own start, since an earlier run may have drawn it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::settings::Plan;
use crate::interface::VolumeId;

/// The part of a volume's tokens that a snapshot's promise keeps undrawn.
const RESERVED_TOKEN_SHARE: f64 = 0.5;
/// Reserved tokens are kept this many times as long as was promised, as a margin.
const RESERVATION_MARGIN: f64 = 1.25;
/// So many former limits of a plan are told apart; of earlier ones the least counts.
const MAX_PREVIOUS_LIMITS: usize = 16;

/// A plan's limit over all gateways; a rate of zero is no limit.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct Limit {
    /// Units a second.
    pub(super) rate: f64,
    /// Units that may be drawn at once.
    pub(super) burst: f64,
}

impl Limit {
    pub(super) fn is_unlimited(self) -> bool {
        self.rate <= 0.0
    }
}

/// A limit and the time until which it was in force.
struct PreviousLimit {
    until: Duration,
    limit: Limit,
}

/// A plan's limit over time: tokens fill at what was in force at each time.
struct LimitHistory {
    current: Limit,
    previous_limits: VecDeque<PreviousLimit>,
}

impl LimitHistory {
    fn new(current: Limit) -> Self {
        Self { current, previous_limits: VecDeque::new() }
    }

    fn change(&mut self, limit: Limit, now: Duration) {
        if limit != self.current {
            self.previous_limits.push_back(PreviousLimit { until: now, limit: self.current });
        }
        self.current = limit;
        if self.previous_limits.len() > MAX_PREVIOUS_LIMITS
            && let Some(oldest) = self.previous_limits.pop_front()
            && let Some(next) = self.previous_limits.front_mut()
        {
            next.limit.rate = next.limit.rate.min(oldest.limit.rate);
            next.limit.burst = next.limit.burst.min(oldest.limit.burst);
        }
    }

    /// Limits in force between `from` and `now`, each with the time until which it was.
    fn in_force(&self, from: Duration, now: Duration) -> impl Iterator<Item = (Duration, Limit)> {
        let previous = self.previous_limits.iter().filter(move |previous| previous.until > from);
        previous.map(|previous| (previous.until, previous.limit)).chain([(now, self.current)])
    }
}

/// Tokens that stay undrawn, as promised by a snapshot.
#[derive(Clone, Copy, Default)]
struct Reservation {
    tokens: f64,
    until: Duration,
}

/// What this gateway knows of one volume over all stores.
#[derive(Default)]
pub(super) struct VolumeQuota {
    /// Units left of this gateway's part of the limit.
    tokens: f64,
    /// By the last two snapshots: a crash may come before the later one is kept.
    reserved_tokens: [Reservation; 2],
    /// Units a second lately sent from here or reported as served elsewhere.
    rate: f64,
    /// Units a second over all gateways, as stores reported it.
    reported_rate: f64,
    updated_at: Duration,
    plan: Option<usize>,
    gateways: f64,
}

impl VolumeQuota {
    fn new(updated_at: Duration) -> Self {
        Self { updated_at, ..Self::default() }
    }

    /// Fills the bucket up to `now`; rates fade within a second.
    fn advance(&mut self, limits: &LimitHistory, now: Duration) {
        let gateways = self.gateways.max(1.0);
        let mut filled_to = self.updated_at;
        for (until, limit) in limits.in_force(self.updated_at, now) {
            let elapsed = until.saturating_sub(filled_to).as_secs_f64();
            // Without a limit anything may have been drawn: a first limit starts from nothing.
            let filled = if limit.rate > 0.0 { self.tokens + limit.rate / gateways * elapsed } else { 0.0 };
            self.tokens = filled.min(limit.burst / gateways);
            filled_to = until;
        }
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate *= (-elapsed).exp();
        self.reported_rate *= (-elapsed).exp();
        self.updated_at = now;
    }

    /// Tokens that may be drawn now.
    pub(super) fn available(&self, now: Duration) -> f64 {
        let kept = self.reserved_tokens.iter().filter(|reserved| now < reserved.until);
        self.tokens - kept.map(|reserved| reserved.tokens).fold(0.0, f64::max)
    }

    /// Units a second, by whichever source tells of more.
    pub(super) fn known_rate(&self) -> f64 {
        self.rate.max(self.reported_rate)
    }

    /// An op's first attempt starts.
    pub(super) fn draw(&mut self, units: f64) {
        self.tokens -= units;
        self.rate += units;
    }

    /// A store told of units served through other gateways, and of the volume's rate over all of them.
    pub(super) fn record_service_elsewhere(&mut self, units: f64, rate: Option<f64>) {
        self.rate += units;
        if let Some(rate) = rate {
            self.reported_rate = self.reported_rate.max(rate);
        }
    }
}

/// A volume's rates and reserved tokens, as snapshots hold them.
pub(super) struct QuotaSnapshot {
    pub(super) rate: f64,
    pub(super) reported_rate: f64,
    pub(super) reserved_tokens: f64,
}

/// All volumes seen, and the limits of their plans.
pub(super) struct Quotas {
    limits: Vec<LimitHistory>,
    volumes: BTreeMap<VolumeId, VolumeQuota>,
}

impl Quotas {
    pub(super) fn new(plans: &[Plan]) -> Self {
        let limits = plans.iter().map(|plan| LimitHistory::new(plan.limit)).collect();
        Self { limits, volumes: BTreeMap::new() }
    }

    /// Plans keep their indices; new ones follow.
    pub(super) fn change_limits(&mut self, plans: &[Plan], now: Duration) {
        for (limits, plan) in self.limits.iter_mut().zip(plans) {
            limits.change(plan.limit, now);
        }
        let added = &plans[self.limits.len()..];
        self.limits.extend(added.iter().map(|plan| LimitHistory::new(plan.limit)));
    }

    pub(super) fn volume(&self, id: VolumeId) -> &VolumeQuota {
        &self.volumes[&id]
    }

    pub(super) fn volume_mut(&mut self, id: VolumeId) -> Option<&mut VolumeQuota> {
        self.volumes.get_mut(&id)
    }

    /// Notes a volume that a snapshot names. Hazard: its bucket fills from now on; from the clock's zero on it would be full,
    /// and an earlier run may have drawn it.
    pub(super) fn register(&mut self, id: VolumeId, now: Duration) {
        self.volumes.entry(id).or_insert_with(|| VolumeQuota::new(now));
    }

    /// The volume is of this plan, through so many gateways, from now on. If it is new, its bucket fills from
    /// `first_filled_at`.
    pub(super) fn assign(
        &mut self,
        id: VolumeId,
        plan: usize,
        gateways: f64,
        first_filled_at: Duration,
        now: Duration,
    ) {
        let volume = self.volumes.entry(id).or_insert_with(|| VolumeQuota::new(first_filled_at));
        if let Some(last_plan) = volume.plan {
            volume.advance(&self.limits[last_plan], now);
        }
        volume.plan = Some(plan);
        volume.gateways = gateways;
        volume.advance(&self.limits[plan], now);
    }

    /// Reserves a part of each volume's tokens for the promised time from now on, and tells what is known.
    pub(super) fn snapshot(&mut self, now: Duration, promised: Duration) -> Vec<(VolumeId, QuotaSnapshot)> {
        let until = now + promised.mul_f64(RESERVATION_MARGIN);
        let mut snapshots = Vec::new();
        for (id, volume) in &mut self.volumes {
            let tokens = volume.tokens.max(0.0) * RESERVED_TOKEN_SHARE;
            volume.reserved_tokens = [volume.reserved_tokens[1], Reservation { tokens, until }];
            let snapshot = QuotaSnapshot {
                rate: volume.rate,
                reported_rate: volume.reported_rate,
                reserved_tokens: tokens,
            };
            snapshots.push((*id, snapshot));
        }
        snapshots
    }

    /// Takes over an earlier run's rates, faded by its age, and the tokens that it promised to leave undrawn.
    pub(super) fn restore(&mut self, id: VolumeId, snapshot: &QuotaSnapshot, age: Duration, now: Duration) {
        let elapsed = age.as_secs_f64();
        let volume = self.volumes.entry(id).or_default();
        volume.rate = snapshot.rate * (-elapsed).exp();
        volume.reported_rate = snapshot.reported_rate * (-elapsed).exp();
        volume.tokens += snapshot.reserved_tokens;
        volume.updated_at = now;
    }
}

//! Plan limits: this gateway's part of each volume's limit as a token bucket, and the volume's recent rate.
//!
//! Invariant: the gateways of a volume together draw no more than its plan's limit (rule 7). Each fills an
//! equal part, starting empty when the gateway starts, since an earlier run may have drawn its part already.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::settings::Plan;
use crate::interface::VolumeId;

/// Fraction of a volume's tokens that a snapshot promises to leave undrawn.
const RESERVED_TOKEN_SHARE: f64 = 0.5;
/// Reserved tokens are withheld for this multiple of the promised time, as a margin.
const RESERVATION_MARGIN: f64 = 1.25;
/// Number of previous limits of a plan that are kept separately; older ones are merged into their minimum.
const MAX_PREVIOUS_LIMITS: usize = 16;

/// A volume's rate is negligible up to this fraction of the rate that its plan guarantees.
const NEGLIGIBLE_RATE_SHARE: f64 = 0.01;

/// A plan's limit over all gateways; a rate of zero means no limit.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct Limit {
    /// Units per second.
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

/// A plan's limit over time: tokens fill according to the limit that was in force at each time.
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

    /// Limits in force between `from` and `now`, each with the time until which it was in force.
    fn in_force(&self, from: Duration, now: Duration) -> impl Iterator<Item = (Duration, Limit)> {
        let previous = self.previous_limits.iter().filter(move |previous| previous.until > from);
        previous.map(|previous| (previous.until, previous.limit)).chain([(now, self.current)])
    }
}

/// Tokens that a snapshot promised to leave undrawn.
#[derive(Clone, Copy, Default)]
struct Reservation {
    tokens: f64,
    until: Duration,
}

/// State of one volume at this gateway, over all stores.
#[derive(Clone, Default)]
pub(super) struct VolumeQuota {
    /// Units left of this gateway's part of the limit.
    tokens: f64,
    /// Reservations of the last two snapshots: a crash may occur before the later snapshot has been stored.
    reserved_tokens: [Reservation; 2],
    /// Recent rate, in units per second, sent from here or reported as served through other gateways.
    rate: f64,
    /// Rate over all gateways as reported by stores, in units per second.
    reported_rate: f64,
    updated_at: Duration,
    plan: Option<usize>,
    gateways: f64,
}

impl VolumeQuota {
    fn new(updated_at: Duration) -> Self {
        Self { updated_at, ..Self::default() }
    }

    /// Fills the token bucket up to `now`; rates decay exponentially with a time constant of one second.
    fn advance(&mut self, limits: &LimitHistory, now: Duration) {
        let gateways = self.gateways.max(1.0);
        let mut filled_to = self.updated_at;
        for (until, limit) in limits.in_force(self.updated_at, now) {
            let elapsed = until.saturating_sub(filled_to).as_secs_f64();
            // Without a limit, any amount may have been drawn, so a newly introduced limit starts with an
            // empty bucket.
            let filled = if limit.rate > 0.0 { self.tokens + limit.rate / gateways * elapsed } else { 0.0 };
            self.tokens = filled.min(limit.burst / gateways);
            filled_to = until;
        }
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate *= (-elapsed).exp();
        self.reported_rate *= (-elapsed).exp();
        self.updated_at = now;
    }

    /// Whether the bucket is full, nothing is reserved, and the known rate is at most `negligible_rate`.
    fn is_settled(&self, limits: &LimitHistory, negligible_rate: f64, now: Duration) -> bool {
        let mut advanced = self.clone();
        advanced.advance(limits, now);
        let limit = limits.current;
        let capacity = limit.burst / advanced.gateways.max(1.0);
        let is_full = limit.is_unlimited() || advanced.tokens >= capacity;
        let has_reservation = self.reserved_tokens.iter().any(|reserved| now < reserved.until);
        is_full && !has_reservation && advanced.known_rate() <= negligible_rate
    }

    /// Tokens that may be drawn now.
    pub(super) fn available(&self, now: Duration) -> f64 {
        let reserved = self.reserved_tokens.iter().filter(|reserved| now < reserved.until);
        self.tokens - reserved.map(|reserved| reserved.tokens).fold(0.0, f64::max)
    }

    /// The volume's rate in units per second: the greater of the observed and the reported rate.
    pub(super) fn known_rate(&self) -> f64 {
        self.rate.max(self.reported_rate)
    }

    /// Accounts for the start of an op's first attempt.
    pub(super) fn draw(&mut self, units: f64) {
        self.tokens -= units;
        self.rate += units;
    }

    /// Accounts for units that a store reports as served through other gateways, and for the volume's
    /// reported rate over all gateways.
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

/// All known volumes, and the limits of their plans.
pub(super) struct Quotas {
    limits: Vec<LimitHistory>,
    volumes: BTreeMap<VolumeId, VolumeQuota>,
}

impl Quotas {
    pub(super) fn new(plans: &[Plan]) -> Self {
        let limits = plans.iter().map(|plan| LimitHistory::new(plan.limit)).collect();
        Self { limits, volumes: BTreeMap::new() }
    }

    /// Applies the limits of changed plans. Plans keep their indices; new ones are appended.
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

    /// Registers a volume that a snapshot names. Hazard: its bucket fills from now on; if it filled from the
    /// clock's zero it would start full, although an earlier run may have drawn its tokens.
    pub(super) fn register(&mut self, id: VolumeId, now: Duration) {
        self.volumes.entry(id).or_insert_with(|| VolumeQuota::new(now));
    }

    /// Assigns the volume to a plan and sets the number of its gateways from now on. The bucket of a new
    /// volume fills from `fills_from`.
    pub(super) fn assign(
        &mut self,
        id: VolumeId,
        plan: usize,
        gateways: f64,
        fills_from: Duration,
        now: Duration,
    ) {
        let volume = self.volumes.entry(id).or_insert_with(|| VolumeQuota::new(fills_from));
        if let Some(last_plan) = volume.plan {
            volume.advance(&self.limits[last_plan], now);
        }
        volume.plan = Some(plan);
        volume.gateways = gateways;
        volume.advance(&self.limits[plan], now);
    }

    /// Forgets the volumes whose next op will be treated as that of a new volume: their buckets are full,
    /// nothing of them is reserved, and their rates are negligible (rule 7). Volumes of which `is_kept` holds
    /// stay.
    pub(super) fn forget_settled(
        &mut self,
        plans: &[Plan],
        now: Duration,
        is_kept: impl Fn(VolumeId) -> bool,
    ) -> Vec<VolumeId> {
        let limits = &self.limits;
        let is_settled = |volume: &VolumeQuota| {
            volume.plan.is_some_and(|plan| {
                volume.is_settled(&limits[plan], plans[plan].guaranteed_rate * NEGLIGIBLE_RATE_SHARE, now)
            })
        };
        let settled = self.volumes.iter().filter(|(id, volume)| !is_kept(**id) && is_settled(volume));
        let settled: Vec<VolumeId> = settled.map(|(id, _)| *id).collect();
        settled.iter().for_each(|id| _ = self.volumes.remove(id));
        settled
    }

    /// Reserves a fraction of each volume's tokens for the promised time from now on, and returns the current
    /// state.
    pub(super) fn snapshot(
        &mut self,
        now: Duration,
        promise_duration: Duration,
    ) -> Vec<(VolumeId, QuotaSnapshot)> {
        let until = now + promise_duration.mul_f64(RESERVATION_MARGIN);
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

    /// Restores an earlier run's rates, decayed by their age, and the tokens that it promised to leave
    /// undrawn.
    pub(super) fn restore(&mut self, id: VolumeId, snapshot: &QuotaSnapshot, age: Duration, now: Duration) {
        let elapsed = age.as_secs_f64();
        let volume = self.volumes.entry(id).or_default();
        volume.rate = snapshot.rate * (-elapsed).exp();
        volume.reported_rate = snapshot.reported_rate * (-elapsed).exp();
        volume.tokens += snapshot.reserved_tokens;
        volume.updated_at = now;
    }
}

//! What of a request's bytes a gateway holds, decided before they are read. No I/O, no clock, no chance of its own.
//!
//! Half of the room is open to whoever comes first. The other half is kept: each volume that is active has a part of it, by
//! reserve and then by weight, so that a flood of one volume cannot take another's. What there is no room for is turned away
//! at once, with a time to come back, and never left waiting.

use std::collections::HashMap;
use std::time::Duration;

/// The part of the room that any volume may fill.
const OPEN: f64 = 0.5;

/// Of the kept part, what goes by reserve; the rest goes by weight.
const BY_RESERVE: f64 = 0.5;

/// A volume that holds nothing counts as active for so long after it last asked.
const ACTIVE: Duration = Duration::from_secs(1);

/// Those told to come back do so over a span of this, against the time told, around it.
const SPREAD: f64 = 0.5;

/// What the plan of a volume gives it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VolumeShare {
    pub weight: f64,
    /// Units a second that are reserved.
    pub reserve: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Granted,
    /// There is no room; it is worth trying again after so long.
    Rejected {
        retry_after: Duration,
    },
}

struct Held {
    bytes: u64,
    claim: VolumeShare,
    asked: Duration,
}

/// The room of one gateway, by volume.
pub struct ByteBudget {
    most: u64,
    /// The longest time that anybody is told to keep away.
    longest: Duration,
    held: u64,
    volumes: HashMap<usize, Held>,
    /// Sums over the active volumes.
    weights: f64,
    reserves: f64,
    /// Bytes a second given back lately.
    rate: f64,
    at: Duration,
    swept: Duration,
}

impl ByteBudget {
    pub fn new(most: u64, longest: Duration) -> ByteBudget {
        let (at, swept) = (Duration::ZERO, Duration::ZERO);
        let (weights, reserves, rate) = (0.0, 0.0, 0.0);
        ByteBudget { most, longest, held: 0, volumes: HashMap::new(), weights, reserves, rate, at, swept }
    }

    pub fn held_bytes(&self) -> u64 {
        self.held
    }

    /// Whether so many bytes of a volume are held from now on. `chance` is drawn evenly from 0 to 1 by the caller.
    pub fn request(
        &mut self,
        now: Duration,
        volume: usize,
        claim: VolumeShare,
        bytes: u64,
        chance: f64,
    ) -> Admission {
        self.advance(now);
        self.know(now, volume, claim);
        let part = self.part(claim);
        let open = self.most as f64 * OPEN;
        let own = self.volumes.get(&volume).map_or(0, |held| held.bytes) + bytes;
        let all = self.held + bytes;
        if all <= self.most && (all as f64 <= open || own as f64 <= part) {
            self.held = all;
            self.volumes.entry(volume).and_modify(|held| held.bytes = own);
            return Admission::Granted;
        }
        // Until there is room for it as things go: below the open part, or below its own.
        let over = (all as f64 - open).min(own as f64 - part).max(all as f64 - self.most as f64);
        let wait = Duration::try_from_secs_f64(over.max(bytes as f64) / self.rate.max(1.0));
        let wait = wait.unwrap_or(self.longest).min(self.longest);
        Admission::Rejected {
            retry_after: wait.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * chance.clamp(0.0, 1.0)),
        }
    }

    /// Bytes that were held are no more.
    pub fn release(&mut self, now: Duration, volume: usize, bytes: u64) {
        self.advance(now);
        self.held = self.held.saturating_sub(bytes);
        // As a rate that fades within a second.
        self.rate += bytes as f64;
        if let Some(held) = self.volumes.get_mut(&volume) {
            held.bytes = held.bytes.saturating_sub(bytes);
        }
    }

    /// Bytes of the kept room that are this claim's. All parts together are at most the kept room, so that with the open
    /// part full to its bound there is still room for each.
    fn part(&self, claim: VolumeShare) -> f64 {
        let kept = self.most as f64 * (1.0 - OPEN);
        let of = |one: f64, all: f64| if all > 0.0 { one / all } else { 0.0 };
        if self.reserves <= 0.0 {
            return kept * of(claim.weight, self.weights);
        }
        kept * (BY_RESERVE * of(claim.reserve, self.reserves)
            + (1.0 - BY_RESERVE) * of(claim.weight, self.weights))
    }

    fn know(&mut self, now: Duration, volume: usize, claim: VolumeShare) {
        let known = self.volumes.entry(volume).or_insert(Held {
            bytes: 0,
            claim: VolumeShare { weight: 0.0, reserve: 0.0 },
            asked: now,
        });
        // A plan may have changed since.
        self.weights += claim.weight - known.claim.weight;
        self.reserves += claim.reserve - known.claim.reserve;
        (known.claim, known.asked) = (claim, now);
    }

    fn advance(&mut self, now: Duration) {
        let past = now.saturating_sub(self.at).as_secs_f64();
        self.rate *= (-past).exp();
        self.at = self.at.max(now);
        if now >= self.swept + ACTIVE {
            self.swept = now;
            self.volumes.retain(|_, held| held.bytes > 0 || held.asked + ACTIVE > now);
            // Summed anew, or what rounding leaves would grow.
            self.weights = self.volumes.values().map(|held| held.claim.weight).sum();
            self.reserves = self.volumes.values().map(|held| held.claim.reserve).sum();
        }
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::{Arbitrary, Gen};

    use super::*;

    const MOST: u64 = 1000;

    fn plain(weight: f64) -> VolumeShare {
        VolumeShare { weight, reserve: 0.0 }
    }

    fn ms(millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    fn room() -> ByteBudget {
        ByteBudget::new(MOST, ms(1000))
    }

    /// Asks until turned away; how many bytes were held.
    fn fill(room: &mut ByteBudget, now: Duration, volume: usize, claim: VolumeShare) -> u64 {
        let mut held = 0;
        while room.request(now, volume, claim, 10, 0.5) == Admission::Granted {
            held += 10;
        }
        held
    }

    #[test]
    fn a_flood_of_one_volume_leaves_the_others_their_room() {
        let mut room = room();
        assert_eq!(room.request(ms(0), 1, plain(1.0), 10, 0.5), Admission::Granted);
        assert_eq!(room.request(ms(0), 2, plain(3.0), 10, 0.5), Admission::Granted);
        let flood = fill(&mut room, ms(1), 0, plain(1.0));
        assert_eq!(flood, 480, "what was open, and more than its fifth of what is kept");
        assert_eq!(
            fill(&mut room, ms(2), 2, plain(3.0)),
            290,
            "three fifths of 500, ten of them held before"
        );
        assert_eq!(fill(&mut room, ms(2), 1, plain(1.0)), 90);
        assert!(room.held_bytes() <= MOST);
        // A volume that was not there has a part at once.
        assert!(fill(&mut room, ms(3), 7, plain(1.0)) >= 80);
    }

    #[test]
    fn half_of_the_room_can_be_one_request() {
        let mut room = room();
        for other in 1..9 {
            assert_eq!(room.request(ms(0), other, plain(1.0), 1, 0.5), Admission::Granted);
            room.release(ms(0), other, 1);
        }
        assert_eq!(room.request(ms(1), 0, plain(1.0), MOST / 2, 0.5), Admission::Granted);
    }

    #[test]
    fn what_is_reserved_has_room_before_what_weighs_more() {
        let mut room = room();
        let reserved = VolumeShare { weight: 1.0, reserve: 100.0 };
        assert_eq!(room.request(ms(0), 1, reserved, 10, 0.5), Admission::Granted);
        fill(&mut room, ms(1), 0, plain(9.0));
        assert_eq!(
            fill(&mut room, ms(2), 1, reserved),
            260,
            "half of 500 and a tenth of the other half, less ten"
        );
    }

    #[test]
    fn those_turned_away_come_back_apart_and_not_before_there_may_be_room() {
        let mut room = room();
        fill(&mut room, ms(0), 0, plain(1.0));
        let away = |room: &mut ByteBudget, chance| match room.request(ms(1000), 0, plain(1.0), 10, chance) {
            Admission::Rejected { retry_after } => retry_after,
            Admission::Granted => panic!("it is full"),
        };
        assert_eq!(away(&mut room, 0.5), ms(1000), "nothing is given back: the longest");
        room.release(ms(1000), 0, 100);
        fill(&mut room, ms(1000), 0, plain(1.0));
        let (least, most) = (away(&mut room, 0.0), away(&mut room, 1.0));
        assert!(
            least < ms(100) && most > least * 2,
            "a hundred bytes a second, ten wanted: {least:?} to {most:?}"
        );
    }

    /// Whatever comes and goes, no more is held than there is room for, and a volume within its part is never turned away
    /// while others are within theirs or within the open part.
    #[test]
    fn no_more_is_held_than_there_is_room_for() {
        for seed in 0..200 {
            let steps: Vec<(u8, u8, u8)> = Arbitrary::arbitrary(&mut Gen::from_size_and_seed(300, seed));
            let (mut room, mut now, mut holds) = (room(), ms(0), Vec::new());
            for (what, volume, size) in steps {
                let (volume, bytes) = (usize::from(volume % 5), u64::from(size) + 1);
                let claim = VolumeShare { weight: 1.0 + volume as f64, reserve: [0.0, 50.0][volume % 2] };
                match what % 4 {
                    0 | 1 => {
                        if room.request(now, volume, claim, bytes, 0.5) == Admission::Granted {
                            holds.push((volume, bytes));
                        }
                    }
                    2 if !holds.is_empty() => {
                        let (volume, bytes) = holds.swap_remove(usize::from(size) % holds.len());
                        room.release(now, volume, bytes);
                    }
                    _ => now += ms(u64::from(size) * 4),
                }
                let held: u64 = holds.iter().map(|(_, bytes)| bytes).sum();
                assert!(held == room.held_bytes() && held <= MOST, "seed {seed}: {held}");
            }
        }
    }
}

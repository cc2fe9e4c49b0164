//! A store's work in time, free of I/O: cores, a queue, a cold start, runs, put-off writes, pauses and scripted faults.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::store::{Attempt, OperationKind};

/// What a store can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Power {
    /// Attempts worked on at once.
    pub cores: u32,
    /// Milliseconds of a core's work in a unit.
    pub unit_ms: f64,
    /// Dispatches that may wait; beyond it they are answered "full".
    pub queue: usize,
    /// Part of its full speed that a cold store starts with.
    pub cold_from: f64,
    /// Seconds until a cold store is warm.
    pub cold_s: f64,
    /// Multiple of its present speed beyond which arrivals crash a cold store.
    pub fall_multiple: f64,
    /// Seconds over which those arrivals are summed.
    pub fall_s: f64,
    /// The part of its work that a dispatch is spared when its extent is among the last few.
    pub run_saves: f64,
    /// How many extents count as the last few.
    pub remembers: usize,
    /// The part of a write's work that is put off and done in one go now and then.
    pub put_off: f64,
    /// Seconds between two such goes.
    pub put_off_s: f64,
}

impl Default for Power {
    fn default() -> Power {
        Power {
            cores: 2,
            unit_ms: 4.0,
            queue: 64,
            cold_from: 0.25,
            cold_s: 4.0,
            fall_multiple: 3.0,
            fall_s: 1.0,
            run_saves: 0.4,
            remembers: 3,
            put_off: 0.3,
            put_off_s: 2.0,
        }
    }
}

impl Power {
    /// Units a second when warm.
    pub fn units_a_second(&self) -> f64 {
        f64::from(self.cores) * 1000.0 / self.unit_ms
    }
}

/// What is wrong with a store at present.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Work takes so many times as long.
    pub slow: f64,
    /// Part of attempts that fail at once, from 0 to 1.
    pub errors: f64,
    /// Part of results that are lost, from 0 to 1.
    pub lost: f64,
    /// All dispatches are answered "full".
    pub full: bool,
    /// Writes are put aside for so long before they queue.
    pub sits: Duration,
    /// Connections are accepted and nothing is answered.
    pub mute: bool,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault { slow: 1.0, errors: 0.0, lost: 0.0, full: false, sits: Duration::ZERO, mute: false }
    }
}

/// An attempt that a store has received.
pub(crate) struct Job {
    /// Connection that it came over.
    pub(crate) link: u64,
    /// Run of the gateway that sent it.
    pub(crate) run: u64,
    /// The attempt.
    pub(crate) dispatch: Attempt,
    /// When it came, since the store began.
    pub(crate) arrived: Duration,
}

/// What the store does with an arrival at once.
pub(crate) enum Met {
    /// It is waiting.
    Queued,
    /// The queue has no room.
    Full(Job),
    /// It was pushed over while cold.
    Fell,
}

struct Working {
    job: Job,
    ends: Duration,
}

/// The state of a store's work at one time.
pub(crate) struct Model {
    power: Power,
    /// Faults at present.
    pub(crate) fault: Fault,
    /// When it started cold; absent: warm from the first.
    cold_since: Option<Duration>,
    queue: VecDeque<Job>,
    aside: Vec<(Duration, Job)>,
    working: Vec<Working>,
    paused_until: Duration,
    /// Milliseconds of work put off, and when it is done next.
    put_off: f64,
    put_off_at: Duration,
    recent: VecDeque<u64>,
    /// Arrivals within the fall's span, in units.
    pressure: VecDeque<(Duration, f64)>,
    /// Units served a volume in all; and, by gateway run and volume, what that was at its last answer.
    served: HashMap<u64, f64>,
    told: HashMap<(u64, u64), f64>,
    latency_ms: f64,
}

impl Model {
    /// A store without work, cold or warm, at the time `now`.
    pub(crate) fn new(power: Power, now: Duration, cold: bool) -> Model {
        Model {
            put_off_at: now + Duration::from_secs_f64(power.put_off_s),
            power,
            fault: Fault::default(),
            cold_since: cold.then_some(now),
            queue: VecDeque::new(),
            aside: Vec::new(),
            working: Vec::new(),
            paused_until: now,
            put_off: 0.0,
            recent: VecDeque::new(),
            pressure: VecDeque::new(),
            served: HashMap::new(),
            told: HashMap::new(),
            latency_ms: 0.0,
        }
    }

    /// The part of its full work that it can do now.
    pub(crate) fn warmth(&self, now: Duration) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let part = now.saturating_sub(since).as_secs_f64() / self.power.cold_s;
        self.power.cold_from + (1.0 - self.power.cold_from) * part.min(1.0)
    }

    /// Takes an arrival in.
    pub(crate) fn arrive(&mut self, now: Duration, job: Job) -> Met {
        let span = Duration::from_secs_f64(self.power.fall_s);
        self.pressure.push_back((now, job.dispatch.units));
        while self.pressure.front().is_some_and(|(at, _)| *at + span < now) {
            self.pressure.pop_front();
        }
        let pressure: f64 = self.pressure.iter().map(|(_, units)| units).sum();
        let warmth = self.warmth(now);
        let bears = self.power.fall_multiple * self.power.units_a_second() * warmth * self.power.fall_s;
        if warmth < 1.0 && pressure > bears {
            return Met::Fell;
        }
        if self.fault.full || self.queue.len() >= self.power.queue {
            return Met::Full(job);
        }
        if job.dispatch.kind.writes() && !self.fault.sits.is_zero() {
            self.aside.push((now + self.fault.sits, job));
        } else {
            self.queue.push_back(job);
        }
        Met::Queued
    }

    /// A job comes to the queue again then.
    pub(crate) fn put_aside(&mut self, until: Duration, job: Job) {
        self.aside.push((until, job));
    }

    /// Nothing is worked on for so long.
    pub(crate) fn pause(&mut self, now: Duration, length: Duration) {
        self.paused_until = self.paused_until.max(now + length);
        self.working.iter_mut().for_each(|working| working.ends += length);
    }

    /// Removes an attempt that is still queued.
    pub(crate) fn cancel(&mut self, run: u64, number: u64) -> Option<Job> {
        let at = self.queue.iter().position(|job| job.run == run && job.dispatch.number == number)?;
        self.queue.remove(at)
    }

    /// When something happens next by itself.
    pub(crate) fn next(&self) -> Option<Duration> {
        let ends = self.working.iter().map(|working| working.ends);
        let aside = self.aside.iter().map(|(at, _)| *at);
        let free = (self.working.len() < self.power.cores as usize && !self.queue.is_empty())
            .then_some(self.paused_until);
        ends.chain(aside).chain(free).min()
    }

    /// Jobs done by now, in the order in which they ended. `drops` tells which are not worth beginning.
    pub(crate) fn advance(&mut self, now: Duration, drops: impl Fn(&Job) -> bool) -> Vec<Job> {
        let mut done = Vec::new();
        loop {
            let aside = self.aside.iter().position(|(at, _)| *at <= now);
            aside.into_iter().for_each(|i| self.queue.push_back(self.aside.swap_remove(i).1));
            let first = self.working.iter().enumerate().min_by_key(|(_, working)| working.ends);
            let ended = first.filter(|(_, working)| working.ends <= now).map(|(i, _)| i);
            let freed = ended.map(|i| self.working.swap_remove(i));
            let from = freed.as_ref().map_or(now, |working| working.ends).max(self.paused_until);
            if let Some(Working { job, .. }) = freed {
                done.push(job);
            } else if self.working.len() >= self.power.cores as usize || self.queue.is_empty() || from > now {
                if aside.is_none() {
                    return done;
                }
                continue;
            }
            while self.working.len() < self.power.cores as usize && from <= now {
                let Some(job) = self.queue.pop_front() else { break };
                if drops(&job) {
                    done.push(job);
                } else {
                    let ends = from + self.work(from, &job);
                    self.working.push(Working { job, ends });
                }
            }
        }
    }

    fn work(&mut self, now: Duration, job: &Job) -> Duration {
        let mut ms = job.dispatch.units * self.power.unit_ms;
        let key = job.dispatch.extent ^ job.dispatch.volume.rotate_left(32);
        if self.recent.contains(&key) {
            ms *= 1.0 - self.power.run_saves;
        }
        self.recent.push_back(key);
        if self.recent.len() > self.power.remembers {
            self.recent.pop_front();
        }
        if job.dispatch.kind == OperationKind::Write && !job.dispatch.durable {
            self.put_off += ms * self.power.put_off;
            ms *= 1.0 - self.power.put_off;
        }
        if now >= self.put_off_at || job.dispatch.kind == OperationKind::Flush {
            ms += std::mem::take(&mut self.put_off);
            self.put_off_at = now + Duration::from_secs_f64(self.power.put_off_s);
        }
        Duration::from_secs_f64(ms / 1000.0 * self.fault.slow / self.warmth(now))
    }

    /// Counts a served job; gives the units served for its volume through other gateways since this one's last answer.
    pub(crate) fn served(&mut self, now: Duration, job: &Job) -> f64 {
        let latency = now.saturating_sub(job.arrived).as_secs_f64() * 1000.0;
        self.latency_ms += 0.2 * (latency - self.latency_ms);
        let total = self.served.entry(job.dispatch.volume).or_default();
        *total += job.dispatch.units;
        let last = self.told.insert((job.run, job.dispatch.volume), *total);
        last.map_or(0.0, |last| (*total - last - job.dispatch.units).max(0.0))
    }

    /// Load as health checks and results report it.
    pub(crate) fn report(&self) -> Vec<(String, f64)> {
        vec![("queue".into(), self.queue.len() as f64), ("latency_ms".into(), self.latency_ms)]
    }
}

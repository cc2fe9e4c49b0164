//! A store's work in time, free of I/O: cores, a queue, a cold start, discounts of recent extents, deferred writes, pauses
//! and scripted faults.

mod settings;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use umbertray_store_protocol::store::{Attempt, OperationKind};

pub use self::settings::{Fault, Power};

/// Weight of the latest latency in the moving average that is reported.
const LATENCY_WEIGHT: f64 = 0.2;

/// An attempt that a store has received.
pub(crate) struct Job {
    /// Connection that it came over.
    pub(crate) connection: u64,
    /// Run of the gateway that sent it.
    pub(crate) run: u64,
    /// The attempt.
    pub(crate) attempt: Attempt,
    /// When it came, since the store began.
    pub(crate) arrived: Duration,
}

/// What becomes of an arrival at once.
pub(crate) enum Admission {
    /// It is waiting.
    Queued,
    /// The queue has no room.
    Full(Job),
    /// More came than a cold store bears.
    Crashed,
}

/// A job that a core works on.
struct Running {
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
    /// Jobs that are queued at a later time.
    deferred: Vec<(Duration, Job)>,
    running: Vec<Running>,
    paused_until: Duration,
    /// Milliseconds of write work that is deferred, and when it is done next.
    deferred_work_ms: f64,
    next_batch: Duration,
    /// Keys of the extents that were worked on last.
    recent_extents: VecDeque<u64>,
    /// Arrivals within the time over which a crash is judged, in units.
    arrivals: VecDeque<(Duration, f64)>,
    /// Units served in all, by volume.
    served_units: HashMap<u64, f64>,
    /// What that was at the last answer, by gateway run and volume.
    reported_units: HashMap<(u64, u64), f64>,
    latency_ms: f64,
}

impl Model {
    /// A store without work, cold or warm, at the time `now`.
    pub(crate) fn new(power: Power, now: Duration, cold: bool) -> Model {
        Model {
            next_batch: now + Duration::from_secs_f64(power.put_off_s),
            power,
            fault: Fault::default(),
            cold_since: cold.then_some(now),
            queue: VecDeque::new(),
            deferred: Vec::new(),
            running: Vec::new(),
            paused_until: now,
            deferred_work_ms: 0.0,
            recent_extents: VecDeque::new(),
            arrivals: VecDeque::new(),
            served_units: HashMap::new(),
            reported_units: HashMap::new(),
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
    pub(crate) fn arrive(&mut self, now: Duration, job: Job) -> Admission {
        let span = Duration::from_secs_f64(self.power.fall_s);
        self.arrivals.push_back((now, job.attempt.units));
        while self.arrivals.front().is_some_and(|(arrived, _)| *arrived + span < now) {
            self.arrivals.pop_front();
        }
        let arrived_units: f64 = self.arrivals.iter().map(|(_, units)| units).sum();
        let warmth = self.warmth(now);
        let capacity = self.power.fall_multiple * self.power.units_a_second() * warmth * self.power.fall_s;
        if warmth < 1.0 && arrived_units > capacity {
            return Admission::Crashed;
        }
        if self.fault.full || self.queue.len() >= self.power.queue {
            return Admission::Full(job);
        }
        if job.attempt.kind.writes() && !self.fault.sits.is_zero() {
            self.deferred.push((now + self.fault.sits, job));
        } else {
            self.queue.push_back(job);
        }
        Admission::Queued
    }

    /// Queues a job again at the time `until`.
    pub(crate) fn defer(&mut self, until: Duration, job: Job) {
        self.deferred.push((until, job));
    }

    /// Stops work for this long.
    pub(crate) fn pause(&mut self, now: Duration, length: Duration) {
        self.paused_until = self.paused_until.max(now + length);
        self.running.iter_mut().for_each(|running| running.ends += length);
    }

    /// Removes an attempt that is still queued.
    pub(crate) fn cancel(&mut self, run: u64, number: u64) -> Option<Job> {
        let index = self.queue.iter().position(|job| job.run == run && job.attempt.number == number)?;
        self.queue.remove(index)
    }

    /// When something happens next by itself.
    pub(crate) fn next(&self) -> Option<Duration> {
        let ends = self.running.iter().map(|running| running.ends);
        let deferred = self.deferred.iter().map(|(at, _)| *at);
        let startable = self.has_startable_job().then_some(self.paused_until);
        ends.chain(deferred).chain(startable).min()
    }

    /// Jobs done by now, in the order in which they ended. `is_dropped` tells which are not worth starting.
    pub(crate) fn advance(&mut self, now: Duration, is_dropped: impl Fn(&Job) -> bool) -> Vec<Job> {
        let mut done = Vec::new();
        loop {
            let due = self.deferred.iter().position(|(at, _)| *at <= now);
            if let Some(index) = due {
                self.queue.push_back(self.deferred.swap_remove(index).1);
            }
            let finished = self.take_finished(now);
            let starts = finished.as_ref().map_or(now, |running| running.ends).max(self.paused_until);
            if let Some(Running { job, .. }) = finished {
                done.push(job);
            } else if !self.has_startable_job() || starts > now {
                if due.is_none() {
                    return done;
                }
                continue;
            }
            while self.has_startable_job() && starts <= now {
                done.extend(self.start_next(starts, &is_dropped));
            }
        }
    }

    /// Whether a core is free and a job waits for it.
    fn has_startable_job(&self) -> bool {
        self.running.len() < self.power.cores as usize && !self.queue.is_empty()
    }

    /// Removes the running job that ended first, if one has ended by now.
    fn take_finished(&mut self, now: Duration) -> Option<Running> {
        let first = self.running.iter().enumerate().min_by_key(|(_, running)| running.ends);
        let index = first.filter(|(_, running)| running.ends <= now).map(|(index, _)| index)?;
        Some(self.running.swap_remove(index))
    }

    /// Starts the job at the head of the queue; a job that is dropped instead comes back.
    fn start_next(&mut self, starts: Duration, is_dropped: impl Fn(&Job) -> bool) -> Option<Job> {
        let job = self.queue.pop_front()?;
        if is_dropped(&job) {
            return Some(job);
        }
        let ends = starts + self.work_time(starts, &job);
        self.running.push(Running { job, ends });
        None
    }

    /// How long a job takes that starts now, with the deferred work that it brings due.
    fn work_time(&mut self, now: Duration, job: &Job) -> Duration {
        let mut ms = job.attempt.units * self.power.unit_ms;
        let key = job.attempt.extent ^ job.attempt.volume.rotate_left(32);
        if self.recent_extents.contains(&key) {
            ms *= 1.0 - self.power.run_saves;
        }
        self.recent_extents.push_back(key);
        if self.recent_extents.len() > self.power.remembers {
            self.recent_extents.pop_front();
        }
        if job.attempt.kind == OperationKind::Write && !job.attempt.durable {
            self.deferred_work_ms += ms * self.power.put_off;
            ms *= 1.0 - self.power.put_off;
        }
        if now >= self.next_batch || job.attempt.kind == OperationKind::Flush {
            ms += std::mem::take(&mut self.deferred_work_ms);
            self.next_batch = now + Duration::from_secs_f64(self.power.put_off_s);
        }
        Duration::from_secs_f64(ms / 1000.0 * self.fault.slow / self.warmth(now))
    }

    /// Counts a served job; gives the units served for its volume through other gateways since this one's last answer.
    pub(crate) fn served(&mut self, now: Duration, job: &Job) -> f64 {
        let latency = now.saturating_sub(job.arrived).as_secs_f64() * 1000.0;
        self.latency_ms += LATENCY_WEIGHT * (latency - self.latency_ms);
        let total = self.served_units.entry(job.attempt.volume).or_default();
        *total += job.attempt.units;
        let last = self.reported_units.insert((job.run, job.attempt.volume), *total);
        last.map_or(0.0, |last| (*total - last - job.attempt.units).max(0.0))
    }

    /// Load as health checks and results report it.
    pub(crate) fn report(&self) -> Vec<(String, f64)> {
        vec![("queue".into(), self.queue.len() as f64), ("latency_ms".into(), self.latency_ms)]
    }
}

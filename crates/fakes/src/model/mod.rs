//! Timing model of a store without I/O: cores, a queue, a cold start, discounts of recent extents, deferred
//! writes, pauses and injected faults.

mod settings;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use umbertray_store_protocol::store::{Attempt, OperationKind};

pub use self::settings::{Fault, StorePerformance};

/// Weight of the latest sample in the exponentially weighted moving average of latency that is reported.
const LATENCY_WEIGHT: f64 = 0.2;

/// An attempt that a store has received.
pub(crate) struct Job {
    /// Connection on which it was received.
    pub(crate) connection: u64,
    /// Run of the gateway that sent it.
    pub(crate) run: u64,
    /// The attempt.
    pub(crate) attempt: Attempt,
    /// When it was received, since the store's start.
    pub(crate) arrived: Duration,
}

/// What the store does with an attempt on its arrival.
pub(crate) enum Admission {
    /// It was queued, or held back by a fault to be queued later.
    Accepted,
    /// It is rejected because the queue is full.
    QueueFull(Job),
    /// The store crashes: more work arrived than a cold store can handle.
    Crashed,
}

/// A job that a core is working on.
struct RunningJob {
    job: Job,
    ends_at: Duration,
}

/// Queues, cores and counters of a store. All times are since the store's start.
pub(crate) struct Model {
    performance: StorePerformance,
    /// Faults that are currently injected.
    pub(crate) fault: Fault,
    /// When it started, if it started cold; `None` if it was warm from the start.
    cold_since: Option<Duration>,
    queue: VecDeque<Job>,
    /// Jobs that enter the queue at a later time.
    deferred: Vec<(Duration, Job)>,
    running: Vec<RunningJob>,
    paused_until: Duration,
    /// Deferred work of writes, in milliseconds.
    deferred_work_ms: f64,
    /// When the deferred work is due; the next job that starts then takes longer by it.
    next_batch_at: Duration,
    /// Keys of the extents that were used most recently, the oldest first.
    recent_extents: VecDeque<u64>,
    /// Units of work that arrived in the last [`StorePerformance::crash_window_seconds`] seconds, each with
    /// its time of arrival.
    arrivals: VecDeque<(Duration, f64)>,
    /// Units of work served since the start, by volume.
    served_units: HashMap<u64, f64>,
    /// The value in `served_units` at the last successful result, by gateway run and volume.
    units_at_last_result: HashMap<(u64, u64), f64>,
    /// Moving average of the latency, in milliseconds.
    latency_ms: f64,
}

impl Model {
    /// An idle store that starts at the time `now`, cold or warm.
    pub(crate) fn new(performance: StorePerformance, now: Duration, cold: bool) -> Model {
        Model {
            next_batch_at: now + Duration::from_secs_f64(performance.deferred_batch_seconds),
            performance,
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
            units_at_last_result: HashMap::new(),
            latency_ms: 0.0,
        }
    }

    /// Current speed as a fraction of the full speed.
    pub(crate) fn warmth(&self, now: Duration) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let progress = now.saturating_sub(since).as_secs_f64() / self.performance.warm_up_seconds;
        self.performance.cold_speed_fraction
            + (1.0 - self.performance.cold_speed_fraction) * progress.min(1.0)
    }

    /// Decides on an attempt that arrives, and queues it if it is accepted.
    pub(crate) fn admit(&mut self, now: Duration, job: Job) -> Admission {
        let window = Duration::from_secs_f64(self.performance.crash_window_seconds);
        self.arrivals.push_back((now, job.attempt.units));
        while self.arrivals.front().is_some_and(|(arrived, _)| *arrived + window < now) {
            self.arrivals.pop_front();
        }
        let arrived_units: f64 = self.arrivals.iter().map(|(_, units)| units).sum();
        let warmth = self.warmth(now);
        let capacity = self.performance.crash_multiple
            * self.performance.units_per_second()
            * warmth
            * self.performance.crash_window_seconds;
        if warmth < 1.0 && arrived_units > capacity {
            return Admission::Crashed;
        }
        if self.fault.rejects_all || self.queue.len() >= self.performance.queue {
            return Admission::QueueFull(job);
        }
        if job.attempt.kind.modifies_extent() && !self.fault.write_delay.is_zero() {
            self.deferred.push((now + self.fault.write_delay, job));
        } else {
            self.queue.push_back(job);
        }
        Admission::Accepted
    }

    /// Queues a job again at the time `until`.
    pub(crate) fn defer(&mut self, until: Duration, job: Job) {
        self.deferred.push((until, job));
    }

    /// Stops all work for the duration `length`; running jobs end later by it.
    pub(crate) fn pause(&mut self, now: Duration, length: Duration) {
        self.paused_until = self.paused_until.max(now + length);
        self.running.iter_mut().for_each(|running| running.ends_at += length);
    }

    /// Removes an attempt from the queue; `None` if it is not queued.
    pub(crate) fn cancel(&mut self, run: u64, number: u64) -> Option<Job> {
        let index = self.queue.iter().position(|job| job.run == run && job.attempt.number == number)?;
        self.queue.remove(index)
    }

    /// When the next job ends, enters the queue or can start; `None` while the store is idle.
    pub(crate) fn next_event_at(&self) -> Option<Duration> {
        let ends = self.running.iter().map(|running| running.ends_at);
        let deferred = self.deferred.iter().map(|(at, _)| *at);
        let startable = self.has_startable_job().then_some(self.paused_until);
        ends.chain(deferred).chain(startable).min()
    }

    /// Advances the model to the time `now`; returns the jobs that have ended, in the order in which they
    /// ended.
    ///
    /// A job for which `is_dropped` holds when it would start ends at once, without work.
    pub(crate) fn advance(&mut self, now: Duration, is_dropped: impl Fn(&Job) -> bool) -> Vec<Job> {
        let mut finished_jobs = Vec::new();
        loop {
            let due = self.deferred.iter().position(|(at, _)| *at <= now);
            if let Some(index) = due {
                self.queue.push_back(self.deferred.swap_remove(index).1);
            }
            let finished = self.pop_finished(now);
            let starts_at = finished.as_ref().map_or(now, |running| running.ends_at).max(self.paused_until);
            if let Some(RunningJob { job, .. }) = finished {
                finished_jobs.push(job);
            } else if !self.has_startable_job() || starts_at > now {
                if due.is_none() {
                    return finished_jobs;
                }
                continue;
            }
            while self.has_startable_job() && starts_at <= now {
                finished_jobs.extend(self.start_next(starts_at, &is_dropped));
            }
        }
    }

    /// Whether a core is free and a job is queued.
    fn has_startable_job(&self) -> bool {
        self.running.len() < self.performance.cores as usize && !self.queue.is_empty()
    }

    /// Removes the running job that ends first, if it has ended by now.
    fn pop_finished(&mut self, now: Duration) -> Option<RunningJob> {
        let first = self.running.iter().enumerate().min_by_key(|(_, running)| running.ends_at);
        let index = first.filter(|(_, running)| running.ends_at <= now).map(|(index, _)| index)?;
        Some(self.running.swap_remove(index))
    }

    /// Starts the job at the head of the queue, or returns it if it is dropped instead.
    fn start_next(&mut self, starts_at: Duration, is_dropped: impl Fn(&Job) -> bool) -> Option<Job> {
        let job = self.queue.pop_front()?;
        if is_dropped(&job) {
            return Some(job);
        }
        let ends_at = starts_at + self.work_time(starts_at, &job);
        self.running.push(RunningJob { job, ends_at });
        None
    }

    /// How long a job that starts now takes, including deferred work that is due.
    fn work_time(&mut self, now: Duration, job: &Job) -> Duration {
        let mut ms = job.attempt.units * self.performance.unit_ms;
        let key = job.attempt.extent ^ job.attempt.volume.rotate_left(32);
        if self.recent_extents.contains(&key) {
            ms *= 1.0 - self.performance.locality_saving;
        }
        self.recent_extents.push_back(key);
        if self.recent_extents.len() > self.performance.recent_extent_count {
            self.recent_extents.pop_front();
        }
        if job.attempt.kind == OperationKind::Write && !job.attempt.durable {
            self.deferred_work_ms += ms * self.performance.deferred_fraction;
            ms *= 1.0 - self.performance.deferred_fraction;
        }
        if now >= self.next_batch_at || job.attempt.kind == OperationKind::Flush {
            ms += std::mem::take(&mut self.deferred_work_ms);
            self.next_batch_at = now + Duration::from_secs_f64(self.performance.deferred_batch_seconds);
        }
        Duration::from_secs_f64(ms / 1000.0 * self.fault.slowdown / self.warmth(now))
    }

    /// Counts a served job. Returns the units of work served for its volume through other gateways since the
    /// last successful result to this gateway.
    pub(crate) fn count_served(&mut self, now: Duration, job: &Job) -> f64 {
        let latency = now.saturating_sub(job.arrived).as_secs_f64() * 1000.0;
        self.latency_ms += LATENCY_WEIGHT * (latency - self.latency_ms);
        let total = self.served_units.entry(job.attempt.volume).or_default();
        *total += job.attempt.units;
        let last = self.units_at_last_result.insert((job.run, job.attempt.volume), *total);
        last.map_or(0.0, |last| (*total - last - job.attempt.units).max(0.0))
    }

    /// The load report in health checks and results.
    pub(crate) fn load_report(&self) -> Vec<(String, f64)> {
        vec![("queue".into(), self.queue.len() as f64), ("latency_ms".into(), self.latency_ms)]
    }
}

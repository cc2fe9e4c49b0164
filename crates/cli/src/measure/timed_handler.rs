//! A wrapper that measures how long a request handler occupies the event loop.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use umbertray_routing::{Input, Output, RequestHandler};

pub(super) struct TimedHandler<H> {
    handler: H,
    busy_nanos: Arc<AtomicU64>,
}

impl<H> TimedHandler<H> {
    /// Adds the time of each call to `busy_nanos`.
    pub(super) fn new(handler: H, busy_nanos: Arc<AtomicU64>) -> TimedHandler<H> {
        TimedHandler { handler, busy_nanos }
    }
}

impl<H: RequestHandler> RequestHandler for TimedHandler<H> {
    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        let started = Instant::now();
        let outputs = self.handler.handle(now, inputs);
        self.busy_nanos.fetch_add(started.elapsed().as_nanos() as u64, Ordering::Relaxed);
        outputs
    }

    fn open_requests(&self) -> usize {
        self.handler.open_requests()
    }
}

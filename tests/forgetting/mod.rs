//! Volumes that owe nothing can be forgotten, and no others.

use std::collections::BTreeSet;
use std::time::Duration;

use umbertray::interface::*;
use umbertray::scheduler::Scheduler;

use crate::fleet::{LIMIT_BURST, LIMIT_RATE, endpoint, ms, op, settings};

const START: Duration = Duration::from_secs(1000);
/// Long after the last op, as far as rates and buckets are concerned.
const LONG: Duration = Duration::from_secs(30);

const OTHER_VOLUME: u32 = 99;

/// A scheduler with one store, and the time.
struct Host {
    scheduler: Scheduler,
    now: Duration,
    next_op: u32,
}

impl Host {
    fn new() -> Host {
        let mut host = Host { scheduler: Scheduler::default(), now: START, next_op: 0 };
        let list = vec![endpoint(0, 0, None, StoreState::Ready)];
        host.handle(vec![
            Event::Start { seed: 1, settings: settings() },
            Event::EndpointList(EndpointListUpdate::Complete(list)),
        ]);
        host
    }

    fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.scheduler.handle(self.now, events)
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.handle(vec![Event::Timer { token: 0 }]);
    }

    /// Submits an op of a volume with a limit. Returns whether it was sent.
    fn submit(&mut self, volume: u32) -> (OpId, bool) {
        let mut op = op(self.next_op, volume, 0);
        op.plan = 1;
        self.next_op += 1;
        let id = op.id;
        let actions = self.handle(vec![Event::OpArrived(op)]);
        let is_sent = |action: &Action| matches!(action, Action::StartAttempt { op, .. } if *op == id);
        (id, actions.iter().any(is_sent))
    }

    fn finish(&mut self, op: OpId) {
        let result = AttemptResult {
            op,
            attempt: 0,
            store: StoreId(0),
            outcome: Outcome::Succeeded,
            latency: ms(1),
            op_ended: true,
            plan_rate_used: None,
            units_elsewhere: 0.0,
            report: LoadReport::new(),
        };
        self.handle(vec![Event::AttemptFinished(result)]);
    }

    /// Submits ops of a volume until one is not sent, as its limit is used up. Returns the number sent.
    fn use_up_limit(&mut self, volume: u32) -> usize {
        for sent in 0..100 {
            match self.submit(volume) {
                (op, true) => self.finish(op),
                (op, false) => {
                    self.handle(vec![Event::ClientDisconnected { op }]);
                    return sent;
                }
            }
        }
        panic!("the limit never ends");
    }

    /// Serves another volume, which holds the store's quantum and has been served most from then on.
    fn serve_other_volume(&mut self) {
        let (op, is_sent) = self.submit(OTHER_VOLUME);
        assert!(is_sent);
        self.finish(op);
    }

    fn forget(&mut self) -> Vec<VolumeId> {
        self.scheduler.forget_idle_volumes(self.now, &BTreeSet::new())
    }
}

/// Rule 7: a volume that was forgotten with an empty bucket would start with a full one.
#[test]
fn volume_with_used_limit_is_kept_until_its_bucket_is_full() {
    let mut host = Host::new();
    host.advance(LONG);
    let burst = LIMIT_BURST / 2.0;
    assert_eq!(host.use_up_limit(1) as f64, burst);
    host.advance(ms(100));
    assert_eq!(host.forget(), []);
    assert!(host.use_up_limit(1) as f64 <= 0.2 * LIMIT_RATE / 2.0);
    host.advance(LONG);
    host.serve_other_volume();
    assert_eq!(host.forget(), [VolumeId(1)]);
    assert_eq!(host.use_up_limit(1) as f64, burst, "as full as if it had been kept");
}

#[test]
fn volume_with_op_in_flight_or_asked_for_is_kept() {
    let mut host = Host::new();
    host.advance(LONG);
    let (other, _) = host.submit(2);
    host.finish(other);
    let (op, is_sent) = host.submit(1);
    assert!(is_sent);
    host.now += LONG;
    assert!(!host.forget().contains(&VolumeId(1)));
    host.finish(op);
    host.now += LONG;
    host.serve_other_volume();
    let kept = BTreeSet::from([VolumeId(1)]);
    assert!(!host.scheduler.forget_idle_volumes(host.now, &kept).contains(&VolumeId(1)));
    assert!(host.forget().contains(&VolumeId(1)));
}

/// A volume that was served more than one that waits is not forgotten: it would be served first again.
#[test]
fn volume_served_more_than_active_one_is_kept() {
    let mut host = Host::new();
    host.advance(LONG);
    let (op, _) = host.submit(1);
    assert!(host.use_up_limit(2) > 0);
    host.now += LONG;
    assert!(!host.forget().contains(&VolumeId(2)));
    host.finish(op);
    host.now += LONG;
    host.serve_other_volume();
    assert!(host.forget().contains(&VolumeId(2)));
}

/// Guards against memory that grows with the names that clients have ever sent.
#[test]
fn any_number_of_volumes_leaves_few_behind() {
    let mut host = Host::new();
    host.advance(LONG);
    for volume in 0..5000 {
        let (op, _) = host.submit(volume);
        host.finish(op);
        host.advance(ms(10));
        if volume % 100 == 0 {
            host.forget();
        }
    }
    assert!(host.scheduler.volume_queue_count() < 1000, "{}", host.scheduler.volume_queue_count());
    host.advance(LONG);
    host.forget();
    assert!(host.scheduler.volume_queue_count() <= 1, "{}", host.scheduler.volume_queue_count());
}

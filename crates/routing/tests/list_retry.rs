//! How soon a core subscribes again to the endpoint list after a failure, with the real scheduler in virtual
//! time.

mod common;

use std::sync::Arc;
use std::time::Duration;

use umbertray_lifecycle::limits::CHANGE_NOTIFIED_WITHIN;
use umbertray_lifecycle::list_retry;
use umbertray_routing::{Core, Input, Output, RequestHandler, Settings};
use umbertray_store_protocol::list::ToList;

use common::{ms, settings};

/// Number of failures in a row; the waits no longer grow by then.
const FAILURES: usize = 8;
const SEEDS: u64 = 20;
/// Most attempts in a second while connections are refused: each takes no time, and the first waits are the
/// shortest.
const MAX_ATTEMPTS_A_SECOND: usize = 16;

/// A core, and the time of its timer.
struct Gateway {
    core: Core,
    now: Duration,
    timer_at: Duration,
}

impl Gateway {
    fn start(settings: Settings, seed: u64) -> Gateway {
        let now = Duration::from_secs(1000);
        let mut gateway =
            Gateway { core: Core::new(Arc::new(settings), seed, now), now, timer_at: Duration::MAX };
        assert!(gateway.subscribes(Vec::new()), "the core subscribes at the start");
        gateway
    }

    /// Handles inputs. Returns whether the core subscribes to the list.
    fn subscribes(&mut self, inputs: Vec<Input>) -> bool {
        let mut subscribes = false;
        for output in self.core.handle(self.now, inputs) {
            match output {
                Output::SetTimer(at) => self.timer_at = at,
                Output::ToList(ToList::Watch) => subscribes = true,
                _ => {}
            }
        }
        subscribes
    }

    /// The time from a failure until the core subscribes again.
    fn wait_after_failure(&mut self) -> Duration {
        let failed_at = self.now;
        let mut subscribes = self.subscribes(vec![Input::ListDisconnected]);
        while !subscribes {
            self.now = self.timer_at.max(self.now);
            subscribes = self.subscribes(vec![Input::TimerExpired]);
        }
        self.now - failed_at
    }
}

fn all_settings() -> impl Iterator<Item = Settings> {
    [10, 1_000, 10_000, 60_000, 3_600_000].into_iter().flat_map(|ask_within| {
        [1, 250, 600_000].into_iter().map(move |connect_timeout| {
            let mut settings = settings();
            settings.rules.poll_retry_interval = ms(ask_within);
            settings.connect_timeout = ms(connect_timeout);
            settings
        })
    })
}

/// Guards against a wait that is a ratio of `ask_within` alone: after an outage of the list service, draining
/// stores were used until the scheduler subscribed again, up to `ask_within` later.
#[test]
fn two_lost_attempts_after_outage_leave_third_in_time() {
    for settings in all_settings() {
        let connect_timeout = list_retry::connect_timeout(settings.connect_timeout);
        for seed in 1..=SEEDS {
            let mut gateway = Gateway::start(settings.clone(), seed);
            for failure in 0..FAILURES {
                let lost = connect_timeout + gateway.wait_after_failure();
                let ask_within = settings.rules.poll_retry_interval;
                assert!(
                    2 * lost < CHANGE_NOTIFIED_WITHIN,
                    "ask_within {ask_within:?}, seed {seed}, failure {failure}: {lost:?}"
                );
            }
        }
    }
}

#[test]
fn refused_subscriptions_do_not_spin() {
    for settings in all_settings() {
        for seed in 1..=SEEDS {
            let mut gateway = Gateway::start(settings.clone(), seed);
            let started = gateway.now;
            let mut attempts = 0;
            while gateway.now < started + Duration::from_secs(1) {
                gateway.wait_after_failure();
                attempts += 1;
            }
            assert!(attempts <= MAX_ATTEMPTS_A_SECOND, "{attempts} attempts, seed {seed}");
        }
    }
}

//! Tests of the watch against a scripted discovery, in memory and in paused time.

mod failing_discovery;
mod outages;
pub(crate) mod scripted_discovery;

use std::collections::VecDeque;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};
use umbertray_http_api::Input;
use umbertray_lifecycle::limits::{CHANGE_NOTIFIED_AFTER_MOVE, CHANGE_NOTIFIED_WITHIN};

use self::scripted_discovery::{Behavior, MINUTE, NEXT_ADDRESS, TRICKLE_INTERVAL, TestWatch};
use crate::backoff::{self, Delivery, last_attempt_begins_within};

/// Checks that version 2 is received as soon as the attempt with the last of `behaviors` starts, and before
/// this version counts as notified.
async fn assert_updates_in_time(behaviors: &[Behavior]) {
    for delivery in [Delivery::Pushed, Delivery::Polled] {
        let test_watch = TestWatch::new(delivery, behaviors);
        test_watch.wait_for_list(2).await;
        let elapsed = test_watch.silent_since.get().expect("a watch that fell silent").elapsed();
        // The silence of a slow line counts from its first byte.
        let bound = last_attempt_begins_within(behaviors.len() as u32 - 1, delivery) + TRICKLE_INTERVAL;
        assert!(
            elapsed < CHANGE_NOTIFIED_WITHIN && elapsed <= bound,
            "{delivery:?} {behaviors:?}: {elapsed:?}, at most {bound:?}"
        );
        assert_eq!(test_watch.connect_count(), behaviors.len());
    }
}

async fn in_paused_time(test: impl Future<Output = ()>) {
    tokio::time::pause();
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn watch_silent_once_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[Behavior::ListThenSilent(1), Behavior::ListThenHeartbeats(2)]))
        .await;
}

#[tokio::test]
async fn watch_silent_three_times_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[
        Behavior::ListThenSilent(1),
        Behavior::NoResponse,
        Behavior::NoResponse,
        Behavior::ListThenHeartbeats(2),
    ]))
    .await;
}

#[tokio::test]
async fn hanging_connect_then_silent_watch_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[
        Behavior::ListThenSilent(1),
        Behavior::ConnectStalled,
        Behavior::NoResponse,
        Behavior::ListThenHeartbeats(2),
    ]))
    .await;
}

#[tokio::test]
async fn trickling_list_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[
        Behavior::ListThenSilent(1),
        Behavior::Trickle,
        Behavior::Trickle,
        Behavior::ListThenHeartbeats(2),
    ]))
    .await;
}

#[tokio::test]
async fn trickling_line_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[
        Behavior::ListThenEndlessLine(1),
        Behavior::ConnectStalled,
        Behavior::Trickle,
        Behavior::ListThenHeartbeats(2),
    ]))
    .await;
}

#[tokio::test]
async fn older_list_after_silence_is_rejected() {
    in_paused_time(assert_updates_in_time(&[
        Behavior::ListThenSilent(1),
        Behavior::ListThenSilent(0),
        Behavior::ListThenHeartbeats(2),
    ]))
    .await;
}

/// After a restart, discovery counts versions from the beginning. The older version is rejected on a watch,
/// but accepted as a complete list.
#[tokio::test]
async fn restarted_versions_with_complete_list_are_accepted() {
    in_paused_time(async {
        let test_watch =
            TestWatch::new(Delivery::Pushed, &[Behavior::ListThenSilent(5), Behavior::ListThenHeartbeats(3)]);
        test_watch.wait_for_list(3).await;
        let elapsed = test_watch.silent_since.get().expect("a watch that fell silent").elapsed();
        assert!(elapsed < CHANGE_NOTIFIED_WITHIN, "{elapsed:?}");
        assert_eq!(test_watch.connect_count(), 3);
    })
    .await;
}

/// A complete list resets the failure count, so a silent watch after it is not given the long timeout of an
/// outage.
#[tokio::test]
async fn watch_silent_after_complete_list_is_abandoned_soon() {
    in_paused_time(async {
        let mut behaviors = vec![Behavior::ConnectStalled; 8];
        behaviors.extend([Behavior::WatchSilent(1), Behavior::ListThenHeartbeats(2)]);
        let test_watch = TestWatch::new(Delivery::Pushed, &behaviors);
        test_watch.wait_for_list(1).await;
        let listed_at = Instant::now();
        test_watch.wait_for_list(2).await;
        let (elapsed, bound) = (
            listed_at.elapsed(),
            last_attempt_begins_within(2, Delivery::Pushed) - backoff::watch_idle_timeout(),
        );
        assert!(elapsed <= bound, "{elapsed:?}, at most {bound:?}");
    })
    .await;
}

#[tokio::test]
async fn first_list_trickling_is_accepted() {
    in_paused_time(async {
        let test_watch = TestWatch::new(
            Delivery::Pushed,
            &[Behavior::Trickle, Behavior::Trickle, Behavior::ListThenHeartbeats(2)],
        );
        let started_at = Instant::now();
        test_watch.wait_for_list(2).await;
        assert!(started_at.elapsed() < CHANGE_NOTIFIED_WITHIN, "{:?}", started_at.elapsed());
    })
    .await;
}

#[tokio::test]
async fn large_list_on_slow_path_is_accepted() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::Slow(20_000)]);
        test_watch.wait_for_list(1).await;
        assert!(test_watch.connect_count() > 1, "the list must need more than the first timeout");
    })
    .await;
}

#[tokio::test]
async fn large_list_on_slow_path_beside_other_attempts_is_accepted() {
    in_paused_time(async {
        let test_watch =
            TestWatch::new(Delivery::Pushed, &[Behavior::Slow(20_000), Behavior::ConnectStalled]);
        test_watch.wait_for_list(1).await;
        assert!(test_watch.connect_count() > 1);
    })
    .await;
}

/// Maximum number of connections while a list takes some seconds to arrive.
const MAX_SLOW_LIST_CONNECTS: usize = 8;

/// A slow list continues on its connection alongside further queries, which are all in vain.
#[tokio::test]
async fn slow_polled_list_beside_other_attempts_is_accepted() {
    in_paused_time(async {
        let test_watch =
            TestWatch::new(Delivery::Polled, &[Behavior::Slow(20_000), Behavior::ConnectStalled]);
        test_watch.wait_for_list(1).await;
        sleep(MINUTE).await;
        let connects = test_watch.connect_count();
        assert!((2..=MAX_SLOW_LIST_CONNECTS).contains(&connects), "{connects}");
        sleep(MINUTE).await;
        assert_eq!(test_watch.connect_count(), connects, "the watch stays on the slow connection");
    })
    .await;
}

#[tokio::test]
async fn slow_list_after_address_change_is_ignored() {
    in_paused_time(async {
        let test_watch =
            TestWatch::new(Delivery::Pushed, &[Behavior::Slow(20_000), Behavior::ConnectStalled]);
        test_watch.wait_for_connects(2).await;
        test_watch.move_to_next_address(&[Behavior::ConnectStalled]);
        let old_list = test_watch
            .event_loop
            .posted(|input| matches!(input, Input::EndpointList(list) if list.version == 1));
        assert!(timeout(MINUTE, old_list).await.is_err());
    })
    .await;
}

/// Both the first list and the first object of its watch arrive slowly.
#[tokio::test]
async fn watch_on_slow_path_stays_open() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::Slow(20_000)]);
        sleep(MINUTE).await;
        let connects = test_watch.connect_count();
        sleep(MINUTE).await;
        assert_eq!(test_watch.connect_count(), connects);
    })
    .await;
}

/// A heartbeat is not a list, but there may be no changes to send.
#[tokio::test]
async fn watch_without_changes_stays_open() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::HeartbeatsOnly]);
        sleep(MINUTE).await;
        let connects = test_watch.connect_count();
        sleep(MINUTE).await;
        assert_eq!(test_watch.connect_count(), connects);
        assert!(connects <= 3, "{connects}");
    })
    .await;
}

#[tokio::test]
async fn watch_with_heartbeats_stays_open() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Polled, &[Behavior::ListThenHeartbeats(1)]);
        sleep(10 * MINUTE).await;
        assert_eq!(test_watch.connect_count(), 1);
    })
    .await;
}

/// Behaviors of a connection that deliver no list.
const FAILING_BEHAVIORS: [Behavior; 10] = [
    Behavior::ConnectStalled,
    Behavior::LateNoResponse,
    Behavior::LateInvalidList,
    Behavior::NoResponse,
    Behavior::HeadOnly,
    Behavior::Trickle,
    Behavior::ConnectRefused,
    Behavior::ClosedAtOnce,
    Behavior::Truncated,
    Behavior::InvalidList,
];

/// After a long outage, discovery returns just after an attempt has started. That attempt and the next one
/// are lost.
#[tokio::test]
async fn two_lost_attempts_after_outage_leave_third_in_time() {
    in_paused_time(async {
        let pairs =
            FAILING_BEHAVIORS.iter().flat_map(|first| FAILING_BEHAVIORS.map(|second| (*first, second)));
        let cases =
            pairs.flat_map(|pair| [Delivery::Pushed, Delivery::Polled].map(|delivery| (pair, delivery)));
        for ((first, second), delivery) in cases {
            let mut behaviors = vec![Behavior::ListThenSilent(1)];
            behaviors.extend([Behavior::ConnectStalled; 8]);
            let first_after_outage = behaviors.len();
            behaviors.extend([first, second, Behavior::ListThenHeartbeats(2)]);
            let test_watch = TestWatch::new(delivery, &behaviors);
            test_watch.wait_for_list(2).await;
            let elapsed = test_watch.connects.borrow()[first_after_outage].1.elapsed();
            assert!(elapsed < CHANGE_NOTIFIED_WITHIN, "{delivery:?}: {first:?}, {second:?}: {elapsed:?}");
        }
    })
    .await;
}

/// The shortest drain grace of any known deployment.
const SHORT_GRACE: Duration = Duration::from_millis(250);

/// What the agent has at its return counts as notified immediately, so the query must follow within the
/// grace.
#[tokio::test]
async fn agent_back_after_long_refusal_is_queried_within_short_grace() {
    in_paused_time(async {
        for outage in [Behavior::ConnectRefused, Behavior::ClosedAtOnce, Behavior::Truncated] {
            let test_watch = TestWatch::new(Delivery::Pushed, &[outage]);
            test_watch.wait_for_connects(20).await;
            let returned_at = Instant::now();
            *test_watch.behaviors.borrow_mut() = VecDeque::from([Behavior::ListThenHeartbeats(2)]);
            test_watch.wait_for_list(2).await;
            let elapsed = returned_at.elapsed();
            assert!(elapsed < SHORT_GRACE, "after {outage:?}: {elapsed:?}");
        }
    })
    .await;
}

/// Unreadable lists take time to parse, and polled lists have a cost.
#[tokio::test]
async fn unreadable_lists_and_polling_do_not_spin() {
    in_paused_time(async {
        let invalid =
            [Behavior::InvalidList, Behavior::WatchInvalid(1)].map(|behavior| (Delivery::Pushed, behavior));
        let invalid_or_refused = [
            Behavior::ConnectRefused,
            Behavior::ClosedAtOnce,
            Behavior::InvalidList,
            Behavior::WatchInvalid(1),
        ];
        let polled = invalid_or_refused.map(|behavior| (Delivery::Polled, behavior));
        for (delivery, behavior) in invalid.into_iter().chain(polled) {
            let test_watch = TestWatch::new(delivery, &[behavior]);
            sleep(MINUTE).await;
            assert!(
                test_watch.connect_count() < 2 * 60 + 10,
                "{delivery:?} {behavior:?}: {}",
                test_watch.connect_count()
            );
        }
    })
    .await;
}

/// Failures at the old address say nothing about the new one: two attempts there may time out, as after a
/// silence.
#[tokio::test]
async fn address_change_after_outage_resets_backoff() {
    in_paused_time(async {
        // During an attempt, or during the backoff after it.
        for outage in [Behavior::ConnectStalled, Behavior::ConnectRefused] {
            for delivery in [Delivery::Pushed, Delivery::Polled] {
                let test_watch = TestWatch::new(delivery, &[outage]);
                test_watch.wait_for_connects(9).await;
                let moved_at = Instant::now();
                test_watch.move_to_next_address(&[
                    Behavior::ConnectStalled,
                    Behavior::NoResponse,
                    Behavior::ListThenHeartbeats(2),
                ]);
                test_watch.wait_for_list(2).await;
                let elapsed = moved_at.elapsed();
                assert!(elapsed < CHANGE_NOTIFIED_AFTER_MOVE, "{delivery:?} after {outage:?}: {elapsed:?}");
                assert_eq!(test_watch.connects.borrow()[9].0, NEXT_ADDRESS.parse().expect("an address"));
            }
        }
    })
    .await;
}

/// The latest changes of the old address may arrive only from the new one. They must not be treated as newly
/// notified.
#[tokio::test]
async fn moved_watch_is_reported_broken() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::ListThenHeartbeats(1)]);
        test_watch.wait_for_list(1).await;
        test_watch.move_to_next_address(&[Behavior::ListThenHeartbeats(2)]);
        let broken = test_watch.event_loop.posted(|input| matches!(input, Input::EndpointListFailed));
        timeout(MINUTE, broken).await.expect("the core is notified");
    })
    .await;
}

/// The backoff and a stalled attempt end when the address changes.
#[tokio::test]
async fn changed_address_while_waiting_is_queried() {
    in_paused_time(async {
        // During an attempt, or during the backoff after it.
        for outage in [Behavior::ConnectStalled, Behavior::ConnectRefused] {
            let test_watch = TestWatch::new(Delivery::Polled, &[outage]);
            test_watch.wait_for_connects(9).await;
            sleep(TRICKLE_INTERVAL).await;
            assert_eq!(test_watch.connect_count(), 9, "the watch waits");
            let moved_at = Instant::now();
            test_watch.move_to_next_address(&[Behavior::ListThenHeartbeats(2)]);
            test_watch.wait_for_list(2).await;
            assert!(moved_at.elapsed() <= TRICKLE_INTERVAL, "after {outage:?}: {:?}", moved_at.elapsed());
        }
    })
    .await;
}

/// A watch that was open for a long time resets the failure count, even if it ends because a fetch was
/// requested.
#[tokio::test]
async fn list_fetched_on_request_resets_backoff() {
    in_paused_time(async {
        let mut behaviors = vec![Behavior::ConnectStalled; 8];
        behaviors.extend([
            Behavior::ListThenHeartbeats(1),
            Behavior::ConnectStalled,
            Behavior::NoResponse,
            Behavior::ListThenHeartbeats(2),
        ]);
        let test_watch = TestWatch::new(Delivery::Pushed, &behaviors);
        test_watch.wait_for_list(1).await;
        let requested_at = Instant::now();
        test_watch.event_loop.fetch_requested.notify_one();
        test_watch.wait_for_list(2).await;
        let (elapsed, bound) = (
            requested_at.elapsed(),
            last_attempt_begins_within(3, Delivery::Pushed) - backoff::watch_idle_timeout(),
        );
        assert!(elapsed <= bound, "{elapsed:?}, at most {bound:?}");
    })
    .await;
}

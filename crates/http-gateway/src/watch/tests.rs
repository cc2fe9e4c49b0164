//! Against a scripted discovery, in memory and in paused time.

mod scripted_discovery;

use std::collections::VecDeque;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};
use umbertray_http_api::Input;

use self::scripted_discovery::{Behavior, Delivery, MINUTE, NEXT_ADDRESS, TRICKLE_INTERVAL, TestWatch};
use crate::backoff::{self, last_attempt_begins_within};

/// Changes must be known this long after a watch fell silent.
const MAX_STALENESS: Duration = Duration::from_secs(6);
/// The same after discovery has moved to another address.
const MAX_STALENESS_AFTER_MOVE: Duration = Duration::from_secs(4);

/// Version 2 is told as soon as the last of so many attempts begins, and in the time after which it counts as told.
async fn assert_updates_in_time(behaviors: &[Behavior]) {
    for delivery in [Delivery::Pushed, Delivery::Polled] {
        let test_watch = TestWatch::new(delivery, behaviors);
        test_watch.wait_for_list(2).await;
        let took = test_watch.silent_since.get().expect("a watch that fell silent").elapsed();
        // The silence of a line that trickles counts from its first byte.
        let bound = last_attempt_begins_within(behaviors.len() as u32 - 1) + TRICKLE_INTERVAL;
        assert!(
            took < MAX_STALENESS && took <= bound,
            "{delivery:?} {behaviors:?}: {took:?}, at most {bound:?}"
        );
        assert_eq!(test_watch.dial_count(), behaviors.len());
    }
}

async fn in_paused_time(test: impl Future<Output = ()>) {
    tokio::time::pause();
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn watch_silent_once_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[Behavior::Once(1), Behavior::Alive(2)])).await;
}

#[tokio::test]
async fn watch_silent_three_times_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[
        Behavior::Once(1),
        Behavior::Silent,
        Behavior::Silent,
        Behavior::Alive(2),
    ]))
    .await;
}

#[tokio::test]
async fn hanging_connect_then_silent_watch_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[
        Behavior::Once(1),
        Behavior::Hang,
        Behavior::Silent,
        Behavior::Alive(2),
    ]))
    .await;
}

#[tokio::test]
async fn trickling_list_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[
        Behavior::Once(1),
        Behavior::Trickle,
        Behavior::Trickle,
        Behavior::Alive(2),
    ]))
    .await;
}

#[tokio::test]
async fn trickling_line_tells_changes_in_time() {
    in_paused_time(assert_updates_in_time(&[
        Behavior::Unending(1),
        Behavior::Hang,
        Behavior::Trickle,
        Behavior::Alive(2),
    ]))
    .await;
}

#[tokio::test]
async fn older_list_after_silence_is_rejected() {
    in_paused_time(assert_updates_in_time(&[Behavior::Once(1), Behavior::Once(0), Behavior::Alive(2)])).await;
}

/// Discovery has started anew, and counts from its beginning: what a watch tells is refused, the whole list is not.
#[tokio::test]
async fn restarted_versions_with_whole_list_are_accepted() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::Once(5), Behavior::Alive(3)]);
        test_watch.wait_for_list(3).await;
        let took = test_watch.silent_since.get().expect("a watch that fell silent").elapsed();
        assert!(took < MAX_STALENESS, "{took:?}");
        assert_eq!(test_watch.dial_count(), 3);
    })
    .await;
}

/// A whole list ends the row, so its watch is not waited for as an outage is.
#[tokio::test]
async fn watch_silent_after_whole_list_is_abandoned_soon() {
    in_paused_time(async {
        let mut behaviors = vec![Behavior::Hang; 8];
        behaviors.extend([Behavior::Unopened(1), Behavior::Alive(2)]);
        let test_watch = TestWatch::new(Delivery::Pushed, &behaviors);
        test_watch.wait_for_list(1).await;
        let listed = Instant::now();
        test_watch.wait_for_list(2).await;
        let (took, bound) = (listed.elapsed(), last_attempt_begins_within(2) - backoff::watch_idle_timeout());
        assert!(took <= bound, "{took:?}, at most {bound:?}");
    })
    .await;
}

#[tokio::test]
async fn first_list_trickling_is_accepted() {
    in_paused_time(async {
        let test_watch =
            TestWatch::new(Delivery::Pushed, &[Behavior::Trickle, Behavior::Trickle, Behavior::Alive(2)]);
        let begun = Instant::now();
        test_watch.wait_for_list(2).await;
        assert!(begun.elapsed() < MAX_STALENESS, "{:?}", begun.elapsed());
    })
    .await;
}

#[tokio::test]
async fn large_list_on_slow_path_is_accepted() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::Slow(20_000)]);
        test_watch.wait_for_list(1).await;
        assert!(test_watch.dial_count() > 1, "slow enough to need more than the first patience");
    })
    .await;
}

#[tokio::test]
async fn large_list_on_slow_path_beside_other_attempts_is_accepted() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::Slow(20_000), Behavior::Hang]);
        test_watch.wait_for_list(1).await;
        assert!(test_watch.dial_count() > 1);
    })
    .await;
}

/// Where the module lets time pass too: it is the only call.
#[tokio::test]
async fn slow_list_while_scheduler_waits_continues() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::PolledOnce, &[Behavior::Slow(20_000)]);
        test_watch.wait_for_list(1).await;
        assert_eq!(test_watch.dial_count(), 1);
    })
    .await;
}

#[tokio::test]
async fn slow_list_after_address_change_is_ignored() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::Slow(20_000), Behavior::Hang]);
        test_watch.wait_for_dials(2).await;
        test_watch.move_to_next_address(&[Behavior::Hang]);
        let former = test_watch
            .event_loop
            .posted(|input| matches!(input, Input::EndpointList(list) if list.version == 1));
        assert!(timeout(MINUTE, former).await.is_err());
    })
    .await;
}

/// The first list, and the first object of its watch too.
#[tokio::test]
async fn watch_on_slow_path_stays_open() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::Slow(20_000)]);
        sleep(MINUTE).await;
        let dialed = test_watch.dial_count();
        sleep(MINUTE).await;
        assert_eq!(test_watch.dial_count(), dialed);
    })
    .await;
}

/// A sign of life is no list, but it may be all that there is to say.
#[tokio::test]
async fn watch_without_changes_stays_open() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::Unchanged]);
        sleep(MINUTE).await;
        let dialed = test_watch.dial_count();
        sleep(MINUTE).await;
        assert_eq!(test_watch.dial_count(), dialed);
        assert!(dialed <= 3, "{dialed}");
    })
    .await;
}

#[tokio::test]
async fn watch_with_heartbeats_stays_open() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Polled, &[Behavior::Alive(1)]);
        sleep(10 * MINUTE).await;
        assert_eq!(test_watch.dial_count(), 1);
    })
    .await;
}

/// What a watch may meet that tells nothing.
const OF_NO_USE: [Behavior; 10] = [
    Behavior::Hang,
    Behavior::Late,
    Behavior::LateUnreadable,
    Behavior::Silent,
    Behavior::Head,
    Behavior::Trickle,
    Behavior::Refused,
    Behavior::Ended,
    Behavior::Cut,
    Behavior::Unreadable,
];

/// After a long outage, discovery is back in the moment in which an attempt has begun that is lost, and so is the next one.
#[tokio::test]
async fn two_lost_attempts_after_outage_leave_third_in_time() {
    in_paused_time(async {
        for (first, second) in OF_NO_USE.iter().flat_map(|first| OF_NO_USE.map(|second| (*first, second))) {
            let mut behaviors = vec![Behavior::Once(1)];
            behaviors.extend([Behavior::Hang; 8]);
            let back = behaviors.len();
            behaviors.extend([first, second, Behavior::Alive(2)]);
            let test_watch = TestWatch::new(Delivery::Pushed, &behaviors);
            test_watch.wait_for_list(2).await;
            let took = test_watch.dials.borrow()[back].1.elapsed();
            assert!(took < MAX_STALENESS, "{first:?}, {second:?}: {took:?}");
        }
    })
    .await;
}

/// The shortest grace of a drain that a deployment is known to have.
const SHORT_GRACE: Duration = Duration::from_millis(250);

/// What is had at the return counts at once.
#[tokio::test]
async fn agent_back_after_long_refusal_is_queried_within_short_grace() {
    in_paused_time(async {
        for outage in [Behavior::Refused, Behavior::Ended, Behavior::Cut] {
            let test_watch = TestWatch::new(Delivery::Pushed, &[outage]);
            test_watch.wait_for_dials(20).await;
            let back = Instant::now();
            *test_watch.behaviors.borrow_mut() = VecDeque::from([Behavior::Alive(2)]);
            test_watch.wait_for_list(2).await;
            let took = back.elapsed();
            assert!(took < SHORT_GRACE, "after {outage:?}: {took:?}");
        }
    })
    .await;
}

/// What cannot be read costs time to read, and lists that are asked for are priced.
#[tokio::test]
async fn unreadable_lists_and_polling_do_not_spin() {
    in_paused_time(async {
        let garbage =
            [Behavior::Unreadable, Behavior::Unwatched(1)].map(|behavior| (Delivery::Pushed, behavior));
        let asked = [Behavior::Refused, Behavior::Ended].map(|behavior| (Delivery::Polled, behavior));
        let endless = [garbage, asked].concat();
        for (delivery, behavior) in endless {
            let test_watch = TestWatch::new(delivery, &[behavior]);
            sleep(MINUTE).await;
            assert!(
                test_watch.dial_count() < 2 * 60 + 10,
                "{delivery:?} {behavior:?}: {}",
                test_watch.dial_count()
            );
        }
    })
    .await;
}

/// What the old address failed at says nothing of the new one: two attempts there may hang, as after a silence.
#[tokio::test]
async fn address_change_after_outage_resets_backoff() {
    in_paused_time(async {
        // In the middle of an attempt, or of the wait after it.
        for outage in [Behavior::Hang, Behavior::Refused] {
            for delivery in [Delivery::Pushed, Delivery::Polled] {
                let test_watch = TestWatch::new(delivery, &[outage]);
                test_watch.wait_for_dials(9).await;
                let moved = Instant::now();
                test_watch.move_to_next_address(&[Behavior::Hang, Behavior::Silent, Behavior::Alive(2)]);
                test_watch.wait_for_list(2).await;
                let took = moved.elapsed();
                assert!(took < MAX_STALENESS_AFTER_MOVE, "{delivery:?} after {outage:?}: {took:?}");
                assert_eq!(test_watch.dials.borrow()[9].0, NEXT_ADDRESS.parse().expect("an address"));
            }
        }
    })
    .await;
}

/// What the old address had last may be heard from the new one alone: it must not pass for new.
#[tokio::test]
async fn moved_watch_is_reported_broken() {
    in_paused_time(async {
        let test_watch = TestWatch::new(Delivery::Pushed, &[Behavior::Alive(1)]);
        test_watch.wait_for_list(1).await;
        test_watch.move_to_next_address(&[Behavior::Alive(2)]);
        let broken = test_watch.event_loop.posted(|input| matches!(input, Input::EndpointListFailed));
        timeout(MINUTE, broken).await.expect("the core is told");
    })
    .await;
}

/// The module lets more time pass after each failure, up to the whole of `ask_within`.
#[tokio::test]
async fn changed_address_while_scheduler_waits_is_queried() {
    in_paused_time(async {
        // While the module lets time pass, or in the wait before.
        for (outage, since) in [(Behavior::Hang, MINUTE), (Behavior::Refused, TRICKLE_INTERVAL / 10)] {
            let test_watch = TestWatch::new(Delivery::PolledOnce, &[outage]);
            sleep(since).await;
            assert_eq!(test_watch.dial_count(), 1, "the module lets time pass");
            let moved = Instant::now();
            test_watch.move_to_next_address(&[Behavior::Alive(2)]);
            test_watch.wait_for_list(2).await;
            assert!(moved.elapsed() < MAX_STALENESS_AFTER_MOVE, "after {outage:?}: {:?}", moved.elapsed());
        }
    })
    .await;
}

/// A watch that has long been open has ended the row of failures before it, also where it ends by order.
#[tokio::test]
async fn list_fetched_on_request_resets_backoff() {
    in_paused_time(async {
        let mut behaviors = vec![Behavior::Hang; 8];
        behaviors.extend([Behavior::Alive(1), Behavior::Hang, Behavior::Silent, Behavior::Alive(2)]);
        let test_watch = TestWatch::new(Delivery::Pushed, &behaviors);
        test_watch.wait_for_list(1).await;
        let ordered = Instant::now();
        test_watch.event_loop.fetch_requested.notify_one();
        test_watch.wait_for_list(2).await;
        let (took, bound) =
            (ordered.elapsed(), last_attempt_begins_within(3) - backoff::watch_idle_timeout());
        assert!(took <= bound, "{took:?}, at most {bound:?}");
    })
    .await;
}

//! The waits over generated settings: none exceeds what a page leaves for it, none is lost to rounding.

use std::time::Duration;

use umbertray_lifecycle::limits::{BAD_CLIENT_LIMIT, HOLD_UP, KILL_AFTER_AT_MOST, KILL_MARGIN};
use umbertray_lifecycle::{SettingsTimes, Timeouts};

/// Spans from 0.05 s to 600 s, as settings have them.
const SPANS: [u64; 14] =
    [50, 120, 300, 600, 900, 1_500, 3_000, 6_000, 9_000, 12_000, 30_000, 60_000, 200_000, 600_000];

fn all_settings() -> impl Iterator<Item = SettingsTimes> {
    let span = Duration::from_millis;
    let deadlines = SPANS.into_iter().filter(|deadline| (300..=60_000).contains(deadline));
    deadlines.flat_map(move |deadline| {
        SPANS.into_iter().flat_map(move |connect| {
            SPANS.into_iter().map(move |idle| SettingsTimes {
                longest_deadline: span(deadline),
                shortest_objective: span(deadline / 5),
                connect_timeout: span(connect),
                connection_idle: span(idle),
            })
        })
    })
}

#[test]
fn bad_client_waits_leave_a_hold_up_on_either_side_of_the_limit() {
    for settings in all_settings() {
        let timeouts = Timeouts::from_settings(&settings);
        let owed = [
            timeouts.request_read,
            timeouts.first_request_rejecting,
            timeouts.response_write,
            timeouts.linger,
        ];
        for wait in owed {
            assert!(HOLD_UP + wait + HOLD_UP <= BAD_CLIENT_LIMIT, "{wait:?} with {settings:?}");
        }
    }
}

#[test]
fn drain_ends_before_sigkill() {
    for settings in all_settings() {
        let timeouts = Timeouts::from_settings(&settings);
        let killed = settings.longest_deadline.min(KILL_AFTER_AT_MOST) + KILL_MARGIN;
        assert!(timeouts.drain_deadline + timeouts.drain_close < killed, "{settings:?}");
        assert!(timeouts.retry_until <= timeouts.drain_deadline, "{settings:?}");
        assert!(timeouts.accept_until < killed, "{settings:?}");
    }
}

#[test]
fn idle_store_connections_close_before_the_store_closes_them() {
    for settings in all_settings() {
        let timeouts = Timeouts::from_settings(&settings);
        assert!(timeouts.store_idle + timeouts.store_sweep < settings.connection_idle, "{settings:?}");
        assert!(timeouts.store_sweep > Duration::ZERO, "{settings:?}");
    }
}

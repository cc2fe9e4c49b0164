//! Checks the timeouts over generated settings: none exceeds what the operators' limits allow, and none is
//! rounded down to zero.

use std::time::Duration;

use umbertray_lifecycle::limits::{KILL_MARGIN, MAX_KILL_AFTER, MAX_PROCESS_PAUSE, MISBEHAVING_CLIENT_LIMIT};
use umbertray_lifecycle::{SettingsTimes, Timeouts};

/// Durations in milliseconds, from 0.05 s to 600 s, as settings may contain them.
const DURATIONS_MS: [u64; 14] =
    [50, 120, 300, 600, 900, 1_500, 3_000, 6_000, 9_000, 12_000, 30_000, 60_000, 200_000, 600_000];

fn all_settings() -> impl Iterator<Item = SettingsTimes> {
    let ms = Duration::from_millis;
    let deadlines = DURATIONS_MS.into_iter().filter(|deadline| (300..=60_000).contains(deadline));
    deadlines.flat_map(move |deadline| {
        DURATIONS_MS.into_iter().flat_map(move |connect| {
            DURATIONS_MS.into_iter().map(move |idle| SettingsTimes {
                longest_deadline: ms(deadline),
                shortest_objective: ms(deadline / 5),
                connect_timeout: ms(connect),
                connection_idle: ms(idle),
            })
        })
    })
}

#[test]
fn bad_client_waits_leave_a_process_pause_on_either_side_of_the_limit() {
    for settings in all_settings() {
        let timeouts = Timeouts::from_settings(&settings);
        let bad_client_waits = [
            timeouts.request_read,
            timeouts.first_request_without_capacity,
            timeouts.response_write,
            timeouts.linger,
        ];
        for wait in bad_client_waits {
            assert!(
                MAX_PROCESS_PAUSE + wait + MAX_PROCESS_PAUSE <= MISBEHAVING_CLIENT_LIMIT,
                "{wait:?} with {settings:?}"
            );
        }
    }
}

#[test]
fn drain_ends_before_sigkill() {
    for settings in all_settings() {
        let timeouts = Timeouts::from_settings(&settings);
        let killed_at = settings.longest_deadline.min(MAX_KILL_AFTER) + KILL_MARGIN;
        assert!(timeouts.drain_deadline + timeouts.drain_close < killed_at, "{settings:?}");
        assert!(timeouts.retry_until <= timeouts.drain_deadline, "{settings:?}");
        assert!(timeouts.accept_until < killed_at, "{settings:?}");
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

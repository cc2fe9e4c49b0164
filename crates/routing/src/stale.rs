//! What becomes of an op that a store turned away since its range has moved: it never ran by this dispatch.

use std::time::Duration;

use crate::settings::Idempotency;

/// Until when it may go on at the range's new home; nothing if it may not. Danger: an earlier dispatch of it may have run at
/// the old home. Its mark travels with the range, and makes a repeat harmless for as long as repeats are known.
pub(crate) fn goes_on(repeats: Idempotency, ran_at: Option<Duration>, tick: Duration) -> Option<Duration> {
    match (repeats, ran_at) {
        (_, None) | (Idempotency::Idempotent, _) => Some(Duration::MAX),
        (Idempotency::Deduplicated(span), Some(at)) => Some((at + span).saturating_sub(tick)),
        (Idempotency::NotIdempotent, Some(_)) => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_have_run_goes_on_only_where_its_repeat_is_known_for_one() {
        let (ms, tick) = (Duration::from_millis, Duration::from_millis(2));
        let deduplicated = Idempotency::Deduplicated(ms(100));
        assert_eq!(goes_on(Idempotency::NotIdempotent, None, tick), Some(Duration::MAX));
        assert_eq!(goes_on(Idempotency::NotIdempotent, Some(ms(7)), tick), None);
        assert_eq!(goes_on(Idempotency::Idempotent, Some(ms(7)), tick), Some(Duration::MAX));
        assert_eq!(goes_on(deduplicated, Some(ms(7)), tick), Some(ms(105)));
    }
}

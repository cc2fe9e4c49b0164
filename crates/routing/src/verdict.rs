//! One final answer to a request out of its pieces' answers.

use std::time::Duration;

use crate::settings::Idempotency;

/// A final answer, of a piece or of a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResult {
    /// By the stores' word.
    Succeeded,
    /// Trying again does no harm; not before this has passed, where it is not zero.
    Rejected { retry_after: Duration },
    /// Promises nothing.
    Failed,
}

/// What is known of one piece when its request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PieceEnd {
    pub verdict: FinalResult,
    pub may_have_run: bool,
}

/// The worst of the pieces' answers. Danger: a throttling reply says that trying again does no harm, and the client
/// tries the whole request again. Where one piece ran that must not run twice, the whole is aborted instead.
pub(crate) fn whole(pieces: impl Iterator<Item = PieceEnd> + Clone, repeats: Idempotency) -> FinalResult {
    let ran = pieces.clone().any(|piece| piece.may_have_run) && repeats != Idempotency::Idempotent;
    pieces.map(|piece| piece.verdict).fold(FinalResult::Succeeded, |worst, verdict| match (worst, verdict) {
        (FinalResult::Failed, _) | (_, FinalResult::Failed) => FinalResult::Failed,
        (_, FinalResult::Rejected { .. }) if ran => FinalResult::Failed,
        (FinalResult::Rejected { retry_after: a }, FinalResult::Rejected { retry_after: b }) => {
            FinalResult::Rejected { retry_after: a.max(b) }
        }
        (worst, FinalResult::Succeeded) => worst,
        (FinalResult::Succeeded, verdict) => verdict,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_with_a_piece_that_ran_is_not_told_to_try_again_unless_replayable() {
        let throttled = FinalResult::Rejected { retry_after: Duration::from_millis(5) };
        let pieces = [
            PieceEnd { verdict: FinalResult::Succeeded, may_have_run: true },
            PieceEnd { verdict: throttled, may_have_run: false },
        ];
        assert_eq!(whole(pieces.into_iter(), Idempotency::Idempotent), throttled);
        assert_eq!(whole(pieces.into_iter(), Idempotency::NotIdempotent), FinalResult::Failed);
        assert_eq!(whole(pieces[1..].iter().copied(), Idempotency::NotIdempotent), throttled);
        assert_eq!(whole(pieces[..1].iter().copied(), Idempotency::NotIdempotent), FinalResult::Succeeded);
    }
}

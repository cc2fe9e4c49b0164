//! One final answer to a request out of its pieces' answers.

use std::time::Duration;

use crate::settings::Repeats;

/// A final answer, of a piece or of a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// By the stores' word.
    Acked,
    /// Trying again does no harm; not before this has passed, where it is not zero.
    Throttled { retry_after: Duration },
    /// Promises nothing.
    Aborted,
}

/// What is known of one piece when its request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PieceEnd {
    pub verdict: Verdict,
    pub may_have_run: bool,
}

/// The worst of the pieces' answers. Danger: a throttling reply says that trying again does no harm, and the client
/// tries the whole request again. Where one piece ran that must not run twice, the whole is aborted instead.
pub(crate) fn whole(pieces: impl Iterator<Item = PieceEnd> + Clone, repeats: Repeats) -> Verdict {
    let ran = pieces.clone().any(|piece| piece.may_have_run) && repeats != Repeats::Replayable;
    pieces.map(|piece| piece.verdict).fold(Verdict::Acked, |worst, verdict| match (worst, verdict) {
        (Verdict::Aborted, _) | (_, Verdict::Aborted) => Verdict::Aborted,
        (_, Verdict::Throttled { .. }) if ran => Verdict::Aborted,
        (Verdict::Throttled { retry_after: a }, Verdict::Throttled { retry_after: b }) => {
            Verdict::Throttled { retry_after: a.max(b) }
        }
        (worst, Verdict::Acked) => worst,
        (Verdict::Acked, verdict) => verdict,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_with_a_piece_that_ran_is_not_told_to_try_again_unless_replayable() {
        let throttled = Verdict::Throttled { retry_after: Duration::from_millis(5) };
        let pieces = [
            PieceEnd { verdict: Verdict::Acked, may_have_run: true },
            PieceEnd { verdict: throttled, may_have_run: false },
        ];
        assert_eq!(whole(pieces.into_iter(), Repeats::Replayable), throttled);
        assert_eq!(whole(pieces.into_iter(), Repeats::OnceOnly), Verdict::Aborted);
        assert_eq!(whole(pieces[1..].iter().copied(), Repeats::OnceOnly), throttled);
        assert_eq!(whole(pieces[..1].iter().copied(), Repeats::OnceOnly), Verdict::Acked);
    }
}

//! The final result of a request, from the results of its fragments.

use std::time::Duration;

use crate::settings::Idempotency;

/// A final result, of a fragment or of a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResult {
    /// Executed, as the stores say.
    Succeeded,
    /// A retry does no harm.
    Rejected {
        /// When a retry is worthwhile; zero: not known.
        retry_after: Duration,
    },
    /// It may or may not have been executed.
    Failed,
}

/// The result of one fragment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FragmentResult {
    pub(crate) result: FinalResult,
    pub(crate) may_have_run: bool,
}

/// The worst of the fragments' results.
///
/// Hazard: a rejection says that a retry does no harm, and the client retries the whole request. Where one fragment ran that
/// must not run twice, the whole request fails instead.
pub(crate) fn combine(
    fragments: impl Iterator<Item = FragmentResult> + Clone,
    idempotency: Idempotency,
) -> FinalResult {
    let any_ran = fragments.clone().any(|fragment| fragment.may_have_run);
    let is_retry_harmful = any_ran && idempotency != Idempotency::Idempotent;
    let results = fragments.map(|fragment| fragment.result);
    results.fold(FinalResult::Succeeded, |worst, result| worse(worst, result, is_retry_harmful))
}

fn worse(worst: FinalResult, result: FinalResult, is_retry_harmful: bool) -> FinalResult {
    match (worst, result) {
        (FinalResult::Failed, _) | (_, FinalResult::Failed) => FinalResult::Failed,
        (_, FinalResult::Rejected { .. }) if is_retry_harmful => FinalResult::Failed,
        (FinalResult::Rejected { retry_after: a }, FinalResult::Rejected { retry_after: b }) => {
            FinalResult::Rejected { retry_after: a.max(b) }
        }
        (worst, FinalResult::Succeeded) => worst,
        (FinalResult::Succeeded, result) => result,
    }
}

#[cfg(test)]
mod tests;

//! Combines the final results of a request's fragments into the result of the request.

use std::time::Duration;

use crate::settings::Idempotency;

/// The final result of a fragment or of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResult {
    /// Executed, as confirmed by the stores.
    Succeeded,
    /// Not executed, or harmless to repeat: the client may retry.
    Rejected {
        /// How long the client should wait before a retry; zero if unknown.
        retry_after: Duration,
    },
    /// The request may or may not have been executed.
    Failed,
}

/// The result of one fragment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FragmentResult {
    pub(crate) result: FinalResult,
    pub(crate) may_have_run: bool,
}

/// Returns the worst of the fragments' results.
///
/// Hazard: a rejection means that a retry is harmless, and the client retries the complete request. If one
/// fragment may have been executed and must not be executed twice, the request fails instead.
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

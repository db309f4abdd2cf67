//! Minimizes a schedule that violates an invariant.
//!
//! Generic over the steps; [`ScheduleRun`](super::schedule_run::ScheduleRun) calls it.

use std::future::Future;

/// A minimized schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Minimized<S> {
    /// The remaining steps: those of the last trial that failed, or all steps if none did.
    pub steps: Vec<S>,
    /// Number of trials made.
    pub trials: usize,
}

/// Removes parts of decreasing size from a schedule while the rest still `fails`, in at most `trial_limit` trials.
///
/// Source: Zeller, Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002: ddmin, testing complements only.
pub async fn minimize<S: Clone, F: Future<Output = bool>>(
    steps: &[S],
    trial_limit: usize,
    mut fails: impl FnMut(Vec<S>) -> F,
) -> Minimized<S> {
    let mut steps = steps.to_vec();
    let mut parts = 2;
    let mut trials = 0;
    while steps.len() >= 2 && trials < trial_limit {
        let part_len = steps.len().div_ceil(parts);
        let mut start = 0;
        let mut is_reduced = false;
        while start < steps.len() && trials < trial_limit {
            let end = (start + part_len).min(steps.len());
            let complement = [&steps[..start], &steps[end..]].concat();
            trials += 1;
            if !complement.is_empty() && fails(complement.clone()).await {
                // The next part now begins at `start`.
                steps = complement;
                is_reduced = true;
            } else {
                start = end;
            }
        }
        if !is_reduced && part_len == 1 {
            break;
        }
        parts = if is_reduced {
            parts.saturating_sub(1).max(2)
        } else {
            (parts * 2).min(steps.len())
        };
    }
    Minimized { steps, trials }
}

#[cfg(test)]
mod tests;

//! A schedule that breaks something, made as short as it can be.

use std::future::Future;

/// Removes parts of a schedule, ever smaller ones, as long as what is left still `breaks`; no more than so many trials.
/// What comes back broke in the last trial that did, or is the whole; the other value is how many trials were made.
///
/// Source: Zeller, Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002: ddmin, complements alone.
pub async fn shorten<S: Clone, F: Future<Output = bool>>(
    steps: &[S],
    trials: usize,
    mut breaks: impl FnMut(Vec<S>) -> F,
) -> (Vec<S>, usize) {
    let mut left = steps.to_vec();
    let (mut parts, mut tried) = (2, 0);
    while left.len() >= 2 && tried < trials {
        let size = left.len().div_ceil(parts);
        let mut at = 0;
        let mut shorter = false;
        while at < left.len() && tried < trials {
            let end = (at + size).min(left.len());
            let rest = [&left[..at], &left[end..]].concat();
            tried += 1;
            if !rest.is_empty() && breaks(rest.clone()).await {
                // The next part has come to this one's place.
                (left, shorter) = (rest, true);
            } else {
                at = end;
            }
        }
        if !shorter && size == 1 {
            break;
        }
        parts = if shorter {
            parts.saturating_sub(1).max(2)
        } else {
            (parts * 2).min(left.len())
        };
    }
    (left, tried)
}

#[cfg(test)]
mod tests;

//! The automaton: the sampling vector and the averages of response.

use crate::floored::Floored;

/// Step of an average. A node that sees a server once in seconds must learn from a handful of answers.
const ALPHA: f64 = 0.2;

/// Step of the vector, for a mean entry: theta = STEP / r, so that a payoff moves an entry by a tenth of its
/// fair share however long the list. At hundreds of payoffs a second a larger step makes the vector noise.
const STEP: f64 = 0.1;

/// From this many servers on, the step grows with the list, to three times as much.
const LONG_LIST: f64 = 24.0;

/// The whole floor: p_min = FLOOR / r leaves this share of the draws to exploration at any length.
pub(super) const FLOOR: f64 = 0.1;

/// Sampling vector and response averages of one node, by position in its list.
#[derive(Clone, Debug, Default)]
pub struct Automaton {
    /// Sending probabilities; they sum to 1 and none is under [`Automaton::floor`].
    pub p: Vec<f64>,
    /// Moving averages of response time.
    pub average: Vec<f64>,
}

impl Automaton {
    /// p_min: shrinks with the list, so that it never eats the vector.
    pub fn floor(&self) -> f64 {
        FLOOR / self.p.len().max(1) as f64
    }

    fn theta(&self) -> f64 {
        let r = self.p.len().max(1) as f64;
        // Payoffs are rare where many nodes share a long list: there the step stays what it was before.
        (STEP * (r / LONG_LIST).clamp(1.0, 3.0) / r).min(ALPHA / 2.0)
    }

    /// Moves the one average that was seen.
    pub fn observe(&mut self, i: usize, response: f64) {
        self.average[i] += ALPHA * (response - self.average[i]);
    }

    /// A payoff for `i`: its entry moves towards p_max, all others towards p_min.
    pub fn reward(&mut self, i: usize) {
        let (theta, floor) = (self.theta(), self.floor());
        for p in &mut self.p {
            *p += theta * (floor - *p);
        }
        // p_max - p_min = 1 - r p_min = 1 - FLOOR.
        self.p[i] += theta * (1.0 - FLOOR);
    }

    /// Adds an entry with `share` times the mean entry.
    pub fn join(&mut self, share: f64, average: f64) {
        self.average.push(average);
        self.change(|p| p.push(joining(share, p.len()), [0; 2]));
    }

    /// Removes an entry; the last one takes its place.
    pub fn leave(&mut self, i: usize) {
        self.average.swap_remove(i);
        self.change(|p| p.swap_remove(i));
    }

    /// Restores the sum and the floor, keeping the proportions of what lies above it.
    pub fn settle(&mut self) {
        self.change(Floored::restore);
    }

    fn change(&mut self, how: impl FnOnce(&mut Floored)) {
        let mut p = Floored::new(FLOOR, self.p.iter().map(|p| (*p, [0; 2])));
        how(&mut p);
        self.p = p.values();
    }
}

/// The entry of one that joins a vector of `r` with `share` times the mean.
pub(super) fn joining(share: f64, r: usize) -> f64 {
    share.max(FLOOR) * (1.0 / r.max(1) as f64)
}

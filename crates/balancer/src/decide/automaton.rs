//! The learning automaton: the probability vector and the running averages of response times.

use crate::floored::FlooredVector;

/// Smoothing factor of the running averages.
const AVERAGE_STEP: f64 = 0.2;

/// Step of the probability vector as a fraction of the mean probability, so that the effect of a reward relative to the
/// mean does not depend on the length of the list.
const REWARD_STEP: f64 = 0.1;

/// For lists longer than this the step grows with the list, as each server is rewarded less often.
const LONG_LIST: f64 = 24.0;

/// The greatest factor by which the step grows.
const MAX_STEP_GROWTH: f64 = 3.0;

/// The sum of the floors of all servers: the fraction of requests that is used for exploration.
pub(super) const TOTAL_FLOOR: f64 = 0.1;

/// The probability vector and the running averages of one node, indexed by position in its list of servers.
#[derive(Clone, Debug, Default)]
pub struct Automaton {
    /// The probability of each server; they sum to 1, and none is below [`Automaton::floor`].
    pub probability: Vec<f64>,
    /// The running average of the response times of each server, in seconds, scaled to a request of typical size.
    pub mean_response: Vec<f64>,
}

impl Automaton {
    /// The least probability of a server. It is inversely proportional to the length of the list, so that the floors of
    /// a long list leave enough probability for learning.
    pub fn floor(&self) -> f64 {
        TOTAL_FLOOR / self.probability.len().max(1) as f64
    }

    /// The step of the probability vector, at most half of that of the averages.
    fn reward_step(&self) -> f64 {
        let servers = self.probability.len().max(1) as f64;
        let growth = (servers / LONG_LIST).clamp(1.0, MAX_STEP_GROWTH);
        (REWARD_STEP * growth / servers).min(AVERAGE_STEP / 2.0)
    }

    /// Adds a response time to the running average of a server.
    pub fn observe(&mut self, position: usize, response: f64) {
        self.mean_response[position] += AVERAGE_STEP * (response - self.mean_response[position]);
    }

    /// Rewards a server: its probability moves towards the maximum, all others towards the floor.
    pub fn reward(&mut self, position: usize) {
        let step = self.reward_step();
        let floor = self.floor();
        for probability in &mut self.probability {
            *probability += step * (floor - *probability);
        }
        // The maximum exceeds the floor by 1 - TOTAL_FLOOR.
        self.probability[position] += step * (1.0 - TOTAL_FLOOR);
    }

    /// Lowers the running average of a server to `limit`, if it is higher.
    pub(super) fn limit_mean_response(&mut self, position: usize, limit: f64) {
        let average = &mut self.mean_response[position];
        *average = average.min(limit);
    }

    /// Raises the probability of a server to at least this multiple of the mean, and restores the sum.
    pub(super) fn raise(&mut self, position: usize, relative_probability: f64) {
        let least = initial_probability(relative_probability, self.probability.len());
        if self.probability[position] < least {
            self.probability[position] = least;
            self.normalize();
        }
    }

    /// Adds a server at the end, with this multiple of the mean probability.
    pub fn insert(&mut self, relative_probability: f64, mean_response: f64) {
        self.mean_response.push(mean_response);
        self.update(|vector| {
            let probability = initial_probability(relative_probability, vector.len());
            vector.push(probability, [0; 2]);
        });
    }

    /// Removes a server; the last one takes its position.
    pub fn swap_remove(&mut self, position: usize) {
        self.mean_response.swap_remove(position);
        self.update(|vector| vector.swap_remove(position));
    }

    /// Restores the sum and the floor; the excesses over the floor keep their proportions.
    pub fn normalize(&mut self) {
        self.update(FlooredVector::restore);
    }

    fn update(&mut self, change: impl FnOnce(&mut FlooredVector)) {
        let entries = self
            .probability
            .iter()
            .map(|probability| (*probability, [0; 2]));
        let mut vector = FlooredVector::new(TOTAL_FLOOR, entries);
        change(&mut vector);
        self.probability = vector.values();
    }
}

/// The probability of a server that joins a list of this length with this multiple of the mean probability.
pub(super) fn initial_probability(relative_probability: f64, servers: usize) -> f64 {
    relative_probability.max(TOTAL_FLOOR) * (1.0 / servers.max(1) as f64)
}

//! Named random number streams, so that a change in one part of a simulation does not change the samples of another.

use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use reelfall_balancer::settings::stable_hash;

/// The random number generator for a seed and a name; equal arguments give equal sequences.
pub fn stream(seed: u64, name: &str) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ stable_hash(name))
}

/// Samples a log-normal distribution of this mean and coefficient of variation.
pub fn sample_lognormal(rng: &mut Pcg64Mcg, mean: f64, variation: f64) -> f64 {
    let variance = (1.0 + variation * variation).ln();
    // The only error is a standard deviation that is not finite; `variance` is finite and not negative.
    LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt())
        .map_or(mean, |distribution| distribution.sample(rng))
}

//! Random numbers by name, so that a change in one part of a plan does not move another's draws.

use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use reelfall_balancer::settings::stable_hash;

/// A stream of its own for each name; the same for the same seed and name.
pub fn stream(seed: u64, name: &str) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ stable_hash(name))
}

/// A log-normal draw of this mean and coefficient of variation.
pub fn lognormal(rng: &mut Pcg64Mcg, mean: f64, cv: f64) -> f64 {
    let variance = (1.0 + cv * cv).ln();
    // Only a standard deviation that is no number is refused, and this one is a root of a sum of squares.
    LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()).map_or(mean, |d| d.sample(rng))
}

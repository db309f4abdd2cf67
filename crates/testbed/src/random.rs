//! Seeded random numbers, for reproducible load and faults. Used by load generators, servers and scenarios.

/// Number of random bits in a fraction: the precision of an `f64`.
const FRACTION_BITS: u32 = 53;

/// A deterministic SplitMix64 generator; the field is its state, at first the seed.
#[derive(Clone, Debug)]
pub struct SeededRng(pub u64);

impl SeededRng {
    /// Returns the next number, uniform over all of `u64`.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns the next number, uniform in [0, 1).
    pub fn next_fraction(&mut self) -> f64 {
        (self.next_u64() >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
    }

    /// Returns the time in seconds to the next event of a Poisson process with this rate per second.
    pub fn next_gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.next_fraction()).ln() / rate
    }
}

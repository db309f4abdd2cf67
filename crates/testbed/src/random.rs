//! Random numbers from a seed, for load and faults that can be repeated. Used by load generators, servers and scenarios.

/// The bits of a random number that an `f64` represents exactly.
const FRACTION_BITS: u32 = 53;

/// A generator that yields the same numbers for the same seed: SplitMix64.
#[derive(Clone, Debug)]
pub struct SeededRng(pub u64);

impl SeededRng {
    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// The next number of the range [0, 1).
    pub fn next_fraction(&mut self) -> f64 {
        (self.next_u64() >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
    }

    /// The time to the next event of a Poisson process with this average rate per second, in seconds.
    pub fn next_gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.next_fraction()).ln() / rate
    }
}

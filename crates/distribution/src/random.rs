//! Deterministic pseudo-random numbers: the same seed gives the same sequence.

use crate::Time;

/// Hashes a number (splitmix64's finalizer).
pub fn mix_bits(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A pseudo-random generator (splitmix64).
#[derive(Clone, Debug)]
pub struct SeededRng {
    state: u64,
}

impl SeededRng {
    /// A generator with this seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng {
            state: mix_bits(seed),
        }
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix_bits(self.state)
    }

    /// Uniform in `[0, 1)`.
    pub fn next_unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Uniform between two times.
    pub fn uniform(&mut self, low: Time, high: Time) -> Time {
        low + (high - low).max(0.0) * self.next_unit()
    }

    /// A random index below `count`; 0 if there are none.
    pub fn index_below(&mut self, count: usize) -> usize {
        (self.next_u64() % (count.max(1) as u64)) as usize
    }
}

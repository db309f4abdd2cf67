//! A second implementation of the random number generator of the decision module, for the reference.

/// Hashes bits to a number in [0, 1) with the finalizer of SplitMix64.
pub fn fraction(bits: u64) -> f64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

pub struct SplitMix64(u64);

impl SplitMix64 {
    pub fn new(seed: u64) -> SplitMix64 {
        SplitMix64(seed)
    }

    /// Uniform in [0, 1).
    pub fn next_fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        fraction(self.0)
    }

    pub fn below(&mut self, bound: u32) -> u32 {
        (self.next_fraction() * f64::from(bound)) as u32
    }

    pub fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u32) as usize]
    }
}

//! Pseudo-random numbers and sampling, which give the same results on every node.

/// Increment of the SplitMix64 generator (Steele, Lea, Flood: "Fast splittable pseudorandom number generators", 2014).
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
/// The golden ratio minus 1, approximately. A stride of about this fraction scatters neighbours best.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618;
/// Number of random bits of a fraction: as many as an `f64` represents exactly.
const FRACTION_BITS: u32 = 53;

/// The SplitMix64 generator.
pub(crate) struct SplitMix64(u64);

impl SplitMix64 {
    /// Creates a generator with this seed.
    pub(crate) fn new(seed: u64) -> Self {
        SplitMix64(seed)
    }

    /// Returns the next number, uniform in [0, 1).
    pub(crate) fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(INCREMENT);
        fraction_of(self.0)
    }
}

/// Hashes bits to a number in [0, 1) with the finalizer of SplitMix64.
pub(crate) fn fraction_of(bits: u64) -> f64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let bits = bits ^ (bits >> 31);
    (bits >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
}

/// Returns the index of the weight that contains a point in [0, sum of weights), if the weights are laid end to end. A
/// point that rounding puts beyond the sum belongs to the last positive weight.
pub(crate) fn sample(weights: &[f64], mut point: f64) -> Option<usize> {
    for (index, weight) in weights.iter().enumerate() {
        point -= weight;
        if point < 0.0 && *weight > 0.0 {
            return Some(index);
        }
    }
    weights.iter().rposition(|weight| *weight > 0.0)
}

/// Weighted rendezvous hashing: every node with the same hashes and weights selects the same index for a key, and over
/// many keys each index is selected in proportion to its weight.
pub(crate) fn rendezvous(
    key: u64,
    weighted_hashes: impl Iterator<Item = (u64, f64)>,
) -> Option<usize> {
    let mut best_score = f64::MAX;
    let mut best = None;
    let eligible = weighted_hashes
        .enumerate()
        .filter(|(_, (_, weight))| *weight > 0.0);
    for (index, (hash, weight)) in eligible {
        let score = -fraction_of(key ^ hash).max(f64::MIN_POSITIVE).ln() / weight;
        if score < best_score {
            best_score = score;
            best = Some(index);
        }
    }
    best
}

/// A stride that visits each of `n` positions once and scatters neighbours: coprime to `n`, and near the golden ratio.
pub(crate) fn coprime_stride(n: u64) -> u64 {
    let min_stride = ((n as f64 * GOLDEN_RATIO_CONJUGATE) as u64).max(1);
    (min_stride..n)
        .find(|stride| greatest_common_divisor(*stride, n) == 1)
        .unwrap_or(1)
}

fn greatest_common_divisor(mut a: u64, mut b: u64) -> u64 {
    while b > 0 {
        (a, b) = (b, a % b);
    }
    a
}

//! Arithmetic of chance without any decision: mixing bits, choosing by weight, scattering places.

/// Mixes bits into a fraction of [0, 1).
pub(crate) fn fraction(x: u64) -> f64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// The entry in which the point `at` falls; rounding at the end goes to the last open entry.
pub(crate) fn pick(weights: &[f64], mut at: f64) -> Option<usize> {
    for (i, w) in weights.iter().enumerate() {
        at -= w;
        if at < 0.0 && *w > 0.0 {
            return Some(i);
        }
    }
    weights.iter().rposition(|w| *w > 0.0)
}

/// Weighted rendezvous hashing: for a key, whoever has these hashes and weights picks the same entry; over many
/// keys each is picked in proportion to its weight.
pub(crate) fn rendezvous(key: u64, weighted: impl Iterator<Item = (u64, f64)>) -> Option<usize> {
    let mut best = (f64::MAX, None);
    for (i, (hash, weight)) in weighted
        .enumerate()
        .filter(|(_, (_, weight))| *weight > 0.0)
    {
        let score = -fraction(key ^ hash).max(f64::MIN_POSITIVE).ln() / weight;
        if score < best.0 {
            best = (score, Some(i));
        }
    }
    best.1
}

/// A step through `n` places that visits each and scatters neighbours: next to the golden section, with no
/// common divisor.
pub(crate) fn stride(n: u64) -> u64 {
    let divides = |a: u64| {
        let (mut a, mut b) = (a, n);
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a > 1
    };
    (((n as f64 * 0.618) as u64).max(1)..n)
        .find(|a| !divides(*a))
        .unwrap_or(1)
}

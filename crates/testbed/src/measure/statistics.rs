//! Medians and rounding of figures. Used by all measurements.

const THOUSAND: f64 = 1e3;

/// The median, rounded to thousandths; 0 if there are no values.
pub(super) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
        .get(values.len() / 2)
        .map_or(0.0, |middle| (middle * THOUSAND).round() / THOUSAND)
}

/// The median over the rounds of the ratio of a value to the base of the same round.
pub(super) fn median_ratio(values: &[f64], base: &[f64]) -> f64 {
    let ratios = values.iter().zip(base).map(|(value, base)| value / base);
    median(ratios)
}

/// Rounds to tenths.
pub(super) fn round_to_tenth(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

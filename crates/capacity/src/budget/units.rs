//! Amounts with their units as text. All tables of the pages use it.

/// The unit of an amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// A number of things.
    Count,
    /// Things a second.
    CountPerSecond,
    /// Bytes, with decimal prefixes.
    Bytes,
    /// Bytes a second, with decimal prefixes.
    BytesPerSecond,
    /// Seconds.
    Seconds,
    /// Processor seconds a second.
    Cores,
}

/// A unit with a prefix.
struct ScaledUnit {
    factor: f64,
    name: &'static str,
}

const fn scaled_unit(factor: f64, name: &'static str) -> ScaledUnit {
    ScaledUnit { factor, name }
}

/// Prefixed units, from the largest to the smallest.
const BYTES: [ScaledUnit; 4] = [
    scaled_unit(1e9, "GB"),
    scaled_unit(1e6, "MB"),
    scaled_unit(1e3, "KB"),
    scaled_unit(1.0, "B"),
];
const BYTES_PER_SECOND: [ScaledUnit; 4] = [
    scaled_unit(1e9, "GB/s"),
    scaled_unit(1e6, "MB/s"),
    scaled_unit(1e3, "KB/s"),
    scaled_unit(1.0, "B/s"),
];
const SECONDS: [ScaledUnit; 3] = [
    scaled_unit(1.0, "s"),
    scaled_unit(1e-3, "ms"),
    scaled_unit(1e-6, "us"),
];

/// Amounts from this part of a unit on use it, as they are rounded to three digits.
const ROUNDS_TO_ONE: f64 = 0.9995;
/// Factors from here on have no decimals.
const WHOLE_FACTOR: f64 = 10.0;
/// Most decimals of a number.
const DECIMALS_LIMIT: i32 = 9;

/// A number to three digits, without trailing zeros.
pub fn plain(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let decimals = (2 - value.abs().log10().floor() as i32).clamp(0, DECIMALS_LIMIT) as usize;
    let text = format!("{value:.decimals$}");
    let text = if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.')
    } else {
        &text
    };
    with_thousands_separators(text)
}

fn with_thousands_separators(text: &str) -> String {
    let (whole, fraction) = text
        .split_once('.')
        .map_or((text, None), |(whole, fraction)| (whole, Some(fraction)));
    let mut grouped = String::new();
    for (position, digit) in whole.chars().enumerate() {
        let remaining = whole.len() - position;
        if position > 0 && remaining.is_multiple_of(3) && !grouped.ends_with('-') {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    match fraction {
        Some(fraction) => format!("{grouped}.{fraction}"),
        None => grouped,
    }
}

/// An amount with its unit.
pub fn amount(value: f64, unit: Unit) -> String {
    match unit {
        Unit::Count => plain(value.round()),
        Unit::CountPerSecond => format!("{}/s", plain(value)),
        Unit::Bytes => with_prefix(value, &BYTES),
        Unit::BytesPerSecond => with_prefix(value, &BYTES_PER_SECOND),
        Unit::Seconds => with_prefix(value, &SECONDS),
        Unit::Cores => format!("{} % of a core", plain(value * 100.0)),
    }
}

/// In the largest unit of which there is at least one; below all of them in the smallest.
fn with_prefix(value: f64, units: &[ScaledUnit]) -> String {
    let fitting = units
        .iter()
        .find(|unit| value.abs() >= unit.factor * ROUNDS_TO_ONE);
    match fitting.or(units.last()) {
        Some(unit) => format!("{} {}", plain(value / unit.factor), unit.name),
        None => plain(value),
    }
}

/// How many times over a budget.
pub fn times(factor: f64) -> String {
    plain(if factor >= WHOLE_FACTOR {
        factor.round()
    } else {
        factor
    })
}

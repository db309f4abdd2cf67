//! Formatting of amounts with their units, used by all tables of the pages.

/// The unit of an amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// A dimensionless count.
    Count,
    /// A count per second.
    CountPerSecond,
    /// Bytes, with decimal prefixes.
    Bytes,
    /// Bytes per second, with decimal prefixes.
    BytesPerSecond,
    /// Seconds.
    Seconds,
    /// Processor seconds per second, shown as a percentage of a core.
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

/// Smallest fraction of a unit that is shown in that unit: with three digits, it rounds to 1.
const ROUNDS_TO_ONE: f64 = 0.9995;
/// Factors of at least this size are shown without decimals.
const WHOLE_FACTOR: f64 = 10.0;
/// Largest number of decimals shown.
const DECIMALS_LIMIT: i32 = 9;

/// Formats a number to three significant digits, without trailing zeros and with thousands separators.
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

/// Formats an amount with its unit.
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

/// Formats a value in the largest unit in which it is at least 1, or in the smallest unit if there is none.
fn with_prefix(value: f64, units: &[ScaledUnit]) -> String {
    let fitting = units
        .iter()
        .find(|unit| value.abs() >= unit.factor * ROUNDS_TO_ONE);
    match fitting.or(units.last()) {
        Some(unit) => format!("{} {}", plain(value / unit.factor), unit.name),
        None => plain(value),
    }
}

/// Formats a multiple of a budget; multiples of 10 or more are rounded to whole numbers.
pub fn times(factor: f64) -> String {
    plain(if factor >= WHOLE_FACTOR {
        factor.round()
    } else {
        factor
    })
}

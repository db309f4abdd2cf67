//! Parses quantities with units: times, sizes and rates.

use reelfall_balancer::interface::Time;
use thiserror::Error;

/// Why a text is not a quantity.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnitError {
    /// The text has a number without a unit.
    #[error("`{text}` has no unit: {help}")]
    MissingUnit {
        /// The text.
        text: String,
        /// How to write such a quantity.
        help: &'static str,
    },
    /// The number is invalid, or the unit is not one of this quantity.
    #[error("`{text}` is not a {expected}")]
    Invalid {
        /// The text.
        text: String,
        /// The quantity, and how to write it.
        expected: &'static str,
    },
}

/// A hint on how to write a time.
pub const TIME_HELP: &str = "write a time in ms, s or m, such as \"250ms\"";
/// A hint on how to write a size.
pub const SIZE_HELP: &str = "write a size in B, KiB, MiB or GiB, such as \"64KiB\"";
/// A hint on how to write a rate.
pub const RATE_HELP: &str = "write a rate with /s or /m, such as \"300/s\"";

/// A unit of a quantity, such as milliseconds of a time.
struct Unit {
    name: &'static str,
    /// The value of the unit in the base unit of the quantity.
    factor: f64,
}

/// Splits a quantity into its number and its unit, either of which may be empty.
fn split_unit(text: &str) -> (&str, &str) {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    (number, unit.trim_start())
}

/// Parses a quantity to a number of its base unit.
fn parse_quantity(
    text: &str,
    expected: &'static str,
    help: &'static str,
    units: &[Unit],
) -> Result<f64, UnitError> {
    let (number, unit_name) = split_unit(text);
    let invalid = || UnitError::Invalid {
        text: text.to_owned(),
        expected,
    };
    let number: f64 = number.parse().map_err(|_| invalid())?;
    if unit_name.is_empty() {
        return Err(UnitError::MissingUnit {
            text: text.to_owned(),
            help,
        });
    }
    let unit = units
        .iter()
        .find(|unit| unit.name == unit_name)
        .ok_or_else(invalid)?;
    Some(number * unit.factor)
        .filter(|value| value.is_finite())
        .ok_or_else(invalid)
}

/// Parses a time and returns it in seconds: `250ms`, `1.5s`, `2m`.
///
/// # Errors
/// If the number or the unit is missing or invalid.
pub fn parse_time(text: &str) -> Result<Time, UnitError> {
    parse_quantity(
        text,
        "time: write it in ms, s or m, such as \"250ms\"",
        TIME_HELP,
        &[
            Unit {
                name: "ms",
                factor: 1e-3,
            },
            Unit {
                name: "s",
                factor: 1.0,
            },
            Unit {
                name: "m",
                factor: 60.0,
            },
        ],
    )
}

/// Parses a rate and returns it per second: `300/s`, `90/m`.
///
/// # Errors
/// If the number or the unit is missing or invalid.
pub fn parse_rate(text: &str) -> Result<f64, UnitError> {
    parse_quantity(
        text,
        "rate: write it with /s or /m, such as \"300/s\"",
        RATE_HELP,
        &[
            Unit {
                name: "/s",
                factor: 1.0,
            },
            Unit {
                name: "/m",
                factor: 1.0 / 60.0,
            },
        ],
    )
}

/// Parses a size and returns it in bytes: `512B`, `64KiB`, `8MiB`, `1GiB`.
///
/// # Errors
/// If the integer or the unit is missing or invalid, or the size exceeds [`u64::MAX`].
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    const EXPECTED: &str = "size: write it in B, KiB, MiB or GiB, such as \"64KiB\"";
    let (number, unit) = split_unit(text);
    let invalid = || UnitError::Invalid {
        text: text.to_owned(),
        expected: EXPECTED,
    };
    let number: u64 = number.parse().map_err(|_| invalid())?;
    let shift = match unit {
        "" => {
            return Err(UnitError::MissingUnit {
                text: text.to_owned(),
                help: SIZE_HELP,
            })
        }
        "B" => 0,
        "KiB" => 10,
        "MiB" => 20,
        "GiB" => 30,
        _ => return Err(invalid()),
    };
    number.checked_mul(1 << shift).ok_or_else(invalid)
}

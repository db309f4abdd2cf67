//! Figures with their units.

use reelfall_balancer::interface::Time;
use thiserror::Error;

/// Why a figure can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnitFault {
    /// A number alone.
    #[error("`{0}` has no unit: {1}")]
    NoUnit(String, &'static str),
    /// Another unit.
    #[error("`{0}` is no {1}")]
    Other(String, &'static str),
}

/// Units of time.
pub const TIMES: &str = "write a time with ms, s or m, as \"250ms\"";
/// Units of size.
pub const SIZES: &str = "write a size with B, KiB, MiB or GiB, as \"64KiB\"";
/// Units of rates.
pub const RATES: &str = "write a rate with /s or /m, as \"300/s\"";

fn split(text: &str) -> (&str, &str) {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    (number, unit.trim_start())
}

fn figure(
    text: &str,
    what: &'static str,
    help: &'static str,
    units: &[(&str, f64)],
) -> Result<f64, UnitFault> {
    let (number, unit) = split(text);
    let other = || UnitFault::Other(text.to_owned(), what);
    let number: f64 = number.parse().map_err(|_| other())?;
    if unit.is_empty() {
        return Err(UnitFault::NoUnit(text.to_owned(), help));
    }
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(other)?;
    Some(number * factor)
        .filter(|n| n.is_finite())
        .ok_or_else(other)
}

/// A time in seconds: `250ms`, `1.5s`, `2m`.
///
/// # Errors
/// Without a unit, with another, or without a number.
pub fn time(text: &str) -> Result<Time, UnitFault> {
    figure(
        text,
        "time: write it with ms, s or m, as \"250ms\"",
        TIMES,
        &[("ms", 1e-3), ("s", 1.0), ("m", 60.0)],
    )
}

/// A rate by the second: `300/s`, `90/m`.
///
/// # Errors
/// Without a unit, with another, or without a number.
pub fn rate(text: &str) -> Result<f64, UnitFault> {
    figure(
        text,
        "rate: write it with /s or /m, as \"300/s\"",
        RATES,
        &[("/s", 1.0), ("/m", 1.0 / 60.0)],
    )
}

/// A size in bytes: `512B`, `64KiB`, `8MiB`, `1GiB`.
///
/// # Errors
/// Without a unit, with another, or without a whole number.
pub fn size(text: &str) -> Result<u64, UnitFault> {
    const WHAT: &str = "size: write it with B, KiB, MiB or GiB, as \"64KiB\"";
    let (number, unit) = split(text);
    let other = || UnitFault::Other(text.to_owned(), WHAT);
    let number: u64 = number.parse().map_err(|_| other())?;
    let shift = match unit {
        "" => return Err(UnitFault::NoUnit(text.to_owned(), SIZES)),
        "B" => 0,
        "KiB" => 10,
        "MiB" => 20,
        "GiB" => 30,
        _ => return Err(other()),
    };
    number.checked_mul(1 << shift).ok_or_else(other)
}

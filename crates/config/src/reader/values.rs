//! Parses single values while a file is deserialized: quantities with units, addresses, patterns and bounded numbers.
//! Errors are reported with the position of the value.

use crate::units::{self, UnitError};
use reelfall_balancer::interface::Time;
use reelfall_routing::table::{self, PatternError};
use serde::de::{Deserializer, Error as _, Visitor};
use serde::Deserialize;
use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;
use thiserror::Error;

/// A value that the format `F` has parsed from a string of the file.
pub(super) struct Parsed<T, F>(pub(super) T, PhantomData<F>);

impl<T, F> Parsed<T, F> {
    /// The default of an absent key.
    pub(super) fn default_value(value: T) -> Self {
        Parsed(value, PhantomData)
    }
}

impl<T: Clone, F> Clone for Parsed<T, F> {
    fn clone(&self) -> Self {
        Parsed(self.0.clone(), PhantomData)
    }
}

/// A format of strings that represent a value.
pub(super) trait Format<T> {
    /// A hint on how to write the value.
    const HELP: &'static str;
    /// Parses a string of this format.
    fn parse(text: &str) -> Result<T, ValueError>;
}

/// Why a string does not represent a value of its format.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum ValueError {
    /// It is not a quantity with a unit.
    #[error(transparent)]
    Unit(#[from] UnitError),
    /// It is not a socket address.
    #[error("`{text}` is not an address: write it with its port, such as \"127.0.0.1:8443\"")]
    Address {
        /// The string.
        text: String,
    },
    /// It is not a host pattern or path prefix.
    #[error("`{text}`: {source}")]
    Pattern {
        /// The string.
        text: String,
        /// Why it is invalid.
        source: PatternError,
    },
}

impl ValueError {
    fn pattern(text: &str, source: PatternError) -> Self {
        ValueError::Pattern {
            text: text.to_owned(),
            source,
        }
    }
}

impl<'de, T, F: Format<T>> Deserialize<'de> for Parsed<T, F> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer
            .deserialize_any(FormatVisitor::<T, F>(PhantomData))
            .map(|value| Parsed(value, PhantomData))
    }
}

/// Parses strings of a format, and rejects numbers with the hint of the format.
struct FormatVisitor<T, F>(PhantomData<(T, F)>);

impl<T, F: Format<T>> FormatVisitor<T, F> {
    fn bare_number<E: serde::de::Error>(number: impl fmt::Display) -> E {
        E::custom(format!("`{number}` is a number, not a string: {}", F::HELP))
    }
}

impl<T, F: Format<T>> Visitor<'_> for FormatVisitor<T, F> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(F::HELP)
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<T, E> {
        F::parse(text).map_err(E::custom)
    }

    fn visit_i64<E: serde::de::Error>(self, number: i64) -> Result<T, E> {
        Err(Self::bare_number(number))
    }

    fn visit_f64<E: serde::de::Error>(self, number: f64) -> Result<T, E> {
        Err(Self::bare_number(number))
    }
}

/// Declares a format: its name, the type of its values, its hint, and the function that parses it.
macro_rules! value_format {
    ($name:ident, $value:ty, $help:expr, $parse:expr) => {
        pub(super) struct $name;
        impl Format<$value> for $name {
            const HELP: &'static str = $help;
            fn parse(text: &str) -> Result<$value, ValueError> {
                let parse: fn(&str) -> Result<$value, ValueError> = $parse;
                parse(text)
            }
        }
    };
}

value_format!(TimeFormat, Time, units::TIME_HELP, |text| Ok(
    units::parse_time(text)?
));
value_format!(SizeFormat, u64, units::SIZE_HELP, |text| Ok(
    units::parse_size(text)?
));
value_format!(RateFormat, f64, units::RATE_HELP, |text| Ok(
    units::parse_rate(text)?
));
value_format!(
    AddressFormat,
    SocketAddr,
    "write an address with its port, such as \"127.0.0.1:8443\"",
    |text| text.parse().map_err(|_| ValueError::Address {
        text: text.to_owned()
    })
);
value_format!(
    HostFormat,
    table::HostPattern,
    "write a host, or `*.` followed by a name, as a string",
    |text| table::HostPattern::parse(text).map_err(|error| ValueError::pattern(text, error))
);
value_format!(
    PathFormat,
    Box<str>,
    "write a path prefix as a string",
    |text| table::parse_path_prefix(text).map_err(|error| ValueError::pattern(text, error))
);

pub(super) type TimeText = Parsed<Time, TimeFormat>;
pub(super) type SizeText = Parsed<u64, SizeFormat>;
pub(super) type RateText = Parsed<f64, RateFormat>;
pub(super) type AddressText = Parsed<SocketAddr, AddressFormat>;
pub(super) type HostText = Parsed<table::HostPattern, HostFormat>;
pub(super) type PathText = Parsed<Box<str>, PathFormat>;

/// Deserializes a number between two bounds, inclusive.
fn bounded<'de, D: Deserializer<'de>>(
    deserializer: D,
    min: f64,
    max: f64,
) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if (min..=max).contains(&number) {
        return Ok(number);
    }
    Err(D::Error::custom(format!(
        "`{number}` is not between {min} and {max}"
    )))
}

/// Deserializes a number from 0 to 1.
pub(super) fn fraction<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    bounded(deserializer, 0.0, 1.0)
}

/// Deserializes [`fraction`] for a key that may be absent.
pub(super) fn optional_fraction<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    fraction(deserializer).map(Some)
}

/// Deserializes a positive number, between 1e-6 and 1e6.
pub(super) fn positive<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    bounded(deserializer, 1e-6, 1e6)
}

/// Deserializes [`positive`] for a key that may be absent.
pub(super) fn optional_positive<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    positive(deserializer).map(Some)
}

//! Single values that are read from texts and numbers: units, addresses, patterns, bounded numbers.

use crate::units;
use reelfall_balancer::interface::Time;
use reelfall_routing::table;
use serde::de::{Deserializer, Error as _, Visitor};
use serde::Deserialize;
use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;

/// A value that is read from a text by a function of its own, so that a mistake is told with its place.
pub(super) struct Read<T, R>(pub(super) T, PhantomData<R>);

impl<T, R> Read<T, R> {
    /// A value that stands where a file says nothing.
    pub(super) fn of(value: T) -> Self {
        Read(value, PhantomData)
    }
}

impl<T: Clone, R> Clone for Read<T, R> {
    fn clone(&self) -> Self {
        Read(self.0.clone(), PhantomData)
    }
}

/// How a text becomes a value.
pub(super) trait Reads<T> {
    /// What a number alone lacks.
    const WANTS: &'static str;
    /// Reads it.
    fn read(text: &str) -> Result<T, String>;
}

impl<'de, T, R: Reads<T>> Deserialize<'de> for Read<T, R> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Texts<T, R>(PhantomData<(T, R)>);
        impl<T, R: Reads<T>> Visitor<'_> for Texts<T, R> {
            type Value = T;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(R::WANTS)
            }

            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<T, E> {
                R::read(text).map_err(E::custom)
            }

            fn visit_i64<E: serde::de::Error>(self, n: i64) -> Result<T, E> {
                Err(E::custom(format!("`{n}` is a number alone: {}", R::WANTS)))
            }

            fn visit_f64<E: serde::de::Error>(self, n: f64) -> Result<T, E> {
                Err(E::custom(format!("`{n}` is a number alone: {}", R::WANTS)))
            }
        }
        from.deserialize_any(Texts::<T, R>(PhantomData))
            .map(|value| Read(value, PhantomData))
    }
}

macro_rules! reads {
    ($name:ident, $value:ty, $wants:expr, $read:expr) => {
        pub(super) struct $name;
        impl Reads<$value> for $name {
            const WANTS: &'static str = $wants;
            fn read(text: &str) -> Result<$value, String> {
                let read: fn(&str) -> Result<$value, String> = $read;
                read(text)
            }
        }
    };
}

reads!(AsTime, Time, units::TIMES, |t| units::time(t)
    .map_err(|e| e.to_string()));
reads!(AsSize, u64, units::SIZES, |t| units::size(t)
    .map_err(|e| e.to_string()));
reads!(AsRate, f64, units::RATES, |t| units::rate(t)
    .map_err(|e| e.to_string()));
reads!(
    AsAddress,
    SocketAddr,
    "write an address with its port, as \"127.0.0.1:8443\"",
    |t| t.parse().map_err(|_| format!(
        "`{t}` is no address: write one with its port, as \"127.0.0.1:8443\""
    ))
);
reads!(
    AsHost,
    table::Host,
    "write a host, or `*.` before one, as a text",
    |t| table::Host::read(t).map_err(|e| format!("`{t}`: {e}"))
);
reads!(AsPath, Box<str>, "write a path prefix as a text", |t| {
    table::prefix(t).map_err(|e| format!("`{t}`: {e}"))
});

pub(super) type TimeText = Read<Time, AsTime>;
pub(super) type SizeText = Read<u64, AsSize>;
pub(super) type RateText = Read<f64, AsRate>;
pub(super) type AddressText = Read<SocketAddr, AsAddress>;
pub(super) type HostText = Read<table::Host, AsHost>;
pub(super) type PathText = Read<Box<str>, AsPath>;

/// A number within bounds.
fn within<'de, D: Deserializer<'de>>(from: D, low: f64, high: f64) -> Result<f64, D::Error> {
    let n = f64::deserialize(from)?;
    if (low..=high).contains(&n) {
        return Ok(n);
    }
    Err(D::Error::custom(format!(
        "`{n}` is not between {low} and {high}"
    )))
}

pub(super) fn share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 0.0, 1.0)
}

pub(super) fn positive<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    within(from, 1e-6, 1e6)
}

pub(super) fn some_positive<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    positive(from).map(Some)
}

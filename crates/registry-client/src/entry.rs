//! The description of a server in the data of its entry: a JSON object. Unknown members are ignored.
//!
//! | member | | |
//! | --- | --- | --- |
//! | `name` | text | the server's name; by default that of the entry, without a sequence number behind it |
//! | `address` | `"IP:PORT"`, or `"IP"` with `port` | where it is reached |
//! | `addresses` | list of the same | the first that can be used, if there is no `address` |
//! | `zone`, `type` | text | |
//! | `weight` | number | over 0 up to 1000 |
//! | `state` | `up` (by default) or `draining` | an unknown state counts as `draining` |
//! | `started` | milliseconds of Unix time | when the process began; by default when the entry was made |

use crate::wire::Stat;
use crate::Time;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// Maximum length of the data of an entry, in bytes.
pub const DATA_MOST: usize = 16 << 10;
/// Maximum length of the name of a server, in bytes.
pub const NAME_MOST: usize = 128;
/// Maximum weight.
pub const WEIGHT_MOST: f64 = 1000.0;

/// The server that an entry describes.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The server's name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// Its machine kind.
    pub kind: Option<String>,
    /// Its weight.
    pub weight: f64,
    /// It accepts no new requests, and finishes those that it has.
    pub draining: bool,
    /// When it started.
    pub started: Time,
}

/// Why an entry can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// Its data is longer than any can be.
    #[error("its data has {0} bytes, {DATA_MOST} at most")]
    TooLong(usize),
    /// Its data is no JSON object of the members that are known.
    #[error("its data can't be read: {0}")]
    InvalidData(String),
    /// Its name, or that in its data, can't be one.
    #[error("its name is empty, too long, or holds what can't be shown")]
    InvalidName,
    /// It names no address that can be used.
    #[error("it has no address that can be used")]
    InvalidAddress,
    /// Its weight can't be.
    #[error("its weight is not over 0 up to {WEIGHT_MOST}")]
    InvalidWeight,
    /// It does not end with a session.
    #[error("it is not ephemeral")]
    NotEphemeral,
    /// Others than those that are trusted may change it.
    #[error("others than those that are trusted may change it")]
    UntrustedWriter,
}

/// The JSON object in the data of an entry.
#[derive(Deserialize)]
struct EntryData {
    name: Option<String>,
    address: Option<String>,
    port: Option<u16>,
    #[serde(default)]
    addresses: Vec<String>,
    zone: Option<String>,
    #[serde(rename = "type")]
    kind: Option<String>,
    weight: Option<f64>,
    state: Option<String>,
    started: Option<f64>,
}

/// The name of an entry without the ten digits that a registry puts behind a sequential one.
pub fn without_sequence(child: &str) -> &str {
    let Some(at) = child
        .len()
        .checked_sub(10)
        .filter(|at| child.is_char_boundary(*at))
    else {
        return child;
    };
    let (name, digits) = child.split_at(at);
    let name = name.trim_end_matches(['-', '_']);
    if digits.bytes().all(|b| b.is_ascii_digit()) && !name.is_empty() {
        name
    } else {
        child
    }
}

/// Parses an entry.
///
/// # Errors
/// Says why it can't be used. That concerns nothing but the entry.
pub fn parse(child: &str, data: &[u8], stat: &Stat, now: Time) -> Result<Entry, EntryError> {
    if data.len() > DATA_MOST {
        return Err(EntryError::TooLong(data.len()));
    }
    let data: EntryData =
        serde_json::from_slice(data).map_err(|e| EntryError::InvalidData(e.to_string()))?;
    let name = data
        .name
        .unwrap_or_else(|| without_sequence(child).to_owned());
    let is_valid_text = |text: &str| {
        !text.is_empty() && text.len() <= NAME_MOST && !text.chars().any(char::is_control)
    };
    let is_valid_option = |text: &Option<String>| text.as_deref().is_none_or(is_valid_text);
    if !is_valid_text(&name) || !is_valid_option(&data.zone) || !is_valid_option(&data.kind) {
        return Err(EntryError::InvalidName);
    }
    let candidates = data.address.iter().chain(&data.addresses);
    let address = candidates
        .filter_map(|text| parse_address(text, data.port))
        .next()
        .ok_or(EntryError::InvalidAddress)?;
    let weight = data.weight.unwrap_or(1.0);
    if !(weight > 0.0 && weight <= WEIGHT_MOST) {
        return Err(EntryError::InvalidWeight);
    }
    let created = stat.ctime as f64 / 1e3;
    let started = data
        .started
        .filter(|s| s.is_finite() && *s >= 0.0)
        .map_or(created, |ms| ms / 1e3);
    Ok(Entry {
        name,
        address,
        zone: data.zone,
        kind: data.kind,
        weight,
        draining: data.state.is_some_and(|s| s != "up"),
        // A clock that is ahead makes nothing cold beyond its time.
        started: started.clamp(0.0, now),
    })
}

/// Parses an address that a server can be reached at.
fn parse_address(text: &str, port: Option<u16>) -> Option<SocketAddr> {
    let address: SocketAddr = match (text.parse(), text.parse::<IpAddr>(), port) {
        (Ok(address), ..) => address,
        (_, Ok(ip), Some(port)) => SocketAddr::new(ip, port),
        _ => return None,
    };
    let ip = address.ip();
    (address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()).then_some(address)
}

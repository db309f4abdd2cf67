//! Parses the data of a registry entry: a JSON object that describes a server. Unknown members are ignored.
//!
//! | member | type | meaning |
//! | --- | --- | --- |
//! | `name` | text | the server's name; by default that of the entry, without its sequence number |
//! | `address` | `"IP:PORT"`, or `"IP"` with `port` | where it accepts requests |
//! | `addresses` | list of the same | the first valid one is used, after `address` |
//! | `zone`, `type` | text | |
//! | `weight` | number | over 0 up to 1000 |
//! | `state` | `up` (by default) or `draining` | an unknown state counts as `draining` |
//! | `started` | milliseconds of Unix time | when the process started; by default when the entry was created |

use crate::wire::Stat;
use crate::Time;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// Maximum length of an entry's data, in bytes.
pub const MAX_DATA_LEN: usize = 16 << 10;
/// Maximum length of a server's name, zone or machine type, in bytes.
pub const MAX_NAME_LEN: usize = 128;
/// Number of digits of the sequence number that a registry appends to the name of a sequential entry.
const SEQUENCE_LEN: usize = 10;
/// Maximum weight of a server.
pub const MAX_WEIGHT: f64 = 1000.0;

/// The server that an entry describes.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The name of the server, unique in the list.
    pub name: String,
    /// The address where it accepts requests.
    pub address: SocketAddr,
    /// The zone that the server runs in, if it is known.
    pub zone: Option<String>,
    /// The machine type of the server, if it is known.
    pub kind: Option<String>,
    /// The capacity relative to other servers.
    pub weight: f64,
    /// Whether the server drains: it completes the requests in flight and accepts no new ones.
    pub draining: bool,
    /// When the server's process started.
    pub started: Time,
}

/// Why an entry is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// The data exceeds [`MAX_DATA_LEN`]; its length is given.
    #[error("the data is {0} bytes long; the maximum is {MAX_DATA_LEN}")]
    TooLong(usize),
    /// The data is not a JSON object whose members have the expected types.
    #[error("the data is not a valid JSON object: {0}")]
    InvalidData(String),
    /// The name, zone or machine type is invalid.
    #[error("the name, zone or type is empty, too long, or contains control characters")]
    InvalidName,
    /// No address is valid.
    #[error("the entry has no valid address")]
    InvalidAddress,
    /// The weight is out of range.
    #[error("the weight is not greater than 0 and at most {MAX_WEIGHT}")]
    InvalidWeight,
    /// The entry does not end with a session.
    #[error("the entry is not ephemeral")]
    NotEphemeral,
    /// The access list lets an identity other than the trusted one change the entry.
    #[error("an identity other than the configured owner may change the entry")]
    UntrustedWriter,
}

/// The JSON object in an entry's data.
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

/// The name of an entry without the ten-digit sequence number that a registry appends to it, if there is one.
pub fn strip_sequence_suffix(child: &str) -> &str {
    let Some(split) = child
        .len()
        .checked_sub(SEQUENCE_LEN)
        .filter(|split| child.is_char_boundary(*split))
    else {
        return child;
    };
    let (name, digits) = child.split_at(split);
    let name = name.trim_end_matches(['-', '_']);
    if digits.bytes().all(|b| b.is_ascii_digit()) && !name.is_empty() {
        name
    } else {
        child
    }
}

/// Parses the data of the entry `child`. The metadata supplies the start time if the data has none.
///
/// # Errors
/// If the data is too long, is not a valid object, or has an invalid member.
pub fn parse(child: &str, data: &[u8], stat: &Stat, now: Time) -> Result<Entry, EntryError> {
    if data.len() > MAX_DATA_LEN {
        return Err(EntryError::TooLong(data.len()));
    }
    let data: EntryData =
        serde_json::from_slice(data).map_err(|error| EntryError::InvalidData(error.to_string()))?;
    let name = data
        .name
        .unwrap_or_else(|| strip_sequence_suffix(child).to_owned());
    let is_valid_text = |text: &str| {
        !text.is_empty() && text.len() <= MAX_NAME_LEN && !text.chars().any(char::is_control)
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
    if !(weight > 0.0 && weight <= MAX_WEIGHT) {
        return Err(EntryError::InvalidWeight);
    }
    let created = stat.ctime as f64 / 1e3;
    let started = data
        .started
        .filter(|started_ms| started_ms.is_finite() && *started_ms >= 0.0)
        .map_or(created, |started_ms| started_ms / 1e3);
    Ok(Entry {
        name,
        address,
        zone: data.zone,
        kind: data.kind,
        weight,
        draining: data.state.is_some_and(|state| state != "up"),
        // A start time in the future, from a clock that is ahead, would prolong the slow start.
        started: started.clamp(0.0, now),
    })
}

/// Parses `IP:PORT`, or `IP` combined with `port`. Unspecified and multicast addresses and port 0 are invalid.
fn parse_address(text: &str, port: Option<u16>) -> Option<SocketAddr> {
    let address: SocketAddr = match (text.parse(), text.parse::<IpAddr>(), port) {
        (Ok(address), ..) => address,
        (_, Ok(ip), Some(port)) => SocketAddr::new(ip, port),
        _ => return None,
    };
    let ip = address.ip();
    (address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()).then_some(address)
}

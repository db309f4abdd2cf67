//! Parses the description of a server in the data of an entry: a JSON object. Unknown members are ignored.
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

/// Maximum length of the data of an entry, in bytes.
pub const MAX_DATA_LEN: usize = 16 << 10;
/// Maximum length of the name of a server, in bytes.
pub const MAX_NAME_LEN: usize = 128;
/// Length of a sequence number, in digits.
const SEQUENCE_LEN: usize = 10;
/// Maximum weight.
pub const MAX_WEIGHT: f64 = 1000.0;

/// The server that an entry describes.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The name.
    pub name: String,
    /// The address where it accepts requests.
    pub address: SocketAddr,
    /// The zone.
    pub zone: Option<String>,
    /// The machine type.
    pub kind: Option<String>,
    /// The capacity relative to other servers.
    pub weight: f64,
    /// Whether it drains: it completes the requests in flight and accepts no new ones.
    pub draining: bool,
    /// When the process started.
    pub started: Time,
}

/// Why an entry is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// The data is too long.
    #[error("its data has {0} bytes, {MAX_DATA_LEN} at most")]
    TooLong(usize),
    /// The data is no JSON object with members of these types.
    #[error("its data can't be read: {0}")]
    InvalidData(String),
    /// The name, zone or machine type is invalid.
    #[error("its name is empty, too long, or holds what can't be shown")]
    InvalidName,
    /// No address is valid.
    #[error("it has no address that can be used")]
    InvalidAddress,
    /// The weight is out of range.
    #[error("its weight is not over 0 up to {MAX_WEIGHT}")]
    InvalidWeight,
    /// It does not end with a session.
    #[error("it is not ephemeral")]
    NotEphemeral,
    /// Others than the trusted identity may change it.
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

/// The name of an entry without the sequence number of ten digits that a registry appends.
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

/// Parses an entry.
///
/// # Errors
/// Why it is invalid.
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
        // A start in the future, by a clock that is ahead, would prolong the slow start.
        started: started.clamp(0.0, now),
    })
}

/// Parses an address; `port` is used if it has none. Unspecified and multicast addresses are invalid.
fn parse_address(text: &str, port: Option<u16>) -> Option<SocketAddr> {
    let address: SocketAddr = match (text.parse(), text.parse::<IpAddr>(), port) {
        (Ok(address), ..) => address,
        (_, Ok(ip), Some(port)) => SocketAddr::new(ip, port),
        _ => return None,
    };
    let ip = address.ip();
    (address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()).then_some(address)
}

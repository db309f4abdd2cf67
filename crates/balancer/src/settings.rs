//! The settings of a node as a JSON object, and the names in them.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `wire` | the JSON object with the field names of the protocol, mapped to the types of [`crate::interface`] |
//! | `names` | names of servers, classes, tenants and zones, and their dense identifiers |

mod names;
mod wire;

pub use names::{stable_hash, ListedEndpoint, NameRegistry, NameTable};
pub use wire::{read, DEFAULT_RETRY_BUDGET_RATIO};

use crate::interface::{Settings, Time};
use thiserror::Error;

/// Why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not a settings object in JSON.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// There is no class of requests.
    #[error("there are no classes")]
    NoClasses,
    /// The latency objective or the deadline of the class with this index is not a positive number.
    #[error("class {0} has no usable aim and deadline")]
    InvalidClass(usize),
    /// The current time is not finite, or the maximum number of attempts or the number of nodes is 0.
    #[error("clock, attempts and replicas must be positive numbers")]
    NotPositive,
}

/// The settings of a balancer and of its connections, with the names that its identifiers stand for.
pub struct BalancerConfig {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes, tenants, zones and machine types, by their identifiers in the settings.
    pub names: NameRegistry,
    /// The settings of the connections to the servers.
    pub connections: ConnectionSettings,
}

/// Settings that apply only to a node with real connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// How long the establishment of a connection may take, in seconds.
    pub connect_timeout: Time,
    /// How long after the client's deadline a final answer is still in time, in seconds.
    pub response_slack: Time,
}

/// Checks the settings of a balancer and its start time.
pub(crate) fn check(settings: &Settings, now: Time) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    let is_positive = |time: Time| time.is_finite() && time > 0.0;
    for (index, class) in settings.classes.iter().enumerate() {
        if !is_positive(class.deadline) || !is_positive(class.latency_objective) {
            return Err(SettingsError::InvalidClass(index));
        }
    }
    if !now.is_finite() || settings.limits.max_attempts == 0 || settings.node_count == 0 {
        return Err(SettingsError::NotPositive);
    }
    Ok(())
}

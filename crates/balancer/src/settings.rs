//! The settings that a node is given, as JSON, and the names in them.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `wire` | the JSON object with the field names of the protocol, mapped to the types of [`crate::interface`] |
//! | `names` | names of servers, classes, tenants and zones, and their dense numbers |

mod names;
mod wire;

pub use names::{stable_hash, ListedEndpoint, NameRegistry, NameTable};
pub use wire::{read, DEFAULT_RETRY_BUDGET_RATIO};

use crate::interface::{Settings, Time};
use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// They are not the JSON object of the protocol.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// They name no class of requests.
    #[error("there are no classes")]
    NoClasses,
    /// A class has no positive latency objective and deadline.
    #[error("class {0} has no usable aim and deadline")]
    InvalidClass(usize),
    /// The clock, the number of attempts or the number of nodes is not positive.
    #[error("clock, attempts and replicas must be positive numbers")]
    NotPositive,
}

/// The settings of a balancer and of its connections, with the names of the numbers in them.
pub struct BalancerConfig {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes, tenants, zones and machine types that the settings number.
    pub names: NameRegistry,
    /// The settings of connections to the servers.
    pub connections: ConnectionSettings,
}

/// What concerns only a node that uses sockets.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// A connection that is not established after this time, in seconds, has failed.
    pub connect_timeout: Time,
    /// How long after the client's deadline a final answer still counts, in seconds.
    pub response_slack: Time,
}

/// Checks whether a balancer can work with these settings from this time on.
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

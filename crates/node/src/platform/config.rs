//! The configuration that a platform passes to a node: a JSON file whose path is in an environment variable. It is read
//! at the start and again at each SIGHUP.

use reelfall_balancer::settings;
use serde::Deserialize;
use std::env::VarError;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// The environment variable with the management address, for a configuration file that has none.
const MANAGEMENT_VARIABLE: &str = "ROUTER_MANAGEMENT";

/// The contents of the configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// The node's name.
    #[serde(default)]
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    management: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    /// The resources that the process may use.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The endpoint list of an earlier run, which may be outdated; null if there is none.
    #[serde(default)]
    pub known: serde_json::Value,
    /// The settings of the pool, as JSON text.
    pub settings: Box<serde_json::value::RawValue>,
}

/// The resources that the process may use.
#[derive(Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// Number of sockets.
    pub sockets: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits {
            memory_mb: 128,
            sockets: 1024,
        }
    }
}

/// Why the configuration can't be loaded.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable is not set or not valid Unicode.
    #[error("{CONFIG_VARIABLE} is not set to the path of a file")]
    PathNotSet(#[source] VarError),
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the file system.
        source: io::Error,
    },
    /// The file is not a valid configuration.
    #[error("{path}: {source}")]
    Malformed {
        /// The path of the file.
        path: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The management address in the environment is invalid.
    #[error("{MANAGEMENT_VARIABLE} {text}: {source}")]
    InvalidManagementAddress {
        /// The value of the variable.
        text: String,
        /// The error of the parser.
        source: AddrParseError,
    },
}

impl Config {
    /// Loads the file whose path is in the environment.
    ///
    /// # Errors
    /// If the path is not set, or the file can't be read or is not a valid configuration.
    pub fn load() -> Result<Config, ConfigError> {
        let path = std::env::var(CONFIG_VARIABLE).map_err(ConfigError::PathNotSet)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        serde_json::from_str(&text).map_err(|source| ConfigError::Malformed { path, source })
    }

    /// The management address: the file's, otherwise the environment's; `None` if neither has one.
    ///
    /// # Errors
    /// If the environment's is not a valid address.
    pub fn management_address(&self) -> Result<Option<SocketAddr>, ConfigError> {
        if let Some(address) = self.management {
            return Ok(Some(address));
        }
        let Ok(text) = std::env::var(MANAGEMENT_VARIABLE) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(source) => Err(ConfigError::InvalidManagementAddress { text, source }),
        }
    }

    /// The seed of the node's random numbers: the setting as a hexadecimal number, or the hash of any other text. It
    /// should differ at each start.
    pub fn random_seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| settings::stable_hash(&self.seed))
    }
}

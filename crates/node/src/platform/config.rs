//! The configuration that a platform passes to a node: a JSON file, named by an environment variable.
//!
//! Read at the start and again at each SIGHUP.

use reelfall_balancer::settings;
use serde::Deserialize;
use std::env::VarError;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// The environment variable with the management address, which the configuration file takes precedence over.
const MANAGEMENT_VARIABLE: &str = "ROUTER_MANAGEMENT";

/// The configuration of a node.
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
    /// The limits of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The endpoint list of an earlier run, or null.
    #[serde(default)]
    pub known: serde_json::Value,
    /// The settings of the pool, as JSON text.
    pub settings: Box<serde_json::value::RawValue>,
}

/// The limits of the process.
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

/// Why there is no usable configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("{CONFIG_VARIABLE} names no file")]
    NotNamed(#[source] VarError),
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the file system.
        source: io::Error,
    },
    /// The file is no configuration.
    #[error("{path}: {source}")]
    Malformed {
        /// The path of the file.
        path: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The environment's management address is no address.
    #[error("{MANAGEMENT_VARIABLE} {text}: {source}")]
    InvalidManagementAddress {
        /// The value of the variable.
        text: String,
        /// The error of the parser.
        source: AddrParseError,
    },
}

impl Config {
    /// Loads the file that the environment names.
    ///
    /// # Errors
    /// If no file is named, or it is no configuration.
    pub fn load() -> Result<Config, ConfigError> {
        let path = std::env::var(CONFIG_VARIABLE).map_err(ConfigError::NotNamed)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        serde_json::from_str(&text).map_err(|source| ConfigError::Malformed { path, source })
    }

    /// The management address, if there is one.
    ///
    /// # Errors
    /// If the environment's is no address.
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

    /// The seed of the node's random numbers: any text is one, but two starts must not share it.
    pub fn random_seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| settings::stable_hash(&self.seed))
    }
}

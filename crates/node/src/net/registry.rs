//! Registry sessions over sockets: for pools that follow the entries of a registry, and for this node's own entry.
//!
//! Each user has a session of its own, so that the loss of a session affects only its user.
//! [`reelfall_registry_client`] implements the protocol without I/O; this module does the I/O.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `driver` | a session over its socket: connect, send, read, wait |
//! | `follower` | a pool that follows entries |
//! | `own_entry` | the entry of this node |

mod driver;
mod follower;
mod own_entry;

pub use follower::RegistrySource;
pub use own_entry::OwnEntry;

use bytes::Bytes;
use reelfall_balancer::interface::Time;
use reelfall_config::model;
use reelfall_registry_client::session::{Credentials, Session, SessionConfig};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

/// The scheme of the registry's credentials.
const DIGEST_SCHEME: &str = "digest";

/// Why a registry can't be accessed.
#[derive(Clone, Debug, Error)]
pub enum RegistryAccessError {
    /// The settings name no such registry.
    #[error("no such registry")]
    UnknownRegistry,
    /// The digest file can't be read.
    #[error("{}: {source}", path.display())]
    UnreadableDigest {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: Arc<io::Error>,
    },
    /// The digest file does not contain a name and a password.
    #[error("{}: expected `name:password`", path.display())]
    MalformedDigest {
        /// The file.
        path: PathBuf,
    },
}

/// The addresses, timeouts and credentials for sessions with a registry.
#[derive(Clone, PartialEq)]
pub struct RegistryAccess {
    addresses: Vec<SocketAddr>,
    session_timeout: Time,
    connect_timeout: Time,
    forget_after: Time,
    credentials: Option<Credentials>,
}

impl RegistryAccess {
    /// The access that a registry's settings and its digest file describe.
    ///
    /// # Errors
    /// If the digest file can't be used.
    pub fn from_settings(
        registry: &model::Registry,
    ) -> Result<RegistryAccess, RegistryAccessError> {
        let digest = registry
            .digest_file
            .as_deref()
            .map(read_digest)
            .transpose()?;
        Ok(RegistryAccess {
            addresses: registry.members.clone(),
            session_timeout: registry.session_timeout,
            connect_timeout: registry.connect_timeout,
            forget_after: registry.forget_after,
            credentials: digest.map(|proof| Credentials {
                scheme: DIGEST_SCHEME.to_owned(),
                proof,
            }),
        })
    }

    fn session(&self, now: Time) -> Session {
        let config = SessionConfig {
            members: self.addresses.clone(),
            timeout: self.session_timeout,
            connect_timeout: self.connect_timeout,
            credentials: self.credentials.clone(),
            forget_after: self.forget_after,
        };
        let seed = RandomState::new().hash_one(now.to_bits());
        Session::new(config, now, seed)
    }
}

/// The name and password in a digest file.
fn read_digest(path: &Path) -> Result<Bytes, RegistryAccessError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| RegistryAccessError::UnreadableDigest {
            path: path.to_owned(),
            source: Arc::new(error),
        })?;
    let digest = text.trim();
    if !digest.contains(':') {
        return Err(RegistryAccessError::MalformedDigest {
            path: path.to_owned(),
        });
    }
    Ok(Bytes::copy_from_slice(digest.as_bytes()))
}

//! Registries over sockets: a pool that follows entries, and the entry that this node has itself.
//!
//! Each has a session of its own, so that what costs one its session costs the other nothing. What is to be done is told by
//! [`reelfall_registry_client`]; here it is done.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `driver` | a session over its socket: connect, send, read, wait |
//! | `following` | a pool that follows entries |
//! | `own_entry` | the entry of this node |

mod driver;
mod following;
mod own_entry;

pub use following::Registry;
pub use own_entry::OwnEntry;

use bytes::Bytes;
use reelfall_balancer::interface::Time;
use reelfall_config::model;
use reelfall_registry_client::session::{Session, SessionConfig};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::path::Path;

/// A session's way to a registry.
#[derive(Clone, PartialEq)]
pub struct RegistryAccess {
    addresses: Vec<SocketAddr>,
    session_timeout: Time,
    connect_timeout: Time,
    forget_after: Time,
    auth: Option<(String, Bytes)>,
}

impl RegistryAccess {
    /// What the settings say; the proof is read from its file.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn from_settings(registry: &model::Registry) -> Result<RegistryAccess, String> {
        let proof = |path: &Path| {
            let text =
                std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            match text.trim() {
                proof if proof.contains(':') => Ok((
                    "digest".to_owned(),
                    Bytes::copy_from_slice(proof.as_bytes()),
                )),
                _ => Err(format!("{}: write `name:password`", path.display())),
            }
        };
        Ok(RegistryAccess {
            addresses: registry.members.clone(),
            session_timeout: registry.session_timeout,
            connect_timeout: registry.connect_timeout,
            forget_after: registry.forget_after,
            auth: registry.digest_file.as_deref().map(proof).transpose()?,
        })
    }

    fn session(&self, now: Time) -> Session {
        let config = SessionConfig {
            members: self.addresses.clone(),
            timeout: self.session_timeout,
            connect_within: self.connect_timeout,
            auth: self.auth.clone(),
            forget_after: self.forget_after,
        };
        Session::new(config, now, RandomState::new().hash_one(now.to_bits()))
    }
}

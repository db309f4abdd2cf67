//! Which entries are trusted: those that end with the session of their process, and that only the owner can change.

use super::FollowerConfig;
use crate::entry::EntryError;
use crate::wire::{Acl, Stat};

/// Permissions to change or remove an entry: write, delete, admin.
const CHANGE_PERMISSIONS: i32 = 2 | 8 | 16;

/// An identity in an access list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The scheme, such as `digest`.
    pub scheme: String,
    /// The id in this scheme.
    pub id: String,
}

/// Checks that an entry is ephemeral and that only the owner can change it, as far as the configuration requires it.
pub(super) fn check(config: &FollowerConfig, stat: &Stat, acl: &[Acl]) -> Result<(), EntryError> {
    if !is_ephemeral(stat) && !config.accepts_persistent {
        return Err(EntryError::NotEphemeral);
    }
    let Some(owner) = &config.owner else {
        return Ok(());
    };
    let is_trusted = acl
        .iter()
        .filter(|acl| acl.permissions & CHANGE_PERMISSIONS != 0)
        .all(|acl| names_identity(acl, owner));
    if is_trusted {
        Ok(())
    } else {
        Err(EntryError::UntrustedWriter)
    }
}

/// Whether an entry ends with a session. If the most significant bit of the owner is set, the entry is a container or
/// has a time to live instead (`EphemeralType`).
fn is_ephemeral(stat: &Stat) -> bool {
    stat.ephemeral_owner != 0 && (stat.ephemeral_owner as u64) >> 56 < 0x80
}

/// Whether an item of an access list names an identity. A registry replaces the digest by `x` for sessions without the
/// permission to change the entry.
fn names_identity(acl: &Acl, identity: &Identity) -> bool {
    let Identity { scheme, id } = identity;
    let user = id.split(':').next().unwrap_or_default();
    let is_masked = || scheme == "digest" && acl.id == format!("{user}:x");
    acl.scheme == *scheme && (acl.id == *id || is_masked())
}

//! Access control lists (ACLs) of entries, and the client identities that they grant permissions to.
//!
//! Source: ZooKeeper Programmer's Guide, "Access Control".

use super::jute::Reader;
use super::protocol::{permission, ErrorCode};
use base64::Engine;
use sha1::{Digest, Sha1};
use std::net::IpAddr;

/// One rule of an access list: the permissions that it grants to an identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccessRule {
    /// Permission bits: read 1, write 2, create 4, delete 8, admin 16.
    pub permissions: i32,
    /// Authentication scheme of the identity, such as `world`, `digest` or `ip`.
    pub scheme: String,
    /// Identifier within the scheme.
    pub id: String,
}

impl AccessRule {
    /// Creates a rule that grants `permissions` to the identity `scheme:id`.
    pub fn new(permissions: i32, scheme: &str, id: &str) -> AccessRule {
        AccessRule {
            permissions,
            scheme: scheme.to_owned(),
            id: id.to_owned(),
        }
    }

    /// A rule that grants all permissions to everyone.
    pub(super) fn open() -> AccessRule {
        AccessRule::new(permission::ALL, "world", "anyone")
    }

    /// Whether the rule grants at least one of `permissions` to a client with these identities.
    pub(super) fn grants(&self, permissions: i32, identities: &[Identity]) -> bool {
        let is_anyone = self.scheme == "world" && self.id == "anyone";
        let is_granted = |identity: &Identity| {
            identity.scheme == "super" || (identity.scheme == self.scheme && identity.id == self.id)
        };
        self.permissions & permissions != 0 && (is_anyone || identities.iter().any(is_granted))
    }
}

/// An identity as which a client has authenticated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    pub(super) scheme: String,
    pub(super) id: String,
}

impl Identity {
    /// The user name, without the password hash.
    pub(super) fn user(&self) -> &str {
        user(&self.id)
    }
}

/// The user name in an id of the scheme `digest`, which is `name:hash`.
pub(super) fn user(id: &str) -> &str {
    id.split(':').next().unwrap_or_default()
}

/// The `digest` id of a client that authenticates with `credentials`, which is `name:password`.
pub fn digest_id(credentials: &str) -> String {
    let hash =
        base64::engine::general_purpose::STANDARD.encode(Sha1::digest(credentials.as_bytes()));
    format!("{}:{hash}", user(credentials))
}

/// Decodes an access list. A rule with the scheme `auth` is expanded to one rule for each identity of the client.
pub(super) fn read_acl(
    reader: &mut Reader<'_>,
    identities: &[Identity],
) -> Result<Vec<AccessRule>, ErrorCode> {
    let count = reader.int()?;
    let mut acl = Vec::new();
    for _ in 0..count.max(0) {
        let rule = AccessRule {
            permissions: reader.int()?,
            scheme: reader.text()?,
            id: reader.text()?,
        };
        if rule.scheme == "auth" {
            acl.extend(expand_auth_rule(rule.permissions, identities)?);
        } else if is_valid(&rule) {
            acl.push(rule);
        } else {
            return Err(ErrorCode::InvalidAcl);
        }
    }
    if acl.is_empty() {
        return Err(ErrorCode::InvalidAcl);
    }
    Ok(acl)
}

/// Expands an `auth` rule: one rule for each identity of the client, except those of the scheme `ip`.
fn expand_auth_rule(
    permissions: i32,
    identities: &[Identity],
) -> Result<Vec<AccessRule>, ErrorCode> {
    let rules: Vec<AccessRule> = identities
        .iter()
        .filter(|identity| identity.scheme != "ip")
        .map(|identity| AccessRule::new(permissions, &identity.scheme, &identity.id))
        .collect();
    if rules.is_empty() {
        return Err(ErrorCode::InvalidAcl);
    }
    Ok(rules)
}

fn is_valid(rule: &AccessRule) -> bool {
    match rule.scheme.as_str() {
        "world" => rule.id == "anyone",
        "digest" => rule.id.split(':').count() == 2,
        "ip" => {
            let address = rule.id.split('/').next();
            address.is_some_and(|address| address.parse::<IpAddr>().is_ok())
        }
        _ => false,
    }
}

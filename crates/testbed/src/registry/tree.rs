//! The tree of entries of a registry, and applying transactions to it.
//!
//! Source: ZooKeeper Programmer's Guide, "Data Model". [`RegistryState`](super::state::RegistryState) holds the committed
//! tree and a replica for each member.

use super::acl::{AccessRule, Identity};
use super::jute::Writer;
use super::protocol::ErrorCode;
use std::collections::{BTreeMap, BTreeSet};

/// Owner value that marks a container: an entry that is deleted after its last child.
pub(super) const CONTAINER_OWNER: i64 = i64::MIN;

/// An entry (a znode in ZooKeeper).
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) data: Vec<u8>,
    pub(super) acl: Vec<AccessRule>,
    /// Transaction that created the entry.
    pub(super) created_zxid: i64,
    /// Transaction that last changed the data.
    pub(super) modified_zxid: i64,
    /// Transaction that last changed the list of children.
    pub(super) children_zxid: i64,
    /// Creation time, in Unix milliseconds.
    pub(super) created_ms: i64,
    /// Time of the last change of the data, in Unix milliseconds.
    pub(super) modified_ms: i64,
    pub(super) version: i32,
    pub(super) children_version: i32,
    pub(super) acl_version: i32,
    /// Session id of an ephemeral entry, marker value of a container or of an entry with a time to live, otherwise 0.
    pub(super) owner: i64,
    /// Names of the children.
    pub(super) children: BTreeSet<String>,
}

impl Entry {
    fn new(data: Vec<u8>, acl: Vec<AccessRule>, owner: i64, zxid: i64, time_ms: i64) -> Entry {
        Entry {
            data,
            acl,
            created_zxid: zxid,
            modified_zxid: zxid,
            children_zxid: zxid,
            created_ms: time_ms,
            modified_ms: time_ms,
            version: 0,
            children_version: 0,
            acl_version: 0,
            owner,
            children: BTreeSet::new(),
        }
    }

    /// Encodes the record `Stat`.
    pub(super) fn write_stat(&self, writer: Writer) -> Writer {
        writer
            .long(self.created_zxid)
            .long(self.modified_zxid)
            .long(self.created_ms)
            .long(self.modified_ms)
            .int(self.version)
            .int(self.children_version)
            .int(self.acl_version)
            .long(self.owner)
            .int(self.data.len() as i32)
            .int(self.children.len() as i32)
            .long(self.children_zxid)
    }

    /// Whether the access list grants at least one of `permissions`.
    pub(super) fn grants(&self, permissions: i32, identities: &[Identity]) -> bool {
        let mut rules = self.acl.iter();
        self.acl.is_empty() || rules.any(|rule| rule.grants(permissions, identities))
    }

    /// # Errors
    /// Fails if the access list grants none of these permissions.
    pub(super) fn require(
        &self,
        permissions: i32,
        identities: &[Identity],
    ) -> Result<(), ErrorCode> {
        if self.grants(permissions, identities) {
            Ok(())
        } else {
            Err(ErrorCode::NoAuth)
        }
    }

    /// Whether the entry is a container that has lost its last child.
    pub(super) fn is_abandoned_container(&self) -> bool {
        self.owner == CONTAINER_OWNER && self.children_version > 0 && self.children.is_empty()
    }
}

/// A validated change of one entry, which every member applies with the same result.
#[derive(Clone, Debug)]
pub(super) enum Change {
    Create {
        path: String,
        data: Vec<u8>,
        acl: Vec<AccessRule>,
        owner: i64,
    },
    Delete {
        path: String,
    },
    SetData {
        path: String,
        data: Vec<u8>,
    },
    SetAcl {
        path: String,
        acl: Vec<AccessRule>,
    },
}

/// Changes that are applied atomically.
#[derive(Clone, Debug)]
pub(super) struct Transaction {
    pub(super) zxid: i64,
    /// Commit time, in Unix milliseconds.
    pub(super) time_ms: i64,
    pub(super) changes: Vec<Change>,
}

/// A change that can trigger watches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TreeEvent {
    Created(String),
    Deleted(String),
    DataChanged(String),
}

/// Path of the parent of an entry.
pub(super) fn parent(path: &str) -> &str {
    split_name(path).0
}

/// Splits a path into the path of the parent and the name of the entry.
fn split_name(path: &str) -> (&str, &str) {
    match path.rsplit_once('/') {
        Some(("", name)) => ("/", name),
        Some((parent, name)) => (parent, name),
        None => ("/", path),
    }
}

/// Whether the path is valid for an entry.
pub(super) fn is_valid_path(path: &str) -> bool {
    if path == "/" {
        return true;
    }
    let is_private_use = |c: char| ('\u{e000}'..='\u{f8ff}').contains(&c);
    let is_allowed = |c: char| !(c.is_control() || is_private_use(c) || c >= '\u{fff0}');
    let is_valid_name = |name: &str| !name.is_empty() && name != "." && name != "..";
    path.starts_with('/') && path.chars().all(is_allowed) && path[1..].split('/').all(is_valid_name)
}

/// All entries as of the transaction `zxid`.
#[derive(Clone, Debug)]
pub(super) struct Tree {
    pub(super) entries: BTreeMap<String, Entry>,
    /// Id of the last applied transaction.
    pub(super) zxid: i64,
}

impl Default for Tree {
    fn default() -> Self {
        let root = Entry::new(vec![], vec![AccessRule::open()], 0, 0, 0);
        Tree {
            entries: [("/".to_owned(), root)].into(),
            zxid: 0,
        }
    }
}

impl Tree {
    /// # Errors
    /// Fails if there is no entry with this path.
    pub(super) fn entry(&self, path: &str) -> Result<&Entry, ErrorCode> {
        self.entries.get(path).ok_or(ErrorCode::NoNode)
    }

    /// Applies a transaction; returns the events for watches, in order.
    pub(super) fn apply(&mut self, transaction: &Transaction) -> Vec<TreeEvent> {
        self.zxid = transaction.zxid;
        let changes = transaction.changes.iter();
        changes
            .filter_map(|change| self.apply_change(change, transaction.time_ms))
            .collect()
    }

    fn apply_change(&mut self, change: &Change, time_ms: i64) -> Option<TreeEvent> {
        let zxid = self.zxid;
        match change {
            Change::Create {
                path,
                data,
                acl,
                owner,
            } => {
                let entry = Entry::new(data.clone(), acl.clone(), *owner, zxid, time_ms);
                self.entries.insert(path.clone(), entry);
                self.update_children(path, |children, name| {
                    children.insert(name.to_owned());
                });
                Some(TreeEvent::Created(path.clone()))
            }
            Change::Delete { path } => {
                self.entries.remove(path);
                self.update_children(path, |children, name| {
                    children.remove(name);
                });
                Some(TreeEvent::Deleted(path.clone()))
            }
            Change::SetData { path, data } => {
                let entry = self.entries.get_mut(path)?;
                entry.data.clone_from(data);
                entry.modified_zxid = zxid;
                entry.modified_ms = time_ms;
                entry.version += 1;
                Some(TreeEvent::DataChanged(path.clone()))
            }
            Change::SetAcl { path, acl } => {
                let entry = self.entries.get_mut(path)?;
                entry.acl.clone_from(acl);
                entry.acl_version += 1;
                None
            }
        }
    }

    /// Updates the list of children of an entry's parent.
    fn update_children(&mut self, path: &str, change: impl FnOnce(&mut BTreeSet<String>, &str)) {
        let (parent, name) = split_name(path);
        if let Some(parent) = self.entries.get_mut(parent) {
            change(&mut parent.children, name);
            parent.children_version += 1;
            parent.children_zxid = self.zxid;
        }
    }

    /// The paths of the ephemeral entries of a session.
    pub(super) fn owned_by(&self, session: i64) -> Vec<String> {
        let owned = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.owner == session);
        owned.map(|(path, _)| path.clone()).collect()
    }

    /// The changes that delete the ephemeral entries of a session.
    pub(super) fn delete_owned_by(&self, session: i64) -> Vec<Change> {
        let paths = self.owned_by(session).into_iter();
        paths.map(|path| Change::Delete { path }).collect()
    }
}

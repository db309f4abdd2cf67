//! The entries of a registry, and how transactions change them.
//!
//! Source: ZooKeeper Programmer's Guide, "Data Model". [`RegistryState`](super::state::RegistryState) keeps the committed
//! tree and one for each member.

use super::acl::{AccessRule, Identity};
use super::jute::Writer;
use super::protocol::ErrorCode;
use std::collections::{BTreeMap, BTreeSet};

/// Owner of a container.
pub(super) const CONTAINER_OWNER: i64 = i64::MIN;

/// An entry.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) data: Vec<u8>,
    pub(super) acl: Vec<AccessRule>,
    /// Transaction that created it.
    pub(super) created_zxid: i64,
    /// Transaction that changed its data last.
    pub(super) modified_zxid: i64,
    /// Transaction that changed the list of its children last.
    pub(super) children_zxid: i64,
    /// Time of its creation, in milliseconds of Unix time.
    pub(super) created_ms: i64,
    /// Time of the last change of its data, in milliseconds of Unix time.
    pub(super) modified_ms: i64,
    pub(super) version: i32,
    pub(super) children_version: i32,
    pub(super) acl_version: i32,
    /// The session of an ephemeral entry; the mark of a container or of an entry with a time to live; or else 0.
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

    /// Writes the record `Stat`.
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

    /// Whether the access list grants one of these permissions.
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

    /// Whether it is a container that has lost its last child.
    pub(super) fn is_abandoned_container(&self) -> bool {
        self.owner == CONTAINER_OWNER && self.children_version > 0 && self.children.is_empty()
    }
}

/// A change of one entry. It has been validated, so that every member applies it alike.
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

/// Changes that are applied together.
#[derive(Clone, Debug)]
pub(super) struct Transaction {
    pub(super) zxid: i64,
    /// In milliseconds of Unix time.
    pub(super) time_ms: i64,
    pub(super) changes: Vec<Change>,
}

/// A change that watches report.
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

/// Path of the parent, and the name of the entry within it.
fn split_name(path: &str) -> (&str, &str) {
    match path.rsplit_once('/') {
        Some(("", name)) => ("/", name),
        Some((parent, name)) => (parent, name),
        None => ("/", path),
    }
}

/// Whether an entry may have this path.
pub(super) fn is_valid_path(path: &str) -> bool {
    if path == "/" {
        return true;
    }
    let is_private_use = |c: char| ('\u{e000}'..='\u{f8ff}').contains(&c);
    let is_allowed = |c: char| !(c.is_control() || is_private_use(c) || c >= '\u{fff0}');
    let is_valid_name = |name: &str| !name.is_empty() && name != "." && name != "..";
    path.starts_with('/') && path.chars().all(is_allowed) && path[1..].split('/').all(is_valid_name)
}

/// All entries, after the transactions up to one of them.
#[derive(Clone, Debug)]
pub(super) struct Tree {
    pub(super) entries: BTreeMap<String, Entry>,
    /// The last transaction that was applied.
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

    /// Applies a transaction; returns what watches report, in order.
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

    /// Changes the list of children that an entry is in.
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

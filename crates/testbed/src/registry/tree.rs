//! A registry's entries, and what a transaction does to them.
//!
//! Source: ZooKeeper Programmer's Guide, "Data Model" and "Access Control"; the record definitions for the numbers.

use super::jute::{In, Out};
use std::collections::{BTreeMap, BTreeSet};

/// Errors, by their numbers.
pub const OK: i32 = 0;
pub const INCONSISTENT: i32 = -2;
pub const UNIMPLEMENTED: i32 = -6;
pub const BAD_ARGUMENTS: i32 = -8;
pub const NO_NODE: i32 = -101;
pub const NO_AUTH: i32 = -102;
pub const BAD_VERSION: i32 = -103;
pub const NO_CHILDREN_FOR_EPHEMERALS: i32 = -108;
pub const NODE_EXISTS: i32 = -110;
pub const NOT_EMPTY: i32 = -111;
pub const INVALID_ACL: i32 = -114;
pub const AUTH_FAILED: i32 = -115;
pub const NO_WATCHER: i32 = -121;

/// Permissions.
pub const READ: i32 = 1;
pub const WRITE: i32 = 2;
pub const CREATE: i32 = 4;
pub const DELETE: i32 = 8;
pub const ADMIN: i32 = 16;

/// Owner of a container.
pub const CONTAINER: i64 = i64::MIN;

/// One line of an access list: permissions, scheme, id.
pub type Acl = (i32, String, String);
/// Who somebody is known as: scheme and id.
pub type Identity = (String, String);

/// An entry.
#[derive(Clone, Debug)]
pub struct Node {
    pub data: Vec<u8>,
    pub acl: Vec<Acl>,
    pub czxid: i64,
    pub mzxid: i64,
    pub pzxid: i64,
    pub ctime: i64,
    pub mtime: i64,
    pub version: i32,
    pub cversion: i32,
    pub aversion: i32,
    pub owner: i64,
    pub children: BTreeSet<String>,
}

impl Node {
    pub fn stat(&self, out: Out) -> Out {
        let out = out
            .long(self.czxid)
            .long(self.mzxid)
            .long(self.ctime)
            .long(self.mtime);
        let out = out.int(self.version).int(self.cversion).int(self.aversion);
        // Containers and entries with a time to live tell no owner but their mark.
        let out = out
            .long(self.owner)
            .int(self.data.len() as i32)
            .int(self.children.len() as i32);
        out.long(self.pzxid)
    }

    /// Whether somebody may do all of this.
    pub fn allows(&self, permissions: i32, who: &[Identity]) -> bool {
        let grants = |(granted, scheme, id): &Acl| {
            granted & permissions != 0
                && ((scheme == "world" && id == "anyone")
                    || who.iter().any(|(s, i)| s == scheme && i == id)
                    || who.iter().any(|(s, _)| s == "super"))
        };
        self.acl.is_empty() || self.acl.iter().any(grants)
    }
}

/// What a transaction does, decided beforehand, so that every member does the same.
#[derive(Clone, Debug)]
pub enum Change {
    Create {
        path: String,
        data: Vec<u8>,
        acl: Vec<Acl>,
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
        acl: Vec<Acl>,
    },
}

/// Some changes that happen as one.
#[derive(Clone, Debug)]
pub struct Txn {
    pub zxid: i64,
    pub time: i64,
    pub changes: Vec<Change>,
}

/// What watches hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    Created(String),
    Deleted(String),
    Data(String),
}

/// All entries as one member has them.
#[derive(Clone, Debug)]
pub struct Tree {
    pub nodes: BTreeMap<String, Node>,
    pub zxid: i64,
}

/// The path above, and the last name.
pub fn parent(path: &str) -> (&str, &str) {
    match path.rsplit_once('/') {
        Some(("", name)) => ("/", name),
        Some((above, name)) => (above, name),
        None => ("/", path),
    }
}

/// Whether a path can be one.
pub fn valid(path: &str) -> bool {
    if path == "/" {
        return true;
    }
    let plain =
        |c: char| !(c.is_control() || ('\u{e000}'..='\u{f8ff}').contains(&c) || c >= '\u{fff0}');
    path.starts_with('/')
        && path.chars().all(plain)
        && path[1..]
            .split('/')
            .all(|s| !s.is_empty() && s != "." && s != "..")
}

impl Default for Tree {
    fn default() -> Self {
        let root = Node {
            data: vec![],
            acl: vec![(31, "world".to_owned(), "anyone".to_owned())],
            czxid: 0,
            mzxid: 0,
            pzxid: 0,
            ctime: 0,
            mtime: 0,
            version: 0,
            cversion: 0,
            aversion: 0,
            owner: 0,
            children: BTreeSet::new(),
        };
        Tree {
            nodes: [("/".to_owned(), root)].into(),
            zxid: 0,
        }
    }
}

impl Tree {
    /// Does what a transaction says and gives what watches hear, in its order.
    pub fn apply(&mut self, txn: &Txn) -> Vec<Heard> {
        self.zxid = txn.zxid;
        let mut heard = Vec::new();
        for change in &txn.changes {
            match change {
                Change::Create {
                    path,
                    data,
                    acl,
                    owner,
                } => {
                    let node = Node {
                        data: data.clone(),
                        acl: acl.clone(),
                        czxid: txn.zxid,
                        mzxid: txn.zxid,
                        pzxid: txn.zxid,
                        ctime: txn.time,
                        mtime: txn.time,
                        version: 0,
                        cversion: 0,
                        aversion: 0,
                        owner: *owner,
                        children: BTreeSet::new(),
                    };
                    self.nodes.insert(path.clone(), node);
                    let (above, name) = parent(path);
                    if let Some(above) = self.nodes.get_mut(above) {
                        above.children.insert(name.to_owned());
                        above.cversion += 1;
                        above.pzxid = txn.zxid;
                    }
                    heard.push(Heard::Created(path.clone()));
                }
                Change::Delete { path } => {
                    self.nodes.remove(path);
                    let (above, name) = parent(path);
                    if let Some(above) = self.nodes.get_mut(above) {
                        above.children.remove(name);
                        above.cversion += 1;
                        above.pzxid = txn.zxid;
                    }
                    heard.push(Heard::Deleted(path.clone()));
                }
                Change::SetData { path, data } => {
                    if let Some(node) = self.nodes.get_mut(path) {
                        (node.data, node.mzxid, node.mtime) = (data.clone(), txn.zxid, txn.time);
                        node.version += 1;
                        heard.push(Heard::Data(path.clone()));
                    }
                }
                Change::SetAcl { path, acl } => {
                    if let Some(node) = self.nodes.get_mut(path) {
                        node.acl = acl.clone();
                        node.aversion += 1;
                    }
                }
            }
        }
        heard
    }

    /// The paths that end with a session.
    pub fn owned(&self, session: i64) -> Vec<String> {
        self.nodes
            .iter()
            .filter(|(_, n)| n.owner == session)
            .map(|(p, _)| p.clone())
            .collect()
    }
}

/// An access list, as it came; somebody who is known is put in place of `auth`.
///
/// # Errors
/// If it can't be one.
pub fn read_acl(r: &mut In, who: &[Identity]) -> Result<Vec<Acl>, i32> {
    let n = r.int().ok_or(BAD_ARGUMENTS)?;
    let mut acl = Vec::new();
    for _ in 0..n.max(0) {
        let mut line = || Some((r.int()?, r.text()?, r.text()?));
        let (permissions, scheme, id) = line().ok_or(BAD_ARGUMENTS)?;
        match scheme.as_str() {
            "auth" => {
                let known: Vec<_> = who.iter().filter(|(s, _)| s != "ip").collect();
                if known.is_empty() {
                    return Err(INVALID_ACL);
                }
                acl.extend(
                    known
                        .into_iter()
                        .map(|(s, i)| (permissions, s.clone(), i.clone())),
                );
            }
            "world" if id == "anyone" => acl.push((permissions, scheme, id)),
            "digest" if id.split(':').count() == 2 => acl.push((permissions, scheme, id)),
            "ip" if id
                .split('/')
                .next()
                .is_some_and(|ip| ip.parse::<std::net::IpAddr>().is_ok()) =>
            {
                acl.push((permissions, scheme, id));
            }
            _ => return Err(INVALID_ACL),
        }
    }
    if acl.is_empty() {
        return Err(INVALID_ACL);
    }
    Ok(acl)
}

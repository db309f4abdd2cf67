//! Entries made, changed and removed, alone or in batches.

use super::{allowed, Answer};
use crate::registry::jute::{In, Out};
use crate::registry::tree::{self, read_acl, Change, Identity, Tree};
use crate::registry::world::{unix_ms, World};
use std::time::Duration;

/// What is told of a write.
pub(super) struct Made {
    op: i32,
    path: String,
    pub(super) ttl: Option<Duration>,
}

impl Made {
    pub(super) fn body(&self, tree: &Tree, out: Out) -> Out {
        let node = tree.nodes.get(&self.path);
        match (self.op, node) {
            (1, _) => out.text(&self.path),
            (15 | 19 | 21, Some(node)) => node.stat(out.text(&self.path)),
            (5 | 7, Some(node)) => node.stat(out),
            _ => out,
        }
    }
}

fn fits(is: i32, wanted: i32) -> Result<(), i32> {
    (wanted == -1 || is == wanted)
        .then_some(())
        .ok_or(tree::BAD_VERSION)
}

pub(super) fn check(tree: &Tree, r: &mut In) -> Result<(), i32> {
    let path = r.text().ok_or(tree::BAD_ARGUMENTS)?;
    let version = r.int().ok_or(tree::BAD_ARGUMENTS)?;
    fits(tree.nodes.get(&path).ok_or(tree::NO_NODE)?.version, version)
}

pub(super) fn prepare(
    tree: &Tree,
    op: i32,
    r: &mut In,
    who: &[Identity],
    session: i64,
) -> Result<(Change, Made), i32> {
    let path = r
        .text()
        .filter(|p| tree::valid(p))
        .ok_or(tree::BAD_ARGUMENTS)?;
    let made = |path: &str| Made {
        op,
        path: path.to_owned(),
        ttl: None,
    };
    match op {
        1 | 15 | 19 | 21 => create(tree, op, path, r, who, session),
        2 => {
            let version = r.int().ok_or(tree::BAD_ARGUMENTS)?;
            if path == "/" {
                return Err(tree::BAD_ARGUMENTS);
            }
            let node = tree.nodes.get(&path).ok_or(tree::NO_NODE)?;
            let above = tree.nodes.get(tree::parent(&path).0).ok_or(tree::NO_NODE)?;
            allowed(above, tree::DELETE, who)?;
            fits(node.version, version)?;
            if !node.children.is_empty() {
                return Err(tree::NOT_EMPTY);
            }
            let made = made(&path);
            Ok((Change::Delete { path }, made))
        }
        5 => {
            let data = r.buffer().ok_or(tree::BAD_ARGUMENTS)?.to_vec();
            let version = r.int().ok_or(tree::BAD_ARGUMENTS)?;
            let node = tree.nodes.get(&path).ok_or(tree::NO_NODE)?;
            allowed(node, tree::WRITE, who)?;
            fits(node.version, version)?;
            let made = made(&path);
            Ok((Change::SetData { path, data }, made))
        }
        _ => {
            let acl = read_acl(r, who)?;
            let version = r.int().ok_or(tree::BAD_ARGUMENTS)?;
            let node = tree.nodes.get(&path).ok_or(tree::NO_NODE)?;
            allowed(node, tree::ADMIN, who)?;
            fits(node.aversion, version)?;
            let made = made(&path);
            Ok((Change::SetAcl { path, acl }, made))
        }
    }
}

fn create(
    tree: &Tree,
    op: i32,
    path: String,
    r: &mut In,
    who: &[Identity],
    session: i64,
) -> Result<(Change, Made), i32> {
    let data = r.buffer().ok_or(tree::BAD_ARGUMENTS)?.to_vec();
    let acl = read_acl(r, who)?;
    let flags = r.int().ok_or(tree::BAD_ARGUMENTS)?;
    let (owner, sequential, ttl) = match flags {
        0 => (0, false, false),
        1 => (session, false, false),
        2 => (0, true, false),
        3 => (session, true, false),
        4 => (tree::CONTAINER, false, false),
        5 => (0, false, true),
        6 => (0, true, true),
        _ => return Err(tree::BAD_ARGUMENTS),
    };
    let (mut owner, mut lives) = (owner, None);
    if ttl {
        let ms = r
            .long()
            .filter(|ms| (1..1 << 40).contains(ms))
            .ok_or(tree::BAD_ARGUMENTS)?;
        (owner, lives) = ((0xff << 56) | ms, Some(Duration::from_millis(ms as u64)));
    }
    let (above, _) = tree::parent(&path);
    let above = tree.nodes.get(above).ok_or(tree::NO_NODE)?;
    allowed(above, tree::CREATE, who)?;
    let path = if sequential {
        format!("{path}{:010}", above.cversion)
    } else {
        path
    };
    if tree.nodes.contains_key(&path) {
        return Err(tree::NODE_EXISTS);
    }
    // The owner of an entry with a time to live, or of a container, has its top bit set.
    if above.owner > 0 {
        return Err(tree::NO_CHILDREN_FOR_EPHEMERALS);
    }
    let made = Made {
        op,
        path: path.clone(),
        ttl: lives,
    };
    Ok((
        Change::Create {
            path,
            data,
            acl,
            owner,
        },
        made,
    ))
}

/// All of it or nothing.
pub(super) fn multi(world: &mut World, r: &mut In, who: &[Identity], session: i64) -> Answer {
    let mut tree = world.tree.clone();
    let zxid = tree.zxid + 1;
    let (mut changes, mut results, mut failed) = (vec![], vec![], None);
    loop {
        let (op, done) = (
            r.int().ok_or(tree::BAD_ARGUMENTS)?,
            r.bool().ok_or(tree::BAD_ARGUMENTS)?,
        );
        r.int().ok_or(tree::BAD_ARGUMENTS)?;
        if done {
            break;
        }
        if failed.is_some() {
            // What comes after the one that failed was never looked at.
            results.push((op, Err(tree::INCONSISTENT)));
            skip(op, r)?;
            continue;
        }
        let result = match op {
            13 => check(&tree, r).map(|()| None),
            1 | 2 | 5 | 15 | 19 | 21 => prepare(&tree, op, r, who, session).map(Some),
            _ => return Err(tree::UNIMPLEMENTED),
        };
        match result {
            Ok(None) => results.push((op, Ok(Out::default()))),
            Ok(Some((change, made))) => {
                if let (Change::Create { path, .. }, Some(ttl)) = (&change, made.ttl) {
                    world.ttl.insert(path.clone(), ttl);
                }
                tree.apply(&tree::Txn {
                    zxid,
                    time: unix_ms(),
                    changes: vec![change.clone()],
                });
                changes.push(change);
                results.push((op, Ok(made.body(&tree, Out::default()))));
            }
            Err(error) => {
                failed = Some(results.len());
                results.push((op, Err(error)));
            }
        }
    }
    let mut out = Out::default();
    for (n, (op, result)) in results.iter().enumerate() {
        out = match (failed, result) {
            (None, Ok(body)) => out.int(*op).bool(false).int(0).raw(&body.0),
            // Those before it were undone.
            (Some(at), Ok(_)) if n < at => out.int(-1).bool(false).int(0).int(0),
            (_, Ok(_)) => out.int(-1).bool(false).int(0).int(tree::INCONSISTENT),
            (_, Err(error)) => out.int(-1).bool(false).int(*error).int(*error),
        };
    }
    let out = out.int(-1).bool(true).int(-1);
    match failed {
        None if !changes.is_empty() => Ok((out, world.commit(changes))),
        _ => Ok((out, 0)),
    }
}

/// Passes over an operation of a batch.
fn skip(op: i32, r: &mut In) -> Result<(), i32> {
    let mut fields = || {
        r.text()?;
        match op {
            1 | 15 | 19 | 21 => {
                r.buffer()?;
                for _ in 0..r.int()?.max(0) {
                    r.int()?;
                    r.text()?;
                    r.text()?;
                }
                r.int()?;
                if op == 21 {
                    r.long()?;
                }
            }
            5 => {
                r.buffer()?;
                r.int()?;
            }
            _ => {
                r.int()?;
            }
        }
        Some(())
    };
    fields().ok_or(tree::BAD_ARGUMENTS)
}

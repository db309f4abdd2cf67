//! Watches set again, looked up and removed.

use super::Answer;
use crate::registry::jute::{In, Out};
use crate::registry::tree;
use crate::registry::world::{ConnId, Member, World};

/// Whether a connection has a watch, and removes it if it is asked to.
pub(super) fn watch_known(
    world: &mut World,
    conn: ConnId,
    member: usize,
    op: i32,
    r: &mut In,
) -> Answer {
    let path = r.text().ok_or(tree::BAD_ARGUMENTS)?;
    let kind = r.int().ok_or(tree::BAD_ARGUMENTS)?;
    let watches = &mut world.members[member].watches;
    let mut found = false;
    for (of, kinds) in [(&mut watches.child, [1, 3]), (&mut watches.data, [2, 3])] {
        if let Some(set) = of.get_mut(&path).filter(|_| kinds.contains(&kind)) {
            found |= if op == 18 {
                set.remove(&conn)
            } else {
                set.contains(&conn)
            };
        }
    }
    if let Some(set) = watches.persistent.get_mut(&path) {
        let recursive = set.get(&conn).copied();
        if recursive.is_some_and(|r| kind == 3 || (kind == 4 && !r) || (kind == 5 && r)) {
            found = true;
            if op == 18 {
                set.remove(&conn);
            }
        }
    }
    if found {
        Ok((Out::default(), 0))
    } else {
        Err(tree::NO_WATCHER)
    }
}

/// A client that has come back sets its watches again, and hears at once what they would have told.
pub(super) fn set_watches(
    world: &mut World,
    conn: ConnId,
    member: usize,
    op: i32,
    r: &mut In,
) -> Answer {
    let mut fields = || {
        let (seen, data, exist, child) = (r.long()?, r.texts()?, r.texts()?, r.texts()?);
        let (plain, recursive) = if op == 105 {
            (r.texts()?, r.texts()?)
        } else {
            (vec![], vec![])
        };
        Some((seen, data, exist, child, plain, recursive))
    };
    let (seen, data, exist, child, plain, recursive) = fields().ok_or(tree::BAD_ARGUMENTS)?;
    let Member { tree, watches, .. } = &mut world.members[member];
    let mut due: Vec<(i32, String)> = Vec::new();
    for path in data {
        match tree.nodes.get(&path) {
            None => due.push((2, path)),
            Some(n) if n.mzxid > seen => due.push((3, path)),
            Some(_) => drop(watches.data.entry(path).or_default().insert(conn)),
        }
    }
    for path in exist {
        match tree.nodes.get(&path) {
            Some(_) => due.push((1, path)),
            None => drop(watches.data.entry(path).or_default().insert(conn)),
        }
    }
    for path in child {
        match tree.nodes.get(&path) {
            None => due.push((2, path)),
            Some(n) if n.pzxid > seen => due.push((4, path)),
            Some(_) => drop(watches.child.entry(path).or_default().insert(conn)),
        }
    }
    for (paths, is_recursive) in [(plain, false), (recursive, true)] {
        for path in paths {
            watches
                .persistent
                .entry(path)
                .or_default()
                .insert(conn, is_recursive);
        }
    }
    let zxid = tree.zxid;
    for (kind, path) in due {
        world.notify(vec![conn], kind, &path, zxid);
    }
    Ok((Out::default(), 0))
}

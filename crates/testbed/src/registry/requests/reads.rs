//! Entries read, alone or in batches.

use super::{allowed, Answer};
use crate::registry::jute::{In, Out};
use crate::registry::tree::{self, Identity, Tree};
use crate::registry::world::{ConnId, Member, World};

pub(super) fn multi_read(tree: &Tree, r: &mut In, who: &[Identity]) -> Out {
    let mut out = Out::default();
    while let (Some(op), Some(false), Some(_)) = (r.int(), r.bool(), r.int()) {
        let read = || -> Result<Out, i32> {
            let path = r.text().ok_or(tree::BAD_ARGUMENTS)?;
            let _watch = r.bool();
            let node = tree.nodes.get(&path).ok_or(tree::NO_NODE)?;
            allowed(node, tree::READ, who)?;
            Ok(match op {
                4 => node.stat(Out::default().buffer(&node.data)),
                _ => Out::default().texts(node.children.iter()),
            })
        };
        let mut read = read;
        out = match read() {
            Ok(body) => out.int(op).bool(false).int(0).raw(&body.0),
            Err(error) => out.int(-1).bool(false).int(error).int(error),
        };
    }
    out.int(-1).bool(true).int(-1)
}

pub(super) fn read(
    world: &mut World,
    conn: ConnId,
    member: usize,
    session: i64,
    op: i32,
    r: &mut In,
    who: &[Identity],
) -> Answer {
    if op == 107 {
        let out = Out::default().int(who.len() as i32);
        let line = |out: Out, (scheme, id): &Identity| {
            out.text(scheme)
                .text(id.split(':').next().unwrap_or_default())
        };
        return Ok((who.iter().fold(out, line), 0));
    }
    let path = r.text().ok_or(tree::BAD_ARGUMENTS)?;
    if op == 103 {
        let owned = world.members[member].tree.owned(session);
        let under: Vec<&String> = owned.iter().filter(|p| p.starts_with(&path)).collect();
        return Ok((Out::default().texts(under.into_iter()), 0));
    }
    if !tree::valid(&path) {
        return Err(tree::BAD_ARGUMENTS);
    }
    let watched = matches!(op, 3 | 4 | 8 | 12) && r.bool().ok_or(tree::BAD_ARGUMENTS)?;
    let Member { tree, watches, .. } = &mut world.members[member];
    let Some(node) = tree.nodes.get(&path) else {
        // Whoever asks whether it is there hears of its making.
        if op == 3 && watched {
            watches.data.entry(path).or_default().insert(conn);
        }
        return Err(tree::NO_NODE);
    };
    if !matches!(op, 3 | 6) {
        allowed(node, tree::READ, who)?;
    }
    if watched {
        let of = if matches!(op, 8 | 12) {
            &mut watches.child
        } else {
            &mut watches.data
        };
        of.entry(path.clone()).or_default().insert(conn);
    }
    let out = Out::default();
    Ok((
        match op {
            3 => node.stat(out),
            4 => node.stat(out.buffer(&node.data)),
            6 => {
                allowed(node, tree::READ | tree::ADMIN, who)?;
                let admin = node.allows(tree::ADMIN, who);
                let line = |out: Out, (permissions, scheme, id): &tree::Acl| {
                    // The hash is shown to whoever may change the list.
                    let user = id.split(':').next().unwrap_or_default();
                    let id = if scheme == "digest" && !admin {
                        format!("{user}:x")
                    } else {
                        id.clone()
                    };
                    out.int(*permissions).text(scheme).text(&id)
                };
                node.stat(node.acl.iter().fold(out.int(node.acl.len() as i32), line))
            }
            8 => out.texts(node.children.iter()),
            12 => node.stat(out.texts(node.children.iter())),
            _ => {
                let under = if path == "/" {
                    path.clone()
                } else {
                    format!("{path}/")
                };
                let n = tree
                    .nodes
                    .keys()
                    .filter(|p| p.starts_with(&under) && **p != path)
                    .count();
                out.int(n as i32)
            }
        },
        0,
    ))
}

//! What members are asked, and what they answer.

use super::jute::{In, Out};
use super::tree::{self, read_acl, Change, Identity, Node, Tree};
use super::{ConnId, World, TIMEOUT};
use base64::Engine;
use bytes::Bytes;
use sha1::{Digest, Sha1};
use std::time::{Duration, Instant};

/// What comes of a request.
pub struct Handled {
    pub reply: Option<Bytes>,
    /// The reply goes once the member has this state.
    pub seen: i64,
    pub then_close: bool,
}

/// Answers to the four-letter words that people and clients ask before any greeting.
pub fn four_letters(head: &[u8; 4]) -> Option<Bytes> {
    match head {
        b"ruok" => Some(Bytes::from_static(b"imok")),
        b"srvr" => Some(Bytes::from_static(
            b"Zookeeper version: 3.9.0-reelfall-rig, built on 2026-01-01 00:00 UTC\nMode: follower\n",
        )),
        _ => None,
    }
}

/// A connection's first frame; `None` closes it.
pub fn greet(world: &mut World, conn: ConnId, frame: &[u8]) -> Option<Handled> {
    let mut r = In(frame);
    let (_version, seen, timeout, session) = (r.int()?, r.long()?, r.int()?, r.long()?);
    let password = r.buffer()?.to_vec();
    let told_read_only = r.bool();
    let member = world.conns.get(&conn)?.member;
    // Whoever has seen more than this member has goes to another.
    if seen > world.members.get(member)?.tree.zxid {
        return None;
    }
    let timeout = Duration::from_millis(u64::try_from(timeout).ok()?);
    let timeout = timeout.clamp(*TIMEOUT.start(), *TIMEOUT.end());
    let known = world.sessions.get(&session).is_some_and(|s| s.password[..] == password[..]);
    let (id, password, timeout) = match (session, known) {
        (0, _) => {
            let (id, password) = world.open_session(timeout, conn);
            (id, password, timeout)
        }
        (id, true) => {
            let old = world.sessions.get_mut(&id)?;
            let before = std::mem::replace(&mut old.conn, conn);
            (old.heard, old.timeout) = (Instant::now(), timeout);
            let password = old.password;
            // A session has one connection.
            if let Some(before) = world.conns.get(&before).filter(|_| before != conn) {
                before.close();
            }
            (id, password, timeout)
        }
        (_, false) => (0, [0; 16], Duration::ZERO),
    };
    world.conns.get_mut(&conn)?.session = id;
    let reply = Out::default().int(0).int(timeout.as_millis() as i32).long(id).buffer(&password);
    let reply = if told_read_only.is_some() { reply.bool(false) } else { reply };
    Some(Handled { reply: Some(reply.frame()), seen: 0, then_close: id == 0 })
}

/// The body of an answer, or an error; and the state that has to be there first.
type Answer = Result<(Out, i64), i32>;

/// A request after the greeting; `None` closes the connection.
pub fn handle(world: &mut World, conn: ConnId, frame: &[u8]) -> Option<Handled> {
    let mut r = In(frame);
    let (xid, op) = (r.int()?, r.int()?);
    let (member, session) = world.conns.get(&conn).map(|c| (c.member, c.session))?;
    world.sessions.get_mut(&session)?.heard = Instant::now();
    let has = world.members.get(member)?.tree.zxid;
    let frame =
        |zxid: i64, error: i32, body: Out| Out::default().int(xid).long(zxid).int(error).raw(&body.0).frame();
    if op != 11 {
        world.counts.requests += 1;
    }
    let (answer, then_close) = match op {
        11 => (Ok((Out::default(), 0)), false),
        -11 => {
            // Its own client ends it: that is no expiry.
            let changes: Vec<Change> =
                world.tree.owned(session).into_iter().map(|path| Change::Delete { path }).collect();
            let seen = if changes.is_empty() { 0 } else { world.commit(changes) };
            world.sessions.remove(&session);
            (Ok((Out::default(), seen)), true)
        }
        100 => {
            let answer = authenticate(world, conn, &mut r);
            let failed = answer.is_err();
            (answer, failed)
        }
        _ => (ask(world, conn, member, session, op, &mut r), false),
    };
    Some(match answer {
        Ok((body, seen)) => Handled { reply: Some(frame(has.max(seen), tree::OK, body)), seen, then_close },
        Err(error) => Handled { reply: Some(frame(has, error, Out::default())), seen: 0, then_close },
    })
}

/// The id that goes with a proof.
pub fn digest(proof: &str) -> String {
    let user = proof.split(':').next().unwrap_or_default();
    let hash = base64::engine::general_purpose::STANDARD.encode(Sha1::digest(proof.as_bytes()));
    format!("{user}:{hash}")
}

fn authenticate(world: &mut World, conn: ConnId, r: &mut In) -> Answer {
    let mut read = || Some((r.int()?, r.text()?, r.buffer()?.to_vec()));
    let (_, scheme, proof) = read().ok_or(tree::AUTH_FAILED)?;
    let proof = String::from_utf8(proof).map_err(|_| tree::AUTH_FAILED)?;
    if scheme != "digest" || !proof.contains(':') {
        return Err(tree::AUTH_FAILED);
    }
    if let Some(conn) = world.conns.get_mut(&conn) {
        conn.who.push((scheme, digest(&proof)));
    }
    Ok((Out::default(), 0))
}

fn ask(world: &mut World, conn: ConnId, member: usize, session: i64, op: i32, r: &mut In) -> Answer {
    let who = world.conns.get(&conn).map(|c| c.who.clone()).unwrap_or_default();
    match op {
        1 | 2 | 5 | 7 | 15 | 19 | 21 => {
            let (change, made) = prepare(&world.tree, op, r, &who, session)?;
            let ttl = made.ttl;
            if let (Change::Create { path, .. }, Some(ttl)) = (&change, ttl) {
                world.ttl.insert(path.clone(), ttl);
            }
            let zxid = world.commit(vec![change]);
            Ok((made.body(&world.tree, Out::default()), zxid))
        }
        13 => check(&world.tree, r).map(|()| (Out::default(), 0)),
        14 => multi(world, r, &who, session),
        22 => Ok((multi_read(&world.members[member].tree, r, &who), 0)),
        9 => {
            let path = r.text().ok_or(tree::BAD_ARGUMENTS)?;
            Ok((Out::default().text(&path), world.tree.zxid))
        }
        3 | 4 | 6 | 8 | 12 | 103 | 104 | 107 => read(world, conn, member, session, op, r, &who),
        17 | 18 => watch_known(world, conn, member, op, r),
        101 | 105 => set_watches(world, conn, member, op, r),
        106 => {
            let path = r.text().filter(|p| tree::valid(p)).ok_or(tree::BAD_ARGUMENTS)?;
            let mode = r.int().filter(|m| matches!(m, 0 | 1)).ok_or(tree::BAD_ARGUMENTS)?;
            let persistent = &mut world.members[member].watches.persistent;
            persistent.entry(path).or_default().insert(conn, mode == 1);
            Ok((Out::default().int(0), 0))
        }
        _ => Err(tree::UNIMPLEMENTED),
    }
}

// ---- writes ----

/// What is told of a write.
struct Made {
    op: i32,
    path: String,
    ttl: Option<Duration>,
}

impl Made {
    fn body(&self, tree: &Tree, out: Out) -> Out {
        let node = tree.nodes.get(&self.path);
        match (self.op, node) {
            (1, _) => out.text(&self.path),
            (15 | 19 | 21, Some(node)) => node.stat(out.text(&self.path)),
            (5 | 7, Some(node)) => node.stat(out),
            _ => out,
        }
    }
}

fn allowed(node: &Node, permissions: i32, who: &[Identity]) -> Result<(), i32> {
    node.allows(permissions, who).then_some(()).ok_or(tree::NO_AUTH)
}

fn fits(is: i32, wanted: i32) -> Result<(), i32> {
    (wanted == -1 || is == wanted).then_some(()).ok_or(tree::BAD_VERSION)
}

fn check(tree: &Tree, r: &mut In) -> Result<(), i32> {
    let path = r.text().ok_or(tree::BAD_ARGUMENTS)?;
    let version = r.int().ok_or(tree::BAD_ARGUMENTS)?;
    fits(tree.nodes.get(&path).ok_or(tree::NO_NODE)?.version, version)
}

fn prepare(tree: &Tree, op: i32, r: &mut In, who: &[Identity], session: i64) -> Result<(Change, Made), i32> {
    let path = r.text().filter(|p| tree::valid(p)).ok_or(tree::BAD_ARGUMENTS)?;
    let made = |path: &str| Made { op, path: path.to_owned(), ttl: None };
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
    tree: &Tree, op: i32, path: String, r: &mut In, who: &[Identity], session: i64,
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
        let ms = r.long().filter(|ms| (1..1 << 40).contains(ms)).ok_or(tree::BAD_ARGUMENTS)?;
        (owner, lives) = ((0xff << 56) | ms, Some(Duration::from_millis(ms as u64)));
    }
    let (above, _) = tree::parent(&path);
    let above = tree.nodes.get(above).ok_or(tree::NO_NODE)?;
    allowed(above, tree::CREATE, who)?;
    let path = if sequential { format!("{path}{:010}", above.cversion) } else { path };
    if tree.nodes.contains_key(&path) {
        return Err(tree::NODE_EXISTS);
    }
    // The owner of an entry with a time to live, or of a container, has its top bit set.
    if above.owner > 0 {
        return Err(tree::NO_CHILDREN_FOR_EPHEMERALS);
    }
    let made = Made { op, path: path.clone(), ttl: lives };
    Ok((Change::Create { path, data, acl, owner }, made))
}

/// All of it or nothing.
fn multi(world: &mut World, r: &mut In, who: &[Identity], session: i64) -> Answer {
    let mut tree = world.tree.clone();
    let zxid = tree.zxid + 1;
    let (mut changes, mut results, mut failed) = (vec![], vec![], None);
    loop {
        let (op, done) = (r.int().ok_or(tree::BAD_ARGUMENTS)?, r.bool().ok_or(tree::BAD_ARGUMENTS)?);
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
                tree.apply(&tree::Txn { zxid, time: super::unix_ms(), changes: vec![change.clone()] });
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

// ---- reads ----

fn multi_read(tree: &Tree, r: &mut In, who: &[Identity]) -> Out {
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

fn read(
    world: &mut World, conn: ConnId, member: usize, session: i64, op: i32, r: &mut In, who: &[Identity],
) -> Answer {
    if op == 107 {
        let out = Out::default().int(who.len() as i32);
        let line = |out: Out, (scheme, id): &Identity| {
            out.text(scheme).text(id.split(':').next().unwrap_or_default())
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
    let super::Member { tree, watches, .. } = &mut world.members[member];
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
        let of = if matches!(op, 8 | 12) { &mut watches.child } else { &mut watches.data };
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
                    let id = if scheme == "digest" && !admin { format!("{user}:x") } else { id.clone() };
                    out.int(*permissions).text(scheme).text(&id)
                };
                node.stat(node.acl.iter().fold(out.int(node.acl.len() as i32), line))
            }
            8 => out.texts(node.children.iter()),
            12 => node.stat(out.texts(node.children.iter())),
            _ => {
                let under = if path == "/" { path.clone() } else { format!("{path}/") };
                let n = tree.nodes.keys().filter(|p| p.starts_with(&under) && **p != path).count();
                out.int(n as i32)
            }
        },
        0,
    ))
}

// ---- watches ----

/// Whether a connection has a watch, and removes it if it is asked to.
fn watch_known(world: &mut World, conn: ConnId, member: usize, op: i32, r: &mut In) -> Answer {
    let path = r.text().ok_or(tree::BAD_ARGUMENTS)?;
    let kind = r.int().ok_or(tree::BAD_ARGUMENTS)?;
    let watches = &mut world.members[member].watches;
    let mut found = false;
    for (of, kinds) in [(&mut watches.child, [1, 3]), (&mut watches.data, [2, 3])] {
        if let Some(set) = of.get_mut(&path).filter(|_| kinds.contains(&kind)) {
            found |= if op == 18 { set.remove(&conn) } else { set.contains(&conn) };
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
fn set_watches(world: &mut World, conn: ConnId, member: usize, op: i32, r: &mut In) -> Answer {
    let mut fields = || {
        let (seen, data, exist, child) = (r.long()?, r.texts()?, r.texts()?, r.texts()?);
        let (plain, recursive) = if op == 105 { (r.texts()?, r.texts()?) } else { (vec![], vec![]) };
        Some((seen, data, exist, child, plain, recursive))
    };
    let (seen, data, exist, child, plain, recursive) = fields().ok_or(tree::BAD_ARGUMENTS)?;
    let super::Member { tree, watches, .. } = &mut world.members[member];
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
            watches.persistent.entry(path).or_default().insert(conn, is_recursive);
        }
    }
    let zxid = tree.zxid;
    for (kind, path) in due {
        world.notify(vec![conn], kind, &path, zxid);
    }
    Ok((Out::default(), 0))
}

//! What members are asked, and what they answer.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `writes` | entries made, changed and removed, and batches of that |
//! | `reads` | entries read, and batches of that |
//! | `watches` | watches set again, looked up and removed |

mod reads;
mod watches;
mod writes;

use super::jute::{In, Out};
use super::tree::{self, Change, Identity, Node};
use super::world::{ConnId, World};
use base64::Engine;
use bytes::Bytes;
use reads::{multi_read, read};
use sha1::{Digest, Sha1};
use std::time::{Duration, Instant};
use watches::{set_watches, watch_known};
use writes::{check, multi, prepare};

/// Time-outs that sessions may have.
const TIMEOUT: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(60);

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
            b"Zookeeper version: 3.9.0-reelfall-testbed, built on 2026-01-01 00:00 UTC\nMode: follower\n",
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
    let known = world
        .sessions
        .get(&session)
        .is_some_and(|s| s.password[..] == password[..]);
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
    let reply = Out::default()
        .int(0)
        .int(timeout.as_millis() as i32)
        .long(id)
        .buffer(&password);
    let reply = if told_read_only.is_some() {
        reply.bool(false)
    } else {
        reply
    };
    Some(Handled {
        reply: Some(reply.frame()),
        seen: 0,
        then_close: id == 0,
    })
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
    let frame = |zxid: i64, error: i32, body: Out| {
        Out::default()
            .int(xid)
            .long(zxid)
            .int(error)
            .raw(&body.0)
            .frame()
    };
    if op != 11 {
        world.counts.requests += 1;
    }
    let (answer, then_close) = match op {
        11 => (Ok((Out::default(), 0)), false),
        -11 => {
            // Its own client ends it: that is no expiry.
            let changes: Vec<Change> = world
                .tree
                .owned(session)
                .into_iter()
                .map(|path| Change::Delete { path })
                .collect();
            let seen = if changes.is_empty() {
                0
            } else {
                world.commit(changes)
            };
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
        Ok((body, seen)) => Handled {
            reply: Some(frame(has.max(seen), tree::OK, body)),
            seen,
            then_close,
        },
        Err(error) => Handled {
            reply: Some(frame(has, error, Out::default())),
            seen: 0,
            then_close,
        },
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

fn ask(
    world: &mut World,
    conn: ConnId,
    member: usize,
    session: i64,
    op: i32,
    r: &mut In,
) -> Answer {
    let who = world
        .conns
        .get(&conn)
        .map(|c| c.who.clone())
        .unwrap_or_default();
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
            let path = r
                .text()
                .filter(|p| tree::valid(p))
                .ok_or(tree::BAD_ARGUMENTS)?;
            let mode = r
                .int()
                .filter(|m| matches!(m, 0 | 1))
                .ok_or(tree::BAD_ARGUMENTS)?;
            let persistent = &mut world.members[member].watches.persistent;
            persistent.entry(path).or_default().insert(conn, mode == 1);
            Ok((Out::default().int(0), 0))
        }
        _ => Err(tree::UNIMPLEMENTED),
    }
}

fn allowed(node: &Node, permissions: i32, who: &[Identity]) -> Result<(), i32> {
    node.allows(permissions, who)
        .then_some(())
        .ok_or(tree::NO_AUTH)
}

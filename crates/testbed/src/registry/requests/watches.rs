//! Adding, looking up and removing watches, and restoring them after a reconnect.

use super::{Reply, RequestContext};
use crate::registry::jute::{Reader, Writer};
use crate::registry::protocol::{ErrorCode, WatchEvent, WatchKind, OK};
use crate::registry::state::{Member, RegistryState};
use crate::registry::tree::is_valid_path;
use crate::registry::watches::Notification;

/// A request to look up or remove a watch.
struct WatchQuery {
    path: String,
    /// `None` if the request has an unknown kind.
    kind: Option<WatchKind>,
}

impl WatchQuery {
    fn read(reader: &mut Reader<'_>) -> Result<WatchQuery, ErrorCode> {
        Ok(WatchQuery {
            path: reader.text()?,
            kind: WatchKind::from_number(reader.int()?),
        })
    }
}

fn reply_if_found(is_found: bool) -> Result<Reply, ErrorCode> {
    if is_found {
        Ok(Reply::immediate(Writer::default()))
    } else {
        Err(ErrorCode::NoWatcher)
    }
}

/// Fails unless the client has a matching watch.
pub(super) fn check(
    state: &RegistryState,
    context: &RequestContext,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    let WatchQuery { path, kind } = WatchQuery::read(reader)?;
    let watches = &state.members[context.member].watches;
    reply_if_found(watches.contains(&path, context.connection, kind))
}

/// Removes the matching watches; fails if the client has none.
pub(super) fn remove(
    state: &mut RegistryState,
    context: &RequestContext,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    let WatchQuery { path, kind } = WatchQuery::read(reader)?;
    let watches = &mut state.members[context.member].watches;
    reply_if_found(watches.remove(&path, context.connection, kind))
}

/// Adds a persistent watch.
pub(super) fn add(
    state: &mut RegistryState,
    context: &RequestContext,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    let path = reader.text()?;
    if !is_valid_path(&path) {
        return Err(ErrorCode::BadArguments);
    }
    let is_recursive = match reader.int()? {
        0 => false,
        1 => true,
        _ => return Err(ErrorCode::BadArguments),
    };
    let watches = &mut state.members[context.member].watches;
    watches.add_persistent(path, context.connection, is_recursive);
    Ok(Reply::immediate(Writer::default().int(OK)))
}

/// The paths of the watches that a client had on its previous connection.
struct FormerWatches {
    /// Id of the last transaction that the client has seen.
    last_zxid: i64,
    data: Vec<String>,
    /// Existence watches on entries that did not exist.
    existence: Vec<String>,
    children: Vec<String>,
    persistent: Vec<String>,
    persistent_recursive: Vec<String>,
}

impl FormerWatches {
    fn read(reader: &mut Reader<'_>, has_persistent: bool) -> Result<FormerWatches, ErrorCode> {
        let mut watches = FormerWatches {
            last_zxid: reader.long()?,
            data: reader.texts()?,
            existence: reader.texts()?,
            children: reader.texts()?,
            persistent: Vec::new(),
            persistent_recursive: Vec::new(),
        };
        if has_persistent {
            watches.persistent = reader.texts()?;
            watches.persistent_recursive = reader.texts()?;
        }
        Ok(watches)
    }
}

/// Restores the watches of a previous connection. The client is notified immediately of the events that it missed.
pub(super) fn set(
    state: &mut RegistryState,
    context: &RequestContext,
    reader: &mut Reader<'_>,
    has_persistent: bool,
) -> Result<Reply, ErrorCode> {
    let former = FormerWatches::read(reader, has_persistent)?;
    let member = &mut state.members[context.member];
    let zxid = member.tree.zxid;
    let missed = restore(member, context, former);
    for notification in missed {
        state.notify(notification, zxid);
    }
    Ok(Reply::immediate(Writer::default()))
}

/// Restores the watches that missed no event; returns notifications for the others.
fn restore(
    member: &mut Member,
    context: &RequestContext,
    former: FormerWatches,
) -> Vec<Notification> {
    let Member { tree, watches, .. } = member;
    let connection = context.connection;
    let last_zxid = former.last_zxid;
    let mut missed = Vec::new();
    let mut report = |event, path| {
        missed.push(Notification {
            connections: vec![connection],
            event,
            path,
        });
    };
    for path in former.data {
        match tree.entries.get(&path) {
            None => report(WatchEvent::Deleted, path),
            Some(entry) if entry.modified_zxid > last_zxid => {
                report(WatchEvent::DataChanged, path);
            }
            Some(_) => watches.add_data(path, connection),
        }
    }
    for path in former.existence {
        if tree.entries.contains_key(&path) {
            report(WatchEvent::Created, path);
        } else {
            watches.add_data(path, connection);
        }
    }
    for path in former.children {
        match tree.entries.get(&path) {
            None => report(WatchEvent::Deleted, path),
            Some(entry) if entry.children_zxid > last_zxid => {
                report(WatchEvent::ChildrenChanged, path);
            }
            Some(_) => watches.add_children(path, connection),
        }
    }
    for path in former.persistent {
        watches.add_persistent(path, connection, false);
    }
    for path in former.persistent_recursive {
        watches.add_persistent(path, connection, true);
    }
    missed
}

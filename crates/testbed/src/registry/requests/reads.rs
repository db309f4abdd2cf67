//! Reads of entries from the replica of the client's member.

use super::{Reply, RequestContext};
use crate::registry::acl::{self, AccessRule};
use crate::registry::jute::{Reader, Writer};
use crate::registry::protocol::{permission, ErrorCode, Operation};
use crate::registry::state::{Member, RegistryState};
use crate::registry::tree::{is_valid_path, Entry, Tree};

/// Encodes the identities of the client, without password hashes.
pub(super) fn identities(context: &RequestContext) -> Writer {
    let identities = &context.identities;
    let count = Writer::default().int(identities.len() as i32);
    identities.iter().fold(count, |writer, identity| {
        writer.text(&identity.scheme).text(identity.user())
    })
}

/// The paths of the session's ephemeral entries that start with a prefix.
pub(super) fn ephemerals(
    state: &RegistryState,
    context: &RequestContext,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    let prefix = reader.text()?;
    let mut paths = state.members[context.member].tree.owned_by(context.session);
    paths.retain(|path| path.starts_with(&prefix));
    Ok(Reply::immediate(Writer::default().texts(paths.iter())))
}

/// Reads an entry, and sets a watch if the request asks for one.
pub(super) fn read(
    state: &mut RegistryState,
    context: &RequestContext,
    operation: Operation,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    let path = reader.text()?;
    if !is_valid_path(&path) {
        return Err(ErrorCode::BadArguments);
    }
    let sets_watch = has_watch_flag(operation) && reader.bool()?;
    let Member { tree, watches, .. } = &mut state.members[context.member];
    let Some(entry) = tree.entries.get(&path) else {
        // A watch set by `Exists` on a missing entry reports the creation of that entry.
        if operation == Operation::Exists && sets_watch {
            watches.add_data(path, context.connection);
        }
        return Err(ErrorCode::NoNode);
    };
    if !matches!(operation, Operation::Exists | Operation::GetAcl) {
        entry.require(permission::READ, &context.identities)?;
    }
    if sets_watch {
        match operation {
            Operation::GetChildren | Operation::GetChildrenWithStat => {
                watches.add_children(path.clone(), context.connection);
            }
            _ => watches.add_data(path.clone(), context.connection),
        }
    }
    let body = read_body(tree, &path, entry, operation, context)?;
    Ok(Reply::immediate(body))
}

fn has_watch_flag(operation: Operation) -> bool {
    matches!(
        operation,
        Operation::Exists
            | Operation::GetData
            | Operation::GetChildren
            | Operation::GetChildrenWithStat
    )
}

fn read_body(
    tree: &Tree,
    path: &str,
    entry: &Entry,
    operation: Operation,
    context: &RequestContext,
) -> Result<Writer, ErrorCode> {
    let body = Writer::default();
    Ok(match operation {
        Operation::Exists => entry.write_stat(body),
        Operation::GetData => entry.write_stat(body.buffer(&entry.data)),
        Operation::GetAcl => write_acl(entry, context, body)?,
        Operation::GetChildren => body.texts(entry.children.iter()),
        Operation::GetChildrenWithStat => entry.write_stat(body.texts(entry.children.iter())),
        _ => body.int(count_descendants(tree, path) as i32),
    })
}

/// Encodes the access list. Password hashes are hidden from clients without the admin permission.
fn write_acl(entry: &Entry, context: &RequestContext, body: Writer) -> Result<Writer, ErrorCode> {
    let identities = &context.identities;
    entry.require(permission::READ | permission::ADMIN, identities)?;
    let is_admin = entry.grants(permission::ADMIN, identities);
    let write_rule = |writer: Writer, rule: &AccessRule| {
        let writer = writer.int(rule.permissions).text(&rule.scheme);
        if rule.scheme == "digest" && !is_admin {
            writer.text(&format!("{}:x", acl::user(&rule.id)))
        } else {
            writer.text(&rule.id)
        }
    };
    let count = body.int(entry.acl.len() as i32);
    let list = entry.acl.iter().fold(count, write_rule);
    Ok(entry.write_stat(list))
}

fn count_descendants(tree: &Tree, path: &str) -> usize {
    let prefix = if path == "/" {
        path.to_owned()
    } else {
        format!("{path}/")
    };
    let is_descendant = |other: &&String| other.starts_with(&prefix) && *other != path;
    tree.entries.keys().filter(is_descendant).count()
}

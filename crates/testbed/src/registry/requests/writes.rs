//! Writes of entries: they are validated against the committed tree and then committed.

use super::{Reply, RequestContext};
use crate::registry::acl::read_acl;
use crate::registry::jute::{Reader, Writer};
use crate::registry::protocol::{permission, ErrorCode, Operation};
use crate::registry::state::RegistryState;
use crate::registry::tree::{self, is_valid_path, Change, Tree, CONTAINER_OWNER};
use std::time::Duration;

/// Expected version in a request that matches any version.
const ANY_VERSION: i32 = -1;
/// Upper bits of the owner field of an entry with a time to live; the lower bits hold the time in milliseconds.
const TTL_OWNER_MARK: i64 = 0xff << 56;
/// Exclusive upper bound of a time to live, in milliseconds.
const TTL_LIMIT_MS: i64 = 1 << 40;

/// A validated write.
pub(super) struct PreparedWrite {
    operation: Operation,
    /// Path of the entry, including the sequence number of a sequential entry.
    path: String,
    pub(super) change: Change,
    ttl: Option<Duration>,
}

impl PreparedWrite {
    fn new(operation: Operation, path: String, change: Change) -> PreparedWrite {
        PreparedWrite {
            operation,
            path,
            change,
            ttl: None,
        }
    }

    /// Returns the response body. The change must have been applied to `tree`.
    pub(super) fn response(&self, tree: &Tree) -> Writer {
        let body = Writer::default();
        let entry = tree.entries.get(&self.path);
        match (self.operation, entry) {
            (Operation::Create, _) => body.text(&self.path),
            (Operation::SetData | Operation::SetAcl, Some(entry)) => entry.write_stat(body),
            (operation, Some(entry)) if operation.is_create() => {
                entry.write_stat(body.text(&self.path))
            }
            _ => body,
        }
    }

    /// Records the time to live, if the write creates an entry that has one.
    pub(super) fn register_ttl(&self, state: &mut RegistryState) {
        if let Some(ttl) = self.ttl {
            state.ttls.insert(self.path.clone(), ttl);
        }
    }
}

/// Validates and commits a write.
pub(super) fn write(
    state: &mut RegistryState,
    context: &RequestContext,
    operation: Operation,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    let prepared = prepare(&state.tree, context, operation, reader)?;
    prepared.register_ttl(state);
    let required_zxid = state.commit(vec![prepared.change.clone()]);
    Ok(Reply {
        body: prepared.response(&state.tree),
        required_zxid,
    })
}

fn check_match(version: i32, expected: i32) -> Result<(), ErrorCode> {
    if expected == ANY_VERSION || version == expected {
        Ok(())
    } else {
        Err(ErrorCode::BadVersion)
    }
}

/// Fails unless the version of the entry matches the expected version in the request.
pub(super) fn check_version(tree: &Tree, reader: &mut Reader<'_>) -> Result<(), ErrorCode> {
    let path = reader.text()?;
    let expected = reader.int()?;
    check_match(tree.entry(&path)?.version, expected)
}

/// Decodes a write and validates it against a tree.
pub(super) fn prepare(
    tree: &Tree,
    context: &RequestContext,
    operation: Operation,
    reader: &mut Reader<'_>,
) -> Result<PreparedWrite, ErrorCode> {
    let path = reader.text()?;
    if !is_valid_path(&path) {
        return Err(ErrorCode::BadArguments);
    }
    match operation {
        Operation::Delete => prepare_delete(tree, context, path, reader),
        Operation::SetData => prepare_set_data(tree, context, path, reader),
        Operation::SetAcl => prepare_set_acl(tree, context, path, reader),
        _ => prepare_create(tree, context, operation, path, reader),
    }
}

fn prepare_delete(
    tree: &Tree,
    context: &RequestContext,
    path: String,
    reader: &mut Reader<'_>,
) -> Result<PreparedWrite, ErrorCode> {
    let expected = reader.int()?;
    if path == "/" {
        return Err(ErrorCode::BadArguments);
    }
    let entry = tree.entry(&path)?;
    let parent = tree.entry(tree::parent(&path))?;
    parent.require(permission::DELETE, &context.identities)?;
    check_match(entry.version, expected)?;
    if !entry.children.is_empty() {
        return Err(ErrorCode::NotEmpty);
    }
    let change = Change::Delete { path: path.clone() };
    Ok(PreparedWrite::new(Operation::Delete, path, change))
}

fn prepare_set_data(
    tree: &Tree,
    context: &RequestContext,
    path: String,
    reader: &mut Reader<'_>,
) -> Result<PreparedWrite, ErrorCode> {
    let data = reader.buffer()?.to_vec();
    let expected = reader.int()?;
    let entry = tree.entry(&path)?;
    entry.require(permission::WRITE, &context.identities)?;
    check_match(entry.version, expected)?;
    let change = Change::SetData {
        path: path.clone(),
        data,
    };
    Ok(PreparedWrite::new(Operation::SetData, path, change))
}

fn prepare_set_acl(
    tree: &Tree,
    context: &RequestContext,
    path: String,
    reader: &mut Reader<'_>,
) -> Result<PreparedWrite, ErrorCode> {
    let acl = read_acl(reader, &context.identities)?;
    let expected = reader.int()?;
    let entry = tree.entry(&path)?;
    entry.require(permission::ADMIN, &context.identities)?;
    check_match(entry.acl_version, expected)?;
    let change = Change::SetAcl {
        path: path.clone(),
        acl,
    };
    Ok(PreparedWrite::new(Operation::SetAcl, path, change))
}

/// The create mode in a request.
struct CreateMode {
    is_sequential: bool,
    lifetime: Lifetime,
}

/// When an entry is deleted automatically.
#[derive(Clone, Copy)]
enum Lifetime {
    Persistent,
    /// When its session ends.
    Ephemeral,
    /// After its last child is deleted.
    Container,
    /// When its time to live since the last change has elapsed.
    TimeToLive,
}

impl CreateMode {
    fn read(reader: &mut Reader<'_>) -> Result<CreateMode, ErrorCode> {
        let (lifetime, is_sequential) = match reader.int()? {
            0 => (Lifetime::Persistent, false),
            1 => (Lifetime::Ephemeral, false),
            2 => (Lifetime::Persistent, true),
            3 => (Lifetime::Ephemeral, true),
            4 => (Lifetime::Container, false),
            5 => (Lifetime::TimeToLive, false),
            6 => (Lifetime::TimeToLive, true),
            _ => return Err(ErrorCode::BadArguments),
        };
        Ok(CreateMode {
            is_sequential,
            lifetime,
        })
    }
}

fn read_ttl_ms(reader: &mut Reader<'_>) -> Result<i64, ErrorCode> {
    let ttl_ms = reader.long()?;
    if (1..TTL_LIMIT_MS).contains(&ttl_ms) {
        Ok(ttl_ms)
    } else {
        Err(ErrorCode::BadArguments)
    }
}

fn prepare_create(
    tree: &Tree,
    context: &RequestContext,
    operation: Operation,
    path: String,
    reader: &mut Reader<'_>,
) -> Result<PreparedWrite, ErrorCode> {
    let data = reader.buffer()?.to_vec();
    let acl = read_acl(reader, &context.identities)?;
    let mode = CreateMode::read(reader)?;
    let (owner, ttl) = match mode.lifetime {
        Lifetime::Persistent => (0, None),
        Lifetime::Ephemeral => (context.session, None),
        Lifetime::Container => (CONTAINER_OWNER, None),
        Lifetime::TimeToLive => {
            let ttl_ms = read_ttl_ms(reader)?;
            let ttl = Duration::from_millis(ttl_ms as u64);
            (TTL_OWNER_MARK | ttl_ms, Some(ttl))
        }
    };
    let parent = tree.entry(tree::parent(&path))?;
    parent.require(permission::CREATE, &context.identities)?;
    let path = if mode.is_sequential {
        format!("{path}{:010}", parent.children_version)
    } else {
        path
    };
    if tree.entries.contains_key(&path) {
        return Err(ErrorCode::NodeExists);
    }
    // Session ids are positive; the owner values of containers and of entries with a time to live are negative.
    if parent.owner > 0 {
        return Err(ErrorCode::NoChildrenForEphemerals);
    }
    let change = Change::Create {
        path: path.clone(),
        data,
        acl,
        owner,
    };
    Ok(PreparedWrite {
        operation,
        path,
        change,
        ttl,
    })
}

//! Records that several operations share: metadata, access list items, and watch events.

use super::{Reader, WireError};

/// The metadata of an entry. A transaction id (zxid) identifies a change, and the state of the registry after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stat {
    /// Id of the transaction that created the entry.
    pub czxid: i64,
    /// Id of the transaction that last changed the data.
    pub mzxid: i64,
    /// When the entry was created, in milliseconds of Unix time by the registry's clock.
    pub ctime: i64,
    /// When the data last changed, in milliseconds of Unix time by the registry's clock.
    pub mtime: i64,
    /// Number of changes of the data.
    pub version: i32,
    /// Number of changes of the list of children.
    pub cversion: i32,
    /// Number of changes of the access list.
    pub aversion: i32,
    /// Id of the session that the entry ends with; 0 if it is not ephemeral.
    pub ephemeral_owner: i64,
    /// Length of the data, in bytes.
    pub data_length: i32,
    /// Number of children.
    pub num_children: i32,
    /// Id of the transaction that last changed the list of children.
    pub pzxid: i64,
}

impl Stat {
    /// Reads the fields in the order of the wire protocol.
    ///
    /// # Errors
    /// If the record is truncated.
    pub fn read(reader: &mut Reader) -> Result<Stat, WireError> {
        Ok(Stat {
            czxid: reader.long()?,
            mzxid: reader.long()?,
            ctime: reader.long()?,
            mtime: reader.long()?,
            version: reader.int()?,
            cversion: reader.int()?,
            aversion: reader.int()?,
            ephemeral_owner: reader.long()?,
            data_length: reader.int()?,
            num_children: reader.int()?,
            pzxid: reader.long()?,
        })
    }
}

/// An item of an access list: the permissions of an identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acl {
    /// A bit mask: read 1, write 2, create 4, delete 8, admin 16.
    pub permissions: i32,
    /// The scheme of the identity, such as `world` or `digest`.
    pub scheme: String,
    /// The id of the identity in this scheme.
    pub id: String,
}

impl Acl {
    /// All permissions for everybody.
    pub fn open() -> Acl {
        Acl {
            permissions: 31,
            scheme: "world".to_owned(),
            id: "anyone".to_owned(),
        }
    }

    /// Read permission for everybody.
    pub fn read_only() -> Acl {
        Acl {
            permissions: 1,
            ..Acl::open()
        }
    }

    /// All permissions for the identities that this session is authenticated as.
    pub fn creator() -> Acl {
        Acl {
            permissions: 31,
            scheme: "auth".to_owned(),
            id: String::new(),
        }
    }

    pub(super) fn read(reader: &mut Reader) -> Result<Acl, WireError> {
        Ok(Acl {
            permissions: reader.int()?,
            scheme: reader.string()?,
            id: reader.string()?,
        })
    }
}

/// The kind of a watch event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEventKind {
    /// The entry was created.
    Created,
    /// The entry was deleted.
    Deleted,
    /// The data of the entry changed.
    DataChanged,
    /// The list of the entry's children changed.
    ChildrenChanged,
    /// An unknown event, or one about the session.
    Other,
}

/// The event that a watch sends when it fires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// What happened to the entry.
    pub kind: WatchEventKind,
    /// The path of the entry; empty if it is not in UTF-8.
    pub path: String,
}

impl WatchEvent {
    pub(crate) fn read(reader: &mut Reader) -> Result<WatchEvent, WireError> {
        let kind = match reader.int()? {
            1 => WatchEventKind::Created,
            2 => WatchEventKind::Deleted,
            3 => WatchEventKind::DataChanged,
            4 => WatchEventKind::ChildrenChanged,
            _ => WatchEventKind::Other,
        };
        let _state = reader.int()?;
        let path = String::from_utf8(reader.buffer()?.to_vec()).unwrap_or_default();
        Ok(WatchEvent { kind, path })
    }
}

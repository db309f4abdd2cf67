//! Records that several operations share: the state of an entry, its access list, and what a watch tells.

use super::{Reader, WireFault};

/// What the registry knows of an entry beside its data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stat {
    /// The state in which it was made.
    pub czxid: i64,
    /// The state in which its data last changed.
    pub mzxid: i64,
    /// When it was made, in milliseconds of the registry's Unix time.
    pub ctime: i64,
    /// When its data last changed.
    pub mtime: i64,
    /// How often its data has changed.
    pub version: i32,
    /// How often its children have changed.
    pub cversion: i32,
    /// How often its access list has changed.
    pub aversion: i32,
    /// The session that it ends with; 0 for none.
    pub ephemeral_owner: i64,
    /// Length of its data.
    pub data_length: i32,
    /// How many children it has.
    pub num_children: i32,
    /// The state in which its children last changed.
    pub pzxid: i64,
}

impl Stat {
    /// Reads one.
    ///
    /// # Errors
    /// If it is cut short.
    pub fn read(r: &mut Reader) -> Result<Stat, WireFault> {
        Ok(Stat {
            czxid: r.long()?,
            mzxid: r.long()?,
            ctime: r.long()?,
            mtime: r.long()?,
            version: r.int()?,
            cversion: r.int()?,
            aversion: r.int()?,
            ephemeral_owner: r.long()?,
            data_length: r.int()?,
            num_children: r.int()?,
            pzxid: r.long()?,
        })
    }
}

/// Who may do what with an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acl {
    /// Read 1, write 2, create 4, delete 8, admin 16.
    pub permissions: i32,
    /// How somebody is known, such as `world` or `digest`.
    pub scheme: String,
    /// Who it is.
    pub id: String,
}

impl Acl {
    /// Everybody may do everything.
    pub fn open() -> Acl {
        Acl {
            permissions: 31,
            scheme: "world".to_owned(),
            id: "anyone".to_owned(),
        }
    }

    /// Everybody may read.
    pub fn read_only() -> Acl {
        Acl {
            permissions: 1,
            ..Acl::open()
        }
    }

    /// Whoever is known to this session may do everything.
    pub fn creator() -> Acl {
        Acl {
            permissions: 31,
            scheme: "auth".to_owned(),
            id: String::new(),
        }
    }

    pub(super) fn read(r: &mut Reader) -> Result<Acl, WireFault> {
        Ok(Acl {
            permissions: r.int()?,
            scheme: r.text()?,
            id: r.text()?,
        })
    }
}

/// What happened to a path that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// It was made.
    Created,
    /// It is gone.
    Deleted,
    /// Its data changed.
    Data,
    /// Its children changed.
    Children,
    /// Something that is not known here, or a word on the session.
    Other,
}

/// A watch has fired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fired {
    /// What happened.
    pub what: Happened,
    /// To which path; empty if it is not in UTF-8.
    pub path: String,
}

impl Fired {
    pub(crate) fn read(r: &mut Reader) -> Result<Fired, WireFault> {
        let what = match r.int()? {
            1 => Happened::Created,
            2 => Happened::Deleted,
            3 => Happened::Data,
            4 => Happened::Children,
            _ => Happened::Other,
        };
        let _state = r.int()?;
        let path = String::from_utf8(r.buffer()?.to_vec()).unwrap_or_default();
        Ok(Fired { what, path })
    }
}

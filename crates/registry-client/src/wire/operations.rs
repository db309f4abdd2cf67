//! Operations, and what the registry answers to them.

use super::{Acl, Reader, Stat, WireFault, Writer};
use bytes::Bytes;
use thiserror::Error;

/// What is asked of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Make an entry.
    Create {
        /// Its path.
        path: String,
        /// Its data.
        data: Bytes,
        /// Who may do what with it.
        acl: Vec<Acl>,
        /// It ends with this session.
        ephemeral: bool,
    },
    /// Remove an entry, if its version is this one; -1 for any.
    Delete {
        /// Its path.
        path: String,
        /// The version that it must have.
        version: i32,
    },
    /// Replace an entry's data, if its version is this one; -1 for any.
    SetData {
        /// Its path.
        path: String,
        /// The new data.
        data: Bytes,
        /// The version that it must have.
        version: i32,
    },
    /// Whether an entry is there; a watch tells of the next change, also of its making.
    Exists {
        /// Its path.
        path: String,
        /// Watch it.
        watch: bool,
    },
    /// An entry's data; a watch tells of the next change.
    GetData {
        /// Its path.
        path: String,
        /// Watch it.
        watch: bool,
    },
    /// An entry's access list.
    GetAcl {
        /// Its path.
        path: String,
    },
    /// The names of an entry's children; a watch tells of the next change.
    GetChildren {
        /// Its path.
        path: String,
        /// Watch it.
        watch: bool,
    },
    /// The member catches up with the others before it goes on.
    Sync {
        /// The path.
        path: String,
    },
    /// Tell of every change of an entry and of all that is under it, for as long as the session lasts.
    AddWatch {
        /// The path.
        path: String,
    },
}

impl Op {
    /// The operation's number.
    fn code(&self) -> i32 {
        match self {
            Op::Create { .. } => 1,
            Op::Delete { .. } => 2,
            Op::Exists { .. } => 3,
            Op::GetData { .. } => 4,
            Op::SetData { .. } => 5,
            Op::GetAcl { .. } => 6,
            Op::Sync { .. } => 9,
            Op::GetChildren { .. } => 12,
            Op::AddWatch { .. } => 106,
        }
    }

    /// Its frame.
    pub(crate) fn frame(&self, xid: i32) -> Bytes {
        let w = Writer::new().int(xid).int(self.code());
        match self {
            Op::Create {
                path,
                data,
                acl,
                ephemeral,
            } => {
                let counted = w
                    .text(path)
                    .buffer(data)
                    .int(i32::try_from(acl.len()).unwrap_or(0));
                let listed = acl.iter().fold(counted, |w, a| {
                    w.int(a.permissions).text(&a.scheme).text(&a.id)
                });
                listed.int((*ephemeral).into()).done()
            }
            Op::Delete { path, version } => w.text(path).int(*version).done(),
            Op::SetData {
                path,
                data,
                version,
            } => w.text(path).buffer(data).int(*version).done(),
            Op::Exists { path, watch }
            | Op::GetData { path, watch }
            | Op::GetChildren { path, watch } => w.text(path).boolean(*watch).done(),
            Op::GetAcl { path } | Op::Sync { path } => w.text(path).done(),
            // 1 is the mode that is persistent and recursive.
            Op::AddWatch { path } => w.text(path).int(1).done(),
        }
    }
}

/// Errors that the registry answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// There is no such entry.
    #[error("no such entry")]
    NoNode,
    /// There is one already.
    #[error("there is one already")]
    NodeExists,
    /// Its version is another.
    #[error("its version is another")]
    BadVersion,
    /// This session may not.
    #[error("not allowed to this session")]
    NoAuth,
    /// The registry does not know the operation.
    #[error("the registry does not know the operation")]
    Unimplemented,
    /// Some other.
    #[error("error {0}")]
    Other(i32),
}

impl Refusal {
    fn of(code: i32) -> Refusal {
        match code {
            -101 => Refusal::NoNode,
            -110 => Refusal::NodeExists,
            -103 => Refusal::BadVersion,
            -102 => Refusal::NoAuth,
            -6 => Refusal::Unimplemented,
            code => Refusal::Other(code),
        }
    }
}

/// What the registry answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Done; nothing is told.
    Done,
    /// An entry's state.
    Stat(Stat),
    /// An entry's data and state.
    Data(Bytes, Stat),
    /// An entry's access list and state.
    Acl(Vec<Acl>, Stat),
    /// The names of its children; `None` for one that is not in UTF-8.
    Children(Vec<Option<String>>, Stat),
}

/// Reads the answer to an operation: the rest of a frame whose head has been read.
///
/// # Errors
/// If it is not what the operation is answered with.
pub(crate) fn answer(
    op: &Op,
    code: i32,
    r: &mut Reader,
) -> Result<Result<Answer, Refusal>, WireFault> {
    if code != 0 {
        return Ok(Err(Refusal::of(code)));
    }
    Ok(Ok(match op {
        Op::Create { .. } | Op::Delete { .. } | Op::Sync { .. } | Op::AddWatch { .. } => {
            Answer::Done
        }
        Op::Exists { .. } | Op::SetData { .. } => Answer::Stat(Stat::read(r)?),
        Op::GetData { .. } => Answer::Data(r.buffer()?, Stat::read(r)?),
        Op::GetChildren { .. } => Answer::Children(r.texts()?, Stat::read(r)?),
        Op::GetAcl { .. } => {
            let n = r.int()?;
            let mut acl = Vec::new();
            for _ in 0..n.max(0) {
                acl.push(Acl::read(r)?);
            }
            Answer::Acl(acl, Stat::read(r)?)
        }
    }))
}

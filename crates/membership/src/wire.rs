//! The registry's protocol, as a client speaks it: frames, records, operations.
//!
//! Whatever comes is untrusted: lengths are held against what is there before anything is taken, and a frame longer than
//! [`FRAME_MOST`] ends the connection before it is kept.
//!
//! Source: the ZooKeeper Programmer's Guide and Internals, and the published record definitions (`zookeeper.jute`,
//! release 3.9): integers are big-endian, texts and buffers have a length of four bytes before them (-1 for none).

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Longest frame, in bytes: what registries take by default (`jute.maxbuffer`, 1 MiB), and room for its head.
pub const FRAME_MOST: usize = (1 << 20) + (64 << 10);

/// Why bytes are not what the protocol has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireFault {
    /// A frame of a length that can't be.
    #[error("a frame says that it has {0} bytes")]
    Length(i64),
    /// A record that ends before it should.
    #[error("a record is cut short")]
    Short,
    /// A text that is none.
    #[error("a text is not in UTF-8")]
    Text,
    /// An answer to something that was not asked, or out of order.
    #[error("an answer to request {0}, which is not next")]
    Order(i32),
    /// The registry went back to an older state than it has shown.
    #[error("state {0:#x} after state {1:#x}")]
    Older(i64, i64),
}

/// Cuts a stream of bytes into frames.
#[derive(Debug, Default)]
pub struct Frames {
    held: BytesMut,
}

impl Frames {
    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole frame.
    ///
    /// # Errors
    /// If its length can't be: the stream is of no further use. At most [`FRAME_MOST`] bytes and what one read brings
    /// are held.
    pub fn frame(&mut self) -> Result<Option<Bytes>, WireFault> {
        let Some(head) = self.held.first_chunk::<4>() else { return Ok(None) };
        let stated = i32::from_be_bytes(*head);
        let length = usize::try_from(stated).ok().filter(|n| *n <= FRAME_MOST);
        let length = length.ok_or(WireFault::Length(stated.into()))?;
        if self.held.len() < 4 + length {
            return Ok(None);
        }
        self.held.advance(4);
        Ok(Some(self.held.split_to(length).freeze()))
    }
}

/// Reads a record's fields.
pub struct Reader(Bytes);

impl Reader {
    /// Of a whole frame.
    pub fn new(frame: Bytes) -> Reader {
        Reader(frame)
    }

    /// Nothing is left.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// A byte that tells yes or no.
    ///
    /// # Errors
    /// If there is none.
    pub fn boolean(&mut self) -> Result<bool, WireFault> {
        self.0.try_get_u8().map(|b| b != 0).map_err(|_| WireFault::Short)
    }

    /// Four bytes.
    ///
    /// # Errors
    /// If there are fewer.
    pub fn int(&mut self) -> Result<i32, WireFault> {
        self.0.try_get_i32().map_err(|_| WireFault::Short)
    }

    /// Eight bytes.
    ///
    /// # Errors
    /// If there are fewer.
    pub fn long(&mut self) -> Result<i64, WireFault> {
        self.0.try_get_i64().map_err(|_| WireFault::Short)
    }

    /// Bytes with their length before them; none are as good as no bytes.
    ///
    /// # Errors
    /// If there are fewer than it says, or it says what can't be.
    pub fn buffer(&mut self) -> Result<Bytes, WireFault> {
        match self.int()? {
            -1 => Ok(Bytes::new()),
            n => {
                let length = usize::try_from(n).map_err(|_| WireFault::Length(n.into()))?;
                if length > self.0.len() {
                    return Err(WireFault::Short);
                }
                Ok(self.0.split_to(length))
            }
        }
    }

    /// A text.
    ///
    /// # Errors
    /// As for bytes, or if it is not in UTF-8.
    pub fn text(&mut self) -> Result<String, WireFault> {
        let bytes = self.buffer()?;
        std::str::from_utf8(&bytes).map(str::to_owned).map_err(|_| WireFault::Text)
    }

    /// Texts, with their number before them. One that is not in UTF-8 is given as `None`, so that a path with odd bytes
    /// costs nothing but itself.
    ///
    /// # Errors
    /// If there are fewer than it says, or it says what can't be.
    pub fn texts(&mut self) -> Result<Vec<Option<String>>, WireFault> {
        let n = self.int()?;
        let n = usize::try_from(n.max(0)).map_err(|_| WireFault::Length(n.into()))?;
        // Each has a length of four bytes: a count that can't be must not make room for itself.
        if n > self.0.len() / 4 {
            return Err(WireFault::Short);
        }
        (0..n).map(|_| Ok(String::from_utf8(self.buffer()?.to_vec()).ok())).collect()
    }
}

/// Writes one frame.
pub struct Writer(BytesMut);

impl Default for Writer {
    fn default() -> Self {
        Writer::new()
    }
}

impl Writer {
    /// An empty frame.
    pub fn new() -> Writer {
        let mut frame = BytesMut::with_capacity(64);
        frame.put_i32(0);
        Writer(frame)
    }

    /// A byte that tells yes or no.
    #[must_use]
    pub fn boolean(mut self, b: bool) -> Self {
        self.0.put_u8(b.into());
        self
    }

    /// Four bytes.
    #[must_use]
    pub fn int(mut self, n: i32) -> Self {
        self.0.put_i32(n);
        self
    }

    /// Eight bytes.
    #[must_use]
    pub fn long(mut self, n: i64) -> Self {
        self.0.put_i64(n);
        self
    }

    /// Bytes with their length before them.
    #[must_use]
    pub fn buffer(mut self, bytes: &[u8]) -> Self {
        self.0.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
        self.0.extend_from_slice(bytes);
        self
    }

    /// A text.
    #[must_use]
    pub fn text(self, text: &str) -> Self {
        self.buffer(text.as_bytes())
    }

    /// Texts, with their number before them.
    #[must_use]
    pub fn texts(self, texts: &[String]) -> Self {
        let counted = self.int(i32::try_from(texts.len()).unwrap_or(i32::MAX));
        texts.iter().fold(counted, |w, t| w.text(t))
    }

    /// The frame, with its length before it.
    pub fn done(mut self) -> Bytes {
        let length = u32::try_from(self.0.len().saturating_sub(4)).unwrap_or(u32::MAX);
        if let Some(head) = self.0.first_chunk_mut::<4>() {
            *head = length.to_be_bytes();
        }
        self.0.freeze()
    }
}

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
        Acl { permissions: 31, scheme: "world".to_owned(), id: "anyone".to_owned() }
    }

    /// Everybody may read.
    pub fn read_only() -> Acl {
        Acl { permissions: 1, ..Acl::open() }
    }

    /// Whoever is known to this session may do everything.
    pub fn creator() -> Acl {
        Acl { permissions: 31, scheme: "auth".to_owned(), id: String::new() }
    }

    fn read(r: &mut Reader) -> Result<Acl, WireFault> {
        Ok(Acl { permissions: r.int()?, scheme: r.text()?, id: r.text()? })
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
            Op::Create { path, data, acl, ephemeral } => {
                let counted = w.text(path).buffer(data).int(i32::try_from(acl.len()).unwrap_or(0));
                let listed =
                    acl.iter().fold(counted, |w, a| w.int(a.permissions).text(&a.scheme).text(&a.id));
                listed.int((*ephemeral).into()).done()
            }
            Op::Delete { path, version } => w.text(path).int(*version).done(),
            Op::SetData { path, data, version } => w.text(path).buffer(data).int(*version).done(),
            Op::Exists { path, watch } | Op::GetData { path, watch } | Op::GetChildren { path, watch } => {
                w.text(path).boolean(*watch).done()
            }
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
pub(crate) fn answer(op: &Op, code: i32, r: &mut Reader) -> Result<Result<Answer, Refusal>, WireFault> {
    if code != 0 {
        return Ok(Err(Refusal::of(code)));
    }
    Ok(Ok(match op {
        Op::Create { .. } | Op::Delete { .. } | Op::Sync { .. } | Op::AddWatch { .. } => Answer::Done,
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

//! The storage of a lease keeper: its [`DurableState`], as an append-only file of frames.
//!
//! ```text
//! "reelfall leases" | version u8 | frame | frame | ...
//! frame: length u32 | first 16 bytes of BLAKE3 of the frame's number and what follows | snapshot, or records (postcard)
//! ```
//!
//! | fault | handling |
//! | --- | --- |
//! | the process ends while it writes | the truncated frame at the end of the file is ignored: no message depended on it |
//! | bits are flipped, a part in the middle is lost | the file is refused, and nothing of it is used |
//! | the end is lost | indistinguishable from a truncated write; the peers know how many records there were |
//! | the file comes from a newer version | it is refused |
//! | another process has the folder | it is refused; two keepers never write to one folder |
//! | the disk is full, or can't be written | the write fails, and so does every later one |
//!
//! A folder is never emptied here: a keeper that has lost it is admitted again by its peers, which is for an operator to
//! begin.

use reelfall_lease::durable::{DurableState, Record};
use rustix::fs::{flock, FlockOperation};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The version of the format, stored in the file.
pub const VERSION: u8 = 1;
/// The file's name in the keeper's folder.
pub const FILE: &str = "leases";

const MAGIC: &[u8] = b"reelfall leases";
const FILE_HEADER_LEN: usize = MAGIC.len() + 1;
const CHECKSUM_LEN: usize = 16;
const FRAME_HEADER_LEN: usize = 4 + CHECKSUM_LEN;
/// Maximum length of a frame, in bytes: a snapshot of the maximum number of leases takes a quarter of it.
const MAX_FRAME_LEN: usize = 1 << 20;
/// A file of this length, in bytes, is compacted into one snapshot.
const COMPACTION_LEN: u64 = 4 << 20;
/// How many frames after a damaged one are searched for; any one of them proves the damage.
const FRAMES_AHEAD: u64 = 2;

/// Why a folder can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process uses it.
    #[error("another process has this folder")]
    InUse,
    /// The file was written by a later version.
    #[error("the file has version {0}, this program knows {VERSION}")]
    Newer(u8),
    /// The file is not what was written.
    #[error(
        "the file is damaged at byte {0}; empty the folder to have the fellows let this keeper in again"
    )]
    Damaged(usize),
    /// An I/O error of the system.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// The body of a frame to be written.
#[derive(Serialize)]
enum Frame<'a> {
    Snapshot(&'a DurableState),
    Records(&'a [Record]),
}

/// The body of a frame that was read.
#[derive(Deserialize)]
enum OwnedFrame {
    Snapshot(DurableState),
    Records(Vec<Record>),
}

fn checksum(number: u64, body: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&number.to_le_bytes()).update(body);
    *hasher.finalize().as_bytes()
}

fn encode_frame(number: u64, frame: &Frame) -> Result<Vec<u8>, StoreError> {
    let body = postcard::to_stdvec(frame).map_err(std::io::Error::other)?;
    let length = u32::try_from(body.len())
        .ok()
        .filter(|n| *n as usize <= MAX_FRAME_LEN);
    let length = length.ok_or_else(|| std::io::Error::other("too many records at once"))?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(&checksum(number, &body)[..CHECKSUM_LEN]);
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes the frame at the start of these bytes; returns it with its length, or `None` if there is no complete one.
fn decode_frame(number: u64, bytes: &[u8]) -> Option<(OwnedFrame, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let (expected, rest) = rest.split_at_checked(CHECKSUM_LEN)?;
    let body = rest.get(..length).filter(|_| length <= MAX_FRAME_LEN)?;
    if checksum(number, body)[..CHECKSUM_LEN] != *expected {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, FRAME_HEADER_LEN + length))
}

/// The contents of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// The state that results from all complete frames.
    pub state: DurableState,
    /// Number of complete frames.
    pub frames: u64,
    /// Where the last complete frame ends, in bytes.
    pub end: usize,
}

/// Decodes a file.
///
/// # Errors
/// If it is no file of this version, or a frame is missing before another one.
pub fn decode(bytes: &[u8]) -> Result<Contents, StoreError> {
    if bytes.len() < FILE_HEADER_LEN && [MAGIC, &[VERSION]].concat().starts_with(bytes) {
        return Ok(Contents::default());
    }
    let body = bytes.strip_prefix(MAGIC).ok_or(StoreError::Damaged(0))?;
    match body.first() {
        Some(&VERSION) => {}
        Some(&version) if version > VERSION => return Err(StoreError::Newer(version)),
        _ => return Err(StoreError::Damaged(MAGIC.len())),
    }
    let mut contents = Contents {
        end: FILE_HEADER_LEN,
        ..Contents::default()
    };
    while let Some((frame, length)) = decode_frame(contents.frames, &bytes[contents.end..]) {
        match frame {
            OwnedFrame::Snapshot(state) => contents.state = state,
            OwnedFrame::Records(records) => {
                records
                    .iter()
                    .for_each(|record| contents.state.apply(record));
            }
        }
        contents.frames += 1;
        contents.end += length;
    }
    if has_later_frame(&contents, bytes) {
        return Err(StoreError::Damaged(contents.end));
    }
    Ok(contents)
}

/// Whether a complete frame follows anywhere after the last readable one.
///
/// Guards against a part in the middle that was lost: messages may have depended on all that follows. A truncated write is
/// followed by nothing. Harm: a damaged file is searched once.
fn has_later_frame(contents: &Contents, bytes: &[u8]) -> bool {
    let numbers = contents.frames..=contents.frames + FRAMES_AHEAD;
    let is_frame = |from: usize| {
        numbers
            .clone()
            .any(|n| decode_frame(n, &bytes[from..]).is_some())
    };
    (contents.end..bytes.len()).any(is_frame)
}

/// An open storage folder.
pub struct Store {
    folder: PathBuf,
    file: File,
    /// Number of frames in the file.
    frames: u64,
    /// Length of the file.
    bytes: u64,
    state: DurableState,
    /// A write has failed: the contents of the file are unknown.
    failed: bool,
    _lock: File,
}

impl Store {
    /// Opens the folder, or creates it, and reads its state.
    ///
    /// # Errors
    /// If the folder can't be used.
    pub fn open(folder: &Path) -> Result<(Store, DurableState), StoreError> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| StoreError::InUse)?;
        let path = folder.join(FILE);
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e.into()),
        };
        let Contents { state, frames, end } = decode(&bytes)?;
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .append(true)
            .open(&path)?;
        // A truncated frame is removed, so that the next one follows the last complete one.
        file.set_len(end as u64)?;
        if end == 0 {
            file.write_all(&[MAGIC, &[VERSION]].concat())?;
        }
        file.sync_all()?;
        File::open(folder)?.sync_all()?;
        let (bytes, folder) = (end.max(FILE_HEADER_LEN) as u64, folder.to_owned());
        let store = Store {
            folder,
            file,
            frames,
            bytes,
            state: state.clone(),
            failed: false,
            _lock: lock,
        };
        Ok((store, state))
    }

    /// Makes records durable, all or none. Messages that depend on them may be sent after that.
    ///
    /// # Errors
    /// On an I/O error. Whether the records are durable is unknown then, and every later write fails.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if self.failed {
            return Err(std::io::Error::other("an earlier write has failed").into());
        }
        self.failed = true;
        let bytes = encode_frame(self.frames, &Frame::Records(records))?;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.frames += 1;
        self.bytes += bytes.len() as u64;
        records.iter().for_each(|record| self.state.apply(record));
        if self.bytes > COMPACTION_LEN {
            self.compact()?;
        }
        self.failed = false;
        Ok(())
    }

    /// Replaces the file by a new one with a single snapshot.
    fn compact(&mut self) -> Result<(), StoreError> {
        let (new, path) = (self.folder.join("leases.new"), self.folder.join(FILE));
        let mut bytes = [MAGIC, &[VERSION]].concat();
        bytes.extend(encode_frame(0, &Frame::Snapshot(&self.state))?);
        let mut file = File::create(&new)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&new, &path)?;
        File::open(&self.folder)?.sync_all()?;
        self.file = OpenOptions::new().append(true).open(&path)?;
        (self.frames, self.bytes) = (1, bytes.len() as u64);
        Ok(())
    }
}

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
//! A folder is never emptied here: a keeper that has lost its storage is admitted again by its peers, and only an operator
//! starts that.
//!
//! The node's disk thread opens a [`Store`] and writes each record before the messages that depend on it are sent.

mod frame;

pub use frame::{decode_file, FileContents};

use frame::{encode_frame, Frame};
use reelfall_lease::durable::{DurableState, Record};
use rustix::fs::{flock, FlockOperation};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The version of the format, stored in the file.
pub const FORMAT_VERSION: u8 = 1;
/// The file's name in the keeper's folder.
pub const FILE_NAME: &str = "leases";
/// The name of the file that replaces it at a compaction, until it is complete.
const NEW_FILE_NAME: &str = "leases.new";
/// The name of the file that locks the folder.
const LOCK_FILE_NAME: &str = "lock";

const MAGIC: &[u8] = b"reelfall leases";
/// Length of the file's header, in bytes.
const FILE_HEADER_LEN: usize = MAGIC.len() + 1;
/// A file of this length, in bytes, is compacted into one snapshot.
const COMPACTION_LEN: u64 = 4 << 20;

/// Why a folder can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process uses it.
    #[error("another process has this folder")]
    InUse,
    /// The file was written by a later version.
    #[error("the file has version {0}, this program knows {FORMAT_VERSION}")]
    TooNew(u8),
    /// The file is not what was written.
    #[error(
        "the file is damaged at byte {0}; empty the folder to have the fellows let this keeper in again"
    )]
    Corrupt(usize),
    /// An I/O error of the system.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// An open storage folder.
pub struct Store {
    folder: PathBuf,
    file: File,
    /// Number of frames in the file.
    frame_count: u64,
    /// Length of the file, in bytes.
    file_len: u64,
    state: DurableState,
    /// Whether a write has failed, so that the contents of the file are unknown.
    has_failed: bool,
    _lock: File,
}

impl Store {
    /// Opens the folder, or creates it, and reads its state.
    ///
    /// # Errors
    /// If the folder can't be used.
    pub fn open(folder: &Path) -> Result<(Store, DurableState), StoreError> {
        std::fs::create_dir_all(folder)?;
        let lock = lock_folder(folder)?;
        let path = folder.join(FILE_NAME);
        let FileContents {
            state,
            frame_count,
            valid_len,
        } = decode_file(&read_if_exists(&path)?)?;
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .append(true)
            .open(&path)?;
        // A truncated frame is removed, so that the next one follows the last complete one.
        file.set_len(valid_len as u64)?;
        if valid_len == 0 {
            file.write_all(&file_header())?;
        }
        file.sync_all()?;
        sync_folder(folder)?;
        let store = Store {
            folder: folder.to_owned(),
            file,
            frame_count,
            file_len: valid_len.max(FILE_HEADER_LEN) as u64,
            state: state.clone(),
            has_failed: false,
            _lock: lock,
        };
        Ok((store, state))
    }

    /// Makes records durable, all or none. Messages that depend on them may be sent after that.
    ///
    /// # Errors
    /// On an I/O error. Whether the records are durable is unknown then, and every later write fails.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(std::io::Error::other("an earlier write has failed").into());
        }
        // Reset at the end, so that an early return leaves it set.
        self.has_failed = true;
        let bytes = encode_frame(self.frame_count, &Frame::Records(records))?;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.frame_count += 1;
        self.file_len += bytes.len() as u64;
        for record in records {
            self.state.apply(record);
        }
        if self.file_len > COMPACTION_LEN {
            self.compact()?;
        }
        self.has_failed = false;
        Ok(())
    }

    /// Replaces the file by a new one with a single snapshot.
    fn compact(&mut self) -> Result<(), StoreError> {
        let new_path = self.folder.join(NEW_FILE_NAME);
        let path = self.folder.join(FILE_NAME);
        let mut bytes = file_header();
        bytes.extend(encode_frame(0, &Frame::Snapshot(&self.state))?);
        let mut file = File::create(&new_path)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&new_path, &path)?;
        sync_folder(&self.folder)?;
        self.file = OpenOptions::new().append(true).open(&path)?;
        self.frame_count = 1;
        self.file_len = bytes.len() as u64;
        Ok(())
    }
}

/// What a file begins with.
fn file_header() -> Vec<u8> {
    [MAGIC, &[FORMAT_VERSION]].concat()
}

/// Locks a folder for this process until the returned file is dropped.
fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(folder.join(LOCK_FILE_NAME))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| StoreError::InUse)?;
    Ok(lock)
}

/// The contents of a file, empty if there is none.
fn read_if_exists(path: &Path) -> std::io::Result<Vec<u8>> {
    match std::fs::read(path) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(Vec::new()),
        result => result,
    }
}

/// Makes the creation and renaming of files in a folder durable.
fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

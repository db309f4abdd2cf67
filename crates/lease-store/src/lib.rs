//! The storage of a lease keeper: stores its [`DurableState`] in an append-only file of frames.
//!
//! ```text
//! "reelfall leases" | version u8 | frame | frame | ...
//! frame: body length u32 | first 16 bytes of BLAKE3 of frame number and body | body: snapshot or records (postcard)
//! ```
//!
//! | fault | handling |
//! | --- | --- |
//! | the process ends during a write | the truncated frame at the end of the file is dropped: no message that depends on it was sent |
//! | bits are flipped, or a part in the middle is lost | the whole file is rejected |
//! | the end is lost | treated as a truncated write, which looks the same; the peers know how many records there were |
//! | the file has a newer format version | it is rejected |
//! | another process uses the folder | it is not opened, so that two keepers never write to one folder |
//! | the disk is full, or can't be written to | the write fails, and so does every later one |
//!
//! Only an operator empties a folder, never this crate. The peers then admit the keeper again.
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

/// The version of the file format; part of the file's header.
pub const FORMAT_VERSION: u8 = 1;
/// Name of the file in the keeper's folder.
pub const FILE_NAME: &str = "leases";
/// Name of the file that a compaction writes, until it is complete and replaces [`FILE_NAME`].
const NEW_FILE_NAME: &str = "leases.new";
/// Name of the file whose lock makes this process the only user of the folder.
const LOCK_FILE_NAME: &str = "lock";

const MAGIC: &[u8] = b"reelfall leases";
/// Length of the file's header, in bytes.
const FILE_HEADER_LEN: usize = MAGIC.len() + 1;
/// A file that is longer than this, in bytes, is compacted into one snapshot.
const COMPACTION_LEN: u64 = 4 << 20;

/// Why a folder can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has locked it.
    #[error("another process uses this folder")]
    InUse,
    /// The file has a newer format version than this program supports.
    #[error(
        "the file has format version {0}, but this program supports only version {FORMAT_VERSION}"
    )]
    TooNew(u8),
    /// The file is corrupt, or was not written by a keeper. Contains the offset in bytes at which that was detected.
    #[error(
        "the file is corrupt at byte {0}; empty the folder so that the peers admit this keeper again"
    )]
    Corrupt(usize),
    /// An I/O error, or records that exceed the maximum length of a frame.
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
    /// Whether a write has failed, so that the contents of the file are unknown and no further write is allowed.
    has_failed: bool,
    _lock: File,
}

impl Store {
    /// Opens the folder and reads its state; creates the folder if it does not exist.
    ///
    /// # Errors
    /// If the folder is in use, or its file is corrupt, has a newer version or can't be read or written.
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
        // A truncated frame is removed, so that the next frame follows the last complete one.
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

    /// Makes all of the records durable, or none. Messages that depend on them may be sent once this returns.
    ///
    /// # Errors
    /// On an I/O error, or if the records exceed the length of a frame. It is then unknown whether they are durable, and
    /// every later write fails.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(std::io::Error::other("an earlier write has failed").into());
        }
        // Reset at the end, so that it stays set if an error returns early.
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

    /// Replaces the file with a new one that consists of a single snapshot.
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

/// The first bytes of each file: the magic number and the format version.
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

/// Reads a file; returns no bytes if it does not exist.
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

//! The ledger of bans and drains on the file system, shared by the processes of one node. Used by
//! [`super::management::Management`].

use reelfall_admin::ledger::{Ledger, MAX_LEDGER_LEN};
use rustix::fs::{flock, FlockOperation};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum number of retries to take the lock; another process holds it while it writes one small file.
const MAX_LOCK_RETRIES: u32 = 100;
/// Pause between two attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Permissions of the files: read and write for their owner only.
const FILE_MODE: u32 = 0o600;

/// Identifies a version of the file; each change replaces the file with a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    length: u64,
}

impl FileVersion {
    /// The version of the file at this path, if there is one.
    fn of(path: &Path) -> Option<FileVersion> {
        let metadata = fs::metadata(path).ok()?;
        Some(FileVersion {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            length: metadata.size(),
        })
    }
}

/// A ledger's file and its lock.
pub struct LedgerFile {
    file: PathBuf,
    lock: PathBuf,
    replacement: PathBuf,
    last_read: Option<FileVersion>,
}

impl LedgerFile {
    /// The ledger of the node of this name, in a folder that other nodes may share.
    pub fn new(folder: &Path, name: &str) -> Self {
        let path = |extension: &str| folder.join(format!("reelfall-{name}.{extension}"));
        LedgerFile {
            file: path("ledger"),
            lock: path("lock"),
            replacement: path("ledger.new"),
            last_read: None,
        }
    }

    /// The ledger if it has been written since the last call; otherwise `None`.
    ///
    /// # Errors
    /// If the file can't be read, or is not a valid ledger.
    pub fn read_if_changed(&mut self) -> io::Result<Option<Ledger>> {
        let version = FileVersion::of(&self.file);
        if version == self.last_read {
            return Ok(None);
        }
        self.last_read = version;
        self.read()
    }

    fn read(&self) -> io::Result<Option<Ledger>> {
        let file = match File::open(&self.file) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let mut text = Vec::new();
        file.take(MAX_LEDGER_LEN as u64 + 1)
            .read_to_end(&mut text)?;
        Ledger::decode(&text).map(Some).map_err(io::Error::other)
    }

    /// Reads the ledger, changes it and replaces the file, all under the lock. If there is no usable file, the change
    /// is applied to `own`, the ledger of this process.
    ///
    /// # Errors
    /// If the ledger can't be written; then the file stays as it was.
    pub fn change(&mut self, own: &Ledger, change: impl FnOnce(&mut Ledger)) -> io::Result<Ledger> {
        let _lock = self.take_lock()?;
        let mut ledger = self.read().ok().flatten().unwrap_or_else(|| own.clone());
        change(&mut ledger);
        self.replace(&ledger)?;
        self.last_read = FileVersion::of(&self.file);
        Ok(ledger)
    }

    /// Takes the lock, which is released when the file is dropped.
    fn take_lock(&self) -> io::Result<File> {
        let lock = open_for_writing(&self.lock, false)?;
        let mut retries = 0;
        while let Err(error) = flock(&lock, FlockOperation::NonBlockingLockExclusive) {
            retries += 1;
            if retries > MAX_LOCK_RETRIES {
                return Err(error.into());
            }
            std::thread::sleep(LOCK_RETRY_INTERVAL);
        }
        Ok(lock)
    }

    fn replace(&self, ledger: &Ledger) -> io::Result<()> {
        let mut replacement = open_for_writing(&self.replacement, true)?;
        replacement.write_all(ledger.encode().as_bytes())?;
        fs::rename(&self.replacement, &self.file)
    }
}

fn open_for_writing(path: &Path, truncate: bool) -> io::Result<File> {
    OpenOptions::new()
        .create(true)
        .truncate(truncate)
        .write(true)
        .mode(FILE_MODE)
        .open(path)
}

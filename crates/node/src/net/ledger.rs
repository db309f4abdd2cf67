//! The ledger of bans and drains on the file system, shared by the processes of one node.

use reelfall_admin::ledger::{Ledger, LEDGER_MOST};
use rustix::fs::{flock, FlockOperation};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// How often a lock that another process holds is tried, and the pause between two tries; it is held while one small
/// file is written.
const LOCK_ATTEMPTS: u32 = 100;
const LOCK_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(1);

/// What tells one writing of the file from another: each is a new file that takes the old one's place.
type FileVersion = (u64, i64, i64, u64);

/// A ledger's file and its lock.
pub struct LedgerFile {
    file: PathBuf,
    lock: PathBuf,
    replacement: PathBuf,
    last_read: Option<FileVersion>,
}

impl LedgerFile {
    /// The ledger in a folder; `name` tells the node from others that may share the folder.
    pub fn new(folder: &Path, name: &str) -> Self {
        let at = |end: &str| folder.join(format!("reelfall-{name}.{end}"));
        LedgerFile {
            file: at("ledger"),
            lock: at("lock"),
            replacement: at("ledger.new"),
            last_read: None,
        }
    }

    fn version(&self) -> Option<FileVersion> {
        fs::metadata(&self.file)
            .ok()
            .map(|m| (m.ino(), m.mtime(), m.mtime_nsec(), m.size()))
    }

    /// What was written since this was asked last; `None` if nothing was.
    ///
    /// # Errors
    /// If what was written can't be used.
    pub fn read_if_changed(&mut self) -> io::Result<Option<Ledger>> {
        let version = self.version();
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
        file.take(LEDGER_MOST as u64 + 1).read_to_end(&mut text)?;
        Ledger::decode(&text).map(Some).map_err(io::Error::other)
    }

    /// Changes what is written: reads it, has it changed, and puts the new one in its place, all under the lock. What
    /// was there and can't be used is left out; `own` is what this process holds, for that case.
    ///
    /// # Errors
    /// If it can't be written; then what was there is there still.
    pub fn change(&mut self, own: &Ledger, change: impl FnOnce(&mut Ledger)) -> io::Result<Ledger> {
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(0o600)
            .open(&self.lock)?;
        let mut attempts = 0;
        while let Err(e) = flock(&lock, FlockOperation::NonBlockingLockExclusive) {
            attempts += 1;
            if attempts > LOCK_ATTEMPTS {
                return Err(e.into());
            }
            std::thread::sleep(LOCK_RETRY_INTERVAL);
        }
        let mut ledger = self.read().ok().flatten().unwrap_or_else(|| own.clone());
        change(&mut ledger);
        let mut replacement = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .mode(0o600)
            .open(&self.replacement)?;
        replacement.write_all(ledger.encode().as_bytes())?;
        fs::rename(&self.replacement, &self.file)?;
        self.last_read = self.version();
        Ok(ledger)
    }
}

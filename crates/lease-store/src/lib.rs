//! What a keeper of leases has on its disk: its [`Image`], as a file of frames that is only added to.
//!
//! ```text
//! "reelfall leases" | version u8 | frame | frame | ...
//! frame: length u32 | first 16 bytes of BLAKE3 of the frame's number and what follows | whole image, or records (postcard)
//! ```
//!
//! | what happens | what is done |
//! | --- | --- |
//! | the process ends while it writes | what was cut short at the end of the file is left out: nothing was said by it |
//! | bits are flipped, a part in the middle is lost | the file is refused, and nothing of it is used |
//! | the end is lost | it can't be told from a write that was cut short; the fellows know how many records there were |
//! | the file comes from a newer version | it is refused |
//! | another process has the folder | it is refused; two keepers never write to one folder |
//! | the disk is full, or can't be written | the write fails, and the keeper must not go on as if it had not |
//!
//! A folder is never emptied here: a keeper that has lost it is let in again by its fellows, which is for an operator to begin.

use reelfall_lease::image::{Image, Record};
use rustix::fs::{flock, FlockOperation};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The version of the format, told in the file.
pub const VERSION: u8 = 1;
/// The file's name in the keeper's folder.
pub const FILE: &str = "leases";

const MAGIC: &[u8] = b"reelfall leases";
const HEAD: usize = MAGIC.len() + 1;
const SUM: usize = 16;
const FRONT: usize = 4 + SUM;
/// Longest frame, in bytes: a whole image of the most leases takes a quarter of it.
const FRAME_MOST: usize = 1 << 20;
/// A file this long is written anew, as one whole image.
const FILE_MOST: u64 = 4 << 20;

/// Why a folder can't be used.
#[derive(Debug, Error)]
pub enum Fault {
    /// Another process has it.
    #[error("another process has this folder")]
    InUse,
    /// It was written by a later version.
    #[error("the file has version {0}, this program knows {VERSION}")]
    Newer(u8),
    /// It is not what was written.
    #[error(
        "the file is damaged at byte {0}; empty the folder to have the fellows let this keeper in again"
    )]
    Damaged(usize),
    /// The system says no.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

#[derive(Serialize)]
enum Frame<'a> {
    Whole(&'a Image),
    Records(&'a [Record]),
}

/// The same as it is read.
#[derive(Deserialize)]
enum Read {
    Whole(Image),
    Records(Vec<Record>),
}

fn sum(number: u64, body: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&number.to_le_bytes()).update(body);
    *hasher.finalize().as_bytes()
}

fn frame(number: u64, frame: &Frame) -> Result<Vec<u8>, Fault> {
    let body = postcard::to_stdvec(frame).map_err(std::io::Error::other)?;
    let length = u32::try_from(body.len()).ok().filter(|n| *n as usize <= FRAME_MOST);
    let length = length.ok_or_else(|| std::io::Error::other("too many records at once"))?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(&sum(number, &body)[..SUM]);
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// The frame at the begin of these bytes, and how long it is; `None` if there is no whole one.
fn read_frame(number: u64, bytes: &[u8]) -> Option<(Read, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let (told, rest) = rest.split_at_checked(SUM)?;
    let body = rest.get(..length).filter(|_| length <= FRAME_MOST)?;
    if sum(number, body)[..SUM] != *told {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, FRONT + length))
}

/// What a file holds: the image, how many frames it came from, and where the last whole one ends.
///
/// # Errors
/// If it is no file of this version, or a frame is missing before another one.
pub fn read(bytes: &[u8]) -> Result<(Image, u64, usize), Fault> {
    if bytes.len() < HEAD && [MAGIC, &[VERSION]].concat().starts_with(bytes) {
        return Ok((Image::default(), 0, 0));
    }
    let body = bytes.strip_prefix(MAGIC).ok_or(Fault::Damaged(0))?;
    match body.first() {
        Some(&VERSION) => {}
        Some(&version) if version > VERSION => return Err(Fault::Newer(version)),
        _ => return Err(Fault::Damaged(MAGIC.len())),
    }
    let (mut image, mut number, mut at) = (Image::default(), 0, HEAD);
    while let Some((frame, length)) = read_frame(number, &bytes[at..]) {
        match frame {
            Read::Whole(whole) => image = whole,
            Read::Records(records) => records.iter().for_each(|record| image.apply(record)),
        }
        number += 1;
        at += length;
    }
    // Guards against a part in the middle that was lost: all that follows is known to have been said. A write that was cut
    // short is followed by nothing. Harm: a damaged file is looked through once.
    let later =
        |from: usize| (number..=number + LOOK_FRAMES).any(|n| read_frame(n, &bytes[from..]).is_some());
    if (at..bytes.len()).any(later) {
        return Err(Fault::Damaged(at));
    }
    Ok((image, number, at))
}

/// How many frames after a damaged one are looked for; any one tells.
const LOOK_FRAMES: u64 = 2;

/// A keeper's folder, open.
pub struct Store {
    folder: PathBuf,
    file: File,
    /// Frames so far, and bytes.
    frames: u64,
    bytes: u64,
    image: Image,
    /// A write has failed: what the file holds is not known.
    failed: bool,
    _lock: File,
}

impl Store {
    /// Opens the folder, or begins one where there is none, and reads what it has.
    ///
    /// # Errors
    /// Says why it can't be used.
    pub fn open(folder: &Path) -> Result<(Store, Image), Fault> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join("lock"))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| Fault::InUse)?;
        let path = folder.join(FILE);
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e.into()),
        };
        let (image, frames, end) = read(&bytes)?;
        let mut file = OpenOptions::new().create(true).truncate(false).append(true).open(&path)?;
        // What was cut short goes, so that the next frame follows the last whole one.
        file.set_len(end as u64)?;
        if end == 0 {
            file.write_all(&[MAGIC, &[VERSION]].concat())?;
        }
        file.sync_all()?;
        File::open(folder)?.sync_all()?;
        let (bytes, folder) = (end.max(HEAD) as u64, folder.to_owned());
        let store = Store { folder, file, frames, bytes, image: image.clone(), failed: false, _lock: lock };
        Ok((store, image))
    }

    /// Puts records on the disk, all or none. Whatever they allow to be said may be said after that.
    ///
    /// # Errors
    /// If the system says no. Whether the records are on the disk is not known then, and every later write fails.
    pub fn write(&mut self, records: &[Record]) -> Result<(), Fault> {
        if self.failed {
            return Err(std::io::Error::other("an earlier write has failed").into());
        }
        self.failed = true;
        let bytes = frame(self.frames, &Frame::Records(records))?;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.frames += 1;
        self.bytes += bytes.len() as u64;
        records.iter().for_each(|record| self.image.apply(record));
        if self.bytes > FILE_MOST {
            self.shorten()?;
        }
        self.failed = false;
        Ok(())
    }

    /// Writes the file anew, beside the old one, and puts it in its place.
    fn shorten(&mut self) -> Result<(), Fault> {
        let (new, path) = (self.folder.join("leases.new"), self.folder.join(FILE));
        let mut bytes = [MAGIC, &[VERSION]].concat();
        bytes.extend(frame(0, &Frame::Whole(&self.image))?);
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

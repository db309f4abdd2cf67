//! Encodes the frames of a file with their checksums, and decodes a whole file.

use crate::{file_header, StoreError, FILE_HEADER_LEN, FORMAT_VERSION, MAGIC};
use reelfall_lease::durable::{DurableState, Record};
use serde::{Deserialize, Serialize};

const LENGTH_LEN: usize = 4;
const CHECKSUM_LEN: usize = 16;
const FRAME_HEADER_LEN: usize = LENGTH_LEN + CHECKSUM_LEN;
/// Maximum length of a frame's body, in bytes. A snapshot of the maximum number of leases takes a quarter of it.
const MAX_FRAME_LEN: usize = 1 << 20;
/// Number of frames after an unreadable one that are searched for. Any one of them shows that the file is corrupt, and
/// not only truncated.
const FRAMES_AHEAD: u64 = 2;

/// The body of a frame to write.
#[derive(Serialize)]
pub(crate) enum Frame<'a> {
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

/// Encodes the frame with this number, counted from 0 in the file.
pub(crate) fn encode_frame(number: u64, frame: &Frame) -> Result<Vec<u8>, StoreError> {
    let body = postcard::to_stdvec(frame).map_err(std::io::Error::other)?;
    let length = u32::try_from(body.len())
        .ok()
        .filter(|length| *length as usize <= MAX_FRAME_LEN)
        .ok_or_else(|| std::io::Error::other("the records exceed the maximum length of a frame"))?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(&checksum(number, &body)[..CHECKSUM_LEN]);
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// A decoded frame, and its length in bytes with the frame's header.
struct DecodedFrame {
    frame: OwnedFrame,
    length: usize,
}

/// Decodes the frame with this number at the start of these bytes; `None` if it is incomplete or corrupt.
fn decode_frame(number: u64, bytes: &[u8]) -> Option<DecodedFrame> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_LEN>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let (expected_checksum, rest) = rest.split_at_checked(CHECKSUM_LEN)?;
    let body = rest.get(..length).filter(|_| length <= MAX_FRAME_LEN)?;
    if checksum(number, body)[..CHECKSUM_LEN] != *expected_checksum {
        return None;
    }
    Some(DecodedFrame {
        frame: postcard::from_bytes(body).ok()?,
        length: FRAME_HEADER_LEN + length,
    })
}

/// The decoded contents of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileContents {
    /// The state that results from all complete frames.
    pub state: DurableState,
    /// Number of complete frames.
    pub frame_count: u64,
    /// Length of the file up to the end of the last complete frame, in bytes.
    pub valid_len: usize,
}

/// Decodes a file; a truncated frame at its end is ignored.
///
/// # Errors
/// If the file does not have this format version, or a frame before a complete one is missing or corrupt.
pub fn decode_file(bytes: &[u8]) -> Result<FileContents, StoreError> {
    if bytes.len() < FILE_HEADER_LEN && file_header().starts_with(bytes) {
        return Ok(FileContents::default());
    }
    let body = bytes.strip_prefix(MAGIC).ok_or(StoreError::Corrupt(0))?;
    match body.first() {
        Some(&FORMAT_VERSION) => {}
        Some(&version) if version > FORMAT_VERSION => return Err(StoreError::TooNew(version)),
        _ => return Err(StoreError::Corrupt(MAGIC.len())),
    }
    let mut contents = FileContents {
        valid_len: FILE_HEADER_LEN,
        ..FileContents::default()
    };
    while let Some(decoded) = decode_frame(contents.frame_count, &bytes[contents.valid_len..]) {
        match decoded.frame {
            OwnedFrame::Snapshot(state) => contents.state = state,
            OwnedFrame::Records(records) => {
                records
                    .iter()
                    .for_each(|record| contents.state.apply(record));
            }
        }
        contents.frame_count += 1;
        contents.valid_len += decoded.length;
    }
    if has_later_frame(&contents, bytes) {
        return Err(StoreError::Corrupt(contents.valid_len));
    }
    Ok(contents)
}

/// Whether a complete frame follows anywhere after the last readable one. If so, a part in the middle is lost or corrupt,
/// since nothing follows a truncated write.
fn has_later_frame(contents: &FileContents, bytes: &[u8]) -> bool {
    let numbers = contents.frame_count..=contents.frame_count + FRAMES_AHEAD;
    let starts_frame = |offset: usize| {
        numbers
            .clone()
            .any(|number| decode_frame(number, &bytes[offset..]).is_some())
    };
    (contents.valid_len..bytes.len()).any(starts_frame)
}

//! Guards against keepers that lose promises unnoticed: opens files that are truncated, corrupt, of another version or in
//! use, and checks that no write before the last one is lost undetected.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_lease::durable::{DurableState, Record};
use reelfall_lease::message::{ClientId, LogPosition, Promise, StorageId};
use reelfall_lease::token::LeaseName;
use reelfall_lease_store::{decode_file, Store, StoreError, FILE_NAME};
use std::path::PathBuf;

/// Number of leases in the records.
const LEASES: u64 = 7;
/// Number of peers in the records.
const PEERS: u64 = 3;
/// The offset of the version in a file: it follows the magic.
const VERSION_OFFSET: usize = 15;

/// A temporary folder, removed when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path =
            std::env::temp_dir().join(format!("reelfall-lease-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The records of one write, by its index: a promise and one record of another kind.
fn batch(index: u64) -> Vec<Record> {
    let lease_name = |index: u64| {
        let name = format!("lease-{}", index % LEASES);
        LeaseName::try_from(name).unwrap()
    };
    let client = Some(ClientId {
        name: format!("node-{index}"),
        instance_id: index,
    });
    let mut records = vec![Record::Promised(
        lease_name(index),
        Promise {
            ballot: index + 1,
            client,
            duration: 5_000_000,
        },
    )];
    match index {
        0 => records.insert(
            0,
            Record::Created(StorageId {
                generation: 1,
                nonce: 77,
            }),
        ),
        1 => records.push(Record::Admitted),
        _ if index % 5 == 4 => records.push(Record::Evicted(lease_name(index - 3))),
        _ => records.push(Record::PeerPosition(
            (index % PEERS) as u8,
            LogPosition {
                storage_id: StorageId {
                    generation: 1,
                    nonce: index % PEERS,
                },
                record_count: index,
            },
        )),
    }
    records
}

/// The bytes of a file, and its length and state after each write.
struct WrittenFile {
    bytes: Vec<u8>,
    /// The length of the file when it was created and after each write.
    ends: Vec<usize>,
    /// The state when the file was created and after each write.
    states: Vec<DurableState>,
}

fn write_file(folder: &TempFolder, batches: u64) -> WrittenFile {
    let (mut store, state) = Store::open(&folder.0).unwrap();
    let file_length = || std::fs::metadata(folder.0.join(FILE_NAME)).unwrap().len() as usize;
    let mut states = vec![state];
    let mut ends = vec![file_length()];
    for index in 0..batches {
        let records = batch(index);
        store.write(&records).unwrap();
        let mut state = states.last().unwrap().clone();
        records.iter().for_each(|record| state.apply(record));
        states.push(state);
        ends.push(file_length());
    }
    WrittenFile {
        bytes: std::fs::read(folder.0.join(FILE_NAME)).unwrap(),
        ends,
        states,
    }
}

#[test]
fn truncated_file_retains_all_complete_writes() {
    let WrittenFile {
        bytes,
        ends,
        states,
    } = write_file(&TempFolder::new("truncated"), 40);
    for length in 0..=bytes.len() {
        let complete_writes = ends.iter().rposition(|end| *end <= length).unwrap_or(0);
        let contents = decode_file(&bytes[..length]).unwrap();
        assert_eq!(
            contents.state, states[complete_writes],
            "truncated at {length}"
        );
        let is_end_of_a_write = length < ends[0] || contents.valid_len == ends[complete_writes];
        assert!(contents.valid_len <= length && is_end_of_a_write);
    }
}

#[test]
fn writing_continues_after_a_truncated_write() {
    let folder = TempFolder::new("truncated-write");
    let WrittenFile { bytes, states, .. } = write_file(&folder, 6);
    std::fs::write(folder.0.join(FILE_NAME), &bytes[..bytes.len() - 3]).unwrap();
    let (mut store, mut state) = Store::open(&folder.0).unwrap();
    assert_eq!(state, states[5]);
    let records = batch(9);
    store.write(&records).unwrap();
    records.iter().for_each(|record| state.apply(record));
    drop(store);
    assert_eq!(Store::open(&folder.0).unwrap().1, state);
}

#[test]
fn bit_flip_before_the_last_write_is_detected() {
    let WrittenFile {
        bytes,
        ends,
        states,
    } = write_file(&TempFolder::new("bits"), 12);
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for offset in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[offset] ^= 1 << rng.random_range(0..8);
        let is_in_last_write = offset >= ends[ends.len() - 2];
        match decode_file(&corrupt) {
            // The last write looks truncated. The other keepers know that it was complete.
            Ok(contents) => {
                assert!(
                    is_in_last_write && contents.state == states[states.len() - 2],
                    "a bit flip at {offset} is not detected"
                )
            }
            Err(StoreError::TooNew(_)) => assert_eq!(offset, VERSION_OFFSET),
            Err(StoreError::Corrupt(_)) => assert!(!is_in_last_write, "at {offset}"),
            Err(error) => panic!("{error}"),
        }
    }
}

#[test]
fn missing_frame_is_detected() {
    let WrittenFile { bytes, ends, .. } = write_file(&TempFolder::new("middle"), 12);
    for frame in 1..ends.len() - 1 {
        let remaining = [&bytes[..ends[frame - 1]], &bytes[ends[frame]..]].concat();
        assert!(
            matches!(decode_file(&remaining), Err(StoreError::Corrupt(_))),
            "the loss of frame {frame} is not detected"
        );
    }
}

#[test]
fn locked_folders_and_foreign_files_are_rejected() {
    let folder = TempFolder::new("owner");
    let (store, _) = Store::open(&folder.0).unwrap();
    assert!(matches!(Store::open(&folder.0), Err(StoreError::InUse)));
    drop(store);
    let open_error = |bytes: &[u8]| {
        std::fs::write(folder.0.join(FILE_NAME), bytes).unwrap();
        Store::open(&folder.0).err().unwrap()
    };
    assert!(matches!(
        open_error(b"something else altogether, and longer"),
        StoreError::Corrupt(0)
    ));
    assert!(matches!(
        open_error(b"reelfall leases\x02"),
        StoreError::TooNew(2)
    ));
    // Opening the file of a newer version did not change it.
    assert_eq!(
        std::fs::read(folder.0.join(FILE_NAME)).unwrap(),
        b"reelfall leases\x02"
    );
    let not_a_folder = TempFolder::new("no-folder");
    std::fs::write(&not_a_folder.0, b"").unwrap();
    assert!(matches!(
        Store::open(&not_a_folder.0),
        Err(StoreError::Io(_))
    ));
    std::fs::remove_file(&not_a_folder.0).unwrap();
}

/// Number of writes in the compaction test.
const WRITES: u64 = 100;
const BATCHES_PER_WRITE: u64 = 2500;
/// Bound on the length of the file between writes, in bytes: more than the length above which it is compacted.
const MAX_FILE_BYTES: u64 = 5 << 20;

#[test]
fn compaction_bounds_the_file_and_preserves_the_state() {
    let folder = TempFolder::new("long");
    let (mut store, mut state) = Store::open(&folder.0).unwrap();
    let mut max_length = 0;
    let mut previous_length = 0;
    let mut compactions = 0;
    for write in 0..WRITES {
        // The first two batches contain the records of a new folder, and are left out.
        let first_batch = 2 + write * BATCHES_PER_WRITE;
        let batches = first_batch..first_batch + BATCHES_PER_WRITE;
        let records: Vec<Record> = batches.flat_map(batch).collect();
        store.write(&records).unwrap();
        records.iter().for_each(|record| state.apply(record));
        let length = std::fs::metadata(folder.0.join(FILE_NAME)).unwrap().len();
        compactions += usize::from(length < previous_length);
        max_length = max_length.max(length);
        previous_length = length;
    }
    drop(store);
    assert!(
        max_length < MAX_FILE_BYTES && compactions > 1,
        "{max_length} bytes at most, {compactions} compactions"
    );
    assert_eq!(Store::open(&folder.0).unwrap().1, state);
}

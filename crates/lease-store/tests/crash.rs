//! What is on the disk is cut short, spoilt, from another version, or somebody else's: a stated answer each, and never less
//! than what was said to be written.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_lease::durable::{DurableState, Record};
use reelfall_lease::message::{ClientId, LogPosition, Promise, StorageId};
use reelfall_lease::token::LeaseName;
use reelfall_lease_store::{decode, Store, StoreError, FILE};
use std::path::PathBuf;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("reelfall-lease-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn batch(n: u64) -> Vec<Record> {
    let name = |n: u64| LeaseName::try_from(format!("lease-{}", n % 7)).unwrap();
    let client = Some(ClientId {
        name: format!("node-{n}"),
        tag: n,
    });
    let mut records = vec![Record::Promised(
        name(n),
        Promise {
            ballot: n + 1,
            client,
            length: 5_000_000,
        },
    )];
    match n {
        0 => records.insert(
            0,
            Record::Created(StorageId {
                generation: 1,
                tag: 77,
            }),
        ),
        1 => records.push(Record::Admitted),
        _ if n % 5 == 4 => records.push(Record::Evicted(name(n - 3))),
        _ => records.push(Record::Peer(
            (n % 3) as u8,
            LogPosition {
                storage: StorageId {
                    generation: 1,
                    tag: n % 3,
                },
                records: n,
            },
        )),
    }
    records
}

/// A file of so many writes, where each ends, and the state after each.
fn recorded(folder: &Folder, batches: u64) -> (Vec<u8>, Vec<usize>, Vec<DurableState>) {
    let (mut store, state) = Store::open(&folder.0).unwrap();
    let length = || std::fs::metadata(folder.0.join(FILE)).unwrap().len() as usize;
    let (mut states, mut ends) = (vec![state], vec![length()]);
    for n in 0..batches {
        let records = batch(n);
        store.write(&records).unwrap();
        let mut state = states.last().unwrap().clone();
        records.iter().for_each(|record| state.apply(record));
        states.push(state);
        ends.push(length());
    }
    (std::fs::read(folder.0.join(FILE)).unwrap(), ends, states)
}

#[test]
fn a_file_that_is_cut_at_any_byte_has_all_that_was_written_before() {
    let (bytes, ends, states) = recorded(&Folder::new("cut"), 40);
    for cut in 0..=bytes.len() {
        let written = ends.iter().rposition(|end| *end <= cut).unwrap_or(0);
        let contents = decode(&bytes[..cut]).unwrap();
        assert_eq!(contents.state, states[written], "cut at {cut}");
        assert!(contents.end <= cut && (cut < ends[0] || contents.end == ends[written]));
    }
}

#[test]
fn a_write_that_was_cut_short_is_followed_by_the_next_one() {
    let folder = Folder::new("goes-on");
    let (bytes, _, states) = recorded(&folder, 6);
    std::fs::write(folder.0.join(FILE), &bytes[..bytes.len() - 3]).unwrap();
    let (mut store, mut state) = Store::open(&folder.0).unwrap();
    assert_eq!(state, states[5]);
    let records = batch(9);
    store.write(&records).unwrap();
    records.iter().for_each(|record| state.apply(record));
    drop(store);
    assert_eq!(Store::open(&folder.0).unwrap().1, state);
}

#[test]
fn a_bit_that_flips_before_the_last_write_is_seen() {
    let (bytes, ends, states) = recorded(&Folder::new("bits"), 12);
    let mut draw = Pcg64Mcg::seed_from_u64(5);
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 1 << draw.random_range(0..8);
        let last = at >= ends[ends.len() - 2];
        match decode(&spoilt) {
            // The last one looks like a write that was cut short. The fellows know that it was not.
            Ok(contents) => {
                assert!(
                    last && contents.state == states[states.len() - 2],
                    "a flip at {at} is not seen"
                )
            }
            Err(StoreError::Newer(_)) => assert_eq!(at, 15),
            Err(StoreError::Damaged(_)) => assert!(!last, "at {at}"),
            Err(e) => panic!("{e}"),
        }
    }
}

#[test]
fn a_part_that_is_lost_in_the_middle_is_seen() {
    let (bytes, ends, _) = recorded(&Folder::new("middle"), 12);
    for n in 1..ends.len() - 1 {
        let without = [&bytes[..ends[n - 1]], &bytes[ends[n]..]].concat();
        assert!(
            matches!(decode(&without), Err(StoreError::Damaged(_))),
            "frame {n} is gone and nobody sees it"
        );
    }
}

#[test]
fn a_folder_belongs_to_one_process_and_what_is_no_file_of_ours_is_refused() {
    let folder = Folder::new("owner");
    let (store, _) = Store::open(&folder.0).unwrap();
    assert!(matches!(Store::open(&folder.0), Err(StoreError::InUse)));
    drop(store);
    let refused = |bytes: &[u8]| {
        std::fs::write(folder.0.join(FILE), bytes).unwrap();
        Store::open(&folder.0).err().unwrap()
    };
    assert!(matches!(
        refused(b"something else altogether, and longer"),
        StoreError::Damaged(0)
    ));
    assert!(matches!(
        refused(b"reelfall leases\x02"),
        StoreError::Newer(2)
    ));
    // Nothing of it was changed.
    assert_eq!(
        std::fs::read(folder.0.join(FILE)).unwrap(),
        b"reelfall leases\x02"
    );
    let no_folder = Folder::new("no-folder");
    std::fs::write(&no_folder.0, b"").unwrap();
    assert!(matches!(
        Store::open(&no_folder.0),
        Err(StoreError::System(_))
    ));
    std::fs::remove_file(&no_folder.0).unwrap();
}

#[test]
fn a_long_file_is_written_anew_and_says_the_same() {
    let folder = Folder::new("long");
    let (mut store, mut state) = Store::open(&folder.0).unwrap();
    let (mut most, mut before, mut anew) = (0, 0, 0);
    for n in 0..100 {
        let records: Vec<Record> = (0..2500).flat_map(|k| batch(2 + n * 2500 + k)).collect();
        store.write(&records).unwrap();
        records.iter().for_each(|record| state.apply(record));
        let length = std::fs::metadata(folder.0.join(FILE)).unwrap().len();
        (most, anew, before) = (
            most.max(length),
            anew + usize::from(length < before),
            length,
        );
    }
    drop(store);
    assert!(
        most < 5 << 20 && anew > 1,
        "{most} bytes at most, written anew {anew} times"
    );
    assert_eq!(Store::open(&folder.0).unwrap().1, state);
}

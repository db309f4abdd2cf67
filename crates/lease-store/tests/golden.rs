//! A keeper's file has the bytes of format 1. `golden/leases.hex` and the digest of a compacted file were made by the code of
//! commit c58caac and do not change while the version stays: keepers read what earlier versions wrote.

use reelfall_lease::durable::Record;
use reelfall_lease::message::{ClientId, LogPosition, Promise, StorageId};
use reelfall_lease::token::LeaseName;
use reelfall_lease_store::{decode_file, Store, FILE_NAME};
use std::path::PathBuf;

const GOLDEN: &str = include_str!("golden/leases.hex");
const COMPACTED: &str = include_str!("golden/compacted.blake3");

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("reelfall-golden-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn promised(n: u64) -> Record {
    let lease = LeaseName::try_from(format!("lease-{}", n % 5)).unwrap();
    let client = (!n.is_multiple_of(3)).then(|| ClientId {
        name: format!("n{n}"),
        instance_id: n << 40,
    });
    Record::Promised(
        lease,
        Promise {
            ballot: n + 1,
            client,
            duration: 5_000_000,
        },
    )
}

fn writes() -> Vec<Vec<Record>> {
    let storage_id = StorageId {
        generation: 1,
        nonce: 77,
    };
    vec![
        vec![Record::Created(storage_id), promised(0)],
        vec![
            Record::Admitted,
            Record::PeerPosition(
                1,
                LogPosition {
                    storage_id,
                    record_count: 500,
                },
            ),
        ],
        (1..6).map(promised).collect(),
        vec![
            Record::Evicted(LeaseName::try_from("lease-2".to_owned()).unwrap()),
            Record::BallotFloor(4),
        ],
    ]
}

#[test]
fn a_file_has_the_bytes_that_it_had_and_is_read() {
    let folder = folder("file");
    let (mut store, _) = Store::open(&folder).unwrap();
    for records in writes() {
        store.write(&records).unwrap();
    }
    drop(store);
    let bytes = std::fs::read(folder.join(FILE_NAME)).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, GOLDEN.trim_end());
    let mut state = decode_file(&[]).unwrap().state;
    writes()
        .concat()
        .iter()
        .for_each(|record| state.apply(record));
    assert_eq!(decode_file(&bytes).unwrap().state, state);
}

#[test]
fn a_compacted_file_has_the_bytes_that_it_had() {
    let folder = folder("compacted");
    let (mut store, _) = Store::open(&folder).unwrap();
    let length = || std::fs::metadata(folder.join(FILE_NAME)).unwrap().len();
    let mut before = length();
    for n in 0.. {
        store
            .write(
                &(0..10_000)
                    .map(|k| promised(10_000 * n + k))
                    .collect::<Vec<_>>(),
            )
            .unwrap();
        if length() < before {
            break;
        }
        before = length();
    }
    drop(store);
    let bytes = std::fs::read(folder.join(FILE_NAME)).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(blake3::hash(&bytes).to_hex().as_str(), COMPACTED.trim_end());
}

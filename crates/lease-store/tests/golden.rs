//! Guards against changes to format 1 of a keeper's file. `golden/leases.hex` and the digest of a compacted file were
//! made by the code of commit c58caac; they don't change while the format version is 1, since keepers read files of
//! earlier releases.

use reelfall_lease::durable::Record;
use reelfall_lease::message::{ClientId, LogPosition, Promise, StorageId};
use reelfall_lease::token::LeaseName;
use reelfall_lease_store::{decode_file, Store, FILE_NAME};
use std::path::PathBuf;

const GOLDEN_HEX: &str = include_str!("golden/leases.hex");
const COMPACTED_BLAKE3: &str = include_str!("golden/compacted.blake3");

fn temp_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("reelfall-golden-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn promise_record(n: u64) -> Record {
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

fn record_batches() -> Vec<Vec<Record>> {
    let storage_id = StorageId {
        generation: 1,
        nonce: 77,
    };
    vec![
        vec![Record::Created(storage_id), promise_record(0)],
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
        (1..6).map(promise_record).collect(),
        vec![
            Record::Evicted(LeaseName::try_from("lease-2".to_owned()).unwrap()),
            Record::BallotFloor(4),
        ],
    ]
}

#[test]
fn file_matches_the_golden_bytes_and_decodes_to_the_written_state() {
    let folder = temp_folder("file");
    let (mut store, _) = Store::open(&folder).unwrap();
    for records in record_batches() {
        store.write(&records).unwrap();
    }
    drop(store);
    let bytes = std::fs::read(folder.join(FILE_NAME)).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, GOLDEN_HEX.trim_end());
    let mut state = decode_file(&[]).unwrap().state;
    record_batches()
        .concat()
        .iter()
        .for_each(|record| state.apply(record));
    assert_eq!(decode_file(&bytes).unwrap().state, state);
}

#[test]
fn compacted_file_matches_the_golden_digest() {
    let folder = temp_folder("compacted");
    let (mut store, _) = Store::open(&folder).unwrap();
    let length = || std::fs::metadata(folder.join(FILE_NAME)).unwrap().len();
    let mut previous_length = length();
    for n in 0.. {
        store
            .write(
                &(0..10_000)
                    .map(|k| promise_record(10_000 * n + k))
                    .collect::<Vec<_>>(),
            )
            .unwrap();
        if length() < previous_length {
            break;
        }
        previous_length = length();
    }
    drop(store);
    let bytes = std::fs::read(folder.join(FILE_NAME)).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(
        blake3::hash(&bytes).to_hex().as_str(),
        COMPACTED_BLAKE3.trim_end()
    );
}

//! Reading a file of many services takes little more memory than what it says. The only test of its program, since it
//! looks at the memory of the whole process.

mod common;

use common::{member, times, whole_service, LISTENER};
use reelfall_config::reader;

const SERVICES: usize = 400;
const MEMBERS: usize = 200;
/// Memory for the text's length: what the model takes, and the tree of one service.
const MAX_MEMORY_FACTOR: usize = 8;

/// The most memory that the process has had, in bytes.
fn peak() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    line.trim()
        .trim_end_matches(" kB")
        .parse::<usize>()
        .unwrap()
        * 1024
}

#[test]
fn reading_takes_little_more_than_the_model() {
    let part = |n| whole_service(n) + &times(MEMBERS, member);
    let text = LISTENER.to_owned() + &times(SERVICES, part);
    let before = peak();
    let model = reader::toml("f.toml", &text).unwrap();
    let taken = peak() - before;
    assert_eq!(model.services.len(), SERVICES);
    let times = taken / text.len();
    assert!(
        times < MAX_MEMORY_FACTOR,
        "{taken} bytes for a text of {}: {times} times as much",
        text.len()
    );
}

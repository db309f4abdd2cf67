//! Reading a file of many services needs little more memory than its model.
//!
//! This is the only test in its binary, because it measures the memory of the process.

mod common;

use common::{member, times, whole_service, LISTENER};
use reelfall_config::reader;

const SERVICES: usize = 400;
const TENANTS_PER_SERVICE: usize = 200;
/// The maximum memory for reading, divided by the length of the file; it covers the model and the syntax tree of one
/// service.
const MAX_MEMORY_FACTOR: usize = 8;

const BYTES_PER_KIBIBYTE: usize = 1024;

/// The peak resident set size of the process, in bytes.
fn peak_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    let kibibytes: usize = line.trim().trim_end_matches(" kB").parse().unwrap();
    kibibytes * BYTES_PER_KIBIBYTE
}

#[test]
fn reader_memory_is_bounded_by_a_multiple_of_file_size() {
    let service_of_tenants = |index| whole_service(index) + &times(TENANTS_PER_SERVICE, member);
    let text = LISTENER.to_owned() + &times(SERVICES, service_of_tenants);
    let peak_before = peak_memory();
    let model = reader::parse_toml("f.toml", &text).unwrap();
    let used_bytes = peak_memory() - peak_before;
    assert_eq!(model.services.len(), SERVICES);
    let factor = used_bytes / text.len();
    assert!(
        factor < MAX_MEMORY_FACTOR,
        "{used_bytes} bytes of memory for a text of {} bytes: {factor} times as much",
        text.len()
    );
}

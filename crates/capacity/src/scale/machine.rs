//! Figures that the operating system reports: the resources of the machine, and processor time and memory of this
//! process. The modules that measure use them, and [`limits`](super::limits) compares sizes with them.

use super::error::ScaleError;
use super::limits::Machine;
use nix::time::{clock_gettime, ClockId};
use reelfall_testbed::Result;
use std::time::Duration;

/// File with the resource limits of this process.
const LIMITS_FILE: &str = "/proc/self/limits";
/// File with the memory of the machine.
const MEMORY_FILE: &str = "/proc/meminfo";
/// File with the memory usage of this process.
const STATUS_FILE: &str = "/proc/self/status";

/// Detects the resources that this machine allows this process.
///
/// # Errors
/// If the system does not report them.
pub fn detect() -> Result<Machine> {
    let limits = std::fs::read_to_string(LIMITS_FILE)?;
    let memory = std::fs::read_to_string(MEMORY_FILE)?;
    Ok(Machine {
        open_files: parse_open_files(&limits).ok_or(ScaleError::MissingProcField {
            field: "limit of open files",
            file: LIMITS_FILE,
        })?,
        memory: parse_bytes(&memory, "MemTotal", MEMORY_FILE)?,
        cores: cores(),
    })
}

/// Returns the number of cores available to this process.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Parses the soft limit of open files from the text of `/proc/self/limits`.
pub fn parse_open_files(limits: &str) -> Option<usize> {
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    match line.split_whitespace().next()? {
        "unlimited" => Some(usize::MAX),
        soft => soft.parse().ok(),
    }
}

/// Parses the value, in KiB, of a line such as `VmRSS:  12 kB`.
pub fn parse_kib(text: &str, field: &str) -> Option<u64> {
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(field)?.strip_prefix(':'))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Returns the resident memory of this process, in bytes.
///
/// # Errors
/// If the system does not report it.
pub fn resident_memory() -> Result<u64> {
    let status = std::fs::read_to_string(STATUS_FILE)?;
    Ok(parse_bytes(&status, "VmRSS", STATUS_FILE)?)
}

/// Returns the peak resident memory of this process so far, in bytes.
///
/// # Errors
/// If the system does not report it.
pub fn peak_memory() -> Result<u64> {
    let status = std::fs::read_to_string(STATUS_FILE)?;
    Ok(parse_bytes(&status, "VmHWM", STATUS_FILE)?)
}

/// Returns the processor time that the calling thread has used.
///
/// # Errors
/// If the system does not report it.
pub fn thread_cpu_time() -> Result<Duration> {
    Ok(Duration::from(clock_gettime(
        ClockId::CLOCK_THREAD_CPUTIME_ID,
    )?))
}

fn parse_bytes(
    text: &str,
    field: &'static str,
    file: &'static str,
) -> std::result::Result<u64, ScaleError> {
    let kib = parse_kib(text, field).ok_or(ScaleError::MissingProcField { field, file })?;
    Ok(kib << 10)
}

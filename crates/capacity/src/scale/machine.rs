//! What the system reports: the resources of the machine, processor time and memory of this process. Called by the
//! modules that measure, and by [`single`](super::single) and [`sweep`](super::sweep) for the [`limits`](super::limits).

use super::error::ScaleError;
use super::limits::Machine;
use nix::time::{clock_gettime, ClockId};
use reelfall_testbed::Result;
use std::time::Duration;

/// The limits of this process.
const LIMITS_FILE: &str = "/proc/self/limits";
/// The memory of the machine.
const MEMORY_FILE: &str = "/proc/meminfo";
/// The memory of this process.
const STATUS_FILE: &str = "/proc/self/status";

/// The resources that this machine allows this process.
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

/// Cores of the machine.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// The soft limit of open files, from the text of `/proc/self/limits`.
pub fn parse_open_files(limits: &str) -> Option<usize> {
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    match line.split_whitespace().next()? {
        "unlimited" => Some(usize::MAX),
        soft => soft.parse().ok(),
    }
}

/// The value of a line such as `VmRSS:  12 kB`.
pub fn parse_kib(text: &str, field: &str) -> Option<u64> {
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(field)?.strip_prefix(':'))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Memory that this process uses, in bytes.
///
/// # Errors
/// If the system does not report it.
pub fn resident_memory() -> Result<u64> {
    let status = std::fs::read_to_string(STATUS_FILE)?;
    Ok(parse_bytes(&status, "VmRSS", STATUS_FILE)?)
}

/// Most memory that this process has used so far, in bytes.
///
/// # Errors
/// If the system does not report it.
pub fn peak_memory() -> Result<u64> {
    let status = std::fs::read_to_string(STATUS_FILE)?;
    Ok(parse_bytes(&status, "VmHWM", STATUS_FILE)?)
}

/// Processor time that the calling thread has used.
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

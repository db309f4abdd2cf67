//! What the system tells of the machine and of processor time and memory.

use super::limits::Machine;
use nix::time::{clock_gettime, ClockId};
use reelfall_testbed::Result;
use std::time::Duration;

/// Reads what this machine allows this process.
///
/// # Errors
/// If the system does not tell.
pub fn machine() -> Result<Machine> {
    let limits = std::fs::read_to_string("/proc/self/limits")?;
    let memory = std::fs::read_to_string("/proc/meminfo")?;
    let files = open_files(&limits).ok_or("no limit of open files in /proc/self/limits")?;
    let memory = field_kib(&memory, "MemTotal:").ok_or("no MemTotal in /proc/meminfo")? << 10;
    Ok(Machine {
        files,
        memory,
        cores: cores(),
    })
}

/// Cores of the machine.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// The soft limit of open files, of the text of `/proc/self/limits`.
pub fn open_files(limits: &str) -> Option<usize> {
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    match line.split_whitespace().next()? {
        "unlimited" => Some(usize::MAX),
        soft => soft.parse().ok(),
    }
}

/// The value of a line such as `VmRSS:  12 kB`.
pub fn field_kib(text: &str, name: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix(name))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Memory that this process holds, in bytes.
///
/// # Errors
/// If the system does not tell.
pub fn resident() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    Ok(field_kib(&status, "VmRSS:").ok_or("no VmRSS in /proc/self/status")? << 10)
}

/// Most memory that this process has held so far, in bytes.
///
/// # Errors
/// If the system does not tell.
pub fn peak() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    Ok(field_kib(&status, "VmHWM:").ok_or("no VmHWM in /proc/self/status")? << 10)
}

/// Processor time that the calling thread has used.
///
/// # Errors
/// If the system does not tell.
pub fn thread_cpu() -> Result<Duration> {
    Ok(Duration::from(clock_gettime(
        ClockId::CLOCK_THREAD_CPUTIME_ID,
    )?))
}

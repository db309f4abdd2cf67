//! Memory and time of a process. All measurements use it.

use crate::error::{Error, Result};
use std::collections::BTreeMap;
use std::time::Instant;

/// Figures by their names.
pub type Figures = BTreeMap<String, f64>;

/// The name of this process for [`resident_bytes`].
pub const THIS_PROCESS: &str = "self";
/// The line of a process's status with its resident set.
const RESIDENT_SET: &str = "VmRSS:";
/// The unit of that line, in bytes.
const KIBIBYTE: f64 = 1024.0;

/// Bytes of memory that a process has resident.
pub fn resident_bytes(process: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_SET))
        .ok_or(Error::MissingResidentSet)?;
    let kibibytes: f64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kibibytes * KIBIBYTE)
}

/// Mean seconds of one execution, which gets its number.
pub fn mean_seconds(executions: usize, execute: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..executions).for_each(execute);
    start.elapsed().as_secs_f64() / executions as f64
}

/// The figure of memory alone.
pub fn memory_figure(bytes: f64) -> Figures {
    Figures::from([("bytes".to_owned(), bytes)])
}
